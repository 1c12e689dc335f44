package job

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Errors returned by Restore.
var (
	// ErrSnapshot means that a snapshot is incomplete or unreadable.
	ErrSnapshot = errors.New("the snapshot is incomplete or unreadable")
	// ErrOldSnapshot means that a snapshot covers less than has been folded.
	ErrOldSnapshot = errors.New("the snapshot covers less than has been folded")
)

// Sizes of a snapshot's parts.
const (
	// minPart is the least size of a part in bytes.
	minPart = 1 << 10
	// tasksPerChunk is the most tasks that are encoded as one.
	tasksPerChunk = 256
)

// snapshotPart is the content of one record of a snapshot.
type snapshotPart struct {
	Writers []record.WriterSeq `cbor:"1,keyasint,omitempty"`
	Chunks  []cbor.RawMessage  `cbor:"2,keyasint,omitempty"`
}

// jobChunk is a job, or the tasks of a job from First on. Chunks of a job
// follow each other; the first one carries the job's own state.
type jobChunk struct {
	First     uint32          `cbor:"1,keyasint,omitempty"`
	Spec      *record.Spec    `cbor:"2,keyasint,omitempty"`
	Submitted record.Position `cbor:"3,keyasint,omitempty"`
	Cancelled bool            `cbor:"4,keyasint,omitempty"`
	Ended     record.Position `cbor:"5,keyasint,omitempty"`
	EndedMS   int64           `cbor:"6,keyasint,omitempty"`
	Tasks     []taskState     `cbor:"7,keyasint"`
	Hops      uint32          `cbor:"8,keyasint,omitempty"`
}

type taskState struct {
	_          struct{} `cbor:",toarray"`
	Phase      Phase
	Attempt    uint32
	Failures   uint32
	Epoch      record.Position
	Revoked    record.Position
	Worker     string
	Checkpoint string
	Detail     string
}

// Snapshot returns the whole state as records that together cover every batch
// before Next. A part is at most maxPart bytes, or one chunk of a job. It is
// the same for the same state and must be taken between two batches.
func (f *Fold) Snapshot(id string, maxPart int) ([]*record.Snapshot, error) {
	maxPart = max(maxPart, minPart)
	parts := []snapshotPart{{Writers: f.copies.Writers()}}
	size := 0
	for _, j := range f.sorted() {
		for _, c := range j.chunks() {
			data, err := cbor.Marshal(c)
			if err != nil {
				return nil, errors.Wrapf(err, "encode job %s", j.spec.ID)
			}
			if size > 0 && size+len(data) > maxPart {
				parts = append(parts, snapshotPart{})
				size = 0
			}
			last := &parts[len(parts)-1]
			last.Chunks = append(last.Chunks, data)
			size += len(data)
		}
	}
	return f.encode(id, parts)
}

func (f *Fold) encode(id string, parts []snapshotPart) ([]*record.Snapshot, error) {
	out := make([]*record.Snapshot, len(parts))
	for i := range parts {
		data, err := cbor.Marshal(&parts[i])
		if err != nil {
			return nil, errors.Wrap(err, "encode a snapshot's part")
		}
		out[i] = &record.Snapshot{ID: id, Part: uint32(i), Parts: uint32(len(parts)), Covers: f.next, State: data}
	}
	return out, nil
}

// sorted returns the jobs in order of their submission.
func (f *Fold) sorted() []*Job {
	out := make([]*Job, 0, len(f.jobs))
	for _, j := range f.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int {
		if a.submitted != b.submitted {
			return compare(a.submitted, b.submitted)
		}
		return strings.Compare(a.spec.ID, b.spec.ID)
	})
	return out
}

func compare(a, b record.Position) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (j *Job) chunks() []jobChunk {
	var out []jobChunk
	for first := 0; first < len(j.tasks); first += tasksPerChunk {
		c := jobChunk{First: uint32(first)}
		if first == 0 {
			c.Spec = &j.spec
			c.Submitted, c.Cancelled, c.Ended, c.EndedMS = j.submitted, j.cancelled, j.ended, j.endedMS
			c.Hops = j.hops
		}
		for i := first; i < min(first+tasksPerChunk, len(j.tasks)); i++ {
			c.Tasks = append(c.Tasks, j.tasks[i].state())
		}
		out = append(out, c)
	}
	return out
}

func (t *Task) state() taskState {
	return taskState{
		Phase: t.phase, Attempt: t.attempt, Failures: t.failures, Epoch: t.epoch, Revoked: t.revoked,
		Worker: t.worker, Checkpoint: t.checkpoint, Detail: t.detail,
	}
}

// Restore replaces the state by that of a whole snapshot; the next record to
// apply is the first one at Next. The state is unchanged if an error is
// returned. Changed is called for every task, and for every task of a job that
// is known no more.
func (f *Fold) Restore(parts []*record.Snapshot) error {
	if len(parts) == 0 {
		return errors.Wrap(ErrSnapshot, "no parts")
	}
	if parts[0].Covers < f.next {
		return errors.Wrapf(ErrOldSnapshot, "covers %d, folded %d", parts[0].Covers, f.next)
	}
	var fresh Fold
	fresh.init()
	fresh.next = parts[0].Covers
	for i, p := range parts {
		if p.ID != parts[0].ID || int(p.Part) != i || int(p.Parts) != len(parts) || p.Covers != fresh.next {
			return errors.Wrapf(ErrSnapshot, "part %d of %d", i, len(parts))
		}
		if err := fresh.restorePart(p.State); err != nil {
			return errors.Mark(errors.Wrapf(err, "part %d of %d", i, len(parts)), ErrSnapshot)
		}
	}
	if err := fresh.index(); err != nil {
		return err
	}
	old := f.jobs
	fresh.Changed = f.Changed
	*f = fresh
	f.announce(old)
	return nil
}

func (f *Fold) restorePart(state []byte) error {
	var part snapshotPart
	if err := cbor.Unmarshal(state, &part); err != nil {
		return err
	}
	if len(part.Writers) > 0 {
		f.copies.Restore(part.Writers)
	}
	for _, data := range part.Chunks {
		var c jobChunk
		if err := cbor.Unmarshal(data, &c); err != nil {
			return err
		}
		if err := f.restoreChunk(&c); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fold) restoreChunk(c *jobChunk) error {
	if c.Spec != nil {
		f.restoring = &Job{
			spec: *c.Spec, submitted: c.Submitted, cancelled: c.Cancelled, ended: c.Ended, endedMS: c.EndedMS,
			hops: c.Hops,
		}
		f.jobs[c.Spec.ID] = f.restoring
	}
	j := f.restoring
	if j == nil || int(c.First) != len(j.tasks) {
		return errors.New("a job's tasks are not in order")
	}
	for _, s := range c.Tasks {
		if int(s.Phase) >= len(phaseNames) {
			return errors.Newf("unknown phase %d", s.Phase)
		}
		j.tasks = append(j.tasks, Task{
			phase: s.Phase, attempt: s.Attempt, failures: s.Failures, epoch: s.Epoch, revoked: s.Revoked,
			worker: s.Worker, checkpoint: s.Checkpoint, detail: s.Detail,
		})
	}
	return nil
}

// index computes what follows from the restored jobs.
func (f *Fold) index() error {
	f.restoring = nil
	for id, j := range f.jobs {
		if len(j.tasks) != int(j.spec.Tasks) {
			return errors.Wrapf(ErrSnapshot, "job %s has %d of %d tasks", id, len(j.tasks), j.spec.Tasks)
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if !t.phase.Ended() {
				j.open++
			}
			task := record.TaskID{Job: id, Index: uint32(i)}
			if t.phase.Held() {
				f.hold(task, t)
			}
			if t.phase == Revoked {
				f.revoked[task] = t.epoch
			}
		}
		if j.Ended() {
			f.pushEnded(j)
		}
	}
	slices.SortFunc(f.ended, func(a, b endedJob) int {
		if a.at != b.at {
			return compare(a.at, b.at)
		}
		return strings.Compare(a.id, b.id)
	})
	return nil
}

// announce tells Changed of all that a restored snapshot may have changed.
func (f *Fold) announce(old map[string]*Job) {
	for id, j := range old {
		if f.jobs[id] != nil {
			continue
		}
		for i := range j.tasks {
			f.changed(record.TaskID{Job: id, Index: uint32(i)}, j, nil)
		}
	}
	for id, j := range f.jobs {
		for i := range j.tasks {
			f.changed(record.TaskID{Job: id, Index: uint32(i)}, j, &j.tasks[i])
		}
	}
}
