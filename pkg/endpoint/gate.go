package endpoint

import (
	"math"
	"time"
)

// Verdict is the decision on a ticket.
type Verdict uint8

// The verdicts.
const (
	// Start means that the ticket now holds a slot.
	Start Verdict = iota
	// Wait means that the ticket waits in the queue.
	Wait
	// Shed means that the ticket is refused without having run.
	Shed
)

var verdictNames = [...]string{"start", "wait", "shed"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// demandTimeConstant is the time constant of the moving average of short work's
// demand.
const demandTimeConstant = 300 * time.Millisecond

// reserveMargin, in slots, is added to the average demand before it is rounded
// down to whole slots.
const reserveMargin = 0.5

// Gate is the admission control of one endpoint. It never grants more slots than
// the endpoint has, and keeps slots free for short work according to its recent
// demand. The zero value admits nothing; see SetLimits. It is not safe for
// concurrent use.
type Gate struct {
	slots       int
	connections int
	queue       Queue
	running     int
	runningLong int
	// shortDemand is the moving average of short requests that run or wait.
	shortDemand     float64
	shortWaiting    int
	demandUpdatedAt time.Time
}

// SetLimits sets the limits: slots, and connections as the most requests that
// run or wait together.
func (g *Gate) SetLimits(slots, connections int) { g.slots, g.connections = slots, connections }

// Running returns the number of slots in use.
func (g *Gate) Running() int { return g.running }

// RunningLong returns the number of slots in use by long work.
func (g *Gate) RunningLong() int { return g.runningLong }

// Waiting returns the number of tickets that wait.
func (g *Gate) Waiting() int { return g.queue.Len() }

// ReservedSlots returns the number of slots that long work may not use.
func (g *Gate) ReservedSlots() int {
	if g.slots <= 1 {
		return 0
	}
	return min(max(int(g.shortDemand+reserveMargin), 1), g.slots-1)
}

// Offer starts, queues or refuses a ticket. A less important ticket that had to
// make room for it is returned as the victim.
func (g *Gate) Offer(now time.Time, t *Ticket) (verdict Verdict, victim *Ticket, reason string) {
	g.updateDemand(now)
	if t.tooLate(now) && now.After(t.deadline) {
		return Shed, nil, "the deadline has passed"
	}
	if g.running+g.queue.Len() >= g.connections {
		victim = g.queue.ShedCandidate()
		if victim == nil || levelOf(victim) <= levelOf(t) {
			return Shed, nil, "the endpoint is full"
		}
		g.remove(victim)
	}
	if g.slotFree(t) && g.queue.Peek(!t.long) == nil {
		g.start(t)
		return Start, victim, "a slot is free"
	}
	g.queue.Push(t)
	if !t.long {
		g.shortWaiting++
	}
	return Wait, victim, "all slots are taken"
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (g *Gate) Cancel(now time.Time, t *Ticket) bool {
	g.updateDemand(now)
	return g.remove(t)
}

func (g *Gate) remove(t *Ticket) bool {
	if !g.queue.Remove(t) {
		return false
	}
	if !t.long {
		g.shortWaiting--
	}
	return true
}

// Release frees the slot of a ticket that has ended.
func (g *Gate) Release(now time.Time, t *Ticket) {
	g.updateDemand(now)
	g.running--
	if t.long {
		g.runningLong--
	}
}

// Next returns the ticket to start now, or one that can no longer meet its
// deadline and must be refused. It returns nil if there is none; call it until
// then.
func (g *Gate) Next(now time.Time) (*Ticket, Verdict) {
	t := g.queue.Peek(false)
	if t != nil && !g.slotFree(t) {
		t = g.queue.Peek(true)
	}
	if t == nil || !g.slotFree(t) {
		return nil, Wait
	}
	if t.tooLate(now) {
		g.remove(t)
		return t, Shed
	}
	g.queue.Take(t)
	if !t.long {
		g.shortWaiting--
	}
	g.start(t)
	return t, Start
}

func (g *Gate) slotFree(t *Ticket) bool {
	if g.running >= g.slots {
		return false
	}
	return !t.long || g.runningLong < g.slots-g.ReservedSlots()
}

func (g *Gate) start(t *Ticket) {
	g.running++
	if t.long {
		g.runningLong++
	}
}

// updateDemand moves the average demand of short work towards the current one.
func (g *Gate) updateDemand(now time.Time) {
	passed := now.Sub(g.demandUpdatedAt)
	if passed <= 0 {
		return
	}
	demand := float64(g.running - g.runningLong + g.shortWaiting)
	g.shortDemand += decayWeight(passed, demandTimeConstant) * (demand - g.shortDemand)
	g.demandUpdatedAt = now
}

// decayWeight returns the weight, in an exponential moving average, of a value
// that held for the time passed.
func decayWeight(passed, window time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/window.Seconds())
}
