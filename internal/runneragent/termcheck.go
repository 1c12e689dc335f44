package runneragent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

const (
	// checkTermAfter is how long the store must not have answered the dispatcher for the agent to read the newest claim
	// itself. An idle entry reads the store every second.
	checkTermAfter = 1300 * time.Millisecond
	// checkTermInterval is the time between such reads. It keeps the outcome of the last one fresh for starts.
	checkTermInterval = 300 * time.Millisecond
	// checkTermTimeout bounds one read. A slow store answers within 0.4 s.
	checkTermTimeout = 450 * time.Millisecond
	// checkTermSlack is how long after its timeout a read may fail and still tell of the store, not of a pause of this process.
	checkTermSlack = 300 * time.Millisecond
	// maxStartChecks bounds the reads that one start waits for.
	maxStartChecks = 2
)

var (
	errSuperseded  = errors.New("a later dispatcher has claimed leadership")
	errUnconfirmed = errors.New("the store serves this worker, and has not answered the dispatcher for long")
	errUnchecked   = errors.New("the newest leadership claim was not read in time")
	errOutdated    = errors.New("the order of a second run of the task has been under way for too long")
	errStopping    = errors.New("the agent is stopping")
)

// orderBasis returns what orders prove. They were sent PingAgeMS after the ping with the number LastPing had arrived, or after
// the first report on the connection if that is 0, and so at least as long after the agent sent it. The caller holds mu.
func (a *Agent) orderBasis(now time.Time, o *peer.Orders) leadership.OrderBasis {
	sentAfter := a.connReportedAt
	if o.LastPing != 0 {
		sent, known := a.pingTimes.Find(o.LastPing)
		if !known {
			return leadership.OrderBasis{} // many pings have been sent since
		}
		sentAfter = sent
	}
	if sentAfter = sentAfter.Add(peer.Duration(o.PingAgeMS)); sentAfter.After(now) {
		sentAfter = now
	}
	return leadership.NewOrderBasis(sentAfter, peer.Duration(o.StoreContactAgeMS), peer.Duration(o.ConfirmedAgeMS))
}

// checkTerm reads the newest claim, or waits for such a read that is under way. If a later term has been claimed, the agent
// leaves the dispatcher that it serves.
func (a *Agent) checkTerm(ctx context.Context) {
	a.mu.Lock()
	if done := a.termRead; done != nil {
		a.mu.Unlock()
		<-done
		return
	}
	done := make(chan struct{})
	a.termRead = done
	term := a.term
	a.mu.Unlock()
	defer close(done)
	callCtx, cancel := context.WithTimeout(ctx, checkTermTimeout)
	defer cancel()
	sent := clock.Steady()
	claim, _, _, err := a.store.NewestClaim(callCtx)
	a.count("term-checks")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.termRead = nil
	switch {
	case err != nil && ctx.Err() != nil:
		return // the process stops, which says nothing of the store
	case err != nil && clock.Steady().Sub(sent) > checkTermTimeout+checkTermSlack:
		a.count("term-checks-paused")
		a.log.Info().Err(err).Uint64("term", term).Dur("took", clock.Steady().Sub(sent)).Msg("this process was stopped while it read the newest leadership claim; the failure says nothing of the store")
	case err != nil:
		a.termCheck.NoteFailure(clock.Steady())
		a.log.Debug().Err(err).Uint64("term", term).Msg("reading the newest leadership claim failed")
	case claim.Term > a.term:
		a.leaveTerm(claim)
	case term == a.term:
		a.termCheck.NoteCurrent(sent)
	}
}

// leaveTerm leaves the dispatcher that the agent serves for that of a later claim. The caller holds mu.
func (a *Agent) leaveTerm(claim leadership.Claim) {
	a.count("dispatchers-left")
	a.log.Warn().Uint64("term", a.term).Uint64("later", claim.Term).Str("dispatcher", claim.Entry).Msg("left the dispatcher: a later term has been claimed")
	a.term, a.successor, a.termCheck = claim.Term, claim.Address, leadership.TermCheck{}
	if a.conn != nil {
		a.conn.Close()
	}
}

// noteContactAge records how old the last answer of the store to the dispatcher at conn is, and begins to check its term if
// that is old.
func (a *Agent) noteContactAge(ctx context.Context, conn *peer.Conn, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != conn {
		return
	}
	a.dispatcherLostStore = age > checkTermAfter
	if !a.dispatcherLostStore || a.watchedConn == conn {
		return
	}
	a.watchedConn = conn
	a.group.Go(func() { a.watchTerm(ctx, conn) })
}

// watchTerm checks the term of the dispatcher at conn while the store does not answer that dispatcher: it may be cut off,
// and a later dispatcher may wait for this agent.
func (a *Agent) watchTerm(ctx context.Context, conn *peer.Conn) {
	for {
		a.mu.Lock()
		watched := a.conn == conn && a.dispatcherLostStore
		if !watched && a.watchedConn == conn {
			a.watchedConn = nil
		}
		a.mu.Unlock()
		if !watched || hasEnded(conn) {
			return
		}
		a.checkTerm(ctx)
		if !clock.WaitForWake(ctx, conn.Done(), checkTermInterval) {
			return
		}
	}
}

// confirmStart returns the time before which a start that rests on a basis has to take effect once it may be sent to the
// runner, or why it must not be sent.
func (a *Agent) confirmStart(ctx context.Context, term uint64, basis leadership.OrderBasis) (time.Time, error) {
	for checks := 0; ; checks++ {
		a.mu.Lock()
		now := clock.Steady()
		decision, deadline, superseded := basis.DecideStart(now, &a.termCheck), basis.StartDeadline(now, &a.termCheck), a.term != term
		a.mu.Unlock()
		switch {
		case superseded:
			return time.Time{}, errSuperseded
		case ctx.Err() != nil:
			return time.Time{}, errStopping
		case decision == leadership.OrderProceed:
			return deadline, nil
		case decision == leadership.OrderOutdated:
			return time.Time{}, errOutdated
		case decision == leadership.OrderRefuse:
			return time.Time{}, errUnconfirmed
		case checks == maxStartChecks:
			return time.Time{}, errUnchecked // the process was suspended meanwhile
		}
		a.checkTerm(ctx)
	}
}

// confirmStop reports whether a stop order of a term may be carried out: the agent still serves that term, and checks it
// first if the order is old.
func (a *Agent) confirmStop(ctx context.Context, term uint64, basis leadership.OrderBasis) bool {
	a.mu.Lock()
	decision := basis.DecideStop(clock.Steady(), &a.termCheck)
	a.mu.Unlock()
	if decision == leadership.OrderCheck {
		a.checkTerm(ctx)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.term == term
}
