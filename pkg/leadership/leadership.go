// Package leadership elects the dispatcher, the leader among the entries, and computes leases: when
// an entry may claim leadership, how long a dispatcher may act, and how long a worker may go on
// without contact with it.
//
// A claim is a record in the store that is appended only if the end of its topic has not moved,
// so that its offset gives each claim a term of its own. The current time is on a clock that
// also advances while the machine is suspended.
package leadership

import "time"

// Durations of leases and elections.
const (
	// WorkerLeaseDuration is the length of a worker lease, counted from the sending of a ping that the
	// dispatcher answered. The tasks of a lost worker are restarted only after it; long-running
	// tasks have to run again within six seconds of the loss.
	WorkerLeaseDuration = 5 * time.Second
	// LeaderLeaseDuration is the length of a leadership lease, counted from the sending of a write that
	// the store accepted under the dispatcher's term. It covers store outages of nine seconds.
	LeaderLeaseDuration = 10 * time.Second
	// ElectionTimeout is how long the dispatcher has to be silent before another entry claims
	// leadership: four missed pings.
	ElectionTimeout = 1200 * time.Millisecond
	// claimStagger separates the claims of entries of different rank: one claim takes about
	// 30 ms.
	claimStagger = 150 * time.Millisecond
	// schedulingSlack covers delays between reading a clock and acting on it.
	schedulingSlack = 200 * time.Millisecond
	// A duration divided by clockDriftDivisor is twice the largest error of a clock over that
	// duration, so that two clocks may err in opposite directions.
	clockDriftDivisor = 50
)

// withDrift returns how long to wait here until d has passed on any other clock.
func withDrift(d time.Duration) time.Duration { return d + d/clockDriftDivisor + schedulingSlack }

// WorkerLeaseEndsBy returns when everything on a worker has ended because its lease has expired, if its
// last ping that was answered arrived at lastContact and no later dispatcher has answered another
// since.
func WorkerLeaseEndsBy(lastContact time.Time) time.Time {
	return lastContact.Add(withDrift(WorkerLeaseDuration))
}

// Claim is the record of an entry's claim to leadership.
type Claim struct {
	// Term is the leadership term: one more than the offset of the record, and not part of it.
	Term uint64 `cbor:"-"`
	// Entry and Incarnation identify the process that claimed.
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the address at which other processes reach it.
	Address string `cbor:"3,keyasint"`
}

// Candidate decides at an entry whether it should claim leadership. The zero value knows of no
// dispatcher.
type Candidate struct {
	claim        Claim
	lastContact  time.Time
	clockStarted bool
	resigned     bool
}

// Claim returns the newest claim known; its term is 0 if there is none.
func (c *Candidate) Claim() Claim { return c.claim }

// LastContact returns the time of the last contact with the dispatcher.
func (c *Candidate) LastContact() time.Time { return c.lastContact }

// ObserveClaim takes in a claim and reports whether it is newer than the one known.
func (c *Candidate) ObserveClaim(now time.Time, claim Claim) bool {
	if claim.Term <= c.claim.Term {
		return false
	}
	c.claim, c.lastContact, c.clockStarted, c.resigned = claim, now, true, false
	return true
}

// NoteContact records an answer of the dispatcher of a term.
func (c *Candidate) NoteContact(now time.Time, term uint64) {
	if term == c.claim.Term {
		c.lastContact = now
	}
}

// NoteResigned records that the dispatcher of a term has resigned or is known to be dead.
func (c *Candidate) NoteResigned(term uint64) {
	if term == c.claim.Term {
		c.resigned = true
	}
}

// NoDispatcher reports whether no dispatcher is known.
func (c *Candidate) NoDispatcher() bool { return c.claim.Term == 0 || c.resigned }

// ShouldClaim reports whether to claim leadership now, and why. Entries of lower rank claim first;
// others is the number of other entries that had contact with the dispatcher lately.
func (c *Candidate) ShouldClaim(now time.Time, rank, others int) (claim bool, reason string) {
	if !c.clockStarted {
		c.clockStarted, c.lastContact = true, now
	}
	wait := time.Duration(rank) * claimStagger
	switch {
	case c.NoDispatcher():
		if now.Sub(c.lastContact) < wait && c.claim.Term == 0 {
			return false, "an entry of lower rank claims first"
		}
		return true, "there is no dispatcher"
	case now.Sub(c.lastContact) < ElectionTimeout+wait:
		return false, "the dispatcher was in contact recently"
	case others > 0:
		return false, "other entries are in contact with the dispatcher"
	}
	return true, "the dispatcher is silent"
}

// LeaderLease is the leadership lease of a dispatcher.
type LeaderLease struct {
	renewedAt time.Time
}

// Renew renews the lease with a write that was sent at the given time and that the store
// accepted under the dispatcher's term.
func (l *LeaderLease) Renew(sent time.Time) {
	if sent.After(l.renewedAt) {
		l.renewedAt = sent
	}
}

// LastRenewal returns when the newest such write was sent.
func (l *LeaderLease) LastRenewal() time.Time { return l.renewedAt }

// ConfirmsEnd reports whether the lease of a worker, which expires no later than by, has certainly
// expired. A later dispatcher may have extended it; a write that was sent no earlier than by and
// accepted under this dispatcher's term shows that there was none. The second result is set if
// only such a write is missing.
func (l *LeaderLease) ConfirmsEnd(now, by time.Time) (expired, needsWrite bool) {
	if now.Before(by) {
		return false, false
	}
	expired = !l.renewedAt.Before(by)
	return expired, !expired
}

// Valid reports whether the dispatcher may still extend the leases of workers.
func (l *LeaderLease) Valid(now time.Time) bool { return now.Sub(l.renewedAt) < LeaderLeaseDuration }

// Predecessor computes when nothing that an earlier dispatcher ordered can run any more on
// workers that have not reported to the present one.
type Predecessor struct {
	termBeganAt time.Time
	deadSince   time.Time
}

// TermBegan records that a term that replaces that of another process began at now.
func (p *Predecessor) TermBegan(now time.Time) { p.termBeganAt, p.deadSince = now, time.Time{} }

// NoteDead records that the earlier dispatcher is known not to act since now.
func (p *Predecessor) NoteDead(now time.Time) {
	if p.deadSince.IsZero() {
		p.deadSince = now
	}
}

// LeasesEndBy returns when the leases that an earlier dispatcher extended have expired on silent
// workers; zero if there was no earlier dispatcher.
func (p *Predecessor) LeasesEndBy() time.Time {
	if p.termBeganAt.IsZero() {
		return time.Time{}
	}
	at := p.termBeganAt.Add(withDrift(LeaderLeaseDuration + WorkerLeaseDuration))
	if dead := p.deadSince.Add(withDrift(WorkerLeaseDuration)); !p.deadSince.IsZero() && dead.Before(at) {
		return dead
	}
	return at
}

// WorkerLease is the lease of a worker, kept at the worker. The zero value has expired.
type WorkerLease struct {
	expiresAt time.Time
}

// Renew extends the lease after a ping that was sent at the given time has been answered.
func (l *WorkerLease) Renew(sent time.Time) {
	if expiry := sent.Add(WorkerLeaseDuration); expiry.After(l.expiresAt) {
		l.expiresAt = expiry
	}
}

// Remaining returns how long the lease still lasts.
func (l *WorkerLease) Remaining(now time.Time) time.Duration { return max(0, l.expiresAt.Sub(now)) }
