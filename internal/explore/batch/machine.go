package batch

import (
	"slices"
	"strconv"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// machineSize is the resources of each worker.
var machineSize = worker.Resources{MilliCPU: 5000, MemoryMB: 8192}

// machine simulates a worker of the platform, which runs tasks until their leases end.
type machine struct {
	w    *world
	name string
	// rate is how fast the machine's clock runs, 1 being exact.
	rate float64
	// startedAt is when the present VM started, in true time; incarnation counts VMs.
	startedAt   time.Duration
	incarnation int
	tasks       map[record.AssignmentID]*runningTask
}

// runningTask is a task on a machine. leaseEnd is when its lease ends on the machine's
// clock. workDone is the work done up to updatedAt, in true time; checkpoint is the work
// saved by its newest checkpoint.
type runningTask struct {
	order      lease.StartOrder
	state      lease.State
	leaseEnd   time.Duration
	workDone   time.Duration
	checkpoint time.Duration
	updatedAt  time.Duration
}

func newMachine(w *world, name string) *machine {
	return &machine{w: w, name: name, rate: w.drift(), tasks: make(map[record.AssignmentID]*runningTask)}
}

func (m *machine) index() int { return slices.Index(m.w.workers, m) }

// uptime returns the worker's own clock.
func (m *machine) uptime() time.Duration {
	return time.Duration(float64(m.w.now-m.startedAt) * m.rate)
}

// trueTime returns the true time at which the worker's clock shows uptime.
func (m *machine) trueTime(uptime time.Duration) time.Duration {
	return m.startedAt + time.Duration(float64(uptime)/m.rate)
}

// replaceVM replaces the machine's VM by one without tasks.
func (m *machine) replaceVM() {
	m.updateTasks()
	m.incarnation++
	m.startedAt = m.w.now
	m.tasks = make(map[record.AssignmentID]*runningTask)
}

// updateTasks updates the progress of all tasks to the present.
func (m *machine) updateTasks() {
	for id, t := range m.tasks {
		m.updateTask(id, t)
	}
}

// updateTask adds the progress of a task since its last update, up to the end of its
// lease or of its work.
func (m *machine) updateTask(id record.AssignmentID, t *runningTask) {
	from, now := t.updatedAt, m.w.now
	t.updatedAt = now
	if t.state != lease.Running {
		return
	}
	end := min(now, m.trueTime(t.leaseEnd))
	if end <= from {
		return
	}
	totalWork := time.Duration(t.order.Spec.ExpectedMS) * time.Millisecond
	if t.workDone+end-from >= totalWork {
		end = from + totalWork - t.workDone
		t.state = lease.Succeeded
	}
	t.workDone += end - from
	m.w.history.noteProgress(id, m, from, end)
}

// list returns the worker's listing of its tasks.
func (m *machine) list() *lease.Listing {
	m.updateTasks()
	l := &lease.Listing{Incarnation: strconv.Itoa(m.incarnation), Uptime: m.uptime(), Total: machineSize}
	for id, t := range m.tasks {
		l.Tasks = append(l.Tasks, lease.Task{
			Hold: id, Size: t.order.Spec.Size, State: t.state, Ref: checkpointRef(t.checkpoint), Until: t.leaseEnd,
			Terms: lease.TermsFromMS(t.order.Spec.TakeoverMS),
		})
	}
	slices.SortFunc(l.Tasks, func(a, b lease.Task) int { return a.Hold.Compare(b.Hold) })
	return l
}

// checkpointRef returns the reference of a checkpoint that saved the given work, which is
// empty if there is none.
func checkpointRef(work time.Duration) string {
	if work == 0 {
		return ""
	}
	return work.String()
}

// execute carries out an agent's action, unless the machine's VM was replaced since the
// incarnation for which the action was meant.
func (m *machine) execute(a *lease.Action, incarnation int) {
	if incarnation != m.incarnation {
		return
	}
	m.updateTasks()
	t := m.tasks[a.Assignment()]
	if a.Kind() == lease.ActionStart {
		m.start(a)
		return
	}
	if t == nil {
		return
	}
	switch a.Kind() {
	case lease.ActionRenew:
		t.leaseEnd = max(t.leaseEnd, a.LeaseEnd())
	case lease.ActionCheckpoint:
		t.checkpoint = t.workDone
	case lease.ActionCheckpointStop:
		t.checkpoint = t.workDone
		m.stop(t)
	case lease.ActionStop:
		m.stop(t)
	case lease.ActionRemove:
		if t.state.Ended() {
			delete(m.tasks, a.Assignment())
		}
	}
}

func (m *machine) stop(t *runningTask) {
	if t.state == lease.Running {
		t.state = lease.Stopped
	}
}

// start starts a task unless the machine already has it or its lease has ended.
func (m *machine) start(a *lease.Action) {
	if m.tasks[a.Assignment()] != nil || a.LeaseEnd() <= m.uptime() {
		return
	}
	checkpoint, _ := time.ParseDuration(a.Order().Checkpoint)
	m.tasks[a.Assignment()] = &runningTask{
		order: *a.Order(), state: lease.Running, leaseEnd: a.LeaseEnd(), workDone: checkpoint, checkpoint: checkpoint, updatedAt: m.w.now,
	}
	var sum worker.Resources
	for _, t := range m.tasks {
		if !t.state.Ended() {
			sum = sum.Plus(t.order.Spec.Size)
		}
	}
	m.w.history.noteStart(a.Assignment(), m)
	if !sum.Fits(machineSize) {
		m.w.history.addViolation("tasks on worker %s exceed its resources after the start of %s", m.name, a.Assignment())
	}
}
