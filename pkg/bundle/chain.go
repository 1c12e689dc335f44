package bundle

import "github.com/cockroachdb/errors"

// Errors returned by Chain.
var (
	// ErrSuperseded means that another bundle with the same parent came first, or
	// that a newer one is in force.
	ErrSuperseded = errors.New("another bundle is in force")
	// ErrNoParent means that the bundle's parent is not known to this process yet.
	ErrNoParent = errors.New("the bundle's parent is not known")
	// ErrInForce means that the bundle itself is already in force.
	ErrInForce = errors.New("the bundle is already in force")
)

// Limits on what a chain keeps.
const (
	// maxUndecided limits the number of bundles kept that cannot be decided on before
	// a proof takes the part of the log that was not read into account.
	maxUndecided = 64
	// maxHistoryVersions limits the number of versions whose digest is remembered.
	maxHistoryVersions = 512
)

// Chain holds the bundle in force and decides which bundle comes in force next. It
// only ever moves to a bundle of a higher version. A chain without a bundle accepts
// a first bundle that the root operators have signed.
//
// Of the valid children of the bundle in force, the first one in the order of the
// log comes in force next; a bundle whose parent is not in force at its offset has
// no effect. A chain that has missed part of the log since its bundle came in force
// cannot tell which child was the first. Such a chain keeps the bundles that it reads
// until a proof shows which bundle was in force at an offset from which the chain has
// read the log without a gap.
type Chain struct {
	roots    Operators
	signed   *Signed
	document *Document
	digest   string
	// operatorChanges holds the bundles that changed the operators, from the roots on.
	operatorChanges []*Signed
	// endOffset is the exclusive end of the part of the log that is taken into account:
	// this part has put the bundle above in force and no newer one.
	endOffset uint64
	// readFromOffset is the offset from which the log was read without a gap.
	readFromOffset uint64
	// undecided holds the bundles that were read after a gap, in the order of the log.
	undecided []undecidedBundle
	// digestByVersion holds the digests of the bundles that came in force.
	digestByVersion map[uint64]string
}

// undecidedBundle is a bundle that was read after a gap in the log, and the bundle's
// offset.
type undecidedBundle struct {
	offset uint64
	signed *Signed
}

// NewChain returns a chain whose first bundle must be signed by the root operators.
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

// Proof returns the bundle in force together with what a process that knows only
// the root operators needs to verify it, or nil.
func (c *Chain) Proof() *Proof {
	if c.signed == nil {
		return nil
	}
	return &Proof{signed: c.signed, operatorChanges: c.operatorChanges, endOffset: c.endOffset}
}

// AcceptedDigest returns the digest of the bundle with the given version that came in
// force, or "" if the chain does not remember it.
func (c *Chain) AcceptedDigest(version uint64) string { return c.digestByVersion[version] }

// Check returns the error that Offer would return, without changing anything.
func (c *Chain) Check(s *Signed) error {
	_, err := c.validate(s)
	return err
}

// Offer puts s in force if it is a valid child of the bundle in force. The caller
// must offer the bundles of the log in their order.
func (c *Chain) Offer(s *Signed) error { return c.OfferAt(c.endOffset, s) }

// OfferAt is like Offer for a bundle at a known offset of the log. If the bundle
// cannot be decided on yet, OfferAt keeps it and returns ErrNoParent.
func (c *Chain) OfferAt(offset uint64, s *Signed) error {
	if offset < c.endOffset {
		return c.decidedError(s)
	}
	if c.endOffset < c.readFromOffset {
		c.addUndecided(undecidedBundle{offset: offset, signed: s})
		return errors.Wrapf(ErrNoParent, "the log was read from offset %d on, but the bundle in force is known only up to offset %d", c.readFromOffset, c.endOffset)
	}
	c.endOffset = offset
	d, err := c.validate(s)
	if err != nil {
		return err
	}
	c.putInForce(s, d)
	return nil
}

// decidedError returns the error for a bundle at an offset before endOffset, on which
// the chain has already decided: ErrInForce if the bundle is the one in force, otherwise
// ErrSuperseded.
func (c *Chain) decidedError(s *Signed) error {
	if Digest(s.content) == c.digest {
		return ErrInForce
	}
	return errors.Wrapf(ErrSuperseded, "version %d, digest %s", c.Version(), c.digest)
}

// addUndecided keeps a bundle until it can be decided on. If there are too many, it
// drops the oldest one and treats the log as read only from after the offset of that one.
func (c *Chain) addUndecided(u undecidedBundle) {
	c.undecided = append(c.undecided, u)
	if len(c.undecided) > maxUndecided {
		c.readFromOffset = c.undecided[0].offset + 1
		c.undecided = c.undecided[1:]
	}
}

// NoteGap notes that part of the log was skipped and that reading continues at the
// given offset. Undecided bundles from before the gap are dropped.
func (c *Chain) NoteGap(offset uint64) {
	c.readFromOffset = offset
	c.undecided = nil
}

// NoteReadTo notes that every bundle before an offset of the log has been offered.
func (c *Chain) NoteReadTo(next uint64) {
	if c.endOffset >= c.readFromOffset && next > c.endOffset {
		c.endOffset = next
	}
}

// InSync reports whether the chain has read the log without a gap since its end
// offset, so that it can decide on the next bundle.
func (c *Chain) InSync() bool { return c.endOffset >= c.readFromOffset }

// validate returns the document of s if s may come in force now.
func (c *Chain) validate(s *Signed) (*Document, error) {
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

// putInForce puts the bundle s, which was found valid and has the document d, in force.
func (c *Chain) putInForce(s *Signed, d *Document) {
	if !d.Operators.equal(c.signers()) {
		c.operatorChanges = append(c.operatorChanges[:len(c.operatorChanges):len(c.operatorChanges)], s)
	}
	c.signed, c.document, c.digest = s, d, Digest(s.content)
	if c.digestByVersion == nil {
		c.digestByVersion = make(map[uint64]string)
	}
	c.digestByVersion[d.Version] = c.digest
	for v := range c.digestByVersion {
		if v+maxHistoryVersions <= d.Version {
			delete(c.digestByVersion, v)
		}
	}
}

// Adopt puts the bundle of a proof in force if the bundle's version is higher than the
// one in force and the proof leads from the operators in force here to the bundle's
// signatures. It is meant for a bundle that a peer has in force or that was carried
// forward in the log, where the bundles in between may be missing.
func (c *Chain) Adopt(p *Proof) error {
	digest := Digest(p.signed.content)
	if digest == c.digest {
		c.advanceEndOffset(p.endOffset)
		return ErrInForce
	}
	d, err := Parse(p.signed.content)
	if err != nil {
		return err
	}
	if d.Version <= c.Version() {
		return errors.Wrapf(ErrSuperseded, "version %d, digest %s", c.Version(), c.digest)
	}
	trusted, changes, err := c.verifyOperatorChanges(p, d)
	if err != nil {
		return err
	}
	if err := trusted.Verify(p.signed); err != nil {
		return err
	}
	c.operatorChanges = append(c.operatorChanges[:len(c.operatorChanges):len(c.operatorChanges)], changes...)
	if !d.Operators.equal(trusted) && !p.isLastOperatorChange() {
		c.operatorChanges = append(c.operatorChanges, p.signed)
	}
	c.signed, c.document, c.digest = p.signed, d, digest
	c.digestByVersion = map[uint64]string{d.Version: digest}
	c.advanceEndOffset(p.endOffset)
	return nil
}

// advanceEndOffset notes that the bundle in force is the newest one that the log has
// put in force before the given offset. If the log was read from that offset on without
// a gap, advanceEndOffset then decides on the undecided bundles.
func (c *Chain) advanceEndOffset(offset uint64) {
	c.endOffset = max(c.endOffset, offset)
	if c.endOffset < c.readFromOffset {
		return
	}
	rest := c.undecided
	c.undecided = nil
	for _, u := range rest {
		_ = c.OfferAt(u.offset, u.signed) // an invalid bundle has no effect
	}
}

// verifyOperatorChanges follows the proof's changes of operators, starting with the
// operators in force here. It returns the operators who must have signed the
// proof's bundle, and the changes whose signatures it has verified. d is the document of
// the proof's bundle.
func (c *Chain) verifyOperatorChanges(p *Proof, d *Document) (*Operators, []*Signed, error) {
	trusted := c.signers()
	version := c.Version()
	var changes []*Signed
	for _, s := range p.operatorChanges {
		change, err := parseOperatorChange(s.content)
		if err != nil {
			return nil, nil, err
		}
		if change.Version <= version || trusted.Verify(s) != nil {
			continue
		}
		if change.Version > d.Version {
			return nil, nil, errors.Wrapf(ErrCorrupt, "the proof has a change of operators in version %d, but its bundle has version %d", change.Version, d.Version)
		}
		changes = append(changes, s)
		version = change.Version
		if Digest(s.content) != Digest(p.signed.content) {
			trusted = &change.Operators
		}
	}
	return trusted, changes, nil
}

// signers returns the operators who must sign the next bundle.
func (c *Chain) signers() *Operators {
	if c.document == nil {
		return &c.roots
	}
	return &c.document.Operators
}
