package dispatch

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Limits of the crashes of a task. The runner that crashes takes all its runs with it, so that any of them may
// be the cause: each task that had just been started is suspicious, and starts again as a trial, see placeTrial.
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
	if t.done || j.phase.Ended() || !r.sent {
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
	w.endLife()
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
