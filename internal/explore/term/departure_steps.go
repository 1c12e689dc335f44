package term

import (
	"errors"
	"maps"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// departureState is what an agent keeps of the registration of its worker.
type departureState struct {
	// registration is the number that a dispatcher has told this process, 0 after a departure; departed is that of the
	// last departure.
	registration, departed uint64
	// announcedLife is the life of the runner that has said that it is about to end.
	announcedLife uint64
	// starting holds the starts that were sent to the runner and not answered yet.
	starting map[runKey]bool
}

// endInOrder has an agent's runner announce its end, and ends it a little later. The runner returns after a while, at times
// beside a new agent process, and at times the dispatcher is lost meanwhile.
func (w *world) endInOrder(a *agent, duration time.Duration) {
	a.announcedLife = a.runner.StartedAtMS()
	w.schedule(pingInterval+w.randomUpTo(time.Second), func() {
		if a.announcedLife != a.runner.StartedAtMS() {
			return // it has crashed before
		}
		a.crash(300*time.Millisecond + w.randomUpTo(3*time.Second))
		if w.random.IntN(2) == 0 {
			w.schedule(w.randomUpTo(1200*time.Millisecond), func() { a.restart(w.randomUpTo(time.Second)) })
		}
	})
	w.schedule(w.randomUpTo(4*time.Second), func() {
		if w.random.IntN(2) == 0 {
			w.isolateDispatcher(2 * duration)
		}
	})
}

func (a *agent) noteStarting(k runKey) {
	if a.starting == nil {
		a.starting = make(map[runKey]bool)
	}
	a.starting[k] = true
}

// refusesAsDeparted reports whether the worker has left and was not registered anew.
func (a *agent) refusesAsDeparted() bool {
	return a.registration == 0 && a.departed != 0
}

// hasLeft reports whether a poll that began at the given time and failed with err shows that the runner has ended in
// order, with no start that may still take effect.
func (a *agent) hasLeft(began time.Time, err error) bool {
	if a.registration == 0 || a.announcedLife != a.life || !errors.Is(err, errNotListening) || a.runnerClockReadAt.After(began) {
		return false
	}
	return !a.mayStillStart(began)
}

// mayStillStart reports whether a start may still take effect.
func (a *agent) mayStillStart(now time.Time) bool {
	for _, mayStartUntil := range a.unansweredStarts {
		if now.Before(mayStartUntil) {
			return true
		}
	}
	return len(a.starting) > 0
}

// depart gives up the registration and tells the entries that the leases of the last runs end within a time. Not all hear of
// it.
func (a *agent) depart(within time.Duration) {
	number := a.registration
	a.departed, a.registration = number, 0
	a.w.note("%s has left under registration %d, leases end within %s", a.name, number, within)
	for _, e := range a.w.entries {
		if a.w.random.IntN(3) == 0 || a.isCut() || e.isCut() {
			continue
		}
		e.later(a.w.randomUpTo(300*time.Millisecond), func() { e.noteDeparture(a.name, number, within) })
	}
}

// stop ends the agent process in order, which tells the entries by when the leases of its runs end. Another process begins
// after a while, at times beside an isolated dispatcher and long after these leases.
func (a *agent) stop(duration time.Duration) {
	if now := a.clock(); a.registration != 0 && !a.mayStillStart(now) {
		a.depart(max(0, a.lastRunLeaseEnd.Add(leaseSlack).Sub(now)))
	}
	downtime := a.w.randomUpTo(2 * time.Second)
	if a.w.random.IntN(3) == 0 {
		downtime = a.w.randomUpTo(15 * time.Second)
	}
	a.restart(downtime)
	if a.w.random.IntN(2) == 0 {
		a.w.schedule(a.w.randomUpTo(2*time.Second), func() { a.w.isolateDispatcher(2 * duration) })
	}
}

// handleRegistered takes in the registration that a dispatcher has told the agent.
func (a *agent) handleRegistered(c *conn, number uint64) {
	if a.conn == c && number > a.departed && number != a.registration {
		a.registration = number
		a.sendPing(a.clock())
	}
}

// tellRegistration tells an agent its registration, before any start.
func (e *entry) tellRegistration(worker string) {
	l, number := e.term.agents[worker], e.term.roster.Number(worker)
	if e.w.kinds&OrderlyDepartures == 0 || l == nil || l.conn == nil || number == 0 {
		return
	}
	c := l.conn
	c.send(&c.agent.process, func() { c.agent.handleRegistered(c, number) })
}

// needsName reports whether the name of a worker has to be stored before its report counts.
func (e *entry) needsName(h *heldReport) bool {
	t, w := e.term, h.worker
	number := t.roster.Number(w.Name)
	if e.w.kinds&OrderlyDepartures == 0 || e.w.rules.KeepRegistration {
		return number == 0
	}
	if w.Life == 0 && len(h.runs) == 0 {
		return false
	}
	if e.w.rules.KeepRegistrationInLife && w.Life != 0 && w.Life == t.scheduler.RunnerLife(w.Name) {
		return number == 0
	}
	return number == 0 || h.registration != number
}

// renewsLease reports whether a ping of a worker's agent renews its lease as far as its registration goes. Without
// AgentStops nothing relies on the end of a lease that an unregistered worker has, and it is renewed.
func (e *entry) renewsLease(worker string) bool {
	held := e.term.held[worker]
	return held == nil || e.w.kinds&AgentStops == 0 || e.w.rules.RenewUnregistered || !e.needsName(held)
}

// departure is a departure that an entry has noted: the number of the registration, and by when the leases of its runs end.
type departure struct {
	number uint64
	endsBy time.Time
}

// noteDeparture keeps the departure of a worker, and takes the worker off the roster.
func (e *entry) noteDeparture(worker string, number uint64, within time.Duration) {
	if number <= e.departures[worker].number {
		return
	}
	if e.departures == nil {
		e.departures = make(map[string]departure)
	}
	if e.w.rules.TrustStopAtOnce {
		within = 0
	}
	e.departures[worker] = departure{number, leadership.DepartureEndsBy(e.clock(), within)}
	if e.term != nil {
		e.applyDeparture(e.term, worker)
	}
}

// applyDeparture takes a worker that has left off the roster of the term t.
func (e *entry) applyDeparture(t *dispatcherState, worker string) {
	d := e.departures[worker]
	if !t.roster.Departed(worker, d.number) {
		return
	}
	if !e.clock().Before(d.endsBy) {
		e.takeOff(t, worker)
	}
	if t.departed == nil {
		t.departed = make(map[string]departure)
	}
	t.departed[worker] = d
}

// checkDeparted stops waiting for workers that have left, once a write since then has confirmed the term.
func (e *entry) checkDeparted(now time.Time, t *dispatcherState) {
	for _, worker := range slices.Sorted(maps.Keys(t.departed)) {
		d := t.departed[worker]
		if now.Before(d.endsBy) || !e.w.rules.TrustDepartureAtOnce && !e.confirmsEnd(now, d.endsBy) {
			continue
		}
		delete(t.departed, worker)
		number := t.roster.Number(worker)
		if number > d.number || number != 0 && t.agents[worker] != nil {
			continue
		}
		if number != 0 {
			e.takeOff(t, worker)
		}
		if t.scheduler.EarlierRunsEnded(worker) {
			e.w.note("%s in term %d does not wait for %s, which has left", e.name, t.number, worker)
		}
	}
}

// passDeparturesOn tells the dispatcher of the departures that this entry keeps.
func (e *entry) passDeparturesOn(dispatcher *entry) {
	for _, worker := range slices.Sorted(maps.Keys(e.departures)) {
		d := e.departures[worker]
		if dispatcher.departures[worker].number < d.number {
			within := max(0, d.endsBy.Sub(e.clock()))
			dispatcher.later(e.w.randomUpTo(300*time.Millisecond), func() { dispatcher.noteDeparture(worker, d.number, within) })
		}
	}
}
