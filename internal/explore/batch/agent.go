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
	// startupWait is how long a restarted agent starts no tasks. By then the worker lists
	// the tasks whose starts the agent sent before it restarted.
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
	// primary is the index of the agent's primary entry.
	primary int
}

func newAgent(w *world, name string, m *machine) *agent {
	a := &agent{w: w, name: name, process: newProcess(w), machine: m}
	a.start()
	return a
}

// start starts the agent's process without state.
func (a *agent) start() {
	a.incarnation++
	a.draining = false
	a.holder = new(lease.Holder)
	a.holder.SetRules(a.w.rules.Holder)
	a.holder.Ledger().RequireListingSince(a.process.clock().Add(startupWait))
	a.process.after(a.w.randomUpTo(roundInterval), a.round)
}

// restart replaces the agent's process, either at once (a crash) or after the agent has
// drained for a while (a planned restart).
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

// round asks the worker for its tasks and begins the round's heartbeats. If the worker
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

// sendHeartbeats applies a listing of the worker's tasks, sends heartbeats to all entries,
// and later carries out the actions that follow from their responses. requestedAt is
// when the listing was requested, incarnation the worker's at that listing.
func (a *agent) sendHeartbeats(requestedAt time.Time, listing *lease.Listing, incarnation int) {
	a.holder.Observe(requestedAt, listing)
	reports := a.holder.Reports(listing)
	if a.w.chance(0.05) {
		a.primary = a.w.random.IntN(entryCount)
	}
	roundOver := false
	for i, e := range a.w.entries {
		heartbeat := &job.Heartbeat{
			Worker: a.name, Incarnation: a.incarnation, Round: a.holder.Round(),
			Ready: a.holder.Ledger().Ready(), Primary: i == a.primary, Reports: reports,
		}
		a.sendHeartbeat(e, heartbeat, func(r *lease.LogReading) {
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

// responseWait returns how long the agent waits for the entries' responses before it acts
// on the responses that have arrived.
func (a *agent) responseWait() time.Duration {
	if a.w.chance(0.2) {
		return callTimeout
	}
	return 4 * maxUsualMessageDelay
}

// sendHeartbeat sends a heartbeat to an entry. deliver handles the log reading in the
// entry's response.
func (a *agent) sendHeartbeat(e *entry, heartbeat *job.Heartbeat, deliver func(*lease.LogReading)) {
	if a.w.isCut(a.name, e.name) {
		return
	}
	self := a.process.generationRef()
	a.w.send(func() {
		e.process.after(0, func() {
			r := e.handleHeartbeat(heartbeat)
			if !a.w.isCut(e.name, a.name) {
				a.w.reply(self, func() { deliver(&r) })
			}
		})
	})
}
