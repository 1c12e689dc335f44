package lease

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Act names what an agent asks of its worker.
type Act uint8

// The acts. Each is idempotent and is repeated until a listing shows its effect.
const (
	ActStart Act = iota + 1
	ActRenew
	// ActCheckpointStop saves a task's progress and ends it.
	ActCheckpointStop
	ActStop
	ActRemove
	// ActCheckpoint saves a task's progress while it runs on.
	ActCheckpoint
)

var actNames = [...]string{"", "start", "renew", "checkpoint-and-stop", "stop", "remove", "checkpoint"}

// checkpointEvery is how often a running task's progress is saved.
const checkpointEvery = time.Minute

// String returns the act's name.
func (a Act) String() string { return actNames[a] }

// Action is one call to the worker.
type Action struct {
	act   Act
	hold  record.Hold
	until time.Duration
	order *Order
}

// Act returns what is to be done.
func (a Action) Act() Act { return a.act }

// Hold returns the task it is done to.
func (a Action) Hold() record.Hold { return a.hold }

// Until returns the lease's end on the worker's clock, of a start or renewal.
func (a Action) Until() time.Duration { return a.until }

// Order returns the order that a start follows.
func (a Action) Order() *Order { return a.order }

// Actions returns what this round's readings call for.
func (h *Holder) Actions() []Action {
	var out []Action
	for hold, t := range h.tasks {
		if a, ok := h.action(hold, t); ok {
			out = append(out, a)
		}
		if h.checkpointDue(t) {
			out = append(out, Action{act: ActCheckpoint, hold: hold})
		}
	}
	slices.SortFunc(out, func(a, b Action) int {
		return cmp.Or(a.hold.Compare(b.hold), cmp.Compare(a.act, b.act))
	})
	return out
}

func (h *Holder) action(hold record.Hold, t *held) (Action, bool) {
	a := Action{hold: hold, order: t.order}
	switch {
	case !t.listed:
		a.act, a.until = ActStart, t.until
		return a, t.order != nil && !t.revoked
	case t.state.Ended():
		a.act = ActRemove
		// An earlier start of the task may still reach the worker until then.
		return a, t.settled && h.rules.removable(h.uptime, t.until)
	case t.settled:
		a.act = ActStop
		return a, true
	case t.revoked:
		a.act = ActCheckpointStop
		return a, true
	}
	until, ok := h.renewal(t)
	a.act, a.until = ActRenew, until
	return a, ok
}

// checkpointDue reports whether a task's progress is to be saved now, and notes it.
func (h *Holder) checkpointDue(t *held) bool {
	if !t.listed || t.state.Ended() || t.revoked || h.uptime-t.saved < checkpointEvery {
		return false
	}
	t.saved = h.uptime
	return true
}

// renewal returns how far the newest reading extends a task's lease.
func (h *Holder) renewal(t *held) (time.Duration, bool) {
	uptime, ok := h.uptimes[t.fresh]
	until := h.rules.holdAt(t.terms, uptime, h.uptime)
	return until, ok && t.fresh > 0 && until > t.lease
}
