package job

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

func (sm *StateMachine) notifyChange(id record.TaskID, j *Job, t *Task) {
	if sm.OnTaskChange != nil {
		sm.OnTaskChange(id, j, t)
	}
}

func (sm *StateMachine) task(id record.TaskID) *Task {
	j, ok := sm.jobs[id.Job]
	if !ok || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// currentTask returns the task if the assignment is its current one, or nil.
func (sm *StateMachine) currentTask(a record.AssignmentID) *Task {
	t := sm.task(a.Task)
	if t == nil || !t.phase.Active() || t.epoch != a.Epoch {
		return nil
	}
	return t
}

func (sm *StateMachine) addToWorker(id record.TaskID, t *Task) {
	m := sm.byWorker[t.worker]
	if m == nil {
		m = make(map[record.TaskID]record.Position)
		sm.byWorker[t.worker] = m
	}
	m[id] = t.epoch
}

func (sm *StateMachine) removeFromWorker(id record.TaskID, t *Task) {
	m := sm.byWorker[t.worker]
	delete(m, id)
	delete(sm.revokedEpochs, id)
	if len(m) == 0 {
		delete(sm.byWorker, t.worker)
	}
}

// markRevoked marks an assigned or running task as revoked.
func (sm *StateMachine) markRevoked(at record.Position, id record.TaskID, t *Task) {
	t.phase = Revoked
	t.revokedAt = at
	sm.revokedEpochs[id] = t.epoch
}

// endRecord is the place and the writer's time, in Unix milliseconds, of a record
// that ends tasks.
type endRecord struct {
	position record.Position
	atMS     int64
}

func (sm *StateMachine) endTask(e endRecord, j *Job, t *Task, p Phase) {
	t.phase = p
	j.openTasks--
	j.endedMS = max(j.endedMS, e.atMS)
	if j.Ended() {
		j.ended = e.position
		sm.addEnded(j)
	}
}

func noEffectUnless(applied bool, reason string) error {
	if applied {
		return nil
	}
	return errors.Wrap(ErrNoEffect, reason)
}
