package record

import "slices"

// dedupWindow is how many offsets after a writer's newest batch a second copy
// of its records is still recognised.
const dedupWindow = 1 << 16

// WriterSeq is the newest sequence number read from one writer.
type WriterSeq struct {
	_      struct{} `cbor:",toarray"`
	Writer string
	Seq    uint64
	Offset uint64
}

// Deduper recognises records that an append written twice has doubled. Writers
// append their batches in order, so a record is a copy if its sequence number
// is not above its writer's newest. Its answers depend only on the records
// before, so all readers of a stream agree. The zero value has read nothing.
type Deduper struct {
	writers map[string]WriterSeq
	pruned  uint64
}

// Fresh notes a record and reports whether it is not a copy of an earlier one.
func (d *Deduper) Fresh(r Record) bool {
	offset := r.position.Offset()
	last, ok := d.writers[r.writer]
	if ok && offset <= last.Offset+dedupWindow && r.seq <= last.Seq {
		return false
	}
	if d.writers == nil {
		d.writers = make(map[string]WriterSeq)
	}
	d.writers[r.writer] = WriterSeq{Writer: r.writer, Seq: r.seq, Offset: offset}
	d.prune(offset)
	return true
}

// prune drops writers that have fallen out of the window.
func (d *Deduper) prune(offset uint64) {
	if offset < d.pruned+dedupWindow {
		return
	}
	d.pruned = offset
	for name, w := range d.writers {
		if offset > w.Offset+dedupWindow {
			delete(d.writers, name)
		}
	}
}

// Writers returns the state in order of the writers' names, for a snapshot.
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

// Restore replaces the state by what Writers returned.
func (d *Deduper) Restore(writers []WriterSeq) {
	d.writers = make(map[string]WriterSeq, len(writers))
	d.pruned = 0
	for _, w := range writers {
		d.writers[w.Writer] = w
	}
}
