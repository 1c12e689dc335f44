package batch

import (
	"slices"
	"strconv"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// machineSize is what each worker has.
var machineSize = worker.Resources{MilliCPU: 5000, MemoryMB: 8192}

// machine is the platform's worker: it runs tasks under leases in true time.
type machine struct {
	w           *world
	name        string
	rate        float64
	born        time.Duration
	incarnation int
	tasks       map[record.AssignmentID]*running
}

type running struct {
	order lease.StartOrder
	state lease.State
	until time.Duration
	done  time.Duration
	saved time.Duration
	seen  time.Duration
}

func newMachine(w *world, name string) *machine {
	return &machine{w: w, name: name, rate: w.drift(), tasks: make(map[record.AssignmentID]*running)}
}

func (m *machine) index() int { return slices.Index(m.w.workers, m) }

// uptime is the worker's own clock.
func (m *machine) uptime() time.Duration {
	return time.Duration(float64(m.w.now-m.born) * m.rate)
}

// trueTime returns the true moment at which the worker's clock shows uptime.
func (m *machine) trueTime(uptime time.Duration) time.Duration {
	return m.born + time.Duration(float64(uptime)/m.rate)
}

// lose replaces the machine's VM.
func (m *machine) lose() {
	m.progress()
	m.incarnation++
	m.born = m.w.now
	m.tasks = make(map[record.AssignmentID]*running)
}

// progress brings all tasks up to the present.
func (m *machine) progress() {
	for hold, t := range m.tasks {
		m.advance(hold, t)
	}
}

func (m *machine) advance(hold record.AssignmentID, t *running) {
	from, now := t.seen, m.w.now
	t.seen = now
	if t.state != lease.Running {
		return
	}
	end := min(now, m.trueTime(t.until))
	if end <= from {
		return
	}
	need := time.Duration(t.order.Spec.ExpectedMS) * time.Millisecond
	if t.done+end-from >= need {
		end = from + need - t.done
		t.state = lease.Succeeded
	}
	t.done += end - from
	m.w.history.ran(hold, m, from, end)
}

func (m *machine) list() *lease.Listing {
	m.progress()
	l := &lease.Listing{Incarnation: strconv.Itoa(m.incarnation), Uptime: m.uptime(), Total: machineSize}
	for hold, t := range m.tasks {
		l.Tasks = append(l.Tasks, lease.Task{
			Hold: hold, Size: t.order.Spec.Size, State: t.state, Ref: ref(t.saved), Until: t.until,
			Terms: lease.TermsFromMS(t.order.Spec.TakeoverMS),
		})
	}
	slices.SortFunc(l.Tasks, func(a, b lease.Task) int { return a.Hold.Compare(b.Hold) })
	return l
}

func ref(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// do carries out an action that was meant for one incarnation.
func (m *machine) do(a *lease.Action, incarnation int) {
	if incarnation != m.incarnation {
		return
	}
	m.progress()
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
		t.until = max(t.until, a.LeaseEnd())
	case lease.ActionCheckpoint:
		t.saved = t.done
	case lease.ActionCheckpointStop:
		t.saved = t.done
		m.stop(t)
	case lease.ActionStop:
		m.stop(t)
	case lease.ActionRemove:
		if t.state.Ended() {
			delete(m.tasks, a.Assignment())
		}
	}
}

func (m *machine) stop(t *running) {
	if t.state == lease.Running {
		t.state = lease.Stopped
	}
}

// start runs a task unless it is listed or its lease has ended.
func (m *machine) start(a *lease.Action) {
	if m.tasks[a.Assignment()] != nil || a.LeaseEnd() <= m.uptime() {
		return
	}
	saved, _ := time.ParseDuration(a.Order().Checkpoint)
	m.tasks[a.Assignment()] = &running{
		order: *a.Order(), state: lease.Running, until: a.LeaseEnd(), done: saved, saved: saved, seen: m.w.now,
	}
	var sum worker.Resources
	for _, t := range m.tasks {
		if !t.state.Ended() {
			sum = sum.Plus(t.order.Spec.Size)
		}
	}
	m.w.history.started(a.Assignment(), m)
	if !sum.Fits(machineSize) {
		m.w.history.violate("worker %s over-full with %s", m.name, a.Assignment())
	}
}
