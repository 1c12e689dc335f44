package runneragent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Errors returned by the functions of Runner.
var (
	// ErrNotRun means that the runner certainly did not carry out a call: a start never runs.
	ErrNotRun = errors.New("the runner did not carry out the call")
	// ErrTicket means that the runner did not accept the ticket of the placement policy in a start.
	ErrTicket = errors.New("the runner did not accept the ticket")
	// ErrNotListening means that no runner listens, so all of its runs have ended.
	ErrNotListening = errors.New("no runner listens")
	// ErrNoAnswer means that a call may have taken effect, or may do so later.
	ErrNoAnswer = errors.New("the runner did not answer")
)

// Call holds the fields that all calls to the runner have in common.
type Call struct {
	// Instance is the instance name of the runner that the call is for; any if empty.
	Instance string
	// Term is the term of the dispatcher. The runner rejects calls with a lower term than it has seen.
	Term uint64
}

// RenewRequest is a call that renews the leases of all runs.
type RenewRequest struct {
	Call
	// AckedEnd is the number up to which the runner may forget run ends, since the dispatcher
	// has stored them.
	AckedEnd uint64
	// LeaseEndMS is the new end of the leases, in milliseconds on the runner's clock; 0 renews nothing.
	LeaseEndMS int64
	// MaxWait is how long the runner may delay its answer until a run ends.
	MaxWait time.Duration
}

// Listing is the answer of a runner to the call that renews leases.
type Listing struct {
	// ClockMS is the reading of the runner's monotonic clock, in milliseconds.
	ClockMS int64
	// StartedAtMS is when the runner started, in Unix milliseconds; it identifies the life.
	StartedAtMS uint64
	Runs        []dispatch.RunStatus
	RunEnds     []dispatch.RunEnd
}

// Runner holds the functions that call the runner of the agent's worker.
type Runner struct {
	// Start starts a run with a lease that ends at untilMS on the runner's clock.
	Start func(ctx context.Context, c Call, s *dispatch.Start, untilMS int64) error
	// Stop stops a run, or makes sure that it never starts.
	Stop func(ctx context.Context, c Call, task workflow.TaskID, run uint64) error
	// Renew renews the leases of all runs and lists them.
	Renew func(ctx context.Context, h RenewRequest) (*Listing, error)
	// SetPace limits a run to a percentage of full speed.
	SetPace func(ctx context.Context, c Call, task workflow.TaskID, run uint64, percent int) error
}

// PolicyAnswer is the answer of the placement policy service: which runners may run a step.
type PolicyAnswer struct {
	// Tickets are the tickets that starts at the allowed runners must carry, by instance name.
	Tickets map[string]string
	// ValidFor is how long the tickets may be used.
	ValidFor time.Duration
}

// Heartbeat is what a runner sends about itself at regular intervals.
type Heartbeat struct {
	Instance string
	// StartedAtMS is when the runner started, in Unix milliseconds.
	StartedAtMS uint64
	Seq         uint64
	Service     string
	Capacity    worker.Resources
	Labels      []string
	Draining    bool
}
