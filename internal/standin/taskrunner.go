package standin

import (
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
	// Checkpoint is the newest checkpoint; empty if there is none.
	Checkpoint string
	// Percent is the progress; that of a task that never ends is 100 once it is at work.
	Percent int
}

// RunEnd is the end of a run. A TaskRunner lists it until it is acknowledged.
type RunEnd struct {
	// Number numbers the ends since the runner's start, from 1.
	Number  uint64
	Task    string
	Run     uint64
	Outcome string
	// Checkpoint is the newest checkpoint of the run; empty if there is none.
	Checkpoint string
	// past is the end in the history. Once the runner's lease has expired since, the dispatcher may rightly have given the
	// run up and ordered another run of the task, so a later acknowledgement is not one of the task's success.
	past *pastEnd
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
	// ReasonNoRoom means that the run does not fit beside those in progress.
	ReasonNoRoom = "room"
)

// Times of the work of simulated tasks.
const (
	// checkpointEvery is how much work lies between two checkpoints, and restoreTime how long a run takes to resume
	// from one.
	checkpointEvery, restoreTime = time.Second, 250 * time.Millisecond
	// startupTime is how long a task that never ends takes until it is at work.
	startupTime = 300 * time.Millisecond
	// maxListedEnds is the number of ends that are listed at most, the oldest ones.
	maxListedEnds = 500
)

// spreadPercent is how long a task takes away from its data, or a gang that should be on one rack on several, in percent of
// the time that it takes otherwise.
const spreadPercent = 150

// TaskRunner simulates a runner of tasks with a lease, a fencing token and a list
// of its runs. By default its tasks succeed after TaskDuration. It records all starts and
// ends in History.
type TaskRunner struct {
	Name         string
	TaskDuration time.Duration
	History      *History
	// Gangs holds the gangs of all runners. Without it the members of gangs run like other tasks.
	Gangs *Gangs
	// ClockLagDivisor makes the runner's clock lose 1/ClockLagDivisor of the elapsed time;
	// 0 means that the clock is exact.
	ClockLagDivisor int
	// MilliCPU and MemoryMB are the runner's capacity; 0 stands for no limit.
	MilliCPU, MemoryMB int64
	// Rack is where the runner is.
	Rack string
	// StopTime is how long a run takes to stop.
	StopTime time.Duration
	// LongestGrant is the longest lease that a dispatcher grants. A longer one is recorded as a near miss; 0 stands for no limit.
	LongestGrant time.Duration

	mu sync.Mutex
	// startedAtMS is startedAt in Unix milliseconds.
	startedAtMS uint64
	startedAt   time.Time
	// away is set while no process of the runner is there.
	away bool
	// highestToken is the highest fencing token that was accepted.
	highestToken uint64
	// leaseEndMS is when the lease of all runs ends on the runner's clock; 0 means that
	// there is no lease.
	leaseEndMS int64
	// excess is the first lease in this life that was longer than LongestGrant, and excessRecorded is set once it has held a
	// run.
	excess         time.Duration
	excessRecorded bool
	// lastEnd is the number of the newest end, and lastListed that of the newest end that was listed.
	lastEnd, lastListed uint64
	// running holds the run in progress of each task.
	running map[string]*taskRun
	// finished holds the ends that have not been acknowledged.
	finished []RunEnd
	// highestRun holds, by task, the highest number of a run that was started or stopped.
	highestRun map[string]uint64
	changed    chan struct{}
}

// taskRun is a run in progress.
type taskRun struct {
	run  uint64
	past *pastStart
	step StepPlan
	// startedAt is when the run began, was restored from a checkpoint or had all members of its gang beside it. waits is set
	// while it waits for them.
	startedAt time.Time
	waits     bool
	// need is how much work the task takes, and resumed how much of it was done before the run.
	need, resumed time.Duration
	behaviour     TaskBehaviour
	// stopsAt is when a run that is being stopped ends; otherwise the zero time.
	stopsAt time.Time
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
	r.endLife(now)
	r.startedAtMS, r.startedAt, r.away = uint64(now.UnixMilli()), now, false
	r.History.noteLife(now, r.Name, "begins a life", r.startedAtMS)
	r.notifyChanged()
}

// Shutdown ends the runner and its runs. It carries out nothing until Restart.
func (r *TaskRunner) Shutdown(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLife(now)
	r.away = true
	r.History.noteLife(now, r.Name, "ends its life", r.startedAtMS)
	r.notifyChanged()
}

// endLife ends all runs and forgets the lease, the fencing token and the lists. The caller holds mu.
func (r *TaskRunner) endLife(now time.Time) {
	for task, t := range r.running {
		r.History.noteEnd(now, t.past, "crashed")
		r.leaveGang(task, t, "crashed")
	}
	for i := range r.finished {
		r.History.noteVoid(now, r.finished[i].past, "was lost with the runner's life")
	}
	r.excessRecorded = false
	r.leaseEndMS, r.excess, r.highestToken, r.lastEnd, r.lastListed, r.finished = 0, 0, 0, 0, 0, nil
	r.running, r.highestRun = make(map[string]*taskRun), make(map[string]uint64)
}

// Away reports whether no process of the runner is there.
func (r *TaskRunner) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
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

// checkExcess records a lease that is longer than a dispatcher grants, once it holds a run. The caller holds mu.
func (r *TaskRunner) checkExcess(now time.Time) {
	if r.excess == 0 || r.excessRecorded || len(r.running) == 0 {
		return
	}
	r.excessRecorded = true
	r.History.noteNearMiss(now, r.Name, "life %d: %d runs are held by a lease of %v, beyond the %v that a dispatcher grants", r.startedAtMS, len(r.running), r.excess, r.LongestGrant)
}

// EndDueRuns ends the runs that have done their work, or all runs if the lease has
// expired.
func (r *TaskRunner) EndDueRuns(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkExcess(now)
	expired := r.clockMS(now) > r.leaseEndMS
	if expired {
		for i := range r.finished {
			r.History.noteVoid(now, r.finished[i].past, "was followed by the end of the lease")
		}
	}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		t := r.running[task]
		if expired {
			r.finish(now, task, t, "lapsed")
		} else if outcome := r.dueOutcome(now, t); outcome != "" {
			r.finish(now, task, t, outcome)
		}
	}
}

// dueOutcome returns how a run ends now, or "" if it goes on. The caller holds mu.
func (r *TaskRunner) dueOutcome(now time.Time, t *taskRun) string {
	if !t.stopsAt.IsZero() && !now.Before(t.stopsAt) {
		return "stopped"
	}
	began := t.startedAt
	if key, ok := r.gangOf(t); ok {
		complete, outcome := r.Gangs.state(key)
		switch {
		case outcome != "":
			return outcome
		case complete.IsZero() && now.Sub(began) > gangWait:
			return "alone"
		case complete.IsZero():
			return ""
		case t.waits:
			t.waits = false
			if complete.After(began) {
				t.startedAt, began = complete, complete
			}
		}
	}
	switch {
	case t.behaviour == TaskNeverEnds && t.step.DurationMS == 0, t.resumed+now.Sub(began) <= t.need:
		return ""
	case t.behaviour == TaskSucceeds:
		return "done"
	}
	return "failed"
}

// gangOf returns the gang of a run, and whether there is one.
func (r *TaskRunner) gangOf(t *taskRun) (gangKey, bool) {
	if r.Gangs == nil || !t.step.Gang {
		return gangKey{}, false
	}
	return gangKey{t.past.successKey(), t.run}, true
}

// leaveGang tells the gang of a run, if there is one, that the run has ended. The caller holds mu.
func (r *TaskRunner) leaveGang(task string, t *taskRun, outcome string) {
	if key, ok := r.gangOf(t); ok {
		r.Gangs.leave(key, task, outcome)
	}
}

// finish ends a run in progress and records its end. The caller holds mu.
func (r *TaskRunner) finish(now time.Time, task string, t *taskRun, outcome string) {
	delete(r.running, task)
	r.lastEnd++
	r.finished = append(r.finished, RunEnd{
		Number: r.lastEnd, Task: task, Run: t.run, Outcome: outcome, Checkpoint: t.checkpoint(now, outcome == "stopped"),
		past: r.History.noteEnd(now, t.past, outcome),
	})
	r.leaveGang(task, t, outcome)
	r.highestRun[task] = max(r.highestRun[task], t.run)
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
	if r.away || token < r.highestToken {
		return false
	}
	r.highestToken = token
	if left := time.Duration(leaseEndMS-r.clockMS(now)) * time.Millisecond; r.LongestGrant > 0 && left > r.LongestGrant && r.excess == 0 {
		r.excess = left
	}
	r.leaseEndMS = max(r.leaseEndMS, min(leaseEndMS, r.clockMS(now)+maxLeaseMS))
	return true
}

// Order is an order to start a run.
type Order struct {
	Task string
	Run  uint64
	// LeaseEndMS is the end of the lease that is given with the start, in milliseconds on the runner's clock.
	LeaseEndMS int64
	// Behaviour is how the run ends, unless there is a plan of its job.
	Behaviour TaskBehaviour
	Plan      *JobPlan
	// Checkpoint is the checkpoint from which the run resumes; empty if there is none.
	Checkpoint string
	// Late is set if the order is carried out long after it arrived.
	Late bool
}

// Start starts a run, and returns "" or the reason for which it refuses to. leaseEndMS is
// the end of the lease that was given with the start.
func (r *TaskRunner) Start(now time.Time, task string, run uint64, leaseEndMS int64, behaviour TaskBehaviour) string {
	return r.CarryOut(now, &Order{Task: task, Run: run, LeaseEndMS: leaseEndMS, Behaviour: behaviour})
}

// CarryOut starts a run as ordered, and returns "" or the reason for which it refuses to.
func (r *TaskRunner) CarryOut(now time.Time, o *Order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.running[o.Task]
	step, planned := o.Plan.step(o.Task)
	switch {
	case r.away, o.LeaseEndMS <= r.clockMS(now):
		return ReasonLeaseEnded
	case t != nil && t.run == o.Run:
		return ""
	case t != nil || o.Run <= r.highestRun[o.Task]:
		return ReasonStaleRun
	case !r.hasRoom(&step):
		return ReasonNoRoom
	}
	t = &taskRun{run: o.Run, step: step, startedAt: now, need: r.TaskDuration, behaviour: o.Behaviour}
	if planned {
		t.need, t.behaviour = time.Duration(step.DurationMS)*time.Millisecond, step.Behaviour
		if step.Rack != "" && step.Rack != r.Rack {
			t.need = t.need * spreadPercent / 100
		}
		if o.Run <= step.FailedRuns {
			t.behaviour = TaskFails
		}
	}
	r.highestRun[o.Task] = o.Run
	t.past = r.History.noteStart(now, startInfo{runner: r.Name, life: r.startedAtMS, task: o.Task, run: o.Run, late: o.Late, plan: o.Plan, step: step})
	if o.Checkpoint != "" {
		done, ok := parseCheckpoint(o.Checkpoint, t.past.successKey())
		if !ok {
			r.History.noteForeignCheckpoint(t.past, o.Checkpoint)
		}
		t.resumed, t.startedAt = done, now.Add(restoreTime)
	}
	r.running[o.Task] = t
	if key, ok := r.gangOf(t); ok {
		t.waits = true
		r.Gangs.join(now, key, o.Task, step.Count)
	}
	return ""
}

// hasRoom reports whether a task of a step fits beside the runs in progress. The caller holds mu.
func (r *TaskRunner) hasRoom(s *StepPlan) bool {
	milliCPU, memoryMB := s.MilliCPU, s.MemoryMB
	for _, t := range r.running {
		milliCPU, memoryMB = milliCPU+t.step.MilliCPU, memoryMB+t.step.MemoryMB
	}
	return (r.MilliCPU == 0 || milliCPU <= r.MilliCPU) && (r.MemoryMB == 0 || memoryMB <= r.MemoryMB)
}

// Stop ends a run and earlier runs of the task within StopTime, and prevents their later start.
func (r *TaskRunner) Stop(now time.Time, task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestRun[task] = max(r.highestRun[task], run)
	t := r.running[task]
	switch {
	case t == nil || t.run > run || !t.stopsAt.IsZero():
	case r.StopTime > 0:
		t.stopsAt = now.Add(r.StopTime)
	default:
		r.finish(now, task, t, "stopped")
	}
}

// List drops the ends with numbers up to acked, which the caller acknowledges, and
// returns the runs in progress and the remaining ends, the oldest maxListedEnds of them.
func (r *TaskRunner) List(now time.Time, acked uint64) (running []RunStatus, finished []RunEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unlisted := 0
	r.finished = slices.DeleteFunc(r.finished, func(e RunEnd) bool {
		if e.Number <= acked {
			r.History.noteAck(now, e.past)
		}
		if e.Number <= acked && e.Number > r.lastListed {
			unlisted++
		}
		return e.Number <= acked
	})
	if acked > r.lastListed {
		r.History.noteNearMiss(now, r.Name, "life %d: ends up to %d were acknowledged, %d of them unlisted; the newest listed is %d", r.startedAtMS, acked, unlisted, r.lastListed)
	}
	for task, t := range r.running {
		running = append(running, RunStatus{task, t.run, t.checkpoint(now, false), t.percent(now)})
	}
	slices.SortFunc(running, func(x, y RunStatus) int { return strings.Compare(x.Task, y.Task) })
	finished = slices.Clone(r.finished[:min(len(r.finished), maxListedEnds)])
	if len(finished) > 0 {
		r.lastListed = max(r.lastListed, finished[len(finished)-1].Number)
	}
	return running, finished
}

// NoteLate records that a call is carried out long after it arrived.
func (r *TaskRunner) NoteLate(now time.Time, call string) {
	r.History.noteLife(now, r.Name, "carries out "+call+" late, in life", r.StartedAtMS())
}

// NoteListed records that an answer with the ends was sent.
func (r *TaskRunner) NoteListed(now time.Time, ends []RunEnd) {
	for i := range ends {
		r.History.noteListed(now, ends[i].past)
	}
}
