// Package lease computes until when a task may run without hearing from the
// log, and from when another worker may take it over.
//
// The holder counts from the start of a log read that showed no revocation;
// the taker counts from the acknowledgement of its revocation. Both use only
// their own monotonic clock, so only the rates of clocks must agree, within
// MaxDrift.
package lease

import "time"

// MaxDrift bounds the relative error of a clock's rate.
const MaxDrift = 0.01

// Terms are the lease settings of one batch class.
type Terms struct {
	takeoverAfter time.Duration
}

// New returns terms under which a task is taken over takeoverAfter its revocation.
func New(takeoverAfter time.Duration) Terms { return Terms{takeoverAfter: takeoverAfter} }

// TakeoverAfter returns the nominal takeover time.
func (t Terms) TakeoverAfter() time.Duration { return t.takeoverAfter }

// HoldAt returns when a holder must stop running a task if the newest log
// reading that left the task in place began at readingBegan.
func (t Terms) HoldAt(readingBegan time.Time) time.Time {
	return readingBegan.Add(time.Duration(float64(t.takeoverAfter) * (1 - MaxDrift)))
}

// TakeoverAt returns when a revoked task may be assigned again, given when the
// revocation's append was acknowledged, or when it was first read.
func (t Terms) TakeoverAt(revokeKnown time.Time) time.Time {
	return revokeKnown.Add(time.Duration(float64(t.takeoverAfter) * (1 + MaxDrift)))
}

// ReadingBegan returns the latest moment, on the asker's clock, at which a
// reading can have begun: the reply gave its age, and the question was sent at
// askedAt.
func ReadingBegan(askedAt time.Time, age time.Duration) time.Time {
	return askedAt.Add(-time.Duration(float64(age) * (1 + MaxDrift)))
}
