package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

const (
	// reservationWait is how long a long-running task waits for room before a worker is reserved for it.
	reservationWait = time.Second
	// maxReservation bounds for how long a worker is expected to be reserved, and then how long it is until another one may be
	// chosen.
	maxReservation = 5 * time.Second
)

// roomReservation keeps a worker from other tasks until enough of its runs have ended for a long-running task. Small tasks of the same
// priority would otherwise take whatever becomes free, one by one. The zero value reserves none.
type roomReservation struct {
	step   *stepState
	worker *workerState
	// chosenAt is when the worker was chosen, and renewedAt when the step last found no room.
	chosenAt, renewedAt time.Time
}

// active reports whether the reservation holds.
func (r *roomReservation) active(now time.Time) bool {
	return r.worker != nil && now.Sub(r.renewedAt) < keptRoomTime
}

// reserveFor reserves the worker that is expected to have room for a task of a long-running step first, unless one is reserved for
// another step. It has to be called again while the task waits.
func (sc *Scheduler) reserveFor(now time.Time, s *stepState, q Queue) {
	r := &sc.roomReservation
	active := r.active(now)
	if active && r.step != s {
		return
	}
	if active && now.Sub(r.chosenAt) < maxReservation {
		if _, ok := sc.timeUntilRoom(now, s, q, r.worker); ok {
			r.renewedAt = now
			sc.keepRoom(now, r.worker)
			return
		}
	}
	w := sc.firstWithRoom(now, s, q)
	if w == nil {
		return
	}
	*r = roomReservation{step: s, worker: w, chosenAt: now, renewedAt: now}
	sc.keepRoom(now, w)
}

// timeUntilRoom returns the expected time until a worker has room for a task of a step, if no others start there. It reports false
// if the worker may not run it or will have no room.
func (sc *Scheduler) timeUntilRoom(now time.Time, s *stepState, q Queue, w *workerState) (time.Duration, bool) {
	if !sc.allowed(now, s, q, w) || s.spec.MaxPerWorker > 0 && s.runsPerWorker[w.name] >= s.spec.MaxPerWorker {
		return 0, false
	}
	return w.timeUntilFree(now, s.spec.Reserved())
}

// firstWithRoom returns the worker that is expected to have room for a task of a step first, or nil if that takes longer than
// maxReservation.
func (sc *Scheduler) firstWithRoom(now time.Time, s *stepState, q Queue) *workerState {
	var first *workerState
	shortest := maxReservation
	for _, w := range sc.fleet {
		if d, ok := sc.timeUntilRoom(now, s, q, w); ok && (d < shortest || first == nil && d == shortest) {
			first, shortest = w, d
		}
	}
	return first
}

// timeUntilFree returns the expected time until enough runs at a worker have ended for need to fit. It reports false if need does not
// fit beside its long-running tasks.
func (w *workerState) timeUntilFree(now time.Time, need worker.Resources) (time.Duration, bool) {
	type end struct {
		in       time.Duration
		reserved worker.Resources
	}
	var ends []end
	for _, r := range w.runs {
		switch {
		case r.phase == runStopping:
			ends = append(ends, end{0, r.step.spec.Reserved()})
		case !r.step.spec.LongRunning:
			ends = append(ends, end{r.remaining(now), r.step.spec.Reserved()})
		}
	}
	slices.SortFunc(ends, func(x, y end) int { return cmp.Compare(x.in, y.in) })
	free := w.free()
	for _, e := range ends {
		if need.Fits(free) {
			break
		}
		free = free.Plus(e.reserved)
		if need.Fits(free) {
			return e.in, true
		}
	}
	return 0, need.Fits(free)
}
