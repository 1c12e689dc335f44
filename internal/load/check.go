package load

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/internal/standin"
)

// Observations holds all observations of callers and the counts of the stand-ins in a run.
type Observations struct {
	plan     *Plan
	seed     uint64
	variants []string
	requests []RequestObservation
	jobs     []JobObservation
	// counts holds for each variant the counts of its stand-ins, if hasCounts is true for it.
	counts    []standin.Counts
	hasCounts []bool
	// errs are the errors of the load generator itself.
	errs []error
}

// collect returns the observations of the run, with the counts of the stand-ins.
func (r *Run) collect(ctx context.Context) (*Observations, error) {
	s := &Observations{plan: r.settings.Plan, seed: r.settings.Seed}
	for _, v := range r.settings.Variants {
		c, err := r.standinCounts(ctx, v.StandinURL)
		if err != nil {
			return nil, err
		}
		s.variants = append(s.variants, v.Name)
		s.counts = append(s.counts, c)
		s.hasCounts = append(s.hasCounts, v.StandinURL != "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.requests, s.jobs, s.errs = r.requests, r.jobs, r.errs
	return s, nil
}

// Violations returns a description of every violated guarantee.
func (s *Observations) Violations() []string {
	var out []string
	for _, err := range s.errs {
		out = append(out, err.Error())
	}
	for i := range s.requests {
		out = append(out, s.checkRequest(&s.requests[i])...)
	}
	for i := range s.jobs {
		out = append(out, s.checkJob(&s.jobs[i])...)
	}
	for _, c := range s.counts {
		for _, w := range c.Overcommitted {
			out = append(out, w+": was given more than it has")
		}
		out = append(out, checkConcurrentRuns(c.Tasks)...)
	}
	return append(out, s.checkOutcomeShares()...)
}

// checkRequest returns a description of every guarantee that was violated for one request.
func (s *Observations) checkRequest(q *RequestObservation) []string {
	var out []string
	violated := func(format string, args ...any) { out = append(out, q.id+": "+fmt.Sprintf(format, args...)) }
	runs, hasCounts := s.counts[q.variant].Requests[q.id], s.hasCounts[q.variant]
	if q.status == http.StatusOK && !q.bodyMatches {
		violated("the answer was not the whole answer to this request")
	}
	if q.status == http.StatusOK && q.outcome != problem.Run {
		violated("answered with outcome %q", q.outcome)
	}
	if !hasCounts {
		return out
	}
	if q.status == http.StatusOK && runs == 0 {
		violated("answered but no runner worked on it")
	}
	if q.outcome == problem.NotRun && runs > 0 {
		violated("refused as not run (%s) but worked on %d times", q.detail, runs)
	}
	if q.neverRepeat && runs > 1 {
		violated("marked as not to be repeated but worked on %d times", runs)
	}
	if q.outcome == problem.Run && q.status != http.StatusOK && !s.plan.Expect.AllowServiceErrors {
		violated("status %d: %s", q.status, q.detail)
	}
	return out
}

// checkJob returns a description of every guarantee that was violated for one job.
func (s *Observations) checkJob(j *JobObservation) []string {
	violated := func(format string, args ...any) []string {
		return []string{fmt.Sprintf("job %s (%s): ", j.key, j.id) + fmt.Sprintf(format, args...)}
	}
	expect := s.plan.Expect
	if !j.accepted {
		if expect.AllowJobRefusals {
			return nil
		}
		return violated("was not accepted: %s", j.detail)
	}
	switch {
	case j.phase == "succeeded":
	case j.phase == "cancelled" && j.cancelled:
		return nil
	case isEnded(j.phase) && expect.AllowJobFailures:
		return nil
	default:
		return violated("is %q after the settle time", j.phase)
	}
	if !s.hasCounts[j.variant] {
		return nil
	}
	var out []string
	for i := range j.tasks {
		task := fmt.Sprintf("%s.%d", j.id, i)
		runs := s.counts[j.variant].Tasks[task]
		if len(runs) == 0 {
			out = append(out, violated("task %d succeeded but never ran", i)...)
		}
		if len(runs) > 1 && !expect.AllowReruns {
			out = append(out, violated("task %d was started %d times", i, len(runs))...)
		}
	}
	return out
}

// checkConcurrentRuns returns a description of every task of which two runs made progress at the
// same time.
func checkConcurrentRuns(tasks map[string][]standin.Run) []string {
	var out []string
	for task, runs := range tasks {
		type runSpan struct {
			standin.Span
			run int
		}
		var spans []runSpan
		for i := range runs {
			for _, span := range runs[i].Spans {
				spans = append(spans, runSpan{Span: span, run: i})
			}
		}
		slices.SortFunc(spans, func(a, b runSpan) int { return int(a.From - b.From) })
		for i := 1; i < len(spans); i++ {
			if spans[i].From < spans[i-1].To && spans[i].run != spans[i-1].run {
				out = append(out, fmt.Sprintf("task %s ran on %s and %s at once", task,
					runs[spans[i-1].run].Worker, runs[spans[i].run].Worker))
			}
		}
	}
	slices.Sort(out)
	return out
}

// checkOutcomeShares returns a violation for the share of refused requests, and for that of
// requests with an unknown outcome, if it is above the plan's limit.
func (s *Observations) checkOutcomeShares() []string {
	if len(s.requests) == 0 {
		return nil
	}
	var refused, unknown int
	detail := ""
	for i := range s.requests {
		q := &s.requests[i]
		switch q.outcome {
		case problem.NotRun:
			refused++
			detail = q.detail
		case problem.Run:
		default:
			unknown++
			detail = q.detail
		}
	}
	var out []string
	total := float64(len(s.requests))
	if share := float64(refused) / total; share > s.plan.Expect.MaxRefusedShare {
		out = append(out, fmt.Sprintf("%d of %d requests were refused (for example: %s)", refused, len(s.requests), detail))
	}
	if share := float64(unknown) / total; share > s.plan.Expect.MaxUnknownShare {
		out = append(out, fmt.Sprintf("%d of %d requests have an unknown outcome (for example: %s)", unknown, len(s.requests), detail))
	}
	return out
}
