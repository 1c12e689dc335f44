package lease

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// State is the state of a task as reported by an agent.
type State uint8

// The task states.
const (
	Running State = iota + 1
	Succeeded
	Failed
	// Stopped tasks no longer run and can be started elsewhere.
	Stopped
)

// Ended reports whether the task makes no more progress.
func (s State) Ended() bool { return s != Running }

// Report is an agent's report on one task.
type Report struct {
	_     struct{} `cbor:",toarray"`
	Hold  record.AssignmentID
	State State
	// Ref refers to the newest checkpoint.
	Ref string
	// Detail describes the state in words.
	Detail string
}

// StartOrder tells an agent to start a task.
type StartOrder struct {
	Hold       record.AssignmentID `cbor:"1,keyasint"`
	Spec       record.Spec         `cbor:"2,keyasint"`
	Checkpoint string              `cbor:"3,keyasint,omitempty"`
	// Started is set if the task has been reported as started before; an agent that
	// does not know the task then refuses the order.
	Started bool `cbor:"4,keyasint,omitempty"`
}

// StopOrder tells an agent to stop a task.
type StopOrder struct {
	_    struct{} `cbor:",toarray"`
	Hold record.AssignmentID
	// Settled is set if the log has the task's end already, so that the agent
	// need not report that end.
	Settled bool
}

// LogReading is what one read of the log says about a worker. A reported task that
// is in neither Start nor Stop continues unchanged.
type LogReading struct {
	// HeartbeatRound is the newest of the agent's rounds whose heartbeat the entry had
	// received when the read began, or 0.
	HeartbeatRound uint64 `cbor:"1,keyasint,omitempty"`
	// NextPosition is the position up to which the log has been read, exclusive.
	NextPosition record.Position `cbor:"2,keyasint"`
	Start        []StartOrder    `cbor:"3,keyasint,omitempty"`
	Stop         []StopOrder     `cbor:"4,keyasint,omitempty"`
}

// Listing is a worker's own list of its tasks.
type Listing struct {
	// Incarnation changes when the worker has lost its tasks.
	Incarnation string
	// Uptime is the reading of the worker's monotonic clock.
	Uptime time.Duration
	// Total is the worker's capacity.
	Total worker.Resources
	Tasks []Task
}

// Task is one task in a worker's listing.
type Task struct {
	Hold  record.AssignmentID
	Size  worker.Resources
	State State
	// Ref refers to the newest checkpoint.
	Ref    string
	Detail string
	// Until is when the lease ends on the worker's clock.
	Until time.Duration
	Terms Terms
}
