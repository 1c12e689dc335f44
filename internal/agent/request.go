package agent

import (
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

// dialTimeout bounds a connection to the runner beside the agent.
const dialTimeout = time.Second

// maxRunnerConnections is the most connections to the runner.
const maxRunnerConnections = 64

func newRunnerClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     maxRunnerConnections,
			MaxIdleConnsPerHost: maxRunnerConnections,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// serveRequest runs one attempt of a caller's request on the runner.
func (a *Agent) serveRequest(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.Header.Get(link.HeaderAttempt), 10, 32)
	id := endpoint.AttemptID{Request: r.Header.Get(link.HeaderRequest), Attempt: uint32(attempt)}
	if err != nil || id.Request == "" {
		problem.New(http.StatusBadRequest, link.HeaderAttempt, "want a request id and an attempt number").Write(w)
		return
	}
	if reason := a.admit(time.Now(), id); reason != "" {
		p := problem.New(http.StatusServiceUnavailable, "", reason)
		p.Write(w)
		a.log.Info().Str("decision", "refuse-request").Str("request-id", id.Request).Str("reason", reason).Msg("")
		return
	}
	fate := endpoint.FateUnknown
	defer func() { a.ended(id, fate) }()
	resp, err := a.toRunner(r)
	if err != nil {
		fate = a.runnerFailed(w, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	fate = endpoint.FateDone
	link.CopyHeader(w.Header(), resp.Header)
	w.Header().Set(link.HeaderOutcome, string(problem.Run))
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the entry must see that the body is cut off
	}
}

// admit takes the attempt in, or returns why not.
func (a *Agent) admit(now time.Time, id endpoint.AttemptID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return "the endpoint is leaving"
	}
	if !a.book.Admit(now, id) {
		return "the attempt is a repetition or was fenced"
	}
	a.inFlight++
	return ""
}

func (a *Agent) ended(id endpoint.AttemptID, fate endpoint.Fate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.book.Done(id, fate)
}

func (a *Agent) toRunner(r *http.Request) (*http.Response, error) {
	path := strings.TrimPrefix(r.URL.Path, link.PathRequests+r.PathValue("service"))
	out, err := http.NewRequestWithContext(r.Context(), r.Method, a.settings.RunnerURL+path, r.Body)
	if err != nil {
		return nil, err
	}
	out.URL.RawQuery = r.URL.RawQuery
	out.ContentLength = r.ContentLength
	link.CopyHeader(out.Header, r.Header)
	return a.runner.Do(out)
}

func (a *Agent) runnerFailed(w http.ResponseWriter, err error) endpoint.Fate {
	p := problem.New(http.StatusBadGateway, "", "the runner did not answer")
	var op *net.OpError
	fate := endpoint.FateNotRun
	if !errors.As(err, &op) || op.Op != "dial" {
		p.Outcome = problem.Unknown
		fate = endpoint.FateUnknown
	}
	p.Write(w)
	a.log.Warn().Err(err).Str("outcome", string(p.Outcome)).Msg("runner failed")
	return fate
}
