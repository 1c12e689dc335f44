package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// maxAttempts is how often one request is tried at most.
const maxAttempts = 3

// routes is the entry's state of interactive requests.
type routes struct {
	mu     sync.Mutex
	tables map[string]*endpoint.Table
	random *mathrand.Rand
}

// table returns the table of a service; mu is held.
func (r *routes) table(service string) *endpoint.Table {
	t, ok := r.tables[service]
	if !ok {
		if r.tables == nil {
			r.tables = make(map[string]*endpoint.Table)
		}
		t = &endpoint.Table{}
		r.tables[service] = t
	}
	return t
}

// covers reports whether an endpoint is known for every service.
func (r *routes) covers(d *bundle.Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range d.Services {
		if r.table(d.Services[i].Name).Len() == 0 {
			return false
		}
	}
	return true
}

func (r *routes) choose(now time.Time, service, skip string) (target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, err := r.table(service).Choose(now, r.random, skip)
	if err != nil {
		return target{}, err
	}
	return target{endpoint: e, name: e.Name(), address: e.Address(), incarnation: e.Incarnation(), inFlight: e.InFlight()}, nil
}

func (r *routes) done(service string, t target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table(service).Done(t.endpoint)
}

// target is a chosen endpoint, copied out of the table.
type target struct {
	endpoint    *endpoint.Endpoint
	name        string
	address     string
	incarnation uint64
	inFlight    int
}

// request is one caller's request.
type request struct {
	id      string
	service *bundle.Service
	class   *bundle.RequestClass
	body    []byte
	repeat  bool
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer func() { gometrics.GetOrRegisterTimer("requests", e.registry).UpdateSince(start) }()
	q, deadline, ok := e.accept(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	skip := ""
	last := problem.New(http.StatusServiceUnavailable, "", "no endpoint can take the request")
	last.RetryAfter = time.Second
	for attempt := uint32(1); attempt <= maxAttempts; attempt++ {
		t, err := e.routes.choose(time.Now(), q.service.Name, skip)
		if err != nil {
			break
		}
		e.log.Info().Str("decision", "route-request").Str("request-id", q.id).Uint32("attempt", attempt).
			Str("endpoint", t.name).Int("in-flight", t.inFlight).Str("reason", "least in flight").Msg("")
		resp, err := e.send(ctx, r, q, t, attempt)
		p, again := e.judgeAttempt(ctx, q, t, attempt, resp, err)
		if p == nil {
			relay(w, resp)
			e.routes.done(q.service.Name, t)
			return
		}
		e.routes.done(q.service.Name, t)
		last = *p
		if !again {
			break
		}
		skip = t.name
	}
	last.Write(w)
}

// accept checks a request and reads its body; it answers a bad one itself.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (*request, time.Duration, bool) {
	d := e.document()
	if d == nil {
		problem.New(http.StatusServiceUnavailable, "", "no bundle is in force yet").Write(w)
		return nil, 0, false
	}
	if _, ok := e.team(w, r, d); !ok {
		return nil, 0, false
	}
	service, ok := d.Service(r.PathValue("service"))
	if !ok {
		problem.New(http.StatusNotFound, "service", "the bundle in force has no such service").Write(w)
		return nil, 0, false
	}
	class, ok := service.Class(r.Header.Get(link.HeaderClass))
	if !ok {
		problem.New(http.StatusBadRequest, link.HeaderClass, "the service has no such class").Write(w)
		return nil, 0, false
	}
	deadline, err := parseDeadline(r.Header.Get(link.HeaderDeadline), class.Deadline.Std())
	if err != nil {
		problem.New(http.StatusBadRequest, link.HeaderDeadline, err.Error()).Write(w)
		return nil, 0, false
	}
	repeat := r.Header.Get(link.HeaderRepeat)
	if repeat != "" && repeat != "never" {
		problem.New(http.StatusBadRequest, link.HeaderRepeat, `want "never" or nothing`).Write(w)
		return nil, 0, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.BodyLimit))
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body", "the body is cut off or over the service's limit").Write(w)
		return nil, 0, false
	}
	return &request{id: rand.Text(), service: service, class: class, body: body, repeat: repeat == ""}, deadline, true
}

func parseDeadline(text string, standard time.Duration) (time.Duration, error) {
	if text == "" {
		return standard, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > math.MaxInt32*time.Millisecond {
		return 0, errors.New(`want how long the answer is of use, such as "250ms"`)
	}
	return d, nil
}

func (e *Entry) send(ctx context.Context, r *http.Request, q *request, t target, attempt uint32) (*http.Response, error) {
	path := link.PathRequests + q.service.Name + strings.TrimPrefix(r.URL.Path, "/services/"+q.service.Name)
	out, err := http.NewRequestWithContext(ctx, r.Method, "https://"+t.address+path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	out.URL.RawQuery = r.URL.RawQuery
	link.CopyHeader(out.Header, r.Header)
	out.Header.Set(link.HeaderRequest, q.id)
	out.Header.Set(link.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
	out.Header.Set(link.HeaderClass, q.class.Name)
	return e.agents.Requests().RoundTrip(out)
}

// judgeAttempt returns nil if resp is the caller's answer; else the problem to
// report and whether another attempt is safe.
func (e *Entry) judgeAttempt(ctx context.Context, q *request, t target, attempt uint32, resp *http.Response, err error) (*problem.Problem, bool) {
	outcome := problem.Unknown
	if err == nil {
		outcome = problem.Outcome(resp.Header.Get(link.HeaderOutcome))
		if outcome == problem.Run {
			return nil, false
		}
		_ = resp.Body.Close()
	} else if e.askFate(q, t, attempt) == endpoint.FateNotRun {
		outcome = problem.NotRun
	}
	p := problem.New(http.StatusBadGateway, "", "the endpoint did not answer")
	p.Outcome = outcome
	if ctx.Err() != nil {
		p.Status = http.StatusGatewayTimeout
		p.Title = http.StatusText(p.Status)
		p.Detail = "the deadline has passed"
	}
	if outcome == problem.NotRun {
		p.RetryAfter = time.Second
	}
	again := ctx.Err() == nil && (outcome == problem.NotRun || q.repeat)
	e.log.Info().Str("decision", "judge-attempt").Str("request-id", q.id).Str("endpoint", t.name).
		Str("outcome", string(outcome)).Bool("again", again).Err(err).Msg("")
	return &p, again
}

// fateTimeout bounds a question about an attempt.
const fateTimeout = 500 * time.Millisecond

// askFate asks the agent what became of an attempt.
func (e *Entry) askFate(q *request, t target, attempt uint32) endpoint.Fate {
	ctx, cancel := context.WithTimeout(context.Background(), fateTimeout)
	defer cancel()
	in := &link.FateQuery{Request: q.id, Attempt: attempt, Incarnation: t.incarnation}
	var out link.FateReply
	if err := e.agents.Call(ctx, t.address, link.PathFate, in, &out); err != nil {
		return endpoint.FateUnknown
	}
	if out.Fate == endpoint.FateNotRun.String() {
		return endpoint.FateNotRun
	}
	return endpoint.FateUnknown
}

// relay passes an answer on; a body that is cut off is cut off for the caller too.
func relay(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	link.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
