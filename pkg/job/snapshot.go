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
	// ErrOldSnapshot means that a snapshot ends before the newest applied record.
	ErrOldSnapshot = errors.New("the snapshot is older than the state")
)

// Limits on the size of a snapshot's parts.
const (
	// minPartBytes is the lowest size limit for a part.
	minPartBytes = 1 << 10
	// tasksPerChunk limits the number of tasks in a jobChunk.
	tasksPerChunk = 256
)

// snapshotPart is the content of one record of a snapshot.
type snapshotPart struct {
	Writers []record.WriterSeq `cbor:"1,keyasint,omitempty"`
	// Chunks holds encoded jobChunks.
	Chunks []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// jobChunk holds up to tasksPerChunk tasks of a job, from index First on. The
// chunks of a job follow each other; the first one also holds the state of the
// job itself.
type jobChunk struct {
	First     uint32          `cbor:"1,keyasint,omitempty"`
	Spec      *record.Spec    `cbor:"2,keyasint,omitempty"`
	Submitted record.Position `cbor:"3,keyasint,omitempty"`
	Cancelled bool            `cbor:"4,keyasint,omitempty"`
	Ended     record.Position `cbor:"5,keyasint,omitempty"`
	EndedMS   int64           `cbor:"6,keyasint,omitempty"`
	Tasks     []taskState     `cbor:"7,keyasint"`
	Moves     uint32          `cbor:"8,keyasint,omitempty"`
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

// Snapshot returns the whole state, which includes all batches applied, as
// records to append. Each record holds one part of the snapshot, which consists of
// chunks of jobs. The chunks in a part take at most maxPartBytes bytes, unless the part
// has only one chunk. Snapshots of the same state are the same.
// Snapshot must be called between two batches.
func (sm *StateMachine) Snapshot(id string, maxPartBytes int) ([]*record.Snapshot, error) {
	maxPartBytes = max(maxPartBytes, minPartBytes)
	parts := []snapshotPart{{Writers: sm.dedup.Writers()}}
	size := 0
	for _, j := range sm.jobsBySubmission() {
		for _, c := range j.chunks() {
			data, err := cbor.Marshal(c)
			if err != nil {
				return nil, errors.Wrapf(err, "encode job %s", j.spec.ID)
			}
			if size > 0 && size+len(data) > maxPartBytes {
				parts = append(parts, snapshotPart{})
				size = 0
			}
			last := &parts[len(parts)-1]
			last.Chunks = append(last.Chunks, data)
			size += len(data)
		}
	}
	return sm.encode(id, parts)
}

// encode returns the records of a snapshot with the given parts.
func (sm *StateMachine) encode(id string, parts []snapshotPart) ([]*record.Snapshot, error) {
	out := make([]*record.Snapshot, len(parts))
	for i := range parts {
		data, err := cbor.Marshal(&parts[i])
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot part")
		}
		out[i] = &record.Snapshot{ID: id, Part: uint32(i), Parts: uint32(len(parts)), EndOffset: sm.nextOffset, State: data}
	}
	return out, nil
}

// jobsBySubmission returns the jobs in the order of their submission.
func (sm *StateMachine) jobsBySubmission() []*Job {
	out := make([]*Job, 0, len(sm.jobs))
	for _, j := range sm.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int {
		if a.submitPosition != b.submitPosition {
			return comparePositions(a.submitPosition, b.submitPosition)
		}
		return strings.Compare(a.spec.ID, b.spec.ID)
	})
	return out
}

func comparePositions(a, b record.Position) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// chunks returns the state of the job and its tasks as chunks in order.
func (j *Job) chunks() []jobChunk {
	var out []jobChunk
	for first := 0; first < len(j.tasks); first += tasksPerChunk {
		c := jobChunk{First: uint32(first)}
		if first == 0 {
			c.Spec = &j.spec
			c.Submitted, c.Cancelled, c.Ended, c.EndedMS = j.submitPosition, j.cancelled, j.endPosition, j.endedMS
			c.Moves = j.moves
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
		Phase: t.phase, Attempt: t.attempt, Failures: t.failures, Epoch: t.epoch, Revoked: t.revokePosition,
		Worker: t.worker, Checkpoint: t.checkpoint, Detail: t.detail,
	}
}

// Restore replaces the state by that of a complete snapshot; the next record to
// apply is then the first one at the snapshot's end offset. If Restore returns an
// error, the state is unchanged. OnTaskChange is called for every task of the
// snapshot, and for every task of a job that the snapshot does not contain.
func (sm *StateMachine) Restore(parts []*record.Snapshot) error {
	if len(parts) == 0 {
		return errors.Wrap(ErrSnapshot, "no parts")
	}
	if parts[0].EndOffset < sm.nextOffset {
		return errors.Wrapf(ErrOldSnapshot, "the snapshot ends at offset %d, the state at offset %d", parts[0].EndOffset, sm.nextOffset)
	}
	var fresh StateMachine
	fresh.init()
	fresh.nextOffset = parts[0].EndOffset
	for i, p := range parts {
		if p.ID != parts[0].ID || int(p.Part) != i || int(p.Parts) != len(parts) || p.EndOffset != fresh.nextOffset {
			return errors.Wrapf(ErrSnapshot, "part %d of %d", i, len(parts))
		}
		if err := fresh.restorePart(p.State); err != nil {
			return errors.Mark(errors.Wrapf(err, "part %d of %d", i, len(parts)), ErrSnapshot)
		}
	}
	if err := fresh.rebuildIndexes(); err != nil {
		return err
	}
	old := sm.jobs
	fresh.OnTaskChange = sm.OnTaskChange
	*sm = fresh
	sm.notifyRestored(old)
	return nil
}

// restorePart adds the content of one part of a snapshot to the state.
func (sm *StateMachine) restorePart(state []byte) error {
	var part snapshotPart
	if err := cbor.Unmarshal(state, &part); err != nil {
		return err
	}
	if len(part.Writers) > 0 {
		sm.dedup.Restore(part.Writers)
	}
	for _, data := range part.Chunks {
		var c jobChunk
		if err := cbor.Unmarshal(data, &c); err != nil {
			return err
		}
		if err := sm.restoreChunk(&c); err != nil {
			return err
		}
	}
	return nil
}

// restoreChunk adds the tasks of a chunk to their job, which it creates for the first
// chunk of a job.
func (sm *StateMachine) restoreChunk(c *jobChunk) error {
	if c.Spec != nil {
		sm.restoring = &Job{
			spec: *c.Spec, submitPosition: c.Submitted, cancelled: c.Cancelled, endPosition: c.Ended, endedMS: c.EndedMS,
			moves: c.Moves,
		}
		sm.jobs[c.Spec.ID] = sm.restoring
	}
	j := sm.restoring
	if j == nil || int(c.First) != len(j.tasks) {
		return errors.New("the tasks of a job are not in order")
	}
	for _, s := range c.Tasks {
		if int(s.Phase) >= len(phaseNames) {
			return errors.Newf("unknown phase %d", s.Phase)
		}
		j.tasks = append(j.tasks, Task{
			phase: s.Phase, attempt: s.Attempt, failures: s.Failures, epoch: s.Epoch, revokePosition: s.Revoked,
			worker: s.Worker, checkpoint: s.Checkpoint, detail: s.Detail,
		})
	}
	return nil
}

// rebuildIndexes computes the fields that are derived from the restored jobs.
func (sm *StateMachine) rebuildIndexes() error {
	sm.restoring = nil
	for id, j := range sm.jobs {
		if len(j.tasks) != int(j.spec.Tasks) {
			return errors.Wrapf(ErrSnapshot, "job %s has %d of %d tasks", id, len(j.tasks), j.spec.Tasks)
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if !t.phase.Ended() {
				j.openTasks++
			}
			task := record.TaskID{Job: id, Index: uint32(i)}
			if t.phase.Active() {
				sm.addToWorker(task, t)
			}
			if t.phase == Revoked {
				sm.revokedEpochs[task] = t.epoch
			}
		}
		if j.Ended() {
			sm.addEnded(j)
		}
	}
	slices.SortFunc(sm.ended, func(a, b endedJob) int {
		if a.position != b.position {
			return comparePositions(a.position, b.position)
		}
		return strings.Compare(a.id, b.id)
	})
	return nil
}

// notifyRestored calls OnTaskChange for all tasks that a restored snapshot may have
// changed; old holds the jobs from before the restore.
func (sm *StateMachine) notifyRestored(old map[string]*Job) {
	for id, j := range old {
		if sm.jobs[id] != nil {
			continue
		}
		for i := range j.tasks {
			sm.notifyChange(record.TaskID{Job: id, Index: uint32(i)}, j, nil)
		}
	}
	for id, j := range sm.jobs {
		for i := range j.tasks {
			sm.notifyChange(record.TaskID{Job: id, Index: uint32(i)}, j, &j.tasks[i])
		}
	}
}
