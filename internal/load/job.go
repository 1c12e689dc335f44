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

// JobObservation is what a team observed of one job.
type JobObservation struct {
	// key is the idempotency key of the submission.
	key string
	id  string
	// stream is the index of the plan's stream of jobs, variant that of the variant.
	stream  int
	variant int
	// tasks is the number of the job's tasks.
	tasks int
	// due is the time after the start of the run at which the job should have been submitted.
	due time.Duration
	// accepted says whether an entry responded to the submission with the job's ID.
	accepted bool
	// cancelled says whether an entry accepted the cancellation.
	cancelled bool
	// cancelMisses counts cancellations that were answered with 404, as for an unknown job.
	cancelMisses int
	outcome      problem.Outcome
	detail       string
	phase        string
	// latency is the time from the moment the job was due until its end was observed.
	latency time.Duration
}

// Times and limits of calls about jobs.
const (
	jobPollInterval = 250 * time.Millisecond
	// maxCallAttempts is how often a submission, under the same idempotency key,
	// or a cancellation is tried.
	maxCallAttempts = 3
	// callRetryDelay is the time between two of these tries.
	callRetryDelay = 500 * time.Millisecond
)

// runJob submits one job under an idempotency key, cancels the job if the schedule says
// so, and records the observation. watchJobs follows the job to its end.
func (r *Run) runJob(ctx context.Context, key string, a Arrival) {
	s := &r.settings.Plan.Jobs[a.stream]
	observed := JobObservation{key: key, stream: a.stream, variant: a.variant, tasks: s.Tasks, due: a.due, outcome: problem.Unknown}
	for range maxCallAttempts {
		r.submitOnce(ctx, s, a, &observed)
		if observed.accepted || !delay.For(ctx, callRetryDelay) {
			break
		}
	}
	if observed.accepted && a.cancel {
		observed.cancelled = r.cancel(ctx, &observed)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, observed)
}

// submitOnce tries once to submit a job and fills in what it observed.
func (r *Run) submitOnce(ctx context.Context, s *JobStream, a Arrival, observed *JobObservation) {
	body, err := json.Marshal(map[string]any{
		"class": s.Class, "tasks": s.Tasks, "size": s.Size, "expected-ms": s.TaskDuration.Milliseconds(),
		"payload": map[string]any{"run-ms": a.work.Milliseconds()},
	})
	if err != nil {
		r.addError(err)
		return
	}
	var v entry.JobView
	status, outcome, err := r.callReadyEntry(ctx, a.variant, http.MethodPost, "/jobs", observed.key, string(body), &v)
	if err != nil {
		observed.detail = err.Error()
		return
	}
	observed.outcome = outcome
	if status >= http.StatusMultipleChoices || v.ID == "" {
		observed.detail = fmt.Sprintf("status %d", status)
		return
	}
	observed.id, observed.accepted = v.ID, true
}

// cancel requests the cancellation of a job until an entry accepts it, at most
// maxCallAttempts times, and reports whether one did.
func (r *Run) cancel(ctx context.Context, observed *JobObservation) bool {
	for range maxCallAttempts {
		status, _, err := r.callReadyEntry(ctx, observed.variant, http.MethodDelete, "/jobs/"+observed.id, "", "", nil)
		if err == nil && status == http.StatusAccepted {
			return true
		}
		if status == http.StatusNotFound {
			observed.cancelMisses++
		}
		if !delay.For(ctx, callRetryDelay) {
			break
		}
	}
	return false
}

// callReadyEntry is callEntry for the next ready entry of the variant with this index.
func (r *Run) callReadyEntry(ctx context.Context, variant int, method, path, idempotencyKey, body string, out any) (int, problem.Outcome, error) {
	baseURL := r.balancers[variant].Pick()
	if baseURL == "" {
		return 0, problem.NotRun, ErrNotReady
	}
	return r.callEntry(ctx, baseURL, method, path, idempotencyKey, body, out)
}

// callEntry sends one call to the entry at baseURL and decodes the JSON of a
// successful response into out, unless out is nil. It returns the HTTP status and the
// outcome that the response names. The idempotency key is left out if it is empty.
func (r *Run) callEntry(ctx context.Context, baseURL, method, path, idempotencyKey, body string, out any) (int, problem.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, baseURL+path, strings.NewReader(body))
	if err != nil {
		return 0, problem.NotRun, err
	}
	req.Header.Set(entry.HeaderTeam, r.settings.Plan.Team)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
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

// watchJobs polls the entries and records when jobs end. sent is closed when all load
// was sent. watchJobs closes done when all accepted jobs have ended after that, or when
// the plan's settle time has passed since then.
func (r *Run) watchJobs(ctx context.Context, sent <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	if len(r.settings.Plan.Jobs) == 0 {
		<-sent
		return
	}
	var settled <-chan time.Time
	for {
		unfinished := r.updatePhases(r.jobPhases(ctx))
		select {
		case <-sent:
			if unfinished == 0 && settled != nil {
				return
			}
			if settled == nil {
				settled = time.After(r.settings.Plan.SettleTime)
			}
		default:
		}
		select {
		case <-settled:
			return
		case <-time.After(jobPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// jobPhases returns the phase of every job that an entry knows, by job ID. If
// entries disagree, a phase in which the job has ended takes precedence.
func (r *Run) jobPhases(ctx context.Context) map[string]string {
	out := make(map[string]string)
	for _, v := range r.settings.Variants {
		for _, baseURL := range v.EntryURLs {
			var views []entry.JobView
			if _, _, err := r.callEntry(ctx, baseURL, http.MethodGet, "/jobs", "", "", &views); err != nil {
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

// isEnded reports whether a job has ended, or was parked, in the phase with this name.
func isEnded(phase string) bool {
	return phase == "succeeded" || phase == "failed" || phase == "cancelled" || phase == "parked"
}

// updatePhases records the new phases of jobs and returns how many accepted jobs
// have not ended.
func (r *Run) updatePhases(phases map[string]string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	unfinished := 0
	for i := range r.jobs {
		j := &r.jobs[i]
		if !j.accepted || isEnded(j.phase) {
			continue
		}
		if phase, ok := phases[j.id]; ok {
			j.phase = phase
		}
		if isEnded(j.phase) {
			j.latency = time.Since(r.startedAt) - j.due
			continue
		}
		unfinished++
	}
	return unfinished
}
