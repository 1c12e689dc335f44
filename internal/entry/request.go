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

// request is a caller's request with the attempts made for it.
type request struct {
	id      string
	team    string
	service *bundle.Service
	class   *bundle.RequestClass
	body    []byte
	tracker endpoint.AttemptTracker
}

// serveRequest serves a request to a service, from a caller or from an entry of another data
// centre: it makes attempts at endpoints until one has a response or none may follow.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer func() { e.requestTimer.UpdateSince(start) }()
	q, timeout, ok := e.acceptRequest(w, r)
	if !ok {
		return
	}
	deadline := start.Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if other := e.chooseSpillTarget(start, r, q, deadline); other != "" && e.spillRequest(ctx, w, r, q, other) {
		return
	}
	e.routes.recordFirstAttempt(q.service.Name)
	skip := ""
	for {
		attempt := q.tracker.BeginAttempt()
		t, d, err := e.routes.chooseEndpoint(ctx, q, deadline, skip)
		if err != nil {
			q.tracker.RecordRefusal(endpoint.AttemptNotRun)
			p := problem.New(http.StatusServiceUnavailable, "", d.Reason)
			p.RetryAfter = d.RetryAfter
			p.Outcome = outcomeOf(q.tracker.State())
			e.logRefused(q, attempt, d.Reason)
			p.Write(w)
			return
		}
		e.logRoute(q, t, attempt)
		out := e.makeAttempt(ctx, r, q, t)
		if out.response != nil {
			out.response.forward(w, func() { e.finishAttempt(q, t, out) })
			return
		}
		e.finishAttempt(q, t, out)
		if !e.awaitRetry(ctx, q, t, &out) {
			out.problem.Write(w)
			return
		}
		skip = t.name
	}
}

// awaitRetry decides whether another attempt may follow the failed one at t: that must be safe
// and the retry budget must allow it. If so, awaitRetry waits for the backoff and returns true,
// or false if ctx ends first.
func (e *Entry) awaitRetry(ctx context.Context, q *request, t target, out *attemptOutcome) bool {
	attempt := q.tracker.Attempt()
	safe := q.tracker.MayRetry(ctx.Err() != nil)
	var backoff time.Duration
	allowed := false
	if safe {
		backoff, allowed = e.routes.takeRetry(time.Now(), q.service.Name, int(attempt))
	}
	e.log.Info().Str("decision", "judge-attempt").Str("request-id", q.id).Uint32("attempt", attempt).Str("endpoint", t.name).
		Str("outcome", string(out.problem.Outcome)).Bool("again", allowed).Bool("safe", safe).Err(out.err).Msg("")
	if !allowed {
		return false
	}
	e.countEvent("requests-retried")
	return delay.For(ctx, backoff)
}

// finishAttempt records the result of an attempt for the choice of endpoints, and logs and
// counts an ejection of the endpoint.
func (e *Entry) finishAttempt(q *request, t target, out attemptOutcome) {
	if e.routes.finishAttempt(time.Now(), q.service.Name, t, out.result) {
		e.countEvent("endpoints-ejected")
		e.log.Warn().Str("decision", "eject-endpoint").Str("endpoint", t.name).Str("reason", "too many of its attempts failed").Msg("")
	}
}

func (e *Entry) logRoute(q *request, t target, attempt uint32) {
	e.log.Info().Str("decision", "route-request").Str("request-id", q.id).Uint32("attempt", attempt).Str("class", q.class.Name).
		Str("endpoint", t.name).Int("in-flight", t.inFlight).Bool("waited", t.waited).Str("reason", t.reason).Msg("")
}

// countEvent increments the counter of a rare event.
func (e *Entry) countEvent(name string) { gometrics.GetOrRegisterCounter(name, e.registry).Inc(1) }

func (e *Entry) logRefused(q *request, attempt uint32, reason string) {
	e.countEvent("requests-refused")
	e.log.Info().Str("decision", "refuse-request").Str("request-id", q.id).Uint32("attempt", attempt).
		Str("class", q.class.Name).Str("reason", reason).Msg("")
}

// acceptRequest checks a request, reads its body and returns the request with the time until
// its deadline. If the request is invalid, acceptRequest responds with an error and returns
// false.
func (e *Entry) acceptRequest(w http.ResponseWriter, r *http.Request) (*request, time.Duration, bool) {
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
		problem.New(http.StatusBadRequest, link.HeaderRepeat, `must be "never" or absent`).Write(w)
		return nil, 0, false
	}
	body, err := readBody(w, r, service.MaxBodyBytes)
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body", "the body is truncated or larger than the service's body-limit").Write(w)
		return nil, 0, false
	}
	q := &request{id: rand.Text(), team: team.Name, service: service, class: class, body: body, tracker: endpoint.NewAttemptTracker(repeat == "")}
	return q, deadline, true
}

// readBody reads a request's whole body; one of more than limitBytes is an error.
func readBody(w http.ResponseWriter, r *http.Request, limitBytes int64) ([]byte, error) {
	if r.ContentLength < 0 || r.ContentLength > limitBytes {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limitBytes))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// parseDeadline parses the value of link.HeaderDeadline, the time until the deadline. An empty
// text gives defaultDeadline.
func parseDeadline(text string, defaultDeadline time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultDeadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > math.MaxInt32*time.Millisecond {
		return 0, errors.New(`must be the time until the deadline, such as "250ms"`)
	}
	return d, nil
}
