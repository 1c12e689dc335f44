package bundle

import "github.com/cockroachdb/errors"

// Errors returned by Chain.
var (
	// ErrSuperseded means that another bundle with the same parent came first, or a newer one is in force.
	ErrSuperseded = errors.New("another bundle is in force")
	// ErrNoParent means that the bundle's parent is not known here yet.
	ErrNoParent = errors.New("the bundle's parent is not known")
	// ErrInForce means that the bundle is in force already.
	ErrInForce = errors.New("the bundle is in force already")
)

// Limits of a chain.
const (
	// maxWaiting is the most bundles kept that wait for their parent.
	maxWaiting = 16
	// maxHistory is the most versions whose digest is remembered.
	maxHistory = 512
)

// Chain holds the bundle in force. It only ever moves to a bundle of a higher
// version. A chain with no bundle accepts a first bundle signed by the roots.
type Chain struct {
	roots    Operators
	signed   *Signed
	document *Document
	digest   string
	// lineage holds the bundles since the roots that changed the operators.
	lineage []*Signed
	waiting []*Signed
	history map[uint64]string
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

// Proof returns the bundle in force with what a process that knows only the
// roots needs to verify it, or nil.
func (c *Chain) Proof() *Proof {
	if c.signed == nil {
		return nil
	}
	return &Proof{signed: c.signed, lineage: c.lineage}
}

// Accepted returns the digest of the bundle that was in force as version. It is
// "" for a version that is not remembered.
func (c *Chain) Accepted(version uint64) string { return c.history[version] }

// Check returns the error that Offer would return, and changes nothing.
func (c *Chain) Check(s *Signed) error {
	_, err := c.judge(s)
	return err
}

// Offer puts s in force if it is a valid child of the bundle in force. The
// caller offers bundles in the order of the log. A bundle whose parent is not
// known waits, and is offered again when its parent has come in force.
func (c *Chain) Offer(s *Signed) error {
	d, err := c.judge(s)
	if errors.Is(err, ErrNoParent) {
		c.await(s)
	}
	if err != nil {
		return err
	}
	c.accept(s, d)
	c.offerWaiting()
	return nil
}

// await keeps a bundle until its parent arrives. The oldest one gives way.
func (c *Chain) await(s *Signed) {
	for _, w := range c.waiting {
		if Digest(w.content) == Digest(s.content) {
			return
		}
	}
	c.waiting = append(c.waiting, s)
	if len(c.waiting) > maxWaiting {
		c.waiting = c.waiting[1:]
	}
}

// judge returns the document of s if it may come in force now.
func (c *Chain) judge(s *Signed) (*Document, error) {
	digest := Digest(s.content)
	if digest == c.digest {
		return nil, ErrInForce
	}
	d, err := Parse(s.content)
	if err != nil {
		return nil, err
	}
	if d.Version <= c.Version() {
		return nil, errors.Wrapf(ErrSuperseded, "version %d, digest %s", c.Version(), c.digest)
	}
	if d.Parent != c.digest {
		return nil, errors.Wrapf(ErrNoParent, "parent %q, in force %q", d.Parent, c.digest)
	}
	return d, c.signers().Verify(s)
}

// accept puts a judged bundle in force.
func (c *Chain) accept(s *Signed, d *Document) {
	if !d.Operators.equal(c.signers()) {
		c.lineage = append(c.lineage[:len(c.lineage):len(c.lineage)], s)
	}
	c.signed, c.document, c.digest = s, d, Digest(s.content)
	if c.history == nil {
		c.history = make(map[uint64]string)
	}
	c.history[d.Version] = c.digest
	for v := range c.history {
		if v+maxHistory <= d.Version {
			delete(c.history, v)
		}
	}
}

// offerWaiting offers the waiting bundles again, in the order in which they came.
func (c *Chain) offerWaiting() {
	for i := 0; i < len(c.waiting); i++ {
		s := c.waiting[i]
		d, err := c.judge(s)
		if errors.Is(err, ErrNoParent) {
			continue
		}
		c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
		i--
		if err == nil {
			c.accept(s, d)
			i = -1
		}
	}
}

// Adopt puts the bundle of a proof in force if its version is higher and its
// signatures follow from the operators in force here. It is meant for what a
// peer has in force and for what was carried forward in the log, where the
// bundles between may be missing.
func (c *Chain) Adopt(p *Proof) error {
	digest := Digest(p.signed.content)
	if digest == c.digest {
		return ErrInForce
	}
	d, err := Parse(p.signed.content)
	if err != nil {
		return err
	}
	if d.Version <= c.Version() {
		return errors.Wrapf(ErrSuperseded, "version %d, digest %s", c.Version(), c.digest)
	}
	trusted, steps, err := c.follow(p, d)
	if err != nil {
		return err
	}
	if err := trusted.Verify(p.signed); err != nil {
		return err
	}
	c.lineage = append(c.lineage[:len(c.lineage):len(c.lineage)], steps...)
	if !d.Operators.equal(trusted) && !p.endsLineage() {
		c.lineage = append(c.lineage, p.signed)
	}
	c.putAdopted(p.signed, d, digest)
	return nil
}

func (c *Chain) putAdopted(s *Signed, d *Document, digest string) {
	c.signed, c.document, c.digest = s, d, digest
	c.history = map[uint64]string{d.Version: digest}
	c.offerWaiting()
}

// follow walks the proof's changes of operators from the operators in force
// here. It returns the operators that must have signed the proof's bundle.
func (c *Chain) follow(p *Proof, d *Document) (*Operators, []*Signed, error) {
	trusted := c.signers()
	version := c.Version()
	var steps []*Signed
	for _, s := range p.lineage {
		step, err := parseStep(s.content)
		if err != nil {
			return nil, nil, err
		}
		if step.Version <= version || trusted.Verify(s) != nil {
			continue
		}
		if step.Version > d.Version {
			return nil, nil, errors.Wrapf(ErrCorrupt, "the lineage names version %d after version %d", step.Version, d.Version)
		}
		steps = append(steps, s)
		version = step.Version
		if Digest(s.content) != Digest(p.signed.content) {
			trusted = &step.Operators
		}
	}
	return trusted, steps, nil
}

func (c *Chain) signers() *Operators {
	if c.document == nil {
		return &c.roots
	}
	return &c.document.Operators
}
