package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxQueuedPerEndpoint is how many requests may wait at an entry for each
	// endpoint.
	maxQueuedPerEndpoint = 64
	// maxWaitDivisor bounds a request's expected wait to this fraction of the time
	// until the request must start: one in so many. Longer waits would fill the slots
	// with work that ends too late.
	maxWaitDivisor = 2
	// minRetryAfter is the least time after which a refused caller may try again.
	minRetryAfter = time.Second
)

// Router decides for one service which endpoint a request is sent to and when,
// and which requests are refused. The zero value has no endpoints. It is not
// safe for concurrent use.
type Router struct {
	table  Table
	times  ServiceTimes
	queue  Queue
	budget RetryBudget
	// startRates holds, for each level of the queue, the rate at which its work is
	// started.
	startRates [2 * (maxPriority + 1)]workRate
}

// Decision is the decision on one request.
type Decision struct {
	Verdict  Verdict
	Endpoint *Endpoint
	Reason   string
	// RetryAfter is how long the caller of a refused request should wait before it
	// tries again.
	RetryAfter time.Duration
	// Victim is a request that was waiting and is now refused to make room, or nil.
	Victim *SlotRequest
}

// Table returns the endpoints.
func (r *Router) Table() *Table { return &r.table }

// RetryBudget returns the limit on retries.
func (r *Router) RetryBudget() *RetryBudget { return &r.budget }

// WaitingCount returns the number of waiting requests.
func (r *Router) WaitingCount() int { return r.queue.Len() }

// NewSlotRequest returns the slot request of a request with these properties; declared is the
// service time that is declared for its class.
func (r *Router) NewSlotRequest(now time.Time, class, team string, priority int, deadline time.Time, declared time.Duration) *SlotRequest {
	mean, long := r.times.Estimate(class, declared)
	request := NewSlotRequest(class, team, priority, deadline, mean)
	request.long = long
	request.startMargin = max(mean, min(r.times.StartMargin(class), request.deadline.Sub(now)/2))
	return request
}

// Offer decides whether to send, queue or refuse a request; skip names an endpoint to
// avoid, or is "".
func (r *Router) Offer(now time.Time, random *rand.Rand, request *SlotRequest, skip string) Decision {
	if r.queue.Peek(!request.long) == nil {
		e, reason, err := r.place(now, random, request, skip)
		if err == nil {
			r.startRates[levelOf(request)].add(now, request.serviceTime)
			return Decision{Verdict: Start, Endpoint: e, Reason: reason}
		}
		if errors.Is(err, ErrNoEndpoint) {
			return Decision{Verdict: Shed, Reason: ErrNoEndpoint.Error(), RetryAfter: minRetryAfter}
		}
	}
	if !r.table.HasUsable(now) {
		return Decision{Verdict: Shed, Reason: ErrNoEndpoint.Error(), RetryAfter: minRetryAfter}
	}
	wait := r.queueWait(now, request)
	if wait > request.LatestStart().Sub(now)/maxWaitDivisor {
		return Decision{Verdict: Shed, Reason: "the expected wait is too long for the deadline", RetryAfter: max(wait, minRetryAfter)}
	}
	var victim *SlotRequest
	if r.queue.Len() >= maxQueuedPerEndpoint*r.table.Len() {
		victim = r.queue.ShedCandidate()
		if levelOf(victim) <= levelOf(request) {
			return Decision{Verdict: Shed, Reason: "the queue is full", RetryAfter: max(wait, minRetryAfter)}
		}
		r.queue.Remove(victim)
	}
	r.queue.Push(request)
	return Decision{Verdict: Wait, Reason: ErrBusy.Error(), Victim: victim}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (r *Router) Cancel(request *SlotRequest) bool { return r.queue.Remove(request) }

// Next returns the waiting request to send now and its endpoint, or one to refuse. It
// returns a nil request if there is neither; the caller must call Next until then.
func (r *Router) Next(now time.Time, random *rand.Rand) (*SlotRequest, Decision) {
	request := r.queue.Peek(false)
	if request == nil {
		return nil, Decision{Verdict: Wait}
	}
	if request.tooLate(now) {
		r.queue.Remove(request)
		return request, Decision{Verdict: Shed, Reason: "the deadline is too near", RetryAfter: minRetryAfter}
	}
	e, reason, err := r.place(now, random, request, "")
	if errors.Is(err, ErrNoEndpoint) {
		r.queue.Remove(request)
		return request, Decision{Verdict: Shed, Reason: ErrNoEndpoint.Error(), RetryAfter: minRetryAfter}
	}
	if err != nil && request.long {
		if request = r.queue.Peek(true); request != nil && !request.tooLate(now) {
			e, reason, err = r.place(now, random, request, "")
		}
	}
	if err != nil || request == nil {
		return nil, Decision{Verdict: Wait}
	}
	r.queue.Take(request)
	r.startRates[levelOf(request)].add(now, request.serviceTime)
	return request, Decision{Verdict: Start, Endpoint: e, Reason: reason}
}

// place chooses an endpoint for a request; skip names an endpoint to avoid, or is "".
// It returns ErrBusy instead of a slow endpoint if short work is expected to end sooner
// by waiting for another one.
func (r *Router) place(now time.Time, random *rand.Rand, request *SlotRequest, skip string) (*Endpoint, string, error) {
	e, reason, err := r.table.Choose(now, random, request, skip)
	if err != nil || request.long {
		return e, reason, err
	}
	slowness := e.Slowness(now)
	if slowness < slowThreshold || r.effectiveEndpoints(now)-1/slowness < 1 {
		return e, reason, nil
	}
	extra := time.Duration((slowness - 1) * float64(request.serviceTime))
	if r.queueWait(now, request) >= extra {
		return e, reason, nil
	}
	r.table.Done(e, request)
	return nil, "", ErrBusy
}

// queueWait estimates how long a request waits in the queue: the work of
// more important levels is served by all slots, the work of the request's
// own level at the rate at which work of that level was started recently.
func (r *Router) queueWait(now time.Time, request *SlotRequest) time.Duration {
	capacity := max(r.effectiveSlots(now), 1)
	l := levelOf(request)
	own := r.queue.levels[l].queuedWork + request.serviceTime
	ahead := r.queue.WorkAhead(request) + request.serviceTime - own
	speed := min(max(r.startRates[l].value(now), minSlotShare*capacity), capacity)
	return time.Duration(float64(ahead)/capacity + float64(own)/speed)
}

// effectiveSlots returns the number of usable slots, each divided by the slowness
// of its endpoint.
func (r *Router) effectiveSlots(now time.Time) float64 {
	sum := 0.0
	for _, e := range r.table.list {
		if e.isUsable(now) && !e.Probing() {
			sum += float64(e.report.Slots) / e.Slowness(now)
		}
	}
	return sum
}

// effectiveEndpoints returns the number of usable endpoints, each divided by its
// slowness.
func (r *Router) effectiveEndpoints(now time.Time) float64 {
	sum := 0.0
	for _, e := range r.table.list {
		if e.isUsable(now) && !e.Probing() {
			sum += 1 / e.Slowness(now)
		}
	}
	return sum
}

// Done records that a request sent to the endpoint e has ended.
func (r *Router) Done(e *Endpoint, request *SlotRequest) { r.table.Done(e, request) }

// RecordServiceTime records the service time of a request at an endpoint.
func (r *Router) RecordServiceTime(now time.Time, e *Endpoint, class string, serviceTime time.Duration) {
	mean, _ := r.times.Estimate(class, serviceTime)
	r.table.RecordServiceTime(now, e, serviceTime, mean)
	r.times.Observe(class, serviceTime)
}
