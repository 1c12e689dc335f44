package dispatch

import "time"

const (
	// stalledAfter is how long a run makes no progress before it is started
	// elsewhere: a percent of the longest tasks known takes 0.1 s, on a worker that
	// is six times slower 0.7 s.
	stalledAfter = 1800 * time.Millisecond
	// mostStalls bounds how often a task is started elsewhere for this reason.
	mostStalls = 3
)

// stopStalled stops runs that stand still while another worker has room. It
// answers workers on which tasks hang though all else looks well.
func (b *Board) stopStalled(now time.Time) {
	for _, h := range b.workers {
		if h.silent || h.lapsed || h.draining {
			continue
		}
		for _, r := range h.runs {
			if !r.stalled(now, h) {
				continue
			}
			s := r.step
			t := &s.tasks[r.id.Index]
			if t.stalls >= mostStalls || !b.roomElsewhere(now, s, h) {
				continue
			}
			t.stalls++
			t.avoid = h.name
			b.stop(now, r, "it makes no progress; another worker has room")
		}
	}
}

// stalled reports whether a run that should make progress makes none.
func (r *run) stalled(now time.Time, h *host) bool {
	s := r.step.spec
	paced := s.Fills && h.pace < fullPace
	return r.phase == runWorking && !s.Lasts && !s.Gang && !paced && now.Sub(r.moved) >= stalledAfter && now.Sub(h.paced) >= stalledAfter
}

// roomElsewhere reports whether another worker has room for a task of a step.
func (b *Board) roomElsewhere(now time.Time, s *stepState, except *host) bool {
	q := b.queues[s.occ.job.sub.Queue]
	for _, h := range b.workers {
		if h != except && b.allowed(now, s, q, h) && s.spec.Reserved().Fits(h.free()) &&
			(s.spec.MostPerWorker == 0 || s.perWorker[h.name] < s.spec.MostPerWorker) {
			return true
		}
	}
	return false
}
