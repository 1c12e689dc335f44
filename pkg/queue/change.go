package queue

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// gang is the state of a job whose tasks start together.
type gang struct {
	pending map[uint32]struct{}
	// leaving tasks are revoked and not yet released.
	leaving map[uint32]struct{}
}

// TaskChanged takes in a task's new phase; a nil t means that the job was forgotten.
func (s *Scheduler) TaskChanged(now time.Time, id record.TaskID, j *job.Job, t *job.Task) {
	if t == nil {
		s.forget(now, id, j)
		return
	}
	s.noteOutcome(now, id, t)
	switch {
	case t.Phase() == job.Pending:
		s.unhold(id)
		s.enqueue(now, id, j, t)
	case t.Phase().Held():
		s.dequeue(now, id, j, t.Phase() == job.Revoked)
		s.hold(now, id, j, t)
	default:
		s.dequeue(now, id, j, false)
		s.unhold(id)
		delete(s.failed, id)
		if j.Ended() {
			delete(s.failures, id.Job)
			delete(s.gangs, id.Job)
		}
	}
}

func (s *Scheduler) forget(now time.Time, id record.TaskID, j *job.Job) {
	s.dequeue(now, id, j, false)
	s.unhold(id)
	delete(s.failed, id)
	delete(s.failures, id.Job)
	delete(s.gangs, id.Job)
}

// noteOutcome learns from a run that ended about its worker and its class.
func (s *Scheduler) noteOutcome(now time.Time, id record.TaskID, t *job.Task) {
	if t.Phase() == job.Succeeded {
		if h, ok := s.fleet.Held(taskKey(id)); ok && !h.Tentative {
			s.fleet.Health(t.Worker()).Succeeded()
			if !h.Since.IsZero() {
				s.learned.run(h.Team, h.Class, now.Sub(h.Since))
			}
		}
		return
	}
	if t.Failures() <= s.failed[id] {
		return
	}
	if s.failed == nil {
		s.failed = make(map[record.TaskID]uint32)
		s.failures = make(map[string]*worker.JobFailures)
	}
	s.failed[id] = t.Failures()
	f := s.failures[id.Job]
	if f == nil {
		f = new(worker.JobFailures)
		s.failures[id.Job] = f
	}
	if f.Failed(t.Worker()) {
		s.fleet.Health(t.Worker()).Failed(now, id.Job)
	}
}

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

func (s *Scheduler) demand(j *job.Job, count int) Demand {
	spec := j.Spec()
	class := s.class(spec.Class)
	d := Demand{
		Team: spec.Team, Size: spec.Size, Count: count, Urgent: class.Urgent, Priority: class.Priority,
		Submitted: time.UnixMilli(spec.SubmittedAt),
	}
	if spec.NeededBy != 0 {
		expected := time.Duration(spec.ExpectedMS) * time.Millisecond
		d.NeededBy = time.UnixMilli(spec.NeededBy).Add(-s.learned.runTime(spec.Team, spec.Class, expected))
	}
	return d
}

// gangPoll is how often a gang is looked at that waits for a task to be released.
const gangPoll = time.Hour

func (s *Scheduler) enqueueGang(now time.Time, id record.TaskID, j *job.Job, until time.Time, reason Reason) {
	g := s.gang(id.Job)
	delete(g.leaving, id.Index)
	g.pending[id.Index] = struct{}{}
	if len(g.leaving) > 0 {
		until, reason = now.Add(gangPoll), ReasonGang
	}
	s.queue.Add(now, Key{Job: id.Job, Task: WholeGang}, s.demand(j, len(g.pending)), until, reason)
}

func (s *Scheduler) gang(id string) *gang {
	if s.gangs == nil {
		s.gangs = make(map[string]*gang)
	}
	g := s.gangs[id]
	if g == nil {
		g = &gang{pending: make(map[uint32]struct{}), leaving: make(map[uint32]struct{})}
		s.gangs[id] = g
	}
	return g
}

// dequeue takes a task out of the queue, and notes whether it is leaving its worker.
func (s *Scheduler) dequeue(now time.Time, id record.TaskID, j *job.Job, leaving bool) {
	if !j.Spec().Gang {
		s.queue.Remove(Key{Job: id.Job, Task: id.Index})
		return
	}
	g := s.gang(id.Job)
	delete(g.pending, id.Index)
	delete(g.leaving, id.Index)
	if leaving {
		g.leaving[id.Index] = struct{}{}
	}
	key := Key{Job: id.Job, Task: WholeGang}
	if len(g.pending) == 0 {
		s.queue.Remove(key)
		return
	}
	until, reason := now, ReasonQueued
	if len(g.leaving) > 0 {
		until, reason = now.Add(gangPoll), ReasonGang
	}
	s.queue.Add(now, key, s.demand(j, len(g.pending)), until, reason)
}

func (s *Scheduler) hold(now time.Time, id record.TaskID, j *job.Job, t *job.Task) {
	key := taskKey(id)
	since := now
	if s.kept.IsZero() {
		since = time.Time{} // read from the past of the log: the true moment is not known
	}
	if h, ok := s.fleet.Held(key); ok && !h.Tentative {
		since = h.Since
	}
	s.unhold(id)
	spec := j.Spec()
	s.fleet.Hold(key, worker.Hold{
		Worker: t.Worker(), Team: spec.Team, Size: spec.Size, Class: spec.Class, Urgent: s.class(spec.Class).Urgent,
		Epoch: uint64(t.Epoch()), Since: since, Ending: t.Phase() == job.Revoked,
	})
	s.queue.Charge(spec.Team, spec.Size)
}

// unhold ends a task's hold, and has work looked at that may fit now.
func (s *Scheduler) unhold(id record.TaskID) {
	h, ok := s.fleet.Drop(taskKey(id))
	if !ok {
		return
	}
	s.queue.Refund(h.Team, h.Size)
	s.queue.RoomFor(s.fleet.Free(h.Worker))
}

func taskKey(id record.TaskID) worker.TaskKey { return worker.TaskKey{Job: id.Job, Index: id.Index} }

func taskID(key worker.TaskKey) record.TaskID { return record.TaskID{Job: key.Job, Index: key.Index} }
