package queue

import (
	"math/rand/v2"
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions.
const (
	// KindPlace assigns tasks to workers.
	KindPlace Kind = iota + 1
	// KindPreempt stops tasks to make room for an urgent one.
	KindPreempt
	// KindPark sets aside a job whose tasks exceed every known worker.
	KindPark
)

var kindNames = [...]string{"", "place-task", "preempt-task", "park-job"}

// String returns the decision name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Decision is one scheduling decision.
type Decision struct {
	kind       Kind
	job        *job.Job
	message    record.Message
	placements []record.Placement
	revoked    []record.AssignmentID
	reason     string
}

// Kind returns the kind of the decision.
func (d *Decision) Kind() Kind { return d.kind }

// Job returns the job concerned; for a preemption, the one that needs the
// capacity.
func (d *Decision) Job() *job.Job { return d.job }

// Message returns the log record that makes the decision effective, or nil if
// the decision needs none.
func (d *Decision) Message() record.Message { return d.message }

// Placements returns the tasks placed and their workers.
func (d *Decision) Placements() []record.Placement { return d.placements }

// Revoked returns the assignments that are revoked by a preemption.
func (d *Decision) Revoked() []record.AssignmentID { return d.revoked }

// Reason returns the reason in words, for logs.
func (d *Decision) Reason() string { return d.reason }

// place tries to place the given item of the job owner, and reports whether a worker
// was found for each of its tasks. If not, the decision is a preemption, a parked job,
// or the zero Decision.
func (s *Scheduler) place(now time.Time, item *Item, owner *job.Job, random *rand.Rand) (Decision, bool) {
	tasks := s.placementTasks(item, owner)
	for i := range tasks {
		s.release(taskID(tasks[i].Key)) // a tentative allocation by an earlier placement that never appeared in the log
	}
	choices, err := s.chooseWorkers(now, tasks, random)
	if err != nil {
		return s.handleNoPlacement(now, item, owner, err, random), false
	}
	placements := make([]record.Placement, len(tasks))
	for i := range tasks {
		id := taskID(tasks[i].Key)
		s.fleet.Allocate(tasks[i].Key, worker.Allocation{
			Worker: choices[i].Worker(), Team: item.demand.Team, Size: item.demand.Size, Class: owner.Spec().Class,
			Urgent: item.demand.Urgent, AssignedAt: now, Tentative: true,
		})
		s.queue.Charge(item.demand.Team, item.demand.Size)
		placements[i] = record.Placement{Task: id, Worker: choices[i].Worker(), Attempt: owner.Task(int(id.Index)).Attempt()}
	}
	s.queue.Delay(item.key, now.Add(PlacementTimeout), ReasonPlacing)
	return Decision{
		kind: KindPlace, job: owner, message: &record.Assign{Placements: placements}, placements: placements, reason: choices[0].Reason(),
	}, true
}

// chooseWorkers chooses a worker for each task, or returns an error if any task does
// not fit.
func (s *Scheduler) chooseWorkers(now time.Time, tasks []worker.Task, random *rand.Rand) ([]worker.Choice, error) {
	if len(tasks) > 1 {
		return s.fleet.PlaceGang(now, tasks, random)
	}
	c, err := s.fleet.Place(now, &tasks[0], random)
	return []worker.Choice{c}, err
}

// placementTasks returns the tasks of an item as the input of a placement.
func (s *Scheduler) placementTasks(item *Item, owner *job.Job) []worker.Task {
	spec := owner.Spec()
	base := worker.Task{
		Key: worker.TaskKey{Job: item.key.Job, Index: item.key.Task}, Size: spec.Size,
		ExpectedUse: s.stats.expectedUse(spec.Class, spec.Size), Class: spec.Class, Failures: s.jobFailures[item.key.Job],
	}
	if item.key.Task != WholeGang {
		base.TasksPerRack = s.tasksPerRack(owner)
		return []worker.Task{base}
	}
	out := make([]worker.Task, 0, item.demand.Count)
	g := s.gangs[item.key.Job]
	for i := range owner.TaskCount() {
		if _, ok := g.pending[uint32(i)]; ok {
			base.Key.Index = uint32(i)
			out = append(out, base)
		}
	}
	return out
}

// maxSpreadTasks is the number of tasks up to which a job's tasks are spread
// over racks.
const maxSpreadTasks = 64

// tasksPerRack counts the job's placed tasks in each rack. It returns nil for
// jobs that are not spread.
func (s *Scheduler) tasksPerRack(owner *job.Job) map[string]int {
	if owner.TaskCount() < 2 || owner.TaskCount() > maxSpreadTasks {
		return nil
	}
	out := make(map[string]int)
	for i := range owner.TaskCount() {
		if allocation, ok := s.fleet.Allocation(worker.TaskKey{Job: owner.Spec().ID, Index: uint32(i)}); ok {
			out[s.fleet.Rack(allocation.Worker)]++
		}
	}
	return out
}

// handleNoPlacement handles an item that could not be placed because of err: it parks
// an item that exceeds every known worker, preempts other tasks for an urgent one, and
// blocks any other item.
func (s *Scheduler) handleNoPlacement(now time.Time, item *Item, owner *job.Job, err error, random *rand.Rand) Decision {
	if s.fleet.ExceedsAllWorkers(item.demand.Size) {
		s.queue.Park(item.key)
		return Decision{kind: KindPark, job: owner, reason: err.Error()}
	}
	if d, ok := s.preempt(now, item, owner, random); ok {
		return d
	}
	s.queue.Block(item.key)
	return Decision{}
}

// Times of preemption.
const (
	// preemptionTimeout is how long the tasks stopped by one preemption have to
	// free their capacity before the next preemption for the same item.
	preemptionTimeout = 5 * time.Second
	// preemptionRecheckInterval is the time between two attempts to place an item
	// for which other tasks are being stopped.
	preemptionRecheckInterval = 100 * time.Millisecond
)

// preempt stops tasks to make room for an urgent task whose team is within its quota.
// It reports whether room is being made for the item; if no task has to be stopped for
// that now, the decision is the zero Decision.
func (s *Scheduler) preempt(now time.Time, item *Item, owner *job.Job, random *rand.Rand) (Decision, bool) {
	if !item.demand.Urgent || item.demand.Count != 1 || s.fleet.Len() == 0 || s.queue.Share(item.demand.Team) > 1 {
		return Decision{}, false
	}
	if now.Before(s.preemptingUntil[item.key]) {
		s.queue.Delay(item.key, now.Add(preemptionRecheckInterval), ReasonNoRoom)
		return Decision{}, true
	}
	key := worker.TaskKey{Job: item.key.Job, Index: item.key.Task}
	name, victims := s.fleet.FindPreemption(now, key, item.demand.Size, random.IntN(s.fleet.Len()))
	if name == "" {
		return Decision{}, false
	}
	if s.preemptingUntil == nil {
		s.preemptingUntil = make(map[Key]time.Time)
	}
	s.preemptingUntil[item.key] = now.Add(preemptionTimeout)
	s.fleet.Reserve(name, key, now.Add(preemptionTimeout))
	s.queue.Delay(item.key, now.Add(preemptionRecheckInterval), ReasonNoRoom)
	if len(victims) == 0 {
		return Decision{}, true
	}
	return s.revocation(owner, victims), true
}

// preemptReason is the reason given to the log for a preempted task.
const preemptReason = "urgent work needs the room"

// revocation returns the decision to stop the victims for an urgent task of the job
// owner.
func (s *Scheduler) revocation(owner *job.Job, victims []worker.TaskKey) Decision {
	d := Decision{kind: KindPreempt, job: owner, reason: preemptReason}
	for _, v := range victims {
		allocation, _ := s.fleet.Allocation(v)
		d.revoked = append(d.revoked, record.AssignmentID{Task: taskID(v), Epoch: record.Position(allocation.Epoch)})
	}
	d.message = &record.Revoke{Assignments: d.revoked, Reason: preemptReason}
	return d
}
