package request

import "time"

// server is an endpoint without an agent: a runner with slots and a line in
// the order of arrival, bounded by its connections.
type server struct {
	s       *sim
	index   int
	running int
	line    []*call
	ended   func(c *call, ok bool)
}

// receive takes in a request or refuses it.
func (v *server) receive(c *call) {
	if v.running+len(v.line) >= connections {
		v.ended(c, false)
		return
	}
	v.line = append(v.line, c)
	v.work()
}

func (v *server) work() {
	for v.running < slots && len(v.line) > 0 {
		c := v.line[0]
		v.line = v.line[1:]
		if c.settled {
			v.ended(c, true)
			continue
		}
		v.running++
		ok, spent := runAt(v.s, v.index, c)
		v.s.at(spent, func() {
			v.running--
			v.ended(c, ok)
			v.work()
		})
	}
}

// runAt returns whether a request succeeds at an endpoint and how long it
// holds its slot; a caller that gives up ends it.
func runAt(s *sim, index int, c *call) (bool, time.Duration) {
	if index == failingEndpoint {
		return false, failTime
	}
	s.begin(c)
	return true, min(took(index, c.work), max(c.deadline.Sub(s.now), 0))
}

// spread routes each request by pick, without a queue of its own.
type spreader struct {
	s       *sim
	servers [endpoints]*server
	sent    [][endpoints]int
	next    []int
	pick    func(p *spreader, c *call) int
}

func newSpreader(s *sim, pick func(p *spreader, c *call) int) policy {
	p := &spreader{s: s, pick: pick, sent: make([][endpoints]int, s.deployment.entries), next: make([]int, s.deployment.entries)}
	for i := range p.next {
		p.next[i] = s.random.IntN(endpoints)
	}
	for i := range p.servers {
		p.servers[i] = &server{s: s, index: i, ended: func(c *call, ok bool) { p.ended(i, c, ok) }}
	}
	return p
}

func (p *spreader) arrive(c *call) {
	i := p.pick(p, c)
	c.attempt++
	p.sent[c.entry][i]++
	p.s.at(hopTime, func() { p.servers[i].receive(c) })
}

func (p *spreader) ended(i int, c *call, ok bool) {
	p.s.at(hopTime, func() {
		p.sent[c.entry][i]--
		switch {
		case c.settled:
		case ok:
			p.s.settle(c, answered)
		case c.attempt < mostAttempts:
			c.skip = i
			p.arrive(c)
		default:
			p.s.settle(c, refused)
		}
	})
}

func newRandom(s *sim) policy {
	return newSpreader(s, func(p *spreader, c *call) int {
		for {
			if i := p.s.random.IntN(endpoints); i != c.skip {
				return i
			}
		}
	})
}

func newRoundRobin(s *sim) policy {
	return newSpreader(s, func(p *spreader, c *call) int {
		for {
			p.next[c.entry] = (p.next[c.entry] + 1) % endpoints
			if p.next[c.entry] != c.skip {
				return p.next[c.entry]
			}
		}
	})
}

func newLeastInFlight(s *sim) policy {
	return newSpreader(s, func(p *spreader, c *call) int {
		best := -1
		offset := p.s.random.IntN(endpoints)
		for k := range endpoints {
			i := (k + offset) % endpoints
			if i != c.skip && (best < 0 || p.sent[c.entry][i] < p.sent[c.entry][best]) {
				best = i
			}
		}
		return best
	})
}

// oneLine is one FIFO queue before all endpoints that knows at once which
// slots are free.
type oneLine struct {
	s       *sim
	running [endpoints]int
	line    []*call
}

func newOneLine(s *sim) policy { return &oneLine{s: s} }

func (p *oneLine) arrive(c *call) {
	p.line = append(p.line, c)
	p.work()
}

func (p *oneLine) work() {
	for len(p.line) > 0 {
		c := p.line[0]
		if c.settled {
			p.line = p.line[1:]
			continue
		}
		i := p.free(c.skip)
		if i < 0 {
			return
		}
		p.line = p.line[1:]
		p.running[i]++
		c.attempt++
		p.s.at(hopTime, func() { p.start(i, c) })
	}
}

func (p *oneLine) start(i int, c *call) {
	ok, spent := runAt(p.s, i, c)
	p.s.at(spent+hopTime, func() {
		p.running[i]--
		switch {
		case ok:
			p.s.settle(c, answered)
		case c.attempt < mostAttempts:
			c.skip = i
			p.line = append([]*call{c}, p.line...)
		default:
			p.s.settle(c, refused)
		}
		p.work()
	})
}

// free returns a random endpoint with a free slot, or -1.
func (p *oneLine) free(skip int) int {
	offset := p.s.random.IntN(endpoints)
	for k := range endpoints {
		if i := (k + offset) % endpoints; i != skip && p.running[i] < slots {
			return i
		}
	}
	return -1
}
