package entry

import (
	"context"
	"crypto/rand"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/delay"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// request is one caller's request.
type request struct {
	id      string
	team    string
	service *bundle.Service
	class   *bundle.RequestClass
	body    []byte
	course  endpoint.AttemptTracker
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer func() { e.requestTimer.UpdateSince(start) }()
	q, useful, ok := e.accept(w, r)
	if !ok {
		return
	}
	deadline := start.Add(useful)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if other := e.spillTo(start, r, q, deadline); other != "" && e.spill(ctx, w, r, q, other) {
		return
	}
	e.routes.first(q.service.Name)
	skip := ""
	for {
		n := q.course.BeginAttempt()
		t, d, err := e.routes.await(ctx, q, deadline, skip)
		if err != nil {
			q.course.RecordRefusal(endpoint.AttemptNotRun)
			p := problem.New(http.StatusServiceUnavailable, "", d.Reason)
			p.RetryAfter = d.RetryAfter
			p.Outcome = outcomeOf(q.course.State())
			e.logShed(q, n, d.Reason)
			p.Write(w)
			return
		}
		e.logRoute(q, t, n)
		out := e.try(ctx, r, q, t)
		if out.answer != nil {
			out.answer.relay(w, func() { e.finish(q, t, out) })
			return
		}
		e.finish(q, t, out)
		if !e.again(ctx, q, t, &out) {
			out.problem.Write(w)
			return
		}
		skip = t.name
	}
}

// again reports whether another attempt is safe and allowed, and waits for its turn.
func (e *Entry) again(ctx context.Context, q *request, t target, out *outcome) bool {
	n := q.course.Attempt()
	safe := q.course.MayRetry(ctx.Err() != nil)
	var backoff time.Duration
	allowed := false
	if safe {
		backoff, allowed = e.routes.retry(time.Now(), q.service.Name, int(n))
	}
	e.log.Info().Str("decision", "judge-attempt").Str("request-id", q.id).Uint32("attempt", n).Str("endpoint", t.name).
		Str("outcome", string(out.problem.Outcome)).Bool("again", allowed).Bool("safe", safe).Err(out.err).Msg("")
	if !allowed {
		return false
	}
	e.count("requests-retried")
	return delay.For(ctx, backoff)
}

func (e *Entry) finish(q *request, t target, out outcome) {
	if e.routes.done(time.Now(), q.service.Name, t, out.result) {
		e.count("endpoints-ejected")
		e.log.Warn().Str("decision", "eject-endpoint").Str("endpoint", t.name).Str("reason", "it fails everything").Msg("")
	}
}

func (e *Entry) logRoute(q *request, t target, n uint32) {
	e.log.Info().Str("decision", "route-request").Str("request-id", q.id).Uint32("attempt", n).Str("class", q.class.Name).
		Str("endpoint", t.name).Int("in-flight", t.inFlight).Bool("waited", t.waited).Str("reason", t.reason).Msg("")
}

// count adds one to a counter of rare events.
func (e *Entry) count(name string) { gometrics.GetOrRegisterCounter(name, e.registry).Inc(1) }

func (e *Entry) logShed(q *request, n uint32, reason string) {
	e.count("requests-refused")
	e.log.Info().Str("decision", "refuse-request").Str("request-id", q.id).Uint32("attempt", n).
		Str("class", q.class.Name).Str("reason", reason).Msg("")
}

// accept checks a request and reads its body; it answers a bad one itself.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (*request, time.Duration, bool) {
	d := e.document()
	if d == nil {
		p := problem.New(http.StatusServiceUnavailable, "", "no bundle is in force yet")
		p.RetryAfter = time.Second
		p.Write(w)
		return nil, 0, false
	}
	team, ok := e.team(w, r, d)
	if !ok {
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
	body, err := readBody(w, r, service.MaxBodyBytes)
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body", "the body is cut off or over the service's limit").Write(w)
		return nil, 0, false
	}
	q := &request{id: rand.Text(), team: team.Name, service: service, class: class, body: body, course: endpoint.NewAttemptTracker(repeat == "")}
	return q, deadline, true
}

// readBody reads a request's whole body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 || r.ContentLength > limit {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
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
