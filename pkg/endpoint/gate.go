package endpoint

import (
	"math"
	"time"
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Start means that the request now holds a slot or is sent to an endpoint.
	Start Verdict = iota
	// Wait means that the request waits in the queue.
	Wait
	// Shed means that the request is refused without having run.
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
	maxRequests int
	queue       Queue
	running     int
	runningLong int
	// shortDemand is the moving average of the number of short requests that run or
	// wait.
	shortDemand     float64
	shortWaiting    int
	demandUpdatedAt time.Time
}

// SetLimits sets the number of slots, and the most requests that may run or wait at a
// time.
func (g *Gate) SetLimits(slots, maxRequests int) { g.slots, g.maxRequests = slots, maxRequests }

// RunningCount returns the number of slots in use.
func (g *Gate) RunningCount() int { return g.running }

// RunningLongCount returns the number of slots in use by long work.
func (g *Gate) RunningLongCount() int { return g.runningLong }

// WaitingCount returns the number of requests that wait.
func (g *Gate) WaitingCount() int { return g.queue.Len() }

// ReservedSlots returns the number of slots that long work may not use.
func (g *Gate) ReservedSlots() int {
	if g.slots <= 1 {
		return 0
	}
	return min(max(int(g.shortDemand+reserveMargin), 1), g.slots-1)
}

// Offer starts, queues or refuses a request. A less important waiting request that was
// removed from the queue to make room for it is returned as the victim.
func (g *Gate) Offer(now time.Time, request *SlotRequest) (verdict Verdict, victim *SlotRequest, reason string) {
	g.updateDemand(now)
	if request.tooLate(now) && now.After(request.deadline) {
		return Shed, nil, "the deadline has passed"
	}
	if g.running+g.queue.Len() >= g.maxRequests {
		victim = g.queue.ShedCandidate()
		if victim == nil || levelOf(victim) <= levelOf(request) {
			return Shed, nil, "the endpoint is full"
		}
		g.remove(victim)
	}
	if g.slotFree(request) && g.queue.Peek(!request.long) == nil {
		g.start(request)
		return Start, victim, "a slot is free"
	}
	g.queue.Push(request)
	if !request.long {
		g.shortWaiting++
	}
	return Wait, victim, "all slots are taken"
}

// Cancel removes a waiting request and reports whether it was waiting.
func (g *Gate) Cancel(now time.Time, request *SlotRequest) bool {
	g.updateDemand(now)
	return g.remove(request)
}

func (g *Gate) remove(request *SlotRequest) bool {
	if !g.queue.Remove(request) {
		return false
	}
	if !request.long {
		g.shortWaiting--
	}
	return true
}

// Release frees the slot of a request that has ended.
func (g *Gate) Release(now time.Time, request *SlotRequest) {
	g.updateDemand(now)
	g.running--
	if request.long {
		g.runningLong--
	}
}

// Next returns the waiting request to start now, or one that can no longer meet its
// deadline and must be refused. It returns nil if there is neither; the caller must
// call Next until then.
func (g *Gate) Next(now time.Time) (*SlotRequest, Verdict) {
	request := g.queue.Peek(false)
	if request != nil && !g.slotFree(request) {
		request = g.queue.Peek(true)
	}
	if request == nil || !g.slotFree(request) {
		return nil, Wait
	}
	if request.tooLate(now) {
		g.remove(request)
		return request, Shed
	}
	g.queue.Take(request)
	if !request.long {
		g.shortWaiting--
	}
	g.start(request)
	return request, Start
}

// slotFree reports whether a slot is free that the request may use.
func (g *Gate) slotFree(request *SlotRequest) bool {
	if g.running >= g.slots {
		return false
	}
	return !request.long || g.runningLong < g.slots-g.ReservedSlots()
}

func (g *Gate) start(request *SlotRequest) {
	g.running++
	if request.long {
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

// decayWeight returns the weight, in an exponential moving average with the given time
// constant, of a value that held for the time passed.
func decayWeight(passed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/timeConstant.Seconds())
}
