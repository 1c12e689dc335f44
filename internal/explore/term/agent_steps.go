package term

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// Intervals and time-outs of agents whose calls take time, the same as for real agents.
const (
	callTimeout      = time.Second
	callRetryDelay   = 200 * time.Millisecond
	maxRunnerSilence = 2 * time.Second
	leaseSlack       = 300 * time.Millisecond
)

// Errors of calls to a simulated runner.
var (
	errNotListening = errors.New("no runner listens")
	errNotRun       = errors.New("the runner did not carry out the call")
	errNoAnswer     = errors.New("the runner did not answer")
)

// agentSteps is the state of an agent whose calls to the runner take time.
type agentSteps struct {
	// connecting is the connection on which the agent has not reported yet.
	connecting *conn
	polling    bool
	// lastRunLeaseEnd is the latest end of all run leases that the runner was asked for.
	lastRunLeaseEnd time.Time
	// reportedEmpty is set once the dispatcher was told that the worker runs nothing, until it is sent a
	// full report; emptyReportPing is the number of the ping that followed, answeredPing that of the last
	// answered ping.
	reportedEmpty                 bool
	emptyReportPing, answeredPing uint64
	// refused is set if the last empty report is of a runner that refused connections.
	refused bool
	// known is what the agent keeps of run ends. openPolls holds the numbers of the polls that have not ended, pollNumber is
	// the number of the last poll.
	known      knownEnds
	openPolls  map[uint64]bool
	pollNumber uint64
	departureState
}

// listing is the answer of a runner to a poll.
type listing struct {
	startedAtMS uint64
	clockMS     int64
	runs        []standin.RunStatus
	ends        []standin.RunEnd
}

// callRunner carries out op, a call to the runner that is meant for the life that the agent knows, and then
// calls then. The call takes time and may go unanswered; then is called once only.
func (a *agent) callRunner(op func() error, then func(err error)) {
	w, life, sent, generation, answered := a.w, a.life, a.clock(), a.generation, false
	answer := func(delay time.Duration, err error) {
		a.laterIn(generation, delay, func() {
			late := a.clock().Sub(sent) > callTimeout
			if answered || late && err != nil {
				return
			}
			answered = true
			if late && w.random.IntN(2) == 0 {
				err = errNoAnswer
			}
			then(err)
		})
	}
	a.later(callTimeout+tickInterval, func() { // the timer may be handled before an answer that has waited
		if !answered {
			answered = true
			then(errNoAnswer)
		}
	})
	if w.random.IntN(60) == 0 {
		if w.random.IntN(2) == 0 {
			w.schedule(w.runnerLatency(), func() { _ = a.reachRunner(life, op) }) // nobody hears the answer
		}
		return
	}
	a.leave(w.runnerLatency(), func() { answer(w.runnerLatency(), a.reachRunner(life, op)) })
}

// runnerLatency returns how long one way of a call to a runner takes, which is on the same machine.
func (w *world) runnerLatency() time.Duration {
	if w.random.IntN(10) == 0 {
		return w.randomUpTo(200 * time.Millisecond)
	}
	return w.randomUpTo(10 * time.Millisecond)
}

// reachRunner carries out a call that arrives at the runner and is meant for a life of it.
func (a *agent) reachRunner(life uint64, op func() error) error {
	switch {
	case a.w.now < a.runnerDownUntil:
		return errNotListening
	case life != 0 && life != a.runner.StartedAtMS() && !a.namesReused:
		return errNotRun
	}
	return op()
}

// tickInSteps is tick for an agent whose calls take time.
func (a *agent) tickInSteps() {
	now := a.clock()
	if a.conn != nil && (a.conn.broken && a.w.random.IntN(20) == 0 || now.Sub(a.lastPong) > 3*time.Second) {
		a.conn.broken, a.conn = true, nil
	}
	if a.connecting != nil && a.connecting.broken {
		a.connecting = nil
	}
	if a.conn == nil && a.connecting == nil && a.w.random.IntN(5) == 0 {
		a.connectInSteps(now)
	}
	if a.term != 0 && !a.polling && now.Sub(a.lastPoll) >= pollInterval {
		a.polling = true
		a.pollInSteps(func(error) { a.polling, a.lastPoll = false, a.clock() })
	}
	if a.conn != nil && now.Sub(a.lastPing) >= pingInterval {
		a.sendPing(now)
	}
}

// connectInSteps asks a random entry whether it is the dispatcher, and if so reports to it.
func (a *agent) connectInSteps(now time.Time) {
	fresh := a.term == 0
	if !a.w.rules.JoinAnyTerm && fresh && a.w.kinds&PartialViews == 0 {
		claim, _, _, err := a.w.storeClient.NewestClaim(context.Background())
		if err != nil {
			return
		}
		a.term = claim.Term
	}
	e := a.w.entries[a.w.random.IntN(entryCount)]
	if a.isCut() || e.isCut() || !a.w.connects(a.name, e.name) || a.w.now < e.frozenUntil || a.w.now < e.downUntil {
		return
	}
	e.resignIfOutdated(a.term)
	if e.term == nil || e.term.number < a.term {
		return
	}
	a.term, a.lastPong = e.term.number, now
	a.connecting = &conn{w: a.w, agent: a, entry: e, term: e.term.number, agentGeneration: a.generation, entryGeneration: e.generation}
	if fresh && a.w.kinds&PartialViews != 0 {
		a.connecting.newSince = e.clock()
	}
	a.firstPoll(a.connecting)
}

// firstPoll polls the runner until it answers or it is certain that nothing runs, and then reports.
func (a *agent) firstPoll(c *conn) {
	a.pollInSteps(func(err error) {
		if a.connecting != c || c.broken {
			return
		}
		if err != nil && !a.allRunsEnded(err) {
			a.later(callRetryDelay, func() {
				if a.connecting == c && !c.broken {
					a.firstPoll(c)
				}
			})
			return
		}
		now := a.clock()
		a.conn, a.connecting, a.lastPong = c, nil, now
		clear(a.pingSentAt)
		a.reportedAt, a.pingTimes, a.dispatcherLostStore, a.watching = now, make(map[uint64]time.Time), false, nil
		if err != nil {
			a.sendEmptyReport(now, err)
			return
		}
		a.reportedEmpty = false
		a.sendReport()
		a.sendPing(now)
	})
}

// allRunsEnded reports whether it is certain, after a poll that failed with err, that nothing runs.
func (a *agent) allRunsEnded(err error) bool {
	return errors.Is(err, errNotListening) || a.clock().After(a.lastRunLeaseEnd.Add(leaseSlack))
}

// sendEmptyReport tells the dispatcher that the worker runs nothing.
func (a *agent) sendEmptyReport(now time.Time, err error) {
	a.reportedEmpty, a.refused = true, errors.Is(err, errNotListening)
	for _, e := range a.runEnds {
		a.reportedEnd = max(a.reportedEnd, e.Number)
	}
	c, h := a.conn, &heldReport{worker: &dispatch.Worker{Name: a.name}, ended: a.refused, lives: a.endedLives(true), doneTasks: slices.Clone(a.known.doneTasks), newSince: a.conn.newSince}
	c.send(&c.entry.process, func() { c.entry.handleReportInSteps(c, h) })
	a.sendPing(now)
	a.emptyReportPing = a.pingSeq
}

// pollInSteps extends the leases of all runs at the runner and applies its listing.
func (a *agent) pollInSteps(then func(err error)) {
	began, number := a.clock(), a.beginPoll()
	ackedEnd, leaseEndMS, term := uint64(0), int64(0), a.term
	if began.Before(a.sameLifeUntil) || a.w.rules.IgnoreRunnerLife {
		ackedEnd, leaseEndMS = a.ackedEnd, a.runLeaseEndMS(began)
	}
	if leaseEndMS > 0 {
		a.extendLastRunLeaseEnd(began)
	}
	var l listing
	a.callRunner(func() error {
		if !a.runner.Admit(a.w.trueTime(), term, leaseEndMS) {
			return errNotRun
		}
		l = listing{startedAtMS: a.runner.StartedAtMS(), clockMS: a.runner.ClockMS(a.w.trueTime())}
		l.runs, l.ends = a.runner.List(a.w.trueTime(), ackedEnd)
		return nil
	}, func(err error) {
		othersOpen := len(a.openPolls) > 1 && !a.w.rules.TrustAnyRefusal
		if errors.Is(err, errNotListening) && (othersOpen || a.runnerClockReadAt.After(began)) {
			err = errNoAnswer // the answer to another poll may tell of ends, or of the next life
		}
		if err != nil {
			a.handlePollFailure(began, err)
		} else {
			a.handleListing(&l)
		}
		delete(a.openPolls, number)
		then(err)
	})
}

// beginPoll returns the number of a poll that begins.
func (a *agent) beginPoll() uint64 {
	if a.openPolls == nil {
		a.openPolls = make(map[uint64]bool)
	}
	a.pollNumber++
	a.openPolls[a.pollNumber] = true
	return a.pollNumber
}

func (a *agent) extendLastRunLeaseEnd(now time.Time) {
	if end := now.Add(a.w.rules.WorkerLeaseRemaining(&a.workerLease, now)); end.After(a.lastRunLeaseEnd) {
		a.lastRunLeaseEnd = end
	}
}

// handlePollFailure reports an empty worker once it is certain that nothing runs.
func (a *agent) handlePollFailure(began time.Time, err error) {
	a.sameLifeUntil = time.Time{}
	if a.hasLeft(began, err) {
		a.depart(0)
	}
	if a.reportedEmpty || a.conn == nil || a.runnerClockReadAt.After(began) || !a.allRunsEnded(err) {
		return
	}
	a.sendEmptyReport(a.clock(), err)
}

// handleListing applies a listing. It reports a new life at once, and then fences starts that may take effect
// in it one by one.
func (a *agent) handleListing(l *listing) {
	now := a.clock()
	if l.startedAtMS != a.life {
		if l.startedAtMS < a.life {
			return
		}
		a.keepEnds()
		a.life, a.reportedEmpty, a.reportedEnd, a.ackedEnd = l.startedAtMS, false, 0, 0
		for _, k := range sortedKeys(a.unansweredStarts) {
			if now.Before(a.unansweredStarts[k]) {
				a.unlistedStarts[k] = true
			}
		}
		unresolved := sortedKeys(a.unlistedStarts)
		a.applyListingRead(now, l)
		if a.w.rules.SkipFencingInNewLife {
			clear(a.unlistedStarts)
			unresolved = nil
		}
		if a.conn != nil {
			a.sendReport()
		}
		for _, k := range unresolved {
			a.fence(l.startedAtMS, k)
		}
		return
	}
	if l.clockMS < a.runnerClockMS {
		return
	}
	if a.reportedEmpty && a.refused && a.w.violation == nil {
		a.w.violation = fmt.Errorf("at %s: %s reads a listing of life %d, which it has reported to have ended", a.w.now, a.name, a.life)
	}
	a.applyListingRead(now, l)
	if a.reportedEmpty {
		if a.conn != nil && a.answeredPing >= a.emptyReportPing {
			a.reportedEmpty = false
			a.sendReport()
		}
		return
	}
	a.sendNewEnds()
}

// applyListingRead applies a listing that was read from the runner earlier.
func (a *agent) applyListingRead(now time.Time, l *listing) {
	a.applyListing(now, l.runs, l.ends)
	a.runnerClockMS = l.clockMS
}

// handleOrdersInSteps carries out a dispatcher's orders.
func (a *agent) handleOrdersInSteps(starts []dispatch.Start, stops []dispatch.Stop) {
	now := a.clock()
	for _, s := range starts {
		k, leaseEndMS := runKey{s.Task, s.Run}, a.runLeaseEndMS(now)
		if !a.acceptsStart(&s, leaseEndMS) {
			a.sendRefusal(s.Life, k)
			continue
		}
		a.extendLastRunLeaseEnd(now)
		a.startInSteps(k, leaseEndMS)
	}
	for _, s := range stops {
		a.fence(s.Life, runKey{s.Task, s.Run})
	}
}

// acceptsStart reports whether a start with a lease up to leaseEndMS may be carried out as far as the agent knows its runner.
func (a *agent) acceptsStart(s *dispatch.Start, leaseEndMS int64) bool {
	now := a.clock()
	return s.Life == a.life && !a.reportedEmpty && !a.refusesAsDeparted() && now.Sub(a.runnerClockReadAt) <= maxRunnerSilence &&
		leaseEndMS != 0 && a.w.rules.WorkerLeaseRemaining(&a.workerLease, now) >= minLeaseLeft
}

// startInSteps calls the runner to start a run. If the call is not answered, and the run not listed, it makes
// sure that the run never starts.
func (a *agent) startInSteps(k runKey, leaseEndMS int64) {
	a.unlistedStarts[k] = true
	a.noteStarting(k)
	term, life, generation, behaviour := a.term, a.life, a.generation, a.w.behaviour(k.task.String())
	start := func() error {
		prolongTo := leaseEndMS
		if life != a.runner.StartedAtMS() {
			prolongTo = 0 // a limit of the protocol that is left out: the time is on the clock of an earlier life
		}
		if !a.runner.Admit(a.w.trueTime(), term, prolongTo) || a.runner.Start(a.w.trueTime(), k.task.String(), k.run, leaseEndMS, behaviour) != "" {
			return errNotRun
		}
		return nil
	}
	if a.w.now < a.startsDelayedUntil {
		a.w.schedule(2*time.Second+a.w.randomUpTo(10*time.Second), func() {
			// The same limit of the protocol as in startRun: no agent fences the start in a later life before
			// it has seen that life, nor while it is held up.
			fenced := a.generation == generation && a.life == a.runner.StartedAtMS() && !a.unlistedStarts[k]
			if life == a.runner.StartedAtMS() || fenced {
				a.w.judge.late = true
				_ = a.reachRunner(life, start)
				a.w.judge.late = false
			}
		})
		a.later(callTimeout, func() { a.startUnanswered(life, k) })
		return
	}
	a.callRunner(start, func(err error) {
		delete(a.starting, k)
		switch {
		case err == nil:
		case errors.Is(err, errNoAnswer):
			a.startUnanswered(life, k)
		default:
			a.sendRefusal(life, k)
		}
	})
}

// startUnanswered handles a start without an answer.
func (a *agent) startUnanswered(life uint64, k runKey) {
	delete(a.starting, k)
	a.unansweredStarts[k] = a.clock().Add(maxStartDelay)
	if a.w.rules.SkipFencing {
		a.sendRefusal(life, k)
		return
	}
	a.pollInSteps(func(err error) {
		if err != nil || a.unlistedStarts[k] {
			a.fence(life, k)
		}
	})
}

// fence stops a run in a life of the runner, or makes sure that it never starts there. If the runner does not
// list the run afterwards, the dispatcher is told that it does not run.
func (a *agent) fence(life uint64, k runKey) {
	if a.life != life {
		return
	}
	term := a.term
	again := func() { a.later(callRetryDelay, func() { a.fence(life, k) }) }
	a.callRunner(func() error {
		if !a.runner.Admit(a.w.trueTime(), term, 0) {
			return errNotRun
		}
		a.runner.Stop(a.w.trueTime(), k.task.String(), k.run)
		return nil
	}, func(err error) {
		if err != nil {
			again()
			return
		}
		a.pollInSteps(func(err error) {
			switch {
			case err != nil:
				again()
			case a.life == life && !a.isListed(k):
				a.sendRefusal(life, k)
			}
		})
	})
}

// isListed reports whether the runner's last listing has a run or its end.
func (a *agent) isListed(k runKey) bool {
	for _, r := range a.runs {
		if (runKey{r.Task, r.Run}) == k {
			return true
		}
	}
	return a.isListedAsEnded(k)
}

// crash ends the runner, which starts again after a while.
func (a *agent) crash(downtime time.Duration) {
	a.runner.Restart(a.w.trueTime())
	a.runnerDownUntil = a.w.now + downtime
	a.w.schedule(downtime, func() {
		if a.w.now >= a.runnerDownUntil {
			a.runner.Restart(a.w.trueTime())
		}
	})
}
