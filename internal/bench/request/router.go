package request

import (
	"fmt"
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// routerPolicy is the policy of pkg/endpoint: a router at each entry, a gate at
// each endpoint, and load reports that reach the routers after reportDelay.
type routerPolicy struct {
	s       *sim
	routers []*endpoint.Router
	// waiting holds, by entry, the requests that wait for an endpoint.
	waiting []map[*endpoint.SlotRequest]*call
	agents  [endpointCount]*simAgent
}

// simAgent simulates the agent of one endpoint.
type simAgent struct {
	policy       *routerPolicy
	index        int
	name         string
	gate         endpoint.Gate
	serviceTimes endpoint.ServiceTimes
	// waiting holds the attempts that wait for a slot. waitingLong counts the waiting
	// attempts of long requests.
	waiting     map[*endpoint.SlotRequest]*attempt
	waitingLong int
	// mark numbers the agent's reports.
	mark uint64
}

// attempt is one attempt to have a request served, from the entry's decision until the
// reply, with the tickets that the entry's router and the agent's gate have for it.
type attempt struct {
	call        *call
	entryTicket *endpoint.SlotRequest
	agentTicket *endpoint.SlotRequest
	target      *endpoint.Endpoint
}

// reply is an agent's reply to an attempt. If neither ok nor refused is set, the attempt
// failed.
type reply struct {
	ok, refused bool
	serviceTime time.Duration
	load        endpoint.Load
}

func newRouterPolicy(s *sim) policy {
	p := &routerPolicy{s: s}
	for range s.deployment.entries {
		p.routers = append(p.routers, &endpoint.Router{})
		p.waiting = append(p.waiting, make(map[*endpoint.SlotRequest]*call))
	}
	for i := range p.agents {
		a := &simAgent{policy: p, index: i, name: fmt.Sprintf("worker-%d", i), waiting: make(map[*endpoint.SlotRequest]*attempt)}
		a.gate.SetLimits(slotsPerEndpoint, maxConnections)
		p.agents[i] = a
		for _, r := range p.routers {
			r.Table().Observe(s.now, a.report())
		}
		s.schedule(time.Duration(s.random.Int64N(int64(reportInterval))), a.sendReport)
	}
	return p
}

func (a *simAgent) load() endpoint.Load {
	return endpoint.Load{InFlight: a.gate.RunningCount() + a.gate.WaitingCount(), LongInFlight: a.gate.RunningLongCount() + a.waitingLong, ReservedSlots: a.gate.ReservedSlots()}
}

func (a *simAgent) report() endpoint.Report {
	a.mark++
	return endpoint.Report{Name: a.name, Incarnation: 1, Mark: a.mark, Slots: slotsPerEndpoint, Load: a.load()}
}

// sendReport sends a load report to all routers, which receive it after
// reportDelay, and schedules the next report.
func (a *simAgent) sendReport() {
	s := a.policy.s
	r := a.report()
	s.schedule(reportDelay, func() {
		for i, router := range a.policy.routers {
			router.Table().Observe(s.now, r)
			a.policy.sendWaiting(i)
		}
	})
	if s.now.Before(s.end) {
		s.schedule(reportInterval, a.sendReport)
	}
}

func (p *routerPolicy) arrive(c *call) {
	p.routers[c.entry].RetryBudget().RecordFirstAttempt()
	p.offer(c)
}

// offer offers a request to the entry's router, which sends it to an endpoint, lets it
// wait or sheds it.
func (p *routerPolicy) offer(c *call) {
	s := p.s
	k := &s.deployment.classes[c.class]
	r := p.routers[c.entry]
	t := r.NewSlotRequest(s.now, k.name, "team", k.priority, c.deadline, k.declaredServiceTime)
	excluded := ""
	if c.excluded >= 0 {
		excluded = p.agents[c.excluded].name
	}
	d := r.Offer(s.now, s.random, t, excluded)
	if d.Victim != nil {
		p.refuseWaiting(c.entry, d.Victim)
	}
	switch d.Verdict {
	case endpoint.Start:
		p.send(c, t, d.Endpoint)
	case endpoint.Shed:
		s.settle(c, refused)
	case endpoint.Wait:
		p.waiting[c.entry][t] = c
		s.schedule(t.LatestStart().Sub(s.now), func() {
			if r.Cancel(t) {
				p.refuseWaiting(c.entry, t)
			}
		})
	}
}

// refuseWaiting refuses a request that waits at an entry.
func (p *routerPolicy) refuseWaiting(entry int, t *endpoint.SlotRequest) {
	p.s.settle(p.waiting[entry][t], refused)
	delete(p.waiting[entry], t)
}

// sendWaiting sends requests that wait at an entry to endpoints with free slots, until no
// waiting request can be sent.
func (p *routerPolicy) sendWaiting(entry int) {
	for {
		t, d := p.routers[entry].Next(p.s.now, p.s.random)
		switch {
		case t == nil:
			return
		case d.Verdict == endpoint.Shed:
			p.refuseWaiting(entry, t)
		default:
			c := p.waiting[entry][t]
			delete(p.waiting[entry], t)
			p.send(c, t, d.Endpoint)
		}
	}
}

// send sends a request from its entry to an endpoint.
func (p *routerPolicy) send(c *call, t *endpoint.SlotRequest, e *endpoint.Endpoint) {
	c.attempts++
	var index int
	for i, a := range p.agents {
		if a.name == e.Name() {
			index = i
		}
	}
	p.s.schedule(hopDelay, func() { p.agents[index].receive(&attempt{call: c, entryTicket: t, target: e}) })
}

// receive starts, queues or refuses an attempt, as the agent's gate decides.
func (a *simAgent) receive(y *attempt) {
	s := a.policy.s
	k := &s.deployment.classes[y.call.class]
	mean, long := a.serviceTimes.Estimate(k.name, k.declaredServiceTime)
	y.agentTicket = endpoint.NewSlotRequest(k.name, "team", k.priority, y.call.deadline, mean)
	y.agentTicket.SetLong(long)
	verdict, victim, _ := a.gate.Offer(s.now, y.agentTicket)
	if victim != nil {
		a.refuseWaiting(victim)
	}
	switch verdict {
	case endpoint.Start:
		a.start(y)
	case endpoint.Shed:
		a.respond(y, reply{refused: true})
	case endpoint.Wait:
		a.waiting[y.agentTicket] = y
		if long {
			a.waitingLong++
		}
		s.schedule(y.agentTicket.LatestStart().Sub(s.now), func() {
			if a.gate.Cancel(s.now, y.agentTicket) {
				a.refuseWaiting(y.agentTicket)
			}
		})
	}
}

// refuseWaiting refuses an attempt that waits for a slot.
func (a *simAgent) refuseWaiting(t *endpoint.SlotRequest) {
	a.respond(a.removeWaiting(t), reply{refused: true})
}

func (a *simAgent) removeWaiting(t *endpoint.SlotRequest) *attempt {
	y := a.waiting[t]
	delete(a.waiting, t)
	if t.Long() {
		a.waitingLong--
	}
	return y
}

// start runs an attempt, and afterwards starts the next ones that the gate admits.
func (a *simAgent) start(y *attempt) {
	s := a.policy.s
	ok, spent := startAttempt(s, a.index, y.call)
	s.schedule(spent, func() {
		if ok {
			a.serviceTimes.Observe(y.agentTicket.Class(), spent)
		}
		a.gate.Release(s.now, y.agentTicket)
		a.respond(y, reply{ok: ok, serviceTime: spent})
		for {
			t, verdict := a.gate.Next(s.now)
			switch {
			case t == nil:
				return
			case verdict == endpoint.Start:
				a.start(a.removeWaiting(t))
			default:
				a.refuseWaiting(t)
			}
		}
	})
}

// respond sends the reply to an attempt, with the agent's load, to the entry.
func (a *simAgent) respond(y *attempt, r reply) {
	r.load = a.load()
	a.policy.s.schedule(hopDelay, func() { a.policy.attemptEnded(a.index, y, r) })
}

// attemptEnded handles, at the entry, the reply of the agent with an index: it settles
// the request or retries it within the limits.
func (p *routerPolicy) attemptEnded(index int, y *attempt, r reply) {
	s, c := p.s, y.call
	router := p.routers[c.entry]
	table := router.Table()
	table.UpdateLoad(y.target, r.load)
	router.Done(y.target, y.entryTicket)
	switch {
	case r.ok:
		table.RecordSuccess(s.now, y.target)
		table.RecordAcceptance(y.target)
		router.RecordServiceTime(s.now, y.target, y.entryTicket.Class(), r.serviceTime)
		s.settle(c, answered)
	case r.refused:
		table.RecordRefusal(y.target)
	default:
		table.RecordFailure(s.now, s.random, y.target)
	}
	p.sendWaiting(c.entry)
	if c.settled {
		return
	}
	if c.attempts >= maxAttempts || !router.RetryBudget().Take(s.now) {
		s.settle(c, refused)
		return
	}
	c.excluded = index
	s.schedule(endpoint.RetryDelay(s.random, c.attempts), func() {
		if !c.settled {
			p.offer(c)
		}
	})
}
