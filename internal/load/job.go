package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/problem"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// JobSeen is what a team saw of one job.
type JobSeen struct {
	key     string
	id      string
	stream  int
	variant int
	tasks   int
	due     time.Duration
	// accepted reports whether the submission was answered with the job.
	accepted  bool
	cancelled bool
	// misses counts cancellations that were answered as for an unknown job.
	misses  int
	outcome problem.Outcome
	detail  string
	phase   string
	// ended is when the job's end was seen, after the moment it was due.
	ended time.Duration
}

// Times of watching jobs.
const (
	jobPoll = 250 * time.Millisecond
	// resubmits is how often a submission is repeated under its key.
	resubmits     = 3
	resubmitDelay = 500 * time.Millisecond
)

func (r *Run) submit(ctx context.Context, key string, a Arrival) {
	s := &r.settings.Plan.Jobs[a.stream]
	seen := JobSeen{key: key, stream: a.stream, variant: a.variant, tasks: s.Tasks, due: a.at, outcome: problem.Unknown}
	for range resubmits {
		r.submitOnce(ctx, s, a, &seen)
		if seen.accepted || !delay.For(ctx, resubmitDelay) {
			break
		}
	}
	if seen.accepted && a.canceled {
		seen.cancelled = r.cancel(ctx, &seen)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, seen)
}

func (r *Run) submitOnce(ctx context.Context, s *JobStream, a Arrival, seen *JobSeen) {
	body, err := json.Marshal(map[string]any{
		"class": s.Class, "tasks": s.Tasks, "size": s.Size, "expected-ms": s.Run.Milliseconds(),
		"payload": map[string]any{"run-ms": a.work.Milliseconds()},
	})
	if err != nil {
		r.fail(err)
		return
	}
	var v entry.JobView
	status, outcome, err := r.callEntry(ctx, a.variant, http.MethodPost, "/jobs", seen.key, string(body), &v)
	if err != nil {
		seen.detail = err.Error()
		return
	}
	seen.outcome = outcome
	if status >= http.StatusMultipleChoices || v.ID == "" {
		seen.detail = fmt.Sprintf("status %d", status)
		return
	}
	seen.id, seen.accepted = v.ID, true
}

// cancel asks for a job's end until it is accepted or was refused too often.
func (r *Run) cancel(ctx context.Context, seen *JobSeen) bool {
	for range resubmits {
		status, _, err := r.callEntry(ctx, seen.variant, http.MethodDelete, "/jobs/"+seen.id, "", "", nil)
		if err == nil && status == http.StatusAccepted {
			return true
		}
		if status == http.StatusNotFound {
			seen.misses++
		}
		if !delay.For(ctx, resubmitDelay) {
			break
		}
	}
	return false
}

// callEntry sends one call to a ready entry and reads a JSON answer into out.
func (r *Run) callEntry(ctx context.Context, variant int, method, path, key, body string, out any) (int, problem.Outcome, error) {
	base := r.balancers[variant].Pick()
	if base == "" {
		return 0, problem.NotRun, ErrNotReady
	}
	return r.callAt(ctx, base, method, path, key, body, out)
}

func (r *Run) callAt(ctx context.Context, base, method, path, key, body string, out any) (int, problem.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return 0, problem.NotRun, err
	}
	req.Header.Set(entry.HeaderTeam, r.settings.Plan.Team)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, problem.Unknown, err
	}
	defer func() { _ = resp.Body.Close() }()
	outcome := problem.Outcome(resp.Header.Get(problem.HeaderOutcome))
	if out != nil && resp.StatusCode < http.StatusMultipleChoices {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, outcome, err
}

// watchJobs notes when jobs end. It closes watched when everything was sent
// and all accepted jobs have ended, or the settle time is over.
func (r *Run) watchJobs(ctx context.Context, sent <-chan struct{}, watched chan<- struct{}) {
	defer close(watched)
	if len(r.settings.Plan.Jobs) == 0 {
		<-sent
		return
	}
	var over <-chan time.Time
	for {
		open := r.noteEnded(r.phases(ctx))
		select {
		case <-sent:
			if open == 0 && over != nil {
				return
			}
			if over == nil {
				over = time.After(r.settings.Plan.Settle)
			}
		default:
		}
		select {
		case <-over:
			return
		case <-time.After(jobPoll):
		case <-ctx.Done():
			return
		}
	}
}

// phases returns the phase of every job that an entry knows; an ended phase wins.
func (r *Run) phases(ctx context.Context) map[string]string {
	out := make(map[string]string)
	for _, v := range r.settings.Variants {
		for _, base := range v.Entries {
			var views []entry.JobView
			if _, _, err := r.callAt(ctx, base, http.MethodGet, "/jobs", "", "", &views); err != nil {
				continue
			}
			for _, view := range views {
				if !isEnded(out[view.ID]) {
					out[view.ID] = view.Phase
				}
			}
		}
	}
	return out
}

func isEnded(phase string) bool {
	return phase == "succeeded" || phase == "failed" || phase == "cancelled" || phase == "parked"
}

// noteEnded notes which jobs have ended and returns how many have not.
func (r *Run) noteEnded(phases map[string]string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := 0
	for i := range r.jobs {
		j := &r.jobs[i]
		if !j.accepted || isEnded(j.phase) {
			continue
		}
		if phase, ok := phases[j.id]; ok {
			j.phase = phase
		}
		if isEnded(j.phase) {
			j.ended = time.Since(r.start) - j.due
			continue
		}
		open++
	}
	return open
}
