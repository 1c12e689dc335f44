// Package endpoint decides which endpoint a request is sent to and when, and
// keeps the state of request attempts.
//
// An entry, the process that accepts requests from callers, chooses among the
// endpoints of a service and queues or refuses what they cannot take. An agent
// beside each endpoint admits requests to its slots and recognises repeated
// attempts.
//
// Requests belong to classes. The work of a class is long if its mean service
// time is several times that of the shortest class, and short otherwise.
package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by the choice of an endpoint.
var (
	// ErrNoEndpoint means that no endpoint takes requests.
	ErrNoEndpoint = errors.New("no endpoint takes requests")
	// ErrBusy means that all endpoints have as many requests as they may.
	ErrBusy = errors.New("all endpoints are busy")
)

// Load is the number of requests at an endpoint.
type Load struct {
	// InFlight is the number of requests that run or wait at the endpoint.
	InFlight int
	// LongInFlight is how many of these are long work.
	LongInFlight int
	// ReservedSlots is the number of slots that long work may not use.
	ReservedSlots int
}

// Report is an agent's report on its endpoint.
type Report struct {
	// Name identifies the endpoint across restarts of its agent.
	Name       string
	DataCentre string
	Service    string
	// Address is where the agent accepts requests.
	Address string
	// Incarnation increases with each start of the agent.
	Incarnation uint64
	// Mark increases with each report of an incarnation. An attempt carries the
	// newest mark that its sender has received, so that the agent can tell whether
	// it may have forgotten the attempt.
	Mark uint64
	// Slots is the number of requests that the endpoint processes at once.
	Slots    int
	Load     Load
	Draining bool
}

// Durations used by the table.
const (
	// StaleAfter is how long after its last report an endpoint still gets requests.
	StaleAfter = 5 * time.Second
	// slowStartDuration is how long a restarted endpoint takes to reach its full
	// share.
	slowStartDuration = 3 * time.Second
	// initialWarmPeriod is how long new endpoints of a new table are used without
	// a slow start.
	initialWarmPeriod = 2 * time.Second
)

// Endpoint is what a table knows of one endpoint.
type Endpoint struct {
	report       Report
	lastReportAt time.Time
	// ownInFlight is the number of this process's own requests in flight at the
	// endpoint; ownLong counts those that are long work.
	ownInFlight, ownLong int
	// otherInFlight is the number of other processes' requests in flight at the
	// endpoint as of the newest report or response; otherLong counts those that are
	// long work.
	otherInFlight, otherLong int
	// inFlightLimit is lowered by refusals; 0 means that only the slots limit the
	// requests in flight.
	inFlightLimit float64
	// slowness is the endpoint's service time as a multiple of the mean for the
	// same class of requests over all endpoints, as of slownessUpdatedAt; 0 means 1.
	slowness          float64
	slownessUpdatedAt time.Time
	// slowStartBegan is when the slow start of a cold endpoint began.
	slowStartBegan time.Time
	// cold is set while the endpoint is in its slow start.
	cold   bool
	health health
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.report.Name }

// Address returns where the agent accepts requests.
func (e *Endpoint) Address() string { return e.report.Address }

// DataCentre returns the endpoint's data centre.
func (e *Endpoint) DataCentre() string { return e.report.DataCentre }

// Incarnation returns the agent's incarnation.
func (e *Endpoint) Incarnation() uint64 { return e.report.Incarnation }

// Mark returns the mark of the newest report; see Report.Mark.
func (e *Endpoint) Mark() uint64 { return e.report.Mark }

// InFlight returns the estimated number of requests in flight at the endpoint.
func (e *Endpoint) InFlight() int { return e.ownInFlight + e.otherInFlight }

// Slots returns the number of requests that the endpoint processes at once.
func (e *Endpoint) Slots() int { return e.report.Slots }

// Draining reports whether the endpoint takes no new requests.
func (e *Endpoint) Draining() bool { return e.report.Draining }

// Table holds the endpoints of one service. The zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	byName    map[string]*Endpoint
	list      []*Endpoint
	createdAt time.Time
}

// Observe records a report received at now. Reports of older incarnations, and
// reports overtaken by newer ones, are dropped.
func (t *Table) Observe(now time.Time, r Report) {
	if t.byName == nil {
		t.byName = make(map[string]*Endpoint)
		t.createdAt = now
	}
	e, ok := t.byName[r.Name]
	if !ok {
		e = &Endpoint{}
		t.byName[r.Name] = e
		t.list = append(t.list, e)
	}
	old := &e.report
	if ok && (r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Mark < old.Mark) {
		return
	}
	if !ok || r.Incarnation > old.Incarnation {
		e.resetStats(now, now.Sub(t.createdAt) > initialWarmPeriod)
	}
	draining := r.Draining || ok && r.Incarnation == old.Incarnation && old.Draining
	e.report = r
	e.report.Draining = draining
	e.lastReportAt = now
	e.updateLoad(r.Load)
}

// resetStats drops what was learned of an earlier incarnation.
func (e *Endpoint) resetStats(now time.Time, cold bool) {
	e.inFlightLimit = 0
	e.slowness = 0
	e.health = health{}
	e.slowStartBegan = now
	e.cold = cold
}

// UpdateLoad records the load of the endpoint that a response carried. The load does
// not include the request that was answered; the caller must not have called Done for
// it yet.
func (t *Table) UpdateLoad(e *Endpoint, load Load) {
	e.ownInFlight--
	e.updateLoad(load)
	e.ownInFlight++
}

// updateLoad computes how many requests of other processes are in flight.
func (e *Endpoint) updateLoad(load Load) {
	e.otherInFlight = max(0, load.InFlight-e.ownInFlight)
	e.otherLong = max(0, load.LongInFlight-e.ownLong)
	e.report.Load = load
}

// SetDraining records that the endpoint refused a request because it takes no new
// ones.
func (t *Table) SetDraining(e *Endpoint) { e.report.Draining = true }

// Each calls fn for every endpoint.
func (t *Table) Each(fn func(*Endpoint)) {
	for _, e := range t.list {
		fn(e)
	}
}

// Len returns the number of endpoints.
func (t *Table) Len() int { return len(t.list) }

// Prune removes endpoints without a report for a long time that have none of
// this process's requests.
func (t *Table) Prune(now time.Time) {
	kept := t.list[:0]
	for _, e := range t.list {
		if now.Sub(e.lastReportAt) > pruneAfter && e.ownInFlight == 0 {
			delete(t.byName, e.report.Name)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.list[len(kept):])
	t.list = kept
}

// pruneAfter is how long after its last report an endpoint stays in the table.
const pruneAfter = 10 * time.Minute

// Choose returns the endpoint to which the request should be sent and the reason for
// the choice. skip names an endpoint to avoid, or is "". The request then counts as in
// flight at the endpoint until the caller calls t.Done.
func (t *Table) Choose(now time.Time, random *rand.Rand, request *SlotRequest, skip string) (*Endpoint, string, error) {
	e, reason, err := t.pick(now, random, request, skip)
	if err != nil {
		return nil, reason, err
	}
	e.ownInFlight++
	if request.long {
		e.ownLong++
	}
	return e, reason, nil
}

// Done records that the request, for which Choose returned e, has ended.
func (t *Table) Done(e *Endpoint, request *SlotRequest) {
	e.ownInFlight--
	if request.long {
		e.ownLong--
	}
}
