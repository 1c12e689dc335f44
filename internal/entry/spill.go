package entry

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/endpoint"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of the exchange of sums between data centres.
const (
	sumEvery   = time.Second
	sumTimeout = 800 * time.Millisecond
)

// spills holds what is known of the services in other data centres.
type spills struct {
	// mu is taken after routes.mu.
	mu       sync.Mutex
	services map[string]*endpoint.RemoteDataCentres
	trips    map[string]*roundTrip
}

// roundTrip is the least recent time to a data centre and back.
type roundTrip struct {
	least time.Duration
}

// tripGrowth is the part by which the least round trip grows with each reading,
// as a divisor, so that a longer way is learned.
const tripGrowth = 16

func (r *roundTrip) note(took time.Duration) time.Duration {
	r.least += r.least / tripGrowth
	if r.least == 0 || took < r.least {
		r.least = took
	}
	return r.least
}

// exchangeSums asks one entry of each other data centre for its sums until ctx ends.
func (e *Entry) exchangeSums(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for delay.For(ctx, sumEvery) {
		d := e.document()
		if d == nil {
			continue
		}
		for _, name := range e.dataCentres(d) {
			if name != e.settings.DataCentre {
				group.Go(func() { e.askSums(ctx, name) })
			}
		}
	}
}

func (e *Entry) askSums(ctx context.Context, dataCentre string) {
	address, ok := e.someEntry(dataCentre)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sumTimeout)
	defer cancel()
	asked := time.Now()
	var reply link.SumsReply
	if err := e.entries.Call(ctx, address, link.PathSums, &link.SumsQuery{}, &reply); err != nil {
		e.log.Debug().Err(err).Str("data-centre", dataCentre).Msg("asking for sums failed")
		return
	}
	e.spills.observe(time.Now(), dataCentre, time.Since(asked), &reply)
}

// someEntry returns the peer address of an entry of a data centre.
func (e *Entry) someEntry(dataCentre string) (string, bool) {
	members := e.membersOf(dataCentre, time.Now())
	if len(members) == 0 {
		return "", false
	}
	return members[rand.IntN(len(members))].Address, true
}

func (s *spills) observe(now time.Time, dataCentre string, took time.Duration, reply *link.SumsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*endpoint.RemoteDataCentres)
		s.trips = make(map[string]*roundTrip)
	}
	if s.trips[dataCentre] == nil {
		s.trips[dataCentre] = new(roundTrip)
	}
	trip := s.trips[dataCentre].note(took)
	for _, v := range reply.Services {
		if s.services[v.Service] == nil {
			s.services[v.Service] = new(endpoint.RemoteDataCentres)
		}
		s.services[v.Service].Observe(now, endpoint.DataCentreLoad{
			DataCentre: dataCentre, Slots: v.Slots, InFlight: v.InFlight, Entries: reply.Askers, RoundTrip: trip,
		})
	}
}

func (s *spills) done(service, dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[service].Done(dataCentre)
}

// answerSums tells an entry of another data centre what the services here can take.
func (e *Entry) answerSums(_ context.Context, _ link.Peer, _ *link.SumsQuery) (*link.SumsReply, error) {
	now := time.Now()
	reply := &link.SumsReply{Askers: e.strangers(now)}
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	for name, r := range e.routes.routers {
		slots, inFlight := r.TotalLoad(now)
		reply.Services = append(reply.Services, link.ServiceSum{Service: name, Slots: slots, InFlight: inFlight})
	}
	return reply, nil
}

// strangers counts the entries of other data centres.
func (e *Entry) strangers(now time.Time) int {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	n := 0
	for _, m := range e.known {
		if m.record.DataCentre != e.settings.DataCentre && !m.record.Leaving && now.Sub(m.seen) < forgetMemberAfter {
			n++
		}
	}
	return n
}

// spillTo returns the data centre that a request should go to, or "". Only
// repeatable requests from callers leave: if the way is lost, nobody can say
// what became of one there.
func (e *Entry) spillTo(now time.Time, r *http.Request, q *request, deadline time.Time) string {
	if r.TLS != nil || !q.course.MayRepeat() {
		return ""
	}
	e.routes.mu.Lock()
	router := e.routes.router(q.service.Name)
	wait, ok := router.EstimateWait(now, q.class.Name, q.team, q.class.Priority, deadline, q.class.ExpectedServiceTime.Std())
	e.routes.mu.Unlock()
	if !ok {
		wait = deadline.Sub(now)
	}
	if wait <= 0 {
		return ""
	}
	e.spills.mu.Lock()
	defer e.spills.mu.Unlock()
	n := e.spills.services[q.service.Name]
	if n == nil {
		return ""
	}
	dataCentre, reason := n.Spill(now, rand.New(rand.NewPCG(rand.Uint64(), 0)), wait) //nolint:gosec // load balancing only
	if dataCentre != "" {
		e.log.Info().Str("decision", "spill-request").Str("request-id", q.id).Str("class", q.class.Name).
			Str("data-centre", dataCentre).Dur("wait", wait).Str("reason", reason).Msg("")
	}
	return dataCentre
}

// spill makes an attempt in another data centre and relays the answer. It
// returns false if the request was not answered and may be tried here.
func (e *Entry) spill(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, dataCentre string) bool {
	defer e.spills.done(q.service.Name, dataCentre)
	address, ok := e.someEntry(dataCentre)
	if !ok {
		return false
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "https://"+address+r.URL.Path, bytes.NewReader(q.body))
	if err != nil {
		return false
	}
	q.course.BeginAttempt()
	out.URL.RawQuery = r.URL.RawQuery
	link.CopyHeader(out.Header, r.Header)
	out.Header.Set(link.HeaderClass, q.class.Name)
	out.Header.Set(link.HeaderCallerTeam, q.team)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(link.HeaderDeadline, time.Until(deadline).String())
	}
	resp, err := e.entries.Control().RoundTrip(out)
	if err != nil {
		q.course.Abandon()
		e.log.Warn().Err(err).Str("request-id", q.id).Str("data-centre", dataCentre).Msg("spilling a request failed")
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if outcome := resp.Header.Get(problem.HeaderOutcome); outcome != string(problem.Run) {
		q.course.RecordRefusal(endpoint.ParseAttemptState(outcome))
		return false
	}
	link.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must see that the body is cut off
	}
	return true
}
