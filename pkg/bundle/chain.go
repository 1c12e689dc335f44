package bundle

import "github.com/cockroachdb/errors"

// Errors returned by Chain.Offer.
var (
	// ErrSuperseded means that another bundle with the same parent came first, or a newer one is in force.
	ErrSuperseded = errors.New("another bundle is in force")
	// ErrNoParent means that the bundle's parent is not known here yet.
	ErrNoParent = errors.New("the bundle's parent is not known")
	// ErrInForce means that the bundle is in force already.
	ErrInForce = errors.New("the bundle is in force already")
)

// Chain holds the bundle in force. It only ever moves to a bundle of a higher
// version. A chain with no bundle accepts a first bundle signed by the roots.
type Chain struct {
	roots    Operators
	signed   *Signed
	document *Document
	digest   string
}

// NewChain returns a chain whose first bundle must be signed by roots.
func NewChain(roots Operators) *Chain { return &Chain{roots: roots} }

// Document returns the document in force, or nil.
func (c *Chain) Document() *Document { return c.document }

// Digest returns the digest of the document in force, or "".
func (c *Chain) Digest() string { return c.digest }

// Version returns the version in force, or 0.
func (c *Chain) Version() uint64 {
	if c.document == nil {
		return 0
	}
	return c.document.Version
}

// Signed returns the signed bundle in force, or nil.
func (c *Chain) Signed() *Signed { return c.signed }

// Offer puts s in force if it is a valid child of the bundle in force.
func (c *Chain) Offer(s *Signed) error {
	digest := Digest(s.content)
	if digest == c.digest {
		return ErrInForce
	}
	d, err := Parse(s.content)
	if err != nil {
		return err
	}
	if d.Version <= c.Version() {
		return errors.Wrapf(ErrSuperseded, "version %d, digest %s", c.Version(), c.digest)
	}
	if d.Parent != c.digest {
		return errors.Wrapf(ErrNoParent, "parent %q, in force %q", d.Parent, c.digest)
	}
	if err := c.signers().Verify(s); err != nil {
		return err
	}
	c.signed, c.document, c.digest = s, d, digest
	return nil
}

func (c *Chain) signers() *Operators {
	if c.document == nil {
		return &c.roots
	}
	return &c.document.Operators
}
