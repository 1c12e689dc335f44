package request

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// attempt is one attempt on its way.
type attempt struct {
	id          endpoint.AttemptID
	caller      *caller
	incarnation uint64
	mark        uint64
	deadline    time.Time
}

// agent is the agent of one endpoint.
type agent struct {
	w           *world
	name        string
	incarnation uint64
	book        *endpoint.DedupTable
	gate        *endpoint.Gate
	flights     map[endpoint.AttemptID]*flight
	tickets     map[*endpoint.Ticket]*flight
	working     int
}

// flight is an attempt that waits or runs, and who is to be told its end.
type flight struct {
	attempt attempt
	ticket  *endpoint.Ticket
	askers  []func(reply)
}

// reply is what an agent answers to an attempt.
type reply struct {
	id     endpoint.AttemptID
	answer string
	fate   endpoint.AttemptState
}

// restart loses all that the agent knew; what runs on the runner goes on.
func (a *agent) restart() {
	a.incarnation++
	a.book = &endpoint.DedupTable{}
	a.book.SetMaxEnded(bookSize)
	a.gate = &endpoint.Gate{}
	a.gate.SetLimits(slots, connections)
	a.flights = make(map[endpoint.AttemptID]*flight)
	a.tickets = make(map[*endpoint.Ticket]*flight)
	a.working = 0
}

// beat tells the entries the newest mark.
func (a *agent) beat() {
	mark, incarnation := a.book.NextMark(), a.incarnation
	for _, e := range a.w.entries {
		a.w.send(func() { e.hear(a, incarnation, mark) })
	}
	if a.w.now.Sub(a.w.start) < horizon {
		a.w.at(beatEvery, a.beat)
	}
}

// receive takes in an attempt; to gets the reply.
func (a *agent) receive(in attempt, to func(reply)) {
	if !a.w.rules.current(in.incarnation, a.incarnation) {
		to(reply{id: in.id, fate: endpoint.AttemptUnknown})
		return
	}
	switch a.w.rules.admit(a.book, a.w.now, in.id, in.mark) {
	case endpoint.Admit:
		a.admit(in, to)
	case endpoint.Attach:
		f := a.flights[in.id]
		f.askers = append(f.askers, to)
	case endpoint.Replay:
		to(reply{id: in.id, fate: endpoint.AttemptDone, answer: string(a.book.Response(in.id).Body())})
	case endpoint.RefuseNotRun:
		to(reply{id: in.id, fate: endpoint.AttemptNotRun})
	case endpoint.RefuseRun:
		to(reply{id: in.id, fate: endpoint.AttemptDone})
	case endpoint.RefuseUnknown:
		to(reply{id: in.id, fate: endpoint.AttemptUnknown})
	}
}

func (a *agent) admit(in attempt, to func(reply)) {
	f := &flight{attempt: in, askers: []func(reply){to}}
	f.ticket = endpoint.NewTicket("class", "team", a.w.random.IntN(3), in.deadline, mostWork/4)
	f.ticket.SetLong(a.w.random.IntN(4) == 0)
	a.flights[in.id] = f
	a.tickets[f.ticket] = f
	verdict, victim, _ := a.gate.Offer(a.w.now, f.ticket)
	if victim != nil {
		a.end(a.tickets[victim], endpoint.AttemptNotRun, "")
	}
	switch verdict {
	case endpoint.Start:
		a.work(f)
	case endpoint.Shed:
		a.end(f, endpoint.AttemptNotRun, "")
	}
}

// work runs the attempt on the runner.
func (a *agent) work(f *flight) {
	f.attempt.caller.runs++
	a.working++
	if a.working > slots {
		a.w.fail(ErrOverfull)
	}
	incarnation := a.incarnation
	a.w.at(a.w.span(0, mostWork), func() {
		if a.incarnation != incarnation {
			return
		}
		a.working--
		a.gate.Release(a.w.now, f.ticket)
		if a.w.random.Float64() < a.w.chaos/4 {
			a.end(f, endpoint.AttemptUnknown, "")
		} else {
			a.end(f, endpoint.AttemptDone, f.attempt.id.Request)
		}
		a.next()
	})
}

func (a *agent) next() {
	for {
		t, verdict := a.gate.Next(a.w.now)
		if t == nil {
			return
		}
		if verdict == endpoint.Start {
			a.work(a.tickets[t])
		} else {
			a.end(a.tickets[t], endpoint.AttemptNotRun, "")
		}
	}
}

// end notes the fate of an attempt and tells its askers.
func (a *agent) end(f *flight, fate endpoint.AttemptState, body string) {
	var kept *endpoint.Response
	if fate == endpoint.AttemptDone && a.w.random.IntN(8) > 0 {
		kept = endpoint.NewResponse(0, nil, []byte(body))
	}
	id := f.attempt.id
	a.book.Finish(a.w.now, id, fate, kept)
	delete(a.flights, id)
	delete(a.tickets, f.ticket)
	for _, to := range f.askers {
		to(reply{id: id, fate: fate, answer: body})
	}
}

// ask answers a question about an attempt; cancel ends one that waits.
func (a *agent) ask(id endpoint.AttemptID, incarnation, mark uint64, cancel bool) endpoint.AttemptState {
	if !a.w.rules.current(incarnation, a.incarnation) {
		return endpoint.AttemptUnknown
	}
	fate := a.w.rules.ask(a.book, a.w.now, id, mark)
	if f := a.flights[id]; f != nil && cancel && a.gate.Cancel(a.w.now, f.ticket) {
		a.end(f, endpoint.AttemptNotRun, "")
		return endpoint.AttemptNotRun
	}
	return fate
}
