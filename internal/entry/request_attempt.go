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
	// errStalled means that no response arrived on a connection although the attempt no longer
	// ran at the agent, or that the agent did not answer queries.
	errStalled = errors.New("the connection to the agent is stalled")
	// errSlow means that an attempt of a repeatable request takes so much longer than
	// expected that another endpoint is tried.
	errSlow = errors.New("the attempt takes much longer than expected")
	// errWrongAttempt means that a response belongs to another attempt.
	errWrongAttempt = errors.New("the response belongs to another attempt")
)

const (
	// firstAttemptQueryDelay is the time from the start of an exchange to the first query of the
	// agent for the attempt's state. Each further query follows after twice the interval of the
	// one before, at most after maxAttemptQueryInterval.
	firstAttemptQueryDelay  = 500 * time.Millisecond
	maxAttemptQueryInterval = 4 * time.Second
	// slowAttemptFactor is how many times its expected service time an attempt of a repeatable
	// request may take before it is abandoned. An attempt is abandoned only after a query, so
	// not before firstAttemptQueryDelay.
	slowAttemptFactor = 10
	// responseGrace is the time allowed for the arrival of a response that the agent has
	// already sent.
	responseGrace = 100 * time.Millisecond
	// attemptQueryTimeout bounds one query about an attempt.
	attemptQueryTimeout = 500 * time.Millisecond
	// maxAttemptQueries is how often the agent is queried for an attempt's state, if it does not
	// answer, after an exchange has failed. While an exchange runs, that many failed queries in
	// a row are tolerated.
	maxAttemptQueries = 2
)

// attemptOutcome is the outcome of one attempt: a response to forward to the caller or, if
// response is nil, a problem to send instead.
type attemptOutcome struct {
	response *agentResponse
	problem  problem.Problem
	// err is why the exchange failed, if it did.
	err error
	// result is what the attempt revealed about its endpoint.
	result attemptResult
}

// exchange is one HTTP exchange with the agent for an attempt. An attempt may need several
// exchanges.
type exchange struct {
	// connected says whether there was a connection to send the request on.
	connected atomic.Bool
	// responded says whether a valid response has arrived.
	responded atomic.Bool
	// mayAbandon says whether the attempt may be abandoned while it runs.
	mayAbandon bool
	// cancel ends the exchange with the given cause.
	cancel context.CancelCauseFunc
}

// makeAttempt makes one attempt. If a connection fails or stalls, makeAttempt queries the agent
// for the state of the attempt over a new connection and, if the attempt may still end with a
// response, resends the request under the same attempt number to get that response.
func (e *Entry) makeAttempt(ctx context.Context, r *http.Request, q *request, t target) attemptOutcome {
	transport := e.agentClient.RequestTransport()
	attempt := q.tracker.Attempt()
	for {
		a, connected, err := e.exchange(ctx, transport, r, q, t, attempt)
		if err == nil {
			return e.interpretResponse(q, a)
		}
		if errors.Is(err, errSlow) {
			q.tracker.Abandon()
			return e.interpretNoResponse(ctx, q.tracker.State(), err)
		}
		step := q.tracker.RecordNoResponse(connected)
		if step == endpoint.StepQuery {
			step = q.tracker.RecordQueryResult(e.queryAttempt(ctx, q, t, attempt), ctx.Err() != nil)
		}
		if step == endpoint.StepEnd {
			return e.interpretNoResponse(ctx, q.tracker.State(), err)
		}
		transport = e.agentClient.UnpooledTransport()
	}
}

// exchange sends the attempt to the agent and reads the response. The bool returned says whether
// there was a connection to send the attempt on.
func (e *Entry) exchange(ctx context.Context, transport http.RoundTripper, r *http.Request, q *request, t target, attempt uint32) (*agentResponse, bool, error) {
	x := &exchange{mayAbandon: q.tracker.MayAbandon()}
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	x.cancel = cancel
	watch := time.AfterFunc(firstAttemptQueryDelay, func() { e.watchExchange(exchangeCtx, x, q, t, attempt) })
	traced := httptrace.WithClientTrace(exchangeCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.connected.Store(true) }})
	out, err := newAttemptRequest(traced, r, q, t, attempt)
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	resp, err := transport.RoundTrip(out)
	if err == nil {
		var a *agentResponse
		if a, err = readResponse(resp, q.id, attempt, func() { cancel(nil) }); err == nil {
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

// watchExchange queries the agent for the state of an attempt whose exchange takes long. If the
// attempt no longer runs at the agent and no response arrives, or the agent does not answer the
// queries, watchExchange cancels the exchange, so that makeAttempt goes on over a new
// connection. It abandons an attempt that takes much longer than expected, but only while more
// time is left before the deadline than the attempt has taken, so that another endpoint has as
// much time. Work that takes long at every endpoint must come to its end: without that rule, a
// request would be abandoned at one endpoint after the other and end as unknown.
func (e *Entry) watchExchange(ctx context.Context, x *exchange, q *request, t target, attempt uint32) {
	wait := firstAttemptQueryDelay
	started := time.Now().Add(-firstAttemptQueryDelay)
	failures := 0
	for ctx.Err() == nil && !x.responded.Load() {
		state, err := e.queryAttemptOnce(ctx, q, t, attempt, false)
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
			e.agentClient.CloseIdleConnections()
			x.cancel(errStalled)
			return
		}
		if elapsed := time.Since(started); elapsed >= slowAttemptFactor*t.ticket.ServiceTime() && elapsed < timeLeft(ctx) && e.abandonAttempt(ctx, x, q, t, attempt) {
			return
		}
		wait = min(2*wait, maxAttemptQueryInterval)
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

// abandonAttempt gives up an attempt of a repeatable request, so that a further attempt is made
// at another endpoint, and asks the agent to cancel the abandoned one. It returns false and
// does nothing if the attempt must not be abandoned or its response has arrived.
func (e *Entry) abandonAttempt(ctx context.Context, x *exchange, q *request, t target, attempt uint32) bool {
	if !x.mayAbandon || x.responded.Load() {
		return false
	}
	e.countEvent("attempts-abandoned")
	e.log.Warn().Str("decision", "abandon-attempt").Str("request-id", q.id).Str("endpoint", t.name).
		Str("reason", "it takes much longer than expected").Msg("")
	x.cancel(errSlow)
	_, _ = e.queryAttemptOnce(context.WithoutCancel(ctx), q, t, attempt, true)
	return true
}

// newAttemptRequest returns the HTTP request that sends an attempt of the caller's request r to
// the agent of t.
func newAttemptRequest(ctx context.Context, r *http.Request, q *request, t target, attempt uint32) (*http.Request, error) {
	path := link.PathRequests + q.service.Name + strings.TrimPrefix(r.URL.Path, "/services/"+q.service.Name)
	out, err := http.NewRequestWithContext(ctx, r.Method, "https://"+t.address+path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	out.URL.RawQuery = r.URL.RawQuery
	h := out.Header
	link.CopyHeader(h, r.Header)
	h.Set(link.HeaderRequest, q.id)
	h.Set(link.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
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

func outcomeOf(state endpoint.AttemptState) problem.Outcome {
	switch state {
	case endpoint.AttemptNotRun:
		return problem.NotRun
	case endpoint.AttemptDone:
		return problem.Run
	}
	return problem.Unknown
}

// interpretNoResponse returns the outcome of an attempt that ended without a response; err is
// why the exchange failed.
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

// queryAttempt queries the agent over new connections for the state of an attempt, at most
// maxAttemptQueries times. If ctx has ended, no caller waits for the response: queryAttempt then
// queries once and asks the agent to cancel the attempt where that is safe.
func (e *Entry) queryAttempt(ctx context.Context, q *request, t target, attempt uint32) endpoint.AttemptState {
	abandoned := ctx.Err() != nil
	for range maxAttemptQueries {
		state, err := e.queryAttemptOnce(context.WithoutCancel(ctx), q, t, attempt, abandoned)
		if err == nil || abandoned {
			return state
		}
	}
	return endpoint.AttemptUnknown
}

// queryAttemptOnce queries the agent for the state of an attempt over a new connection. If
// cancelAttempt is set, it also asks the agent to cancel the attempt where that is safe.
func (e *Entry) queryAttemptOnce(ctx context.Context, q *request, t target, attempt uint32, cancelAttempt bool) (endpoint.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptQueryTimeout)
	defer cancel()
	in := &link.AttemptStateQuery{Request: q.id, Attempt: attempt, Incarnation: t.incarnation, Mark: t.mark, Cancel: cancelAttempt}
	var out link.AttemptStateReply
	if err := e.agentClient.CallUnpooled(ctx, t.address, link.PathAttemptState, in, &out); err != nil {
		return endpoint.AttemptUnknown, err
	}
	return endpoint.ParseAttemptState(out.State), nil
}
