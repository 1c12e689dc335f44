package load

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/internal/standin"
)

// RequestObservation is what a caller observed of one request.
type RequestObservation struct {
	id string
	// stream is the index of the plan's stream of requests, variant that of the variant.
	stream  int
	variant int
	// neverRepeat says whether the request was marked as one that must not be repeated.
	neverRepeat bool
	// due is the time after the start of the run at which the request should have been sent.
	due time.Duration
	// latency is the time from the moment the request was due until its response was read.
	latency time.Duration
	// status is the HTTP status of the response, 0 without a response.
	status  int
	outcome problem.Outcome
	// detail is the reason of an error.
	detail string
	// bodyMatches says whether the response was complete and belonged to this
	// request: stand-in runners return the request's body.
	bodyMatches bool
}

// runRequest sends one request and records its observation.
func (r *Run) runRequest(ctx context.Context, id string, a Arrival) {
	s := &r.settings.Plan.Requests[a.stream]
	observed := RequestObservation{id: id, stream: a.stream, variant: a.variant, neverRepeat: s.NeverRepeat, due: a.due, outcome: problem.Unknown}
	r.sendRequest(ctx, s, a, &observed)
	observed.latency = time.Since(r.startedAt) - a.due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, observed)
}

// sendRequest sends one request and fills in what it observed of the response.
func (r *Run) sendRequest(ctx context.Context, s *RequestStream, a Arrival, observed *RequestObservation) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	baseURL := r.balancers[a.variant].Pick()
	if baseURL == "" {
		observed.outcome, observed.detail = problem.NotRun, "no entry was ready"
		return
	}
	body := requestBody(observed.id, s.BodyBytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/services/"+s.Service+"/"+s.Name, strings.NewReader(body))
	if err != nil {
		observed.detail = err.Error()
		return
	}
	r.setHeaders(req, s, observed.id, a.work)
	resp, err := r.client.Do(req)
	if err != nil {
		observed.detail = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	observed.status = resp.StatusCode
	observed.outcome = problem.Outcome(resp.Header.Get(problem.HeaderOutcome))
	if err != nil {
		observed.outcome, observed.detail = problem.Unknown, "the response was truncated"
		return
	}
	observed.bodyMatches = string(response) == body
	if resp.StatusCode != http.StatusOK {
		observed.detail = strings.TrimSpace(string(response))
	}
}

// setHeaders sets the headers of a request of stream s; work is how long the stand-in runner works
// on the request.
func (r *Run) setHeaders(req *http.Request, s *RequestStream, id string, work time.Duration) {
	req.Header.Set("Savoryhoist-Team", r.settings.Plan.Team)
	req.Header.Set(standin.HeaderRequest, id)
	req.Header.Set(standin.HeaderWork, work.String())
	if s.Class != "" {
		req.Header.Set(link.HeaderClass, s.Class)
	}
	if s.Deadline > 0 {
		req.Header.Set(link.HeaderDeadline, s.Deadline.String())
	}
	if s.NeverRepeat {
		req.Header.Set(link.HeaderRepeat, "never")
	}
}

// requestBody returns a body of at least minBytes bytes that begins with the
// request's unique ID.
func requestBody(id string, minBytes int) string {
	return id + strings.Repeat(".", max(0, minBytes-len(id)))
}
