package dispatch

import (
	"math"
	"time"
)

// unknown is what a worker lists of jobs that the board does not know: another
// dispatcher may have read a record before this one does.
type unknown struct {
	rows []Row
	ends []End
	// since is when the newest of them was listed.
	since time.Time
}

func (u *unknown) empty() bool { return len(u.rows)+len(u.ends) == 0 }

// firstEnd returns the number of the first end that must not be noted.
func (u *unknown) firstEnd() uint64 {
	first := uint64(math.MaxUint64)
	for i := range u.ends {
		first = min(first, u.ends[i].Number)
	}
	return first
}

// keepRow keeps a row of a job that is not known until the job is read.
func (b *Board) keepRow(now time.Time, h *host, row *Row) {
	h.unknown.rows = append(h.unknown.rows, *row)
	h.unknown.since = now
	b.unknowns[h] = struct{}{}
}

// keepEnd keeps an end of a job that is not known until the job is read.
func (b *Board) keepEnd(now time.Time, h *host, e *End) {
	for i := range h.unknown.ends {
		if h.unknown.ends[i].Number == e.Number {
			return
		}
	}
	h.unknown.ends = append(h.unknown.ends, *e)
	h.unknown.since = now
	b.unknowns[h] = struct{}{}
}

// note lets a worker forget its ends up to the last one taken in, as far as
// none before it belongs to a job that is not known.
func (b *Board) note(h *host) {
	upTo := min(h.lastEnd, h.unknown.firstEnd()-1)
	if n := b.notes[h.name]; upTo > 0 && (n.life != h.life || n.end < upTo) {
		b.notes[h.name] = noted{life: h.life, end: upTo}
	}
}

// recall takes in what workers have listed of a job that has become known.
func (b *Board) recall(now time.Time, wallMS int64, job string) {
	for h := range b.unknowns {
		u := h.unknown
		h.unknown = unknown{since: u.since}
		for i := range u.ends {
			if u.ends[i].Task.Job == job {
				b.finish(now, wallMS, h, &u.ends[i])
			} else {
				h.unknown.ends = append(h.unknown.ends, u.ends[i])
			}
		}
		for i := range u.rows {
			if u.rows[i].Task.Job == job {
				b.adopt(now, h, &u.rows[i])
			} else {
				h.unknown.rows = append(h.unknown.rows, u.rows[i])
			}
		}
		b.recalled(h)
	}
}

// recalled notes what can be noted after the unknown jobs of a worker have changed.
func (b *Board) recalled(h *host) {
	if h.unknown.empty() {
		delete(b.unknowns, h)
	}
	b.note(h)
}

// CaughtUp notes that every job stored before a time is known: what workers had
// listed of others by then belongs to no job.
func (b *Board) CaughtUp(now, before time.Time) {
	for h := range b.unknowns {
		if !h.unknown.since.Before(before) {
			continue
		}
		rows := h.unknown.rows
		h.unknown = unknown{}
		for i := range rows {
			b.adopt(now, h, &rows[i])
		}
		b.recalled(h)
	}
}
