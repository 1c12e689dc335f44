package request

import (
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// known is what an entry has heard of an agent.
type known struct{ incarnation, mark uint64 }

// abandonPart is the part of the slow attempts of repeatable requests that are
// given up for another one.
const abandonPart = 0.3

// entry is an entry; a restart loses its requests.
type entry struct {
	w     *world
	life  int
	marks map[*agent]known
	// waiting holds the exchanges that wait for a reply, for crossed answers.
	waiting []*exchange
}

// journey is one request at an entry.
type journey struct {
	e        *entry
	c        *caller
	course   endpoint.AttemptTracker
	deadline time.Time
	agent    *agent
	attempt  attempt
}

// exchange is one way to the agent and back.
type exchange struct {
	j    *journey
	life int
	over bool
}

func (e *entry) restart() {
	e.life++
	e.waiting = nil
	e.marks = make(map[*agent]known)
}

func (e *entry) hear(a *agent, incarnation, mark uint64) {
	k := e.marks[a]
	if incarnation > k.incarnation || incarnation == k.incarnation && mark > k.mark {
		e.marks[a] = known{incarnation, mark}
	}
}

// begin takes in a caller's request.
func (e *entry) begin(c *caller) {
	c.entry, c.life = e, e.life
	j := &journey{e: e, c: c, course: endpoint.NewAttemptTracker(c.repeat), deadline: e.w.now.Add(deadline)}
	j.try()
}

func (j *journey) over() bool { return j.e.w.now.After(j.deadline) }

// try starts the next attempt.
func (j *journey) try() {
	w := j.e.w
	n := j.course.BeginAttempt()
	j.agent = w.agents[w.random.IntN(agents)]
	k, ok := j.e.marks[j.agent]
	if !ok {
		j.course.RecordRefusal(endpoint.AttemptNotRun)
		w.at(beatEvery, j.ended)
		return
	}
	j.attempt = attempt{
		id: endpoint.AttemptID{Request: j.c.name, Attempt: n}, caller: j.c,
		incarnation: k.incarnation, mark: k.mark, deadline: j.deadline,
	}
	j.exchange()
}

// exchange sends the attempt and waits for its reply.
func (j *journey) exchange() {
	w := j.e.w
	x := &exchange{j: j, life: j.e.life}
	j.e.waiting = append(j.e.waiting, x)
	a, in := j.agent, j.attempt
	to := func(r reply) {
		w.send(func() { x.misdeliver().deliver(r) })
	}
	w.send(func() { a.receive(in, to) })
	w.at(giveUpAfter, x.giveUp)
}

// misdeliver returns the exchange that a reply reaches: now and then another one.
func (x *exchange) misdeliver() *exchange {
	w := x.j.e.w
	if others := x.j.e.waiting; len(others) > 0 && w.random.Float64() < w.chaos/4 {
		return others[w.random.IntN(len(others))]
	}
	return x
}

// live reports whether the exchange still waits for its reply.
func (x *exchange) live() bool { return !x.over && x.life == x.j.e.life }

func (x *exchange) end() {
	x.over = true
	e := x.j.e
	for i, o := range e.waiting {
		if o == x {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (x *exchange) deliver(r reply) {
	if !x.live() {
		return
	}
	j := x.j
	if !j.e.w.rules.same(r.id, j.attempt.id) {
		x.end()
		j.lost()
		return
	}
	x.end()
	if r.answer != "" {
		j.tell(r.answer, endpoint.AttemptDone)
		return
	}
	j.course.RecordRefusal(r.fate)
	j.ended()
}

func (x *exchange) giveUp() {
	if !x.live() {
		return
	}
	x.end()
	if x.j.course.MayAbandon() && x.j.e.w.random.Float64() < abandonPart {
		x.j.abandon()
		return
	}
	x.j.lost()
}

// abandon gives up an attempt that may still run and tells the agent so.
func (j *journey) abandon() {
	w := j.e.w
	a, in := j.agent, j.attempt
	j.course.Abandon()
	w.send(func() { a.ask(in.id, in.incarnation, in.mark, true) })
	j.ended()
}

// lost goes on after an exchange without a reply.
func (j *journey) lost() {
	if j.course.RecordNoResponse(true) == endpoint.StepQuery {
		j.ask()
		return
	}
	j.ended()
}

// ask asks the agent what became of the attempt.
func (j *journey) ask() {
	w := j.e.w
	life := j.e.life
	answered := false
	a, in, over := j.agent, j.attempt, j.over()
	heard := func(fate endpoint.AttemptState) {
		if answered || life != j.e.life {
			return
		}
		answered = true
		if j.course.RecordQueryResult(fate, over) == endpoint.StepResend {
			j.exchange()
			return
		}
		j.ended()
	}
	w.send(func() {
		fate := a.ask(in.id, in.incarnation, in.mark, over)
		w.send(func() { heard(fate) })
	})
	w.at(questionTime, func() { heard(endpoint.AttemptUnknown) })
}

// ended goes on after an attempt without an answer.
func (j *journey) ended() {
	if j.c.life != j.e.life {
		return
	}
	if j.e.w.rules.again(&j.course, j.over()) {
		j.try()
		return
	}
	j.tell("", j.course.State())
}

// tell gives the caller its final word.
func (j *journey) tell(answer string, fate endpoint.AttemptState) {
	if j.c.life != j.e.life {
		return
	}
	if answer != "" && answer != j.c.name {
		j.e.w.fail(errors.Wrapf(ErrCrossed, "%s got the answer to %s", j.c.name, answer))
	}
	j.c.told = true
	j.c.notRun = fate == endpoint.AttemptNotRun
}
