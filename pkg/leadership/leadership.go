// Package leadership elects the dispatcher, the leader among the entries, and computes leases: when
// an entry may claim leadership, how long a dispatcher may act, and how long a worker may go on
// without contact with the dispatcher.
//
// A claim is a record that the store appends only if the end of the topic has not moved. The
// offset of the record determines the term of the claim, so no two claims share a term. All times
// are on the process's own clock, which also advances while the machine is suspended.
package leadership

import "time"

// Durations of leases and elections.
const (
	// WorkerLeaseDuration is the length of a worker lease, counted from the sending of a ping that the
	// dispatcher answered. The tasks of a lost worker are restarted only after this
	// time; long-running tasks have to run again within six seconds of the loss.
	WorkerLeaseDuration = 5 * time.Second
	// LeaderLeaseDuration is the length of a leadership lease, counted from the sending of a write that
	// the store accepted under the dispatcher's term. It covers store outages of nine seconds. The lease is valid for longer than
	// SoloLeaseDuration only while all followers are heard.
	LeaderLeaseDuration = 10 * time.Second
	// ElectionTimeout is how long an entry must have had no contact with the dispatcher in order
	// to claim leadership: four missed pings.
	ElectionTimeout = 1200 * time.Millisecond
	// claimStagger is the time between the claims of entries of successive ranks: one claim
	// takes about 30 ms. The entries from rank maxStaggeredRank on claim together.
	claimStagger     = 60 * time.Millisecond
	maxStaggeredRank = 10
	// outclassedDelay is how much later an outclassed entry claims: after all stronger ones.
	outclassedDelay = (maxStaggeredRank + 1) * claimStagger
	// schedulingSlack covers delays between reading a clock and acting on the reading.
	schedulingSlack = 200 * time.Millisecond
	// A duration divided by clockDriftDivisor is twice the largest error of a clock over that
	// duration, so that two clocks may err in opposite directions.
	clockDriftDivisor = 50
)

// withMargin returns how long to wait on this clock until d has passed on any other clock,
// plus schedulingSlack.
func withMargin(d time.Duration) time.Duration { return d + d/clockDriftDivisor + schedulingSlack }

// WorkerLeaseEndsBy returns the time by which the lease of a worker has expired on the worker's
// clock, and with it every task there has ended. lastContact is when the last ping that this
// dispatcher answered arrived. A later dispatcher may have extended the lease beyond that time, see
// LeaderLease.ConfirmsEnd.
func WorkerLeaseEndsBy(lastContact time.Time) time.Time {
	return lastContact.Add(withMargin(WorkerLeaseDuration))
}

// DepartureEndsBy returns the time by which all leases have expired of a worker whose agent said, before the given time, that
// it renews none any more and that they end within a duration.
func DepartureEndsBy(heardAt time.Time, within time.Duration) time.Time {
	if within <= 0 {
		return heardAt
	}
	return heardAt.Add(withMargin(within))
}

// Claim is the record of an entry's claim to leadership.
type Claim struct {
	// Term is the leadership term: one more than the offset of the record. The record does not
	// contain it.
	Term uint64 `cbor:"-"`
	// Entry and Incarnation identify the process that claimed.
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is the address at which other processes reach the claiming process.
	Address string `cbor:"3,keyasint"`
}

// Candidate decides at an entry whether it should claim leadership. The zero value knows of no
// dispatcher.
type Candidate struct {
	claim       Claim
	lastContact time.Time
	// clockStarted is set once lastContact has been set; it then holds the time of the first
	// decision until a claim is known.
	clockStarted bool
	// resigned is set if the dispatcher of the newest claim has resigned or is known to be dead, and
	// resignedAt is when that became known.
	resigned   bool
	resignedAt time.Time
	// heardOf is the newest term that was heard of since this process last began to claim.
	heardOf uint64
	// greetedBy is the newest term that an entry has named in a Hello.
	greetedBy uint64
}

// Standing is the place of an entry among those that may claim leadership.
type Standing struct {
	// Rank is the number of entries that claim before this one.
	Rank int
	// Outclassed is set if another entry is much stronger, see Outclasses.
	Outclassed bool
}

// Outclasses reports whether an entry of one strength carries the role of the dispatcher so much better
// than one of another strength that a change is worth the time in which no task starts. Strengths are
// in thousandths of a processor; an entry of unknown strength, 0, outclasses none.
func Outclasses(strength, other int) bool { return strength > 0 && 2*strength >= 3*other }

// delay returns how long after the first possible moment an entry claims.
func (s Standing) delay() time.Duration {
	d := time.Duration(min(s.Rank, maxStaggeredRank)) * claimStagger
	if s.Outclassed {
		d += outclassedDelay
	}
	return d
}

// Claim returns the newest claim known; its term is 0 if there is none.
func (c *Candidate) Claim() Claim { return c.claim }

// LastContact returns the time of the last contact with the dispatcher, or of the newest claim.
func (c *Candidate) LastContact() time.Time { return c.lastContact }

// ObserveClaim records a claim if it is newer than the newest known one, and reports whether it is.
func (c *Candidate) ObserveClaim(now time.Time, claim Claim) bool {
	if claim.Term <= c.claim.Term {
		return false
	}
	c.claim, c.lastContact, c.clockStarted, c.resigned = claim, now, true, false
	return true
}

// NoteContact records an answer of the dispatcher of a term. It is ignored unless the term is that
// of the newest claim.
func (c *Candidate) NoteContact(now time.Time, term uint64) {
	if term == c.claim.Term {
		c.lastContact = now
	}
}

// NoteResigned records that the dispatcher of a term has resigned or is known to be dead. It is
// ignored unless the term is that of the newest claim.
func (c *Candidate) NoteResigned(now time.Time, term uint64) {
	if term == c.claim.Term && !c.resigned {
		c.resigned, c.resignedAt = true, now
	}
}

// BeginClaim records that this process is about to send a claim, whose term will be later than all that
// were heard of before.
func (c *Candidate) BeginClaim() { c.heardOf = 0 }

// HearOf records that a peer or a record has named a term.
func (c *Candidate) HearOf(term uint64) { c.heardOf = max(c.heardOf, term) }

// NoteHello records that an entry has named a term in a Hello. A later dispatcher may conclude from the answer that this process is
// no follower of an earlier one any more, see NewestTerm.
func (c *Candidate) NoteHello(term uint64) { c.greetedBy = max(c.greetedBy, term) }

// NewestTerm returns the newest term that is known from a claim or a Hello. A process that names it in its pings is no follower of an
// earlier dispatcher.
func (c *Candidate) NewestTerm() uint64 { return max(c.claim.Term, c.greetedBy) }

// MayBegin reports whether this process may begin a term that it has claimed. A process that has heard of
// a later term never does: a later dispatcher that names its term in a probe, and is answered that this
// process is not the dispatcher, concludes that it will not become one.
func (c *Candidate) MayBegin(term uint64) bool { return c.claim.Term == term && c.heardOf <= term }

// NoDispatcher reports whether no claim is known, or the newest dispatcher has resigned or is known
// to be dead.
func (c *Candidate) NoDispatcher() bool { return c.claim.Term == 0 || c.resigned }

// ShouldClaim reports whether to claim leadership now, and why. Stronger entries claim before weaker
// ones; othersInContact is the number of other entries that had contact with the dispatcher lately.
func (c *Candidate) ShouldClaim(now time.Time, standing Standing, othersInContact int) (claim bool, reason string) {
	if !c.clockStarted {
		c.clockStarted, c.lastContact = true, now
	}
	wait := standing.delay()
	switch {
	case c.claim.Term == 0 && now.Sub(c.lastContact) < wait, c.resigned && now.Sub(c.resignedAt) < wait:
		return false, "another entry claims first"
	case c.NoDispatcher():
		return true, "there is no dispatcher"
	case now.Sub(c.lastContact) < ElectionTimeout+wait:
		return false, "the dispatcher was in contact recently"
	case othersInContact > 0:
		return false, "other entries are in contact with the dispatcher"
	}
	return true, "the dispatcher is silent"
}

// LeaderLease is the leadership lease of a dispatcher.
type LeaderLease struct {
	// renewedAt is when the newest write that renewed the lease was sent.
	renewedAt time.Time
	followers Followers
}

// Followers returns the entries that follow the dispatcher.
func (l *LeaderLease) Followers() *Followers { return &l.followers }

// Renew renews the lease with a write that was sent at the given time and that the store
// accepted under the dispatcher's term.
func (l *LeaderLease) Renew(sent time.Time) {
	if sent.After(l.renewedAt) {
		l.renewedAt = sent
	}
}

// LastRenewal returns when the newest write that renewed the lease was sent.
func (l *LeaderLease) LastRenewal() time.Time { return l.renewedAt }

// ConfirmsEnd reports whether the lease of a worker has certainly expired. It expires by leaseEnd
// unless a later dispatcher has extended it. That is ruled out once the store has accepted, under
// this dispatcher's term, a write that was sent at leaseEnd or later: until then no later term had
// begun. needsWrite is set if leaseEnd has passed and no such write has been accepted yet.
func (l *LeaderLease) ConfirmsEnd(now, leaseEnd time.Time) (expired, needsWrite bool) {
	if now.Before(leaseEnd) {
		return false, false
	}
	expired = !l.renewedAt.Before(leaseEnd)
	return expired, !expired
}

// Valid reports whether the dispatcher may still extend the leases of workers. An outage of the store for all entries leaves the
// followers in contact. One that has begun a later term, or is behind a cut where it may begin one, is not.
func (l *LeaderLease) Valid(now time.Time) bool {
	age := now.Sub(l.renewedAt)
	return age < SoloLeaseDuration || age < LeaderLeaseDuration && l.followers.InContact(now)
}

// MayServe returns the earlier claims whose processes may still act as the dispatcher when the process
// that made the claim own begins its term: one for each process, without those of its own entry, where
// each process ends before the next one starts.
func MayServe(earlier []Claim, own Claim) []Claim {
	type process struct {
		entry       string
		incarnation uint64
	}
	seen := make(map[process]bool)
	var out []Claim
	for _, c := range earlier {
		p := process{c.Entry, c.Incarnation}
		if c.Term >= own.Term || c.Entry == own.Entry || seen[p] {
			continue
		}
		seen[p] = true
		out = append(out, c)
	}
	return out
}

// Predecessor computes when nothing that earlier dispatchers ordered can run any more on
// workers that have not reported to the present one.
type Predecessor struct {
	// termBeganAt is when this process's term began; zero if there was no claim before.
	termBeganAt time.Time
	// deadSince is when all earlier dispatchers were first known to have stopped; zero if that is
	// not known.
	deadSince time.Time
	// followedSince is from when on each earlier dispatcher has stopped, or hears no follower that knows no later term; zero if
	// that is not known.
	followedSince time.Time
}

// TermBegan records that a term of this process, which follows terms of earlier dispatchers,
// began at now. The store must have rejected writes of earlier terms from now on.
func (p *Predecessor) TermBegan(now time.Time) { *p = Predecessor{termBeganAt: now} }

// NoteDead records that all earlier dispatchers are known to have stopped, so that none extends a
// worker lease after now. The newest claim is not enough: it may never have become a term, while the
// dispatcher before it still serves. Only the first call in a term counts.
func (p *Predecessor) NoteDead(now time.Time) {
	if p.deadSince.IsZero() {
		p.deadSince = now
	}
}

// NoteFollowed records that from a time on each earlier dispatcher has stopped or hears no follower that knows no later term, see
// Followed and UnheardFrom. It then acts only for SoloLeaseDuration after the newest write that the store took under its term. Only the
// first call in a term counts.
func (p *Predecessor) NoteFollowed(from time.Time) {
	if p.followedSince.IsZero() {
		p.followedSince = from
	}
}

// Stopped reports whether all earlier dispatchers are known to have stopped.
func (p *Predecessor) Stopped() bool { return !p.deadSince.IsZero() }

// Followed reports whether NoteFollowed was called in this term.
func (p *Predecessor) Followed() bool { return !p.followedSince.IsZero() }

// LeadershipOver reports whether no earlier dispatcher can act any more: there was none, all have
// stopped, or their leadership leases have expired.
func (p *Predecessor) LeadershipOver(now time.Time) bool {
	return p.termBeganAt.IsZero() || p.Stopped() || !now.Before(p.leadershipEndsBy())
}

// leadershipEndsBy returns the time by which the leadership leases of earlier dispatchers have expired.
func (p *Predecessor) leadershipEndsBy() time.Time {
	at := p.termBeganAt.Add(withMargin(LeaderLeaseDuration))
	if p.Followed() {
		at = earlier(at, later(p.followedSince, p.termBeganAt.Add(withMargin(SoloLeaseDuration))))
	}
	return at
}

// LeasesEndBy returns the time by which the worker leases that earlier dispatchers extended have
// expired on workers that have not reported to the present one; zero if there was no earlier
// dispatcher.
func (p *Predecessor) LeasesEndBy() time.Time {
	if p.termBeganAt.IsZero() {
		return time.Time{}
	}
	at := p.termBeganAt.Add(withMargin(LeaderLeaseDuration + WorkerLeaseDuration))
	if p.Followed() {
		followers := p.termBeganAt.Add(withMargin(SoloLeaseDuration + WorkerLeaseDuration))
		at = earlier(at, later(followers, p.followedSince.Add(withMargin(WorkerLeaseDuration))))
	}
	if p.Stopped() {
		at = earlier(at, p.deadSince.Add(withMargin(WorkerLeaseDuration)))
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
