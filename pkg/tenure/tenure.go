// Package tenure decides which entry dispatches: when one may claim the
// dispatch, how long it may vouch for it, and how long a worker may go on
// without hearing from it.
//
// A claim is a record in the store, conditional on the end of its topic, so
// that its offset gives each claim a term of its own. The present time is on a
// clock that goes on while the machine is suspended.
package tenure

import "time"

// Times of a tenure.
const (
	// GrantFor is how long a worker goes on after it sent a ping that the
	// dispatcher answered. The work of a lost worker waits as long, and work
	// that lasts is to run again within six seconds of its loss.
	GrantFor = 5 * time.Second
	// ProofFor is how long a dispatcher goes on after it sent a write that the
	// store accepted under its term. It covers store outages of nine seconds.
	ProofFor = 10 * time.Second
	// ClaimAfter is how long the dispatcher is silent before another entry
	// claims: four pings missed.
	ClaimAfter = 1200 * time.Millisecond
	// rankStep keeps entries from claiming at the same moment; a claim takes about 30 ms.
	rankStep = 150 * time.Millisecond
	// slack covers delays between reading a clock and acting on it.
	slack = 200 * time.Millisecond
	// driftShare bounds the relative error of a clock's rate, twofold.
	driftShare = 50
)

// withDrift returns how long to wait for d to have passed on any other clock.
func withDrift(d time.Duration) time.Duration { return d + d/driftShare + slack }

// LapsesAt returns when everything on a worker has ended, if the last ping that
// was answered arrived at heard and no later dispatcher has answered one since.
func LapsesAt(heard time.Time) time.Time { return heard.Add(withDrift(GrantFor)) }

// Claim is what the store says about the dispatcher.
type Claim struct {
	// Term is one more than the offset of the claim; it is not part of the record.
	Term uint64 `cbor:"-"`
	// Entry and Incarnation name the process that claimed.
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Address is where peers reach it.
	Address string `cbor:"3,keyasint"`
}

// Candidate decides at an entry whether it should claim. The zero value knows
// of no dispatcher.
type Candidate struct {
	claim    Claim
	heard    time.Time
	started  bool
	resigned bool
}

// Claim returns the newest claim known; its term is 0 if there is none.
func (c *Candidate) Claim() Claim { return c.claim }

// Heard returns when the dispatcher was heard of last.
func (c *Candidate) Heard() time.Time { return c.heard }

// Learn takes in a claim and reports whether it is newer than the one known.
func (c *Candidate) Learn(now time.Time, claim Claim) bool {
	if claim.Term <= c.claim.Term {
		return false
	}
	c.claim, c.heard, c.started, c.resigned = claim, now, true, false
	return true
}

// Hear notes that the dispatcher of a term answered.
func (c *Candidate) Hear(now time.Time, term uint64) {
	if term == c.claim.Term {
		c.heard = now
	}
}

// Resigned notes that the dispatcher of a term has given up or is known to be dead.
func (c *Candidate) Resigned(term uint64) {
	if term == c.claim.Term {
		c.resigned = true
	}
}

// Vacant reports whether no process is known to dispatch.
func (c *Candidate) Vacant() bool { return c.claim.Term == 0 || c.resigned }

// Decide reports whether to claim now. Rank orders the entries that may claim,
// others is how many other entries heard the dispatcher lately.
func (c *Candidate) Decide(now time.Time, rank, others int) (claim bool, reason string) {
	if !c.started {
		c.started, c.heard = true, now
	}
	wait := time.Duration(rank) * rankStep
	switch {
	case c.Vacant():
		if now.Sub(c.heard) < wait && c.claim.Term == 0 {
			return false, "another entry claims first"
		}
		return true, "no entry dispatches"
	case now.Sub(c.heard) < ClaimAfter+wait:
		return false, "the dispatcher was heard"
	case others > 0:
		return false, "other entries hear the dispatcher"
	}
	return true, "the dispatcher is silent"
}

// Holder decides at the dispatcher how long its term goes on.
type Holder struct {
	proven time.Time
}

// Prove notes that the store accepted a write under the term that was sent at sent.
func (h *Holder) Prove(sent time.Time) {
	if sent.After(h.proven) {
		h.proven = sent
	}
}

// Proven returns when the newest accepted write was sent.
func (h *Holder) Proven() time.Time { return h.proven }

// Ended reports whether what must have ended by a time, unless a later dispatcher
// granted more, has ended: a write sent after it was accepted under the term. Ask
// is set if only such a write is missing.
func (h *Holder) Ended(now, by time.Time) (ended, ask bool) {
	if now.Before(by) {
		return false, false
	}
	ended = !h.proven.Before(by)
	return ended, !ended
}

// Valid reports whether workers may still be granted time.
func (h *Holder) Valid(now time.Time) bool { return now.Sub(h.proven) < ProofFor }

// Predecessor decides when nothing that an earlier dispatcher ordered can run
// any more on a worker that has not reported to the present one.
type Predecessor struct {
	claimed time.Time
	dead    time.Time
}

// Follow notes that a term began at now after that of another process.
func (p *Predecessor) Follow(now time.Time) { p.claimed, p.dead = now, time.Time{} }

// Dead notes that the earlier dispatcher is known not to act since now.
func (p *Predecessor) Dead(now time.Time) {
	if p.dead.IsZero() {
		p.dead = now
	}
}

// EndsAt returns when silent workers have ended whatever they ran for an earlier
// dispatcher; zero if there was none.
func (p *Predecessor) EndsAt() time.Time {
	if p.claimed.IsZero() {
		return time.Time{}
	}
	at := p.claimed.Add(withDrift(ProofFor + GrantFor))
	if dead := p.dead.Add(withDrift(GrantFor)); !p.dead.IsZero() && dead.Before(at) {
		return dead
	}
	return at
}

// Grant holds at a worker how long it may go on. The zero value grants nothing.
type Grant struct {
	until time.Time
}

// Renew takes in the answer to a ping that was sent at sent.
func (g *Grant) Renew(sent time.Time) {
	if u := sent.Add(GrantFor); u.After(g.until) {
		g.until = u
	}
}

// Left returns how long the worker may go on.
func (g *Grant) Left(now time.Time) time.Duration { return max(0, g.until.Sub(now)) }
