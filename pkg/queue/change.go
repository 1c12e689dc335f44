package queue

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// gangState is the scheduling state of a gang: a job whose tasks start
// together.
type gangState struct {
	// pending holds the indexes of the tasks that wait to be placed.
	pending map[uint32]struct{}
	// revoked holds the indexes of the tasks that have been revoked but not yet
	// released by their worker.
	revoked map[uint32]struct{}
}

// TaskChanged updates the scheduler after a change of a task. A nil t means that
// the job's state has been deleted.
func (s *Scheduler) TaskChanged(now time.Time, id record.TaskID, j *job.Job, t *job.Task) {
	if t == nil {
		s.removeTask(now, id, j)
		return
	}
	s.recordOutcome(now, id, t)
	switch {
	case t.Phase() == job.Pending:
		s.release(id)
		s.enqueue(now, id, j, t)
	case t.Phase().Active():
		s.dequeue(now, id, j, t.Phase() == job.Revoked)
		s.allocate(now, id, j, t)
	default:
		s.dequeue(now, id, j, false)
		s.release(id)
		delete(s.failuresSeen, id)
		if j.Ended() {
			delete(s.jobFailures, id.Job)
			delete(s.gangs, id.Job)
		}
	}
}

// removeTask discards all state of a task and of its job, which has been deleted.
func (s *Scheduler) removeTask(now time.Time, id record.TaskID, j *job.Job) {
	s.dequeue(now, id, j, false)
	s.release(id)
	delete(s.failuresSeen, id)
	delete(s.jobFailures, id.Job)
	delete(s.gangs, id.Job)
}

// recordOutcome updates the health of the worker from a run that has ended, and
// after a success also the run-time estimate of the team and class.
func (s *Scheduler) recordOutcome(now time.Time, id record.TaskID, t *job.Task) {
	if t.Phase() == job.Succeeded {
		if allocation, ok := s.fleet.Allocation(taskKey(id)); ok && !allocation.Tentative {
			s.fleet.Health(t.Worker()).RecordSuccess()
			if !allocation.AssignedAt.IsZero() {
				s.stats.addRun(allocation.Team, allocation.Class, now.Sub(allocation.AssignedAt))
			}
		}
		return
	}
	if t.Failures() <= s.failuresSeen[id] {
		return
	}
	if s.failuresSeen == nil {
		s.failuresSeen = make(map[record.TaskID]uint32)
		s.jobFailures = make(map[string]*worker.JobFailures)
	}
	s.failuresSeen[id] = t.Failures()
	f := s.jobFailures[id.Job]
	if f == nil {
		f = new(worker.JobFailures)
		s.jobFailures[id.Job] = f
	}
	if !f.RecordFailure(t.Worker()) {
		return
	}
	if h := s.fleet.Health(t.Worker()); h.Suspect() && h.MayProbe(now) { // a suspect worker gets nothing but probes
		h.RecordFailedProbe(now)
	} else {
		h.RecordFailure(now, id.Job)
	}
}

// enqueue adds a pending task to the queue, after a failure with a retry delay.
func (s *Scheduler) enqueue(now time.Time, id record.TaskID, j *job.Job, t *job.Task) {
	until, reason := now, ReasonQueued
	if n := int(t.Failures()); n > 0 {
		until, reason = now.Add(worker.RetryDelay(n)), ReasonFailed
	}
	if j.Spec().Gang {
		s.enqueueGang(now, id, j, until, reason)
		return
	}
	s.queue.Add(now, Key{Job: id.Job, Task: id.Index}, s.demand(j, 1), until, reason)
}

// demand returns what count tasks of a job that start together ask for.
func (s *Scheduler) demand(j *job.Job, count int) Demand {
	spec := j.Spec()
	class := s.class(spec.Class)
	d := Demand{
		Team: spec.Team, Size: spec.Size, Count: count, Urgent: class.Urgent, Priority: class.Priority,
		SubmittedAt: time.UnixMilli(spec.SubmittedAtMS),
	}
	if spec.NeededByMS != 0 {
		expected := time.Duration(spec.ExpectedMS) * time.Millisecond
		d.LatestStart = time.UnixMilli(spec.NeededByMS).Add(-s.stats.runTime(spec.Team, spec.Class, expected))
	}
	return d
}

// gangRecheckInterval is how long a gang that waits for the release of revoked tasks
// is delayed before it is tried again. It is long because each release requeues the
// gang anyway.
const gangRecheckInterval = time.Hour

// enqueueGang adds a pending task to its gang and replaces the gang's item in the
// queue.
func (s *Scheduler) enqueueGang(now time.Time, id record.TaskID, j *job.Job, until time.Time, reason Reason) {
	g := s.gangOf(id.Job)
	delete(g.revoked, id.Index)
	g.pending[id.Index] = struct{}{}
	if len(g.revoked) > 0 {
		until, reason = now.Add(gangRecheckInterval), ReasonGang
	}
	s.queue.Add(now, Key{Job: id.Job, Task: WholeGang}, s.demand(j, len(g.pending)), until, reason)
}

func (s *Scheduler) gangOf(id string) *gangState {
	if s.gangs == nil {
		s.gangs = make(map[string]*gangState)
	}
	g := s.gangs[id]
	if g == nil {
		g = &gangState{pending: make(map[uint32]struct{}), revoked: make(map[uint32]struct{})}
		s.gangs[id] = g
	}
	return g
}

// dequeue removes a task from the queue. If revoked is set, the rest of its
// gang waits until the task is released.
func (s *Scheduler) dequeue(now time.Time, id record.TaskID, j *job.Job, revoked bool) {
	if !j.Spec().Gang {
		s.queue.Remove(Key{Job: id.Job, Task: id.Index})
		return
	}
	g := s.gangOf(id.Job)
	delete(g.pending, id.Index)
	delete(g.revoked, id.Index)
	if revoked {
		g.revoked[id.Index] = struct{}{}
	}
	key := Key{Job: id.Job, Task: WholeGang}
	if len(g.pending) == 0 {
		s.queue.Remove(key)
		return
	}
	until, reason := now, ReasonQueued
	if len(g.revoked) > 0 {
		until, reason = now.Add(gangRecheckInterval), ReasonGang
	}
	s.queue.Add(now, key, s.demand(j, len(g.pending)), until, reason)
}

// allocate records the allocation of a task that a worker may run, and charges the
// team's quota for it.
func (s *Scheduler) allocate(now time.Time, id record.TaskID, j *job.Job, t *job.Task) {
	key := taskKey(id)
	since := now
	if s.lastHousekeeping.IsZero() {
		since = time.Time{} // replayed from the log before the first decision: the actual start time is unknown
	}
	if allocation, ok := s.fleet.Allocation(key); ok && !allocation.Tentative {
		since = allocation.AssignedAt
	}
	s.release(id)
	spec := j.Spec()
	s.fleet.Allocate(key, worker.Allocation{
		Worker: t.Worker(), Team: spec.Team, Size: spec.Size, Class: spec.Class, Urgent: s.class(spec.Class).Urgent,
		Epoch: uint64(t.Epoch()), AssignedAt: since, Ending: t.Phase() == job.Revoked,
	})
	s.queue.Charge(spec.Team, spec.Size)
}

// release ends a task's allocation and unblocks queued work that may fit the
// capacity freed by that.
func (s *Scheduler) release(id record.TaskID) {
	allocation, ok := s.fleet.Release(taskKey(id))
	if !ok {
		return
	}
	s.queue.Refund(allocation.Team, allocation.Size)
	s.queue.UnblockFitting(s.fleet.Free(allocation.Worker))
}

func taskKey(id record.TaskID) worker.TaskKey { return worker.TaskKey{Job: id.Job, Index: id.Index} }

func taskID(key worker.TaskKey) record.TaskID { return record.TaskID{Job: key.Job, Index: key.Index} }
