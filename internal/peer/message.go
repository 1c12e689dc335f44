// Package peer defines the messages between entries and agents, and sends and
// receives them over TCP connections as a sequence of CBOR items. Either side of a
// connection may send at any time.
//
// One entry at a time is the dispatcher: it holds the newest leadership term and
// assigns tasks to workers. An agent runs beside the runner of each worker.
package peer

import (
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Message is one CBOR item on a connection. Exactly one field is set.
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

// Role is the role of a process.
type Role uint8

// The roles of a process.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// Hello is the first message on a connection, sent by the side that opened it.
type Hello struct {
	Role Role   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	// Incarnation tells a process from earlier ones of the same name.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Address is the address at which peers reach the sender; agents have none.
	Address string `cbor:"4,keyasint,omitempty"`
	Zone    string `cbor:"5,keyasint,omitempty"`
	// Stays is set if the connection stays open, rather than being closed after the Welcome.
	Stays bool `cbor:"6,keyasint,omitempty"`
	// Term is the newest leadership term that the sender knows.
	Term uint64 `cbor:"7,keyasint,omitempty"`
}

// Welcome is the answer of an entry to a Hello.
type Welcome struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Term is the term of Claim, which does not encode it.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// Claim is the newest leadership claim that the entry knows.
	Claim leadership.Claim `cbor:"4,keyasint,omitempty"`
	// Dispatches is set if the entry is the dispatcher and accepts reports.
	Dispatches bool `cbor:"5,keyasint,omitempty"`
	// Entries are the peer addresses of all entries that the sender knows, with its own.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// HeardMS is the time since the entry's last contact with the dispatcher, in
	// milliseconds.
	HeardMS int64 `cbor:"7,keyasint,omitempty"`
	// Resigned is set if the entry knows that the dispatcher has resigned, or knows of none.
	Resigned bool `cbor:"8,keyasint,omitempty"`
}

// Ping is sent by agents and entries to the dispatcher.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Worker describes the worker of an agent; entries leave it out.
	Worker *dispatch.Worker `cbor:"2,keyasint,omitempty"`
	// Rows are the runs at that worker.
	Rows []dispatch.RunStatus `cbor:"3,keyasint,omitempty"`
	// Term is the newest leadership term that an entry knows.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// StoreMS is the time since an entry's last successful call to the store, in
	// milliseconds.
	StoreMS int64 `cbor:"5,keyasint,omitempty"`
	// Config is the version of the configuration that is in force at an entry.
	Config uint64 `cbor:"6,keyasint,omitempty"`
	// Leaving is set while an entry is draining.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Pong answers the Ping with the same Seq.
type Pong struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Term is the leadership term of the sender; 0 if it is not the dispatcher.
	Term uint64 `cbor:"2,keyasint,omitempty"`
	// Entries are the peer addresses of all entries that the sender knows, with its own.
	Entries []string `cbor:"3,keyasint,omitempty"`
	// Config is the version of the configuration that is in force at the sender.
	Config uint64 `cbor:"4,keyasint,omitempty"`
	// Pending is the number of jobs without a started task, by queue; sent to entries only.
	Pending map[string]int `cbor:"5,keyasint,omitempty"`
	// Granted is set if the ping renews the worker lease of the agent.
	Granted bool `cbor:"6,keyasint,omitempty"`
}

// Report is the full state of a worker: its runs, and the ends of runs that the
// dispatcher has not acknowledged.
type Report struct {
	Worker dispatch.Worker      `cbor:"1,keyasint"`
	Rows   []dispatch.RunStatus `cbor:"2,keyasint,omitempty"`
	Ends   []dispatch.RunEnd    `cbor:"3,keyasint,omitempty"`
}

// Ends reports runs at a worker that have ended since the last report.
type Ends struct {
	// Life identifies the life of the worker's runner, from its start to its end.
	Life uint64            `cbor:"1,keyasint"`
	Ends []dispatch.RunEnd `cbor:"2,keyasint"`
}

// Refused says that an agent has not carried out an order and never will.
type Refused struct {
	// Life identifies the life of the worker's runner that the order was for.
	Life   uint64          `cbor:"1,keyasint"`
	Task   workflow.TaskID `cbor:"2,keyasint"`
	Run    uint64          `cbor:"3,keyasint"`
	Reason string          `cbor:"4,keyasint"`
	// Ticket is set if the runner did not accept the placement policy's ticket.
	Ticket bool `cbor:"5,keyasint,omitempty"`
}

// Orders are orders and questions of the dispatcher to one agent.
type Orders struct {
	Term   uint64           `cbor:"1,keyasint"`
	Starts []dispatch.Start `cbor:"2,keyasint,omitempty"`
	Stops  []dispatch.Stop  `cbor:"3,keyasint,omitempty"`
	// Guarded is what the agent's latency guard has to know of tasks that run already.
	Guarded []dispatch.GuardedTask `cbor:"4,keyasint,omitempty"`
	// Questions are to be put to the placement policy service.
	Questions []dispatch.Question `cbor:"5,keyasint,omitempty"`
}

// Advised is the answer of the placement policy service to the question with the same Seq.
type Advised struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Tickets maps the instance IDs of the runners that may run the step to their tickets;
	// nil if there was no answer.
	Tickets map[string]string `cbor:"2,keyasint,omitempty"`
	// ValidMS is how long the tickets are valid, in milliseconds.
	ValidMS int64 `cbor:"3,keyasint,omitempty"`
	// Failed is set if the service refused the question or did not answer it.
	Failed bool `cbor:"4,keyasint,omitempty"`
}

// Noted acknowledges run ends: the dispatcher has stored them, so the worker may
// drop them from its reports.
type Noted struct {
	// Life identifies the life of the worker's runner that listed the ends.
	Life uint64 `cbor:"1,keyasint"`
	// End is the number of the last acknowledged end.
	End uint64 `cbor:"2,keyasint"`
}

// Resigned says that the dispatcher of a term has resigned.
type Resigned struct {
	Term uint64 `cbor:"1,keyasint"`
	// Heir is the name of the entry that should claim leadership at once; empty if none is
	// named.
	Heir string `cbor:"2,keyasint,omitempty"`
}

// Admit tells the dispatcher that the submission of a job has been stored.
type Admit struct {
	Submission workflow.Submission `cbor:"1,keyasint"`
}

// Cancel tells the dispatcher that the cancellation of a job has been stored.
type Cancel struct {
	// ID is the ID of the job.
	ID string `cbor:"1,keyasint"`
}

// Query asks the dispatcher for the phase of a job.
type Query struct {
	Seq uint64 `cbor:"1,keyasint"`
	// ID is the ID of the job.
	ID string `cbor:"2,keyasint"`
}

// Answer answers the query with the same Seq.
type Answer struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Known is set if the answering entry knows the phase of the job.
	Known bool           `cbor:"2,keyasint,omitempty"`
	Phase workflow.Phase `cbor:"3,keyasint,omitempty"`
}

// Config sends a configuration to an entry that has an older one.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	// Data is the configuration as the operators wrote it.
	Data []byte `cbor:"2,keyasint"`
}

// Relay asks an entry to append a record to the store on behalf of the sender, which
// cannot reach the store.
type Relay struct {
	Seq    uint64          `cbor:"1,keyasint"`
	Record workflow.Record `cbor:"2,keyasint"`
}

// Relayed is the result of the relayed append with the same Seq. If neither Stored nor Refused is
// set, it is unknown whether the record has been or will be stored.
type Relayed struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Stored is set if the record has been stored.
	Stored bool `cbor:"2,keyasint,omitempty"`
	// Refused is set if the record is certain never to be stored.
	Refused bool `cbor:"3,keyasint,omitempty"`
}
