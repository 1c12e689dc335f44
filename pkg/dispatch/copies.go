package dispatch

import (
	"slices"
	"strings"
	"time"
)

// Limits of second runs of a task.
const (
	// mostRuns is how many runs of one task work at a time.
	mostRuns = 2
	// copyAfter is how many times its estimate a run may take, and copyMargin how
	// much longer, before the task is started a second time. Its progress is seen
	// too late to tell sooner.
	copyAfter  = 2
	copyMargin = 200 * time.Millisecond
	// fullPercent is the progress of a run that is done.
	fullPercent = 100
)

// copyStragglers starts tasks that may run twice a second time where the first
// run is far behind and room is left once all that waits has been placed. It
// answers slow, hanging and failing workers.
func (b *Board) copyStragglers(now time.Time, o *Orders) {
	var late []*run
	for _, h := range b.workers {
		for _, r := range h.runs {
			if r.straggles(now) && len(r.step.tasks[r.id.Index].runs) < mostRuns {
				late = append(late, r)
			}
		}
	}
	slices.SortFunc(late, func(x, y *run) int { return strings.Compare(x.id.String(), y.id.String()) })
	for _, r := range late {
		s, t := r.step, &r.step.tasks[r.id.Index]
		q, ok := b.queues[s.occ.job.sub.Queue]
		if !ok || t.done || now.Before(t.after) {
			continue
		}
		if h, _ := b.choose(now, s, t, q, nil); h != nil {
			b.start(now, s, r.id.Index, h, t.lastRun+1, "its first run is far behind", o)
		}
	}
}

// straggles reports whether another run of the task would likely end before this one.
func (r *run) straggles(now time.Time) bool {
	s := r.step.spec
	if !s.Copies || s.Gang || s.Lasts || r.phase != runWorking || s.EstimateMS < shortestPaced {
		return false
	}
	return now.Sub(r.since) >= copyAfter*time.Duration(s.EstimateMS)*time.Millisecond+copyMargin
}

// left estimates how long a run still takes: at the speed of its progress, or by
// the caller's estimate while none is seen. One that is overdue is taken to need
// as much time again as it is late.
func (r *run) left(now time.Time) time.Duration {
	takes := time.Duration(r.step.spec.EstimateMS) * time.Millisecond
	if r.percent > 0 {
		takes = r.moved.Sub(r.since) * fullPercent / time.Duration(r.percent)
	}
	return (takes - now.Sub(r.since)).Abs()
}
