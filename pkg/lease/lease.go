// Package lease decides until when a task may run without hearing from the
// log, and from when another worker may take it over.
//
// The holder counts on the worker's own clock from a listing that came before
// its heartbeat; an entry relays only log readings that began after it received
// that heartbeat. The taker counts on its clock from when it knew of its
// revocation. So the order of events bounds the age of a reading, and only the
// rates of the worker's and the taker's clocks must agree, within MaxDrift.
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

// FromMS returns terms whose takeover time is in milliseconds.
func FromMS(takeoverMS int64) Terms {
	return New(time.Duration(takeoverMS) * time.Millisecond)
}

// TakeoverAfter returns the nominal takeover time.
func (t Terms) TakeoverAfter() time.Duration { return t.takeoverAfter }

// HoldAt returns when, on the worker's clock, a task must stop making progress
// if the newest log reading that left it in place began after the worker's
// clock showed uptime.
func (t Terms) HoldAt(uptime time.Duration) time.Duration {
	return uptime + time.Duration(float64(t.takeoverAfter)*(1-MaxDrift))
}

// TakeoverAt returns when a revoked task may be assigned again, given when its
// revocation was first known to be in the log.
func (t Terms) TakeoverAt(revokeKnown time.Time) time.Time {
	return revokeKnown.Add(time.Duration(float64(t.takeoverAfter) * (1 + MaxDrift)))
}
