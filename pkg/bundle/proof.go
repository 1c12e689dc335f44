package bundle

import (
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// maxLineage is the most changes of operators that a proof may carry.
const maxLineage = 256

// Proof is a bundle in force with the bundles that changed the operators
// before it. Each of those is signed by the operators that the one before named,
// so that a process which knows only the roots can verify the bundle although
// its parents are no longer kept.
type Proof struct {
	signed  *Signed
	lineage []*Signed
}

// Signed returns the proof's bundle.
func (p *Proof) Signed() *Signed { return p.signed }

// Encode returns the wire forms of the bundle and its lineage.
func (p *Proof) Encode() (signed []byte, lineage [][]byte, err error) {
	for _, s := range p.lineage {
		data, err := s.Encode()
		if err != nil {
			return nil, nil, err
		}
		lineage = append(lineage, data)
	}
	signed, err = p.signed.Encode()
	return signed, lineage, err
}

// DecodeProof reads the wire forms.
func DecodeProof(signed []byte, lineage [][]byte) (*Proof, error) {
	if len(lineage) > maxLineage {
		return nil, errors.Wrapf(ErrCorrupt, "a lineage of %d bundles, want at most %d", len(lineage), maxLineage)
	}
	s, err := DecodeSigned(signed)
	if err != nil {
		return nil, err
	}
	p := &Proof{signed: s}
	for _, data := range lineage {
		step, err := DecodeSigned(data)
		if err != nil {
			return nil, err
		}
		p.lineage = append(p.lineage, step)
	}
	return p, nil
}

// endsLineage reports whether the bundle itself is the last change of operators.
func (p *Proof) endsLineage() bool {
	n := len(p.lineage)
	return n > 0 && Digest(p.lineage[n-1].content) == Digest(p.signed.content)
}

// step is what a lineage needs to know of a document. Other fields are not
// read, so that documents of older formats stay usable.
type step struct {
	Version   uint64    `yaml:"version"`
	Operators Operators `yaml:"operators"`
}

func parseStep(content []byte) (*step, error) {
	var s step
	if err := yaml.Unmarshal(content, &s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "lineage"), ErrInvalid)
	}
	var c checker
	c.operators(&s.Operators)
	return &s, c.err
}

// equal reports whether both name the same keys and threshold.
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
