package request

import (
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// agentMark is the newest mark of an agent's dedup table that an entry knows.
type agentMark struct{ incarnation, mark uint64 }

// abandonRate is the probability that an entry abandons a slow attempt of a repeatable
// request and starts another attempt.
const abandonRate = 0.3

// entry simulates an entry. life counts its restarts, each of which drops all its
// requests.
type entry struct {
	w     *world
	life  int
	marks map[*agent]agentMark
	// openExchanges are the exchanges that wait for a reply. A misdelivered reply is
	// delivered to a random one of them.
	openExchanges []*exchange
}

// requestRun follows one request at an entry through its attempts. agent and attempt are
// those of the current attempt.
type requestRun struct {
	entry    *entry
	caller   *caller
	tracker  endpoint.AttemptTracker
	deadline time.Time
	agent    *agent
	attempt  attempt
}

// exchange is one call from an entry to an agent.
type exchange struct {
	request   *requestRun
	entryLife int
	closed    bool
}

func (e *entry) restart() {
	e.life++
	e.openExchanges = nil
	e.marks = make(map[*agent]agentMark)
}

// noteMark notes a mark of an agent's dedup table, unless the entry knows a newer one.
func (e *entry) noteMark(a *agent, incarnation, mark uint64) {
	newest := e.marks[a]
	if incarnation > newest.incarnation || incarnation == newest.incarnation && mark > newest.mark {
		e.marks[a] = agentMark{incarnation, mark}
	}
}

// handleRequest begins to serve a caller's request.
func (e *entry) handleRequest(c *caller) {
	c.entry, c.entryLife = e, e.life
	r := &requestRun{entry: e, caller: c, tracker: endpoint.NewAttemptTracker(c.mayRepeat), deadline: e.w.now.Add(requestTimeout)}
	r.startAttempt()
}

func (r *requestRun) pastDeadline() bool { return r.entry.w.now.After(r.deadline) }

// startAttempt starts the next attempt at a random agent. If the entry does not know the
// agent's mark yet, the attempt counts as refused.
func (r *requestRun) startAttempt() {
	w := r.entry.w
	number := r.tracker.BeginAttempt()
	r.agent = w.agents[w.random.IntN(agentCount)]
	newest, ok := r.entry.marks[r.agent]
	if !ok {
		r.tracker.RecordRefusal(endpoint.AttemptNotRun)
		w.schedule(heartbeatInterval, r.retryOrRespond)
		return
	}
	r.attempt = attempt{
		id: endpoint.AttemptID{Request: r.caller.name, Attempt: number}, caller: r.caller,
		incarnation: newest.incarnation, mark: newest.mark, deadline: r.deadline,
	}
	r.sendAttempt()
}

// sendAttempt sends the current attempt to its agent and waits for the reply.
func (r *requestRun) sendAttempt() {
	w := r.entry.w
	x := &exchange{request: r, entryLife: r.entry.life}
	r.entry.openExchanges = append(r.entry.openExchanges, x)
	a, sent := r.agent, r.attempt
	replyTo := func(got reply) {
		w.send(func() { x.pickReceiver().deliver(got) })
	}
	w.send(func() { a.handleAttempt(sent, replyTo) })
	w.schedule(responseTimeout, x.timeOut)
}

// pickReceiver returns the exchange to which the reply to x is delivered: usually x
// itself, now and then a random open exchange.
func (x *exchange) pickReceiver() *exchange {
	w := x.request.entry.w
	if others := x.request.entry.openExchanges; len(others) > 0 && w.random.Float64() < w.disorderRate/4 {
		return others[w.random.IntN(len(others))]
	}
	return x
}

// isOpen reports whether the exchange still waits for its reply and the entry has
// not restarted.
func (x *exchange) isOpen() bool { return !x.closed && x.entryLife == x.request.entry.life }

func (x *exchange) close() {
	x.closed = true
	e := x.request.entry
	for i, o := range e.openExchanges {
		if o == x {
			e.openExchanges = append(e.openExchanges[:i], e.openExchanges[i+1:]...)
			return
		}
	}
}

// deliver passes a reply to the request, unless the exchange is closed. A reply to
// another attempt counts as no reply.
func (x *exchange) deliver(got reply) {
	if !x.isOpen() {
		return
	}
	r := x.request
	if !r.entry.w.rules.sameAttempt(got.id, r.attempt.id) {
		x.close()
		r.handleNoReply()
		return
	}
	x.close()
	if got.body != "" {
		r.respond(got.body, endpoint.AttemptDone)
		return
	}
	r.tracker.RecordRefusal(got.state)
	r.retryOrRespond()
}

// timeOut ends an exchange that has had no reply for responseTimeout.
func (x *exchange) timeOut() {
	if !x.isOpen() {
		return
	}
	x.close()
	if x.request.tracker.MayAbandon() && x.request.entry.w.random.Float64() < abandonRate {
		x.request.abandon()
		return
	}
	x.request.handleNoReply()
}

// abandon abandons the current attempt, which may still run, asks the agent to cancel it,
// and continues with another attempt.
func (r *requestRun) abandon() {
	w := r.entry.w
	a, sent := r.agent, r.attempt
	r.tracker.Abandon()
	w.send(func() { a.handleQuery(sent.id, sent.incarnation, sent.mark, true) })
	r.retryOrRespond()
}

// handleNoReply continues after an exchange without a reply.
func (r *requestRun) handleNoReply() {
	if r.tracker.RecordNoResponse(true) == endpoint.StepQuery {
		r.queryAgent()
		return
	}
	r.retryOrRespond()
}

// queryAgent asks the agent for the state of the current attempt.
func (r *requestRun) queryAgent() {
	w := r.entry.w
	life := r.entry.life
	done := false
	a, sent, pastDeadline := r.agent, r.attempt, r.pastDeadline()
	handleResult := func(state endpoint.AttemptState) {
		if done || life != r.entry.life {
			return
		}
		done = true
		if r.tracker.RecordQueryResult(state, pastDeadline) == endpoint.StepResend {
			r.sendAttempt()
			return
		}
		r.retryOrRespond()
	}
	w.send(func() {
		state := a.handleQuery(sent.id, sent.incarnation, sent.mark, pastDeadline)
		w.send(func() { handleResult(state) })
	})
	w.schedule(queryTimeout, func() { handleResult(endpoint.AttemptUnknown) })
}

// retryOrRespond continues after an attempt without a response: it starts another
// attempt if the rules allow one, or else responds to the caller.
func (r *requestRun) retryOrRespond() {
	if r.caller.entryLife != r.entry.life {
		return
	}
	if r.entry.w.rules.mayRetry(&r.tracker, r.pastDeadline()) {
		r.startAttempt()
		return
	}
	r.respond("", r.tracker.State())
}

// respond sends the caller the response with the given body, or the state of the request
// if body is empty.
func (r *requestRun) respond(body string, state endpoint.AttemptState) {
	if r.caller.entryLife != r.entry.life {
		return
	}
	if body != "" && body != r.caller.name {
		r.entry.w.fail(errors.Wrapf(ErrWrongResponse, "%s got the response to %s", r.caller.name, body))
	}
	r.caller.responded = true
	r.caller.toldNotRun = state == endpoint.AttemptNotRun
}
