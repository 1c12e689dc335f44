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

// Times of the load queries between data centres.
const (
	loadQueryInterval = time.Second
	loadQueryTimeout  = 800 * time.Millisecond
)

// remoteLoad holds the load of the services in other data centres. It serves to decide which
// requests to spill, that is, to send to another data centre.
type remoteLoad struct {
	// mu is taken after routes.mu.
	mu         sync.Mutex
	services   map[string]*endpoint.RemoteDataCentres
	roundTrips map[string]*roundTrip
}

// roundTrip estimates the shortest recent round-trip time to a data centre.
type roundTrip struct {
	shortest time.Duration
}

// roundTripGrowthDivisor sets how fast the estimate grows: by 1/16 of itself with each
// measurement, so that it follows when the route becomes longer.
const roundTripGrowthDivisor = 16

// observe updates the estimate with a measured round-trip time and returns the estimate.
func (r *roundTrip) observe(took time.Duration) time.Duration {
	r.shortest += r.shortest / roundTripGrowthDivisor
	if r.shortest == 0 || took < r.shortest {
		r.shortest = took
	}
	return r.shortest
}

// queryRemoteLoad regularly asks one entry of each other data centre for the load of its
// services, until ctx ends.
func (e *Entry) queryRemoteLoad(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for delay.For(ctx, loadQueryInterval) {
		d := e.document()
		if d == nil {
			continue
		}
		for _, name := range e.dataCentres(d) {
			if name != e.settings.DataCentre {
				group.Go(func() { e.queryLoadOf(ctx, name) })
			}
		}
	}
}

// queryLoadOf asks one entry of a data centre for the load of the services there.
func (e *Entry) queryLoadOf(ctx context.Context, dataCentre string) {
	address, ok := e.randomEntry(dataCentre)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	askedAt := time.Now()
	var reply link.DataCentreLoadReply
	if err := e.entryClient.Call(ctx, address, link.PathDataCentreLoad, &link.DataCentreLoadQuery{}, &reply); err != nil {
		e.log.Debug().Err(err).Str("data-centre", dataCentre).Msg("load query failed")
		return
	}
	e.remoteLoad.applyReply(time.Now(), dataCentre, time.Since(askedAt), &reply)
}

// randomEntry returns the peer address of a random entry of a data centre, or false if none is
// known.
func (e *Entry) randomEntry(dataCentre string) (string, bool) {
	members := e.entriesOf(dataCentre, time.Now())
	if len(members) == 0 {
		return "", false
	}
	return members[rand.IntN(len(members))].Address, true
}

// applyReply records a data centre's reply to a load query; took is the query's round-trip time.
func (s *remoteLoad) applyReply(now time.Time, dataCentre string, took time.Duration, reply *link.DataCentreLoadReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*endpoint.RemoteDataCentres)
		s.roundTrips = make(map[string]*roundTrip)
	}
	if s.roundTrips[dataCentre] == nil {
		s.roundTrips[dataCentre] = new(roundTrip)
	}
	shortest := s.roundTrips[dataCentre].observe(took)
	for _, v := range reply.Services {
		if s.services[v.Service] == nil {
			s.services[v.Service] = new(endpoint.RemoteDataCentres)
		}
		s.services[v.Service].Observe(now, endpoint.DataCentreLoad{
			DataCentre: dataCentre, Slots: v.Slots, InFlight: v.InFlight, Entries: reply.RemoteEntryCount, RoundTrip: shortest,
		})
	}
}

// done records that a request to a service, which was sent to a data centre, has ended.
func (s *remoteLoad) done(service, dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[service].Done(dataCentre)
}

// handleLoadQuery returns the load of the services in this data centre to an entry of another
// one.
func (e *Entry) handleLoadQuery(_ context.Context, _ link.Peer, _ *link.DataCentreLoadQuery) (*link.DataCentreLoadReply, error) {
	now := time.Now()
	reply := &link.DataCentreLoadReply{RemoteEntryCount: e.countRemoteEntries(now)}
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	for name, r := range e.routes.routers {
		slots, inFlight := r.TotalLoad(now)
		reply.Services = append(reply.Services, link.ServiceLoad{Service: name, Slots: slots, InFlight: inFlight})
	}
	return reply, nil
}

// countRemoteEntries counts the entries of other data centres.
func (e *Entry) countRemoteEntries(now time.Time) int {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	n := 0
	for _, m := range e.knownMembers {
		if m.record.DataCentre != e.settings.DataCentre && !m.record.Leaving && now.Sub(m.lastReadAt) < forgetMemberAfter {
			n++
		}
	}
	return n
}

// chooseSpillTarget returns the other data centre that a request should be sent to, or "" if this
// data centre should serve it. Only requests that come from callers are sent to another data
// centre, and only repeatable ones: if the connection to the other data centre fails, this entry
// cannot find out whether the request ran there.
func (e *Entry) chooseSpillTarget(now time.Time, r *http.Request, q *request, deadline time.Time) string {
	if r.TLS != nil || !q.tracker.MayRepeat() {
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
	e.remoteLoad.mu.Lock()
	defer e.remoteLoad.mu.Unlock()
	n := e.remoteLoad.services[q.service.Name]
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

// spillRequest makes an attempt in another data centre and forwards the response to the caller.
// It returns false if the attempt was not run there or had no response; the request may then be
// tried in this data centre.
func (e *Entry) spillRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, dataCentre string) bool {
	defer e.remoteLoad.done(q.service.Name, dataCentre)
	address, ok := e.randomEntry(dataCentre)
	if !ok {
		return false
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "https://"+address+r.URL.Path, bytes.NewReader(q.body))
	if err != nil {
		return false
	}
	q.tracker.BeginAttempt()
	out.URL.RawQuery = r.URL.RawQuery
	link.CopyHeader(out.Header, r.Header)
	out.Header.Set(link.HeaderClass, q.class.Name)
	out.Header.Set(link.HeaderCallerTeam, q.team)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(link.HeaderDeadline, time.Until(deadline).String())
	}
	resp, err := e.entryClient.ControlTransport().RoundTrip(out)
	if err != nil {
		q.tracker.Abandon()
		e.log.Warn().Err(err).Str("request-id", q.id).Str("data-centre", dataCentre).Msg("spilling a request to another data centre failed")
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if outcome := resp.Header.Get(problem.HeaderOutcome); outcome != string(problem.Run) {
		q.tracker.RecordRefusal(endpoint.ParseAttemptState(outcome))
		return false
	}
	link.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must notice that the body is truncated
	}
	return true
}
