package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// maxBundle bounds a signed bundle, in bytes.
const maxBundle = 4 << 20

// maxPublishing is the most bundles that are being published through one entry at once.
const maxPublishing = 8

// maxContents is the most contents of earlier bundles kept to answer with differences.
const maxContents = 4

// bundles is the entry's state of bundles.
type bundles struct {
	chain *bundle.Chain
	// contents are the documents of the newest versions, the newest last.
	contents []bundleContent
	// packed is the answer to the last asker, by the digest that it had.
	packed map[string]*link.BundleReply
	// publishing counts the publications under way.
	publishing int
}

type bundleContent struct {
	digest  string
	content []byte
}

// moved notes that another bundle has come in force; bundleMu is held.
func (b *bundles) moved() {
	b.packed = make(map[string]*link.BundleReply)
	b.contents = append(b.contents, bundleContent{digest: b.chain.Digest(), content: b.chain.Signed().Content()})
	if len(b.contents) > maxContents {
		b.contents = b.contents[1:]
	}
}

func (b *bundles) content(digest string) []byte {
	for _, c := range b.contents {
		if c.digest == digest {
			return c.content
		}
	}
	return nil
}

// reply returns the answer to an asker that has the bundle with digest have.
func (b *bundles) reply(have string) (*link.BundleReply, error) {
	proof := b.chain.Proof()
	if proof == nil || have == b.chain.Digest() {
		return &link.BundleReply{}, nil
	}
	base := b.content(have)
	if base == nil {
		have = ""
	}
	if r, ok := b.packed[have]; ok {
		return r, nil
	}
	signed, lineage, err := proof.Encode()
	if err != nil {
		return nil, err
	}
	packed, err := link.Pack(signed, base)
	if err != nil {
		return nil, err
	}
	r := &link.BundleReply{Packed: packed, Base: have, Lineage: lineage, Covers: proof.EndOffset()}
	b.packed[have] = r
	return r, nil
}

func (e *Entry) answerBundle(_ context.Context, _ link.Peer, q *link.BundleQuery) (*link.BundleReply, error) {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	return e.bundle.reply(q.Have)
}

// deliverBundles takes in the records of the bundles stream.
func (e *Entry) deliverBundles(records []record.Record, next uint64, _ time.Time) {
	now := time.Now()
	for _, r := range records {
		m, ok := r.Message().(*record.Bundle)
		if !ok {
			continue
		}
		digest := e.takeBundle(r.Position().Offset(), m)
		e.bundleMu.Lock()
		inForce := digest != "" && digest == e.bundle.chain.Digest()
		e.bundleMu.Unlock()
		if inForce && m.CarriedForward {
			e.carried.bundleCopied(now, writtenAt(m.WrittenMS), m.EndOffset)
		}
	}
	e.bundleMu.Lock()
	e.bundle.chain.NoteReadTo(next)
	e.bundleMu.Unlock()
}

// bundlesLost is called when bundles were lost to retention: which one came in
// force is then known from the next one that was carried forward.
func (e *Entry) bundlesLost(_ context.Context, page record.Page) uint64 {
	e.bundleMu.Lock()
	e.bundle.chain.NoteGap(page.FirstOffset)
	e.bundleMu.Unlock()
	e.log.Info().Uint64("first", page.FirstOffset).Msg("reading bundles from the first offset kept")
	return page.FirstOffset
}

func writtenAt(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// takeBundle offers a record's bundle to the chain and returns its digest, or "".
func (e *Entry) takeBundle(at uint64, m *record.Bundle) string {
	proof, err := bundle.DecodeProof(m.Signed, m.OperatorChanges, m.EndOffset)
	if err != nil {
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Msg("")
		return ""
	}
	offer := func(c *bundle.Chain) error { return c.OfferAt(at, proof.Signed()) }
	if m.CarriedForward {
		offer = func(c *bundle.Chain) error { return c.Adopt(proof) }
	}
	e.offerBundle(offer, "log")
	return bundle.Digest(proof.Signed().Content())
}

// offerBundle lets offer move the chain and logs what came of it.
func (e *Entry) offerBundle(offer func(*bundle.Chain) error, source string) {
	e.bundleMu.Lock()
	err := offer(e.bundle.chain)
	if err == nil {
		e.bundle.moved()
	}
	version, digest := e.bundle.chain.Version(), e.bundle.chain.Digest()
	e.bundleMu.Unlock()
	switch {
	case err == nil:
		e.log.Info().Str("decision", "accept-bundle").Str("source", source).Uint64("version", version).Str("digest", digest).Msg("")
	case errors.Is(err, bundle.ErrInForce):
	default:
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Str("source", source).Uint64("version-in-force", version).Msg("")
	}
}

// BundleResult is the JSON form of what became of a published bundle.
type BundleResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version-in-force"`
	Digest   string `json:"digest-in-force"`
	// Winner is the digest of the bundle that came in force as this one's version.
	Winner string `json:"winner,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// publishWait bounds the wait until the bundle was read back from the log.
const publishWait = 10 * time.Second

// publishPoll is how often the chain is looked at meanwhile.
const publishPoll = 50 * time.Millisecond

func (e *Entry) servePublish(w http.ResponseWriter, r *http.Request) {
	if !e.beginPublish() {
		p := problem.New(http.StatusTooManyRequests, "", "too many bundles are being published")
		p.RetryAfter = publishWait
		p.Write(w)
		return
	}
	defer e.endPublish()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBundle))
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body", "the bundle is too large").Write(w)
		return
	}
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		problem.New(http.StatusBadRequest, "bundle", err.Error()).Write(w)
		return
	}
	d, err := bundle.Parse(signed.Content())
	if err != nil {
		problem.New(http.StatusBadRequest, "bundle", err.Error()).Write(w)
		return
	}
	if e.refusedBefore(w, r, signed, d) {
		return
	}
	m := &record.Bundle{Signed: data, WrittenMS: time.Now().UnixMilli()}
	if err := e.bundles.Append(r.Context(), m); err != nil {
		p := problem.New(http.StatusServiceUnavailable, "", "the log is slow; publishing the same bundle again is safe")
		p.RetryAfter = publishWait
		if errors.Is(err, record.ErrOutcomeUnknown) {
			p.Outcome = problem.Unknown
		}
		p.Write(w)
		return
	}
	e.awaitVersion(w, r, signed, d)
}

func (e *Entry) beginPublish() bool {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	if e.bundle.publishing >= maxPublishing {
		return false
	}
	e.bundle.publishing++
	return true
}

func (e *Entry) endPublish() {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	e.bundle.publishing--
}

// refusedBefore answers for a bundle that needs no append: one whose fate is
// known or that could not come in force. A bundle whose parent is not in force
// yet is waited for.
func (e *Entry) refusedBefore(w http.ResponseWriter, r *http.Request, s *bundle.Signed, d *bundle.Document) bool {
	for waited := time.Duration(0); ; waited += publishPoll {
		if result, known := e.result(s, d); known {
			writeResult(w, result)
			return true
		}
		e.bundleMu.Lock()
		err := e.bundle.chain.Check(s)
		e.bundleMu.Unlock()
		if err == nil {
			return false
		}
		if !errors.Is(err, bundle.ErrNoParent) || waited >= publishWait || !delay.For(r.Context(), publishPoll) {
			problem.New(http.StatusConflict, "bundle", err.Error()).Write(w)
			return true
		}
	}
}

// result returns what became of a bundle, if that is known.
func (e *Entry) result(s *bundle.Signed, d *bundle.Document) (BundleResult, bool) {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	c := e.bundle.chain
	r := BundleResult{Version: c.Version(), Digest: c.Digest(), Winner: c.AcceptedDigest(d.Version)}
	switch {
	case r.Winner == bundle.Digest(s.Content()):
		r.Accepted = true
		return r, true
	case r.Winner != "":
		r.Detail = "another bundle of this version came first"
		return r, true
	case r.Version >= d.Version:
		r.Detail = "a newer bundle is in force; which one came in force as this version is not known here"
		return r, true
	}
	return r, false
}

func writeResult(w http.ResponseWriter, r BundleResult) {
	status := http.StatusConflict
	if r.Accepted {
		status = http.StatusOK
	}
	writeJSON(w, status, r)
}

// awaitVersion answers with what became of an appended bundle.
func (e *Entry) awaitVersion(w http.ResponseWriter, r *http.Request, s *bundle.Signed, d *bundle.Document) {
	for waited := time.Duration(0); waited < publishWait; waited += publishPoll {
		if result, known := e.result(s, d); known {
			writeResult(w, result)
			return
		}
		if !delay.For(r.Context(), publishPoll) {
			return
		}
	}
	p := problem.New(http.StatusGatewayTimeout, "", "the bundle has not been read back from the log yet")
	p.Outcome = problem.Unknown
	p.Write(w)
}

func (e *Entry) serveBundle(w http.ResponseWriter, _ *http.Request) {
	e.bundleMu.Lock()
	signed := e.bundle.chain.Signed()
	e.bundleMu.Unlock()
	if signed == nil {
		problem.New(http.StatusNotFound, "bundle", "no bundle is in force yet").Write(w)
		return
	}
	data, err := signed.Encode()
	if err != nil {
		problem.New(http.StatusInternalServerError, "", err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}
