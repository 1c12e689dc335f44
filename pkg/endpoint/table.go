// Package endpoint decides which endpoint gets a request and when, and
// remembers what became of requests that were sent.
package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned when an endpoint is chosen.
var (
	// ErrNone means that no endpoint takes requests.
	ErrNone = errors.New("no endpoint takes requests")
	// ErrBusy means that all endpoints have as much as they can work on.
	ErrBusy = errors.New("all endpoints are busy")
)

// Load is what an endpoint has to do.
type Load struct {
	// InFlight is the number of requests that run or wait there.
	InFlight int
	// Long is how many of them are long work.
	Long int
	// Reserved is the number of slots that long work may not use.
	Reserved int
}

// Report is what an agent says about its endpoint.
type Report struct {
	// Name identifies the endpoint across restarts of its agent.
	Name       string
	DataCentre string
	Service    string
	// Address is where the agent takes requests.
	Address string
	// Incarnation grows with each start of the agent.
	Incarnation uint64
	// Mark grows with each report; see Book.
	Mark    uint64
	Slots   int
	Load    Load
	Leaving bool
}

// Times of the table.
const (
	// StaleAfter is how long an endpoint without a report is still chosen.
	StaleAfter = 5 * time.Second
	// slowStart is how long a restarted endpoint takes to its full share.
	slowStart = 3 * time.Second
	// settleTime is how long all endpoints of a new table count as started.
	settleTime = 2 * time.Second
)

// Endpoint is a table's view of one endpoint.
type Endpoint struct {
	report Report
	heard  time.Time
	// sent counts this process's own requests in flight there.
	sent, sentLong int
	// others counts other processes' requests, as of the newest word.
	others, othersLong int
	// limit adapts to refusals; 0 means the most.
	limit float64
	// slowness is how many times longer than elsewhere requests take; 0 means 1.
	slowness   float64
	slownessAt time.Time
	// started is when a cold endpoint began to be loaded.
	started time.Time
	cold    bool
	health  health
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.report.Name }

// Address returns where the agent takes requests.
func (e *Endpoint) Address() string { return e.report.Address }

// DataCentre returns where the endpoint is.
func (e *Endpoint) DataCentre() string { return e.report.DataCentre }

// Incarnation returns the agent's incarnation.
func (e *Endpoint) Incarnation() uint64 { return e.report.Incarnation }

// Mark returns the mark of the newest report.
func (e *Endpoint) Mark() uint64 { return e.report.Mark }

// InFlight returns the number of requests believed to be in flight there.
func (e *Endpoint) InFlight() int { return e.sent + e.others }

// Slots returns the number of requests that the endpoint works on at once.
func (e *Endpoint) Slots() int { return e.report.Slots }

// Leaving reports whether the endpoint takes no new work.
func (e *Endpoint) Leaving() bool { return e.report.Leaving }

// Table holds the endpoints of one service. The zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	byName map[string]*Endpoint
	list   []*Endpoint
	born   time.Time
}

// Observe takes in a report received at now. Reports of older incarnations
// and reports that were overtaken by newer ones are dropped.
func (t *Table) Observe(now time.Time, r Report) {
	if t.byName == nil {
		t.byName = make(map[string]*Endpoint)
		t.born = now
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
		e.restart(now, now.Sub(t.born) > settleTime)
	}
	leaving := r.Leaving || ok && r.Incarnation == old.Incarnation && old.Leaving
	e.report = r
	e.report.Leaving = leaving
	e.heard = now
	e.note(r.Load)
}

// restart forgets what was learned of an earlier incarnation.
func (e *Endpoint) restart(now time.Time, cold bool) {
	e.limit = 0
	e.slowness = 0
	e.health = health{}
	e.started = now
	e.cold = cold
}

// Note takes in the load that an answer carried, the answered request not
// counted. The request must still be counted as sent.
func (t *Table) Note(e *Endpoint, load Load) {
	e.sent--
	e.note(load)
	e.sent++
}

// note works out what the others have in flight.
func (e *Endpoint) note(load Load) {
	e.others = max(0, load.InFlight-e.sent)
	e.othersLong = max(0, load.Long-e.sentLong)
	e.report.Load = load
}

// SetLeaving notes that the endpoint has refused a request because it leaves.
func (t *Table) SetLeaving(e *Endpoint) { e.report.Leaving = true }

// Each calls fn for every endpoint.
func (t *Table) Each(fn func(*Endpoint)) {
	for _, e := range t.list {
		fn(e)
	}
}

// Len returns the number of endpoints.
func (t *Table) Len() int { return len(t.list) }

// Forget removes endpoints that were not heard of for a long time and have
// none of this process's requests.
func (t *Table) Forget(now time.Time) {
	kept := t.list[:0]
	for _, e := range t.list {
		if now.Sub(e.heard) > forgetAfter && e.sent == 0 {
			delete(t.byName, e.report.Name)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.list[len(kept):])
	t.list = kept
}

// forgetAfter is how long a silent endpoint stays in the table.
const forgetAfter = 10 * time.Minute

// Choose returns the endpoint for a ticket and the reason; skip names an
// endpoint to avoid, or "". The caller must call Done on what it gets.
func (t *Table) Choose(now time.Time, random *rand.Rand, ticket *Ticket, skip string) (*Endpoint, string, error) {
	e, reason, err := t.pick(now, random, ticket, skip)
	if err != nil {
		return nil, reason, err
	}
	e.sent++
	if ticket.long {
		e.sentLong++
	}
	return e, reason, nil
}

// Done notes that a request sent to e has ended.
func (t *Table) Done(e *Endpoint, ticket *Ticket) {
	e.sent--
	if ticket.long {
		e.sentLong--
	}
}
