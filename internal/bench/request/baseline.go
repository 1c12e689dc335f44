package request

import "time"

// fifoEndpoint simulates an endpoint without an agent: a runner with
// slotsPerEndpoint slots and a FIFO queue. It refuses requests beyond
// maxConnections.
type fifoEndpoint struct {
	s       *sim
	index   int
	running int
	queue   []*call
	// onEnd is called at the end of an attempt; ok is set unless the attempt failed or was
	// refused.
	onEnd func(c *call, ok bool)
}

// receive queues a request, or refuses it if all connections are in use.
func (v *fifoEndpoint) receive(c *call) {
	if v.running+len(v.queue) >= maxConnections {
		v.onEnd(c, false)
		return
	}
	v.queue = append(v.queue, c)
	v.startQueued()
}

// startQueued starts queued requests while slots are free.
func (v *fifoEndpoint) startQueued() {
	for v.running < slotsPerEndpoint && len(v.queue) > 0 {
		c := v.queue[0]
		v.queue = v.queue[1:]
		if c.settled {
			v.onEnd(c, true)
			continue
		}
		v.running++
		ok, spent := startAttempt(v.s, v.index, c)
		v.s.schedule(spent, func() {
			v.running--
			v.onEnd(c, ok)
			v.startQueued()
		})
	}
}

// startAttempt starts a request at an endpoint and returns whether it will
// succeed and how long it will occupy its slot, at most until its deadline, when
// the caller disconnects.
func startAttempt(s *sim, index int, c *call) (bool, time.Duration) {
	if index == failingEndpoint {
		return false, failDelay
	}
	s.markStarted(c)
	return true, min(serviceTimeAt(index, c.serviceTime), max(c.deadline.Sub(s.now), 0))
}

// directPolicy sends each request at once to the endpoint whose index pick returns. It
// has no queue of its own.
type directPolicy struct {
	s       *sim
	servers [endpointCount]*fifoEndpoint
	// inFlight holds, by entry and endpoint, the number of requests in flight.
	inFlight [][endpointCount]int
	// lastPicked holds, by entry, the endpoint that round-robin picked last.
	lastPicked []int
	pick       func(p *directPolicy, c *call) int
}

// newDirectPolicy returns a policy that sends requests to the endpoints that pick returns.
func newDirectPolicy(s *sim, pick func(p *directPolicy, c *call) int) policy {
	p := &directPolicy{s: s, pick: pick, inFlight: make([][endpointCount]int, s.deployment.entries), lastPicked: make([]int, s.deployment.entries)}
	for i := range p.lastPicked {
		p.lastPicked[i] = s.random.IntN(endpointCount)
	}
	for i := range p.servers {
		p.servers[i] = &fifoEndpoint{s: s, index: i, onEnd: func(c *call, ok bool) { p.attemptEnded(i, c, ok) }}
	}
	return p
}

func (p *directPolicy) arrive(c *call) {
	i := p.pick(p, c)
	c.attempts++
	p.inFlight[c.entry][i]++
	p.s.schedule(hopDelay, func() { p.servers[i].receive(c) })
}

// attemptEnded handles the end of an attempt at endpoint i: the entry settles the request
// or retries it at another endpoint.
func (p *directPolicy) attemptEnded(i int, c *call, ok bool) {
	p.s.schedule(hopDelay, func() {
		p.inFlight[c.entry][i]--
		switch {
		case c.settled:
		case ok:
			p.s.settle(c, answered)
		case c.attempts < maxAttempts:
			c.excluded = i
			p.arrive(c)
		default:
			p.s.settle(c, refused)
		}
	})
}

func newRandom(s *sim) policy {
	return newDirectPolicy(s, func(p *directPolicy, c *call) int {
		for {
			if i := p.s.random.IntN(endpointCount); i != c.excluded {
				return i
			}
		}
	})
}

func newRoundRobin(s *sim) policy {
	return newDirectPolicy(s, func(p *directPolicy, c *call) int {
		for {
			p.lastPicked[c.entry] = (p.lastPicked[c.entry] + 1) % endpointCount
			if p.lastPicked[c.entry] != c.excluded {
				return p.lastPicked[c.entry]
			}
		}
	})
}

func newLeastInFlight(s *sim) policy {
	return newDirectPolicy(s, func(p *directPolicy, c *call) int {
		best := -1
		offset := p.s.random.IntN(endpointCount)
		for k := range endpointCount {
			i := (k + offset) % endpointCount
			if i != c.excluded && (best < 0 || p.inFlight[c.entry][i] < p.inFlight[c.entry][best]) {
				best = i
			}
		}
		return best
	})
}

// centralQueue is a policy with one FIFO queue in front of all endpoints, which
// knows without delay which slots are free.
type centralQueue struct {
	s       *sim
	running [endpointCount]int
	queue   []*call
}

func newCentralQueue(s *sim) policy { return &centralQueue{s: s} }

func (p *centralQueue) arrive(c *call) {
	p.queue = append(p.queue, c)
	p.startQueued()
}

// startQueued sends queued requests to endpoints with free slots.
func (p *centralQueue) startQueued() {
	for len(p.queue) > 0 {
		c := p.queue[0]
		if c.settled {
			p.queue = p.queue[1:]
			continue
		}
		i := p.freeEndpoint(c.excluded)
		if i < 0 {
			return
		}
		p.queue = p.queue[1:]
		p.running[i]++
		c.attempts++
		p.s.schedule(hopDelay, func() { p.start(i, c) })
	}
}

// start runs an attempt at endpoint i, and queues the request again at the head if the
// attempt fails.
func (p *centralQueue) start(i int, c *call) {
	ok, spent := startAttempt(p.s, i, c)
	p.s.schedule(spent+hopDelay, func() {
		p.running[i]--
		switch {
		case ok:
			p.s.settle(c, answered)
		case c.attempts < maxAttempts:
			c.excluded = i
			p.queue = append([]*call{c}, p.queue...)
		default:
			p.s.settle(c, refused)
		}
		p.startQueued()
	})
}

// freeEndpoint returns a random endpoint other than excluded that has a free
// slot, or -1.
func (p *centralQueue) freeEndpoint(excluded int) int {
	offset := p.s.random.IntN(endpointCount)
	for k := range endpointCount {
		if i := (k + offset) % endpointCount; i != excluded && p.running[i] < slotsPerEndpoint {
			return i
		}
	}
	return -1
}
