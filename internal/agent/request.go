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
	// dialTimeout bounds a connection to the runner beside the agent.
	dialTimeout = time.Second
	// maxRunnerConnections is the most connections to the runner.
	maxRunnerConnections = 64
	// readAhead is the largest body, in bytes, that is read before the request
	// is admitted.
	readAhead = 64 << 10
	// standardDeadline is used for attempts that carry none.
	standardDeadline = time.Minute
)

func newRunnerTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxRunnerConnections,
		MaxIdleConnsPerHost: maxRunnerConnections,
		DisableCompression:  true,
	}
}

// attempt is one attempt as it arrived.
type attempt struct {
	id          endpoint.AttemptID
	incarnation uint64
	mark        uint64
	class       string
	team        string
	deadline    time.Time
	repeatable  bool
}

func parseAttempt(now time.Time, h http.Header) (attempt, error) {
	n, err := strconv.ParseUint(h.Get(link.HeaderAttempt), 10, 32)
	a := attempt{
		id:    endpoint.AttemptID{Request: h.Get(link.HeaderRequest), Attempt: uint32(n)},
		class: h.Get(link.HeaderClass), team: h.Get(link.HeaderCallerTeam),
		deadline: now.Add(standardDeadline), repeatable: h.Get(link.HeaderRepeat) == "",
	}
	if err != nil || a.id.Request == "" {
		return a, errors.New("want a request id and an attempt number")
	}
	if a.incarnation, err = strconv.ParseUint(h.Get(link.HeaderIncarnation), 10, 64); err != nil {
		return a, errors.New("want the agent's incarnation")
	}
	if a.mark, err = strconv.ParseUint(h.Get(link.HeaderMark), 10, 64); err != nil {
		return a, errors.New("want the agent's mark")
	}
	if d, err := time.ParseDuration(h.Get(link.HeaderDeadline)); err == nil {
		a.deadline = now.Add(d)
	}
	return a, nil
}

// serveRequest runs one attempt of a caller's request on the runner, or hands
// out the answer of an attempt that it knows.
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
		panic(http.ErrAbortHandler) // the body is cut off: nobody waits for an answer
	}
	f, admission, refusal := a.admit(time.Now(), in)
	switch admission {
	case endpoint.Admit:
		if refusal != "" {
			a.refuse(w, in.id, refusal, problem.NotRun, "the endpoint is leaving or full")
			return
		}
		a.fly(w, r, f)
	case endpoint.Attach:
		a.attach(w, r, f)
	case endpoint.Replay:
		a.replay(w, in.id)
	case endpoint.RefuseNotRun:
		a.refuse(w, in.id, link.RefusalFate, problem.NotRun, "the attempt has ended without being run")
	case endpoint.RefuseRun:
		a.refuse(w, in.id, link.RefusalFate, problem.Run, "the attempt was run and its answer is not kept")
	case endpoint.RefuseUnknown:
		a.refuse(w, in.id, link.RefusalFate, problem.Unknown, "the attempt may have been run before")
	}
}

// readBody reads a small body at once, so that the server notices an asker
// that goes away.
func readBody(r *http.Request) error {
	if r.ContentLength < 0 || r.ContentLength > readAhead {
		return nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return err
	}
	if _, err := r.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return errors.New("the body is longer than announced")
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

func (a *Agent) refuse(w http.ResponseWriter, id endpoint.AttemptID, refusal string, outcome problem.Outcome, detail string) {
	p := problem.New(http.StatusServiceUnavailable, "", detail)
	p.Outcome = outcome
	a.mu.Lock()
	load := a.load()
	a.mu.Unlock()
	w.Header().Set(link.HeaderRefusal, refusal)
	w.Header().Set(link.HeaderLoad, link.FormatLoad(load))
	p.Write(w)
	a.log.Info().Str("decision", "refuse-request").Str("request-id", id.Request).Uint32("attempt", id.Attempt).
		Str("reason", refusal).Str("outcome", string(outcome)).Msg("")
}

// fly waits for a slot and runs the attempt.
func (a *Agent) fly(w http.ResponseWriter, r *http.Request, f *flight) {
	if refusal := a.awaitSlot(r.Context(), f); refusal != "" {
		a.refuse(w, f.id, refusal, problem.NotRun, "no slot became free in time")
		return
	}
	ctx, cancel := f.runContext(r.Context())
	defer cancel()
	stop := a.watchAsker(r.Context(), f, cancel)
	defer stop()
	began := time.Now()
	resp, err := a.toRunner(ctx, r)
	if err != nil {
		a.runnerFailed(w, f, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.deliver(w, f, resp, time.Since(began))
}

func (a *Agent) toRunner(ctx context.Context, r *http.Request) (*http.Response, error) {
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
	link.DropInternal(out.Header)
	return a.runner.RoundTrip(out)
}

// deliver passes the runner's answer on and keeps it if it is small. If the
// asker goes away, a small answer is still read to its end for the next asker.
func (a *Agent) deliver(w http.ResponseWriter, f *flight, resp *http.Response, took time.Duration) {
	header := resp.Header.Clone()
	header.Set(link.HeaderTook, strconv.FormatInt(took.Microseconds(), 10))
	a.writeHeader(w, f.id, resp.StatusCode, header)
	spool := &spool{to: w}
	if err := spool.readFrom(resp); err != nil {
		a.ended(f, endpoint.AttemptDone, nil)
		panic(http.ErrAbortHandler) // the entry must see that the body is cut off
	}
	a.learnTime(f, took)
	a.ended(f, endpoint.AttemptDone, spool.answer(resp.StatusCode, header))
	if spool.failed != nil {
		panic(http.ErrAbortHandler)
	}
}

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

// runnerFailed tells what is known of an attempt that the runner did not answer.
func (a *Agent) runnerFailed(w http.ResponseWriter, f *flight, err error) {
	var op *net.OpError
	fate, outcome := endpoint.AttemptUnknown, problem.Unknown
	if errors.As(err, &op) && op.Op == "dial" {
		fate, outcome = endpoint.AttemptNotRun, problem.NotRun
	}
	a.ended(f, fate, nil)
	a.log.Warn().Err(err).Str("request-id", f.id.Request).Msg("the runner did not answer")
	a.refuse(w, f.id, link.RefusalRunner, outcome, "the runner did not answer")
}

// attach waits for the end of an attempt that runs and hands out its answer.
func (a *Agent) attach(w http.ResponseWriter, r *http.Request, f *flight) {
	a.log.Info().Str("decision", "attach-request").Str("request-id", f.id.Request).Msg("")
	f.askers.Add(1)
	defer f.askers.Add(-1)
	select {
	case <-f.end:
		a.replay(w, f.id)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// replay hands out the kept answer of an attempt that has ended.
func (a *Agent) replay(w http.ResponseWriter, id endpoint.AttemptID) {
	a.mu.Lock()
	answer := a.book.Response(id)
	fate := a.book.QueryOrFence(time.Now(), id, 0)
	a.mu.Unlock()
	if answer == nil {
		a.refuse(w, id, link.RefusalFate, outcomeOf(fate), "the answer of the attempt is not kept")
		return
	}
	a.writeHeader(w, id, answer.Status(), answer.Header())
	if _, err := w.Write(answer.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
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
