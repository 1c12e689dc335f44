// Package lease decides until when a task may run without confirmation from the
// replicated log, and from when another worker may take over the task.
//
// The log says which worker holds which task. An agent beside each worker sends
// heartbeats to the entries, the processes that read the log and accept jobs,
// and an entry's response relays what the log says about the worker.
//
// A lease is counted on the worker's own clock from a task listing that precedes
// the heartbeat, and an entry relays only log reads that began after the entry
// received that heartbeat. The takeover time is counted on the clock of the entry that
// revokes the task, from when that entry knew that the revocation was in the
// log. So the order of events bounds the age of a log reading, and the clocks of
// worker and entry need not be synchronised: only the errors of their rates have to
// be bounded.
package lease

import "time"

// MaxClockDrift is the largest relative error of a clock's rate.
const MaxClockDrift = 0.01

// Terms are the lease settings of one batch class.
type Terms struct {
	takeoverAfter time.Duration
}

// NewTerms returns terms under which a task may be taken over takeoverAfter after its
// revocation.
func NewTerms(takeoverAfter time.Duration) Terms { return Terms{takeoverAfter: takeoverAfter} }

// TermsFromMS returns terms whose takeover time is given in milliseconds.
func TermsFromMS(takeoverMS int64) Terms {
	return NewTerms(time.Duration(takeoverMS) * time.Millisecond)
}

// TakeoverAfter returns the time from a task's revocation to its takeover, without
// the allowance for clock drift.
func (t Terms) TakeoverAfter() time.Duration { return t.takeoverAfter }

// LeaseEnd returns the end of a lease on the worker's clock, when the task must
// stop making progress. uptime is a time on the worker's clock before the newest log
// reading that left the task in place began.
func (t Terms) LeaseEnd(uptime time.Duration) time.Duration {
	return uptime + time.Duration(float64(t.takeoverAfter)*(1-MaxClockDrift))
}

// TakeoverAt returns when a revoked task may be assigned again; revokeKnown is
// when its revocation was first known to be in the log.
func (t Terms) TakeoverAt(revokeKnown time.Time) time.Time {
	return revokeKnown.Add(time.Duration(float64(t.takeoverAfter) * (1 + MaxClockDrift)))
}
