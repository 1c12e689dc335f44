package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// queuePerEndpoint is how many requests an entry lets wait for each endpoint.
	queuePerEndpoint = 64
	// waitPart is the part of the time left, as a divisor, that a request may be
	// expected to wait. More would fill the slots with work that ends too late.
	waitPart = 2
	// leastRetryAfter is the least time that a refused caller is told to wait.
	leastRetryAfter = time.Second
)

// Router decides for one service which request goes where and when, and which
// is refused. The zero value has no endpoint. It is not safe for concurrent use.
type Router struct {
	table  Table
	times  Times
	queue  Queue
	budget Budget
	rates  [2 * (maxPriority + 1)]rate
}

// Decision is what becomes of a request.
type Decision struct {
	Verdict  Verdict
	Endpoint *Endpoint
	Reason   string
	// RetryAfter is when a refused request may be let in.
	RetryAfter time.Duration
	// Victim was waiting and is refused to make room, or is nil.
	Victim *Ticket
}

// Table returns the endpoints.
func (r *Router) Table() *Table { return &r.table }

// Budget returns the budget of retries.
func (r *Router) Budget() *Budget { return &r.budget }

// Waiting returns the number of waiting requests.
func (r *Router) Waiting() int { return r.queue.Len() }

// Ticket returns a ticket for a request of a class with its declared service time.
func (r *Router) Ticket(now time.Time, class, team string, priority int, deadline time.Time, declared time.Duration) *Ticket {
	mean, long := r.times.Expect(class, declared)
	t := NewTicket(class, team, priority, deadline, mean)
	t.long = long
	t.room = max(mean, min(r.times.Room(class), t.deadline.Sub(now)/2))
	return t
}

// Offer takes in a request; skip names an endpoint to avoid, or "".
func (r *Router) Offer(now time.Time, random *rand.Rand, t *Ticket, skip string) Decision {
	if r.queue.Peek(!t.long) == nil {
		e, reason, err := r.place(now, random, t, skip)
		if err == nil {
			r.rates[levelOf(t)].add(now, t.work)
			return Decision{Verdict: Start, Endpoint: e, Reason: reason}
		}
		if errors.Is(err, ErrNone) {
			return Decision{Verdict: Shed, Reason: ErrNone.Error(), RetryAfter: leastRetryAfter}
		}
	}
	if !r.table.Takes(now) {
		return Decision{Verdict: Shed, Reason: ErrNone.Error(), RetryAfter: leastRetryAfter}
	}
	wait := r.wait(now, t)
	if wait > t.GiveUpAt().Sub(now)/waitPart {
		return Decision{Verdict: Shed, Reason: "the queue is longer than the deadline", RetryAfter: max(wait, leastRetryAfter)}
	}
	var victim *Ticket
	if r.queue.Len() >= queuePerEndpoint*r.table.Len() {
		victim = r.queue.Last()
		if levelOf(victim) <= levelOf(t) {
			return Decision{Verdict: Shed, Reason: "the queue is full", RetryAfter: max(wait, leastRetryAfter)}
		}
		r.queue.Remove(victim)
	}
	r.queue.Push(t)
	return Decision{Verdict: Wait, Reason: ErrBusy.Error(), Victim: victim}
}

// Cancel takes out a waiting request and reports whether it was waiting.
func (r *Router) Cancel(t *Ticket) bool { return r.queue.Remove(t) }

// Next returns the waiting request to send now and its endpoint, or one to
// refuse. The ticket is nil if there is none; call Next until then.
func (r *Router) Next(now time.Time, random *rand.Rand) (*Ticket, Decision) {
	t := r.queue.Peek(false)
	if t == nil {
		return nil, Decision{Verdict: Wait}
	}
	if t.hopeless(now) {
		r.queue.Remove(t)
		return t, Decision{Verdict: Shed, Reason: "the deadline is too near", RetryAfter: leastRetryAfter}
	}
	e, reason, err := r.place(now, random, t, "")
	if errors.Is(err, ErrNone) {
		r.queue.Remove(t)
		return t, Decision{Verdict: Shed, Reason: ErrNone.Error(), RetryAfter: leastRetryAfter}
	}
	if err != nil && t.long {
		if t = r.queue.Peek(true); t != nil && !t.hopeless(now) {
			e, reason, err = r.place(now, random, t, "")
		}
	}
	if err != nil || t == nil {
		return nil, Decision{Verdict: Wait}
	}
	r.queue.Take(t)
	r.rates[levelOf(t)].add(now, t.work)
	return t, Decision{Verdict: Start, Endpoint: e, Reason: reason}
}

// place chooses an endpoint; short work rather waits than go to a slow one if
// that is faster.
func (r *Router) place(now time.Time, random *rand.Rand, t *Ticket, skip string) (*Endpoint, string, error) {
	e, reason, err := r.table.Choose(now, random, t, skip)
	if err != nil || t.long {
		return e, reason, err
	}
	slow := e.Slowness(now)
	if slow < slowFrom || r.speed(now)-1/slow < 1 {
		return e, reason, nil
	}
	extra := time.Duration((slow - 1) * float64(t.work))
	if r.wait(now, t) >= extra {
		return e, reason, nil
	}
	r.table.Done(e, t)
	return nil, "", ErrBusy
}

// wait estimates how long a request like t waits in the queue: more important
// work goes at the speed of all slots, its own kind at the speed of late.
func (r *Router) wait(now time.Time, t *Ticket) time.Duration {
	capacity := max(r.capacity(now), 1)
	l := levelOf(t)
	own := r.queue.levels[l].work + t.work
	ahead := r.queue.WorkAhead(t) + t.work - own
	speed := min(max(r.rates[l].value(now), leastSpeed*capacity), capacity)
	return time.Duration(float64(ahead)/capacity + float64(own)/speed)
}

// capacity returns the number of slots in use, slow ones counted for less.
func (r *Router) capacity(now time.Time) float64 {
	sum := 0.0
	for _, e := range r.table.list {
		if e.usable(now) && !e.Probing() {
			sum += float64(e.report.Slots) / e.Slowness(now)
		}
	}
	return sum
}

// speed returns the number of usable endpoints, slow ones counted for less.
func (r *Router) speed(now time.Time) float64 {
	sum := 0.0
	for _, e := range r.table.list {
		if e.usable(now) && !e.Probing() {
			sum += 1 / e.Slowness(now)
		}
	}
	return sum
}

// Done notes that a request sent to e has ended.
func (r *Router) Done(e *Endpoint, t *Ticket) { r.table.Done(e, t) }

// Learn takes in a request's service time at an endpoint.
func (r *Router) Learn(now time.Time, e *Endpoint, class string, took time.Duration) {
	mean, _ := r.times.Expect(class, took)
	r.table.Learn(now, e, took, mean)
	r.times.Observe(class, took)
}
