package dispatch

import "time"

const (
	// stalledAfter is how long a run makes no progress before its task is started elsewhere: one
	// percent of the longest known tasks takes 0.1 s, or 0.7 s on a worker that is six times
	// slower.
	stalledAfter = 1800 * time.Millisecond
	// maxStalls bounds how many runs of one task are stopped because they make no progress.
	maxStalls = 3
)

// stopStalled stops runs that make no progress while another worker has room. It handles
// workers on which tasks hang although everything else looks healthy.
func (sc *Scheduler) stopStalled(now time.Time) {
	for _, w := range sc.fleet {
		if w.silent || w.leaseExpired || w.draining {
			continue
		}
		for _, r := range w.runs {
			if !r.stalled(now, w) {
				continue
			}
			s := r.step
			t := &s.tasks[r.id.Index]
			if t.stalls >= maxStalls || !sc.roomElsewhere(now, s, w) {
				continue
			}
			t.stalls++
			t.avoid(w)
			sc.orderStop(now, r, "the run makes no progress and another worker has room")
		}
	}
}

// stalled reports whether a run that should make progress makes none.
func (r *run) stalled(now time.Time, w *workerState) bool {
	s := r.step.spec
	slowed := s.BestEffort && w.pacePercent < fullPacePercent
	return r.phase == runRunning && !s.LongRunning && !s.Gang && !slowed && now.Sub(r.progressedAt) >= stalledAfter && now.Sub(w.lastSlowedAt) >= stalledAfter
}

// roomElsewhere reports whether a worker other than except has room for a task of a step.
func (sc *Scheduler) roomElsewhere(now time.Time, s *stepState, except *workerState) bool {
	q := sc.queues[s.occurrence.job.submission.Queue]
	for _, w := range sc.fleet {
		if w != except && sc.allowed(now, s, q, w) && sc.hasRoom(w, s, 0) {
			return true
		}
	}
	return false
}
