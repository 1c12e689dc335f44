package job

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

func (f *Fold) changed(id record.TaskID, j *Job, t *Task) {
	if f.Changed != nil {
		f.Changed(id, j, t)
	}
}

func (f *Fold) task(id record.TaskID) *Task {
	j, ok := f.jobs[id.Job]
	if !ok || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// held returns the task if h is its current hold.
func (f *Fold) held(h record.Hold) *Task {
	t := f.task(h.Task)
	if t == nil || !t.phase.Held() || t.epoch != h.Epoch {
		return nil
	}
	return t
}

func (f *Fold) hold(id record.TaskID, t *Task) {
	m := f.byWorker[t.worker]
	if m == nil {
		m = make(map[record.TaskID]record.Position)
		f.byWorker[t.worker] = m
	}
	m[id] = t.epoch
}

func (f *Fold) drop(id record.TaskID, t *Task) {
	m := f.byWorker[t.worker]
	delete(m, id)
	delete(f.revoked, id)
	if len(m) == 0 {
		delete(f.byWorker, t.worker)
	}
}

// withdraw marks a held task as revoked.
func (f *Fold) withdraw(at record.Position, id record.TaskID, t *Task) {
	t.phase = Revoked
	t.revoked = at
	f.revoked[id] = t.epoch
}

// ending is the record that ends a task.
type ending struct {
	at   record.Position
	atMS int64
}

func (f *Fold) end(e ending, j *Job, t *Task, p Phase) {
	t.phase = p
	j.open--
	j.endedMS = max(j.endedMS, e.atMS)
	if j.Ended() {
		j.ended = e.at
		f.pushEnded(j)
	}
}

func voidUnless(applied bool, reason string) error {
	if applied {
		return nil
	}
	return errors.Wrap(ErrVoid, reason)
}
