package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// RunStatus is a run in progress, as a TaskRunner lists it.
type RunStatus struct {
	Task string
	Run  uint64
}

// RunEnd is the end of a run. A TaskRunner lists it until it is acknowledged.
type RunEnd struct {
	// Number numbers the ends since the runner's start, from 1.
	Number  uint64
	Task    string
	Run     uint64
	Outcome string
	// stale is set if the runner's lease has expired since the end. By then the dispatcher
	// may rightly have given the run up and ordered another run of the task, so the history
	// does not count a later acknowledgement as one of the task's success.
	stale bool
	// startsBefore is the number of runs of the task that had started before the end.
	startsBefore int
}

// Reasons for which a TaskRunner refuses a call. Their values are names of the platform's
// protocol, as are the outcomes of runs: done, failed, stopped and lapsed.
const (
	// ReasonFence means that the call's fencing token is lower than that of an earlier
	// call.
	ReasonFence = "fence"
	// ReasonStaleRun means that another run of the task is in progress, or that this run or
	// a later run of the task has already been started or stopped.
	ReasonStaleRun = "old"
	// ReasonLeaseEnded means that the lease given with the start has already ended.
	ReasonLeaseEnded = "late"
)

// TaskRunner simulates a runner of tasks with a lease, a fencing token and a list
// of its runs. By default its tasks succeed after TaskDuration. It records all starts and
// ends in History.
type TaskRunner struct {
	Name         string
	TaskDuration time.Duration
	History      *History
	// ClockLagDivisor makes the runner's clock lose 1/ClockLagDivisor of the elapsed time;
	// 0 means that the clock is exact.
	ClockLagDivisor int

	mu sync.Mutex
	// startedAtMS is startedAt in Unix milliseconds.
	startedAtMS uint64
	startedAt   time.Time
	// highestToken is the highest fencing token that was accepted.
	highestToken uint64
	// leaseEndMS is when the lease of all runs ends on the runner's clock; 0 means that
	// there is no lease.
	leaseEndMS int64
	// lastEnd is the number of the newest end.
	lastEnd uint64
	// running holds the run in progress of each task.
	running map[string]*taskRun
	// finished holds the ends that have not been acknowledged.
	finished []RunEnd
	// highestRun holds, by task, the highest number of a run that was started or stopped.
	highestRun map[string]uint64
	changed    chan struct{}
}

type taskRun struct {
	run       uint64
	endsAt    time.Time
	behaviour TaskBehaviour
}

// TaskBehaviour is how the runs of a task end if they are not stopped and the lease does
// not expire.
type TaskBehaviour string

// The values of TaskBehaviour.
const (
	TaskSucceeds  TaskBehaviour = ""
	TaskFails     TaskBehaviour = "fails"
	TaskNeverEnds TaskBehaviour = "lasts"
)

// Restart starts or restarts the runner: its runs end, and it forgets its lease, its
// fencing token and its lists.
func (r *TaskRunner) Restart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, t := range r.running {
		r.History.noteEnd(task, t.run)
	}
	r.startedAtMS, r.startedAt, r.leaseEndMS = uint64(now.UnixMilli()), now, 0
	r.highestToken, r.lastEnd, r.finished = 0, 0, nil
	r.running, r.highestRun = make(map[string]*taskRun), make(map[string]uint64)
	r.notifyChanged()
}

// notifyChanged closes the channel that Changed returned. The caller holds mu.
func (r *TaskRunner) notifyChanged() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// StartedAtMS returns when the runner was started last, in Unix milliseconds.
func (r *TaskRunner) StartedAtMS() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAtMS
}

// Changed returns a channel that is closed when a run ends or the runner restarts.
func (r *TaskRunner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ClockMS returns the runner's clock, in milliseconds since its start, plus 1. The clock
// never shows 0, so that a lease end of 0, which stands for no lease, has always passed.
func (r *TaskRunner) ClockMS(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clockMS(now)
}

func (r *TaskRunner) clockMS(now time.Time) int64 {
	ms := now.Sub(r.startedAt).Milliseconds()
	if r.ClockLagDivisor > 0 {
		ms -= ms / int64(r.ClockLagDivisor)
	}
	return ms + 1
}

// EndDueRuns ends the runs that have run for TaskDuration, or all runs if the lease has
// expired.
func (r *TaskRunner) EndDueRuns(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := r.clockMS(now) > r.leaseEndMS
	for i := range r.finished {
		r.finished[i].stale = r.finished[i].stale || expired
	}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		t := r.running[task]
		switch {
		case expired:
			r.finish(task, t, "lapsed")
		case t.behaviour == TaskNeverEnds || !now.After(t.endsAt):
		case t.behaviour == TaskFails:
			r.finish(task, t, "failed")
		default:
			r.finish(task, t, "done")
		}
	}
}

// finish ends a run in progress and records its end. The caller holds mu.
func (r *TaskRunner) finish(task string, t *taskRun, outcome string) {
	delete(r.running, task)
	r.lastEnd++
	startsBefore := r.History.noteEnd(task, t.run)
	r.finished = append(r.finished, RunEnd{Number: r.lastEnd, Task: task, Run: t.run, Outcome: outcome, startsBefore: startsBefore})
	r.highestRun[task] = max(r.highestRun[task], t.run)
	if outcome == "done" {
		r.History.noteCompleted(task)
	}
	r.notifyChanged()
}

// maxLeaseMS is the longest time from a call to the end of the lease that it sets.
const maxLeaseMS = 6000

// Admit reports whether to carry out a call with the given fencing token. If so, it
// extends the lease to leaseEndMS on the runner's clock, but by no more than maxLeaseMS
// from now. It never shortens the lease.
func (r *TaskRunner) Admit(now time.Time, token uint64, leaseEndMS int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token < r.highestToken {
		return false
	}
	r.highestToken = token
	r.leaseEndMS = max(r.leaseEndMS, min(leaseEndMS, r.clockMS(now)+maxLeaseMS))
	return true
}

// Start starts a run, and returns "" or the reason for which it refuses to. leaseEndMS is
// the end of the lease that was given with the start.
func (r *TaskRunner) Start(now time.Time, task string, run uint64, leaseEndMS int64, behaviour TaskBehaviour) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.running[task]
	switch {
	case leaseEndMS <= r.clockMS(now):
		return ReasonLeaseEnded
	case t != nil && t.run == run:
		return ""
	case t != nil || run <= r.highestRun[task]:
		return ReasonStaleRun
	}
	r.running[task] = &taskRun{run: run, endsAt: now.Add(r.TaskDuration), behaviour: behaviour}
	r.highestRun[task] = run
	r.History.noteStart(now, r.Name, task, run)
	return ""
}

// Stop ends a run and earlier runs of the task, and prevents their later start.
func (r *TaskRunner) Stop(task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestRun[task] = max(r.highestRun[task], run)
	if t := r.running[task]; t != nil && t.run <= run {
		r.finish(task, t, "stopped")
	}
}

// List drops the ends with numbers up to acked, which the caller acknowledges, and
// returns the runs in progress and the remaining ends.
func (r *TaskRunner) List(acked uint64) (running []RunStatus, finished []RunEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = slices.DeleteFunc(r.finished, func(e RunEnd) bool {
		if e.Number <= acked && !e.stale {
			r.History.noteAck(r.Name, &e)
		}
		return e.Number <= acked
	})
	for task, t := range r.running {
		running = append(running, RunStatus{task, t.run})
	}
	slices.SortFunc(running, func(x, y RunStatus) int { return strings.Compare(x.Task, y.Task) })
	return running, slices.Clone(r.finished)
}

// History records the starts and ends of runs at all runners, and the violations of two
// guarantees: no two runs of a task are in progress at once, and no run starts after the
// success of the task if that success is acknowledged then or later. The zero value is empty.
type History struct {
	// Speculative, if set, reports whether several runs of a task may be in progress at a time, which the guarantees do not
	// cover.
	Speculative func(task string) bool
	// OnStart and OnSuccess, if set, are called when a run starts at a runner, and when the success of a task is acknowledged.
	OnStart   func(runner, task string, run uint64)
	OnSuccess func(task string)

	mu sync.Mutex
	// runs holds, by task and run, the runner of each run in progress.
	runs map[string]map[uint64]string
	// starts describes, by task, the starts of its runs in their order.
	starts map[string][]string
	// ackedDone holds the tasks of which a successful end was acknowledged. completed holds
	// the tasks of which a run has done all its work.
	ackedDone  map[string]bool
	completed  map[string]bool
	violations []string
}

// noteStart notes that a run started at a runner, and whether that violates a guarantee.
func (h *History) noteStart(now time.Time, runner, task string, run uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs == nil {
		h.runs, h.ackedDone, h.completed = make(map[string]map[uint64]string), make(map[string]bool), make(map[string]bool)
		h.starts = make(map[string][]string)
	}
	if h.runs[task] == nil {
		h.runs[task] = make(map[uint64]string)
	}
	if h.OnStart != nil {
		h.OnStart(runner, task, run)
	}
	speculative := h.speculative(task)
	if h.ackedDone[task] && !speculative {
		h.violations = append(h.violations, fmt.Sprintf("%s: run %d of %s started at %s after the success of a run was acknowledged", now.Format(time.StampMilli), run, task, runner))
	}
	for other, otherRunner := range h.runs[task] {
		if speculative {
			break
		}
		h.violations = append(h.violations, fmt.Sprintf("%s: run %d of %s started at %s while run %d was in progress at %s", now.Format(time.StampMilli), run, task, runner, other, otherRunner))
	}
	h.runs[task][run] = runner
	h.starts[task] = append(h.starts[task], fmt.Sprintf("%s: run %d of %s started at %s", now.Format(time.StampMilli), run, task, runner))
}

func (h *History) speculative(task string) bool {
	return h.Speculative != nil && h.Speculative(task)
}

// noteEnd notes that a run has ended, and returns the number of runs of the task that have started.
func (h *History) noteEnd(task string, run uint64) (started int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.runs[task], run)
	return len(h.starts[task])
}

// noteAck notes that an end at a runner was acknowledged, and whether a run that started between the end and
// its acknowledgement violates a guarantee.
func (h *History) noteAck(runner string, e *RunEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Outcome != "done" {
		return
	}
	h.ackedDone[e.Task] = true
	if h.OnSuccess != nil {
		h.OnSuccess(e.Task)
	}
	if later := h.starts[e.Task][e.startsBefore:]; len(later) > 0 && !h.speculative(e.Task) {
		h.violations = append(h.violations, fmt.Sprintf("%s after the success of run %d at %s, which was acknowledged later", later[0], e.Run, runner))
	}
}

// Violations returns descriptions of the violations so far.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// Started reports whether a task of a job was ever started.
func (h *History) Started(job string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task := range h.runs {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

func (h *History) noteCompleted(task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completed[task] = true
}

// Completed reports whether a run of a task has done all its work.
func (h *History) Completed(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.completed[task]
}
