package link

import (
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Paths of the calls between processes, each with its message, its reply and the process that
// serves it.
const (
	// PathHeartbeat takes a Heartbeat and returns a HeartbeatReply; at an entry.
	PathHeartbeat = "/peer/heartbeat"
	// PathBundle takes a BundleQuery and returns a BundleReply; at an entry or agent.
	PathBundle = "/peer/bundle"
	// PathLastContact takes a LastContactQuery and returns a LastContactReply; at an entry.
	PathLastContact = "/peer/silence"
	// PathJobs takes a JobsQuery and returns a JobsReply; at an entry.
	PathJobs = "/peer/jobs"
	// PathDataCentreLoad takes a DataCentreLoadQuery and returns a DataCentreLoadReply; at an entry.
	PathDataCentreLoad = "/peer/sums"
	// PathAttemptState takes an AttemptStateQuery and returns an AttemptStateReply; at an agent.
	PathAttemptState = "/peer/fate"
	// PathRequests is the prefix of callers' requests; at an agent.
	PathRequests = "/requests/"
)

// Headers of callers' requests between entry and agent, and of the responses.
const (
	HeaderRequest  = "Savoryhoist-Request-Id"
	HeaderAttempt  = "Savoryhoist-Attempt"
	HeaderClass    = "Savoryhoist-Class"
	HeaderDeadline = "Savoryhoist-Deadline"
	// HeaderRepeat is "never" if the request must not be run more than once.
	HeaderRepeat = "Savoryhoist-Repeat"
	// HeaderOutcome says whether the request was run; see package problem.
	HeaderOutcome = "Savoryhoist-Outcome"
	// HeaderIncarnation is the incarnation of the agent that an attempt is meant
	// for, HeaderMark the newest mark that the entry has received from that agent;
	// see endpoint.DedupTable.
	HeaderIncarnation = "Savoryhoist-Incarnation"
	HeaderMark        = "Savoryhoist-Mark"
	// HeaderCallerTeam is the caller's team as authenticated by the entry.
	HeaderCallerTeam = "Savoryhoist-Caller-Team"
	// HeaderRefusal says why an agent refused an attempt; see the Refusal constants.
	HeaderRefusal = "Savoryhoist-Refusal"
	// HeaderLoad carries the endpoint's load with each response; see FormatLoad.
	HeaderLoad = "Savoryhoist-Load"
	// HeaderServiceTime is how long the runner took for the request, in microseconds.
	HeaderServiceTime = "Savoryhoist-Took"
)

// Values of HeaderRefusal.
const (
	// RefusalDraining means that the agent is draining.
	RefusalDraining = "leaving"
	// RefusalFull means that the endpoint is fully loaded, or had no free slot in time.
	RefusalFull = "full"
	// RefusalRunner means that the endpoint does not run the service, or that the
	// runner did not respond.
	RefusalRunner = "runner"
	// RefusalAttemptState means that the attempt cannot be run again: it has ended,
	// or may have run, and its response is not stored.
	RefusalAttemptState = "fate"
)

// Heartbeat is an agent's report on its endpoint and worker.
type Heartbeat struct {
	Worker      string           `cbor:"1,keyasint"`
	Rack        string           `cbor:"2,keyasint,omitempty"`
	Service     string           `cbor:"3,keyasint,omitempty"`
	Address     string           `cbor:"4,keyasint"`
	Incarnation uint64           `cbor:"5,keyasint"`
	Slots       int              `cbor:"6,keyasint,omitempty"`
	InFlight    int              `cbor:"7,keyasint,omitempty"`
	Draining    bool             `cbor:"8,keyasint,omitempty"`
	Ready       bool             `cbor:"9,keyasint,omitempty"`
	Total       worker.Resources `cbor:"10,keyasint"`
	Free        worker.Resources `cbor:"11,keyasint"`
	Tasks       []lease.Report   `cbor:"12,keyasint,omitempty"`
	// Primary asks the receiver of this heartbeat to record the task reports in the log.
	Primary bool `cbor:"13,keyasint,omitempty"`
	// BundleDigest is the digest of the agent's bundle, BundleVersion its version.
	BundleDigest  string `cbor:"14,keyasint,omitempty"`
	BundleVersion uint64 `cbor:"20,keyasint,omitempty"`
	// UnchangedDigest, if set, is the digest of the stable part of an earlier heartbeat. That
	// part has not changed and is left out of this heartbeat; see HeartbeatSender.
	UnchangedDigest uint64 `cbor:"21,keyasint,omitempty"`
	// EntriesDigest is the digest of the list of entries that the receiver of this heartbeat
	// sent last to the agent.
	EntriesDigest uint64 `cbor:"22,keyasint,omitempty"`
	// Round is the number of the agent's heartbeat round.
	Round uint64 `cbor:"18,keyasint"`
	// InFlightLong, Reserved and Mark describe the endpoint; see endpoint.Report.
	InFlightLong int    `cbor:"15,keyasint,omitempty"`
	Reserved     int    `cbor:"16,keyasint,omitempty"`
	Mark         uint64 `cbor:"17,keyasint,omitempty"`
	// Pressure is the service's tail latency on this worker divided by its latency
	// objective.
	Pressure float64 `cbor:"30,keyasint,omitempty"`
	// ClassUses is the resource use of the worker's batch tasks by class.
	ClassUses []ClassUse `cbor:"31,keyasint,omitempty"`
}

// ClassUse is the resource use of all tasks of one batch class on a worker. The
// measurement lags behind the actual use.
type ClassUse struct {
	_     struct{} `cbor:",toarray"`
	Class string
	// Granted is the sum of the resources that the tasks requested.
	Granted worker.Resources
	Used    worker.Resources
}

// HeartbeatReply is an entry's reply to a heartbeat.
type HeartbeatReply struct {
	// LogReading is what the entry's newest log read says about the agent's worker.
	LogReading lease.LogReading `cbor:"1,keyasint"`
	// BundleDigest is the digest of the bundle in force at the entry; it is empty if the
	// agent has that bundle.
	BundleDigest string `cbor:"5,keyasint,omitempty"`
	// Entries holds the addresses of the data centre's entries. It is empty if the
	// heartbeat's EntriesDigest is their digest.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// Draining means that the entry is draining and should get no more heartbeats.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// BundleVersion is the version of the bundle in force; 0 if the entry leaves it out.
	BundleVersion uint64 `cbor:"20,keyasint,omitempty"`
	// ResendWhole asks for the whole heartbeat; the agent then ignores the other fields.
	ResendWhole bool `cbor:"21,keyasint,omitempty"`
	// AcceptsCompact means that the entry accepts heartbeats without the stable part.
	AcceptsCompact bool `cbor:"22,keyasint,omitempty"`
	// HeartbeatIntervalMS is the shortest time that the agent should leave between two
	// heartbeats, in milliseconds.
	HeartbeatIntervalMS int64 `cbor:"23,keyasint,omitempty"`
}

// LastContactQuery asks for the last contact with workers.
type LastContactQuery struct {
	Workers []string `cbor:"1,keyasint"`
}

// LastContactReply holds the workers that the entry had contact with recently. It is
// empty if the entry could not read the log recently.
type LastContactReply struct {
	Contacts []WorkerContact `cbor:"1,keyasint,omitempty"`
}

// WorkerContact is the time since the last contact with a worker, in milliseconds.
type WorkerContact struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	AgoMS  int64
}

// BundleQuery asks for the bundle in force.
type BundleQuery struct {
	// HaveDigest is the digest of the bundle that the sender of the query has. The reply
	// may be compressed with that bundle as dictionary.
	HaveDigest string `cbor:"1,keyasint,omitempty"`
}

// BundleReply carries the bundle in force and the proof that it is in force. It is
// empty if no bundle is in force or the asking process has that bundle already.
type BundleReply struct {
	// Signed is the signed bundle.
	Signed []byte `cbor:"1,keyasint,omitempty"`
	// OperatorChanges holds the earlier bundles that changed the operators' keys.
	OperatorChanges [][]byte `cbor:"2,keyasint,omitempty"`
	// Packed is the signed bundle, compressed with the content of the bundle
	// with digest BaseDigest as dictionary. It is sent instead of Signed.
	Packed     []byte `cbor:"3,keyasint,omitempty"`
	BaseDigest string `cbor:"4,keyasint,omitempty"`
	// EndOffset is the exclusive end of the log prefix in which no newer bundle came
	// into force.
	EndOffset uint64 `cbor:"5,keyasint,omitempty"`
}

// AttemptStateQuery asks an agent for the state of an attempt.
type AttemptStateQuery struct {
	Request     string `cbor:"1,keyasint"`
	Attempt     uint32 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Mark        uint64 `cbor:"4,keyasint,omitempty"`
	// Cancel asks the agent to end the attempt if that is safe: if the attempt is
	// still queued or may be repeated.
	Cancel bool `cbor:"5,keyasint,omitempty"`
}

// AttemptStateReply is the reply to an AttemptStateQuery.
type AttemptStateReply struct {
	// State is the text form of an endpoint.AttemptState.
	State string `cbor:"1,keyasint"`
}

// JobsQuery asks an entry of another data centre about a team's jobs.
type JobsQuery struct {
	Team string `cbor:"1,keyasint"`
	// ID selects one job; if it is empty, the query is for all jobs of the team.
	ID string `cbor:"2,keyasint,omitempty"`
	// UpToDate has the entry read the data centre's jobs stream to its end before it answers. A query for one job does
	// so if the entry does not know the job.
	UpToDate bool `cbor:"3,keyasint,omitempty"`
}

// JobsReply carries the jobs found.
type JobsReply struct {
	// Views holds the jobs in JSON, in the form that callers get.
	Views []byte `cbor:"1,keyasint"`
	// MovedTo is the data centre that the job selected by ID was moved to, or "".
	MovedTo string `cbor:"2,keyasint,omitempty"`
}

// DataCentreLoadQuery asks an entry of another data centre for the load of the services in that
// data centre.
type DataCentreLoadQuery struct{}

// DataCentreLoadReply holds the load of the services of a data centre.
type DataCentreLoadReply struct {
	Services []ServiceLoad `cbor:"1,keyasint,omitempty"`
	// RemoteEntryCount is the number of entries of other data centres, which may send
	// requests to this one.
	RemoteEntryCount int `cbor:"2,keyasint,omitempty"`
}

// ServiceLoad is the load of a service in a data centre, summed over its endpoints.
type ServiceLoad struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Slots    int
	InFlight int
}
