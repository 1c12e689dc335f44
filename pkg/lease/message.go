package lease

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// State is what an agent reports about a task.
type State uint8

// The states reported.
const (
	Runs State = iota + 1
	Succeeded
	Failed
	// Stopped tasks no longer run and can be started elsewhere.
	Stopped
)

// Ended reports whether the task makes no progress any more.
func (s State) Ended() bool { return s != Runs }

// Report is an agent's word on one task.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Hold   record.Hold
	State  State
	Ref    string
	Detail string
}

// Order tells an agent to start a task.
type Order struct {
	Hold       record.Hold `cbor:"1,keyasint"`
	Spec       record.Spec `cbor:"2,keyasint"`
	Checkpoint string      `cbor:"3,keyasint,omitempty"`
	// Started orders were reported as started before.
	Started bool `cbor:"4,keyasint,omitempty"`
}

// Stop tells an agent to end a task.
type Stop struct {
	_    struct{} `cbor:",toarray"`
	Hold record.Hold
	// Settled stops need no report: the log knows the task's end already.
	Settled bool
}

// Reading is what one read of the log said about a worker. A reported task
// that is named in neither list stays as it is.
type Reading struct {
	// Heard is the newest of the agent's rounds whose heartbeat the entry had
	// received when the read began; 0 if there is none.
	Heard uint64 `cbor:"1,keyasint,omitempty"`
	// Next is the position before which the log has been read.
	Next  record.Position `cbor:"2,keyasint"`
	Start []Order         `cbor:"3,keyasint,omitempty"`
	Stop  []Stop          `cbor:"4,keyasint,omitempty"`
}

// Listing is what a worker says it runs.
type Listing struct {
	// Incarnation changes when the worker has lost its tasks.
	Incarnation string
	// Uptime is the worker's monotonic clock.
	Uptime time.Duration
	Total  worker.Resources
	Tasks  []Task
}

// Task is one task on a worker.
type Task struct {
	Hold  record.Hold
	Size  worker.Resources
	State State
	// Ref is the newest checkpoint.
	Ref    string
	Detail string
	// Until is when the lease ends on the worker's clock.
	Until time.Duration
	Terms Terms
}
