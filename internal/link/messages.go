package link

import (
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Paths of the calls between processes.
const (
	// PathHeartbeat takes a Heartbeat and returns a Reading; at an entry.
	PathHeartbeat = "/peer/heartbeat"
	// PathBundle takes a BundleQuery and returns a BundleReply; at an entry or agent.
	PathBundle = "/peer/bundle"
	// PathSilence takes a SilenceQuery and returns a SilenceReply; at an entry.
	PathSilence = "/peer/silence"
	// PathJobs takes a JobsQuery and returns a JobsReply; at an entry.
	PathJobs = "/peer/jobs"
	// PathSums takes a SumsQuery and returns a SumsReply; at an entry.
	PathSums = "/peer/sums"
	// PathFate takes a FateQuery and returns a FateReply; at an agent.
	PathFate = "/peer/fate"
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
	// for, HeaderMark the newest mark that the entry has received from it; see
	// endpoint.DedupTable.
	HeaderIncarnation = "Savoryhoist-Incarnation"
	HeaderMark        = "Savoryhoist-Mark"
	// HeaderCallerTeam is the caller's team as authenticated by the entry.
	HeaderCallerTeam = "Savoryhoist-Caller-Team"
	// HeaderRefusal says why an agent refused an attempt; see the Refusal constants.
	HeaderRefusal = "Savoryhoist-Refusal"
	// HeaderLoad carries the endpoint's load with each response; see FormatLoad.
	HeaderLoad = "Savoryhoist-Load"
	// HeaderTook is the runner's service time, in microseconds.
	HeaderTook = "Savoryhoist-Took"
)

// Values of HeaderRefusal.
const (
	// RefusalLeaving means that the agent is draining.
	RefusalLeaving = "leaving"
	// RefusalFull means that the endpoint is fully loaded.
	RefusalFull = "full"
	// RefusalRunner means that the runner is missing or did not respond.
	RefusalRunner = "runner"
	// RefusalFate means that the attempt has already ended or may have run, and
	// that no response to it is stored.
	RefusalFate = "fate"
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
	Leaving     bool             `cbor:"8,keyasint,omitempty"`
	Ready       bool             `cbor:"9,keyasint,omitempty"`
	Total       worker.Resources `cbor:"10,keyasint"`
	Free        worker.Resources `cbor:"11,keyasint"`
	Tasks       []lease.Report   `cbor:"12,keyasint,omitempty"`
	// Primary asks this entry to record the task reports in the log.
	Primary bool `cbor:"13,keyasint,omitempty"`
	// Bundle is the digest of the agent's bundle, BundleVersion its version.
	Bundle        string `cbor:"14,keyasint,omitempty"`
	BundleVersion uint64 `cbor:"20,keyasint,omitempty"`
	// Same, if set, is the digest of the stable part of an earlier heartbeat. That
	// part has not changed and is left out of this heartbeat; see Sender.
	Same uint64 `cbor:"21,keyasint,omitempty"`
	// EntriesSeen is the digest of the list of entries that the receiver sent last.
	EntriesSeen uint64 `cbor:"22,keyasint,omitempty"`
	// Round is the number of the agent's heartbeat round.
	Round uint64 `cbor:"18,keyasint"`
	// InFlightLong, Reserved and Mark describe the endpoint; see endpoint.Report.
	InFlightLong int    `cbor:"15,keyasint,omitempty"`
	Reserved     int    `cbor:"16,keyasint,omitempty"`
	Mark         uint64 `cbor:"17,keyasint,omitempty"`
	// Pressure is the service's tail latency on this worker divided by its latency
	// objective.
	Pressure float64 `cbor:"30,keyasint,omitempty"`
	// Uses is the resource use of the worker's batch tasks by class.
	Uses []ClassUse `cbor:"31,keyasint,omitempty"`
}

// ClassUse is the resource use of all tasks of one batch class on a worker. The
// measurement lags behind.
type ClassUse struct {
	_     struct{} `cbor:",toarray"`
	Class string
	// Granted is the sum of the resources that the tasks requested.
	Granted worker.Resources
	Used    worker.Resources
}

// Reading is an entry's reply to a heartbeat.
type Reading struct {
	// Lease is what the entry's newest log read says about the agent's worker.
	Lease lease.LogReading `cbor:"1,keyasint"`
	// Bundle is the digest of the bundle in force.
	Bundle string `cbor:"5,keyasint,omitempty"`
	// Entries holds the addresses of the data centre's entries. It is empty if the
	// heartbeat's EntriesSeen is their digest.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// Leaving means that the entry is draining and should get no more heartbeats.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// BundleVersion is the version of Bundle; 0 if the entry does not report it.
	BundleVersion uint64 `cbor:"20,keyasint,omitempty"`
	// Resend asks for the whole heartbeat; the other fields are then ignored.
	Resend bool `cbor:"21,keyasint,omitempty"`
	// Compact means that the entry accepts heartbeats without the stable part.
	Compact bool `cbor:"22,keyasint,omitempty"`
	// PaceMS is the shortest time until the next heartbeat, in milliseconds.
	PaceMS int64 `cbor:"23,keyasint,omitempty"`
}

// SilenceQuery asks for the last contact with workers.
type SilenceQuery struct {
	Workers []string `cbor:"1,keyasint"`
}

// SilenceReply holds the workers that the entry had contact with lately. It is
// empty if the entry has not been able to read the log lately.
type SilenceReply struct {
	Heard []HeardWorker `cbor:"1,keyasint,omitempty"`
}

// HeardWorker is the time since the last contact with a worker.
type HeardWorker struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	AgoMS  int64
}

// BundleQuery asks for the bundle in force.
type BundleQuery struct {
	// Have is the digest of the bundle that the sender has. The reply may use that
	// bundle as a compression dictionary.
	Have string `cbor:"1,keyasint,omitempty"`
}

// BundleReply carries the bundle in force and the proof of it. It is empty if no
// bundle is in force.
type BundleReply struct {
	// Signed is the signed bundle.
	Signed []byte `cbor:"1,keyasint,omitempty"`
	// Lineage holds the earlier bundles that changed the operators' keys.
	Lineage [][]byte `cbor:"2,keyasint,omitempty"`
	// Packed is the signed bundle, compressed with the content of the bundle
	// with digest Base as dictionary. It is sent instead of Signed.
	Packed []byte `cbor:"3,keyasint,omitempty"`
	Base   string `cbor:"4,keyasint,omitempty"`
	// Covers is the exclusive end of the log prefix in which no newer bundle came
	// into force.
	Covers uint64 `cbor:"5,keyasint,omitempty"`
}

// FateQuery asks an agent for the state of an attempt.
type FateQuery struct {
	Request     string `cbor:"1,keyasint"`
	Attempt     uint32 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Mark        uint64 `cbor:"4,keyasint,omitempty"`
	// Cancel also ends the attempt if that is safe: if it is still queued or may
	// be repeated.
	Cancel bool `cbor:"5,keyasint,omitempty"`
}

// FateReply is the reply to a FateQuery.
type FateReply struct {
	// Fate is the text form of an endpoint.AttemptState.
	Fate string `cbor:"1,keyasint"`
}

// JobsQuery asks an entry of another data centre about a team's jobs.
type JobsQuery struct {
	Team string `cbor:"1,keyasint"`
	// ID selects one job; if empty, the query is for all jobs of the team.
	ID string `cbor:"2,keyasint,omitempty"`
}

// JobsReply carries the jobs found.
type JobsReply struct {
	// Views holds the jobs in JSON, in the form that callers get.
	Views []byte `cbor:"1,keyasint"`
	// MovedTo is the data centre that continues the job asked for, or "".
	MovedTo string `cbor:"2,keyasint,omitempty"`
}

// SumsQuery asks an entry of another data centre for the load of the services there.
type SumsQuery struct{}

// SumsReply holds the load of the services of a data centre.
type SumsReply struct {
	Services []ServiceSum `cbor:"1,keyasint,omitempty"`
	// Askers is the number of entries of other data centres, which may send
	// requests to this one.
	Askers int `cbor:"2,keyasint,omitempty"`
}

// ServiceSum is the load of a service in a data centre, summed over its endpoints.
type ServiceSum struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Slots    int
	InFlight int
}
