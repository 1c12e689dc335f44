package job

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

func (sm *Fold) notifyChange(id record.TaskID, j *Job, t *Task) {
	if sm.Changed != nil {
		sm.Changed(id, j, t)
	}
}

func (sm *Fold) task(id record.TaskID) *Task {
	j, ok := sm.jobs[id.Job]
	if !ok || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// currentTask returns the task if the assignment is its current one, or nil.
func (sm *Fold) currentTask(a record.Hold) *Task {
	t := sm.task(a.Task)
	if t == nil || !t.phase.Held() || t.epoch != a.Epoch {
		return nil
	}
	return t
}

func (sm *Fold) addToWorker(id record.TaskID, t *Task) {
	m := sm.byWorker[t.worker]
	if m == nil {
		m = make(map[record.TaskID]record.Position)
		sm.byWorker[t.worker] = m
	}
	m[id] = t.epoch
}

func (sm *Fold) removeFromWorker(id record.TaskID, t *Task) {
	m := sm.byWorker[t.worker]
	delete(m, id)
	delete(sm.revokedEpochs, id)
	if len(m) == 0 {
		delete(sm.byWorker, t.worker)
	}
}

// markRevoked marks an assigned or running task as revoked.
func (sm *Fold) markRevoked(at record.Position, id record.TaskID, t *Task) {
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

func (sm *Fold) endTask(e endRecord, j *Job, t *Task, p Phase) {
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
	return errors.Wrap(ErrVoid, reason)
}
