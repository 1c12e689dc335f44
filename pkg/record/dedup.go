package record

import "slices"

// dedupWindowOffsets is how many offsets after a writer's newest batch duplicates of
// the writer's records are still recognised.
const dedupWindowOffsets = 1 << 16

// WriterSeq is the newest sequence number read from one writer, and the offset of
// its batch.
type WriterSeq struct {
	_      struct{} `cbor:",toarray"`
	Writer string
	Seq    uint64
	Offset uint64
}

// Deduper recognises duplicate records, which arise when an append is repeated
// although it had succeeded. Writers append their batches in order, so a record is
// a duplicate if its sequence number is not above the newest one of its writer.
// The result depends only on the earlier records, so all readers of a stream
// agree. The zero value is ready for use.
type Deduper struct {
	// writers maps a writer to its newest record.
	writers map[string]WriterSeq
	// prunedAtOffset is the offset at which old writers were last dropped.
	prunedAtOffset uint64
}

// Accept notes a record and reports whether it is new, that is, not a duplicate.
func (d *Deduper) Accept(r Record) bool {
	offset := r.position.Offset()
	last, ok := d.writers[r.writer]
	if ok && offset <= last.Offset+dedupWindowOffsets && r.seq <= last.Seq {
		return false
	}
	if d.writers == nil {
		d.writers = make(map[string]WriterSeq)
	}
	d.writers[r.writer] = WriterSeq{Writer: r.writer, Seq: r.seq, Offset: offset}
	d.prune(offset)
	return true
}

// prune drops writers whose newest batch is older than dedupWindowOffsets.
func (d *Deduper) prune(offset uint64) {
	if offset < d.prunedAtOffset+dedupWindowOffsets {
		return
	}
	d.prunedAtOffset = offset
	for name, w := range d.writers {
		if offset > w.Offset+dedupWindowOffsets {
			delete(d.writers, name)
		}
	}
}

// Writers returns the Deduper's state for a snapshot, ordered by the writers' names.
func (d *Deduper) Writers() []WriterSeq {
	out := make([]WriterSeq, 0, len(d.writers))
	for _, w := range d.writers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b WriterSeq) int {
		if a.Writer < b.Writer {
			return -1
		}
		return 1
	})
	return out
}

// Restore replaces the state by one that Writers returned.
func (d *Deduper) Restore(writers []WriterSeq) {
	d.writers = make(map[string]WriterSeq, len(writers))
	d.prunedAtOffset = 0
	for _, w := range writers {
		d.writers[w.Writer] = w
	}
}
