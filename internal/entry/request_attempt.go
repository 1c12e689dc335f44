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
	// errSilent means that a connection made no progress although the agent
	// had more to say.
	errSilent = errors.New("the connection is silent")
	// errSlow means that an attempt of a repeatable request takes so much longer
	// than expected that another endpoint is tried.
	errSlow = errors.New("the attempt takes too long")
	// errCrossed means that an answer belongs to another attempt.
	errCrossed = errors.New("the answer belongs to another attempt")
)

const (
	// silenceAfter is how long an exchange may make no progress before the
	// agent is asked about it; it doubles up to silenceMost.
	silenceAfter = 500 * time.Millisecond
	silenceMost  = 4 * time.Second
	// patience is how many times its expected time an attempt of a repeatable
	// request is given, if that is longer than silenceAfter.
	patience = 10
	// settleTime is what an answer that is on its way is given to arrive.
	settleTime = 100 * time.Millisecond
	// fateTimeout bounds one question about an attempt.
	fateTimeout = 500 * time.Millisecond
	// fateTries is how often a question about an attempt is asked.
	fateTries = 2
)

// outcome is what became of one attempt: an answer to relay, or a problem.
type outcome struct {
	answer  *answer
	problem problem.Problem
	err     error
	result  result
}

// exchange is one way of an attempt to the agent and back.
type exchange struct {
	connected atomic.Bool
	answered  atomic.Bool
	// mayAbandon says whether the attempt may be given up while it runs.
	mayAbandon bool
	cancel     context.CancelCauseFunc
}

// try makes one attempt. If a connection fails or goes silent, it asks the
// agent over a new one what became of the attempt, and for its answer.
func (e *Entry) try(ctx context.Context, r *http.Request, q *request, t target) outcome {
	transport := e.agents.Requests()
	n := q.course.Attempt()
	for {
		a, connected, err := e.exchange(ctx, transport, r, q, t, n)
		if err == nil {
			return e.judge(q, a)
		}
		if errors.Is(err, errSlow) {
			q.course.Abandon()
			return e.unanswered(ctx, q.course.State(), err)
		}
		step := q.course.RecordNoResponse(connected)
		if step == endpoint.StepQuery {
			step = q.course.RecordQueryResult(e.askFate(ctx, q, t, n), ctx.Err() != nil)
		}
		if step == endpoint.StepEnd {
			return e.unanswered(ctx, q.course.State(), err)
		}
		transport = e.agents.Fresh()
	}
}

// exchange sends the attempt and reads its answer. It reports whether a
// connection was there to send it on.
func (e *Entry) exchange(ctx context.Context, transport http.RoundTripper, r *http.Request, q *request, t target, n uint32) (*answer, bool, error) {
	x := &exchange{mayAbandon: q.course.MayAbandon()}
	own, cancel := context.WithCancelCause(ctx)
	x.cancel = cancel
	watch := time.AfterFunc(silenceAfter, func() { e.watch(own, x, q, t, n) })
	traced := httptrace.WithClientTrace(own, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.connected.Store(true) }})
	out, err := buildAttempt(traced, r, q, t, n)
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	resp, err := transport.RoundTrip(out)
	if err == nil {
		var a *answer
		if a, err = readAnswer(resp, q.id, n, func() { cancel(nil) }); err == nil {
			watch.Stop()
			x.answered.Store(true)
			return a, true, nil
		}
	}
	watch.Stop()
	if cause := context.Cause(own); cause != nil && ctx.Err() == nil {
		err = cause
	}
	cancel(nil)
	return nil, x.connected.Load(), err
}

// watch asks the agent about an exchange that makes no progress. If the agent
// has an end to report and it does not arrive, the connection is given up.
func (e *Entry) watch(ctx context.Context, x *exchange, q *request, t target, n uint32) {
	wait := silenceAfter
	started := time.Now().Add(-silenceAfter)
	failures := 0
	for ctx.Err() == nil && !x.answered.Load() {
		fate, err := e.askOnce(ctx, q, t, n, false)
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		if err == nil && fate != endpoint.AttemptRunning || failures > fateTries {
			if !delay.For(ctx, settleTime) || x.answered.Load() {
				return
			}
			e.count("connections-replaced")
			e.log.Warn().Str("decision", "replace-connection").Str("request-id", q.id).Str("endpoint", t.name).
				Str("reason", "no progress").Str("fate", fate.String()).Msg("")
			e.agents.DropIdle()
			x.cancel(errSilent)
			return
		}
		if elapsed := time.Since(started); elapsed >= patience*t.ticket.ServiceTime() && elapsed < timeLeft(ctx) && e.abandon(ctx, x, q, t, n) {
			return
		}
		wait = min(2*wait, silenceMost)
		if !delay.For(ctx, wait) {
			return
		}
	}
}

// timeLeft returns the time to a request's deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline)
}

// abandon gives an attempt of a repeatable request up for one elsewhere, and
// tells the agent that nobody waits for it any more.
func (e *Entry) abandon(ctx context.Context, x *exchange, q *request, t target, n uint32) bool {
	if !x.mayAbandon || x.answered.Load() {
		return false
	}
	e.count("attempts-abandoned")
	e.log.Warn().Str("decision", "abandon-attempt").Str("request-id", q.id).Str("endpoint", t.name).
		Str("reason", "it takes much longer than expected").Msg("")
	x.cancel(errSlow)
	_, _ = e.askOnce(context.WithoutCancel(ctx), q, t, n, true)
	return true
}

func buildAttempt(ctx context.Context, r *http.Request, q *request, t target, n uint32) (*http.Request, error) {
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

// judge says what an answer of the agent means.
func (e *Entry) judge(q *request, a *answer) outcome {
	out := outcome{result: result{refusal: a.header.Get(link.HeaderRefusal)}}
	out.result.load, out.result.hasLoad = link.ParseLoad(a.header.Get(link.HeaderLoad))
	if out.result.refusal == "" && a.outcome == problem.Run {
		took, _ := strconv.ParseInt(a.header.Get(link.HeaderTook), 10, 64)
		out.result.took = time.Duration(took) * time.Microsecond
		out.result.answer = a.status < http.StatusInternalServerError
		out.result.failed = !out.result.answer
		out.answer = a
		return out
	}
	a.close()
	q.course.RecordRefusal(endpoint.ParseAttemptState(string(a.outcome)))
	out.result.failed = out.result.refusal == link.RefusalRunner
	out.problem = problem.New(http.StatusBadGateway, "", "the endpoint did not answer the request")
	if q.course.State() == endpoint.AttemptNotRun {
		out.problem = problem.New(http.StatusServiceUnavailable, "", "no endpoint could take the request")
		out.problem.RetryAfter = time.Second
	}
	out.problem.Outcome = outcomeOf(q.course.State())
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

// unanswered says what an attempt without an answer means.
func (e *Entry) unanswered(ctx context.Context, fate endpoint.AttemptState, err error) outcome {
	p := problem.New(http.StatusBadGateway, "", "the endpoint did not answer")
	if fate == endpoint.AttemptNotRun {
		p = problem.New(http.StatusServiceUnavailable, "", "the endpoint could not be reached")
		p.RetryAfter = time.Second
	}
	p.Outcome = outcomeOf(fate)
	if ctx.Err() != nil {
		p.Status = http.StatusGatewayTimeout
		p.Title = http.StatusText(p.Status)
		p.Detail = "the deadline has passed"
	}
	return outcome{problem: p, err: err, result: result{failed: !errors.Is(ctx.Err(), context.Canceled)}}
}

// askFate asks the agent over new connections what became of an attempt. If
// nobody waits for it any more, it is cancelled where that is safe.
func (e *Entry) askFate(ctx context.Context, q *request, t target, n uint32) endpoint.AttemptState {
	over := ctx.Err() != nil
	for range fateTries {
		fate, err := e.askOnce(context.WithoutCancel(ctx), q, t, n, over)
		if err == nil || over {
			return fate
		}
	}
	return endpoint.AttemptUnknown
}

func (e *Entry) askOnce(ctx context.Context, q *request, t target, n uint32, cancelIt bool) (endpoint.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, fateTimeout)
	defer cancel()
	in := &link.FateQuery{Request: q.id, Attempt: n, Incarnation: t.incarnation, Mark: t.mark, Cancel: cancelIt}
	var out link.FateReply
	if err := e.agents.CallFresh(ctx, t.address, link.PathFate, in, &out); err != nil {
		return endpoint.AttemptUnknown, err
	}
	return endpoint.ParseAttemptState(out.Fate), nil
}
