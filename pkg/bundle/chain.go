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
	// maxUndecided is the most bundles kept whose fate depends on what was not read.
	maxUndecided = 64
	// maxHistory is the most versions whose digest is remembered.
	maxHistory = 512
)

// Chain holds the bundle in force. It only ever moves to a bundle of a higher
// version. A chain with no bundle accepts a first bundle signed by the roots.
//
// The first valid child of the bundle in force, in the order of the log, comes
// in force next; a bundle whose parent is not in force at its offset is void. A
// chain that has not read the log without a gap since its bundle came in force
// cannot tell which child was the first. It keeps the bundles that it reads
// until a proof tells it what was in force at an offset that it has read on from.
type Chain struct {
	roots    Operators
	signed   *Signed
	document *Document
	digest   string
	// lineage holds the bundles since the roots that changed the operators.
	lineage []*Signed
	// covers is the offset before which the log is known to have put the bundle
	// in force, and nothing newer.
	covers uint64
	// start is the offset since which the log was read without a gap.
	start     uint64
	undecided []undecided
	history   map[uint64]string
}

// undecided is a bundle read at an offset after a gap.
type undecided struct {
	at     uint64
	signed *Signed
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
	return &Proof{signed: c.signed, lineage: c.lineage, covers: c.covers}
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
// caller offers every bundle of the log in order.
func (c *Chain) Offer(s *Signed) error { return c.OfferAt(c.covers, s) }

// OfferAt is Offer for a bundle at an offset of the log.
func (c *Chain) OfferAt(at uint64, s *Signed) error {
	if at < c.covers {
		return c.past(s)
	}
	if c.covers < c.start {
		c.keep(undecided{at: at, signed: s})
		return errors.Wrapf(ErrNoParent, "the log was read from offset %d, the bundle in force is known up to %d", c.start, c.covers)
	}
	c.covers = at
	d, err := c.judge(s)
	if err != nil {
		return err
	}
	c.accept(s, d)
	return nil
}

// past returns the error for a bundle from before the bundle in force was proven.
func (c *Chain) past(s *Signed) error {
	if Digest(s.content) == c.digest {
		return ErrInForce
	}
	return errors.Wrapf(ErrSuperseded, "version %d, digest %s", c.Version(), c.digest)
}

// keep remembers a bundle until it can be decided on. If there are too many, the
// reading counts from after the oldest.
func (c *Chain) keep(u undecided) {
	c.undecided = append(c.undecided, u)
	if len(c.undecided) > maxUndecided {
		c.start = c.undecided[0].at + 1
		c.undecided = c.undecided[1:]
	}
}

// ReadFrom notes that reading goes on at an offset after a gap.
func (c *Chain) ReadFrom(offset uint64) {
	c.start = offset
	c.undecided = nil
}

// ReadTo notes that every bundle before an offset has been offered.
func (c *Chain) ReadTo(next uint64) {
	if c.covers >= c.start && next > c.covers {
		c.covers = next
	}
}

// Attached reports whether the chain follows the log without a gap.
func (c *Chain) Attached() bool { return c.covers >= c.start }

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

// Adopt puts the bundle of a proof in force if its version is higher and its
// signatures follow from the operators in force here. It is meant for what a
// peer has in force and for what was carried forward in the log, where the
// bundles between may be missing.
func (c *Chain) Adopt(p *Proof) error {
	digest := Digest(p.signed.content)
	if digest == c.digest {
		c.attach(p.covers)
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
	c.signed, c.document, c.digest = p.signed, d, digest
	c.history = map[uint64]string{d.Version: digest}
	c.attach(p.covers)
	return nil
}

// attach notes that the bundle in force is that of the log before an offset. If
// the log was read from there on, the bundles read since are decided.
func (c *Chain) attach(covers uint64) {
	c.covers = max(c.covers, covers)
	if c.covers < c.start {
		return
	}
	rest := c.undecided
	c.undecided = nil
	for _, u := range rest {
		_ = c.OfferAt(u.at, u.signed) // a refusal changes nothing
	}
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
