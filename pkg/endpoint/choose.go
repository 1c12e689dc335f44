package endpoint

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the choice of an endpoint.
const (
	// fullScanMax is the number of endpoints up to which all of them are compared.
	fullScanMax = 24
	// sampleSize is the number of endpoints compared if there are more.
	sampleSize = 8
	// queueSlack is how many requests may wait at an endpoint, as a share of its
	// slots.
	queueSlack = 0.25
	// loadPenalty is how much longer a request is expected to take at an
	// endpoint whose slots are all busy, as a share of its time at an idle one.
	loadPenalty = 0.25
	// slownessWeight is the weight of a new sample in an endpoint's slowness.
	slownessWeight = 0.1
	// maxSlownessSample bounds one sample's ratio to the mean, so that single
	// stragglers count little.
	maxSlownessSample = 8
	// slownessHalfLife is the time after which half of an endpoint's slowness is
	// forgotten.
	slownessHalfLife = 10 * time.Second
	// slowThreshold is the slowness from which short work may wait for another
	// endpoint instead.
	slowThreshold = 1.7
	// limitDecrease is the factor by which a refusal lowers an endpoint's limit on
	// requests in flight.
	limitDecrease = 0.7
)

// The reasons given for a choice.
const (
	reasonOnly       = "the only endpoint"
	reasonLeast      = "least cost of all"
	reasonSampled    = "least cost of a sample"
	reasonProbe      = "probe of an ejected endpoint"
	reasonLastResort = "no other endpoint can be used"
)

// pick returns the endpoint with the lowest cost and the reason for the choice. skip
// names an endpoint to avoid, or is "".
func (t *Table) pick(now time.Time, random *rand.Rand, request *SlotRequest, skip string) (*Endpoint, string, error) {
	n := len(t.list)
	if n == 0 {
		return nil, "", ErrNoEndpoint
	}
	count, reason := n, reasonLeast
	if n > fullScanMax {
		count, reason = sampleSize, reasonSampled
	}
	best, usable := t.scan(now, random, request, skip, count)
	if best == nil && count < n {
		best, usable = t.scan(now, random, request, skip, n)
	}
	switch {
	case best != nil && best.Probing():
		return best, reasonProbe, nil
	case best != nil:
		return best, reason, nil
	case usable > 0:
		return nil, "", ErrBusy
	}
	return t.lastResort(now, request, skip)
}

// scan compares count endpoints, starting from a random one. It returns the one
// with the lowest cost that has room, or nil, and how many of those compared take
// requests at all.
func (t *Table) scan(now time.Time, random *rand.Rand, request *SlotRequest, skip string, count int) (*Endpoint, int) {
	n := len(t.list)
	i := int(random.Uint64N(uint64(n)))
	step := 1
	if count < n {
		step = 1 + int(random.Uint64N(uint64(n-1)))
	}
	var best, bestCold *Endpoint
	bestCost, coldCost := math.Inf(1), math.Inf(1)
	usable, warm := 0, 0
	for range count {
		e := t.list[i]
		i = (i + step) % n
		if !e.isUsable(now) || e.report.Name == skip {
			continue
		}
		usable++
		isWarm := e.isWarm(now)
		if isWarm {
			warm++
		}
		if !e.hasRoom(request) {
			continue
		}
		c := e.cost(now)
		if c < bestCost && (isWarm || e.rampAllowsOne(now)) {
			best, bestCost = e, c
		}
		if c < coldCost && !isWarm {
			bestCold, coldCost = e, c
		}
	}
	if best == nil && warm == 0 {
		best = bestCold // no warm endpoint could take the request instead
	}
	return best, usable
}

// lastResort returns an endpoint that is ejected or was to be skipped, for use if no
// other endpoint takes requests.
func (t *Table) lastResort(now time.Time, request *SlotRequest, skip string) (*Endpoint, string, error) {
	var best *Endpoint
	known := false
	for _, e := range t.list {
		if e.report.Draining || e.isStale(now) || e.report.Slots == 0 {
			continue
		}
		known = true
		if e.InFlight() < e.maxInFlightFor(request) && (best == nil || best.report.Name == skip || e.InFlight() < best.InFlight()) {
			best = e
		}
	}
	switch {
	case best != nil && len(t.list) == 1:
		return best, reasonOnly, nil
	case best != nil:
		return best, reasonLastResort, nil
	case known:
		return nil, "", ErrBusy
	}
	return nil, "", ErrNoEndpoint
}

func (e *Endpoint) isStale(now time.Time) bool { return now.Sub(e.lastReportAt) > StaleAfter }

func (e *Endpoint) isUsable(now time.Time) bool {
	return !e.report.Draining && !e.isStale(now) && !e.Ejected(now) && e.report.Slots > 0
}

// HasUsable reports whether at least one endpoint takes requests.
func (t *Table) HasUsable(now time.Time) bool {
	for _, e := range t.list {
		if e.isUsable(now) {
			return true
		}
	}
	return false
}

// maxInFlight returns how many requests the endpoint may have in flight.
func (e *Endpoint) maxInFlight() float64 {
	top := float64(e.report.Slots) * (1 + queueSlack)
	if e.inFlightLimit > 0 {
		return min(e.inFlightLimit, top)
	}
	return top
}

// maxInFlightFor returns how many requests the endpoint may have in flight once the
// given one is sent. Long work may not wait at an endpoint.
func (e *Endpoint) maxInFlightFor(request *SlotRequest) int {
	if request.long {
		return min(e.report.Slots, int(e.maxInFlight()))
	}
	return int(e.maxInFlight())
}

// hasRoom reports whether the endpoint can take the request now.
func (e *Endpoint) hasRoom(request *SlotRequest) bool {
	n := e.InFlight()
	if e.Probing() {
		return e.ownInFlight == 0
	}
	if request.long && e.ownLong+e.otherLong >= e.report.Slots-e.report.Load.ReservedSlots {
		return false
	}
	return n < e.maxInFlightFor(request) || e.ownInFlight == 0 && !request.long
}

// isWarm reports whether the slow start of an endpoint is over, so that it takes
// its full share.
func (e *Endpoint) isWarm(now time.Time) bool {
	if e.cold && now.Sub(e.slowStartBegan) >= slowStartDuration {
		e.cold = false
	}
	return !e.cold
}

// rampAllowsOne reports whether an endpoint in slow start may take one more
// request.
func (e *Endpoint) rampAllowsOne(now time.Time) bool {
	ramp := float64(e.report.Slots) * now.Sub(e.slowStartBegan).Seconds() / slowStartDuration.Seconds()
	return float64(e.InFlight()) < max(1, ramp)
}

// cost estimates how long a request takes at the endpoint, where 1 is the time
// at an idle endpoint of normal speed.
func (e *Endpoint) cost(now time.Time) float64 {
	slots := max(e.report.Slots, 1)
	n := e.InFlight()
	c := e.Slowness(now) * (1 + loadPenalty*float64(n)/float64(slots))
	if n >= slots {
		c += e.Slowness(now) * float64(n-slots+1)
	}
	return c
}

// Slowness returns the endpoint's service time as a multiple of the mean for the same
// class of requests over all endpoints; it is at least 1.
func (e *Endpoint) Slowness(now time.Time) float64 {
	if e.slowness <= 1 {
		return 1
	}
	passed := now.Sub(e.slownessUpdatedAt)
	if passed <= 0 {
		return e.slowness
	}
	return 1 + (e.slowness-1)*math.Exp2(-passed.Seconds()/slownessHalfLife.Seconds())
}

// RecordServiceTime updates an endpoint's slowness with the service time of a request and
// the mean service time of the request's class.
func (t *Table) RecordServiceTime(now time.Time, e *Endpoint, serviceTime, classMean time.Duration) {
	ratio := min(serviceTime.Seconds()/max(classMean.Seconds(), 1e-6), maxSlownessSample)
	s := e.Slowness(now)
	if e.slowness > 0 && e.slowness < 1 {
		s = e.slowness
	}
	e.slowness = s + slownessWeight*(ratio-s)
	e.slownessUpdatedAt = now
}

// RecordRefusal lowers the endpoint's limit on requests in flight after the endpoint
// refused a request because it was full.
func (t *Table) RecordRefusal(e *Endpoint) {
	e.inFlightLimit = max(1, limitDecrease*min(e.maxInFlight(), float64(max(e.InFlight(), 1))))
}

// RecordAcceptance raises a limit on requests in flight that refusals have lowered, by
// about one for each round of accepted requests.
func (t *Table) RecordAcceptance(e *Endpoint) {
	if e.inFlightLimit <= 0 {
		return
	}
	e.inFlightLimit += 1 / max(e.inFlightLimit, 1)
	if e.inFlightLimit >= float64(e.report.Slots)*(1+queueSlack) {
		e.inFlightLimit = 0
	}
}
