package lease

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Rules are the rules on which the safety of a Holder rests. A nil field stands
// for the rule of the protocol. A check of the protocol replaces them one by
// one, to prove that it finds what then goes wrong.
type Rules struct {
	// HoldAt returns the end of a lease, given what the worker's clock showed
	// before the reading began and what it shows now.
	HoldAt func(t Terms, reading, now time.Duration) time.Duration
	// Outdated reports whether a reading that had heard a round cannot start a
	// task that was last known in round gone.
	Outdated func(heard, gone uint64) bool
	// Predates reports whether an order may have been refused by a predecessor.
	Predates func(epoch, bornNext record.Position) bool
	// Removable reports whether no start of an ended task can still arrive.
	Removable func(now, until time.Duration) bool
	// Covered reports whether a reading that does not name a task leaves it in
	// place, given whether the heartbeat named it.
	Covered func(reported bool) bool
}

func (r *Rules) holdAt(t Terms, reading, now time.Duration) time.Duration {
	if r.HoldAt != nil {
		return r.HoldAt(t, reading, now)
	}
	return t.HoldAt(reading)
}

func (r *Rules) outdated(heard, gone uint64) bool {
	if r.Outdated != nil {
		return r.Outdated(heard, gone)
	}
	return heard <= gone
}

func (r *Rules) predates(epoch, bornNext record.Position) bool {
	if r.Predates != nil {
		return r.Predates(epoch, bornNext)
	}
	return epoch < bornNext
}

func (r *Rules) removable(now, until time.Duration) bool {
	if r.Removable != nil {
		return r.Removable(now, until)
	}
	return now > until
}

func (r *Rules) covered(reported bool) bool {
	if r.Covered != nil {
		return r.Covered(reported)
	}
	return reported
}
