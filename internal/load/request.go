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

// RequestSeen is what a caller saw of one request.
type RequestSeen struct {
	id      string
	stream  int
	variant int
	never   bool
	// due is when the request should have been sent, after the start.
	due time.Duration
	// latency counts from the moment the request was due.
	latency time.Duration
	status  int
	outcome problem.Outcome
	detail  string
	// whole reports whether the answer was the whole answer to this request.
	whole bool
}

func (r *Run) request(ctx context.Context, id string, a Arrival) {
	s := &r.settings.Plan.Requests[a.stream]
	seen := RequestSeen{id: id, stream: a.stream, variant: a.variant, never: s.Never, due: a.at, outcome: problem.Unknown}
	r.exchange(ctx, s, a, &seen)
	seen.latency = time.Since(r.start) - a.at
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, seen)
}

// exchange sends one request and fills in what came back.
func (r *Run) exchange(ctx context.Context, s *Stream, a Arrival, seen *RequestSeen) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	base := r.balancers[a.variant].Pick()
	if base == "" {
		seen.outcome, seen.detail = problem.NotRun, "no entry was ready"
		return
	}
	body := requestBody(seen.id, s.BodyBytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/services/"+s.Service+"/"+s.Name, strings.NewReader(body))
	if err != nil {
		seen.detail = err.Error()
		return
	}
	r.setHeader(req, s, seen.id, a.work)
	resp, err := r.client.Do(req)
	if err != nil {
		seen.detail = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	seen.status = resp.StatusCode
	seen.outcome = problem.Outcome(resp.Header.Get(problem.HeaderOutcome))
	if err != nil {
		seen.outcome, seen.detail = problem.Unknown, "the answer was cut off"
		return
	}
	seen.whole = string(answer) == body
	if resp.StatusCode != http.StatusOK {
		seen.detail = strings.TrimSpace(string(answer))
	}
}

func (r *Run) setHeader(req *http.Request, s *Stream, id string, work time.Duration) {
	req.Header.Set("Savoryhoist-Team", r.settings.Plan.Team)
	req.Header.Set(standin.HeaderRequest, id)
	req.Header.Set(standin.HeaderWork, work.String())
	if s.Class != "" {
		req.Header.Set(link.HeaderClass, s.Class)
	}
	if s.Deadline > 0 {
		req.Header.Set(link.HeaderDeadline, s.Deadline.String())
	}
	if s.Never {
		req.Header.Set(link.HeaderRepeat, "never")
	}
}

// requestBody returns a body that no other request has.
func requestBody(id string, size int) string {
	return id + strings.Repeat(".", max(0, size-len(id)))
}
