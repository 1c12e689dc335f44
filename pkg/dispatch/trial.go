package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of trials.
const (
	// steadyAfter is how long a restarted runner has to be up to get a trial.
	steadyAfter = 2 * time.Second
	// maxTrialWait is how long a suspicious task waits for a steady worker on which it has not crashed yet.
	maxTrialWait = 2 * time.Second
	// maxExclusiveWait is how long a suspicious task waits for a worker that it can have an exclusive trial on.
	maxExclusiveWait = 3 * time.Second
	// maxHold bounds how long a trial keeps a worker from getting other tasks.
	maxHold = 1500 * time.Millisecond
)

// endTrial ends the trial that a run is, if it is one, after the run was proven or removed.
func (sc *Scheduler) endTrial(r *run) {
	w := r.worker
	if w.trial == r {
		w.trial = nil
		sc.noteChange(w)
	}
}

// held reports whether a trial keeps a worker from getting other tasks.
func (w *workerState) held(now time.Time) bool {
	return now.Before(w.reservedUntil) || w.trial != nil && w.trial.exclusive && now.Sub(w.trial.orderedAt) < maxHold
}

// hold makes sure that the end of a hold is noticed.
func (sc *Scheduler) hold(w *workerState) { sc.heldWorkers[w] = struct{}{} }

// endHolds notes the workers that trials no longer hold.
func (sc *Scheduler) endHolds(now time.Time) {
	for w := range sc.heldWorkers {
		if !w.held(now) {
			delete(sc.heldWorkers, w)
			sc.noteChange(w)
		}
	}
}

// endReservations ends the reservations of workers for trials that match.
func (sc *Scheduler) endReservations(match func(w *workerState) bool) {
	for w := range sc.heldWorkers {
		if w.reservedFor != nil && match(w) {
			w.reservedFor, w.reservedJob, w.reservedUntil = nil, nil, time.Time{}
			sc.full.release(w)
		}
	}
}

// placeTrial starts a suspicious task on the worker where a crash does the least harm. While few tasks are
// suspicious, the trial is exclusive: the worker is kept free from other starts until the run is proven, so
// that a crash points to the task alone. With many, as after a mass failure, trials run beside other tasks.
func (sc *Scheduler) placeTrial(now time.Time, s *stepState, q *Queue, index int, o *Orders) {
	t := &s.tasks[index]
	waited := now.Sub(t.waitingSince)
	w := sc.trialWorker(now, s, q, t, waited)
	if w == nil {
		if s.spec.LongRunning && !sc.probeLongRunning(now, s, q, index, o) && waited >= maxTrialWait {
			sc.preemptFor(now, s, *q)
		}
		return
	}
	exclusive := len(sc.suspiciousTasks) <= max(1, len(sc.fleet)/2) && waited < maxExclusiveWait
	if exclusive && w.unprovenRuns > 0 {
		if w.reservedFor != t || !now.Before(w.reservedUntil) {
			w.reservedFor, w.reservedJob, w.reservedUntil = t, s.occurrence.job, now.Add(maxHold)
			sc.hold(w)
		}
		return
	}
	sc.endReservations(func(w *workerState) bool { return w.reservedFor == t })
	sc.orderStart(now, s, index, w, t.lastRunNumber+1, "trial of a task that may have crashed a runner", o)
	w.trial = w.runs[s.taskID(index)]
	w.trial.exclusive = exclusive
	sc.hold(w)
	o.starts[len(o.starts)-1].Trial = true
}

// trialWorker returns the worker for the trial of a task, or nil. From maxTrialWait on it also returns workers on
// which the task has crashed and those whose runner has restarted lately, from maxExclusiveWait on also
// workers with another trial.
func (sc *Scheduler) trialWorker(now time.Time, s *stepState, q *Queue, t *taskState, waited time.Duration) *workerState {
	var best *workerState
	for _, w := range sc.fleet {
		if !sc.eligible(s, q, w) || !w.health.usable(now) || !s.permitted(now, q, w) || !sc.hasRoom(w, s, 0) || w.trial != nil && waited < maxExclusiveWait {
			continue
		}
		if w.keptFrom(now, s) || w.held(now) && w.reservedFor != t {
			continue
		}
		if w.reservedFor == t && now.Before(w.reservedUntil) {
			return w
		}
		if waited < maxTrialWait && (slices.Contains(t.crashedOn, w.name) || now.Sub(w.lifeBeganAt) < steadyAfter) {
			continue
		}
		if best == nil || compareHarm(w, best) < 0 {
			best = w
		}
	}
	return best
}

// compareHarm compares two workers by the harm that a crash does there: first by runs whose start would be in
// doubt, then by long-running and by all runs.
func compareHarm(x, y *workerState) int {
	return cmp.Or(cmp.Compare(min(x.unprovenRuns, 1), min(y.unprovenRuns, 1)), cmp.Compare(x.longRunningTasks, y.longRunningTasks),
		cmp.Compare(len(x.runs), len(y.runs)), cmp.Compare(x.name, y.name))
}
