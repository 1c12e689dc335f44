package lease

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// ActionKind is the kind of a call that an agent makes to its worker.
type ActionKind uint8

// The kinds of action. Each is idempotent and is repeated until the worker's
// task listing shows its effect.
const (
	ActionStart ActionKind = iota + 1
	ActionRenew
	// ActionCheckpointStop saves a checkpoint of a task and then stops the task.
	ActionCheckpointStop
	ActionStop
	ActionRemove
	// ActionCheckpoint saves a checkpoint of a task, which keeps running.
	ActionCheckpoint
)

var actionNames = [...]string{"", "start", "renew", "checkpoint-and-stop", "stop", "remove", "checkpoint"}

// checkpointInterval is the time between two checkpoints of a running task.
const checkpointInterval = time.Minute

// String returns the name of the kind of action.
func (a ActionKind) String() string { return actionNames[a] }

// Action is one call to the worker.
type Action struct {
	kind       ActionKind
	assignment record.AssignmentID
	leaseEnd   time.Duration
	order      *StartOrder
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Assignment returns the assignment of the task that the action is for.
func (a Action) Assignment() record.AssignmentID { return a.assignment }

// LeaseEnd returns when the task's lease ends on the worker's clock. It is set for
// starts and renewals only.
func (a Action) LeaseEnd() time.Duration { return a.leaseEnd }

// Order returns the start order that an action of kind ActionStart carries out.
func (a Action) Order() *StartOrder { return a.order }

// Actions returns the calls to the worker that this round's listing and log
// readings require.
func (h *Holder) Actions() []Action {
	var out []Action
	for id, t := range h.tasks {
		if a, ok := h.nextAction(id, t); ok {
			out = append(out, a)
		}
		if h.checkpointDue(t) {
			out = append(out, Action{kind: ActionCheckpoint, assignment: id})
		}
	}
	slices.SortFunc(out, func(a, b Action) int {
		return cmp.Or(a.assignment.Compare(b.assignment), cmp.Compare(a.kind, b.kind))
	})
	return out
}

// nextAction returns the action that a task requires in this round, other than a
// periodic checkpoint, and whether it requires one.
func (h *Holder) nextAction(id record.AssignmentID, t *heldTask) (Action, bool) {
	a := Action{assignment: id, order: t.startOrder}
	switch {
	case !t.listed:
		a.kind, a.leaseEnd = ActionStart, t.maxLeaseEnd
		return a, t.startOrder != nil && !t.revoked
	case t.state.Ended():
		a.kind = ActionRemove
		// Until the task's longest lease has ended, a delayed start may still reach
		// the worker, and would run the task again if the task had been removed.
		return a, t.settled && h.rules.removable(h.uptime, t.maxLeaseEnd)
	case t.settled:
		a.kind = ActionStop
		return a, true
	case t.revoked:
		a.kind = ActionCheckpointStop
		return a, true
	}
	leaseEnd, ok := h.renewedLeaseEnd(t)
	a.kind, a.leaseEnd = ActionRenew, leaseEnd
	return a, ok
}

// checkpointDue reports whether a periodic checkpoint of a task is due. If it is,
// the interval to the next one begins now.
func (h *Holder) checkpointDue(t *heldTask) bool {
	if !t.listed || t.state.Ended() || t.revoked || h.uptime-t.checkpointRequestedAt < checkpointInterval {
		return false
	}
	t.checkpointRequestedAt = h.uptime
	return true
}

// renewedLeaseEnd returns the lease end that the newest log reading which
// confirmed the task allows, and whether it is later than the present lease end.
func (h *Holder) renewedLeaseEnd(t *heldTask) (time.Duration, bool) {
	uptime, ok := h.uptimes[t.confirmedRound]
	leaseEnd := h.rules.leaseEnd(t.terms, uptime, h.uptime)
	return leaseEnd, ok && t.confirmedRound > 0 && leaseEnd > t.leaseEnd
}
