package dispatch

import "time"

const (
	// slowedPace is the pace at which filling tasks hardly work.
	slowedPace = 25
	// movedAfter is how long a filling task stays where it hardly works.
	movedAfter = 700 * time.Millisecond
)

// moveFilling stops filling tasks that are slowed down if another worker has
// processor time for them; they go on from their checkpoints.
func (b *Board) moveFilling(now time.Time) {
	for _, h := range b.workers {
		if h.serving == 0 || h.pace > slowedPace || h.silent || h.lapsed {
			continue
		}
		for _, r := range h.runs {
			if r.phase != runWorking || !r.step.spec.Fills || now.Sub(r.since) < movedAfter {
				continue
			}
			if b.hasCalmRoom(now, r) {
				b.stop(now, r, "slowed down beside tasks that serve; another worker has room")
			}
		}
	}
}

// hasCalmRoom reports whether a worker without serving tasks has processor time
// for a run.
func (b *Board) hasCalmRoom(now time.Time, r *run) bool {
	q := b.queues[r.step.occ.job.sub.Queue]
	for _, h := range b.workers {
		if h != r.host && h.serving == 0 && b.allowed(now, r.step, q, h) && h.unused() >= float64(r.step.spec.Size.MilliCPU) && r.step.spec.Reserved().Fits(h.free()) {
			return true
		}
	}
	return false
}
