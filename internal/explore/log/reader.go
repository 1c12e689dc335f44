package log

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxRead is the most batches of one read.
const maxRead = 7

// reader follows the log as an entry does.
type reader struct {
	next  uint64
	dedup record.Deduper
	seen  map[string]uint64
	chain *bundle.Chain
}

func newReader() *reader {
	return &reader{seen: make(map[string]uint64), chain: bundle.NewChain(operators("alice"))}
}

// read delivers the next batches to a reader. A reader whose offset has expired
// goes on at the first one kept: what it lacks is in a snapshot, which this
// exploration does not model.
func (w *world) read(r *reader) error {
	if r.next < w.first {
		r.next = w.first
		r.chain.NoteGap(w.first)
		r.dedup = record.Deduper{}
		r.seen = make(map[string]uint64)
	}
	from := r.next
	for range 1 + w.random.IntN(maxRead) {
		if r.next == w.next() {
			break
		}
		records, skipped, err := record.Decode(r.next, w.batches[r.next-w.first])
		if err != nil || skipped > 0 {
			return errors.Wrapf(ErrLost, "offset %d: skipped %d: %v", r.next, skipped, err)
		}
		for _, rec := range records {
			if err := w.take(r, rec); err != nil {
				return err
			}
		}
		r.next++
		r.chain.NoteReadTo(r.next)
	}
	return w.complete(r, from)
}

// take lets one record take effect.
func (w *world) take(r *reader, rec record.Record) error {
	switch m := rec.Message().(type) {
	case *record.Forget:
		if !r.dedup.Accept(rec) {
			return nil
		}
		if _, ok := r.seen[m.Jobs[0]]; ok {
			return errors.Wrapf(ErrDoubled, "%s at offset %d", m.Jobs[0], rec.Position().Offset())
		}
		r.seen[m.Jobs[0]] = rec.Position().Offset()
	case *record.Bundle:
		return w.takeBundle(r.chain, m, rec.Position().Offset())
	}
	return nil
}

// complete checks that every acknowledged record of the offsets read was seen.
func (w *world) complete(r *reader, from uint64) error {
	for name, offset := range w.acknowledged {
		if offset < from || offset >= r.next {
			continue
		}
		if _, ok := r.seen[name]; !ok {
			return errors.Wrapf(ErrLost, "%s at offset %d", name, offset)
		}
	}
	return nil
}

func (w *world) takeBundle(c *bundle.Chain, m *record.Bundle, offset uint64) error {
	proof, err := bundle.DecodeProof(m.Signed, m.OperatorChanges, m.EndOffset)
	if err != nil {
		return errors.Wrap(ErrLost, err.Error())
	}
	err = moveChain(c, func() error {
		if m.CarriedForward {
			return c.Adopt(proof)
		}
		return c.OfferAt(offset, proof.Signed())
	})
	if m.CarriedForward && bundle.Digest(proof.Signed().Content()) == c.Digest() {
		w.carry.NoteCopy(w.time(), w.time(), m.EndOffset)
	}
	return err
}

// moveChain lets a chain take in a bundle and checks that it does not go back.
func moveChain(c *bundle.Chain, offer func() error) error {
	version, digest := c.Version(), c.Digest()
	_ = offer() // a refusal is an outcome of its own
	if c.Version() < version || (c.Version() == version && c.Digest() != digest) {
		return errors.Wrapf(ErrReverted, "from version %d to %d", version, c.Version())
	}
	return nil
}

// follower learns bundles from readers, as an agent does.
type follower struct{ chain *bundle.Chain }

func newFollower() *follower { return &follower{chain: bundle.NewChain(operators("alice"))} }

func (w *world) follow() error {
	return w.adopt(w.followers[w.random.IntN(followers)], w.readers[w.random.IntN(readers)])
}

func (w *world) adopt(f *follower, r *reader) error {
	proof := r.chain.Proof()
	if proof == nil {
		return nil
	}
	return moveChain(f.chain, func() error { return f.chain.Adopt(proof) })
}
