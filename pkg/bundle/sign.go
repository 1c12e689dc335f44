package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Errors returned by signature checks.
var (
	// ErrSignatures means that too few operators have signed.
	ErrSignatures = errors.New("too few operators have signed the bundle")
	// ErrCorrupt means that a signed bundle could not be decoded.
	ErrCorrupt = errors.New("the signed bundle is corrupt")
)

// Signed is a document's bytes with the operators' signatures over them.
type Signed struct {
	content    []byte
	signatures []Signature
}

// Signature is one operator's signature.
type Signature struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Sum  []byte
}

type wireSigned struct {
	Content    []byte      `cbor:"1,keyasint"`
	Signatures []Signature `cbor:"2,keyasint"`
}

// NewSigned returns content without signatures.
func NewSigned(content []byte) *Signed { return &Signed{content: content} }

// Content returns the document's bytes.
func (s *Signed) Content() []byte { return s.content }

// Sign adds the signature of the operator called name.
func (s *Signed) Sign(name string, key ed25519.PrivateKey) {
	s.signatures = append(s.signatures, Signature{Name: name, Sum: ed25519.Sign(key, s.content)})
}

// Signers returns the names given with the signatures, unchecked.
func (s *Signed) Signers() []string {
	out := make([]string, len(s.signatures))
	for i, g := range s.signatures {
		out[i] = g.Name
	}
	return out
}

// Encode returns the wire form.
func (s *Signed) Encode() ([]byte, error) {
	return cbor.Marshal(wireSigned{Content: s.content, Signatures: s.signatures})
}

// DecodeSigned reads the wire form.
func DecodeSigned(data []byte) (*Signed, error) {
	var w wireSigned
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode signed bundle"), ErrCorrupt)
	}
	return &Signed{content: w.Content, signatures: w.Signatures}, nil
}

// Digest returns the hex SHA-256 digest that names a document.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Verify checks that enough of the operators have signed.
func (o *Operators) Verify(s *Signed) error {
	valid := 0
	for _, k := range o.Keys {
		if k.signed(s) {
			valid++
		}
	}
	if valid < o.Threshold || o.Threshold < 1 {
		return errors.Wrapf(ErrSignatures, "%d valid of %d needed", valid, o.Threshold)
	}
	return nil
}

func (k *Key) signed(s *Signed) bool {
	public, err := base64.StdEncoding.DecodeString(k.Public)
	if err != nil || len(public) != ed25519.PublicKeySize {
		return false
	}
	for _, g := range s.signatures {
		if g.Name == k.Name && ed25519.Verify(public, s.content, g.Sum) {
			return true
		}
	}
	return false
}
