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
	// ErrNotRun means that the runner certainly did not and will not carry out a call: a run to
	// be started never runs.
	ErrNotRun = errors.New("the runner did not carry out the call")
	// ErrTicket means that the runner did not accept the ticket of the placement policy in a start.
	ErrTicket = errors.New("the runner did not accept the ticket")
	// ErrNotListening means that no runner listens, so all of its runs have ended.
	ErrNotListening = errors.New("no runner listens")
	// ErrNotSent means that a call was not sent, since its SendBefore had passed.
	ErrNotSent = errors.New("the call was not sent in time")
	// ErrNoAnswer means that a call may have taken effect, or may do so later.
	ErrNoAnswer = errors.New("the runner did not answer")
)

// Call holds the fields that all calls to the runner have in common.
type Call struct {
	// Instance is the instance ID of the runner that the call is for; any if empty.
	Instance string
	// Term is the term of the dispatcher. The runner rejects calls with a term lower than the
	// highest that it has seen.
	Term uint64
}

// RenewRequest is a call that renews the leases of all runs.
type RenewRequest struct {
	Call
	// LastAckedEnd is the number of the last run end that the dispatcher has stored; the runner may
	// forget the run ends up to it.
	LastAckedEnd uint64
	// LeaseEndMS is the new end of the leases, in milliseconds on the runner's clock; 0 renews
	// no lease.
	LeaseEndMS int64
	// MaxWait is how long the runner may delay its answer until a run ends.
	MaxWait time.Duration
	// SendBefore is the time on the agent's clock from which the call must not be sent any more; a zero time sets no
	// such limit. The runner may be in another life by then, to which LastAckedEnd and LeaseEndMS must not be sent.
	SendBefore time.Time
}

// Listing is the answer of a runner to the call that renews leases.
type Listing struct {
	// ClockMS is the reading of the runner's monotonic clock, in milliseconds.
	ClockMS int64
	// StartedAtMS is when the runner started, in Unix milliseconds. It identifies the life of the
	// runner, the time between two restarts.
	StartedAtMS uint64
	Runs        []dispatch.RunStatus
	// RunEnds are the run ends that have not been acknowledged to the runner.
	RunEnds []dispatch.RunEnd
	// MoreEnds is set if there may be further such run ends, with higher numbers.
	MoreEnds bool
}

// Runner holds the functions that call the runner of the agent's worker.
type Runner struct {
	// Start starts a run unless the runner's clock shows deadlineMS, in milliseconds, or later by then. The leases of all
	// runs at the runner last at least until deadlineMS. It returns the reading of that clock in the answer; 0 if the answer
	// has none.
	Start func(ctx context.Context, c Call, s *dispatch.Start, deadlineMS int64) (clockMS int64, err error)
	// Stop stops a run, or makes sure that it never starts.
	Stop func(ctx context.Context, c Call, task workflow.TaskID, run uint64) error
	// Renew renews the leases of all runs and lists them.
	Renew func(ctx context.Context, r RenewRequest) (*Listing, error)
	// SetPace sets the pace of a run, the speed to which the runner limits it, in percent of full
	// speed.
	SetPace func(ctx context.Context, c Call, task workflow.TaskID, run uint64, percent int) error
}

// PolicyAnswer is the answer of the placement policy service: which runners may run a step.
type PolicyAnswer struct {
	// Tickets are the tickets that starts must carry at the runners that may run the step, by the
	// instance ID of the runner.
	Tickets map[string]string
	// ValidFor is how long the tickets may be used.
	ValidFor time.Duration
}

// Heartbeat is what a runner sends about itself at regular intervals.
type Heartbeat struct {
	// Instance is the instance ID of the runner.
	Instance string
	// StartedAtMS is when the runner started, in Unix milliseconds.
	StartedAtMS uint64
	// Seq is the number of the heartbeat since the runner started.
	Seq uint64
	// Service is the service whose tasks the runner can run.
	Service  string
	Capacity worker.Resources
	Labels   []string
	Draining bool
}
