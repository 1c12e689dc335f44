package endpoint

import (
	"math"
	"time"
)

// Verdict says what becomes of a ticket that was offered.
type Verdict uint8

// The verdicts.
const (
	// Start means that the ticket holds a slot now.
	Start Verdict = iota
	// Wait means that the ticket waits in the queue.
	Wait
	// Shed means that the ticket is refused and was not run.
	Shed
)

var verdictNames = [...]string{"start", "wait", "shed"}

// String returns the word used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// demandWindow is the time constant of the learned demand of short work.
const demandWindow = 300 * time.Millisecond

// reserveExtra is added to the learned demand before it is cut to whole slots.
const reserveExtra = 0.5

// Gate gives out an endpoint's slots: never more than it has, and with slots
// kept free for short work according to what that has asked for lately. The
// zero value lets nothing in; see SetLimits. It is not safe for concurrent use.
type Gate struct {
	slots       int
	connections int
	queue       Queue
	running     int
	runningLong int
	// shortDemand is the mean number of short requests that run or wait.
	shortDemand float64
	shortWaits  int
	at          time.Time
}

// SetLimits sets the ceilings: slots, and connections as the most requests
// that run or wait together.
func (g *Gate) SetLimits(slots, connections int) { g.slots, g.connections = slots, connections }

// Running returns the number of slots in use.
func (g *Gate) Running() int { return g.running }

// RunningLong returns the number of slots in use by long work.
func (g *Gate) RunningLong() int { return g.runningLong }

// Waiting returns the number of tickets that wait.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Reserve returns the number of slots that long work may not use.
func (g *Gate) Reserve() int {
	if g.slots <= 1 {
		return 0
	}
	return min(max(int(g.shortDemand+reserveExtra), 1), g.slots-1)
}

// Offer takes in a ticket. If a less important one had to make room, it is
// returned as the victim.
func (g *Gate) Offer(now time.Time, t *Ticket) (verdict Verdict, victim *Ticket, reason string) {
	g.learn(now)
	if t.hopeless(now) && now.After(t.deadline) {
		return Shed, nil, "the deadline has passed"
	}
	if g.running+g.queue.Len() >= g.connections {
		victim = g.queue.Last()
		if victim == nil || levelOf(victim) <= levelOf(t) {
			return Shed, nil, "the endpoint is full"
		}
		g.remove(victim)
	}
	if g.free(t) && g.queue.Peek(!t.long) == nil {
		g.start(t)
		return Start, victim, "a slot is free"
	}
	g.queue.Push(t)
	if !t.long {
		g.shortWaits++
	}
	return Wait, victim, "all slots are taken"
}

// Cancel takes out a waiting ticket and reports whether it was waiting.
func (g *Gate) Cancel(now time.Time, t *Ticket) bool {
	g.learn(now)
	return g.remove(t)
}

func (g *Gate) remove(t *Ticket) bool {
	if !g.queue.Remove(t) {
		return false
	}
	if !t.long {
		g.shortWaits--
	}
	return true
}

// Release gives back the slot of a ticket that has ended.
func (g *Gate) Release(now time.Time, t *Ticket) {
	g.learn(now)
	g.running--
	if t.long {
		g.runningLong--
	}
}

// Next returns the ticket to start now, or one that is too late and must be
// refused. It returns nil if there is none; call it until then.
func (g *Gate) Next(now time.Time) (*Ticket, Verdict) {
	t := g.queue.Peek(false)
	if t != nil && !g.free(t) {
		t = g.queue.Peek(true)
	}
	if t == nil || !g.free(t) {
		return nil, Wait
	}
	if t.hopeless(now) {
		g.remove(t)
		return t, Shed
	}
	g.queue.Take(t)
	if !t.long {
		g.shortWaits--
	}
	g.start(t)
	return t, Start
}

func (g *Gate) free(t *Ticket) bool {
	if g.running >= g.slots {
		return false
	}
	return !t.long || g.runningLong < g.slots-g.Reserve()
}

func (g *Gate) start(t *Ticket) {
	g.running++
	if t.long {
		g.runningLong++
	}
}

// learn moves the demand of short work towards what it is now.
func (g *Gate) learn(now time.Time) {
	passed := now.Sub(g.at)
	if passed <= 0 {
		return
	}
	demand := float64(g.running - g.runningLong + g.shortWaits)
	g.shortDemand += weight(passed, demandWindow) * (demand - g.shortDemand)
	g.at = now
}

// weight returns the weight of a value that held for the time passed.
func weight(passed, window time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/window.Seconds())
}
