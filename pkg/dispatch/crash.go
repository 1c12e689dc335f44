package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// A task may crash each runner that starts it, and takes down all other runs there. A crash makes every task
// suspicious that had just been started; each is started again as a trial, apart from other suspicious
// tasks. A task whose trials keep crashing their runners is abandoned, and its job fails.
const (
	// provenStartAfter is how long a run has to be at work to be proven.
	provenStartAfter = 250 * time.Millisecond
	// crashesWithTrial is the number of crashes with unproven runs with which a task is abandoned if the last one
	// was an exclusive trial, and crashesAtStart without such a trial.
	crashesWithTrial = 2
	crashesAtStart   = 3
	// maxCrashes bounds the crashes of a task however long its runs were at work.
	maxCrashes = 4
	// suspiciousCrashes is the number of crashes that make a task suspicious although its runs were proven.
	suspiciousCrashes = 2
	// settledAfter is how long a long-running task has to be at work for its crashes to be forgotten.
	settledAfter = 10 * time.Second
	// steadyAfter is how long a restarted runner has to be up to get a trial.
	steadyAfter = 2 * time.Second
	// maxTrialWait is how long a suspicious task waits for a steady worker on which it has not crashed yet.
	maxTrialWait = 2 * time.Second
	// maxExclusiveWait is how long a suspicious task waits for a worker that it can have an exclusive trial on.
	maxExclusiveWait = 3 * time.Second
	// maxHold bounds how long a trial keeps a worker from getting other tasks.
	maxHold = 1500 * time.Millisecond
)

// crashCount counts the runners that crashed after a run of the task was sent to them. The zero value counts none.
type crashCount struct {
	// unproven counts those that crashed before the run was proven.
	unproven int
	all      int
}

// suspicious reports whether the task may be the cause of the crashes.
func (c crashCount) suspicious() bool { return c.unproven > 0 || c.all >= suspiciousCrashes }

// abandons reports whether the task is to be abandoned after a crash, with or without an exclusive trial.
func (c crashCount) abandons(exclusive bool) bool {
	return exclusive && c.unproven >= crashesWithTrial || c.unproven >= crashesAtStart || c.all >= maxCrashes
}

// AbandonedTask is a task that is not started again, since runners crashed while they ran it.
type AbandonedTask struct {
	Task workflow.TaskID
	// Crashes is the number of runners that crashed, and Worker that of the last one.
	Crashes int
	Worker  string
}

// TakeAbandonedTasks returns the tasks that were abandoned since the last call.
func (sc *Scheduler) TakeAbandonedTasks() []AbandonedTask {
	out := sc.abandonedTasks
	sc.abandonedTasks = nil
	return out
}

// SuspiciousTasks returns the number of tasks that are suspected of crashing runners.
func (sc *Scheduler) SuspiciousTasks() int { return len(sc.suspiciousTasks) }

// recordCrash counts the crash of the runner of a run, and reports whether the task is to be abandoned.
func (sc *Scheduler) recordCrash(r *run) bool {
	j := r.step.occurrence.job
	t := &r.step.tasks[r.id.Index]
	if t.done || j.phase.Ended() || !r.started {
		return false
	}
	t.crashes.all++
	if !r.proven {
		t.crashes.unproven++
	}
	if !slices.Contains(t.crashedOn, r.worker.name) {
		t.crashedOn = append(t.crashedOn, r.worker.name)
	}
	sc.changedJobs[j] = struct{}{}
	if t.crashes.suspicious() {
		sc.suspiciousTasks[t] = struct{}{}
		sc.urgentChange = true
	}
	return t.crashes.abandons(r.exclusive)
}

// abandon ends the job of a task that crashes the runners which start it.
func (sc *Scheduler) abandon(now time.Time, wallMS int64, r *run) {
	j := r.step.occurrence.job
	if j.phase.Ended() {
		return
	}
	c := r.step.tasks[r.id.Index].crashes
	sc.abandonedTasks = append(sc.abandonedTasks, AbandonedTask{Task: r.id, Crashes: c.all, Worker: r.worker.name})
	sc.endJob(now, wallMS, j, workflow.PhaseFailed)
}

// restoreCrashes applies stored counts to a task of a new occurrence.
func (sc *Scheduler) restoreCrashes(o *occurrence, c *workflow.TaskCrashes) {
	if c.Occurrence != o.index || c.Step < 0 || c.Step >= len(o.steps) || c.Index < 0 || c.Index >= len(o.steps[c.Step].tasks) {
		return
	}
	t := &o.steps[c.Step].tasks[c.Index]
	t.crashes = crashCount{unproven: max(0, c.Unproven), all: max(0, c.All)}
	if t.crashes.suspicious() {
		sc.suspiciousTasks[t] = struct{}{}
	}
}

// beginLife records that a new life of a worker's runner has begun.
func (sc *Scheduler) beginLife(now time.Time, w *workerState, life uint64) {
	if w.everReported {
		w.lifeBeganAt = now
	}
	w.everReported, w.endAnnounced = true, false
	w.life = life
}

// proveStart records that a run has been at work for provenStartAfter.
func (sc *Scheduler) proveStart(r *run) {
	if r.proven {
		return
	}
	r.proven = true
	r.worker.unprovenRuns--
	sc.endTrial(r)
	t := &r.step.tasks[r.id.Index]
	if t.crashes.unproven == 0 {
		return
	}
	t.crashes.unproven = 0
	if !t.crashes.suspicious() {
		delete(sc.suspiciousTasks, t)
	}
	sc.changedJobs[r.step.occurrence.job] = struct{}{}
}

// settleCrashes forgets the crashes of a long-running task that has been at work for long enough.
func (sc *Scheduler) settleCrashes(now time.Time, r *run) {
	t := &r.step.tasks[r.id.Index]
	if t.crashes.all == 0 || !r.step.spec.LongRunning || r.percent < fullPercent || now.Sub(r.orderedAt) < settledAfter {
		return
	}
	t.crashes, t.crashedOn = crashCount{}, nil
	delete(sc.suspiciousTasks, t)
	sc.changedJobs[r.step.occurrence.job] = struct{}{}
}

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
