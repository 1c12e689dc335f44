package record

import (
	"cmp"
	"fmt"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Kind is the type of a record's message.
type Kind uint8

// The kinds of records.
const (
	KindSubmit Kind = iota + 1
	KindAssign
	KindStarted
	KindCheckpointed
	KindFinished
	KindRevoke
	KindReleased
	KindCancel
	KindMove
	KindForget
	KindSnapshot
	KindBundle
	KindMember
)

// newMessage returns an empty message of a kind to decode into, or nil for an unknown
// kind.
func newMessage(k Kind) Message {
	switch k {
	case KindSubmit:
		return new(Submit)
	case KindAssign:
		return new(Assign)
	case KindStarted:
		return new(Started)
	case KindCheckpointed:
		return new(Checkpointed)
	case KindFinished:
		return new(Finished)
	case KindRevoke:
		return new(Revoke)
	case KindReleased:
		return new(Released)
	case KindCancel:
		return new(Cancel)
	case KindMove:
		return new(Move)
	case KindForget:
		return new(Forget)
	case KindSnapshot:
		return new(Snapshot)
	case KindBundle:
		return new(Bundle)
	case KindMember:
		return new(Member)
	}
	return nil
}

// TaskID identifies one task of a job.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Index uint32
}

// String returns the task's name, as in "job-1.0".
func (t TaskID) String() string { return fmt.Sprintf("%s.%d", t.Job, t.Index) }

// AssignmentID identifies one assignment of a task to a worker. The epoch is the position
// of the Assign record. The epoch serves as the fencing token: later records about the
// task have no effect unless they carry the epoch of its current assignment.
type AssignmentID struct {
	_     struct{} `cbor:",toarray"`
	Task  TaskID
	Epoch Position
}

// String returns the name under which the worker lists the task.
func (a AssignmentID) String() string { return fmt.Sprintf("%s@%d", a.Task, a.Epoch) }

// Compare orders assignments by job, task index and epoch.
func (a AssignmentID) Compare(b AssignmentID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Epoch, b.Epoch),
	)
}

// Spec is the specification of a job, as its team submitted it.
type Spec struct {
	ID    string `cbor:"1,keyasint"           json:"id"`
	Team  string `cbor:"2,keyasint"           json:"team"`
	Class string `cbor:"3,keyasint"           json:"class"`
	Tasks uint32 `cbor:"4,keyasint"           json:"tasks"`
	// Gang requires that all tasks of the job start together.
	Gang bool             `cbor:"5,keyasint,omitempty" json:"gang,omitempty"`
	Size worker.Resources `cbor:"6,keyasint"           json:"size"`
	// ExpectedMS is the declared run time of a task in milliseconds.
	ExpectedMS int64 `cbor:"7,keyasint,omitempty" json:"expected-ms,omitempty"`
	// NeededByMS is when the result is needed, in Unix milliseconds; 0 means that it is
	// needed at no particular time.
	NeededByMS int64 `cbor:"8,keyasint,omitempty" json:"needed-by,omitempty"`
	// SubmittedAtMS is in Unix milliseconds on the clock of the entry that accepted
	// the job.
	SubmittedAtMS int64  `cbor:"9,keyasint,omitempty"  json:"submitted-at,omitempty"`
	Payload       []byte `cbor:"10,keyasint,omitempty" json:"payload,omitempty"`
	// MaxFailures is the number of failed runs after which a task fails for good.
	// The number is copied from the batch class at submission, so that all readers of the
	// stream agree.
	MaxFailures uint32 `cbor:"11,keyasint,omitempty" json:"max-failures,omitempty"`
	// TakeoverMS is the takeover time in milliseconds: how long a lost worker's task is
	// left alone before it is started elsewhere. The value is copied from the batch
	// class at submission, so that the agent that holds the lease and the entry that
	// reclaims the task agree.
	TakeoverMS int64 `cbor:"12,keyasint,omitempty" json:"takeover-ms,omitempty"`
}

// Submit adds a job. It has no effect if the job exists already, unless the job was
// moved out of this stream and returns with a higher number of moves.
type Submit struct {
	Spec Spec `cbor:"1,keyasint"`
	// Checkpoints holds the newest checkpoints of a job that was moved from another
	// stream, by task index.
	Checkpoints map[uint32]string `cbor:"2,keyasint,omitempty"`
	// Ended holds the outcomes of the tasks that had ended before the job was moved
	// from another stream, by task index.
	Ended map[uint32]Outcome `cbor:"3,keyasint,omitempty"`
	// Moves is how often the job has been moved between streams so far. A job that
	// was moved out of a stream can return to it with a higher count.
	Moves uint32 `cbor:"4,keyasint,omitempty"`
}

// Placement assigns one task to one worker.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Worker string
	// Attempt is the number of earlier assignments of the task that took effect.
	Attempt uint32
}

// Assign assigns tasks to workers. It takes effect for all of the tasks or for none.
type Assign struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Started says that workers have started tasks.
type Started struct {
	Assignments []AssignmentID `cbor:"1,keyasint"`
}

// Checkpointed says that a checkpoint of a task, with the reference Ref, was saved.
type Checkpointed struct {
	Assignment AssignmentID `cbor:"1,keyasint"`
	Ref        string       `cbor:"2,keyasint"`
}

// Outcome is how a run of a task ended.
type Outcome uint8

// The outcomes of a run.
const (
	OutcomeSucceeded Outcome = iota + 1
	OutcomeFailed
)

// Finished says that a run of a task ended.
type Finished struct {
	Assignment AssignmentID `cbor:"1,keyasint"`
	Outcome    Outcome      `cbor:"2,keyasint"`
	Detail     string       `cbor:"3,keyasint,omitempty"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"4,keyasint,omitempty"`
}

// Revoke withdraws tasks from workers that may still run them.
type Revoke struct {
	Assignments []AssignmentID `cbor:"1,keyasint"`
	Reason      string         `cbor:"2,keyasint,omitempty"`
}

// Released says that a worker no longer runs a task, so that it can be assigned
// again.
type Released struct {
	Assignment AssignmentID `cbor:"1,keyasint"`
	Ref        string       `cbor:"2,keyasint,omitempty"`
	Reason     string       `cbor:"3,keyasint,omitempty"`
	// Revoked is the position of the revocation after which the writer has waited
	// for the takeover time; 0 if the worker itself confirmed the stop.
	Revoked Position `cbor:"4,keyasint,omitempty"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"5,keyasint,omitempty"`
}

// Cancel cancels jobs.
type Cancel struct {
	// Jobs holds the ids of the jobs.
	Jobs []string `cbor:"1,keyasint"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"2,keyasint,omitempty"`
}

// Move ends a job in this stream; the job continues in the stream of the data
// centre To.
type Move struct {
	Job string `cbor:"1,keyasint"`
	To  string `cbor:"2,keyasint"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"3,keyasint,omitempty"`
}

// Forget removes ended jobs from the state.
type Forget struct {
	// Jobs holds the ids of the jobs.
	Jobs []string `cbor:"1,keyasint"`
}

// Snapshot is one part of a snapshot of the state after all records of the stream
// before an offset.
type Snapshot struct {
	ID string `cbor:"1,keyasint"`
	// Part is the index of this part, and Parts the number of parts of the snapshot.
	Part  uint32 `cbor:"2,keyasint"`
	Parts uint32 `cbor:"3,keyasint"`
	// EndOffset is the offset before which all batches are included in the state.
	EndOffset uint64 `cbor:"4,keyasint"`
	// State is the content of the part in encoded form.
	State []byte `cbor:"5,keyasint"`
	// WrittenMS is when the snapshot was written, in Unix milliseconds on the writer's
	// clock.
	WrittenMS int64 `cbor:"6,keyasint,omitempty"`
}

// Bundle publishes a signed configuration bundle, or carries the one in force
// forward.
type Bundle struct {
	// Signed is the signed bundle in encoded form.
	Signed []byte `cbor:"1,keyasint"`
	// CarriedForward means that the bundle was already in force and was written again
	// before the log's retention could drop it.
	CarriedForward bool `cbor:"2,keyasint,omitempty"`
	// OperatorChanges holds, in encoded form, the earlier bundles that changed the
	// operators.
	OperatorChanges [][]byte `cbor:"3,keyasint,omitempty"`
	// WrittenMS is when the record was written, in Unix milliseconds on the writer's
	// clock.
	WrittenMS int64 `cbor:"4,keyasint,omitempty"`
	// EndOffset is, for a bundle carried forward, the offset before which no newer
	// bundle came in force.
	EndOffset uint64 `cbor:"5,keyasint,omitempty"`
}

// Member says that an entry has started, is still running, or is draining (Leaving) and
// about to stop.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Leaving     bool   `cbor:"5,keyasint,omitempty"`
	// WrittenMS is when the record was written, in Unix milliseconds on the writer's
	// clock.
	WrittenMS int64 `cbor:"6,keyasint,omitempty"`
}

// Kind returns KindSubmit.
func (Submit) Kind() Kind { return KindSubmit }

// Kind returns KindAssign.
func (Assign) Kind() Kind { return KindAssign }

// Kind returns KindStarted.
func (Started) Kind() Kind { return KindStarted }

// Kind returns KindCheckpointed.
func (Checkpointed) Kind() Kind { return KindCheckpointed }

// Kind returns KindFinished.
func (Finished) Kind() Kind { return KindFinished }

// Kind returns KindRevoke.
func (Revoke) Kind() Kind { return KindRevoke }

// Kind returns KindReleased.
func (Released) Kind() Kind { return KindReleased }

// Kind returns KindCancel.
func (Cancel) Kind() Kind { return KindCancel }

// Kind returns KindMove.
func (Move) Kind() Kind { return KindMove }

// Kind returns KindForget.
func (Forget) Kind() Kind { return KindForget }

// Kind returns KindSnapshot.
func (Snapshot) Kind() Kind { return KindSnapshot }

// Kind returns KindBundle.
func (Bundle) Kind() Kind { return KindBundle }

// Kind returns KindMember.
func (Member) Kind() Kind { return KindMember }
