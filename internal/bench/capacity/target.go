// Package capacity measures what each worker, job, task, heartbeat and request costs
// entries and agents, and computes the cost at the target size.
package capacity

// The size that the system is designed for.
const (
	targetWorkers         = 1400
	targetDataCentres     = 7
	targetEndpoints       = 3100
	targetTasks           = 7500
	targetJobsPerDay      = 23000
	targetStartsPerSecond = 300 // at the peak
	targetTeams           = 180
	targetBundlesPerDay   = 2200
	// entriesPerDataCentre is the number of entries in each data centre.
	entriesPerDataCentre = 9
	// entriesPerAgent is the number of entries to which an agent sends heartbeats.
	entriesPerAgent = 3
	// membershipRecordsPerSecond is the number of records per second with which one entry
	// refreshes its membership.
	membershipRecordsPerSecond = 0.1
	// recordsPerTask counts the records of a one-task job that runs once: submit,
	// assign, started, finished.
	recordsPerTask = 4
	// endedJobRetentionHours is how long ended jobs are kept in an entry's state.
	endedJobRetentionHours = 24
)

// Limits of one node's costs. maxAppendsPerSecond is the limit for all streams together.
const (
	maxCores            = 0.046
	maxMemoryBytes      = 32 << 20
	maxBytesPerSecond   = 18 << 10
	maxAppendsPerSecond = 300
)

// TargetCost is a cost at the target size, one line of the capacity page. Bound is the limit of
// the cost, or 0 if there is none; Holds is set if the cost is within the limit.
type TargetCost struct {
	Role  string `json:"role"`
	What  string `json:"what"`
	Unit  string `json:"unit"`
	Value Figure `json:"value"`
	Bound Figure `json:"bound"`
	Holds bool   `json:"holds"`
	// How says from which measured costs and numbers the value was computed.
	How string `json:"how"`
}

// newTargetCost returns the cost of a role at the target size, value, with its limit,
// bound.
func newTargetCost(role, what, unit string, value, bound float64, how string) TargetCost {
	return TargetCost{
		Role: role, What: what, Unit: unit, Value: Figure(value), Bound: Figure(bound),
		Holds: bound == 0 || value <= bound, How: how,
	}
}
