package log

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxBatchesPerRead bounds the batches of one read.
const maxBatchesPerRead = 7

// reader reads the log as an entry does.
type reader struct {
	nextOffset uint64
	dedup      record.Deduper
	// seen holds, by job, the offset of the applied record that names the job.
	seen  map[string]uint64
	chain *bundle.Chain
}

func newReader() *reader {
	return &reader{seen: make(map[string]uint64), chain: bundle.NewChain(operators("alice"))}
}

// read passes the next batches to a reader. If the log's retention has dropped the
// reader's next offset, the reader continues at the first offset retained. The state
// that it then lacks is in a snapshot, which this simulation does not model.
func (w *world) read(r *reader) error {
	if r.nextOffset < w.firstOffset {
		r.nextOffset = w.firstOffset
		r.chain.NoteGap(w.firstOffset)
		r.dedup = record.Deduper{}
		r.seen = make(map[string]uint64)
	}
	fromOffset := r.nextOffset
	for range 1 + w.random.IntN(maxBatchesPerRead) {
		if r.nextOffset == w.endOffset() {
			break
		}
		records, skipped, err := record.Decode(r.nextOffset, w.batches[r.nextOffset-w.firstOffset])
		if err != nil || skipped > 0 {
			return errors.Wrapf(ErrLost, "offset %d: skipped %d: %v", r.nextOffset, skipped, err)
		}
		for _, rec := range records {
			if err := w.applyRecord(r, rec); err != nil {
				return err
			}
		}
		r.nextOffset++
		r.chain.NoteReadTo(r.nextOffset)
	}
	return w.checkAcknowledged(r, fromOffset)
}

// applyRecord applies one record at a reader.
func (w *world) applyRecord(r *reader, rec record.Record) error {
	switch m := rec.Message().(type) {
	case *record.Forget:
		if !r.dedup.Accept(rec) {
			return nil
		}
		if _, ok := r.seen[m.Jobs[0]]; ok {
			return errors.Wrapf(ErrAppliedTwice, "%s at offset %d", m.Jobs[0], rec.Position().Offset())
		}
		r.seen[m.Jobs[0]] = rec.Position().Offset()
	case *record.Bundle:
		return w.applyBundle(r.chain, m, rec.Position().Offset())
	}
	return nil
}

// checkAcknowledged checks that a reader has seen every acknowledged record from
// fromOffset up to the reader's next offset.
func (w *world) checkAcknowledged(r *reader, fromOffset uint64) error {
	for name, offset := range w.acknowledged {
		if offset < fromOffset || offset >= r.nextOffset {
			continue
		}
		if _, ok := r.seen[name]; !ok {
			return errors.Wrapf(ErrLost, "%s at offset %d", name, offset)
		}
	}
	return nil
}

// applyBundle passes a bundle that the log holds at an offset to a chain.
func (w *world) applyBundle(c *bundle.Chain, m *record.Bundle, offset uint64) error {
	proof, err := bundle.DecodeProof(m.Signed, m.OperatorChanges, m.EndOffset)
	if err != nil {
		return errors.Wrap(ErrLost, err.Error())
	}
	err = updateChain(c, func() error {
		if m.CarriedForward {
			return c.Adopt(proof)
		}
		return c.OfferAt(offset, proof.Signed())
	})
	if m.CarriedForward && bundle.Digest(proof.Signed().Content()) == c.Digest() {
		w.carrySchedule.NoteCopy(w.time(), w.time(), m.EndOffset)
	}
	return err
}

// updateChain calls update, which offers a bundle to a chain, and checks that update did
// not revert the chain's bundle in force.
func updateChain(c *bundle.Chain, update func() error) error {
	version, digest := c.Version(), c.Digest()
	_ = update() // the chain may refuse the bundle
	if c.Version() < version || (c.Version() == version && c.Digest() != digest) {
		return errors.Wrapf(ErrReverted, "from version %d to %d", version, c.Version())
	}
	return nil
}

// follower takes bundles over from readers, as an agent does from entries.
type follower struct{ chain *bundle.Chain }

func newFollower() *follower { return &follower{chain: bundle.NewChain(operators("alice"))} }

// updateFollower passes the bundle in force of a random reader to a random follower.
func (w *world) updateFollower() error {
	return w.adoptProof(w.followers[w.random.IntN(followerCount)], w.readers[w.random.IntN(readerCount)])
}

// adoptProof passes the bundle in force of a reader to a follower.
func (w *world) adoptProof(f *follower, r *reader) error {
	proof := r.chain.Proof()
	if proof == nil {
		return nil
	}
	return updateChain(f.chain, func() error { return f.chain.Adopt(proof) })
}
