package entry

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// ErrShed means that a request was refused before it was sent anywhere.
var ErrShed = errors.New("the request was refused")

// routes is the entry's state of interactive requests, by service.
type routes struct {
	mu      sync.Mutex
	routers map[string]*endpoint.Router
	// waiters holds, for each waiting request, the channel that receives the decision on it.
	waiters map[*endpoint.SlotRequest]chan endpoint.Decision
	random  *mathrand.Rand
}

// target is a chosen endpoint, with a copy of the attributes that an attempt needs.
type target struct {
	endpoint    *endpoint.Endpoint
	ticket      *endpoint.SlotRequest
	name        string
	address     string
	incarnation uint64
	// mark is the mark of the newest report received from the agent, by which the agent tells
	// whether it may have forgotten the attempt; see endpoint.DedupTable.
	mark     uint64
	inFlight int
	// reason is why the endpoint was chosen.
	reason string
	// waited says whether the request waited until an endpoint had room.
	waited bool
}

// router returns the router of a service; mu is held.
func (r *routes) router(service string) *endpoint.Router {
	p, ok := r.routers[service]
	if !ok {
		if r.routers == nil {
			r.routers = make(map[string]*endpoint.Router)
			r.waiters = make(map[*endpoint.SlotRequest]chan endpoint.Decision)
		}
		p = &endpoint.Router{}
		r.routers[service] = p
	}
	return p
}

// allServicesUsable reports whether every service has an endpoint that takes requests.
func (r *routes) allServicesUsable(now time.Time, d *bundle.Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range d.Services {
		if !r.router(d.Services[i].Name).Table().HasUsable(now) {
			return false
		}
	}
	return true
}

// chooseEndpoint returns the endpoint for a request, after a wait if all are busy; skip names an
// endpoint to avoid, or is empty. The error is ErrShed if the request may not start; the decision
// then holds the reason. The caller must pass a returned target to finishAttempt.
func (r *routes) chooseEndpoint(ctx context.Context, q *request, deadline time.Time, skip string) (target, endpoint.Decision, error) {
	now := time.Now()
	r.mu.Lock()
	p := r.router(q.service.Name)
	ticket := p.NewSlotRequest(now, q.class.Name, q.team, q.class.Priority, deadline, q.class.ExpectedServiceTime.Std())
	d := p.Offer(now, r.random, ticket, skip)
	if d.Victim != nil {
		r.resolveWaiter(d.Victim, endpoint.Decision{Verdict: endpoint.Shed, Reason: "a request with higher precedence took its place in the queue", RetryAfter: time.Second})
	}
	var decided chan endpoint.Decision
	if d.Verdict == endpoint.Wait {
		decided = make(chan endpoint.Decision, 1)
		r.waiters[ticket] = decided
	}
	t := newTarget(ticket, d)
	r.mu.Unlock()
	if d.Verdict == endpoint.Wait {
		d = r.waitForDecision(ctx, p, ticket, decided)
		r.mu.Lock()
		t = newTarget(ticket, d)
		r.mu.Unlock()
		t.waited = true
	}
	if d.Verdict == endpoint.Start {
		return t, d, nil
	}
	return target{}, d, errors.Wrap(ErrShed, d.Reason)
}

// newTarget copies the attributes of a chosen endpoint; mu is held.
func newTarget(ticket *endpoint.SlotRequest, d endpoint.Decision) target {
	e := d.Endpoint
	if e == nil {
		return target{}
	}
	return target{
		endpoint: e, ticket: ticket, name: e.Name(), address: e.Address(), incarnation: e.Incarnation(),
		mark: e.Mark(), inFlight: e.InFlight(), reason: d.Reason,
	}
}

// waitForDecision blocks until a queued request may start or is refused; decided receives the
// decision. It refuses the request at the latest time at which the request could start.
func (r *routes) waitForDecision(ctx context.Context, p *endpoint.Router, ticket *endpoint.SlotRequest, decided chan endpoint.Decision) endpoint.Decision {
	timer := time.NewTimer(time.Until(ticket.LatestStart()))
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Cancel(ticket) {
		delete(r.waiters, ticket)
		return endpoint.Decision{Verdict: endpoint.Shed, Reason: "the deadline is too near", RetryAfter: time.Second}
	}
	return <-decided
}

// resolveWaiter passes the decision to a waiting request; mu is held.
func (r *routes) resolveWaiter(t *endpoint.SlotRequest, d endpoint.Decision) {
	decided, ok := r.waiters[t]
	if !ok {
		return
	}
	delete(r.waiters, t)
	decided <- d
}

// startWaiting starts waiting requests on endpoints that have room; mu is held.
func (r *routes) startWaiting(now time.Time, p *endpoint.Router) {
	for p.WaitingCount() > 0 {
		t, d := p.Next(now, r.random)
		if t == nil {
			return
		}
		r.resolveWaiter(t, d)
	}
}

// attemptResult is what an attempt revealed about its endpoint.
type attemptResult struct {
	// load is the endpoint's load according to the response, if hasLoad is true.
	load        endpoint.Load
	hasLoad     bool
	serviceTime time.Duration
	// succeeded and failed say whether the attempt counts for or against the endpoint's health.
	// Both are false for a refusal that is no fault of the endpoint.
	succeeded bool
	failed    bool
	// refusal is the link.Refusal code if the agent refused the attempt, else empty.
	refusal string
}

// finishAttempt records the result of an attempt and starts waiting requests. It reports
// whether the endpoint was ejected.
func (r *routes) finishAttempt(now time.Time, service string, t target, res attemptResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.router(service)
	table := p.Table()
	current := t.endpoint.Incarnation() == t.incarnation
	if current && res.hasLoad {
		table.UpdateLoad(t.endpoint, res.load)
	}
	p.Done(t.endpoint, t.ticket)
	ejected := false
	switch {
	case !current:
	case res.refusal == link.RefusalDraining:
		table.SetDraining(t.endpoint)
	case res.refusal == link.RefusalFull:
		table.RecordRefusal(t.endpoint)
	case res.failed:
		ejected = table.RecordFailure(now, r.random, t.endpoint)
	case res.succeeded:
		table.RecordSuccess(now, t.endpoint)
		table.RecordAcceptance(t.endpoint)
		if res.serviceTime > 0 {
			p.RecordServiceTime(now, t.endpoint, t.ticket.Class(), res.serviceTime)
		}
	}
	r.startWaiting(now, p)
	return ejected
}

// recordFirstAttempt records a first attempt in the service's retry budget.
func (r *routes) recordFirstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router(service).RetryBudget().RecordFirstAttempt()
}

// takeRetry takes one retry from the service's retry budget and returns the delay before that
// retry, and whether the budget allows it. attempt is the number of the attempt that failed,
// which is also the number of the retry.
func (r *routes) takeRetry(now time.Time, service string, attempt int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.router(service).RetryBudget().Take(now) {
		return 0, false
	}
	return endpoint.RetryDelay(r.random, attempt), true
}

// applyHeartbeat updates the endpoint table of a service from a heartbeat.
func (r *routes) applyHeartbeat(now time.Time, dataCentre string, h *link.Heartbeat) {
	if h.Service == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.router(h.Service)
	p.Table().Observe(now, endpoint.Report{
		Name: h.Worker, DataCentre: dataCentre, Service: h.Service, Address: h.Address,
		Incarnation: h.Incarnation, Mark: h.Mark, Slots: h.Slots, Draining: h.Draining,
		Load: endpoint.Load{InFlight: h.InFlight, LongInFlight: h.InFlightLong, ReservedSlots: h.Reserved},
	})
	p.Table().Prune(now)
	r.startWaiting(now, p)
}
