// Package request benchmarks the routing of interactive requests. It compares the
// policy of pkg/endpoint with simple baseline policies in a discrete-event
// simulation, and measures the cost of a routing decision, of the path through
// entry and agent, and of the transports of package link.
package request

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Sizes and times of the simulation.
const (
	endpointCount    = 11
	slotsPerEndpoint = 8
	maxConnections   = 64
	// slowFactor multiplies service times at the slow endpoint.
	slowFactor = 4
	// stragglerFactor is the mean service time of a straggler, a rare very long
	// request, divided by that of the short class; stragglerShare is the
	// fraction of requests that are stragglers.
	stragglerFactor = 50
	stragglerShare  = 0.02
	// serviceTimeSigma is the standard deviation of the logarithm of service
	// times, which are log-normally distributed.
	serviceTimeSigma = 0.5
	// failDelay is how long the failing endpoint takes to fail a request.
	failDelay = time.Millisecond
	// hopDelay is the one-way delay between entry and agent.
	hopDelay = 200 * time.Microsecond
	// reportInterval is the time between an agent's load reports, and reportDelay
	// the time until the entries have received one.
	reportInterval = 500 * time.Millisecond
	reportDelay    = 250 * time.Millisecond
	// warmUp is the time at the start whose requests are left out of the results.
	warmUp = 3 * time.Second
	// maxAttempts limits the attempts for one request under every policy.
	maxAttempts = 4
)

// class is a class of requests of a deployment; share is its fraction of all
// requests.
type class struct {
	name            string
	priority        int
	share           float64
	meanServiceTime time.Duration
	deadline        time.Duration
	// declaredServiceTime is the mean service time that the bundle declares, at least
	// three times meanServiceTime.
	declaredServiceTime time.Duration
}

// deployment describes the service of one user of the scheduler.
type deployment struct {
	name    string
	entries int
	// classes holds the class of short requests, then that of long ones, which
	// includes the stragglers.
	classes [2]class
}

var deployments = [...]deployment{
	{name: "kunjabon", entries: 4, classes: [2]class{
		{name: "preview", priority: 9, share: 0.93, meanServiceTime: 20 * time.Millisecond, deadline: 500 * time.Millisecond, declaredServiceTime: 60 * time.Millisecond},
		{name: "season-plan", priority: 3, share: 0.07, meanServiceTime: 200 * time.Millisecond, deadline: 10 * time.Second, declaredServiceTime: time.Second},
	}},
	{name: "kauri", entries: 3, classes: [2]class{
		{name: "fit-check", priority: 9, share: 0.88, meanServiceTime: 30 * time.Millisecond, deadline: time.Second, declaredServiceTime: 90 * time.Millisecond},
		{name: "shaping", priority: 3, share: 0.12, meanServiceTime: 150 * time.Millisecond, deadline: 30 * time.Second, declaredServiceTime: 2 * time.Second},
	}},
}

// meanServiceTime returns the mean service time of all requests.
func (d *deployment) meanServiceTime() time.Duration {
	short, long := &d.classes[0], &d.classes[1]
	sum := short.share*float64(short.meanServiceTime) + (long.share-stragglerShare)*float64(long.meanServiceTime) +
		stragglerShare*stragglerFactor*float64(short.meanServiceTime)
	return time.Duration(sum)
}

// capacity returns how many requests per second the endpoints can serve together, of
// which one is slow and one fails.
func (d *deployment) capacity() float64 {
	healthy := float64(endpointCount-2) + 1.0/slowFactor
	return healthy * slotsPerEndpoint / d.meanServiceTime().Seconds()
}

// call is a caller's request.
type call struct {
	// class is an index in deployment.classes.
	class     int
	arrivedAt time.Time
	deadline  time.Time
	// serviceTime is the time that a healthy endpoint takes for the request.
	serviceTime time.Duration
	// entry is the index of the entry that received the request.
	entry int
	// attempts counts the attempts so far.
	attempts int
	// excluded is the index of the endpoint where the last attempt failed, or -1.
	excluded int
	// started is set once an endpoint has started the request.
	started bool
	// queueTime is the time from arrival to the first start.
	queueTime time.Duration
	// settled is set once the request has an outcome.
	settled bool
	// atCrest is set if the request arrived at the crest of the load.
	atCrest bool
}

// loadProfile returns the offered load as a fraction of the capacity, by the time
// since the start.
type loadProfile func(since time.Duration) float64

func steadyLoad(level float64) loadProfile { return func(time.Duration) float64 { return level } }

// The load of the swing scenario goes from low to high and back within seconds.
const (
	swingLow    = 0.3
	swingHigh   = 1.5
	swingPeriod = 8 * time.Second
	// crestMinLoad is the load from which requests count as arriving at the crest,
	// the peak of the swing.
	crestMinLoad = 1.2
)

// swingLoad is the load profile of the swing scenario.
func swingLoad(since time.Duration) float64 {
	phase := 2 * math.Pi * since.Seconds() / swingPeriod.Seconds()
	// The clipped sine stays at its maximum for a while.
	wave := max(-1, min(1, 1.6*math.Sin(phase)))
	return (swingLow+swingHigh)/2 + wave*(swingHigh-swingLow)/2
}

// event is a function to run at a virtual time; seq orders events at the same
// time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].seq < h[j].seq && h[i].at.Equal(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// policy routes requests from entries to endpoints.
type policy interface {
	// arrive handles a request that a caller has sent to its entry.
	arrive(c *call)
}

// sim is one simulation in virtual time. Arrivals have a random source of their
// own, so that they are the same under every policy.
type sim struct {
	deployment *deployment
	random     *rand.Rand
	arrivals   *rand.Rand
	now        time.Time
	start      time.Time
	end        time.Time
	events     eventHeap
	lastSeq    int
	policy     policy
	load       loadProfile
	result     *result
}

// schedule runs fn after the given delay in virtual time.
func (s *sim) schedule(delay time.Duration, fn func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now.Add(delay), seq: s.lastSeq, run: fn})
}

// simulate runs one policy under a load and returns the results. duration is the measured
// virtual time after the warm-up.
func simulate(d *deployment, newPolicy func(*sim) policy, load loadProfile, duration time.Duration, seed uint64) *result {
	s := &sim{
		deployment: d, load: load, start: time.Unix(1, 0), result: &result{},
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // fixed seeds for repeatable results
	}
	s.now = s.start
	s.end = s.start.Add(warmUp + duration)
	s.policy = newPolicy(s)
	s.result.length, s.result.end = duration, s.end
	s.scheduleArrival()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

// scheduleArrival schedules the next request of the Poisson arrivals.
func (s *sim) scheduleArrival() {
	rate := s.load(s.now.Sub(s.start)) * s.deployment.capacity()
	s.schedule(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.After(s.end) {
			return
		}
		s.arrive()
		s.scheduleArrival()
	})
}

// arrive creates a random request, passes it to the policy, and schedules its deadline.
func (s *sim) arrive() {
	d := s.deployment
	c := &call{arrivedAt: s.now, excluded: -1, entry: s.arrivals.IntN(d.entries)}
	factor := math.Exp(serviceTimeSigma*s.arrivals.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2)
	pick := s.arrivals.Float64()
	switch {
	case pick < d.classes[0].share:
		c.serviceTime = time.Duration(factor * float64(d.classes[0].meanServiceTime))
	case pick < d.classes[0].share+stragglerShare:
		c.class = 1
		c.serviceTime = time.Duration(factor * stragglerFactor * float64(d.classes[0].meanServiceTime))
	default:
		c.class = 1
		c.serviceTime = time.Duration(factor * float64(d.classes[1].meanServiceTime))
	}
	c.deadline = s.now.Add(d.classes[c.class].deadline)
	c.atCrest = s.load(s.now.Sub(s.start)) >= crestMinLoad
	s.policy.arrive(c)
	s.schedule(d.classes[c.class].deadline, func() { s.settle(c, late) })
}

// serviceTimeAt returns how long an endpoint takes for a request with the given
// service time at a healthy endpoint.
func serviceTimeAt(endpoint int, healthy time.Duration) time.Duration {
	if endpoint == slowEndpoint {
		return slowFactor * healthy
	}
	return healthy
}

// Indexes of the two faulty endpoints.
const (
	slowEndpoint    = 3
	failingEndpoint = 7
)

// markStarted records how long a request waited until its first start.
func (s *sim) markStarted(c *call) {
	if !c.started {
		c.started = true
		c.queueTime = s.now.Sub(c.arrivedAt)
	}
}

// settle records the outcome of a request; only its first outcome counts.
func (s *sim) settle(c *call, end outcome) {
	if c.settled {
		return
	}
	c.settled = true
	if c.arrivedAt.Sub(s.start) >= warmUp {
		s.result.add(s.now, c, end)
	}
}
