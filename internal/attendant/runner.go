package attendant

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
	// ErrNotRun means that the runner certainly did not take a start.
	ErrNotRun = errors.New("the runner did not take the order")
	// ErrTicket means that the runner did not accept the ticket of a start.
	ErrTicket = errors.New("the runner did not accept the ticket")
	// ErrGone means that no runner listens: what it ran has ended.
	ErrGone = errors.New("no runner listens")
	// ErrNoAnswer means that a call may have taken effect, or still may.
	ErrNoAnswer = errors.New("the runner did not answer")
)

// Call is what every call to the runner carries.
type Call struct {
	// Instance is the runner's name of its present life; "" is any.
	Instance string
	// Term is the dispatcher's; the runner does nothing for a lower one than it has seen.
	Term uint64
}

// Hold is a call that extends the lease of everything that runs.
type Hold struct {
	Call
	// Noted is up to which end the runner may forget.
	Noted uint64
	// UntilMS is the lease's end on the runner's clock; 0 extends nothing.
	UntilMS int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Listing is a runner's answer to a Hold.
type Listing struct {
	// ClockMS is the runner's steady clock.
	ClockMS int64
	// Born tells the runner's lives apart: when this one began, in Unix milliseconds.
	Born uint64
	Rows []dispatch.Row
	Ends []dispatch.End
}

// Runner holds the calls to the runner beside the agent.
type Runner struct {
	// Start starts a task, until a time on the runner's clock.
	Start func(ctx context.Context, c Call, s *dispatch.Start, untilMS int64) error
	// Stop stops a run, or makes sure that it never starts.
	Stop func(ctx context.Context, c Call, task workflow.TaskID, run uint64) error
	Hold func(ctx context.Context, h Hold) (*Listing, error)
	// Pace lets a task work at a percentage.
	Pace func(ctx context.Context, c Call, task workflow.TaskID, run uint64, percent int) error
}

// Advice says which runners may run a step.
type Advice struct {
	// Tickets are what starts at the runners that are allowed must carry, by instance.
	Tickets map[string]string
	// Valid is how long they may be used.
	Valid time.Duration
}

// Announcement is a runner's heartbeat.
type Announcement struct {
	Instance string
	// Born is when this life began, in Unix milliseconds.
	Born     uint64
	Seq      uint64
	Service  string
	Capacity worker.Resources
	Labels   []string
	Draining bool
}
