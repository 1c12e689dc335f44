package batch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/lease"
)

// Intervals and time-outs of an agent.
const (
	roundInterval = 300 * time.Millisecond
	callTimeout   = time.Second
	// startupWait is how long a restarted agent admits no tasks, so that the starts
	// its predecessor sent are listed by then.
	startupWait = time.Second
)

// agent runs a lease.Holder: in each round it lists the worker's tasks, sends
// heartbeats to the entries and carries out the actions that follow.
type agent struct {
	w           *world
	name        string
	process     process
	machine     *machine
	holder      *lease.Holder
	incarnation uint64
	draining    bool
	primary     int
}

func newAgent(w *world, name string, m *machine) *agent {
	a := &agent{w: w, name: name, process: newProcess(w), machine: m}
	a.start()
	return a
}

func (a *agent) start() {
	a.incarnation++
	a.draining = false
	a.holder = new(lease.Holder)
	a.holder.SetRules(a.w.rules.Holder)
	a.holder.Ledger().RequireListingSince(a.process.clock().Add(startupWait))
	a.process.after(a.w.randomUpTo(roundInterval), a.round)
}

// restart replaces the agent, either at once (a crash) or after it has drained for
// a while (a planned restart).
func (a *agent) restart() {
	a.draining = true
	drainFor := a.w.randomUpTo(2*time.Second) * time.Duration(a.w.random.IntN(2))
	generation := a.process.generation
	a.w.schedule(drainFor, func() {
		if a.process.generation != generation {
			return
		}
		a.process.generation++
		a.start()
	})
}

// round lists the worker's tasks and begins the round's heartbeats. If the worker
// does not answer within callTimeout, the next round begins roundInterval later.
func (a *agent) round() {
	requestedAt := a.process.clock()
	done := false
	next := func() {
		if !done {
			done = true
			a.process.after(roundInterval, a.round)
		}
	}
	a.process.after(callTimeout, next)
	self := a.process.generationRef()
	a.w.send(func() {
		listing := a.machine.list()
		incarnation := a.machine.incarnation
		a.w.reply(self, func() {
			if done {
				return
			}
			done = true
			a.sendHeartbeats(requestedAt, listing, incarnation)
		})
	})
}

func (a *agent) sendHeartbeats(requestedAt time.Time, listing *lease.Listing, incarnation int) {
	a.holder.Observe(requestedAt, listing)
	reports := a.holder.Reports(listing)
	if a.w.chance(0.05) {
		a.primary = a.w.random.IntN(entries)
	}
	roundOver := false
	for i, e := range a.w.entries {
		b := &job.Heartbeat{
			Worker: a.name, Incarnation: a.incarnation, Round: a.holder.Round(),
			Ready: a.holder.Ledger().Ready(), Primary: i == a.primary, Reports: reports,
		}
		a.sendHeartbeat(e, b, func(r *lease.LogReading) {
			if !roundOver {
				a.holder.Apply(a.process.clock(), r, a.draining)
			}
		})
	}
	a.process.after(a.responseWait(), func() {
		roundOver = true
		for _, c := range a.holder.Actions() {
			a.w.send(func() { a.machine.execute(&c, incarnation) })
		}
		a.process.after(roundInterval, a.round)
	})
}

// responseWait returns how long the agent waits for the entries' responses before
// it acts on those it has.
func (a *agent) responseWait() time.Duration {
	if a.w.chance(0.2) {
		return callTimeout
	}
	return 4 * maxUsualDelay
}

func (a *agent) sendHeartbeat(e *entry, b *job.Heartbeat, deliver func(*lease.LogReading)) {
	if a.w.isCut(a.name, e.name) {
		return
	}
	self := a.process.generationRef()
	a.w.send(func() {
		e.process.after(0, func() {
			r := e.handleHeartbeat(b)
			if !a.w.isCut(e.name, a.name) {
				a.w.reply(self, func() { deliver(&r) })
			}
		})
	})
}
