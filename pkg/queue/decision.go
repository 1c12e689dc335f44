package queue

import (
	"math/rand/v2"
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Kind says what was decided.
type Kind uint8

// The kinds of decisions.
const (
	// KindPlace gives tasks to workers.
	KindPlace Kind = iota + 1
	// KindPreempt stops tasks to make room for urgent work.
	KindPreempt
	// KindPark puts work aside that fits no worker known.
	KindPark
)

var kindNames = [...]string{"", "place-task", "preempt-task", "park-job"}

// String returns the decision's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Decision is one decision of a Scheduler.
type Decision struct {
	kind    Kind
	job     *job.Job
	message record.Message
	places  []record.Placement
	holds   []record.Hold
	reason  string
}

// Kind says what was decided.
func (d *Decision) Kind() Kind { return d.kind }

// Job returns the job concerned; for a preemption, the one that needs the room.
func (d *Decision) Job() *job.Job { return d.job }

// Message returns the record that puts the decision in force, or nil.
func (d *Decision) Message() record.Message { return d.message }

// Placements returns the tasks placed.
func (d *Decision) Placements() []record.Placement { return d.places }

// Holds returns the tasks that are stopped.
func (d *Decision) Holds() []record.Hold { return d.holds }

// Reason returns why it was decided so.
func (d *Decision) Reason() string { return d.reason }

// place decides about the queue's next item. It reports whether it was placed.
func (s *Scheduler) place(now time.Time, item *Item, owner *job.Job, random *rand.Rand) (Decision, bool) {
	tasks := s.tasks(item, owner)
	for i := range tasks {
		s.unhold(taskID(tasks[i].Key)) // an earlier decision that never showed in the log
	}
	choices, err := s.choose(now, tasks, random)
	if err != nil {
		return s.misplaced(now, item, owner, err, random), false
	}
	places := make([]record.Placement, len(tasks))
	for i := range tasks {
		id := taskID(tasks[i].Key)
		s.fleet.Hold(tasks[i].Key, worker.Hold{
			Worker: choices[i].Worker(), Team: item.demand.Team, Size: item.demand.Size, Class: owner.Spec().Class,
			Urgent: item.demand.Urgent, Since: now, Tentative: true,
		})
		s.queue.Charge(item.demand.Team, item.demand.Size)
		places[i] = record.Placement{Task: id, Worker: choices[i].Worker(), Attempt: owner.Task(int(id.Index)).Attempt()}
	}
	s.queue.Delay(item.key, now.Add(PlacementPending), ReasonPlacing)
	return Decision{
		kind: KindPlace, job: owner, message: &record.Assign{Placements: places}, places: places, reason: choices[0].Reason(),
	}, true
}

func (s *Scheduler) choose(now time.Time, tasks []worker.Task, random *rand.Rand) ([]worker.Choice, error) {
	if len(tasks) > 1 {
		return s.fleet.PlaceGang(now, tasks, random)
	}
	c, err := s.fleet.Place(now, &tasks[0], random)
	return []worker.Choice{c}, err
}

// tasks returns what the fleet needs to know of an item's tasks.
func (s *Scheduler) tasks(item *Item, owner *job.Job) []worker.Task {
	spec := owner.Spec()
	base := worker.Task{
		Key: worker.TaskKey{Job: item.key.Job, Index: item.key.Task}, Size: spec.Size,
		Expected: s.learned.use(spec.Class, spec.Size), Class: spec.Class, Failures: s.failures[item.key.Job],
	}
	if item.key.Task != WholeGang {
		base.Racks = s.racks(owner)
		return []worker.Task{base}
	}
	out := make([]worker.Task, 0, item.demand.Count)
	g := s.gangs[item.key.Job]
	for i := range owner.Tasks() {
		if _, ok := g.pending[uint32(i)]; ok {
			base.Key.Index = uint32(i)
			out = append(out, base)
		}
	}
	return out
}

// spreadTasks is the most tasks of a job that are spread over racks.
const spreadTasks = 64

// racks counts by rack the tasks of a job that run.
func (s *Scheduler) racks(owner *job.Job) map[string]int {
	if owner.Tasks() < 2 || owner.Tasks() > spreadTasks {
		return nil
	}
	out := make(map[string]int)
	for i := range owner.Tasks() {
		if h, ok := s.fleet.Held(worker.TaskKey{Job: owner.Spec().ID, Index: uint32(i)}); ok {
			out[s.fleet.Rack(h.Worker)]++
		}
	}
	return out
}

// misplaced puts an item aside for which there is no room, or makes room for it.
func (s *Scheduler) misplaced(now time.Time, item *Item, owner *job.Job, err error, random *rand.Rand) Decision {
	if s.fleet.FitsNone(item.demand.Size) {
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
	// preemptAgain is how long one preemption is given to make room.
	preemptAgain = 5 * time.Second
	// preemptPoll is how often work is looked at that waits for its room.
	preemptPoll = 100 * time.Millisecond
)

// preempt makes room for an urgent task of a team within its quota.
func (s *Scheduler) preempt(now time.Time, item *Item, owner *job.Job, random *rand.Rand) (Decision, bool) {
	if !item.demand.Urgent || item.demand.Count != 1 || s.fleet.Len() == 0 || s.queue.Share(item.demand.Team) > 1 {
		return Decision{}, false
	}
	if now.Before(s.preempting[item.key]) {
		s.queue.Delay(item.key, now.Add(preemptPoll), ReasonNoRoom)
		return Decision{}, true
	}
	key := worker.TaskKey{Job: item.key.Job, Index: item.key.Task}
	name, victims := s.fleet.Preempt(now, key, item.demand.Size, random.IntN(s.fleet.Len()))
	if name == "" {
		return Decision{}, false
	}
	if s.preempting == nil {
		s.preempting = make(map[Key]time.Time)
	}
	s.preempting[item.key] = now.Add(preemptAgain)
	s.fleet.Reserve(name, key, now.Add(preemptAgain))
	s.queue.Delay(item.key, now.Add(preemptPoll), ReasonNoRoom)
	if len(victims) == 0 {
		return Decision{}, true
	}
	return s.revocation(owner, victims), true
}

// preemptReason is what the log says of a task that gave way.
const preemptReason = "urgent work needs the room"

func (s *Scheduler) revocation(owner *job.Job, victims []worker.TaskKey) Decision {
	d := Decision{kind: KindPreempt, job: owner, reason: preemptReason}
	for _, v := range victims {
		h, _ := s.fleet.Held(v)
		d.holds = append(d.holds, record.Hold{Task: taskID(v), Epoch: record.Position(h.Epoch)})
	}
	d.message = &record.Revoke{Holds: d.holds, Reason: preemptReason}
	return d
}
