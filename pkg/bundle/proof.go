package bundle

import (
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// maxOperatorChanges limits the number of changes of operators in a proof.
const maxOperatorChanges = 256

// Proof is a bundle in force together with the bundles that changed the operators
// before it. Each of these changes is signed by the operators that the change before it
// names, the first one by the root operators. So a process that knows only the root
// operators can verify the bundle although the bundle's parents are no longer kept.
type Proof struct {
	signed          *Signed
	operatorChanges []*Signed
	// endOffset is the offset of the log before which no newer bundle came in force.
	endOffset uint64
}

// Signed returns the proof's bundle.
func (p *Proof) Signed() *Signed { return p.signed }

// EndOffset returns the offset of the log before which no newer bundle came in force.
func (p *Proof) EndOffset() uint64 { return p.endOffset }

// Encode encodes the bundle and the bundles that changed the operators.
func (p *Proof) Encode() (signed []byte, operatorChanges [][]byte, err error) {
	for _, s := range p.operatorChanges {
		data, err := s.Encode()
		if err != nil {
			return nil, nil, err
		}
		operatorChanges = append(operatorChanges, data)
	}
	signed, err = p.signed.Encode()
	return signed, operatorChanges, err
}

// DecodeProof decodes what Encode returned into a proof for the log before endOffset.
func DecodeProof(signed []byte, operatorChanges [][]byte, endOffset uint64) (*Proof, error) {
	if len(operatorChanges) > maxOperatorChanges {
		return nil, errors.Wrapf(ErrCorrupt, "proof has too many changes of operators: got %d, want at most %d", len(operatorChanges), maxOperatorChanges)
	}
	s, err := DecodeSigned(signed)
	if err != nil {
		return nil, err
	}
	p := &Proof{signed: s, endOffset: endOffset}
	for _, data := range operatorChanges {
		change, err := DecodeSigned(data)
		if err != nil {
			return nil, err
		}
		p.operatorChanges = append(p.operatorChanges, change)
	}
	return p, nil
}

// isLastOperatorChange reports whether the proof's bundle is itself the last one of the
// proof's changes of operators.
func (p *Proof) isLastOperatorChange() bool {
	n := len(p.operatorChanges)
	return n > 0 && Digest(p.operatorChanges[n-1].content) == Digest(p.signed.content)
}

// operatorChange holds the fields of a document that are needed to verify a change
// of operators. Other fields are not read, so that documents of older formats stay
// usable.
type operatorChange struct {
	Version   uint64    `yaml:"version"`
	Operators Operators `yaml:"operators"`
}

// parseOperatorChange parses and checks the part of a document that operatorChange holds.
func parseOperatorChange(content []byte) (*operatorChange, error) {
	var s operatorChange
	if err := yaml.Unmarshal(content, &s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "lineage"), ErrInvalid)
	}
	var c checker
	c.operators(&s.Operators)
	return &s, c.err
}

// equal reports whether o and other have the same keys, in the same order, and the same
// threshold.
func (o *Operators) equal(other *Operators) bool {
	if o.Threshold != other.Threshold || len(o.Keys) != len(other.Keys) {
		return false
	}
	for i := range o.Keys {
		if o.Keys[i] != other.Keys[i] {
			return false
		}
	}
	return true
}
