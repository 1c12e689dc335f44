// Package request measures the policy for interactive requests: the deciding
// code of pkg/endpoint against simple policies kept here, in virtual time, the
// cost of a routing decision, and the cost of the way through entry and agent.
package request

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Sizes of the bench.
const (
	endpoints   = 11
	slots       = 8
	connections = 64
	// slowFactor is how many times longer requests take at the slow endpoint.
	slowFactor = 4
	// stragglerFactor is how many times longer than a short request a straggler is.
	stragglerFactor = 50
	stragglerPart   = 0.02
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.5
	// failTime is how long the failing endpoint takes to fail.
	failTime = time.Millisecond
	// hopTime is the time between entry and agent, one way.
	hopTime = 200 * time.Microsecond
	// reportEvery and reportLag are about load reports.
	reportEvery = 500 * time.Millisecond
	reportLag   = 250 * time.Millisecond
	// warmUp is left out of the figures.
	warmUp = 3 * time.Second
	// mostAttempts bounds the attempts of every policy.
	mostAttempts = 4
)

// class is one class of requests of a deployment.
type class struct {
	name     string
	priority int
	part     float64
	mean     time.Duration
	deadline time.Duration
	// declared is what the bundle says of the mean; it is far off.
	declared time.Duration
}

// deployment is one user's service.
type deployment struct {
	name    string
	entries int
	// classes holds the short class first and the long one second; the
	// stragglers belong to the long one.
	classes [2]class
}

var deployments = [...]deployment{
	{name: "kunjabon", entries: 4, classes: [2]class{
		{name: "preview", priority: 9, part: 0.93, mean: 20 * time.Millisecond, deadline: 500 * time.Millisecond, declared: 60 * time.Millisecond},
		{name: "season-plan", priority: 3, part: 0.07, mean: 200 * time.Millisecond, deadline: 10 * time.Second, declared: time.Second},
	}},
	{name: "kauri", entries: 3, classes: [2]class{
		{name: "fit-check", priority: 9, part: 0.88, mean: 30 * time.Millisecond, deadline: time.Second, declared: 90 * time.Millisecond},
		{name: "shaping", priority: 3, part: 0.12, mean: 150 * time.Millisecond, deadline: 30 * time.Second, declared: 2 * time.Second},
	}},
}

// meanWork returns the mean service time of all requests.
func (d *deployment) meanWork() time.Duration {
	short, long := &d.classes[0], &d.classes[1]
	sum := short.part*float64(short.mean) + (long.part-stragglerPart)*float64(long.mean) +
		stragglerPart*stragglerFactor*float64(short.mean)
	return time.Duration(sum)
}

// capacity returns the number of requests a second that the endpoints can do.
func (d *deployment) capacity() float64 {
	healthy := float64(endpoints-2) + 1.0/slowFactor
	return healthy * slots / d.meanWork().Seconds()
}

// call is one caller's request.
type call struct {
	class    int
	at       time.Time
	deadline time.Time
	work     time.Duration
	entry    int
	attempt  int
	skip     int
	began    bool
	wait     time.Duration
	settled  bool
	crest    bool
}

// load is the offered load as a part of capacity at a time since the start.
type load func(since time.Duration) float64

func steady(level float64) load { return func(time.Duration) float64 { return level } }

// Shape of the swing: from low to high and back within seconds.
const (
	swingLow    = 0.3
	swingHigh   = 1.5
	swingPeriod = 8 * time.Second
	// crestFrom is the load from which on a request counts as sent at the crest.
	crestFrom = 1.2
)

func swing(since time.Duration) float64 {
	phase := 2 * math.Pi * since.Seconds() / swingPeriod.Seconds()
	// The flattened wave stays at the crest for a while.
	wave := max(-1, min(1, 1.6*math.Sin(phase)))
	return (swingLow+swingHigh)/2 + wave*(swingHigh-swingLow)/2
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].order < h[j].order && h[i].at.Equal(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an element for package heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last element for package heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// policy is a way to route requests.
type policy interface {
	// arrive takes in a caller's request at its entry.
	arrive(c *call)
}

// sim is one run in virtual time.
type sim struct {
	deployment *deployment
	random     *rand.Rand
	arrivals   *rand.Rand
	now        time.Time
	start      time.Time
	end        time.Time
	events     eventHeap
	order      int
	policy     policy
	load       load
	result     *result
}

func (s *sim) at(d time.Duration, fn func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, do: fn})
}

// simulate runs one policy under a load and returns its figures.
func simulate(d *deployment, newPolicy func(*sim) policy, l load, length time.Duration, seed uint64) *result {
	s := &sim{
		deployment: d, load: l, start: time.Unix(1, 0), result: &result{},
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // a bench needs fixed seeds
	}
	s.now = s.start
	s.end = s.start.Add(warmUp + length)
	s.policy = newPolicy(s)
	s.result.length, s.result.end = length, s.end
	s.next()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

// next schedules the next arrival.
func (s *sim) next() {
	rate := s.load(s.now.Sub(s.start)) * s.deployment.capacity()
	s.at(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.After(s.end) {
			return
		}
		s.arrive()
		s.next()
	})
}

func (s *sim) arrive() {
	d := s.deployment
	c := &call{at: s.now, skip: -1, entry: s.arrivals.IntN(d.entries)}
	factor := math.Exp(spread*s.arrivals.NormFloat64() - spread*spread/2)
	pick := s.arrivals.Float64()
	switch {
	case pick < d.classes[0].part:
		c.work = time.Duration(factor * float64(d.classes[0].mean))
	case pick < d.classes[0].part+stragglerPart:
		c.class = 1
		c.work = time.Duration(factor * stragglerFactor * float64(d.classes[0].mean))
	default:
		c.class = 1
		c.work = time.Duration(factor * float64(d.classes[1].mean))
	}
	c.deadline = s.now.Add(d.classes[c.class].deadline)
	c.crest = s.load(s.now.Sub(s.start)) >= crestFrom
	s.policy.arrive(c)
	s.at(d.classes[c.class].deadline, func() { s.settle(c, late) })
}

// took returns how long a request takes at an endpoint.
func took(endpoint int, work time.Duration) time.Duration {
	if endpoint == slowEndpoint {
		return slowFactor * work
	}
	return work
}

// The two bad endpoints.
const (
	slowEndpoint    = 3
	failingEndpoint = 7
)

// begin notes that a request is being worked on.
func (s *sim) begin(c *call) {
	if !c.began {
		c.began = true
		c.wait = s.now.Sub(c.at)
	}
}

// settle notes the end of a request; only the first one counts.
func (s *sim) settle(c *call, end ending) {
	if c.settled {
		return
	}
	c.settled = true
	if c.at.Sub(s.start) >= warmUp {
		s.result.add(s.now, c, end)
	}
}
