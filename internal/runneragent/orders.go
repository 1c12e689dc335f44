package runneragent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

var (
	errLeaseTooShort   = errors.New("too little of the worker lease is left for a start")
	errNoRunLease      = errors.New("the runner did not confirm a lease for the run")
	errSilentRunner    = errors.New("the runner does not answer")
	errOtherLife       = errors.New("the order is for another life of the runner")
	errDeparted        = errors.New("the worker has left and is not registered anew")
	errReportedEmpty   = errors.New("the dispatcher was told that the worker runs nothing")
	errRunnerGone      = errors.New("the runner is gone and the start can no longer take effect")
	errNoPolicyService = errors.New("no policy service is configured")
)

// orderTerms are the conditions under which the starts of orders may be sent to the runner.
type orderTerms struct {
	// term is the leadership term of the dispatcher that sent the orders, and basis what they prove of it.
	term  uint64
	basis leadership.OrderBasis
	// startBefore is the time before which starts have to be sent, see Agent.startBefore.
	startBefore time.Time
}

// handleOrders carries out the dispatcher's orders. It drops orders of another term and stops for
// another life, the time between two restarts of the runner, and refuses starts for another life.
func (a *Agent) handleOrders(ctx context.Context, orders *peer.Orders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if orders.Term != a.term {
		a.log.Warn().Uint64("term", orders.Term).Uint64("newest", a.term).Msg("dropped orders of another term")
		return
	}
	now := clock.Steady()
	a.guard.addTasks(orders.GuardedTasks)
	a.setEvacuated(orders.Evacuated)
	terms := &orderTerms{term: orders.Term, basis: a.orderBasis(now, orders), startBefore: a.startBefore(now, orders.LastPing)}
	for i := range orders.Starts {
		s := orders.Starts[i]
		key := runKey{s.Task, s.Run}
		err := a.checkStart(now, &s)
		if err == nil {
			err = a.checkEvacuation(now, terms.startBefore)
		}
		if err != nil {
			a.refuse(s.Life, key, err)
			continue
		}
		a.extendLastRunLeaseEnd(now)
		a.unlistedStarts[key] = &s
		a.sentStarts[key] = true
		a.addUnanswered(now, key)
		c, leaseEndMS := a.newCall(), a.runLeaseEndMS(now)
		a.group.Go(func() { a.startRun(ctx, c, &s, leaseEndMS, terms) })
	}
	for _, q := range orders.PolicyQuestions {
		a.group.Go(func() { a.answerQuestion(ctx, &q) })
	}
	for i := range orders.Stops {
		s := orders.Stops[i]
		a.group.Go(func() {
			if a.confirmStop(ctx, terms.term, terms.basis) {
				a.fence(ctx, terms.term, s.Life, runKey{s.Task, s.Run}, s.Reason)
			}
		})
	}
}

// checkStart returns why a start order must not be carried out, or nil. The caller holds mu.
func (a *Agent) checkStart(now time.Time, s *dispatch.Start) error {
	switch {
	case s.Life != a.life || a.nextLifeAnnounced():
		return errOtherLife
	case a.reportedEmpty:
		return errReportedEmpty
	case a.registration == 0 && a.departed != 0:
		return errDeparted
	case now.Sub(a.answeredAfter) > maxRunnerSilence:
		return errSilentRunner
	case a.runLeaseEndMS(now) == 0 || a.workerLease.Remaining(now) < minLeaseLeft:
		return errLeaseTooShort
	}
	return nil
}

// refuse tells the dispatcher that an order for a run is not carried out and never will be.
// The dispatcher then counts the run as one that never ran. The caller holds mu.
func (a *Agent) refuse(life uint64, key runKey, reason error) {
	a.forgetStart(key)
	a.count("orders-refused")
	a.log.Info().Str("task", key.task.String()).Uint64("run", key.run).Str("reason", reason.Error()).Msg("order refused")
	if a.conn != nil {
		a.conn.Send(&peer.Message{OrderRefused: &peer.OrderRefused{Life: life, Task: key.task, Run: key.run, Reason: reason.Error(), TicketRejected: errors.Is(reason, ErrTicket), Unconfirmed: errors.Is(reason, errUnconfirmed)}})
	}
}

// refuseUnsent refuses a start that has not been sent to the runner. One for an earlier life is listed as pending in the report
// of the present life, and refused once it is fenced there.
func (a *Agent) refuseUnsent(life uint64, key runKey, reason error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.unansweredStarts, key)
	if a.life != life {
		a.log.Info().Str("task", key.task.String()).Uint64("run", key.run).Uint64("life", life).Str("reason", reason.Error()).Msg("start for an earlier life not sent")
		return
	}
	a.refuse(life, key, reason)
}

// startRun has the runner start the run of a start order while what the order rests on counts, and before leaseEndMS, the
// end of the run lease on the runner's clock. If the runner does not answer and the next listing does not show the
// run, startRun makes sure that the run never starts later. It refuses the start if its order is too old, its term is over,
// or the data centre has been evacuated since the order was handled.
func (a *Agent) startRun(ctx context.Context, c Call, s *dispatch.Start, leaseEndMS int64, terms *orderTerms) {
	key := runKey{s.Task, s.Run}
	if err := a.ensureRunLease(ctx, leaseEndMS); err != nil {
		a.refuseUnsent(s.Life, key, err)
		return
	}
	basis := terms.basis
	if s.Second {
		basis = basis.ForSecondRun()
	}
	deadline, err := a.confirmStart(ctx, terms.term, basis)
	if err != nil {
		a.refuseUnsent(s.Life, key, err)
		return
	}
	if !a.mayStillStart(s.Life, key, terms.startBefore) {
		return
	}
	deadlineMS, err := a.startDeadlineMS(s, deadline, terms.startBefore)
	if err != nil {
		a.refuseUnsent(s.Life, key, err)
		return
	}
	// A process that stops waits for the answer, so that the outcome of the start is known.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	lastClockMS := a.lastClockMS(s.Life)
	var clockMS int64
	err = a.trackCall(func() error {
		var err error
		clockMS, err = a.runner.Start(callCtx, c, s, min(leaseEndMS, deadlineMS))
		return err
	})
	switch {
	case err == nil:
		a.count("starts")
		a.mu.Lock()
		a.logStartAnswer(clock.Steady(), s, lastClockMS, clockMS, terms)
		delete(a.unansweredStarts, key)
		a.startAnsweredAt = clock.Steady()
		a.mu.Unlock()
		if s.Trial {
			a.reportTrial(ctx)
		}
	case errors.Is(err, ErrNotRun):
		a.mu.Lock()
		delete(a.unansweredStarts, key)
		a.refuse(s.Life, key, err)
		a.mu.Unlock()
	default:
		a.count("starts-unanswered")
		a.log.Warn().Err(err).Str("task", key.task.String()).Uint64("run", key.run).Msg("start not answered")
		a.mu.Lock()
		a.addUnanswered(clock.Steady(), key) // the call may have left long after the order was handled
		if _, pending := a.pendingWhenEmpty[key]; pending {
			a.pendingWhenEmpty[key] = a.unansweredStarts[key]
		}
		a.mu.Unlock()
		if a.pollForRun(ctx, key) {
			return
		}
		a.fence(ctx, anyTerm, s.Life, key, "the runner did not answer the start")
	}
}

// ensureRunLease renews the run leases unless the runner has granted enough for a run to last until the poll loop renews
// them: a start says by when it has to take effect, and gives no longer lease. leaseEndMS is the latest end that is allowed.
func (a *Agent) ensureRunLease(ctx context.Context, leaseEndMS int64) error {
	for polls := 0; ; polls++ {
		a.mu.Lock()
		enough := a.grantedLeaseEndMS >= min(leaseEndMS, a.toRunnerClockMS(clock.Steady().Add(minGrantedLease)))
		a.mu.Unlock()
		switch {
		case enough:
			return nil
		case polls == maxLeasePolls:
			return errNoRunLease
		}
		if err := a.pollForStart(ctx); err != nil {
			return err
		}
	}
}

// pollForStart polls the runner, or waits for such a poll for another start that is under way.
func (a *Agent) pollForStart(ctx context.Context) error {
	a.mu.Lock()
	if p := a.startPoll; p != nil {
		a.mu.Unlock()
		<-p.done
		return p.err
	}
	p := &sharedPoll{done: make(chan struct{})}
	a.startPoll = p
	a.mu.Unlock()
	defer close(p.done)
	p.err = a.poll(ctx, 0)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startPoll = nil
	return p.err
}

// sharedPoll is a poll that several starts wait for. err is its error once done is closed.
type sharedPoll struct {
	done chan struct{}
	err  error
}

// startDeadlineMS returns the time on the runner's clock by which a start has to take effect: deadline or, unless that is zero,
// startBefore. It fails if the start must not be carried out any more since its order was handled.
func (a *Agent) startDeadlineMS(s *dispatch.Start, deadline, startBefore time.Time) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkStart(clock.Steady(), s); err != nil {
		return 0, err
	}
	if !startBefore.IsZero() && startBefore.Before(deadline) {
		deadline = startBefore
	}
	return a.toRunnerClockMS(deadline), nil
}

// logStartAnswer logs if a start was answered at clockMS on the runner's clock, before lastClockMS, the reading known when
// the start was sent: it has reached another life, whose clock began anew. It also logs if the proof that the order rests
// on had become too old by then, or if there is none since the store fails this worker. The caller holds mu.
func (a *Agent) logStartAnswer(now time.Time, s *dispatch.Start, lastClockMS, clockMS int64, terms *orderTerms) {
	if clockMS > 0 && clockMS < lastClockMS {
		a.count("starts-in-another-life")
		a.log.Warn().Str("task", s.Task.String()).Uint64("run", s.Run).Uint64("life", s.Life).Int64("clock-ms", clockMS).Int64("last-clock-ms", lastClockMS).
			Msg("start reached another life of the runner")
	}
	switch terms.basis.DecideStart(now, &a.termCheck) {
	case leadership.OrderProceed:
		if !terms.basis.Confirmed(now) && a.termCheck.Fails(now) {
			a.count("starts-without-store")
			a.log.Info().Str("task", s.Task.String()).Uint64("run", s.Run).Uint64("term", terms.term).Dur("proof", terms.basis.ConfirmedAge(now)).Msg("started a run while the store fails this worker")
		}
	case leadership.OrderCheck, leadership.OrderRefuse:
		a.count("starts-on-old-proof")
		a.log.Warn().Str("task", s.Task.String()).Uint64("run", s.Run).Uint64("term", terms.term).Dur("proof", terms.basis.ConfirmedAge(now)).Msg("the proof that an order rests on was too old when its start was answered")
	}
}

// lastClockMS returns the latest known reading of the clock of the runner in a life; 0 if that life is not the present one.
func (a *Agent) lastClockMS(life uint64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != life {
		return 0
	}
	return a.runnerClockMS
}

// reportTrial polls the runner a short time after the start of a trial and pings the dispatcher, which waits
// to see whether the runner still works.
func (a *Agent) reportTrial(ctx context.Context) {
	if !clock.WaitForWake(ctx, nil, trialReportDelay) || a.poll(ctx, 0) != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.ping(clock.Steady())
	}
}

// pollForRun polls the runner once, and reports whether the start of a run no longer waits to
// be listed: the runner has listed the run as running or ended.
func (a *Agent) pollForRun(ctx context.Context, key runKey) bool {
	if err := a.poll(ctx, 0); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unlistedStarts[key] == nil
}

// anyTerm is the term of a fence that every dispatcher needs.
const anyTerm = 0

// fence stops a run in a life of the runner, or makes sure that the run never starts. If the
// runner does not list the run afterwards, there will be no run end. The dispatcher is then told
// that the order for the run, the start or the stop order, was refused, for the given reason.
// If ctx ends before, the dispatcher is told nothing, since the run may still start. A fence that the dispatcher of a term has
// ordered ends with that term: the next one may want the run.
func (a *Agent) fence(ctx context.Context, term, life uint64, key runKey, reason string) {
	for {
		if ctx.Err() != nil {
			return
		}
		a.mu.Lock()
		c, current := a.newCall(), a.life == life && (term == anyTerm || a.term == term)
		a.mu.Unlock()
		if !current {
			return // in a new life, the run is listed as pending in the report, and fenced
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.trackCall(func() error { return a.runner.Stop(callCtx, c, key.task, key.run) })
		cancel()
		if err == nil && a.poll(ctx, 0) == nil && !a.mayHaveEnded(key) {
			break
		}
		clock.WaitForWake(ctx, nil, retryDelay)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != life || a.isListed(key) {
		return // the run end is reported once it is listed
	}
	a.refuse(life, key, errors.New(reason))
}

// mayHaveEnded reports whether the latest listing leaves open if run key has ended.
func (a *Agent) mayHaveEnded(key runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.moreEnds && !a.isListed(key)
}

// isListed reports whether the latest listing shows run key as running, or as ended and
// not acknowledged. The caller holds mu.
func (a *Agent) isListed(key runKey) bool {
	for _, r := range a.runs {
		if r.Task == key.task && r.Run == key.run {
			return true
		}
	}
	for _, e := range a.runEnds {
		if e.Task == key.task && e.Run == key.run {
			return true
		}
	}
	return false
}

// collectUnresolvedStarts returns the starts that have not appeared in a listing and may take
// effect in the present life of the runner, which may have the same instance ID as the life
// that they were sent to. Starts that the runner answered are among them, since either life may
// have answered. All of them are in unlistedStarts afterwards, so that reports list them as pending
// until they are refused. The caller holds mu.
func (a *Agent) collectUnresolvedStarts(now time.Time) []runKey {
	for key, mayStartUntil := range a.unansweredStarts {
		if now.Before(mayStartUntil) && a.unlistedStarts[key] == nil {
			a.unlistedStarts[key] = &dispatch.Start{Task: key.task, Run: key.run}
		}
	}
	return slices.Collect(maps.Keys(a.unlistedStarts))
}

// addUnanswered records a start that may be sent now and is not answered yet, and removes recorded starts that are too
// old to take effect. The caller holds mu.
func (a *Agent) addUnanswered(now time.Time, key runKey) {
	maps.DeleteFunc(a.unansweredStarts, func(_ runKey, mayStartUntil time.Time) bool { return !now.Before(mayStartUntil) })
	a.unansweredStarts[key] = now.Add(maxStartDelay)
}
