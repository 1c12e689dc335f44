package batch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/lease"
)

// Times of an agent.
const (
	roundEvery  = 300 * time.Millisecond
	callTimeout = time.Second
	// startsSettle is how long a restarted agent admits nothing.
	startsSettle = time.Second
)

// agent drives a holder through rounds.
type agent struct {
	w           *world
	name        string
	host        host
	machine     *machine
	holder      *lease.Holder
	incarnation uint64
	leaving     bool
	primary     int
}

func newAgent(w *world, name string, m *machine) *agent {
	a := &agent{w: w, name: name, host: newHost(w), machine: m}
	a.boot()
	return a
}

func (a *agent) boot() {
	a.incarnation++
	a.leaving = false
	a.holder = new(lease.Holder)
	a.holder.SetRules(a.w.rules.Holder)
	a.holder.Ledger().RequireListingSince(a.host.clock().Add(startsSettle))
	a.host.after(a.w.upTo(roundEvery), a.round)
}

// restart kills the agent, or stops it as planned, and starts another.
func (a *agent) restart() {
	a.leaving = true
	planned := a.w.upTo(2*time.Second) * time.Duration(a.w.random.IntN(2))
	generation := a.host.generation
	a.w.schedule(planned, func() {
		if a.host.generation != generation {
			return
		}
		a.host.generation++
		a.boot()
	})
}

// round lists the worker, tells the entries, and acts on their answers.
func (a *agent) round() {
	asked := a.host.clock()
	answered := false
	next := func() {
		if !answered {
			answered = true
			a.host.after(roundEvery, a.round)
		}
	}
	a.host.after(callTimeout, next)
	self := a.host.process()
	a.w.send(func() {
		listing := a.machine.list()
		incarnation := a.machine.incarnation
		a.w.reply(self, func() {
			if answered {
				return
			}
			answered = true
			a.beat(asked, listing, incarnation)
		})
	})
}

func (a *agent) beat(asked time.Time, listing *lease.Listing, incarnation int) {
	a.holder.Observe(asked, listing)
	reports := a.holder.Reports(listing)
	if a.w.chance(0.05) {
		a.primary = a.w.random.IntN(entries)
	}
	closed := false
	for i, e := range a.w.entries {
		b := &job.Heartbeat{
			Worker: a.name, Incarnation: a.incarnation, Round: a.holder.Round(),
			Ready: a.holder.Ledger().Ready(), Primary: i == a.primary, Reports: reports,
		}
		a.tell(e, b, func(r *lease.LogReading) {
			if !closed {
				a.holder.Apply(a.host.clock(), r, a.leaving)
			}
		})
	}
	a.host.after(a.waitFor(), func() {
		closed = true
		for _, c := range a.holder.Actions() {
			a.w.send(func() { a.machine.do(&c, incarnation) })
		}
		a.host.after(roundEvery, a.round)
	})
}

// waitFor is how long the agent waits for the entries' answers.
func (a *agent) waitFor() time.Duration {
	if a.w.chance(0.2) {
		return callTimeout
	}
	return 4 * usualDelay
}

func (a *agent) tell(e *entry, b *job.Heartbeat, done func(*lease.LogReading)) {
	if a.w.isCut(a.name, e.name) {
		return
	}
	self := a.host.process()
	a.w.send(func() {
		e.host.after(0, func() {
			r := e.heartbeat(b)
			if !a.w.isCut(e.name, a.name) {
				a.w.reply(self, func() { done(&r) })
			}
		})
	})
}
