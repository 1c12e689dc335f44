package lease

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Decision is the decision to start a task or to refuse its start order, with the
// reason, for a log line.
type Decision struct {
	assignment record.AssignmentID
	name       string
	reason     string
}

// Assignment returns the assignment that the decision is about.
func (d Decision) Assignment() record.AssignmentID { return d.assignment }

// Name returns the name of the decision in the log line.
func (d Decision) Name() string { return d.name }

// Reason returns the reason for the decision.
func (d Decision) Reason() string { return d.reason }

// Apply applies the log reading in one entry's response to this round's heartbeat,
// and returns the decisions on its start orders. A draining worker starts no tasks.
func (h *Holder) Apply(now time.Time, r *LogReading, draining bool) []Decision {
	_, ownRound := h.uptimes[r.HeartbeatRound]
	if ownRound && h.initialPosition == 0 {
		h.initialPosition = r.NextPosition
	}
	stopped := make(map[record.AssignmentID]bool, len(r.Stop))
	for _, s := range r.Stop {
		stopped[s.Hold] = true
		h.applyStop(s)
	}
	if !ownRound {
		return nil
	}
	for id, t := range h.tasks {
		// The epoch of an assignment is its position in the log: a reading that
		// ends before that position says nothing about the task.
		if h.rules.implicitlyConfirmed(t.reported) && !stopped[id] && id.Epoch < r.NextPosition {
			t.confirmedRound = max(t.confirmedRound, r.HeartbeatRound)
		}
	}
	var out []Decision
	if h.reserveForEarlierProcess(r.Start) {
		h.rebuildLedger(now, h.ledger.Total())
	}
	for i := range r.Start {
		out = append(out, h.applyOrder(now, &r.Start[i], r.HeartbeatRound, draining)...)
	}
	return out
}

// applyStop applies a stop order: it marks a task as revoked, and as settled if the
// log has the task's end. A task that is not known and may not have started is reported as
// stopped.
func (h *Holder) applyStop(s StopOrder) {
	if t := h.tasks[s.Hold]; t != nil {
		t.revoked = true
		t.settled = t.settled || s.Settled
		return
	}
	if s.Settled {
		if _, ok := h.pendingReports[s.Hold]; ok {
			delete(h.pendingReports, s.Hold)
			h.settledRounds[s.Hold] = h.round
		}
		return
	}
	if h.initialPosition > 0 && s.Hold.Epoch >= h.initialPosition && !h.known(s.Hold) {
		h.reportStopped(s.Hold, "revoked before the start")
	}
}

// reserveForEarlierProcess reserves resources for the tasks of those start orders
// that an earlier process of this agent may have sent to the worker, and reports
// whether there are any. These tasks are not started again; a task that the
// worker lists continues, any other is reported as stopped after its longest lease.
func (h *Holder) reserveForEarlierProcess(orders []StartOrder) bool {
	found := false
	for i := range orders {
		o := &orders[i]
		if !h.rules.predates(o.Hold.Epoch, h.initialPosition) || o.Started || h.known(o.Hold) {
			continue
		}
		terms := TermsFromMS(o.Spec.TakeoverMS)
		h.tasks[o.Hold] = &heldTask{size: o.Spec.Size, terms: terms, maxLeaseEnd: terms.LeaseEnd(h.initialUptime)}
		found = true
	}
	return found
}

// known reports whether the holder has a task or a pending report for an assignment.
func (h *Holder) known(id record.AssignmentID) bool {
	_, pending := h.pendingReports[id]
	return pending || h.tasks[id] != nil
}

// applyOrder applies a start order from a log reading with the given heartbeat round.
func (h *Holder) applyOrder(now time.Time, o *StartOrder, round uint64, draining bool) []Decision {
	terms := TermsFromMS(o.Spec.TakeoverMS)
	leaseEnd := h.rules.leaseEnd(terms, h.uptimes[round], h.uptime)
	if t := h.tasks[o.Hold]; t != nil {
		if !t.listed && !t.revoked && t.confirmedRound > 0 && leaseEnd > h.uptime {
			t.startOrder, t.confirmedRound, t.maxLeaseEnd = o, max(t.confirmedRound, round), max(t.maxLeaseEnd, leaseEnd)
		}
		return nil
	}
	if _, ok := h.pendingReports[o.Hold]; ok || !h.ledger.Ready() || leaseEnd <= h.uptime {
		return nil
	}
	if settledRound, ok := h.settledRounds[o.Hold]; ok && h.rules.outdated(round, settledRound) {
		return nil
	}
	if reason := h.refusalReason(now, o, draining); reason != "" {
		h.reportStopped(o.Hold, reason)
		return []Decision{{assignment: o.Hold, name: "refuse-task", reason: reason}}
	}
	h.tasks[o.Hold] = &heldTask{size: o.Spec.Size, terms: terms, maxLeaseEnd: leaseEnd, confirmedRound: round, startOrder: o}
	return []Decision{{assignment: o.Hold, name: "start-task", reason: "the task is assigned to this worker and its resources are free"}}
}

// refusalReason returns why a start order is refused, or "".
func (h *Holder) refusalReason(now time.Time, o *StartOrder, draining bool) string {
	if o.Started {
		return "the worker has lost the task"
	}
	if draining {
		return "the worker is leaving"
	}
	if err := h.ledger.Admit(now, ledgerKey(o.Hold), o.Spec.Size); err != nil {
		return err.Error()
	}
	return ""
}
