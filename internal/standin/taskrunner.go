package standin

import (
	"fmt"
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
	// stale is set if the runner's lease has expired since the end. An
	// acknowledgement of the end is then not recorded in the history.
	stale bool
}

// Reasons for which a TaskRunner refuses a call.
const (
	// ReasonFence means that the call's fencing token is lower than an earlier one.
	ReasonFence = "fence"
	// ReasonStaleRun means that another run of the task is in progress, or that the run
	// has ended or was stopped, or a later one was.
	ReasonStaleRun = "old"
	// ReasonLeaseEnded means that the lease for the start has ended already.
	ReasonLeaseEnded = "late"
)

// TaskRunner simulates a runner of tasks with a lease, a fencing token and a list
// of its runs. By default its tasks succeed after TaskDuration. It records all starts and
// ends in History.
type TaskRunner struct {
	Name         string
	TaskDuration time.Duration
	History      *History
	// ClockLagDivisor makes the runner's clock lose 1/ClockLagDivisor of the elapsed time; 0 means that it
	// is exact.
	ClockLagDivisor int

	mu sync.Mutex
	// startedAtMS is startedAt in Unix milliseconds.
	startedAtMS uint64
	startedAt   time.Time
	// fence is the highest fencing token of a call.
	fence uint64
	// leaseEndMS is when the lease ends on the runner's clock.
	leaseEndMS int64
	// lastEnd is the number of the newest end.
	lastEnd  uint64
	running  map[string]*taskRun
	finished []RunEnd
	// highestRun holds, by task, the highest run that was started or stopped.
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
	r.fence, r.lastEnd, r.finished = 0, 0, nil
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

// ClockMS returns the runner's clock, in milliseconds since its start, plus 1.
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

// EndDueRuns ends the runs whose time has come, or all runs if the lease has expired.
func (r *TaskRunner) EndDueRuns(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := r.clockMS(now) > r.leaseEndMS
	for i := range r.finished {
		r.finished[i].stale = r.finished[i].stale || expired
	}
	for task, t := range r.running {
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

func (r *TaskRunner) finish(task string, t *taskRun, outcome string) {
	delete(r.running, task)
	r.lastEnd++
	r.finished = append(r.finished, RunEnd{Number: r.lastEnd, Task: task, Run: t.run, Outcome: outcome})
	r.highestRun[task] = max(r.highestRun[task], t.run)
	r.History.noteEnd(task, t.run)
	if outcome == "done" {
		r.History.noteCompleted(task)
	}
	r.notifyChanged()
}

// maxLeaseMS is the longest time from a call to the end of the lease that it sets.
const maxLeaseMS = 6000

// Admit reports whether to carry out a call with the given fencing token. If so, it
// extends the lease to untilMS on the runner's clock. It never shortens the lease.
func (r *TaskRunner) Admit(now time.Time, fence uint64, untilMS int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fence < r.fence {
		return false
	}
	r.fence = fence
	r.leaseEndMS = max(r.leaseEndMS, min(untilMS, r.clockMS(now)+maxLeaseMS))
	return true
}

// Start starts a run, or returns the reason for which it refuses to.
func (r *TaskRunner) Start(now time.Time, task string, run uint64, untilMS int64, fate TaskBehaviour) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.running[task]
	switch {
	case untilMS <= r.clockMS(now):
		return ReasonLeaseEnded
	case t != nil && t.run == run:
		return ""
	case t != nil || run <= r.highestRun[task]:
		return ReasonStaleRun
	}
	r.running[task] = &taskRun{run: run, endsAt: now.Add(r.TaskDuration), behaviour: fate}
	r.highestRun[task] = run
	r.History.noteStart(now, r.Name, task, run)
	return ""
}

// Stop ends a run, or prevents its start.
func (r *TaskRunner) Stop(task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestRun[task] = max(r.highestRun[task], run)
	if t := r.running[task]; t != nil && t.run <= run {
		r.finish(task, t, "stopped")
	}
}

// List drops the ends with numbers up to acked, which are acknowledged, and returns
// the runs in progress and the other ends.
func (r *TaskRunner) List(acked uint64) (running []RunStatus, finished []RunEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = slices.DeleteFunc(r.finished, func(e RunEnd) bool {
		if e.Number <= acked && !e.stale {
			r.History.noteAck(e.Task, e.Outcome)
		}
		return e.Number <= acked
	})
	for task, t := range r.running {
		running = append(running, RunStatus{task, t.run})
	}
	slices.SortFunc(running, func(x, y RunStatus) int { return strings.Compare(x.Task, y.Task) })
	return running, slices.Clone(r.finished)
}

// History records the starts and ends of runs at all runners, and the violations of
// guarantees. The zero value is empty.
type History struct {
	mu sync.Mutex
	// runs holds, by task and run, the runner of each run in progress.
	runs map[string]map[uint64]string
	// ackedDone holds the tasks of which a successful end was acknowledged,
	// completed those of which a run has done all its work.
	ackedDone  map[string]bool
	completed  map[string]bool
	violations []string
}

func (h *History) noteStart(now time.Time, runner, task string, run uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs == nil {
		h.runs, h.ackedDone, h.completed = make(map[string]map[uint64]string), make(map[string]bool), make(map[string]bool)
	}
	if h.runs[task] == nil {
		h.runs[task] = make(map[uint64]string)
	}
	if h.ackedDone[task] {
		h.violations = append(h.violations, fmt.Sprintf("%s: run %d of %s started at %s after the success of a run was acknowledged", now.Format(time.StampMilli), run, task, runner))
	}
	for other, where := range h.runs[task] {
		h.violations = append(h.violations, fmt.Sprintf("%s: run %d of %s started at %s while run %d was in progress at %s", now.Format(time.StampMilli), run, task, runner, other, where))
	}
	h.runs[task][run] = runner
}

func (h *History) noteEnd(task string, run uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.runs[task], run)
}

func (h *History) noteAck(task, outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if outcome == "done" {
		h.ackedDone[task] = true
	}
}

// Violations returns the violations of guarantees.
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
