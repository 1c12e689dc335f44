// Package endpoint decides which endpoint gets a request, and remembers what
// became of requests that were sent.
package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNone means that no endpoint can take the request now.
var ErrNone = errors.New("no endpoint can take the request")

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
	Slots       int
	InFlight    int
	Leaving     bool
}

// Endpoint is a table's view of one endpoint.
type Endpoint struct {
	report Report
	heard  time.Time
	// sent counts this process's own requests in flight there.
	sent int
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.report.Name }

// Address returns where the agent takes requests.
func (e *Endpoint) Address() string { return e.report.Address }

// DataCentre returns where the endpoint is.
func (e *Endpoint) DataCentre() string { return e.report.DataCentre }

// Incarnation returns the agent's incarnation.
func (e *Endpoint) Incarnation() uint64 { return e.report.Incarnation }

// InFlight returns the number of requests believed to be in flight there.
func (e *Endpoint) InFlight() int { return max(e.sent, e.report.InFlight) }

// Slots returns the number of requests that the endpoint works on at once.
func (e *Endpoint) Slots() int { return e.report.Slots }

// Leaving reports whether the endpoint takes no new work.
func (e *Endpoint) Leaving() bool { return e.report.Leaving }

// Table holds the endpoints of one service. The zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	byName map[string]*Endpoint
	list   []*Endpoint
}

// StaleAfter is how long an endpoint without a report is still chosen.
const StaleAfter = 5 * time.Second

// Observe takes in a report received at now. Reports of older incarnations are dropped.
func (t *Table) Observe(now time.Time, r Report) {
	if t.byName == nil {
		t.byName = make(map[string]*Endpoint)
	}
	e, ok := t.byName[r.Name]
	if !ok {
		e = &Endpoint{}
		t.byName[r.Name] = e
		t.list = append(t.list, e)
	}
	if ok && r.Incarnation < e.report.Incarnation {
		return
	}
	e.report = r
	e.heard = now
}

// Each calls fn for every endpoint.
func (t *Table) Each(fn func(*Endpoint)) {
	for _, e := range t.list {
		fn(e)
	}
}

// Len returns the number of endpoints.
func (t *Table) Len() int { return len(t.list) }

// Choose returns the endpoint that the next request goes to; skip names an
// endpoint to avoid, or "". The caller must call Done on what it gets.
func (t *Table) Choose(now time.Time, random *rand.Rand, skip string) (*Endpoint, error) {
	var best *Endpoint
	offset := 0
	if len(t.list) > 0 {
		offset = random.IntN(len(t.list))
	}
	for i := range t.list {
		e := t.list[(i+offset)%len(t.list)]
		if e.report.Leaving || e.report.Name == skip || now.Sub(e.heard) > StaleAfter {
			continue
		}
		if best == nil || e.InFlight() < best.InFlight() {
			best = e
		}
	}
	if best == nil {
		return nil, ErrNone
	}
	best.sent++
	return best, nil
}

// Done notes that a request sent to e has ended.
func (t *Table) Done(e *Endpoint) { e.sent-- }
