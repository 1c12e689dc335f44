package record

import (
	"cmp"
	"fmt"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Kind names the type of a record's body.
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

// TaskID names one task of a job.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Index uint32
}

// String returns the task's name on a worker.
func (t TaskID) String() string { return fmt.Sprintf("%s.%d", t.Job, t.Index) }

// Hold names a task and the epoch under which a worker holds it. The epoch is
// the position of the Assign record.
type Hold struct {
	_     struct{} `cbor:",toarray"`
	Task  TaskID
	Epoch Position
}

// String returns the name under which a worker lists the task.
func (h Hold) String() string { return fmt.Sprintf("%s@%d", h.Task, h.Epoch) }

// Compare orders holds by job, task and epoch.
func (h Hold) Compare(o Hold) int {
	return cmp.Or(
		cmp.Compare(h.Task.Job, o.Task.Job),
		cmp.Compare(h.Task.Index, o.Task.Index),
		cmp.Compare(h.Epoch, o.Epoch),
	)
}

// Spec is what a team asks for.
type Spec struct {
	ID    string           `cbor:"1,keyasint"           json:"id"`
	Team  string           `cbor:"2,keyasint"           json:"team"`
	Class string           `cbor:"3,keyasint"           json:"class"`
	Tasks uint32           `cbor:"4,keyasint"           json:"tasks"`
	Gang  bool             `cbor:"5,keyasint,omitempty" json:"gang,omitempty"`
	Size  worker.Resources `cbor:"6,keyasint"           json:"size"`
	// ExpectedMS is the declared run time of a task in milliseconds.
	ExpectedMS int64 `cbor:"7,keyasint,omitempty" json:"expected-ms,omitempty"`
	// NeededBy is in Unix milliseconds; 0 means no moment.
	NeededBy int64 `cbor:"8,keyasint,omitempty" json:"needed-by,omitempty"`
	// SubmittedAt is in Unix milliseconds on the clock of the accepting entry.
	SubmittedAt int64  `cbor:"9,keyasint,omitempty"  json:"submitted-at,omitempty"`
	Payload     []byte `cbor:"10,keyasint,omitempty" json:"payload,omitempty"`
	// MaxFailures is the number of failed runs after which a task is given up.
	// It is copied from the class at submission, so that all readers agree.
	MaxFailures uint32 `cbor:"11,keyasint,omitempty" json:"max-failures,omitempty"`
	// TakeoverMS is the takeover time in milliseconds, copied from the class at
	// submission, so that holder and taker agree.
	TakeoverMS int64 `cbor:"12,keyasint,omitempty" json:"takeover-ms,omitempty"`
}

// Submit adds a job. It is void if the job is known.
type Submit struct {
	Spec Spec `cbor:"1,keyasint"`
	// Checkpoints carries the progress of a job that moves between streams, by task index.
	Checkpoints map[uint32]string `cbor:"2,keyasint,omitempty"`
	// Ended carries how tasks of a job that moves had ended before, by task index.
	Ended map[uint32]Outcome `cbor:"3,keyasint,omitempty"`
	// Hops counts the moves of the job so far. A job that has left a stream can
	// come back to it with a higher count.
	Hops uint32 `cbor:"4,keyasint,omitempty"`
}

// Placement gives one task to one worker.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Worker string
	// Attempt is the number of assignments of the task that took effect before.
	Attempt uint32
}

// Assign gives tasks to workers. It takes effect for all of them or none.
type Assign struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Started says that tasks run.
type Started struct {
	Holds []Hold `cbor:"1,keyasint"`
}

// Checkpointed says that a task's progress up to Ref has been saved.
type Checkpointed struct {
	Hold Hold   `cbor:"1,keyasint"`
	Ref  string `cbor:"2,keyasint"`
}

// Outcome says how a task ended.
type Outcome uint8

// The outcomes of a task.
const (
	OutcomeSucceeded Outcome = iota + 1
	OutcomeFailed
)

// Finished says that a task ended.
type Finished struct {
	Hold    Hold    `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Detail  string  `cbor:"3,keyasint,omitempty"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"4,keyasint,omitempty"`
}

// Revoke withdraws tasks from workers that may still run them.
type Revoke struct {
	Holds  []Hold `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Released says that a worker runs a task no more.
type Released struct {
	Hold   Hold   `cbor:"1,keyasint"`
	Ref    string `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
	// Revoked is the position of the revocation whose takeover time the writer
	// has waited for; 0 if the worker itself confirmed the stop.
	Revoked Position `cbor:"4,keyasint,omitempty"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"5,keyasint,omitempty"`
}

// Cancel ends jobs.
type Cancel struct {
	Jobs []string `cbor:"1,keyasint"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"2,keyasint,omitempty"`
}

// Move ends a job in this stream; it goes on in the stream of another data centre.
type Move struct {
	Job string `cbor:"1,keyasint"`
	To  string `cbor:"2,keyasint"`
	// AtMS is the writer's time in Unix milliseconds.
	AtMS int64 `cbor:"3,keyasint,omitempty"`
}

// Forget drops ended jobs from the state.
type Forget struct {
	Jobs []string `cbor:"1,keyasint"`
}

// Snapshot is one part of the state that the stream's records before Covers add up to.
type Snapshot struct {
	ID     string `cbor:"1,keyasint"`
	Part   uint32 `cbor:"2,keyasint"`
	Parts  uint32 `cbor:"3,keyasint"`
	Covers uint64 `cbor:"4,keyasint"`
	State  []byte `cbor:"5,keyasint"`
	// WrittenMS is when it was written, in Unix milliseconds on the writer's clock.
	WrittenMS int64 `cbor:"6,keyasint,omitempty"`
}

// Bundle publishes a signed bundle, or carries the one in force forward.
type Bundle struct {
	Signed []byte `cbor:"1,keyasint"`
	// Carried bundles were in force when they were written.
	Carried bool `cbor:"2,keyasint,omitempty"`
	// Lineage holds the earlier bundles that changed the operators.
	Lineage [][]byte `cbor:"3,keyasint,omitempty"`
	// WrittenMS is when it was written, in Unix milliseconds on the writer's clock.
	WrittenMS int64 `cbor:"4,keyasint,omitempty"`
}

// Member says that an entry has started, goes on or leaves.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Leaving     bool   `cbor:"5,keyasint,omitempty"`
	// WrittenMS is when it was written, in Unix milliseconds on the writer's clock.
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
