package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Errors returned when signed bundles are decoded and verified.
var (
	// ErrTooFewSignatures means that too few operators have signed.
	ErrTooFewSignatures = errors.New("too few operators have signed the bundle")
	// ErrCorrupt means that a signed bundle could not be decoded.
	ErrCorrupt = errors.New("the signed bundle is corrupt")
)

// Signed is a bundle: the bytes of a document, and operators' signatures of them.
type Signed struct {
	content    []byte
	signatures []Signature
}

// Signature is the ed25519 signature of one operator.
type Signature struct {
	_ struct{} `cbor:",toarray"`
	// Name is the operator's name.
	Name string
	// Sum is the signature of the document's bytes.
	Sum []byte
}

type wireSigned struct {
	Content    []byte      `cbor:"1,keyasint"`
	Signatures []Signature `cbor:"2,keyasint"`
}

// NewSigned returns a bundle without signatures.
func NewSigned(content []byte) *Signed { return &Signed{content: content} }

// Content returns the bytes of the document.
func (s *Signed) Content() []byte { return s.content }

// Sign adds the signature of the operator with the given name.
func (s *Signed) Sign(name string, key ed25519.PrivateKey) {
	s.signatures = append(s.signatures, Signature{Name: name, Sum: ed25519.Sign(key, s.content)})
}

// Signers returns the names of the operators whose signatures are attached. The
// signatures are not verified.
func (s *Signed) Signers() []string {
	out := make([]string, len(s.signatures))
	for i, g := range s.signatures {
		out[i] = g.Name
	}
	return out
}

// Encode encodes the bundle.
func (s *Signed) Encode() ([]byte, error) {
	return cbor.Marshal(wireSigned{Content: s.content, Signatures: s.signatures})
}

// DecodeSigned decodes a bundle without verifying its signatures.
func DecodeSigned(data []byte) (*Signed, error) {
	var w wireSigned
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode signed bundle"), ErrCorrupt)
	}
	return &Signed{content: w.Content, signatures: w.Signatures}, nil
}

// Digest returns the SHA-256 digest of a document in hex, by which it is identified.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Verify checks that at least Threshold of the operators have signed the bundle.
func (o *Operators) Verify(s *Signed) error {
	valid := 0
	for _, k := range o.Keys {
		if k.hasSigned(s) {
			valid++
		}
	}
	if valid < o.Threshold || o.Threshold < 1 {
		return errors.Wrapf(ErrTooFewSignatures, "got %d valid signatures, want %d", valid, o.Threshold)
	}
	return nil
}

// hasSigned reports whether the bundle has a valid signature by this key's operator.
func (k *Key) hasSigned(s *Signed) bool {
	public, err := base64.StdEncoding.DecodeString(k.PublicKey)
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
