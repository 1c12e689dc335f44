package job

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// notifyChange calls OnTaskChange, if it is set.
func (sm *StateMachine) notifyChange(id record.TaskID, j *Job, t *Task) {
	if sm.OnTaskChange != nil {
		sm.OnTaskChange(id, j, t)
	}
}

// task returns the task with the given id, or nil.
func (sm *StateMachine) task(id record.TaskID) *Task {
	j, ok := sm.jobs[id.Job]
	if !ok || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// currentTask returns the task of an assignment if the assignment is in effect, or nil.
func (sm *StateMachine) currentTask(a record.AssignmentID) *Task {
	t := sm.task(a.Task)
	if t == nil || !t.phase.Active() || t.epoch != a.Epoch {
		return nil
	}
	return t
}

// addToWorker adds a task to the tasks that its worker may run.
func (sm *StateMachine) addToWorker(id record.TaskID, t *Task) {
	m := sm.byWorker[t.worker]
	if m == nil {
		m = make(map[record.TaskID]record.Position)
		sm.byWorker[t.worker] = m
	}
	m[id] = t.epoch
}

// removeFromWorker removes a task from the tasks that its worker may run.
func (sm *StateMachine) removeFromWorker(id record.TaskID, t *Task) {
	m := sm.byWorker[t.worker]
	delete(m, id)
	delete(sm.revokedEpochs, id)
	if len(m) == 0 {
		delete(sm.byWorker, t.worker)
	}
}

// markRevoked marks an assigned or running task as revoked by the record at the given
// position.
func (sm *StateMachine) markRevoked(position record.Position, id record.TaskID, t *Task) {
	t.phase = Revoked
	t.revokePosition = position
	sm.revokedEpochs[id] = t.epoch
}

// endRecord is the position and the writer's time, in Unix milliseconds, of a record
// that ends tasks.
type endRecord struct {
	position record.Position
	atMS     int64
}

// endTask puts task t of job j in a phase in which it has ended, because of the record e.
func (sm *StateMachine) endTask(e endRecord, j *Job, t *Task, phase Phase) {
	t.phase = phase
	j.openTasks--
	j.endedMS = max(j.endedMS, e.atMS)
	if j.Ended() {
		j.endPosition = e.position
		sm.addEnded(j)
	}
}

// noEffectUnless returns nil if a record was applied, else ErrNoEffect with the reason.
func noEffectUnless(applied bool, reason string) error {
	if applied {
		return nil
	}
	return errors.Wrap(ErrNoEffect, reason)
}
