package load

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/internal/standin"
)

// Seen is everything that callers and stand-ins saw in a run.
type Seen struct {
	plan     *Plan
	seed     uint64
	variants []string
	requests []RequestSeen
	jobs     []JobSeen
	counts   []standin.Counts
	// checked reports for each variant whether its stand-ins could be asked.
	checked []bool
	errs    []error
}

func (r *Run) collect(ctx context.Context) (*Seen, error) {
	s := &Seen{plan: r.settings.Plan, seed: r.settings.Seed}
	for _, v := range r.settings.Variants {
		c, err := r.counts(ctx, v.Standin)
		if err != nil {
			return nil, err
		}
		s.variants = append(s.variants, v.Name)
		s.counts = append(s.counts, c)
		s.checked = append(s.checked, v.Standin != "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.requests, s.jobs, s.errs = r.requests, r.jobs, r.errs
	return s, nil
}

// Violations returns every promise that was broken, in words.
func (s *Seen) Violations() []string {
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
		out = append(out, checkPlaces(c.Tasks)...)
	}
	return append(out, s.checkShares()...)
}

func (s *Seen) checkRequest(q *RequestSeen) []string {
	var out []string
	broken := func(format string, args ...any) { out = append(out, q.id+": "+fmt.Sprintf(format, args...)) }
	runs, checked := s.counts[q.variant].Requests[q.id], s.checked[q.variant]
	if q.status == http.StatusOK && !q.whole {
		broken("the answer was not the whole answer to this request")
	}
	if q.status == http.StatusOK && q.outcome != problem.Run {
		broken("answered with outcome %q", q.outcome)
	}
	if !checked {
		return out
	}
	if q.status == http.StatusOK && runs == 0 {
		broken("answered but no runner worked on it")
	}
	if q.outcome == problem.NotRun && runs > 0 {
		broken("refused as not run (%s) but worked on %d times", q.detail, runs)
	}
	if q.never && runs > 1 {
		broken("marked as not to be repeated but worked on %d times", runs)
	}
	if q.outcome == problem.Run && q.status != http.StatusOK && !s.plan.Expect.ServiceErrors {
		broken("status %d: %s", q.status, q.detail)
	}
	return out
}

func (s *Seen) checkJob(j *JobSeen) []string {
	broken := func(format string, args ...any) []string {
		return []string{fmt.Sprintf("job %s (%s): ", j.key, j.id) + fmt.Sprintf(format, args...)}
	}
	expect := s.plan.Expect
	if !j.accepted {
		if expect.JobRefusals {
			return nil
		}
		return broken("was not accepted: %s", j.detail)
	}
	switch {
	case j.phase == "succeeded":
	case j.phase == "cancelled" && j.cancelled:
		return nil
	case isEnded(j.phase) && expect.JobFailures:
		return nil
	default:
		return broken("is %q after the settle time", j.phase)
	}
	if !s.checked[j.variant] {
		return nil
	}
	var out []string
	for i := range j.tasks {
		task := fmt.Sprintf("%s.%d", j.id, i)
		runs := s.counts[j.variant].Tasks[task]
		if len(runs) == 0 {
			out = append(out, broken("task %d succeeded but never ran", i)...)
		}
		if len(runs) > 1 && !expect.Repeats {
			out = append(out, broken("task %d was started %d times", i, len(runs))...)
		}
	}
	return out
}

// checkPlaces finds tasks that made progress in two places at once.
func checkPlaces(tasks map[string][]standin.Run) []string {
	var out []string
	for task, runs := range tasks {
		type spot struct {
			standin.Span
			run int
		}
		var spots []spot
		for i := range runs {
			for _, span := range runs[i].Spans {
				spots = append(spots, spot{Span: span, run: i})
			}
		}
		slices.SortFunc(spots, func(a, b spot) int { return int(a.From - b.From) })
		for i := 1; i < len(spots); i++ {
			if spots[i].From < spots[i-1].To && spots[i].run != spots[i-1].run {
				out = append(out, fmt.Sprintf("task %s ran on %s and %s at once", task,
					runs[spots[i-1].run].Worker, runs[spots[i].run].Worker))
			}
		}
	}
	slices.Sort(out)
	return out
}

func (s *Seen) checkShares() []string {
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
	if share := float64(refused) / total; share > s.plan.Expect.MostRefused {
		out = append(out, fmt.Sprintf("%d of %d requests were refused (such as: %s)", refused, len(s.requests), detail))
	}
	if share := float64(unknown) / total; share > s.plan.Expect.MostUnknown {
		out = append(out, fmt.Sprintf("%d of %d requests have an unknown outcome (such as: %s)", unknown, len(s.requests), detail))
	}
	return out
}
