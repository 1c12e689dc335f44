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
	// PlacementTimeout is how long a placement may take to show in the log
	// before the placement is considered lost and is repeated.
	PlacementTimeout = 2 * time.Second
	// BackupDelay is how long an entry waits for the entry that ranks just
	// above it for a job before it schedules the job itself.
	BackupDelay = 1200 * time.Millisecond
	// housekeepingInterval is how often all blocked items are unblocked and
	// a worker is reserved for the item that has starved the longest.
	housekeepingInterval = time.Second
)

// Limits of one call of Decide.
const (
	// maxDecisions limits the decisions returned.
	maxDecisions = 500
	// maxFailedPlacements limits the attempts to place an item that find no worker.
	maxFailedPlacements = 64
)

// Scheduler decides which waiting task runs on which worker. It is notified of
// every change of a task and of every worker report, so that the cost of a
// decision does not depend on the tasks and workers that it does not concern.
// The zero value is ready for Configure.
type Scheduler struct {
	queue       Queue
	fleet       worker.Fleet
	gangs       map[string]*gangState
	jobFailures map[string]*worker.JobFailures
	// failuresSeen is the number of failures of each task that recordOutcome has
	// already handled.
	failuresSeen map[record.TaskID]uint32
	// preemptingUntil is the time until which the item waits for a preemption to free
	// capacity.
	preemptingUntil  map[Key]time.Time
	stats            usageStats
	classes          []bundle.BatchClass
	teams            []bundle.Team
	fleetVersion     uint64
	lastHousekeeping time.Time
}

// Queue returns the queue of waiting work.
func (s *Scheduler) Queue() *Queue { return &s.queue }

// Fleet returns the scheduler's view of the workers.
func (s *Scheduler) Fleet() *worker.Fleet { return &s.fleet }

// WaitReason returns in words why the task of j at the given index waits, and whether
// the task waits in the queue.
func (s *Scheduler) WaitReason(j *job.Job, index uint32) (string, bool) {
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

// Configure applies the batch classes and team quotas of a configuration
// bundle.
func (s *Scheduler) Configure(now time.Time, d *bundle.Document, jobs *job.StateMachine) {
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
		s.requeueAll(now, jobs)
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

// requeueAll adds all pending tasks to the queue again, under the current batch
// classes.
func (s *Scheduler) requeueAll(now time.Time, jobs *job.StateMachine) {
	jobs.Each(func(j *job.Job) bool {
		if j.Ended() {
			return true
		}
		for i := range j.TaskCount() {
			if t := j.Task(i); t.Phase() == job.Pending {
				s.enqueue(now, record.TaskID{Job: j.Spec().ID, Index: uint32(i)}, j, t)
			}
		}
		return true
	})
}

// ApplyReport applies a worker's report. From the uses, the resource use of each batch
// class on the worker, the scheduler learns how much the classes use and how they slow
// down the service on the worker.
func (s *Scheduler) ApplyReport(now time.Time, r *worker.Report, uses []ClassUse) {
	before := s.fleet.Free(r.Name)
	free := s.fleet.ApplyReport(now, r)
	s.learnFromReport(r, uses)
	if !free.Fits(before) {
		s.queue.UnblockFitting(free)
	}
	if s.fleetVersion != s.fleet.Version() {
		s.fleetVersion = s.fleet.Version()
		s.queue.Reexamine()
	}
}

// BackupDelayFunc returns how long this entry leaves a job to the entries that rank
// higher for it.
type BackupDelayFunc func(jobID string) time.Duration

// Decide returns the placements, preemptions and parked jobs that are due now.
func (s *Scheduler) Decide(now time.Time, jobs *job.StateMachine, backupDelay BackupDelayFunc, random *rand.Rand) []Decision {
	s.housekeep(now)
	var out []Decision
	for failedPlacements := 0; failedPlacements < maxFailedPlacements && len(out) < maxDecisions; {
		item, ok := s.queue.Next(now)
		if !ok {
			s.fleet.ResetRecentlyFreed()
			break
		}
		if mayPlaceAt := item.EligibleAt().Add(backupDelay(item.key.Job)); mayPlaceAt.After(now) {
			s.queue.Delay(item.key, mayPlaceAt, ReasonOtherEntry)
			continue
		}
		owner, ok := jobs.Job(item.key.Job)
		if !ok {
			s.queue.Remove(item.key)
			continue
		}
		if item.bucket.shape.recentlyUnblocked && !s.fleet.FitsRecentlyFreed(item.demand.Size) {
			s.queue.Block(item.key)
			continue
		}
		d, placed := s.place(now, item, owner, random)
		if placed {
			s.queue.Reblock(s.fleet.FitsRecentlyFreed)
		} else {
			failedPlacements++
		}
		if d.kind != 0 {
			out = append(out, d)
		}
	}
	return out
}

// starvingThreshold is how long an item must be overdue before a worker is
// reserved for it.
const starvingThreshold = 5 * time.Minute

// housekeep unblocks all blocked items and reserves a worker for the item that
// has starved the longest. It runs every housekeepingInterval.
func (s *Scheduler) housekeep(now time.Time) {
	if now.Sub(s.lastHousekeeping) < housekeepingInterval {
		return
	}
	s.lastHousekeeping = now
	if item, ok := s.queue.Starving(now, starvingThreshold); ok && item.demand.Count == 1 {
		key := worker.TaskKey{Job: item.key.Job, Index: item.key.Task}
		if name, ok := s.fleet.FindReservation(now, key, item.demand.Size); ok {
			s.fleet.Reserve(name, key, now.Add(2*housekeepingInterval))
		}
	}
	for key, until := range s.preemptingUntil {
		if now.After(until) {
			delete(s.preemptingUntil, key)
		}
	}
	s.queue.UnblockAll()
}
