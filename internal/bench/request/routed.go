package request

import (
	"fmt"
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// routed is the policy of pkg/endpoint: a router at each entry, a gate at each
// endpoint, and load reports that lag.
type routed struct {
	s       *sim
	routers []*endpoint.Router
	waiting []map[*endpoint.Ticket]*call
	agents  [endpoints]*gatekeeper
}

// gatekeeper is the agent beside one endpoint.
type gatekeeper struct {
	p     *routed
	index int
	name  string
	gate  endpoint.Gate
	times endpoint.ServiceTimes
	// waits holds the attempts that wait for a slot; long counts the long ones.
	waits map[*endpoint.Ticket]*try
	long  int
	mark  uint64
}

// try is one attempt on its way.
type try struct {
	c      *call
	entry  *endpoint.Ticket
	ticket *endpoint.Ticket
	target *endpoint.Endpoint
}

// reply is what an agent answers.
type reply struct {
	ok, full bool
	spent    time.Duration
	load     endpoint.Load
}

func newRouted(s *sim) policy {
	p := &routed{s: s}
	for range s.deployment.entries {
		p.routers = append(p.routers, &endpoint.Router{})
		p.waiting = append(p.waiting, make(map[*endpoint.Ticket]*call))
	}
	for i := range p.agents {
		a := &gatekeeper{p: p, index: i, name: fmt.Sprintf("worker-%d", i), waits: make(map[*endpoint.Ticket]*try)}
		a.gate.SetLimits(slots, connections)
		p.agents[i] = a
		for _, r := range p.routers {
			r.Table().Observe(s.now, a.report())
		}
		s.at(time.Duration(s.random.Int64N(int64(reportEvery))), a.beat)
	}
	return p
}

func (a *gatekeeper) load() endpoint.Load {
	return endpoint.Load{InFlight: a.gate.Running() + a.gate.Waiting(), Long: a.gate.RunningLong() + a.long, Reserved: a.gate.ReservedSlots()}
}

func (a *gatekeeper) report() endpoint.Report {
	a.mark++
	return endpoint.Report{Name: a.name, Incarnation: 1, Mark: a.mark, Slots: slots, Load: a.load()}
}

// beat reports the load, late.
func (a *gatekeeper) beat() {
	s := a.p.s
	r := a.report()
	s.at(reportLag, func() {
		for i, router := range a.p.routers {
			router.Table().Observe(s.now, r)
			a.p.pump(i)
		}
	})
	if s.now.Before(s.end) {
		s.at(reportEvery, a.beat)
	}
}

func (p *routed) arrive(c *call) {
	p.routers[c.entry].RetryBudget().RecordFirstAttempt()
	p.offer(c)
}

func (p *routed) offer(c *call) {
	s := p.s
	k := &s.deployment.classes[c.class]
	r := p.routers[c.entry]
	t := r.NewTicket(s.now, k.name, "team", k.priority, c.deadline, k.declared)
	skip := ""
	if c.skip >= 0 {
		skip = p.agents[c.skip].name
	}
	d := r.Offer(s.now, s.random, t, skip)
	if d.Victim != nil {
		p.refuse(c.entry, d.Victim)
	}
	switch d.Verdict {
	case endpoint.Start:
		p.send(c, t, d.Endpoint)
	case endpoint.Shed:
		s.settle(c, refused)
	case endpoint.Wait:
		p.waiting[c.entry][t] = c
		s.at(t.LatestStart().Sub(s.now), func() {
			if r.Cancel(t) {
				p.refuse(c.entry, t)
			}
		})
	}
}

func (p *routed) refuse(entry int, t *endpoint.Ticket) {
	p.s.settle(p.waiting[entry][t], refused)
	delete(p.waiting[entry], t)
}

// pump sends what waits at an entry where there is room.
func (p *routed) pump(entry int) {
	for {
		t, d := p.routers[entry].Next(p.s.now, p.s.random)
		switch {
		case t == nil:
			return
		case d.Verdict == endpoint.Shed:
			p.refuse(entry, t)
		default:
			c := p.waiting[entry][t]
			delete(p.waiting[entry], t)
			p.send(c, t, d.Endpoint)
		}
	}
}

func (p *routed) send(c *call, t *endpoint.Ticket, e *endpoint.Endpoint) {
	c.attempt++
	var index int
	for i, a := range p.agents {
		if a.name == e.Name() {
			index = i
		}
	}
	p.s.at(hopTime, func() { p.agents[index].receive(&try{c: c, entry: t, target: e}) })
}

// receive is the agent's admission.
func (a *gatekeeper) receive(y *try) {
	s := a.p.s
	k := &s.deployment.classes[y.c.class]
	mean, long := a.times.Estimate(k.name, k.declared)
	y.ticket = endpoint.NewTicket(k.name, "team", k.priority, y.c.deadline, mean)
	y.ticket.SetLong(long)
	verdict, victim, _ := a.gate.Offer(s.now, y.ticket)
	if victim != nil {
		a.withdraw(victim)
	}
	switch verdict {
	case endpoint.Start:
		a.work(y)
	case endpoint.Shed:
		a.answer(y, reply{full: true})
	case endpoint.Wait:
		a.waits[y.ticket] = y
		if long {
			a.long++
		}
		s.at(y.ticket.LatestStart().Sub(s.now), func() {
			if a.gate.Cancel(s.now, y.ticket) {
				a.withdraw(y.ticket)
			}
		})
	}
}

// withdraw refuses an attempt that waited.
func (a *gatekeeper) withdraw(t *endpoint.Ticket) {
	a.answer(a.unwait(t), reply{full: true})
}

func (a *gatekeeper) unwait(t *endpoint.Ticket) *try {
	y := a.waits[t]
	delete(a.waits, t)
	if t.Long() {
		a.long--
	}
	return y
}

func (a *gatekeeper) work(y *try) {
	s := a.p.s
	ok, spent := runAt(s, a.index, y.c)
	s.at(spent, func() {
		if ok {
			a.times.Observe(y.ticket.Class(), spent)
		}
		a.gate.Release(s.now, y.ticket)
		a.answer(y, reply{ok: ok, spent: spent})
		for {
			t, verdict := a.gate.Next(s.now)
			switch {
			case t == nil:
				return
			case verdict == endpoint.Start:
				a.work(a.unwait(t))
			default:
				a.withdraw(t)
			}
		}
	})
}

func (a *gatekeeper) answer(y *try, r reply) {
	r.load = a.load()
	a.p.s.at(hopTime, func() { a.p.ended(a.index, y, r) })
}

// ended takes in an agent's answer at the entry.
func (p *routed) ended(index int, y *try, r reply) {
	s, c := p.s, y.c
	router := p.routers[c.entry]
	table := router.Table()
	table.UpdateLoad(y.target, r.load)
	router.Done(y.target, y.entry)
	switch {
	case r.ok:
		table.RecordSuccess(s.now, y.target)
		table.RecordAcceptance(y.target)
		router.RecordServiceTime(s.now, y.target, y.entry.Class(), r.spent)
		s.settle(c, answered)
	case r.full:
		table.RecordRefusal(y.target)
	default:
		table.RecordFailure(s.now, s.random, y.target)
	}
	p.pump(c.entry)
	if c.settled {
		return
	}
	if c.attempt >= mostAttempts || !router.RetryBudget().Take(s.now) {
		s.settle(c, refused)
		return
	}
	c.skip = index
	s.at(endpoint.RetryDelay(s.random, c.attempt), func() {
		if !c.settled {
			p.offer(c)
		}
	})
}
