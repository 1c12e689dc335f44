// Package peer carries messages between entries and agents: CBOR items on one
// TCP connection, pushed both ways.
package peer

import (
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Message is one item on a connection; the fields that are set say what it is.
type Message struct {
	Hello    *Hello    `cbor:"1,keyasint,omitempty"`
	Welcome  *Welcome  `cbor:"2,keyasint,omitempty"`
	Ping     *Ping     `cbor:"3,keyasint,omitempty"`
	Pong     *Pong     `cbor:"4,keyasint,omitempty"`
	Report   *Report   `cbor:"5,keyasint,omitempty"`
	Ends     *Ends     `cbor:"6,keyasint,omitempty"`
	Refused  *Refused  `cbor:"7,keyasint,omitempty"`
	Orders   *Orders   `cbor:"8,keyasint,omitempty"`
	Noted    *Noted    `cbor:"9,keyasint,omitempty"`
	Resigned *Resigned `cbor:"10,keyasint,omitempty"`
	Admit    *Admit    `cbor:"11,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"12,keyasint,omitempty"`
	Query    *Query    `cbor:"13,keyasint,omitempty"`
	Answer   *Answer   `cbor:"14,keyasint,omitempty"`
	Config   *Config   `cbor:"15,keyasint,omitempty"`
	Relay    *Relay    `cbor:"16,keyasint,omitempty"`
	Relayed  *Relayed  `cbor:"17,keyasint,omitempty"`
	Advised  *Advised  `cbor:"18,keyasint,omitempty"`
}

// Role says what a process is.
type Role uint8

// The roles.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// Hello opens a connection.
type Hello struct {
	Role        Role   `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint,omitempty"`
	Zone        string `cbor:"5,keyasint,omitempty"`
	// Stays is set if the connection is kept, not opened for one question.
	Stays bool `cbor:"6,keyasint,omitempty"`
	// Term is the newest term that the process knows.
	Term uint64 `cbor:"7,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	Name        string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Term        uint64           `cbor:"3,keyasint,omitempty"`
	Claim       leadership.Claim `cbor:"4,keyasint,omitempty"`
	// Dispatches is set if the entry holds the term and takes reports.
	Dispatches bool `cbor:"5,keyasint,omitempty"`
	// Entries are the addresses of the entries known.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// HeardMS is how long ago the entry heard the dispatcher, in milliseconds.
	HeardMS int64 `cbor:"7,keyasint,omitempty"`
	// Resigned is set if the entry knows that the dispatcher acts no more.
	Resigned bool `cbor:"8,keyasint,omitempty"`
}

// Ping is sent by agents and entries to the dispatcher.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Worker and Rows describe an agent's worker.
	Worker *dispatch.Worker     `cbor:"2,keyasint,omitempty"`
	Rows   []dispatch.RunStatus `cbor:"3,keyasint,omitempty"`
	// Term is the newest term that an entry knows.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// StoreMS is how long ago an entry last heard from the store, in milliseconds.
	StoreMS int64 `cbor:"5,keyasint,omitempty"`
	// Config is the version of the configuration that an entry has in force.
	Config uint64 `cbor:"6,keyasint,omitempty"`
	// Leaving is set while an entry drains.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Term is that of the dispatcher; 0 if the peer does not dispatch.
	Term    uint64   `cbor:"2,keyasint,omitempty"`
	Entries []string `cbor:"3,keyasint,omitempty"`
	Config  uint64   `cbor:"4,keyasint,omitempty"`
	// Pending counts jobs of which no task has started, by queue; to entries.
	Pending map[string]int `cbor:"5,keyasint,omitempty"`
	// Granted is set if an agent may go on for the time of a grant.
	Granted bool `cbor:"6,keyasint,omitempty"`
}

// Report is a worker's whole state.
type Report struct {
	Worker dispatch.Worker      `cbor:"1,keyasint"`
	Rows   []dispatch.RunStatus `cbor:"2,keyasint,omitempty"`
	Ends   []dispatch.RunEnd    `cbor:"3,keyasint,omitempty"`
}

// Ends are new ends at a worker.
type Ends struct {
	Life uint64            `cbor:"1,keyasint"`
	Ends []dispatch.RunEnd `cbor:"2,keyasint"`
}

// Refused says that an order never runs.
type Refused struct {
	Life   uint64          `cbor:"1,keyasint"`
	Task   workflow.TaskID `cbor:"2,keyasint"`
	Run    uint64          `cbor:"3,keyasint"`
	Reason string          `cbor:"4,keyasint"`
	// Ticket is set if the runner did not accept the order's ticket.
	Ticket bool `cbor:"5,keyasint,omitempty"`
}

// Orders are for one agent.
type Orders struct {
	Term   uint64           `cbor:"1,keyasint"`
	Starts []dispatch.Start `cbor:"2,keyasint,omitempty"`
	Stops  []dispatch.Stop  `cbor:"3,keyasint,omitempty"`
	// Guarded says what the agent's guard needs to know of tasks that run already.
	Guarded []dispatch.GuardedTask `cbor:"4,keyasint,omitempty"`
	// Questions are about steps of queues that need advice.
	Questions []dispatch.Question `cbor:"5,keyasint,omitempty"`
}

// Advised answers a question.
type Advised struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Tickets are those of the workers that are allowed, by instance; nil if there was no answer.
	Tickets map[string]string `cbor:"2,keyasint,omitempty"`
	// ValidMS is how long the tickets are valid, in milliseconds.
	ValidMS int64 `cbor:"3,keyasint,omitempty"`
	// Failed is set if the question was refused or not answered.
	Failed bool `cbor:"4,keyasint,omitempty"`
}

// Noted says up to which end a worker may forget.
type Noted struct {
	Life uint64 `cbor:"1,keyasint"`
	End  uint64 `cbor:"2,keyasint"`
}

// Resigned says that a dispatcher has given up its term.
type Resigned struct {
	Term uint64 `cbor:"1,keyasint"`
	// Heir is the name of the entry that should claim at once.
	Heir string `cbor:"2,keyasint,omitempty"`
}

// Admit tells the dispatcher of a stored submission.
type Admit struct {
	Submission workflow.Submission `cbor:"1,keyasint"`
}

// Cancel tells the dispatcher of a stored cancellation.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

// Query asks the dispatcher for a job's phase.
type Query struct {
	Seq uint64 `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// Answer answers a Query.
type Answer struct {
	Seq   uint64         `cbor:"1,keyasint"`
	Known bool           `cbor:"2,keyasint,omitempty"`
	Phase workflow.Phase `cbor:"3,keyasint,omitempty"`
}

// Config hands a configuration on.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// Relay asks an entry to store a record for another that cannot reach the store.
type Relay struct {
	Seq    uint64          `cbor:"1,keyasint"`
	Record workflow.Record `cbor:"2,keyasint"`
}

// Relayed answers a Relay.
type Relayed struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Stored, Refused: otherwise the outcome is not known.
	Stored  bool `cbor:"2,keyasint,omitempty"`
	Refused bool `cbor:"3,keyasint,omitempty"`
}
