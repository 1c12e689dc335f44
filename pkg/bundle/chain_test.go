package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
)

// testKey returns a key derived from the name.
func testKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func testOperators(threshold int, names ...string) Operators {
	o := Operators{Threshold: threshold}
	for _, n := range names {
		public := testKey(n).Public().(ed25519.PublicKey)
		o.Keys = append(o.Keys, Key{Name: n, PublicKey: base64.StdEncoding.EncodeToString(public)})
	}
	return o
}

// testBundle describes one bundle of the test cases.
type testBundle struct {
	version uint64
	// parent is the name of the parent in testBundles.
	parent    string
	operators Operators
	// slots makes bundles with the same version differ.
	slots int
	// signers are the operators who sign; mallory signs as alice, with another key.
	signers []string
}

// testBundles returns the signed bundles that testdata/chain.json refers to by name.
func testBundles(t *testing.T) map[string]*Signed {
	t.Helper()
	alice, bob := testOperators(1, "alice"), testOperators(1, "bob")
	two := testOperators(2, "alice", "bob", "carol")
	list := []struct {
		name string
		testBundle
	}{
		{"a1", testBundle{1, "", alice, 1, []string{"alice"}}},
		{"a2", testBundle{2, "a1", alice, 2, []string{"alice"}}},
		{"b2", testBundle{2, "a1", alice, 3, []string{"alice"}}},
		{"forged2", testBundle{2, "a1", alice, 4, []string{"mallory"}}},
		{"a3", testBundle{3, "a2", alice, 5, []string{"alice"}}},
		{"r3", testBundle{3, "a2", bob, 5, []string{"alice"}}},
		{"r4", testBundle{4, "r3", bob, 6, []string{"bob"}}},
		{"r5", testBundle{5, "r4", bob, 7, []string{"bob"}}},
		{"forged-r3", testBundle{3, "a2", testOperators(1, "mallory"), 5, []string{"mallory"}}},
		{"forged-r4", testBundle{4, "forged-r3", testOperators(1, "mallory"), 5, []string{"mallory"}}},
		{"old-key4", testBundle{4, "r3", alice, 6, []string{"alice"}}},
		{"old-key5", testBundle{5, "r4", alice, 6, []string{"alice"}}},
		{"t1", testBundle{1, "", two, 1, []string{"alice"}}},
		{"one-of-two2", testBundle{2, "t1", two, 2, []string{"alice"}}},
		{"same-twice2", testBundle{2, "t1", two, 3, []string{"alice", "alice"}}},
		{"two-of-two2", testBundle{2, "t1", two, 4, []string{"carol", "bob"}}},
	}
	out := make(map[string]*Signed)
	for _, b := range list {
		d := testDocument(b.version, b.slots, b.operators)
		if b.parent != "" {
			d.Parent = Digest(out[b.parent].Content())
		}
		content, err := Format(d)
		if err != nil {
			t.Fatal(err)
		}
		s := NewSigned(content)
		for _, n := range b.signers {
			name := n
			if n == "mallory" {
				name = "alice"
			}
			s.Sign(name, testKey(n))
		}
		out[b.name] = s
	}
	tampered := *out["a2"]
	tampered.content = bytes.Replace(tampered.content, []byte("slots: 2"), []byte("slots: 9"), 1)
	out["tampered2"] = &tampered
	return out
}

// testDocument returns a valid document with one service.
func testDocument(version uint64, slots int, operators Operators) *Document {
	return &Document{
		Version: version, Operators: operators,
		Services: []Service{{
			Name: "planner", Slots: slots, MaxConnections: 64, MaxBodyBytes: 1 << 20, LatencyObjective: 1e9,
			Classes: []RequestClass{{Name: "preview", Priority: 9, Deadline: 1e9, ExpectedServiceTime: 1e6}},
		}},
	}
}

type chainStep struct {
	Offer   string   `json:"offer"`
	Adopt   string   `json:"adopt"`
	Lineage []string `json:"lineage"`
	// At is the offset of an offered bundle, 0 for Offer without an offset; Covers is
	// the end offset of an adopted proof.
	At       uint64  `json:"at"`
	Covers   uint64  `json:"covers"`
	ReadFrom uint64  `json:"read-from"`
	Want     string  `json:"want"`
	InForce  *string `json:"in-force"`
}

type chainCase struct {
	Name  string      `json:"name"`
	Steps []chainStep `json:"steps"`
}

var chainErrors = map[string]error{
	"accepted": nil, "superseded": ErrSuperseded, "no-parent": ErrNoParent, "in-force": ErrInForce, "signatures": ErrTooFewSignatures,
}

// TestChainFaults runs the cases of testdata/chain.json: bundles offered in and out
// of order, forged bundles, and chains that begin to read the log late.
func TestChainFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/chain.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []chainCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	bundles := testBundles(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			chain := NewChain(testOperators(1, "alice"))
			for i, s := range c.Steps {
				runChainStep(t, chain, bundles, i, &s)
			}
		})
	}
}

// runChainStep runs step i of a case and checks the result, the version and the bundle
// in force.
func runChainStep(t *testing.T, chain *Chain, bundles map[string]*Signed, i int, s *chainStep) {
	t.Helper()
	before := chain.Version()
	if s.ReadFrom > 0 {
		chain.NoteGap(s.ReadFrom)
		return
	}
	err := applyChainStep(t, chain, bundles, s)
	want, ok := chainErrors[s.Want]
	if !ok {
		t.Fatalf("step %d: unknown result %q", i, s.Want)
	}
	if !errors.Is(err, want) {
		t.Errorf("step %d: got %v, want %s", i, err, s.Want)
	}
	if chain.Version() < before {
		t.Errorf("step %d: version went from %d to %d", i, before, chain.Version())
	}
	if s.InForce == nil {
		return
	}
	wantDigest := ""
	if *s.InForce != "" {
		wantDigest = Digest(bundles[*s.InForce].Content())
	}
	if chain.Digest() != wantDigest {
		t.Errorf("step %d: in force: got version %d, want %s", i, chain.Version(), *s.InForce)
	}
}

func applyChainStep(t *testing.T, chain *Chain, bundles map[string]*Signed, s *chainStep) error {
	t.Helper()
	if s.Offer != "" && s.At > 0 {
		return chain.OfferAt(s.At, bundles[s.Offer])
	}
	if s.Offer != "" {
		return chain.Offer(bundles[s.Offer])
	}
	p := &Proof{signed: bundles[s.Adopt], endOffset: s.Covers}
	for _, name := range s.Lineage {
		p.operatorChanges = append(p.operatorChanges, bundles[name])
	}
	signed, operatorChanges, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeProof(signed, operatorChanges, p.endOffset)
	if err != nil {
		t.Fatal(err)
	}
	return chain.Adopt(decoded)
}

// TestProofVerifiesWithoutParents checks that the proof of a chain with several
// changes of operators is enough for a process that knows only the root operators
// and has none of the bundle's parents.
func TestProofVerifiesWithoutParents(t *testing.T) {
	full := NewChain(testOperators(1, "key-0"))
	parent := ""
	for v := range uint64(40) {
		signer := fmt.Sprintf("key-%d", v/10)
		next := fmt.Sprintf("key-%d", (v+1)/10)
		d := testDocument(v+1, 1, testOperators(1, next))
		d.Parent = parent
		content, err := Format(d)
		if err != nil {
			t.Fatal(err)
		}
		s := NewSigned(content)
		s.Sign(signer, testKey(signer))
		if err := full.Offer(s); err != nil {
			t.Fatalf("version %d: %v", v+1, err)
		}
		parent = Digest(content)
		fromRoots := NewChain(testOperators(1, "key-0"))
		if err := fromRoots.Adopt(full.Proof()); err != nil {
			t.Errorf("version %d: adopt: got %v, want no error", v+1, err)
		}
		if got, want := len(fromRoots.operatorChanges), len(full.operatorChanges); got != want {
			t.Errorf("version %d: changes of operators: got %d, want %d", v+1, got, want)
		}
	}
	if got, want := len(full.operatorChanges), 4; got != want {
		t.Errorf("changes of operators after 40 bundles: got %d, want %d", got, want)
	}
	newerRoots := NewChain(testOperators(1, "key-2"))
	if err := newerRoots.Adopt(full.Proof()); err != nil {
		t.Errorf("adopt with newer roots: got %v, want no error", err)
	}
}

// TestChainRemembersAcceptedDigests checks that an operator whose bundle came too
// late can be told which bundle came in force instead.
func TestChainRemembersAcceptedDigests(t *testing.T) {
	b := testBundles(t)
	chain := NewChain(testOperators(1, "alice"))
	for _, name := range []string{"a1", "b2"} {
		if err := chain.Offer(b[name]); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := chain.AcceptedDigest(2), Digest(b["b2"].Content()); got != want {
		t.Errorf("version 2: got %s, want %s", got, want)
	}
	if got := chain.AcceptedDigest(7); got != "" {
		t.Errorf("version 7: got %q, want none", got)
	}
}
