package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Limits of trials.
const (
	// steadyAfter is how long a restarted runner has to be up to get a trial.
	steadyAfter = 2 * time.Second
	// maxTrialWait is how long a suspicious task waits for a steady worker on which it has not crashed yet.
	maxTrialWait = 2 * time.Second
	// maxExclusiveWait is how long a suspicious task waits for a worker that it can have an exclusive trial on.
	maxExclusiveWait = 3 * time.Second
	// trialInterval is how long after a search in vain a worker is sought again for the trial of a task.
	trialInterval = 20 * time.Millisecond
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

// hold has the record of full workers leave a worker out while it is held or kept.
func (sc *Scheduler) hold(w *workerState) { sc.heldWorkers[w] = struct{}{} }

// endHolds forgets the workers that are neither held nor kept any more.
func (sc *Scheduler) endHolds(now time.Time) {
	for w := range sc.heldWorkers {
		if !w.held(now) && !now.Before(w.keptUntil) {
			delete(sc.heldWorkers, w)
		}
	}
}

// endReservations ends the reservations of workers for trials that match.
func (sc *Scheduler) endReservations(match func(id workflow.TaskID) bool) {
	for w := range sc.heldWorkers {
		if w.reservedFor.Job != "" && match(w.reservedFor) {
			w.reservedFor, w.reservedUntil = workflow.TaskID{}, time.Time{}
			sc.full.release(w)
		}
	}
}

// placeTrial starts a suspicious task on the worker where a crash does the least harm. While few tasks are
// suspicious, the trial is exclusive: the worker is kept free from other starts until the run is proven, so
// that a crash points to the task alone. With many, as after a mass failure, trials run beside other tasks.
// It reports whether it has changed what other tasks may get.
func (sc *Scheduler) placeTrial(now time.Time, s *stepState, q *Queue, index int, o *Orders) bool {
	t, id := &s.tasks[index], s.taskID(index)
	if now.Before(t.nextTrial) {
		return false
	}
	waited := now.Sub(t.waitingSince)
	w := sc.trialWorker(now, s, q, index, waited)
	if w == nil {
		t.nextTrial = now.Add(trialInterval)
		if !s.spec.LongRunning {
			return false
		}
		if sc.probeLongRunning(now, s, q, index, o) {
			return true
		}
		if waited >= maxTrialWait {
			sc.preemptFor(now, s, *q, waited)
		}
		return true
	}
	exclusive := len(sc.suspiciousTasks) <= max(1, len(sc.fleet)/2) && waited < maxExclusiveWait
	if exclusive && w.unprovenRuns > 0 {
		if w.reservedFor != id || !now.Before(w.reservedUntil) {
			w.reservedFor, w.reservedUntil = id, now.Add(maxHold)
			sc.hold(w)
		}
		return true
	}
	sc.endReservations(func(reserved workflow.TaskID) bool { return reserved == id })
	sc.orderStart(now, s, index, w, t.lastRunNumber+1, "trial of a task that may have crashed a runner", o)
	w.trial = w.runs[id]
	w.trial.exclusive = exclusive
	sc.hold(w)
	o.starts[len(o.starts)-1].Trial = true
	return true
}

// trialWorker returns the worker for the trial of a task, or nil. From maxTrialWait on it also returns workers on
// which the task has crashed and those whose runner has restarted lately, from maxExclusiveWait on also
// workers with another trial.
func (sc *Scheduler) trialWorker(now time.Time, s *stepState, q *Queue, index int, waited time.Duration) *workerState {
	t, id := &s.tasks[index], s.taskID(index)
	var best, reserved *workerState
	sc.rooms.each(s.spec.Reserved().MilliCPU, func(w *workerState) {
		if !sc.eligible(s, q, w) || !w.health.usable(now) || !s.permitted(now, q, w) || !sc.hasRoom(w, s, 0) || w.keptFrom(now, s) {
			return
		}
		own := w.reservedFor == id && now.Before(w.reservedUntil)
		if w.held(now) && !own || w.trial != nil && waited < maxExclusiveWait {
			return
		}
		if own && (reserved == nil || w.name < reserved.name) {
			reserved = w
		}
		if waited < maxTrialWait && (slices.Contains(t.crashedOn, w.name) || now.Sub(w.lifeBeganAt) < steadyAfter) {
			return
		}
		if best == nil || compareHarm(w, best) < 0 {
			best = w
		}
	})
	if reserved != nil {
		return reserved
	}
	return best
}

// compareHarm compares two workers by the harm that a crash does there: first by runs whose start would be in
// doubt, then by long-running and by all runs.
func compareHarm(x, y *workerState) int {
	return cmp.Or(cmp.Compare(min(x.unprovenRuns, 1), min(y.unprovenRuns, 1)), cmp.Compare(x.longRunningTasks, y.longRunningTasks),
		cmp.Compare(len(x.runs), len(y.runs)), cmp.Compare(x.name, y.name))
}
