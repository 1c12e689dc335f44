// Package peer defines the messages between entries and agents, and sends and
// receives them over TCP connections as a sequence of CBOR items. Either side of a
// connection may send at any time.
//
// One entry at a time is the dispatcher: it holds the newest leadership term and
// assigns tasks to workers. An agent runs beside the runner of each worker. A life of a
// runner is the time between two restarts, identified by the time at which the runner started.
package peer

import (
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Message is one CBOR item on a connection. Exactly one field is set.
type Message struct {
	Hello              *Hello              `cbor:"1,keyasint,omitempty"`
	Welcome            *Welcome            `cbor:"2,keyasint,omitempty"`
	Ping               *Ping               `cbor:"3,keyasint,omitempty"`
	Pong               *Pong               `cbor:"4,keyasint,omitempty"`
	Report             *Report             `cbor:"5,keyasint,omitempty"`
	RunEnds            *RunEnds            `cbor:"6,keyasint,omitempty"`
	OrderRefused       *OrderRefused       `cbor:"7,keyasint,omitempty"`
	Orders             *Orders             `cbor:"8,keyasint,omitempty"`
	Ack                *RunEndsAck         `cbor:"9,keyasint,omitempty"`
	Resigned           *Resigned           `cbor:"10,keyasint,omitempty"`
	SubmissionStored   *SubmissionStored   `cbor:"11,keyasint,omitempty"`
	CancellationStored *CancellationStored `cbor:"12,keyasint,omitempty"`
	PhaseQuery         *PhaseQuery         `cbor:"13,keyasint,omitempty"`
	PhaseAnswer        *PhaseAnswer        `cbor:"14,keyasint,omitempty"`
	Config             *Config             `cbor:"15,keyasint,omitempty"`
	RelayAppend        *RelayAppend        `cbor:"16,keyasint,omitempty"`
	RelayResult        *RelayResult        `cbor:"17,keyasint,omitempty"`
	PolicyAnswer       *PolicyAnswer       `cbor:"18,keyasint,omitempty"`
	Registered         *Registered         `cbor:"19,keyasint,omitempty"`
	Departure          *Departure          `cbor:"20,keyasint,omitempty"`
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
	// Incarnation distinguishes the process from earlier processes of the same name.
	Incarnation uint64 `cbor:"3,keyasint"`
	// PeerAddress is the address at which peers reach the sender; agents have none.
	PeerAddress string `cbor:"4,keyasint,omitempty"`
	Zone        string `cbor:"5,keyasint,omitempty"`
	// Persistent is set if the sender keeps the connection open after the Welcome; a probe
	// closes it.
	Persistent bool `cbor:"6,keyasint,omitempty"`
	// NewestTerm is the newest leadership term that the sender knows.
	NewestTerm uint64 `cbor:"7,keyasint,omitempty"`
	// Strength is what an entry's VM can do for the dispatcher, in thousandths of a processor.
	Strength int `cbor:"8,keyasint,omitempty"`
	// Connection numbers the connections that an agent process has opened.
	Connection uint64 `cbor:"9,keyasint,omitempty"`
}

// Welcome is the answer of an entry to a Hello.
type Welcome struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// NewestTerm is the term of Claim, since the encoding of a claim leaves its term out.
	NewestTerm uint64 `cbor:"3,keyasint,omitempty"`
	// NewestClaim is the newest leadership claim that the sender knows.
	NewestClaim leadership.Claim `cbor:"4,keyasint,omitempty"`
	// IsDispatcher is set if the sender is the dispatcher and accepts reports.
	IsDispatcher bool `cbor:"5,keyasint,omitempty"`
	// EntryAddresses are the peer addresses of all entries that the sender knows, including its own.
	EntryAddresses []string `cbor:"6,keyasint,omitempty"`
	// DispatcherContactAgeMS is the time since the sender's last contact with the dispatcher, in
	// milliseconds; 0 if the sender is the dispatcher or knows no claim.
	DispatcherContactAgeMS int64 `cbor:"7,keyasint,omitempty"`
	// NoDispatcher is set if the sender knows that the process that made Claim has resigned or
	// ended.
	NoDispatcher bool `cbor:"8,keyasint,omitempty"`
	// EntryStrengths are the strengths of the entries at EntryAddresses, in thousandths of a
	// processor; 0 stands for an unknown one.
	EntryStrengths []int `cbor:"9,keyasint,omitempty"`
	// FollowedTerms are the terms whose dispatchers count the sender among their followers, see leadership.Followed. From this answer
	// on the sender names the term in Hello, or a later one, in its pings. They are only sent to entries.
	FollowedTerms []uint64 `cbor:"10,keyasint,omitempty"`
}

// Ping is sent by agents and entries to the dispatcher.
type Ping struct {
	// Seq identifies the ping in its answer.
	Seq uint64 `cbor:"1,keyasint"`
	// Worker describes the worker of an agent; pings of entries leave it out.
	Worker *dispatch.Worker `cbor:"2,keyasint,omitempty"`
	// Runs are the runs at that worker, as of the runner's latest listing.
	Runs []dispatch.RunStatus `cbor:"3,keyasint,omitempty"`
	// NewestTerm is the newest leadership term that an entry knows; pings of agents leave out this
	// field and those below.
	NewestTerm uint64 `cbor:"4,keyasint,omitempty"`
	// StoreContactAgeMS is the time since the store last answered the entry, in milliseconds.
	StoreContactAgeMS int64 `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that is in force at the entry.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Draining is set once the entry shuts down.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Evacuation is the set of evacuated data centres that is in force at the entry, if the deployment has evacuations.
	// It was taken after the Pong with the number LastPong had arrived.
	Evacuation *Evacuation `cbor:"8,keyasint,omitempty"`
	LastPong   uint64      `cbor:"9,keyasint,omitempty"`
}

// Evacuation is the set of evacuated data centres that an entry has in force.
type Evacuation struct {
	Names []string `cbor:"1,keyasint,omitempty"`
	// End is the offset in store.TopicConfig up to which the set takes in the records.
	End uint64 `cbor:"2,keyasint"`
	// AgeMS is the time, in milliseconds, since which records from End on may have been written.
	AgeMS int64 `cbor:"3,keyasint"`
}

// Pong answers the Ping with the same Seq.
type Pong struct {
	Seq uint64 `cbor:"1,keyasint"`
	// DispatcherTerm is the leadership term of the sender; 0 if it is not the dispatcher.
	DispatcherTerm uint64 `cbor:"2,keyasint,omitempty"`
	// EntryAddresses are the peer addresses of all entries that the sender knows, including its own.
	// They are left out if they have not changed since the last Pong on the connection.
	EntryAddresses []string `cbor:"3,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that is in force at the sender.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
	// PendingJobsByQueue is the number of jobs that have not begun, by queue; only the dispatcher
	// sends it, and only to entries.
	PendingJobsByQueue map[string]int `cbor:"5,keyasint,omitempty"`
	// WorkerLeaseRenewed is set if the ping renews the worker lease of the agent.
	WorkerLeaseRenewed bool `cbor:"6,keyasint,omitempty"`
	// EntryStrengths are the strengths of the entries at EntryAddresses, in thousandths of a
	// processor; 0 stands for an unknown one. They are only sent to entries.
	EntryStrengths []int `cbor:"7,keyasint,omitempty"`
	// Evacuation is the set of evacuated data centres that is in force at the sender, if the deployment has
	// evacuations. It is only sent to entries.
	Evacuation *Evacuation `cbor:"8,keyasint,omitempty"`
	// Evacuated are the names of the evacuated data centres. They are only sent to agents.
	Evacuated []string `cbor:"9,keyasint,omitempty"`
	// Backlogs are the kinds of work that wait without room; only the dispatcher sends them, and only to entries.
	Backlogs []dispatch.Backlog `cbor:"11,keyasint,omitempty"`
	// StoreContactAgeMS is the time since the store last answered the dispatcher, in milliseconds. It is only sent to agents.
	StoreContactAgeMS int64 `cbor:"12,keyasint,omitempty"`
	// Follower is set if the dispatcher counts the entry among its followers, see leadership.Followers. It is only sent to entries.
	Follower bool `cbor:"13,keyasint,omitempty"`
}

// Report is the full state of a worker: its runs, and the ends of runs that the
// dispatcher has not acknowledged.
type Report struct {
	Worker dispatch.Worker `cbor:"1,keyasint"`
	// Runs are only pending ones in the report of a worker without a runner.
	Runs    []dispatch.RunStatus `cbor:"2,keyasint,omitempty"`
	RunEnds []dispatch.RunEnd    `cbor:"3,keyasint,omitempty"`
	// Sent lists the runs that were sent to the life of the runner that has ended, listed or not.
	Sent []dispatch.SentRun `cbor:"4,keyasint,omitempty"`
	// RunnerEnded is set in the report of a worker without a runner if nothing listens there, rather than
	// the runner not answering.
	RunnerEnded bool `cbor:"5,keyasint,omitempty"`
	// Registration is the number of the registration under which the agent carries out starts; 0 if it was told of none.
	Registration uint64 `cbor:"6,keyasint,omitempty"`
	// EndedLives are the lives of the runner that have ended with run ends that no dispatcher has acknowledged.
	EndedLives []dispatch.EndedLife `cbor:"7,keyasint,omitempty"`
}

// Registered tells an agent the number of the registration of its worker under which it gets tasks, see
// leadership.Roster. It is sent before the first start under that registration.
type Registered struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Departure says that a worker has left in order: nothing that was started under the registration with Number, or an
// earlier one, runs or will run once LeasesEndMS have passed. An agent sends it to several entries, each on a connection of
// its own without a Hello, and each sends it back. Entries pass it on to the dispatcher.
type Departure struct {
	Worker string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// LeasesEndMS is the time, in milliseconds, within which the leases of the last runs end; 0 if nothing runs any more. An
	// agent that stops renews none.
	LeasesEndMS int64 `cbor:"3,keyasint,omitempty"`
	// EndedLives are the run ends that no dispatcher has acknowledged, as far as they are done or failed, without
	// checkpoints.
	EndedLives []dispatch.EndedLife `cbor:"4,keyasint,omitempty"`
}

// Fits reports whether the departure can be the first message on a connection.
func (d *Departure) Fits() bool {
	data, err := cbor.Marshal(&Message{Departure: d})
	return err == nil && len(data) <= firstMessageBytes
}

// RunEnds lists the ends of runs at a worker that the agent has not sent yet.
type RunEnds struct {
	// Life identifies the life of the worker's runner that listed the ends.
	Life uint64            `cbor:"1,keyasint"`
	Ends []dispatch.RunEnd `cbor:"2,keyasint"`
	// After is the number of the last end of this life that was sent before Ends.
	After uint64 `cbor:"3,keyasint,omitempty"`
}

// OrderRefused says that an agent has not carried out an order for a run and never will. The
// dispatcher then counts the run as one that never ran.
type OrderRefused struct {
	// Life identifies the life of the worker's runner that the order was for.
	Life uint64          `cbor:"1,keyasint"`
	Task workflow.TaskID `cbor:"2,keyasint"`
	Run  uint64          `cbor:"3,keyasint"`
	// Reason is the reason for the refusal, as text for the log.
	Reason string `cbor:"4,keyasint"`
	// TicketRejected is set if the runner did not accept the placement policy's ticket.
	TicketRejected bool `cbor:"5,keyasint,omitempty"`
	// Unconfirmed is set if the store serves the agent and had not answered the dispatcher for too long.
	Unconfirmed bool `cbor:"6,keyasint,omitempty"`
}

// Orders are orders and questions of the dispatcher to one agent.
type Orders struct {
	// Term is the term of the dispatcher that sends the orders.
	Term   uint64           `cbor:"1,keyasint"`
	Starts []dispatch.Start `cbor:"2,keyasint,omitempty"`
	Stops  []dispatch.Stop  `cbor:"3,keyasint,omitempty"`
	// GuardedTasks tells the agent's latency guard the latency targets and the interference of
	// tasks that run already.
	GuardedTasks []dispatch.GuardedTask `cbor:"4,keyasint,omitempty"`
	// PolicyQuestions are the questions that the agent forwards to the placement policy service.
	PolicyQuestions []dispatch.Question `cbor:"5,keyasint,omitempty"`
	// Evacuated are the names of the evacuated data centres when the orders were decided.
	Evacuated []string `cbor:"6,keyasint,omitempty"`
	// LastPing is the number of the last ping of the agent that had arrived; 0 if none had. PingAgeMS is how long before that
	// was or, without a ping, the first report on the connection. All ages are in milliseconds, as of the sending of the orders.
	LastPing  uint64 `cbor:"7,keyasint,omitempty"`
	PingAgeMS int64  `cbor:"10,keyasint,omitempty"`
	// StoreContactAgeMS is the time since the store last answered the dispatcher, ConfirmedAgeMS the time since the newest
	// write was sent that the store accepted under the term.
	StoreContactAgeMS int64 `cbor:"8,keyasint,omitempty"`
	ConfirmedAgeMS    int64 `cbor:"9,keyasint,omitempty"`
}

// PolicyAnswer is the answer of the placement policy service to the question with the same Seq.
type PolicyAnswer struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Tickets maps the instance IDs of the runners that may run the step to the tickets that
	// starts at these runners must carry; nil if there was no answer.
	Tickets map[string]string `cbor:"2,keyasint,omitempty"`
	// ValidForMS is how long the tickets are valid, in milliseconds.
	ValidForMS int64 `cbor:"3,keyasint,omitempty"`
	// Failed is set if the service refused the question or did not answer it.
	Failed bool `cbor:"4,keyasint,omitempty"`
}

// RunEndsAck acknowledges run ends: the dispatcher has stored them, so the agent may
// drop them from its reports.
type RunEndsAck struct {
	// Life identifies the life of the worker's runner that listed the ends.
	Life uint64 `cbor:"1,keyasint"`
	// LastAckedEnd is the number of the last acknowledged run end; it acknowledges all earlier
	// ones too.
	LastAckedEnd uint64 `cbor:"2,keyasint"`
}

// Resigned says that the dispatcher of a term has resigned.
type Resigned struct {
	Term uint64 `cbor:"1,keyasint"`
	// Successor is the name of the entry that should claim leadership at once; empty if none is
	// named.
	Successor string `cbor:"2,keyasint,omitempty"`
	// SuccessorAddress is the peer address of that entry.
	SuccessorAddress string `cbor:"3,keyasint,omitempty"`
}

// SubmissionStored tells the dispatcher that the submission of a job has been stored.
type SubmissionStored struct {
	Submission workflow.Submission `cbor:"1,keyasint"`
}

// CancellationStored tells the dispatcher that the cancellation of a job has been stored.
type CancellationStored struct {
	// JobID is the ID of the job.
	JobID string `cbor:"1,keyasint"`
}

// PhaseQuery asks the dispatcher for the phase of a job.
type PhaseQuery struct {
	// Seq identifies the query in its answer.
	Seq uint64 `cbor:"1,keyasint"`
	// JobID is the ID of the job.
	JobID string `cbor:"2,keyasint"`
}

// PhaseAnswer answers the query with the same Seq.
type PhaseAnswer struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Known is set if Phase is the phase of the job, as the sender knows it.
	Known bool           `cbor:"2,keyasint,omitempty"`
	Phase workflow.Phase `cbor:"3,keyasint,omitempty"`
}

// Config sends a configuration to an entry that has an older one.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	// Data is the configuration as the operators wrote it.
	Data []byte `cbor:"2,keyasint"`
}

// RelayAppend asks an entry to append a record to the store on behalf of the sender, which
// cannot reach the store.
type RelayAppend struct {
	// Seq identifies the append in its result.
	Seq    uint64          `cbor:"1,keyasint"`
	Record workflow.Record `cbor:"2,keyasint"`
}

// RelayResult is the result of the relayed append with the same Seq. If neither Stored nor Refused is
// set, it is unknown whether the record has been or will be stored.
type RelayResult struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Stored is set if the record has been stored.
	Stored bool `cbor:"2,keyasint,omitempty"`
	// Refused is set if the record is certain never to be stored.
	Refused bool `cbor:"3,keyasint,omitempty"`
}
