package lease

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Decision is what the holder made of one order or stop, for the log.
type Decision struct {
	hold   record.Hold
	name   string
	reason string
}

// Hold returns the task that was decided on.
func (d Decision) Hold() record.Hold { return d.hold }

// Name returns what was decided.
func (d Decision) Name() string { return d.name }

// Reason returns why.
func (d Decision) Reason() string { return d.reason }

// Follow takes in one entry's answer to this round's heartbeat. A leaving
// worker starts nothing.
func (h *Holder) Follow(now time.Time, r *Reading, leaving bool) []Decision {
	_, known := h.uptimes[r.Heard]
	if known && h.bornNext == 0 {
		h.bornNext = r.Next
	}
	stopped := make(map[record.Hold]bool, len(r.Stop))
	for _, s := range r.Stop {
		stopped[s.Hold] = true
		h.followStop(s)
	}
	if !known {
		return nil
	}
	for hold, t := range h.tasks {
		if h.rules.covered(t.reported) && !stopped[hold] && hold.Epoch < r.Next {
			t.fresh = max(t.fresh, r.Heard)
		}
	}
	var out []Decision
	if h.presume(r.Start) {
		h.rebuild(now, h.ledger.Total())
	}
	for i := range r.Start {
		out = append(out, h.followOrder(now, &r.Start[i], r.Heard, leaving)...)
	}
	return out
}

func (h *Holder) followStop(s Stop) {
	if t := h.tasks[s.Hold]; t != nil {
		t.revoked = true
		t.settled = t.settled || s.Settled
		return
	}
	if s.Settled {
		if _, ok := h.unlisted[s.Hold]; ok {
			delete(h.unlisted, s.Hold)
			h.gone[s.Hold] = h.round
		}
		return
	}
	if h.bornNext > 0 && s.Hold.Epoch >= h.bornNext && !h.known(s.Hold) {
		h.report(s.Hold, "revoked before the start")
	}
}

// presume keeps room for starts that the agent's predecessor may have sent, and
// reports whether there are any.
func (h *Holder) presume(orders []Order) bool {
	found := false
	for i := range orders {
		o := &orders[i]
		if !h.rules.predates(o.Hold.Epoch, h.bornNext) || o.Started || h.known(o.Hold) {
			continue
		}
		terms := FromMS(o.Spec.TakeoverMS)
		h.tasks[o.Hold] = &held{size: o.Spec.Size, terms: terms, until: terms.HoldAt(h.born)}
		found = true
	}
	return found
}

func (h *Holder) known(hold record.Hold) bool {
	_, unlisted := h.unlisted[hold]
	return unlisted || h.tasks[hold] != nil
}

func (h *Holder) followOrder(now time.Time, o *Order, heard uint64, leaving bool) []Decision {
	terms := FromMS(o.Spec.TakeoverMS)
	until := h.rules.holdAt(terms, h.uptimes[heard], h.uptime)
	if t := h.tasks[o.Hold]; t != nil {
		if !t.listed && !t.revoked && t.fresh > 0 && until > h.uptime {
			t.order, t.fresh, t.until = o, max(t.fresh, heard), max(t.until, until)
		}
		return nil
	}
	if _, ok := h.unlisted[o.Hold]; ok || !h.ledger.Ready() || until <= h.uptime {
		return nil
	}
	if round, ok := h.gone[o.Hold]; ok && h.rules.outdated(heard, round) {
		return nil
	}
	if reason := h.refusal(now, o, leaving); reason != "" {
		h.report(o.Hold, reason)
		return []Decision{{hold: o.Hold, name: "refuse-task", reason: reason}}
	}
	h.tasks[o.Hold] = &held{size: o.Spec.Size, terms: terms, until: until, fresh: heard, order: o}
	return []Decision{{hold: o.Hold, name: "start-task", reason: "assigned and there is room"}}
}

// refusal returns why an order is not followed, or "".
func (h *Holder) refusal(now time.Time, o *Order, leaving bool) string {
	if o.Started {
		return "the worker has lost the task"
	}
	if leaving {
		return "the worker is leaving"
	}
	if err := h.ledger.Admit(now, key(o.Hold), o.Spec.Size); err != nil {
		return err.Error()
	}
	return ""
}
