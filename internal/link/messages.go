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

// Headers of callers' requests between entry and agent, and of the answers.
const (
	HeaderRequest  = "Savoryhoist-Request-Id"
	HeaderAttempt  = "Savoryhoist-Attempt"
	HeaderClass    = "Savoryhoist-Class"
	HeaderDeadline = "Savoryhoist-Deadline"
	HeaderRepeat   = "Savoryhoist-Repeat"
	HeaderOutcome  = "Savoryhoist-Outcome"
	// HeaderIncarnation and HeaderMark say which agent an attempt is meant for
	// and the newest mark that its entry had heard of it.
	HeaderIncarnation = "Savoryhoist-Incarnation"
	HeaderMark        = "Savoryhoist-Mark"
	// HeaderCallerTeam is the team that the entry found the caller to be.
	HeaderCallerTeam = "Savoryhoist-Caller-Team"
	// HeaderRefusal says why an agent refused an attempt; see the Refusal constants.
	HeaderRefusal = "Savoryhoist-Refusal"
	// HeaderLoad carries the endpoint's load with each answer; see FormatLoad.
	HeaderLoad = "Savoryhoist-Load"
	// HeaderTook is how long the runner took, in microseconds.
	HeaderTook = "Savoryhoist-Took"
)

// Values of HeaderRefusal.
const (
	RefusalLeaving = "leaving"
	RefusalFull    = "full"
	RefusalRunner  = "runner"
	RefusalFate    = "fate"
)

// Heartbeat is what an agent says about its endpoint and worker.
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
	// Primary asks this entry to record the reports in the log.
	Primary bool   `cbor:"13,keyasint,omitempty"`
	Bundle  string `cbor:"14,keyasint,omitempty"`
	// BundleVersion is the version of Bundle.
	BundleVersion uint64 `cbor:"20,keyasint,omitempty"`
	// Same, if set, is the digest of an earlier heartbeat: what it said and
	// this one leaves out has not changed.
	Same uint64 `cbor:"21,keyasint,omitempty"`
	// EntriesSeen is the digest of the entries that the receiver named last.
	EntriesSeen uint64 `cbor:"22,keyasint,omitempty"`
	// Round counts the agent's heartbeats.
	Round uint64 `cbor:"18,keyasint"`
	// InFlightLong, Reserved and Mark describe the endpoint; see endpoint.Report.
	InFlightLong int    `cbor:"15,keyasint,omitempty"`
	Reserved     int    `cbor:"16,keyasint,omitempty"`
	Mark         uint64 `cbor:"17,keyasint,omitempty"`
	// Pressure is the service's tail latency there divided by its objective.
	Pressure float64 `cbor:"30,keyasint,omitempty"`
	// Uses is what batch tasks use, by class.
	Uses []ClassUse `cbor:"31,keyasint,omitempty"`
}

// ClassUse is what the tasks of one batch class use on a worker, some time ago.
type ClassUse struct {
	_     struct{} `cbor:",toarray"`
	Class string
	// Granted is the sum of what the tasks asked for.
	Granted worker.Resources
	Used    worker.Resources
}

// Reading is an entry's answer to a heartbeat.
type Reading struct {
	// Lease is what the log says about the agent's worker.
	Lease  lease.LogReading `cbor:"1,keyasint"`
	Bundle string           `cbor:"5,keyasint,omitempty"`
	// Entries are the addresses of the data centre's entries.
	Entries []string `cbor:"6,keyasint,omitempty"`
	// Leaving entries should not be asked again.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// BundleVersion is the version of Bundle; 0 if the entry does not say.
	BundleVersion uint64 `cbor:"20,keyasint,omitempty"`
	// Resend asks for the whole heartbeat; nothing else in the reading counts.
	Resend bool `cbor:"21,keyasint,omitempty"`
	// Compact entries take heartbeats that leave out what has not changed.
	Compact bool `cbor:"22,keyasint,omitempty"`
	// PaceMS is the least time to the next heartbeat, in milliseconds.
	PaceMS int64 `cbor:"23,keyasint,omitempty"`
}

// SilenceQuery asks when workers were heard.
type SilenceQuery struct {
	Workers []string `cbor:"1,keyasint"`
}

// SilenceReply names the workers that were heard lately by an entry that could
// also read the log lately.
type SilenceReply struct {
	Heard []HeardWorker `cbor:"1,keyasint,omitempty"`
}

// HeardWorker is how long ago a worker was heard.
type HeardWorker struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	AgoMS  int64
}

// BundleQuery asks for the bundle in force.
type BundleQuery struct {
	// Have is the digest of the bundle that the asker has; the answer may refer to it.
	Have string `cbor:"1,keyasint,omitempty"`
}

// BundleReply carries the bundle in force and what proves it; it is empty if
// there is none.
type BundleReply struct {
	// Signed is the signed bundle.
	Signed []byte `cbor:"1,keyasint,omitempty"`
	// Lineage holds the earlier bundles that changed the operators.
	Lineage [][]byte `cbor:"2,keyasint,omitempty"`
	// Packed is the signed bundle, compressed with the content of the bundle
	// with digest Base as dictionary. It stands in place of Signed.
	Packed []byte `cbor:"3,keyasint,omitempty"`
	Base   string `cbor:"4,keyasint,omitempty"`
	// Covers is the log offset before which nothing newer was in force.
	Covers uint64 `cbor:"5,keyasint,omitempty"`
}

// FateQuery asks what became of an attempt.
type FateQuery struct {
	Request     string `cbor:"1,keyasint"`
	Attempt     uint32 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Mark        uint64 `cbor:"4,keyasint,omitempty"`
	// Cancel also ends the attempt where that is safe: it waits, or may be repeated.
	Cancel bool `cbor:"5,keyasint,omitempty"`
}

// FateReply says what became of an attempt.
type FateReply struct {
	Fate string `cbor:"1,keyasint"`
}

// JobsQuery asks an entry of another data centre about a team's jobs.
type JobsQuery struct {
	Team string `cbor:"1,keyasint"`
	// ID asks for one job; empty asks for all.
	ID string `cbor:"2,keyasint,omitempty"`
}

// JobsReply carries the jobs found.
type JobsReply struct {
	// Views is the JSON form of the jobs, as callers get it.
	Views []byte `cbor:"1,keyasint"`
	// MovedTo is the data centre in which the job asked for goes on, or "".
	MovedTo string `cbor:"2,keyasint,omitempty"`
}

// SumsQuery asks what the services of a data centre can take.
type SumsQuery struct{}

// SumsReply says what the services of a data centre can take.
type SumsReply struct {
	Services []ServiceSum `cbor:"1,keyasint,omitempty"`
	// Askers is the number of entries elsewhere that may send requests here.
	Askers int `cbor:"2,keyasint,omitempty"`
}

// ServiceSum is the sum over a service's endpoints in a data centre.
type ServiceSum struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Slots    int
	InFlight int
}
