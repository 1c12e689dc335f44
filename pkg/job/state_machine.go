package job

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// ErrNoEffect means that a record has no effect on the state.
var ErrNoEffect = errors.New("the record has no effect")

// StateMachine is the state of all jobs of one stream, computed by applying the stream's
// records in order. The zero value is the state before the first record.
type StateMachine struct {
	jobs map[string]*Job
	// byWorker maps a worker to the epochs of the tasks that it may run.
	byWorker map[string]map[record.TaskID]record.Position
	// revokedEpochs holds the epochs of revoked tasks that are not released yet.
	revokedEpochs map[record.TaskID]record.Position
	dedup         record.Deduper
	ended         endedJobs
	nextOffset    uint64
	// restoring is the job whose chunks are currently read from a snapshot.
	restoring *Job
	// OnTaskChange is called, if set, after a task's phase was set by a submission or
	// has changed, and for each task of a job that a Forget record or a restored
	// snapshot has dropped (t is then nil).
	OnTaskChange func(id record.TaskID, j *Job, t *Task)
}

// NextOffset returns the log offset after the last batch that was applied.
func (sm *StateMachine) NextOffset() uint64 { return sm.nextOffset }

// Advance notes that every batch before offset next has been applied.
func (sm *StateMachine) Advance(next uint64) {
	if next > sm.nextOffset {
		sm.nextOffset = next
	}
}

// Job returns the job with the given id.
func (sm *StateMachine) Job(id string) (*Job, bool) {
	j, ok := sm.jobs[id]
	return j, ok
}

// Len returns the number of jobs.
func (sm *StateMachine) Len() int { return len(sm.jobs) }

// Each calls fn for every job, in no particular order, until fn returns false.
func (sm *StateMachine) Each(fn func(*Job) bool) {
	for _, j := range sm.jobs {
		if !fn(j) {
			return
		}
	}
}

// EachActive calls fn for every task that the worker may run, revoked ones included.
func (sm *StateMachine) EachActive(worker string, fn func(assignment record.AssignmentID, j *Job, t *Task)) {
	for id, epoch := range sm.byWorker[worker] {
		j := sm.jobs[id.Job]
		fn(record.AssignmentID{Task: id, Epoch: epoch}, j, &j.tasks[id.Index])
	}
}

// EachWorker calls fn for every worker that may run at least one task.
func (sm *StateMachine) EachWorker(fn func(worker string)) {
	for name := range sm.byWorker {
		fn(name)
	}
}

// EachRevoked calls fn for every revoked task that has not been released.
func (sm *StateMachine) EachRevoked(fn func(assignment record.AssignmentID, j *Job, t *Task)) {
	for id, epoch := range sm.revokedEpochs {
		j := sm.jobs[id.Job]
		fn(record.AssignmentID{Task: id, Epoch: epoch}, j, &j.tasks[id.Index])
	}
}

// CurrentTask returns the task of an assignment if the assignment is in effect and is to
// the given worker.
func (sm *StateMachine) CurrentTask(worker string, assignment record.AssignmentID) (*Task, bool) {
	t := sm.currentTask(assignment)
	if t == nil || t.worker != worker {
		return nil, false
	}
	return t, true
}

// Apply applies one record. If the record has no effect, it leaves the state
// unchanged and returns an error marked ErrNoEffect.
func (sm *StateMachine) Apply(r record.Record) error {
	sm.Advance(r.Position().Offset())
	if !sm.dedup.Accept(r) {
		return errors.Wrap(ErrNoEffect, "the record is a duplicate")
	}
	return sm.apply(r)
}

// apply passes a record to the method for its kind. Each of these methods gets the
// position of the record if the new state depends on it.
func (sm *StateMachine) apply(r record.Record) error {
	switch m := r.Message().(type) {
	case *record.Submit:
		return sm.submit(r.Position(), m)
	case *record.Assign:
		return sm.assign(r.Position(), m)
	case *record.Started:
		return sm.started(m)
	case *record.Checkpointed:
		return sm.checkpointed(m)
	case *record.Finished:
		return sm.finished(r.Position(), m)
	case *record.Revoke:
		return sm.revoke(r.Position(), m)
	case *record.Released:
		return sm.released(r.Position(), m)
	case *record.Cancel:
		return sm.cancel(r.Position(), m)
	case *record.Move:
		return sm.move(r.Position(), m)
	case *record.Forget:
		return sm.forget(m)
	}
	return nil
}

func (sm *StateMachine) submit(position record.Position, m *record.Submit) error {
	if j, ok := sm.jobs[m.Spec.ID]; ok && (j.MovedTo() == "" || m.Moves <= j.moves) {
		return errors.Wrap(ErrNoEffect, "the job exists already")
	}
	if m.Spec.ID == "" || m.Spec.Tasks == 0 {
		return errors.Wrap(ErrNoEffect, "the job has no id or no tasks")
	}
	sm.init()
	j := sm.newJob(position, m)
	sm.jobs[m.Spec.ID] = j
	for i := range j.tasks {
		sm.notifyChange(record.TaskID{Job: m.Spec.ID, Index: uint32(i)}, j, &j.tasks[i])
	}
	return nil
}

// newJob returns the job that a Submit record at the given position adds.
func (sm *StateMachine) newJob(position record.Position, m *record.Submit) *Job {
	n := int(m.Spec.Tasks)
	j := &Job{spec: m.Spec, submitPosition: position, moves: m.Moves, tasks: make([]Task, n), openTasks: n}
	for i, ref := range m.Checkpoints {
		if int(i) < n {
			j.tasks[i].checkpoint = ref
		}
	}
	for i, outcome := range m.Ended {
		if int(i) < n {
			sm.endTask(endRecord{position, 0}, j, &j.tasks[i], phaseOf(outcome))
		}
	}
	return j
}

func phaseOf(o record.Outcome) Phase {
	if o == record.OutcomeSucceeded {
		return Succeeded
	}
	return Failed
}

func (sm *StateMachine) init() {
	if sm.jobs == nil {
		sm.jobs = make(map[string]*Job)
		sm.byWorker = make(map[string]map[record.TaskID]record.Position)
		sm.revokedEpochs = make(map[record.TaskID]record.Position)
	}
}

func (sm *StateMachine) assign(position record.Position, m *record.Assign) error {
	for i, p := range m.Placements {
		if err := sm.assignable(&p, m.Placements[:i]); err != nil {
			return err
		}
	}
	for _, p := range m.Placements {
		t := sm.task(p.Task)
		t.phase = Assigned
		t.attempt++
		t.epoch = position
		t.revokePosition = 0
		t.worker = p.Worker
		sm.addToWorker(p.Task, t)
		sm.notifyChange(p.Task, sm.jobs[p.Task.Job], t)
	}
	return nil
}

// assignable returns an error if a placement cannot take effect: the task is not pending
// at the stated attempt, or one of the earlier placements of the record assigns it.
func (sm *StateMachine) assignable(p *record.Placement, earlier []record.Placement) error {
	t := sm.task(p.Task)
	if t == nil || t.attempt != p.Attempt {
		return errors.Wrapf(ErrNoEffect, "%s: the task is not at attempt %d", p.Task, p.Attempt)
	}
	if t.phase != Pending {
		return errors.Wrapf(ErrNoEffect, "%s: the task is %s", p.Task, t.phase)
	}
	for _, e := range earlier {
		if e.Task == p.Task {
			return errors.Wrapf(ErrNoEffect, "%s: the record assigns the task twice", p.Task)
		}
	}
	return nil
}

func (sm *StateMachine) started(m *record.Started) error {
	applied := false
	for _, assignment := range m.Assignments {
		t := sm.currentTask(assignment)
		if t == nil || t.phase != Assigned {
			continue
		}
		t.phase = Running
		applied = true
		sm.notifyChange(assignment.Task, sm.jobs[assignment.Task.Job], t)
	}
	return noEffectUnless(applied, "every assignment in the record is stale or has started already")
}

func (sm *StateMachine) checkpointed(m *record.Checkpointed) error {
	t := sm.currentTask(m.Assignment)
	if t == nil {
		return errors.Wrapf(ErrNoEffect, "%s: stale epoch", m.Assignment.Task)
	}
	t.checkpoint = m.Ref
	return nil
}

func (sm *StateMachine) finished(position record.Position, m *record.Finished) error {
	t := sm.currentTask(m.Assignment)
	if t == nil {
		return errors.Wrapf(ErrNoEffect, "%s: stale epoch", m.Assignment.Task)
	}
	j := sm.jobs[m.Assignment.Task.Job]
	sm.removeFromWorker(m.Assignment.Task, t)
	t.detail = m.Detail
	defer sm.notifyChange(m.Assignment.Task, j, t)
	if m.Outcome == record.OutcomeSucceeded {
		sm.endTask(endRecord{position, m.AtMS}, j, t, Succeeded)
		return nil
	}
	t.failures++
	switch {
	case j.cancelled:
		sm.endTask(endRecord{position, m.AtMS}, j, t, Cancelled)
	case t.failures >= j.spec.MaxFailures:
		sm.endTask(endRecord{position, m.AtMS}, j, t, Failed)
	default:
		t.phase = Pending
	}
	return nil
}

func (sm *StateMachine) revoke(position record.Position, m *record.Revoke) error {
	applied := false
	for _, assignment := range m.Assignments {
		t := sm.currentTask(assignment)
		if t == nil || t.phase == Revoked {
			continue
		}
		sm.markRevoked(position, assignment.Task, t)
		t.detail = m.Reason
		applied = true
		sm.notifyChange(assignment.Task, sm.jobs[assignment.Task.Job], t)
	}
	return noEffectUnless(applied, "every assignment in the record is stale or revoked already")
}

func (sm *StateMachine) released(position record.Position, m *record.Released) error {
	t := sm.currentTask(m.Assignment)
	if t == nil {
		return errors.Wrapf(ErrNoEffect, "%s: stale epoch", m.Assignment.Task)
	}
	if m.Revoked != 0 && m.Revoked != t.revokePosition {
		return errors.Wrapf(ErrNoEffect, "%s: the task was not revoked at position %d", m.Assignment.Task, m.Revoked)
	}
	j := sm.jobs[m.Assignment.Task.Job]
	sm.removeFromWorker(m.Assignment.Task, t)
	if m.Ref != "" {
		t.checkpoint = m.Ref
	}
	t.detail = m.Reason
	defer sm.notifyChange(m.Assignment.Task, j, t)
	if j.cancelled {
		sm.endTask(endRecord{position, m.AtMS}, j, t, Cancelled)
		return nil
	}
	t.phase = Pending
	return nil
}

func (sm *StateMachine) cancel(position record.Position, m *record.Cancel) error {
	applied := false
	for _, id := range m.Jobs {
		j, ok := sm.jobs[id]
		if !ok || j.cancelled || j.Ended() {
			continue
		}
		j.cancelled = true
		applied = true
		for i := range j.tasks {
			task := record.TaskID{Job: id, Index: uint32(i)}
			sm.cancelTask(endRecord{position, m.AtMS}, task, j)
			sm.notifyChange(task, j, &j.tasks[i])
		}
	}
	return noEffectUnless(applied, "no job is open")
}

// cancelTask ends a pending task of a cancelled job, and revokes an assigned or running
// one.
func (sm *StateMachine) cancelTask(e endRecord, id record.TaskID, j *Job) {
	t := &j.tasks[id.Index]
	switch t.phase {
	case Pending:
		sm.endTask(e, j, t, Cancelled)
	case Assigned, Running:
		sm.markRevoked(e.position, id, t)
	}
}

func (sm *StateMachine) move(position record.Position, m *record.Move) error {
	j, ok := sm.jobs[m.Job]
	if !ok || j.cancelled || j.Ended() {
		return errors.Wrapf(ErrNoEffect, "%s: the job is not open", m.Job)
	}
	for i := range j.tasks {
		if j.tasks[i].phase.Active() {
			return errors.Wrapf(ErrNoEffect, "%s: a worker may still run a task of the job", m.Job)
		}
	}
	for i := range j.tasks {
		if !j.tasks[i].phase.Ended() {
			j.tasks[i].detail = m.To
			sm.endTask(endRecord{position, m.AtMS}, j, &j.tasks[i], Moved)
			sm.notifyChange(record.TaskID{Job: m.Job, Index: uint32(i)}, j, &j.tasks[i])
		}
	}
	return nil
}

func (sm *StateMachine) forget(m *record.Forget) error {
	applied := false
	for _, id := range m.Jobs {
		if j, ok := sm.jobs[id]; ok && j.Ended() {
			delete(sm.jobs, id)
			applied = true
			for i := range j.tasks {
				sm.notifyChange(record.TaskID{Job: id, Index: uint32(i)}, j, nil)
			}
		}
	}
	sm.trimEnded()
	return noEffectUnless(applied, "no job has ended")
}
