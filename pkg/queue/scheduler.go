package queue

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Times of scheduling.
const (
	// PlacementPending is how long a decision may take to show in the log.
	PlacementPending = 2 * time.Second
	// BackupDelay is how long an entry leaves a job to the one ranked before it.
	BackupDelay = 1200 * time.Millisecond
	// housekeepingEvery is how often blocked work is looked at in any case.
	housekeepingEvery = time.Second
)

// Limits of one call of Decide.
const (
	maxPlacements = 500
	maxMisses     = 64
)

// Scheduler decides which waiting task runs where. It is told of every change
// of a task and of every heartbeat, so that a decision costs nothing for the
// tasks and workers that it does not concern. The zero value knows nothing.
type Scheduler struct {
	queue    Queue
	fleet    worker.Fleet
	gangs    map[string]*gang
	failures map[string]*worker.JobFailures
	// failed is the number of failures seen of each task that has failed.
	failed     map[record.TaskID]uint32
	preempting map[Key]time.Time
	learned    learned
	classes    []bundle.BatchClass
	teams      []bundle.Team
	workers    uint64
	kept       time.Time
}

// Queue returns the waiting work.
func (s *Scheduler) Queue() *Queue { return &s.queue }

// Fleet returns the view of the workers.
func (s *Scheduler) Fleet() *worker.Fleet { return &s.fleet }

// Waiting says in words why a task of j waits, if it does.
func (s *Scheduler) Waiting(j *job.Job, index uint32) (string, bool) {
	if j.Task(int(index)).Phase() != job.Pending {
		return "", false
	}
	key := Key{Job: j.Spec().ID, Task: index}
	if j.Spec().Gang {
		key.Task = WholeGang
	}
	reason, ok := s.queue.Reason(key)
	return reason.String(), ok
}

// Configure takes over the classes and quotas of a bundle.
func (s *Scheduler) Configure(now time.Time, d *bundle.Document, fold *job.Fold) {
	if !slices.EqualFunc(s.teams, d.Teams, sameQuota) {
		for i := range s.teams {
			s.queue.SetQuota(s.teams[i].Name, worker.Resources{})
		}
		for i := range d.Teams {
			s.queue.SetQuota(d.Teams[i].Name, d.Teams[i].Quota)
		}
		s.teams = d.Teams
	}
	if !slices.Equal(s.classes, d.BatchClasses) {
		s.classes = d.BatchClasses
		s.requeue(now, fold)
	}
	s.queue.Reexamine()
}

func sameQuota(a, b bundle.Team) bool { return a.Name == b.Name && a.Quota == b.Quota }

func (s *Scheduler) class(name string) bundle.BatchClass {
	for i := range s.classes {
		if s.classes[i].Name == name {
			return s.classes[i]
		}
	}
	return bundle.BatchClass{}
}

// requeue adds all waiting work anew under the present classes.
func (s *Scheduler) requeue(now time.Time, fold *job.Fold) {
	fold.Each(func(j *job.Job) bool {
		if j.Ended() {
			return true
		}
		for i := range j.Tasks() {
			if t := j.Task(i); t.Phase() == job.Pending {
				s.enqueue(now, record.TaskID{Job: j.Spec().ID, Index: uint32(i)}, j, t)
			}
		}
		return true
	})
}

// Heard takes in a worker's report.
func (s *Scheduler) Heard(now time.Time, r *worker.Report, uses []ClassUse) {
	before := s.fleet.Free(r.Name)
	free := s.fleet.Heard(now, r)
	s.observe(r, uses)
	if !free.Fits(before) {
		s.queue.RoomFor(free)
	}
	if s.workers != s.fleet.Version() {
		s.workers = s.fleet.Version()
		s.queue.Reexamine()
	}
}

// Backup returns how long an entry leaves a job to those that rank before it.
type Backup func(jobID string) time.Duration

// Decide returns the placements and preemptions that are due now.
func (s *Scheduler) Decide(now time.Time, fold *job.Fold, backup Backup, random *rand.Rand) []Decision {
	s.housekeep(now)
	var out []Decision
	for misses := 0; misses < maxMisses && len(out) < maxPlacements; {
		item, ok := s.queue.Next(now)
		if !ok {
			s.fleet.ForgetGrown()
			break
		}
		if ready := item.Since().Add(backup(item.key.Job)); ready.After(now) {
			s.queue.Delay(item.key, ready, ReasonOtherEntry)
			continue
		}
		owner, ok := fold.Job(item.key.Job)
		if !ok {
			s.queue.Remove(item.key)
			continue
		}
		if item.bucket.shape.woken && !s.fleet.FitsGrown(item.demand.Size) {
			s.queue.Block(item.key)
			continue
		}
		d, placed := s.place(now, item, owner, random)
		if placed {
			s.queue.Reblock(s.fleet.FitsGrown)
		} else {
			misses++
		}
		if d.kind != 0 {
			out = append(out, d)
		}
	}
	return out
}

// starvingAfter is how long work is overdue before room is kept for it.
const starvingAfter = 5 * time.Minute

// housekeep looks at blocked work again and keeps room for what starves.
func (s *Scheduler) housekeep(now time.Time) {
	if now.Sub(s.kept) < housekeepingEvery {
		return
	}
	s.kept = now
	if item, ok := s.queue.Starving(now, starvingAfter); ok && item.demand.Count == 1 {
		key := worker.TaskKey{Job: item.key.Job, Index: item.key.Task}
		if name, ok := s.fleet.ReserveFor(now, key, item.demand.Size); ok {
			s.fleet.Reserve(name, key, now.Add(2*housekeepingEvery))
		}
	}
	for key, until := range s.preempting {
		if now.After(until) {
			delete(s.preempting, key)
		}
	}
	s.queue.UnblockAll()
}
