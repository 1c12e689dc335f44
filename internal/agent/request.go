package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

const (
	// dialTimeout bounds the time to open a connection to the runner beside the agent.
	dialTimeout = time.Second
	// maxRunnerConnections is the most connections to the runner.
	maxRunnerConnections = 64
	// maxReadAheadBytes is the largest request body that is read before the attempt is admitted.
	maxReadAheadBytes = 64 << 10
	// defaultTimeout is the time to the deadline of attempts that carry none.
	defaultTimeout = time.Minute
)

func newRunnerTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxRunnerConnections,
		MaxIdleConnsPerHost: maxRunnerConnections,
		DisableCompression:  true,
	}
}

// attemptRequest holds the parsed headers of an attempt.
type attemptRequest struct {
	id endpoint.AttemptID
	// incarnation is that of the agent that the attempt is meant for, mark the newest mark that
	// the entry has received from that agent; see endpoint.DedupTable.
	incarnation uint64
	mark        uint64
	class       string
	team        string
	deadline    time.Time
	// repeatable says whether the request may be run more than once.
	repeatable bool
}

// parseAttempt parses the headers of an attempt that arrived at now.
func parseAttempt(now time.Time, h http.Header) (attemptRequest, error) {
	n, err := strconv.ParseUint(h.Get(link.HeaderAttempt), 10, 32)
	a := attemptRequest{
		id:    endpoint.AttemptID{Request: h.Get(link.HeaderRequest), Attempt: uint32(n)},
		class: h.Get(link.HeaderClass), team: h.Get(link.HeaderCallerTeam),
		deadline: now.Add(defaultTimeout), repeatable: h.Get(link.HeaderRepeat) == "",
	}
	if err != nil || a.id.Request == "" {
		return a, errors.New("a request id and an attempt number are required")
	}
	if a.incarnation, err = strconv.ParseUint(h.Get(link.HeaderIncarnation), 10, 64); err != nil {
		return a, errors.New("the agent's incarnation is required")
	}
	if a.mark, err = strconv.ParseUint(h.Get(link.HeaderMark), 10, 64); err != nil {
		return a, errors.New("the agent's mark is required")
	}
	if d, err := time.ParseDuration(h.Get(link.HeaderDeadline)); err == nil {
		a.deadline = now.Add(d)
	}
	return a, nil
}

// serveRequest runs one attempt of a caller's request on the runner, or returns the response of
// an attempt that has run or is running already.
func (a *Agent) serveRequest(w http.ResponseWriter, r *http.Request) {
	in, err := parseAttempt(time.Now(), r.Header)
	if err != nil {
		problem.New(http.StatusBadRequest, link.HeaderAttempt, err.Error()).Write(w)
		return
	}
	w.Header().Set(link.HeaderRequest, in.id.Request)
	w.Header().Set(link.HeaderAttempt, r.Header.Get(link.HeaderAttempt))
	if r.PathValue("service") != a.settings.Service {
		a.refuse(w, in.id, link.RefusalRunner, problem.NotRun, "the endpoint does not run the service")
		return
	}
	if err := readBody(r); err != nil {
		panic(http.ErrAbortHandler) // the body is truncated: no one waits for a response
	}
	att, admission, refusal := a.admit(time.Now(), in)
	switch admission {
	case endpoint.Admit:
		if refusal != "" {
			a.refuse(w, in.id, refusal, problem.NotRun, "the endpoint is draining or full")
			return
		}
		a.run(w, r, att)
	case endpoint.Attach:
		a.attach(w, r, att)
	case endpoint.Replay:
		a.replay(w, in.id)
	case endpoint.RefuseNotRun:
		a.refuse(w, in.id, link.RefusalAttemptState, problem.NotRun, "the attempt has ended without being run")
	case endpoint.RefuseRun:
		a.refuse(w, in.id, link.RefusalAttemptState, problem.Run, "the attempt was run and its response is not kept")
	case endpoint.RefuseUnknown:
		a.refuse(w, in.id, link.RefusalAttemptState, problem.Unknown, "the attempt may have been run before")
	}
}

// readBody reads a request body of up to maxReadAheadBytes at once, because the server notices
// that the entry has closed the connection only once the body has been read. A larger body, or one
// of unknown length, stays unread.
func readBody(r *http.Request) error {
	if r.ContentLength < 0 || r.ContentLength > maxReadAheadBytes {
		return nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return err
	}
	if _, err := r.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return errors.New("the body is longer than its Content-Length")
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// refuse answers an attempt with status 503 (Service Unavailable). code is one of the link.Refusal
// codes, by which the entry decides what to do, and outcome says whether the attempt was run;
// detail is for people.
func (a *Agent) refuse(w http.ResponseWriter, id endpoint.AttemptID, code string, outcome problem.Outcome, detail string) {
	p := problem.New(http.StatusServiceUnavailable, "", detail)
	p.Outcome = outcome
	a.mu.Lock()
	load := a.load()
	a.mu.Unlock()
	w.Header().Set(link.HeaderRefusal, code)
	w.Header().Set(link.HeaderLoad, link.FormatLoad(load))
	p.Write(w)
	a.log.Info().Str("decision", "refuse-request").Str("request-id", id.Request).Uint32("attempt", id.Attempt).
		Str("reason", code).Str("outcome", string(outcome)).Msg("")
}

// run waits for a slot and runs the attempt.
func (a *Agent) run(w http.ResponseWriter, r *http.Request, att *activeAttempt) {
	if refusal := a.awaitSlot(r.Context(), att); refusal != "" {
		a.refuse(w, att.id, refusal, problem.NotRun, "no slot became free in time")
		return
	}
	ctx, cancel := att.runContext(r.Context())
	defer cancel()
	stop := a.cancelWhenAbandoned(r.Context(), att, cancel)
	defer stop()
	began := time.Now()
	resp, err := a.forwardToRunner(ctx, r)
	if err != nil {
		a.refuseFailedRun(w, att, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.forwardResponse(w, att, resp, time.Since(began))
}

// forwardToRunner sends a caller's request to the runner and returns the runner's response.
func (a *Agent) forwardToRunner(ctx context.Context, r *http.Request) (*http.Response, error) {
	path := strings.TrimPrefix(r.URL.Path, link.PathRequests+r.PathValue("service"))
	out, err := http.NewRequestWithContext(ctx, r.Method, a.settings.RunnerURL+path, r.Body)
	if err != nil {
		return nil, err
	}
	out.URL.RawQuery = r.URL.RawQuery
	out.ContentLength = r.ContentLength
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	link.CopyHeader(out.Header, r.Header)
	link.DropInternalHeaders(out.Header)
	return a.runner.RoundTrip(out)
}

// forwardResponse sends the runner's response to the entry and keeps the response if it is small.
// A small response is read completely even if the entry closes the connection, so that it can be
// sent when the entry resends the attempt. took is the runner's service time.
func (a *Agent) forwardResponse(w http.ResponseWriter, att *activeAttempt, resp *http.Response, took time.Duration) {
	header := resp.Header.Clone()
	header.Set(link.HeaderServiceTime, strconv.FormatInt(took.Microseconds(), 10))
	a.writeHeader(w, att.id, resp.StatusCode, header)
	buffer := &responseBuffer{client: w}
	if err := buffer.copyBody(resp); err != nil {
		a.finishRun(att, endpoint.AttemptDone, nil)
		panic(http.ErrAbortHandler) // the entry must notice that the body is truncated
	}
	a.recordServiceTime(att, took)
	a.finishRun(att, endpoint.AttemptDone, buffer.response(resp.StatusCode, header))
	if buffer.writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeHeader sends the header of a response to an attempt that has run. The load that it carries
// no longer counts this attempt.
func (a *Agent) writeHeader(w http.ResponseWriter, id endpoint.AttemptID, status int, header http.Header) {
	a.mu.Lock()
	load := a.load()
	a.mu.Unlock()
	load.InFlight = max(0, load.InFlight-1)
	link.CopyHeader(w.Header(), header)
	w.Header().Set(link.HeaderRequest, id.Request)
	w.Header().Set(link.HeaderAttempt, strconv.FormatUint(uint64(id.Attempt), 10))
	w.Header().Set(link.HeaderOutcome, string(problem.Run))
	w.Header().Set(link.HeaderLoad, link.FormatLoad(load))
	w.WriteHeader(status)
}

// refuseFailedRun refuses an attempt that the runner did not answer. The attempt was certainly not
// run only if the connection to the runner could not be opened.
func (a *Agent) refuseFailedRun(w http.ResponseWriter, att *activeAttempt, err error) {
	var op *net.OpError
	state, outcome := endpoint.AttemptUnknown, problem.Unknown
	if errors.As(err, &op) && op.Op == "dial" {
		state, outcome = endpoint.AttemptNotRun, problem.NotRun
	}
	a.finishRun(att, state, nil)
	a.log.Warn().Err(err).Str("request-id", att.id.Request).Msg("the runner did not answer")
	a.refuse(w, att.id, link.RefusalRunner, outcome, "the runner did not answer")
}

// attach waits for the end of an attempt that is running already and responds with its response.
func (a *Agent) attach(w http.ResponseWriter, r *http.Request, att *activeAttempt) {
	a.log.Info().Str("decision", "attach-request").Str("request-id", att.id.Request).Msg("")
	att.waiters.Add(1)
	defer att.waiters.Add(-1)
	select {
	case <-att.done:
		a.replay(w, att.id)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// replay responds with the kept response of an attempt that has ended.
func (a *Agent) replay(w http.ResponseWriter, id endpoint.AttemptID) {
	a.mu.Lock()
	response := a.dedupTable.Response(id)
	state := a.dedupTable.QueryOrFence(time.Now(), id, 0)
	a.mu.Unlock()
	if response == nil {
		a.refuse(w, id, link.RefusalAttemptState, outcomeOf(state), "the response of the attempt is not kept")
		return
	}
	a.writeHeader(w, id, response.Status(), response.Header())
	if _, err := w.Write(response.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
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
