package request

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// attempt is the message with which an entry sends an attempt to an agent. incarnation
// and mark are the newest incarnation of the agent, and mark of its dedup table, that
// the entry knows.
type attempt struct {
	id          endpoint.AttemptID
	caller      *caller
	incarnation uint64
	mark        uint64
	deadline    time.Time
}

// agent simulates the agent of one endpoint and the runner behind it.
type agent struct {
	w           *world
	name        string
	incarnation uint64
	dedup       *endpoint.DedupTable
	gate        *endpoint.Gate
	pending     map[endpoint.AttemptID]*pendingAttempt
	tickets     map[*endpoint.SlotRequest]*pendingAttempt
	running     int
}

// pendingAttempt is an attempt that waits for a slot or runs, with the functions that
// send a reply to it.
type pendingAttempt struct {
	attempt attempt
	ticket  *endpoint.SlotRequest
	replyTo []func(reply)
}

// reply is an agent's reply to an attempt.
type reply struct {
	id    endpoint.AttemptID
	body  string
	state endpoint.AttemptState
}

// restart drops the agent's state. Requests that the agent has started continue on the
// runner.
func (a *agent) restart() {
	a.incarnation++
	a.dedup = &endpoint.DedupTable{}
	a.dedup.SetMaxEnded(maxEndedAttempts)
	a.gate = &endpoint.Gate{}
	a.gate.SetLimits(slotsPerAgent, connectionsPerAgent)
	a.pending = make(map[endpoint.AttemptID]*pendingAttempt)
	a.tickets = make(map[*endpoint.SlotRequest]*pendingAttempt)
	a.running = 0
}

// sendHeartbeats sends the newest mark of the dedup table to the entries.
func (a *agent) sendHeartbeats() {
	mark, incarnation := a.dedup.NextMark(), a.incarnation
	for _, e := range a.w.entries {
		a.w.send(func() { e.noteMark(a, incarnation, mark) })
	}
	if a.w.now.Sub(a.w.start) < horizon {
		a.w.schedule(heartbeatInterval, a.sendHeartbeats)
	}
}

// handleAttempt handles an attempt that an entry sent. replyTo sends the reply.
func (a *agent) handleAttempt(sent attempt, replyTo func(reply)) {
	if !a.w.rules.sameIncarnation(sent.incarnation, a.incarnation) {
		replyTo(reply{id: sent.id, state: endpoint.AttemptUnknown})
		return
	}
	switch a.w.rules.admit(a.dedup, a.w.now, sent.id, sent.mark) {
	case endpoint.Admit:
		a.queueOrRun(sent, replyTo)
	case endpoint.Attach:
		p := a.pending[sent.id]
		p.replyTo = append(p.replyTo, replyTo)
	case endpoint.Replay:
		replyTo(reply{id: sent.id, state: endpoint.AttemptDone, body: string(a.dedup.Response(sent.id).Body())})
	case endpoint.RefuseNotRun:
		replyTo(reply{id: sent.id, state: endpoint.AttemptNotRun})
	case endpoint.RefuseRun:
		replyTo(reply{id: sent.id, state: endpoint.AttemptDone})
	case endpoint.RefuseUnknown:
		replyTo(reply{id: sent.id, state: endpoint.AttemptUnknown})
	}
}

// queueOrRun offers an attempt to the gate, which starts it, queues it or sheds it.
func (a *agent) queueOrRun(sent attempt, replyTo func(reply)) {
	p := &pendingAttempt{attempt: sent, replyTo: []func(reply){replyTo}}
	p.ticket = endpoint.NewSlotRequest("class", "team", a.w.random.IntN(3), sent.deadline, maxRunDuration/4)
	p.ticket.SetLong(a.w.random.IntN(4) == 0)
	a.pending[sent.id] = p
	a.tickets[p.ticket] = p
	verdict, victim, _ := a.gate.Offer(a.w.now, p.ticket)
	if victim != nil {
		a.finish(a.tickets[victim], endpoint.AttemptNotRun, "")
	}
	switch verdict {
	case endpoint.Start:
		a.run(p)
	case endpoint.Shed:
		a.finish(p, endpoint.AttemptNotRun, "")
	}
}

// run runs an attempt on the runner. If the agent restarts meanwhile, it does not learn
// how the attempt ended.
func (a *agent) run(p *pendingAttempt) {
	p.attempt.caller.runs++
	a.running++
	if a.running > slotsPerAgent {
		a.w.fail(ErrTooManyRunning)
	}
	incarnation := a.incarnation
	a.w.schedule(a.w.randomBetween(0, maxRunDuration), func() {
		if a.incarnation != incarnation {
			return
		}
		a.running--
		a.gate.Release(a.w.now, p.ticket)
		if a.w.random.Float64() < a.w.disorderRate/4 {
			a.finish(p, endpoint.AttemptUnknown, "")
		} else {
			a.finish(p, endpoint.AttemptDone, p.attempt.id.Request)
		}
		a.startNext()
	})
}

// startNext starts the attempts that the gate admits, and finishes those that it sheds.
func (a *agent) startNext() {
	for {
		t, verdict := a.gate.Next(a.w.now)
		if t == nil {
			return
		}
		if verdict == endpoint.Start {
			a.run(a.tickets[t])
		} else {
			a.finish(a.tickets[t], endpoint.AttemptNotRun, "")
		}
	}
}

// finish records the state in which an attempt ended, and replies to the attempt. For
// some attempts, the dedup table gets no response to keep.
func (a *agent) finish(p *pendingAttempt, state endpoint.AttemptState, body string) {
	var response *endpoint.Response
	if state == endpoint.AttemptDone && a.w.random.IntN(8) > 0 {
		response = endpoint.NewResponse(0, nil, []byte(body))
	}
	id := p.attempt.id
	a.dedup.Finish(a.w.now, id, state, response)
	delete(a.pending, id)
	delete(a.tickets, p.ticket)
	for _, send := range p.replyTo {
		send(reply{id: id, state: state, body: body})
	}
}

// handleQuery returns the state of an attempt, and fences an attempt that is unknown. If
// cancel is set, it also cancels an attempt that waits for a slot.
func (a *agent) handleQuery(id endpoint.AttemptID, incarnation, mark uint64, cancel bool) endpoint.AttemptState {
	if !a.w.rules.sameIncarnation(incarnation, a.incarnation) {
		return endpoint.AttemptUnknown
	}
	state := a.w.rules.query(a.dedup, a.w.now, id, mark)
	if p := a.pending[id]; p != nil && cancel && a.gate.Cancel(a.w.now, p.ticket) {
		a.finish(p, endpoint.AttemptNotRun, "")
		return endpoint.AttemptNotRun
	}
	return state
}
