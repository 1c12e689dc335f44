package term

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// Intervals and time-outs of the checks of a term, the same as for real agents and entries.
const (
	checkTermAfter    = 1300 * time.Millisecond
	checkTermInterval = 300 * time.Millisecond
	checkTermTimeout  = 450 * time.Millisecond
	maxStartChecks    = 2
	refusalHold       = 500 * time.Millisecond
	maxContactGap     = 1200 * time.Millisecond
)

// checkState is what an agent keeps of the term that it serves.
type checkState struct {
	termCheck leadership.TermCheck
	// termWaiters wait for the read of the newest claim that is under way.
	termWaiters []func()
	// dispatcherLostStore is set while the store has not answered the dispatcher for long. watching is the connection to
	// the dispatcher whose term is read for that reason.
	dispatcherLostStore bool
	watching            *conn
	// reportedAt is when the first report was sent over the connection, and pingTimes holds when its pings were sent.
	reportedAt time.Time
	pingTimes  map[uint64]time.Time
}

// orderHeader is what orders say of their dispatcher.
type orderHeader struct {
	lastPing                          uint64
	pingAge, contactAge, confirmedAge time.Duration
}

// newHeader returns what orders to an agent say that are sent now.
func (e *entry) newHeader(l *agentLink) orderHeader {
	now := e.clock()
	return orderHeader{l.lastPing, now.Sub(l.lastPingAt), now.Sub(e.contactAt()) + time.Millisecond, now.Sub(e.term.leaderLease.LastRenewal()) + time.Millisecond}
}

// orderBasis is what orders prove. The store has answered the dispatcher since contactAt.
type orderBasis struct {
	leadership.OrderBasis
	contactAt time.Time
}

// orderBasis returns what the header of orders proves.
func (a *agent) orderBasis(h orderHeader) orderBasis {
	sentAfter := a.reportedAt
	if h.lastPing != 0 {
		sent, known := a.pingTimes[h.lastPing]
		if !known {
			return orderBasis{}
		}
		sentAfter = sent
	}
	if sentAfter = sentAfter.Add(h.pingAge); sentAfter.After(a.clock()) {
		sentAfter = a.clock()
	}
	return orderBasis{leadership.NewOrderBasis(sentAfter, h.contactAge, h.confirmedAge), sentAfter.Add(-h.contactAge)}
}

// readClaim reads the newest claim from the store.
func (a *agent) readClaim(then func(claim leadership.Claim, sent time.Time, err error)) {
	w, sent, answered := a.w, a.clock(), false
	answer := func(claim leadership.Claim, err error) {
		if !answered {
			answered = true
			then(claim, sent, err)
		}
	}
	a.later(checkTermTimeout, func() { answer(leadership.Claim{}, store.ErrOutcomeUnknown) })
	generation := a.generation
	a.leave(w.latency(), func() {
		var claim leadership.Claim
		reached, err := w.reachStore(a.name, func() (err error) {
			claim, _, _, err = w.storeClient.NewestClaim(context.Background())
			return err
		})
		if reached {
			a.laterIn(generation, w.latency(), func() { answer(claim, err) })
		}
	})
}

// checkTerm reads the newest claim, or waits for such a read that is under way. If a later term has been claimed, the agent
// leaves the dispatcher that it serves.
func (a *agent) checkTerm(then func()) {
	a.termWaiters = append(a.termWaiters, then)
	if len(a.termWaiters) > 1 {
		return
	}
	term := a.term
	a.readClaim(func(claim leadership.Claim, sent time.Time, err error) {
		switch {
		case err != nil:
			a.termCheck.NoteFailure(a.clock())
		case claim.Term > a.term:
			a.w.note("%s leaves term %d for %d", a.name, a.term, claim.Term)
			a.term, a.termCheck = claim.Term, leadership.TermCheck{}
			if a.conn != nil {
				a.conn.broken, a.conn = true, nil
			}
		case term == a.term:
			a.termCheck.NoteCurrent(sent)
		}
		waiters := a.termWaiters
		a.termWaiters = nil
		for _, fn := range waiters {
			fn()
		}
	})
}

// noteContactAge records how old the last answer of the store to the dispatcher is, and begins to check its term if that
// is old.
func (a *agent) noteContactAge(c *conn, age time.Duration) {
	a.dispatcherLostStore = age > checkTermAfter
	if !a.dispatcherLostStore || a.watching == c || a.w.rules.StayWithDispatcher {
		return
	}
	a.watching = c
	a.watchTerm(c)
}

// watchTerm reads the newest claim time and again while the store does not answer the dispatcher.
func (a *agent) watchTerm(c *conn) {
	if a.conn != c || !a.dispatcherLostStore {
		if a.watching == c {
			a.watching = nil
		}
		return
	}
	a.checkTerm(func() { a.later(checkTermInterval, func() { a.watchTerm(c) }) })
}

// confirmStart calls then with whether a start of a term that rests on a basis may be sent to the runner.
func (a *agent) confirmStart(term uint64, basis orderBasis, checks int, then func(confirmed, unconfirmed bool)) {
	decision := a.w.rules.decideStart(basis, a.clock(), &a.termCheck)
	switch {
	case a.term != term:
		then(false, false)
	case decision == leadership.OrderProceed:
		then(true, false)
	case decision == leadership.OrderRefuse:
		then(false, true)
	case decision == leadership.OrderOutdated:
		then(false, false)
	case checks == maxStartChecks:
		then(false, false)
	default:
		a.checkTerm(func() { a.confirmStart(term, basis, checks+1, then) })
	}
}

// decideStart decides about a start by the rules.
func (r *Rules) decideStart(b orderBasis, now time.Time, check *leadership.TermCheck) leadership.OrderDecision {
	switch {
	case r.TrustAllOrders:
		return leadership.OrderProceed
	case r.IgnoreStoreContact:
		return b.DecideStop(now, check)
	case r.IgnoreConfirmation && now.Sub(b.contactAt) <= leadership.MaxStoreContactAge:
		return leadership.OrderProceed
	}
	return b.DecideStart(now, check)
}

// confirmStop calls then if a stop order of a term that rests on a basis may be carried out.
func (a *agent) confirmStop(term uint64, basis orderBasis, then func()) {
	if basis.DecideStop(a.clock(), &a.termCheck) != leadership.OrderCheck {
		then()
		return
	}
	a.checkTerm(func() {
		if a.term == term {
			then()
		}
	})
}

// confirmOrders carries out the orders that are confirmed.
func (a *agent) confirmOrders(h orderHeader, starts []dispatch.Start, stops []dispatch.Stop) {
	basis, term := a.orderBasis(h), a.term
	for _, s := range starts {
		k, leaseEndMS := runKey{s.Task, s.Run}, a.runLeaseEndMS(a.clock())
		if !a.acceptsStart(&s, leaseEndMS) {
			a.sendRefusal(s.Life, k)
			continue
		}
		a.extendLastRunLeaseEnd(a.clock())
		a.unlistedStarts[k] = true
		a.noteStarting(k)
		basis := basis
		if s.Second && !a.w.rules.TrustLateSecondRuns {
			basis.OrderBasis = basis.ForSecondRun()
		}
		a.confirmStart(term, basis, 0, func(confirmed, unconfirmed bool) {
			if !confirmed {
				delete(a.starting, k)
				a.refuseUnconfirmed(s.Life, k, unconfirmed)
				return
			}
			a.pauseThen(func() {
				if a.unlistedStarts[k] && a.life == s.Life {
					a.startInSteps(k, leaseEndMS)
					return
				}
				delete(a.starting, k)
				a.sendRefusal(s.Life, k)
			})
		})
	}
	for _, s := range stops {
		a.confirmStop(term, basis, func() { a.fence(s.Life, runKey{s.Task, s.Run}) })
	}
}

// refuseUnconfirmed refuses a start. unconfirmed is set if the store serves the agent and not the dispatcher.
func (a *agent) refuseUnconfirmed(life uint64, k runKey, unconfirmed bool) {
	a.sendRefusal(life, k)
	if c := a.conn; c != nil && unconfirmed {
		c.send(&c.entry.process, func() {
			if c.entry.linkOf(c) != nil {
				c.entry.term.unconfirmedAt = c.entry.clock()
			}
		})
	}
}

// holdsStarts reports whether the dispatcher sends no orders since agents would refuse them.
func (e *entry) holdsStarts(now time.Time) bool {
	t := e.term
	return !t.unconfirmedAt.IsZero() && now.Sub(t.unconfirmedAt) < refusalHold && now.Sub(e.contactAt()) >= leadership.MaxStoreContactAge
}

// isConfirmed reports whether no later term had begun when an agent that knew no term said Hello on a connection, or its
// runner is still in the life that it had in this term.
func (e *entry) isConfirmed(h *heldReport) bool {
	if e.w.rules.TrustNewAgents || !e.term.leaderLease.LastRenewal().Before(h.newSince) {
		return true
	}
	return h.worker.Life != 0 && h.worker.Life == e.term.scheduler.RunnerLife(h.worker.Name)
}

// noteStoreContact records that the store has answered the entry.
func (e *entry) noteStoreContact(now time.Time) {
	if now.Sub(e.lastStoreContact) > maxContactGap && !e.lastStoreContact.IsZero() {
		if e.gapEndedAt.IsZero() {
			e.contactBefore = e.lastStoreContact
		}
		e.gapEndedAt = now
	}
	e.lastStoreContact = now
}

// noteIntakeRead records that a read of the intake which began at the given time has reached its end.
func (e *entry) noteIntakeRead(began time.Time) {
	switch {
	case !began.Before(e.gapEndedAt):
		e.contactBefore, e.gapEndedAt = time.Time{}, time.Time{}
	case began.After(e.contactBefore):
		e.contactBefore = began
	}
}

// contactAt returns the time of the newest answer of the store that the cancellations known here go with.
func (e *entry) contactAt() time.Time {
	if !e.gapEndedAt.IsZero() && !e.w.rules.TrustAnyAnswer {
		return e.contactBefore
	}
	return e.lastStoreContact
}
