package endpoint

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limits of the choice.
const (
	// fullScan is the number of endpoints up to which all are compared.
	fullScan = 24
	// sampleSize is the number compared beyond that.
	sampleSize = 8
	// slack is how many requests may wait at an endpoint, as a part of its slots.
	slack = 0.25
	// loadCost is how much a full endpoint slows its requests down.
	loadCost = 0.25
	// slownessWeight is the weight of a new sample in an endpoint's slowness.
	slownessWeight = 0.1
	// slownessCap bounds one sample's ratio to the mean, so that stragglers count little.
	slownessCap = 8
	// slownessHalf is the time after which half of an endpoint's slowness is forgiven.
	slownessHalf = 10 * time.Second
	// slowFrom is the slowness from which on short work rather waits a little.
	slowFrom = 1.7
	// limitCut is the factor by which a refusal lowers an endpoint's limit.
	limitCut = 0.7
)

// The reasons given for a choice.
const (
	reasonOnly    = "the only endpoint"
	reasonLeast   = "least cost of all"
	reasonSampled = "least cost of a sample"
	reasonProbe   = "probe of an ejected endpoint"
	reasonFloor   = "all others are out"
)

// pick finds the endpoint with the least cost.
func (t *Table) pick(now time.Time, random *rand.Rand, ticket *Ticket, skip string) (*Endpoint, string, error) {
	n := len(t.list)
	if n == 0 {
		return nil, "", ErrNone
	}
	looks, reason := n, reasonLeast
	if n > fullScan {
		looks, reason = sampleSize, reasonSampled
	}
	best, usable := t.scan(now, random, ticket, skip, looks)
	if best == nil && looks < n {
		best, usable = t.scan(now, random, ticket, skip, n)
	}
	switch {
	case best != nil && best.Probing():
		return best, reasonProbe, nil
	case best != nil:
		return best, reason, nil
	case usable > 0:
		return nil, "", ErrBusy
	}
	return t.lastResort(now, ticket, skip)
}

// scan compares so many endpoints from a random one on. It returns the best
// that has room, and how many take requests at all.
func (t *Table) scan(now time.Time, random *rand.Rand, ticket *Ticket, skip string, looks int) (*Endpoint, int) {
	n := len(t.list)
	i := int(random.Uint64N(uint64(n)))
	step := 1
	if looks < n {
		step = 1 + int(random.Uint64N(uint64(n-1)))
	}
	var best, bestCold *Endpoint
	bestCost, coldCost := math.Inf(1), math.Inf(1)
	usable, warm := 0, 0
	for range looks {
		e := t.list[i]
		i = (i + step) % n
		if !e.usable(now) || e.report.Name == skip {
			continue
		}
		usable++
		started := e.warm(now)
		if started {
			warm++
		}
		if !e.room(ticket) {
			continue
		}
		c := e.cost(now)
		if c < bestCost && (started || e.ramped(now)) {
			best, bestCost = e, c
		}
		if c < coldCost && !started {
			bestCold, coldCost = e, c
		}
	}
	if best == nil && warm == 0 {
		best = bestCold // nothing else could take the requests meanwhile
	}
	return best, usable
}

// lastResort returns an ejected or skipped endpoint if there is no other.
func (t *Table) lastResort(now time.Time, ticket *Ticket, skip string) (*Endpoint, string, error) {
	var best *Endpoint
	known := false
	for _, e := range t.list {
		if e.report.Leaving || e.stale(now) || e.report.Slots == 0 {
			continue
		}
		known = true
		if e.InFlight() < e.mostFor(ticket) && (best == nil || best.report.Name == skip || e.InFlight() < best.InFlight()) {
			best = e
		}
	}
	switch {
	case best != nil && len(t.list) == 1:
		return best, reasonOnly, nil
	case best != nil:
		return best, reasonFloor, nil
	case known:
		return nil, "", ErrBusy
	}
	return nil, "", ErrNone
}

func (e *Endpoint) stale(now time.Time) bool { return now.Sub(e.heard) > StaleAfter }

func (e *Endpoint) usable(now time.Time) bool {
	return !e.report.Leaving && !e.stale(now) && !e.Ejected(now) && e.report.Slots > 0
}

// Takes reports whether some endpoint takes requests.
func (t *Table) Takes(now time.Time) bool {
	for _, e := range t.list {
		if e.usable(now) {
			return true
		}
	}
	return false
}

// most returns how many requests the endpoint may have in flight.
func (e *Endpoint) most() float64 {
	top := float64(e.report.Slots) * (1 + slack)
	if e.limit > 0 {
		return min(e.limit, top)
	}
	return top
}

// mostFor returns how many requests like ticket's the endpoint may have in flight.
func (e *Endpoint) mostFor(ticket *Ticket) int {
	if ticket.long {
		return min(e.report.Slots, int(e.most()))
	}
	return int(e.most())
}

// room reports whether the endpoint can take a ticket now.
func (e *Endpoint) room(ticket *Ticket) bool {
	n := e.InFlight()
	if e.Probing() {
		return e.sent == 0
	}
	if ticket.long && e.sentLong+e.othersLong >= e.report.Slots-e.report.Load.Reserved {
		return false
	}
	return n < e.mostFor(ticket) || e.sent == 0 && !ticket.long
}

// warm reports whether an endpoint takes its full share.
func (e *Endpoint) warm(now time.Time) bool {
	if e.cold && now.Sub(e.started) >= slowStart {
		e.cold = false
	}
	return !e.cold
}

// ramped reports whether a starting endpoint may take one more request.
func (e *Endpoint) ramped(now time.Time) bool {
	ramp := float64(e.report.Slots) * now.Sub(e.started).Seconds() / slowStart.Seconds()
	return float64(e.InFlight()) < max(1, ramp)
}

// cost estimates how long a request takes there, with an idle endpoint of the
// usual speed as 1.
func (e *Endpoint) cost(now time.Time) float64 {
	slots := max(e.report.Slots, 1)
	n := e.InFlight()
	c := e.Slowness(now) * (1 + loadCost*float64(n)/float64(slots))
	if n >= slots {
		c += e.Slowness(now) * float64(n-slots+1)
	}
	return c
}

// Slowness returns how many times longer than elsewhere requests take there.
func (e *Endpoint) Slowness(now time.Time) float64 {
	if e.slowness <= 1 {
		return 1
	}
	passed := now.Sub(e.slownessAt)
	if passed <= 0 {
		return e.slowness
	}
	return 1 + (e.slowness-1)*math.Exp2(-passed.Seconds()/slownessHalf.Seconds())
}

// Learn takes in how long a request took there and how long it takes on the average.
func (t *Table) Learn(now time.Time, e *Endpoint, took, mean time.Duration) {
	ratio := min(took.Seconds()/max(mean.Seconds(), 1e-6), slownessCap)
	s := e.Slowness(now)
	if e.slowness > 0 && e.slowness < 1 {
		s = e.slowness
	}
	e.slowness = s + slownessWeight*(ratio-s)
	e.slownessAt = now
}

// Refused lowers the endpoint's limit after it refused a request for being full.
func (t *Table) Refused(e *Endpoint) {
	e.limit = max(1, limitCut*min(e.most(), float64(max(e.InFlight(), 1))))
}

// Accepted raises a lowered limit, by about one for each round of requests.
func (t *Table) Accepted(e *Endpoint) {
	if e.limit <= 0 {
		return
	}
	e.limit += 1 / max(e.limit, 1)
	if e.limit >= float64(e.report.Slots)*(1+slack) {
		e.limit = 0
	}
}
