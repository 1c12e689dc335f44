package lease

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Act is the kind of a call that an agent makes to its worker.
type Act uint8

// The kinds of action. Each is idempotent and is repeated until the worker's
// task listing shows its effect.
const (
	ActStart Act = iota + 1
	ActRenew
	// ActCheckpointStop saves a checkpoint of a task and stops it.
	ActCheckpointStop
	ActStop
	ActRemove
	// ActCheckpoint saves a checkpoint of a task, which keeps running.
	ActCheckpoint
)

var actionNames = [...]string{"", "start", "renew", "checkpoint-and-stop", "stop", "remove", "checkpoint"}

// checkpointInterval is the time between two checkpoints of a running task.
const checkpointInterval = time.Minute

// String returns the name of the kind of action.
func (a Act) String() string { return actionNames[a] }

// Action is one call to the worker.
type Action struct {
	kind       Act
	assignment record.Hold
	leaseEnd   time.Duration
	order      *Order
}

// Act returns the kind of the action.
func (a Action) Act() Act { return a.kind }

// Hold returns the assignment of the task that the action is for.
func (a Action) Hold() record.Hold { return a.assignment }

// Until returns when the lease ends on the worker's clock. It is set for starts
// and renewals only.
func (a Action) Until() time.Duration { return a.leaseEnd }

// Order returns the order that a start carries out.
func (a Action) Order() *Order { return a.order }

// Actions returns the calls to the worker that this round's listing and log
// readings require.
func (h *Holder) Actions() []Action {
	var out []Action
	for id, t := range h.tasks {
		if a, ok := h.nextAction(id, t); ok {
			out = append(out, a)
		}
		if h.checkpointDue(t) {
			out = append(out, Action{kind: ActCheckpoint, assignment: id})
		}
	}
	slices.SortFunc(out, func(a, b Action) int {
		return cmp.Or(a.assignment.Compare(b.assignment), cmp.Compare(a.kind, b.kind))
	})
	return out
}

func (h *Holder) nextAction(id record.Hold, t *heldTask) (Action, bool) {
	a := Action{assignment: id, order: t.startOrder}
	switch {
	case !t.listed:
		a.kind, a.leaseEnd = ActStart, t.maxLeaseEnd
		return a, t.startOrder != nil && !t.revoked
	case t.state.Ended():
		a.kind = ActRemove
		// Until its longest lease has ended, a delayed start may still reach the
		// worker, and would run the task again if it had been removed.
		return a, t.settled && h.rules.removable(h.uptime, t.maxLeaseEnd)
	case t.settled:
		a.kind = ActStop
		return a, true
	case t.revoked:
		a.kind = ActCheckpointStop
		return a, true
	}
	leaseEnd, ok := h.renewedLeaseEnd(t)
	a.kind, a.leaseEnd = ActRenew, leaseEnd
	return a, ok
}

// checkpointDue reports whether a checkpoint of a task is due, and counts the
// next interval from now if it is.
func (h *Holder) checkpointDue(t *heldTask) bool {
	if !t.listed || t.state.Ended() || t.revoked || h.uptime-t.checkpointRequestedAt < checkpointInterval {
		return false
	}
	t.checkpointRequestedAt = h.uptime
	return true
}

// renewedLeaseEnd returns the lease end that the newest log reading which
// confirmed the task allows, and whether that extends the lease.
func (h *Holder) renewedLeaseEnd(t *heldTask) (time.Duration, bool) {
	uptime, ok := h.uptimes[t.confirmedRound]
	leaseEnd := h.rules.leaseEnd(t.terms, uptime, h.uptime)
	return leaseEnd, ok && t.confirmedRound > 0 && leaseEnd > t.leaseEnd
}
