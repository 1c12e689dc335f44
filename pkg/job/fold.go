package job

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// ErrVoid means that a record takes no effect.
var ErrVoid = errors.New("the record takes no effect")

// Fold is the state of all jobs of one stream. The zero value is the state
// before the first record.
type Fold struct {
	jobs     map[string]*Job
	byWorker map[string]map[record.TaskID]record.Position
	// revoked holds the epochs of the tasks that wait for their release.
	revoked map[record.TaskID]record.Position
	copies  record.Deduper
	ended   endQueue
	next    uint64
	// restoring is the job whose chunks are being read from a snapshot.
	restoring *Job
	// Changed, if set, is called after a task's phase has changed, was set at
	// the submission, or ended with the job being forgotten (t is then nil).
	Changed func(id record.TaskID, j *Job, t *Task)
}

// Next returns the log offset after the last batch that was folded.
func (f *Fold) Next() uint64 { return f.next }

// Advance notes that every batch before offset next has been folded.
func (f *Fold) Advance(next uint64) {
	if next > f.next {
		f.next = next
	}
}

// Job returns the job called id.
func (f *Fold) Job(id string) (*Job, bool) {
	j, ok := f.jobs[id]
	return j, ok
}

// Len returns the number of jobs known.
func (f *Fold) Len() int { return len(f.jobs) }

// Each calls fn for every job, in no particular order, until it returns false.
func (f *Fold) Each(fn func(*Job) bool) {
	for _, j := range f.jobs {
		if !fn(j) {
			return
		}
	}
}

// Held calls fn for every task that worker may run.
func (f *Fold) Held(worker string, fn func(hold record.Hold, j *Job, t *Task)) {
	for id, epoch := range f.byWorker[worker] {
		j := f.jobs[id.Job]
		fn(record.Hold{Task: id, Epoch: epoch}, j, &j.tasks[id.Index])
	}
}

// Workers calls fn for every worker that may run a task.
func (f *Fold) Workers(fn func(worker string)) {
	for name := range f.byWorker {
		fn(name)
	}
}

// Revoked calls fn for every revoked task that has not been released.
func (f *Fold) Revoked(fn func(hold record.Hold, j *Job, t *Task)) {
	for id, epoch := range f.revoked {
		j := f.jobs[id.Job]
		fn(record.Hold{Task: id, Epoch: epoch}, j, &j.tasks[id.Index])
	}
}

// Current returns the task if hold is in effect and names worker.
func (f *Fold) Current(worker string, hold record.Hold) (*Task, bool) {
	t := f.held(hold)
	if t == nil || t.worker != worker {
		return nil, false
	}
	return t, true
}

// Apply folds one record. It returns an error marked ErrVoid if the record
// takes no effect; the state is then unchanged.
func (f *Fold) Apply(r record.Record) error {
	f.Advance(r.Position().Offset())
	if !f.copies.Fresh(r) {
		return errors.Wrap(ErrVoid, "the record is a second copy")
	}
	return f.apply(r)
}

func (f *Fold) apply(r record.Record) error {
	switch m := r.Message().(type) {
	case *record.Submit:
		return f.submit(r.Position(), m)
	case *record.Assign:
		return f.assign(r.Position(), m)
	case *record.Started:
		return f.started(m)
	case *record.Checkpointed:
		return f.checkpointed(m)
	case *record.Finished:
		return f.finished(r.Position(), m)
	case *record.Revoke:
		return f.revoke(r.Position(), m)
	case *record.Released:
		return f.released(r.Position(), m)
	case *record.Cancel:
		return f.cancel(r.Position(), m)
	case *record.Move:
		return f.move(r.Position(), m)
	case *record.Forget:
		return f.forget(m)
	}
	return nil
}

func (f *Fold) submit(at record.Position, m *record.Submit) error {
	if j, ok := f.jobs[m.Spec.ID]; ok && (j.MovedTo() == "" || m.Hops <= j.hops) {
		return errors.Wrap(ErrVoid, "the job is known")
	}
	if m.Spec.ID == "" || m.Spec.Tasks == 0 {
		return errors.Wrap(ErrVoid, "the job has no id or no tasks")
	}
	f.init()
	j := f.newJob(at, m)
	f.jobs[m.Spec.ID] = j
	for i := range j.tasks {
		f.changed(record.TaskID{Job: m.Spec.ID, Index: uint32(i)}, j, &j.tasks[i])
	}
	return nil
}

func (f *Fold) newJob(at record.Position, m *record.Submit) *Job {
	n := int(m.Spec.Tasks)
	j := &Job{spec: m.Spec, submitted: at, hops: m.Hops, tasks: make([]Task, n), open: n}
	for i, ref := range m.Checkpoints {
		if int(i) < n {
			j.tasks[i].checkpoint = ref
		}
	}
	for i, outcome := range m.Ended {
		if int(i) < n {
			f.end(ending{at, 0}, j, &j.tasks[i], phaseOf(outcome))
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

func (f *Fold) init() {
	if f.jobs == nil {
		f.jobs = make(map[string]*Job)
		f.byWorker = make(map[string]map[record.TaskID]record.Position)
		f.revoked = make(map[record.TaskID]record.Position)
	}
}

func (f *Fold) assign(at record.Position, m *record.Assign) error {
	for i, p := range m.Placements {
		if err := f.assignable(&p, m.Placements[:i]); err != nil {
			return err
		}
	}
	for _, p := range m.Placements {
		t := f.task(p.Task)
		t.phase = Assigned
		t.attempt++
		t.epoch = at
		t.revoked = 0
		t.worker = p.Worker
		f.hold(p.Task, t)
		f.changed(p.Task, f.jobs[p.Task.Job], t)
	}
	return nil
}

func (f *Fold) assignable(p *record.Placement, earlier []record.Placement) error {
	t := f.task(p.Task)
	if t == nil || t.attempt != p.Attempt {
		return errors.Wrapf(ErrVoid, "%s: not at attempt %d", p.Task, p.Attempt)
	}
	if t.phase != Pending {
		return errors.Wrapf(ErrVoid, "%s: is %s", p.Task, t.phase)
	}
	for _, e := range earlier {
		if e.Task == p.Task {
			return errors.Wrapf(ErrVoid, "%s: named twice", p.Task)
		}
	}
	return nil
}

func (f *Fold) started(m *record.Started) error {
	applied := false
	for _, h := range m.Holds {
		t := f.held(h)
		if t == nil || t.phase != Assigned {
			continue
		}
		t.phase = Running
		applied = true
		f.changed(h.Task, f.jobs[h.Task.Job], t)
	}
	return voidUnless(applied, "no task was waiting to start")
}

func (f *Fold) checkpointed(m *record.Checkpointed) error {
	t := f.held(m.Hold)
	if t == nil {
		return errors.Wrapf(ErrVoid, "%s: stale epoch", m.Hold.Task)
	}
	t.checkpoint = m.Ref
	return nil
}

func (f *Fold) finished(at record.Position, m *record.Finished) error {
	t := f.held(m.Hold)
	if t == nil {
		return errors.Wrapf(ErrVoid, "%s: stale epoch", m.Hold.Task)
	}
	j := f.jobs[m.Hold.Task.Job]
	f.drop(m.Hold.Task, t)
	t.detail = m.Detail
	defer f.changed(m.Hold.Task, j, t)
	if m.Outcome == record.OutcomeSucceeded {
		f.end(ending{at, m.AtMS}, j, t, Succeeded)
		return nil
	}
	t.failures++
	switch {
	case j.cancelled:
		f.end(ending{at, m.AtMS}, j, t, Cancelled)
	case t.failures >= j.spec.MaxFailures:
		f.end(ending{at, m.AtMS}, j, t, Failed)
	default:
		t.phase = Pending
	}
	return nil
}

func (f *Fold) revoke(at record.Position, m *record.Revoke) error {
	applied := false
	for _, h := range m.Holds {
		t := f.held(h)
		if t == nil || t.phase == Revoked {
			continue
		}
		f.withdraw(at, h.Task, t)
		t.detail = m.Reason
		applied = true
		f.changed(h.Task, f.jobs[h.Task.Job], t)
	}
	return voidUnless(applied, "no task was held")
}

func (f *Fold) released(at record.Position, m *record.Released) error {
	t := f.held(m.Hold)
	if t == nil {
		return errors.Wrapf(ErrVoid, "%s: stale epoch", m.Hold.Task)
	}
	if m.Revoked != 0 && m.Revoked != t.revoked {
		return errors.Wrapf(ErrVoid, "%s: not revoked at %d", m.Hold.Task, m.Revoked)
	}
	j := f.jobs[m.Hold.Task.Job]
	f.drop(m.Hold.Task, t)
	if m.Ref != "" {
		t.checkpoint = m.Ref
	}
	t.detail = m.Reason
	defer f.changed(m.Hold.Task, j, t)
	if j.cancelled {
		f.end(ending{at, m.AtMS}, j, t, Cancelled)
		return nil
	}
	t.phase = Pending
	return nil
}

func (f *Fold) cancel(at record.Position, m *record.Cancel) error {
	applied := false
	for _, id := range m.Jobs {
		j, ok := f.jobs[id]
		if !ok || j.cancelled || j.Ended() {
			continue
		}
		j.cancelled = true
		applied = true
		for i := range j.tasks {
			task := record.TaskID{Job: id, Index: uint32(i)}
			f.cancelTask(ending{at, m.AtMS}, task, j)
			f.changed(task, j, &j.tasks[i])
		}
	}
	return voidUnless(applied, "no job was open")
}

func (f *Fold) cancelTask(e ending, id record.TaskID, j *Job) {
	t := &j.tasks[id.Index]
	switch t.phase {
	case Pending:
		f.end(e, j, t, Cancelled)
	case Assigned, Running:
		f.withdraw(e.at, id, t)
	}
}

func (f *Fold) move(at record.Position, m *record.Move) error {
	j, ok := f.jobs[m.Job]
	if !ok || j.cancelled || j.Ended() {
		return errors.Wrapf(ErrVoid, "%s: is not open", m.Job)
	}
	for i := range j.tasks {
		if j.tasks[i].phase.Held() {
			return errors.Wrapf(ErrVoid, "%s: a task is held by a worker", m.Job)
		}
	}
	for i := range j.tasks {
		if !j.tasks[i].phase.Ended() {
			j.tasks[i].detail = m.To
			f.end(ending{at, m.AtMS}, j, &j.tasks[i], Moved)
			f.changed(record.TaskID{Job: m.Job, Index: uint32(i)}, j, &j.tasks[i])
		}
	}
	return nil
}

func (f *Fold) forget(m *record.Forget) error {
	applied := false
	for _, id := range m.Jobs {
		if j, ok := f.jobs[id]; ok && j.Ended() {
			delete(f.jobs, id)
			applied = true
			for i := range j.tasks {
				f.changed(record.TaskID{Job: id, Index: uint32(i)}, j, nil)
			}
		}
	}
	f.trimEnded()
	return voidUnless(applied, "no job had ended")
}
