package leadership

import "time"

// Bounds on what an order may rest on.
const (
	// MaxStoreContactAge is how long after the store has last answered a dispatcher a start that it orders may be sent to a
	// runner while the store serves others.
	MaxStoreContactAge = 2400 * time.Millisecond
	// MaxOrderAge is how long after the newest proof that no later term had begun an order may be sent to a runner.
	MaxOrderAge = 800 * time.Millisecond
	// cancellationHoldsAfter is how long after the store has last answered a dispatcher a start that it orders may take
	// effect while the store serves others. Another entry may have acknowledged the cancellation of the job since, which has
	// to hold after three seconds.
	cancellationHoldsAfter = 3 * time.Second
	// endHoldsAfter is how long after the newest proof that no later term had begun a start may take effect. A later
	// dispatcher may have acknowledged the end of the task's run since, which has to hold after a second.
	endHoldsAfter = time.Second
)

// OrderBasis is what a message of the dispatcher proves of its term, on the clock of the agent that received it. The zero
// value proves nothing.
type OrderBasis struct {
	// contactAt is a time since which the store has answered the dispatcher.
	contactAt time.Time
	// confirmedAt is a time at which no later term had begun.
	confirmedAt time.Time
	// sentAt is a time before which the message was not sent. second is set if it orders a second run of a task.
	sentAt time.Time
	second bool
}

// NewOrderBasis returns the basis of a message that was sent after the given time. It says how long before its sending the
// store had last answered the dispatcher, and how long before the newest write was sent that the store accepted under the
// dispatcher's term.
func NewOrderBasis(sentAfter time.Time, contactAge, confirmedAge time.Duration) OrderBasis {
	return OrderBasis{contactAt: sentAfter.Add(-max(0, contactAge)), confirmedAt: sentAfter.Add(-max(0, confirmedAge)), sentAt: sentAfter}
}

// ForSecondRun returns the basis for the start of a run of a task that may have another run. The dispatcher itself may have
// acknowledged the end of that one since it sent the order.
func (b OrderBasis) ForSecondRun() OrderBasis {
	b.second = true
	return b
}

// TermCheck is what an agent's own reads of the newest claim have shown of the term that it serves. The zero value knows of
// no read.
type TermCheck struct {
	// currentAt is when the newest read was sent that showed no later claim, failedAt when the newest read failed.
	currentAt time.Time
	failedAt  time.Time
}

// NoteCurrent records that a read which was sent at the given time has shown no later claim.
func (c *TermCheck) NoteCurrent(sent time.Time) {
	if sent.After(c.currentAt) {
		c.currentAt = sent
	}
}

// NoteFailure records that a read has failed.
func (c *TermCheck) NoteFailure(now time.Time) { c.failedAt = now }

// isCurrent reports whether the agent has found lately that there is no later claim.
func (c *TermCheck) isCurrent(now time.Time) bool { return now.Sub(c.currentAt) <= MaxOrderAge }

// Fails reports whether the store has failed the agent lately, and has not answered since.
func (c *TermCheck) Fails(now time.Time) bool {
	return c.failedAt.After(c.currentAt) && now.Sub(c.failedAt) <= MaxOrderAge
}

// ConfirmedAge returns the age of the newest proof that no later term had begun.
func (b OrderBasis) ConfirmedAge(now time.Time) time.Duration { return now.Sub(b.confirmedAt) }

// Confirmed reports whether that proof is recent enough for an order to take effect.
func (b OrderBasis) Confirmed(now time.Time) bool { return b.ConfirmedAge(now) <= MaxOrderAge }

// OrderDecision is what an agent does with an order.
type OrderDecision uint8

// The decisions.
const (
	// OrderCheck means that the agent has to read the newest claim before it decides.
	OrderCheck OrderDecision = iota
	OrderProceed
	// OrderRefuse means that the dispatcher may not know what the store has taken.
	OrderRefuse
	// OrderOutdated means that the order has been under way for too long.
	OrderOutdated
)

// DecideStart decides about a start that would take effect now. If the store fails the dispatcher and the agent alike, it
// presumably fails everybody: nothing that the dispatcher does not know can be acknowledged, and work goes on. If it serves
// the agent, other entries may have acknowledged what the dispatcher has not heard of.
func (b OrderBasis) DecideStart(now time.Time, check *TermCheck) OrderDecision {
	if b.second && now.Sub(b.sentAt) > MaxOrderAge {
		return OrderOutdated
	}
	decision := b.DecideStop(now, check)
	if decision == OrderProceed && now.Sub(b.contactAt) > MaxStoreContactAge && !check.Fails(now) {
		if check.isCurrent(now) {
			return OrderRefuse
		}
		return OrderCheck
	}
	return decision
}

// StartDeadline returns the time before which a start that may be sent now has to take effect.
func (b OrderBasis) StartDeadline(now time.Time, check *TermCheck) time.Time {
	proof := later(b.confirmedAt, check.currentAt)
	if check.Fails(now) {
		proof = later(proof, check.failedAt)
	}
	if b.second {
		proof = earlier(proof, b.sentAt)
	}
	if check.Fails(now) {
		return proof.Add(endHoldsAfter)
	}
	return earlier(proof.Add(endHoldsAfter), b.contactAt.Add(cancellationHoldsAfter))
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// earlier returns the earlier of two times.
func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// DecideStop decides about a stop that would take effect now: it needs a proof that the term was the newest a moment ago, or
// a store that fails the agent.
func (b OrderBasis) DecideStop(now time.Time, check *TermCheck) OrderDecision {
	if b.Confirmed(now) || check.isCurrent(now) || check.Fails(now) {
		return OrderProceed
	}
	return OrderCheck
}
