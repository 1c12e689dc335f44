package entry

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/endpoint"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Errors of an exchange with an agent.
var (
	// errStalled means that a connection made no progress although the agent no longer
	// had the attempt running, or the agent did not answer queries.
	errStalled = errors.New("the connection to the agent is stalled")
	// errSlow means that an attempt of a repeatable request takes so much longer than
	// expected that another endpoint is tried.
	errSlow = errors.New("the attempt takes much longer than expected")
	// errWrongAttempt means that a response belongs to another attempt.
	errWrongAttempt = errors.New("the response belongs to another attempt")
)

const (
	// stallTimeout is how long an exchange may take before the agent is queried about the
	// attempt. The time to the next query doubles up to maxStallQueryInterval.
	stallTimeout          = 500 * time.Millisecond
	maxStallQueryInterval = 4 * time.Second
	// slowAttemptFactor is how many times its expected service time an attempt of a
	// repeatable request may take, if that is longer than stallTimeout.
	slowAttemptFactor = 10
	// responseGrace is the time for a response to arrive that the agent has sent already.
	responseGrace = 100 * time.Millisecond
	// attemptQueryTimeout bounds one query about an attempt.
	attemptQueryTimeout = 500 * time.Millisecond
	// maxAttemptQueries is how often a query about an attempt is tried.
	maxAttemptQueries = 2
)

// attemptOutcome is the outcome of one attempt: a response to forward, or a problem to report.
type attemptOutcome struct {
	response *agentResponse
	problem  problem.Problem
	err      error
	result   attemptResult
}

// exchange is one HTTP exchange with the agent for an attempt. An attempt may need several.
type exchange struct {
	connected atomic.Bool
	responded atomic.Bool
	// mayAbandon says whether the attempt may be abandoned while it runs.
	mayAbandon bool
	cancel     context.CancelCauseFunc
}

// makeAttempt makes one attempt. If a connection fails or stalls, it queries the agent over a
// new one for the state of the attempt, and resends the request to get the response.
func (e *Entry) makeAttempt(ctx context.Context, r *http.Request, q *request, t target) attemptOutcome {
	transport := e.agentClient.RequestTransport()
	n := q.tracker.Attempt()
	for {
		a, connected, err := e.exchange(ctx, transport, r, q, t, n)
		if err == nil {
			return e.interpretResponse(q, a)
		}
		if errors.Is(err, errSlow) {
			q.tracker.Abandon()
			return e.interpretNoResponse(ctx, q.tracker.State(), err)
		}
		step := q.tracker.RecordNoResponse(connected)
		if step == endpoint.StepQuery {
			step = q.tracker.RecordQueryResult(e.queryAttempt(ctx, q, t, n), ctx.Err() != nil)
		}
		if step == endpoint.StepEnd {
			return e.interpretNoResponse(ctx, q.tracker.State(), err)
		}
		transport = e.agentClient.UnpooledTransport()
	}
}

// exchange sends the attempt and reads the response. It reports whether it had a connection to
// send it on.
func (e *Entry) exchange(ctx context.Context, transport http.RoundTripper, r *http.Request, q *request, t target, n uint32) (*agentResponse, bool, error) {
	x := &exchange{mayAbandon: q.tracker.MayAbandon()}
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	x.cancel = cancel
	watch := time.AfterFunc(stallTimeout, func() { e.watchExchange(exchangeCtx, x, q, t, n) })
	traced := httptrace.WithClientTrace(exchangeCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.connected.Store(true) }})
	out, err := newAttemptRequest(traced, r, q, t, n)
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	resp, err := transport.RoundTrip(out)
	if err == nil {
		var a *agentResponse
		if a, err = readResponse(resp, q.id, n, func() { cancel(nil) }); err == nil {
			watch.Stop()
			x.responded.Store(true)
			return a, true, nil
		}
	}
	watch.Stop()
	if cause := context.Cause(exchangeCtx); cause != nil && ctx.Err() == nil {
		err = cause
	}
	cancel(nil)
	return nil, x.connected.Load(), err
}

// watchExchange queries the agent about an exchange that takes long. If the attempt no longer
// runs there and its response does not arrive, or the agent does not answer, it cancels the
// exchange, which replaces the connection. An attempt that runs for too long is abandoned.
func (e *Entry) watchExchange(ctx context.Context, x *exchange, q *request, t target, n uint32) {
	wait := stallTimeout
	started := time.Now().Add(-stallTimeout)
	failures := 0
	for ctx.Err() == nil && !x.responded.Load() {
		state, err := e.queryAttemptOnce(ctx, q, t, n, false)
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		if err == nil && state != endpoint.AttemptRunning || failures > maxAttemptQueries {
			if !delay.For(ctx, responseGrace) || x.responded.Load() {
				return
			}
			e.countEvent("connections-replaced")
			e.log.Warn().Str("decision", "replace-connection").Str("request-id", q.id).Str("endpoint", t.name).
				Str("reason", "it made no progress").Str("fate", state.String()).Msg("")
			e.agentClient.DropIdle()
			x.cancel(errStalled)
			return
		}
		if elapsed := time.Since(started); elapsed >= slowAttemptFactor*t.ticket.ServiceTime() && elapsed < timeLeft(ctx) && e.abandonAttempt(ctx, x, q, t, n) {
			return
		}
		wait = min(2*wait, maxStallQueryInterval)
		if !delay.For(ctx, wait) {
			return
		}
	}
}

// timeLeft returns the time until a request's deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline)
}

// abandonAttempt gives up an attempt of a repeatable request in favour of one on another
// endpoint, and asks the agent to cancel it. It reports whether it did so.
func (e *Entry) abandonAttempt(ctx context.Context, x *exchange, q *request, t target, n uint32) bool {
	if !x.mayAbandon || x.responded.Load() {
		return false
	}
	e.countEvent("attempts-abandoned")
	e.log.Warn().Str("decision", "abandon-attempt").Str("request-id", q.id).Str("endpoint", t.name).
		Str("reason", "it takes much longer than expected").Msg("")
	x.cancel(errSlow)
	_, _ = e.queryAttemptOnce(context.WithoutCancel(ctx), q, t, n, true)
	return true
}

func newAttemptRequest(ctx context.Context, r *http.Request, q *request, t target, n uint32) (*http.Request, error) {
	path := link.PathRequests + q.service.Name + strings.TrimPrefix(r.URL.Path, "/services/"+q.service.Name)
	out, err := http.NewRequestWithContext(ctx, r.Method, "https://"+t.address+path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	out.URL.RawQuery = r.URL.RawQuery
	h := out.Header
	link.CopyHeader(h, r.Header)
	h.Set(link.HeaderRequest, q.id)
	h.Set(link.HeaderAttempt, strconv.FormatUint(uint64(n), 10))
	h.Set(link.HeaderClass, q.class.Name)
	h.Set(link.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
	h.Set(link.HeaderMark, strconv.FormatUint(t.mark, 10))
	h.Set(link.HeaderCallerTeam, q.team)
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(link.HeaderDeadline, time.Until(deadline).String())
	}
	return out, nil
}

// interpretResponse returns the outcome of an attempt from the agent's response.
func (e *Entry) interpretResponse(q *request, a *agentResponse) attemptOutcome {
	out := attemptOutcome{result: attemptResult{refusal: a.header.Get(link.HeaderRefusal)}}
	out.result.load, out.result.hasLoad = link.ParseLoad(a.header.Get(link.HeaderLoad))
	if out.result.refusal == "" && a.outcome == problem.Run {
		took, _ := strconv.ParseInt(a.header.Get(link.HeaderServiceTime), 10, 64)
		out.result.serviceTime = time.Duration(took) * time.Microsecond
		out.result.succeeded = a.status < http.StatusInternalServerError
		out.result.failed = !out.result.succeeded
		out.response = a
		return out
	}
	a.releaseConnection()
	q.tracker.RecordRefusal(endpoint.ParseAttemptState(string(a.outcome)))
	out.result.failed = out.result.refusal == link.RefusalRunner
	out.problem = problem.New(http.StatusBadGateway, "", "the endpoint did not answer the request")
	if q.tracker.State() == endpoint.AttemptNotRun {
		out.problem = problem.New(http.StatusServiceUnavailable, "", "no endpoint could take the request")
		out.problem.RetryAfter = time.Second
	}
	out.problem.Outcome = outcomeOf(q.tracker.State())
	return out
}

func outcomeOf(f endpoint.AttemptState) problem.Outcome {
	switch f {
	case endpoint.AttemptNotRun:
		return problem.NotRun
	case endpoint.AttemptDone:
		return problem.Run
	}
	return problem.Unknown
}

// interpretNoResponse returns the outcome of an attempt without a response.
func (e *Entry) interpretNoResponse(ctx context.Context, state endpoint.AttemptState, err error) attemptOutcome {
	p := problem.New(http.StatusBadGateway, "", "the endpoint did not answer")
	if state == endpoint.AttemptNotRun {
		p = problem.New(http.StatusServiceUnavailable, "", "the endpoint could not be reached")
		p.RetryAfter = time.Second
	}
	p.Outcome = outcomeOf(state)
	if ctx.Err() != nil {
		p.Status = http.StatusGatewayTimeout
		p.Title = http.StatusText(p.Status)
		p.Detail = "the deadline has passed"
	}
	return attemptOutcome{problem: p, err: err, result: attemptResult{failed: !errors.Is(ctx.Err(), context.Canceled)}}
}

// queryAttempt queries the agent over new connections for the state of an attempt. If the
// caller no longer waits for it, it also asks the agent to cancel the attempt where that is
// safe.
func (e *Entry) queryAttempt(ctx context.Context, q *request, t target, n uint32) endpoint.AttemptState {
	abandoned := ctx.Err() != nil
	for range maxAttemptQueries {
		state, err := e.queryAttemptOnce(context.WithoutCancel(ctx), q, t, n, abandoned)
		if err == nil || abandoned {
			return state
		}
	}
	return endpoint.AttemptUnknown
}

func (e *Entry) queryAttemptOnce(ctx context.Context, q *request, t target, n uint32, cancelAttempt bool) (endpoint.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptQueryTimeout)
	defer cancel()
	in := &link.AttemptStateQuery{Request: q.id, Attempt: n, Incarnation: t.incarnation, Mark: t.mark, Cancel: cancelAttempt}
	var out link.AttemptStateReply
	if err := e.agentClient.CallUnpooled(ctx, t.address, link.PathAttemptState, in, &out); err != nil {
		return endpoint.AttemptUnknown, err
	}
	return endpoint.ParseAttemptState(out.State), nil
}
