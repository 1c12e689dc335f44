package lease

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Rules are the rules of the lease protocol on which the safety of a Holder
// depends. A nil field stands for the rule of the protocol. Mutation tests
// replace them one by one, to prove that the protocol's checker finds the
// resulting violation.
type Rules struct {
	// LeaseEnd returns the end of a lease on the worker's clock. beforeReading and now
	// are that clock before the log reading began and at present.
	LeaseEnd func(t Terms, beforeReading, now time.Duration) time.Duration
	// Outdated reports whether a log reading with the given heartbeat round is
	// too old to start a task whose end the log has and that the holder dropped
	// in settledRound.
	Outdated func(round, settledRound uint64) bool
	// Predates reports whether an earlier process of this agent may have carried out
	// or refused the start order with the given epoch; initialPosition is the end of
	// the first log reading that this process received.
	Predates func(epoch, initialPosition record.Position) bool
	// Removable reports whether an ended task can be removed from the worker because
	// no start of the task can arrive there any more. Both times are on the worker's
	// clock.
	Removable func(now, maxLeaseEnd time.Duration) bool
	// ImplicitlyConfirmed decides about a task that a log reading names in neither a
	// start order nor a stop order: it reports whether the task stays at the worker
	// and its lease may be renewed. reported is set if this round's heartbeat named
	// the task.
	ImplicitlyConfirmed func(reported bool) bool
}

func (r *Rules) leaseEnd(t Terms, beforeReading, now time.Duration) time.Duration {
	if r.LeaseEnd != nil {
		return r.LeaseEnd(t, beforeReading, now)
	}
	return t.LeaseEnd(beforeReading)
}

func (r *Rules) outdated(round, settledRound uint64) bool {
	if r.Outdated != nil {
		return r.Outdated(round, settledRound)
	}
	return round <= settledRound
}

func (r *Rules) predates(epoch, initialPosition record.Position) bool {
	if r.Predates != nil {
		return r.Predates(epoch, initialPosition)
	}
	return epoch < initialPosition
}

func (r *Rules) removable(now, maxLeaseEnd time.Duration) bool {
	if r.Removable != nil {
		return r.Removable(now, maxLeaseEnd)
	}
	return now > maxLeaseEnd
}

func (r *Rules) implicitlyConfirmed(reported bool) bool {
	if r.ImplicitlyConfirmed != nil {
		return r.ImplicitlyConfirmed(reported)
	}
	return reported
}
