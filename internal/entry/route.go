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

// routes is the entry's state of interactive requests.
type routes struct {
	mu      sync.Mutex
	routers map[string]*endpoint.Router
	waiters map[*endpoint.Ticket]chan endpoint.Decision
	random  *mathrand.Rand
}

// target is a chosen endpoint, copied out of the table.
type target struct {
	endpoint    *endpoint.Endpoint
	ticket      *endpoint.Ticket
	name        string
	address     string
	incarnation uint64
	mark        uint64
	inFlight    int
	reason      string
	waited      bool
}

// router returns the router of a service; mu is held.
func (r *routes) router(service string) *endpoint.Router {
	p, ok := r.routers[service]
	if !ok {
		if r.routers == nil {
			r.routers = make(map[string]*endpoint.Router)
			r.waiters = make(map[*endpoint.Ticket]chan endpoint.Decision)
		}
		p = &endpoint.Router{}
		r.routers[service] = p
	}
	return p
}

// covers reports whether some endpoint takes requests for every service.
func (r *routes) covers(now time.Time, d *bundle.Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range d.Services {
		if !r.router(d.Services[i].Name).Table().HasUsable(now) {
			return false
		}
	}
	return true
}

// await returns the endpoint for a request, after a wait if all are busy. The
// caller must call done on it.
func (r *routes) await(ctx context.Context, q *request, deadline time.Time, skip string) (target, endpoint.Decision, error) {
	now := time.Now()
	r.mu.Lock()
	p := r.router(q.service.Name)
	ticket := p.NewTicket(now, q.class.Name, q.team, q.class.Priority, deadline, q.class.ExpectedServiceTime.Std())
	d := p.Offer(now, r.random, ticket, skip)
	if d.Victim != nil {
		r.wake(d.Victim, endpoint.Decision{Verdict: endpoint.Shed, Reason: "a more important request took its place", RetryAfter: time.Second})
	}
	var granted chan endpoint.Decision
	if d.Verdict == endpoint.Wait {
		granted = make(chan endpoint.Decision, 1)
		r.waiters[ticket] = granted
	}
	t := newTarget(ticket, d)
	r.mu.Unlock()
	if d.Verdict == endpoint.Wait {
		d = r.wait(ctx, p, ticket, granted)
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

// newTarget copies what is needed of a chosen endpoint; mu is held.
func newTarget(ticket *endpoint.Ticket, d endpoint.Decision) target {
	e := d.Endpoint
	if e == nil {
		return target{}
	}
	return target{
		endpoint: e, ticket: ticket, name: e.Name(), address: e.Address(), incarnation: e.Incarnation(),
		mark: e.Mark(), inFlight: e.InFlight(), reason: d.Reason,
	}
}

// wait blocks until the request is sent or refused.
func (r *routes) wait(ctx context.Context, p *endpoint.Router, ticket *endpoint.Ticket, granted chan endpoint.Decision) endpoint.Decision {
	timer := time.NewTimer(time.Until(ticket.LatestStart()))
	defer timer.Stop()
	select {
	case d := <-granted:
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
	return <-granted
}

// wake tells a waiting request what became of it; mu is held.
func (r *routes) wake(t *endpoint.Ticket, d endpoint.Decision) {
	granted, ok := r.waiters[t]
	if !ok {
		return
	}
	delete(r.waiters, t)
	granted <- d
}

// pump sends waiting requests where there is room; mu is held.
func (r *routes) pump(now time.Time, p *endpoint.Router) {
	for p.Waiting() > 0 {
		t, d := p.Next(now, r.random)
		if t == nil {
			return
		}
		r.wake(t, d)
	}
}

// result is what an attempt taught about its endpoint.
type result struct {
	load    endpoint.Load
	hasLoad bool
	took    time.Duration
	answer  bool
	failed  bool
	refusal string
}

// done takes in the end of an attempt and sends on what waits. It reports
// whether the endpoint was ejected.
func (r *routes) done(now time.Time, service string, t target, res result) bool {
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
	case res.refusal == link.RefusalLeaving:
		table.SetDraining(t.endpoint)
	case res.refusal == link.RefusalFull:
		table.RecordRefusal(t.endpoint)
	case res.failed:
		ejected = table.RecordFailure(now, r.random, t.endpoint)
	case res.answer:
		table.RecordSuccess(now, t.endpoint)
		table.RecordAcceptance(t.endpoint)
		if res.took > 0 {
			p.RecordServiceTime(now, t.endpoint, t.ticket.Class(), res.took)
		}
	}
	r.pump(now, p)
	return ejected
}

// first notes a first attempt in the budget of retries.
func (r *routes) first(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router(service).RetryBudget().RecordFirstAttempt()
}

// retry reports whether the budget allows a retry, and after what delay.
func (r *routes) retry(now time.Time, service string, retry int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.router(service).RetryBudget().Take(now) {
		return 0, false
	}
	return endpoint.RetryDelay(r.random, retry), true
}

// observe takes a heartbeat into the table of its service.
func (r *routes) observe(now time.Time, dataCentre string, h *link.Heartbeat) {
	if h.Service == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.router(h.Service)
	p.Table().Observe(now, endpoint.Report{
		Name: h.Worker, DataCentre: dataCentre, Service: h.Service, Address: h.Address,
		Incarnation: h.Incarnation, Mark: h.Mark, Slots: h.Slots, Draining: h.Leaving,
		Load: endpoint.Load{InFlight: h.InFlight, Long: h.InFlightLong, Reserved: h.Reserved},
	})
	p.Table().Prune(now)
	r.pump(now, p)
}
