package standin

import (
	"fmt"
	"strings"
	"time"
)

// judgeSuccesses judges a start by the earlier successes of the task. The caller holds mu.
func (h *History) judgeSuccesses(s *pastStart) {
	acked, lateBy := false, false
	for _, e := range h.successes[s.successKey()] {
		e.laterStarts = append(e.laterStarts, s)
		if !e.ackedAt.IsZero() {
			acked = true
			lateBy = lateBy || h.isLate(s, e.ackedAt)
		}
	}
	switch {
	case acked && !s.step.Speculative:
		h.violate(s.task, "%s after the success of a run was acknowledged", s)
	case lateBy:
		h.violate(s.task, "%s more than a second after the success of a run was acknowledged", s)
	}
}

// isLate reports whether a start violates the guarantee that no run starts long after a time. It holds without
// disruption and for starts that the runner carried out at once.
func (h *History) isLate(s *pastStart, after time.Time) bool {
	return s.at.Sub(after) > lateStartAfter && !s.late && !h.disrupted(s.at.Add(-calmBefore), s.at)
}

// judgeJob judges a start by what callers have seen of the job. The caller holds mu.
func (h *History) judgeJob(s *pastStart) {
	id, _, _ := strings.Cut(s.task, ".")
	if s.plan != nil && s.plan.Job != id {
		h.violate(s.task, "%s with the specification of job %s", s, s.plan.Job)
	}
	j := h.jobs[id]
	if j == nil {
		return
	}
	if !j.completedAt.IsZero() && s.at.Sub(j.completedAt) > lateStartAfter {
		if text := fmt.Sprintf("%s, and its job was shown as completed at %s", s, j.completedAt.Format(time.StampMilli)); h.isLate(s, j.completedAt) {
			h.violations = append(h.violations, violation{text, s.task})
		} else {
			h.nearMisses = append(h.nearMisses, violation{text, s.task})
		}
	}
	if !j.cancelledAt.IsZero() && s.at.Sub(j.cancelledAt) > cancelBound && !s.late && !h.disrupted(s.at.Add(-calmBefore), s.at) {
		h.violate(s.task, "%s, and the cancellation of its job was acknowledged at %s", s, j.cancelledAt.Format(time.StampMilli))
	}
}

// judgeOrder judges a start by its time and by the steps that have to be done before. The caller holds mu.
func (h *History) judgeOrder(s *pastStart) {
	if s.plan == nil {
		return
	}
	if due := s.plan.dueAt(s.task); s.at.Before(due.Add(-earlyBound)) {
		h.violate(s.task, "%s, but is due at %s", s, due.Format(time.StampMilli))
	}
	for _, p := range s.plan.predecessors(s.task) {
		if len(h.successes[p]) == 0 {
			h.violate(s.task, "%s before %s was done", s, p)
		}
	}
}

// notedByListing returns when an end that was listed counts as acknowledged without an acknowledgement, and whether it
// does. The caller holds mu.
func (h *History) notedByListing(e *pastEnd) (time.Time, bool) {
	for _, at := range e.listedAt {
		noted := at.Add(notedAfter)
		if (e.voidAt.IsZero() || e.voidAt.After(noted)) && !h.disrupted(at.Add(-calmBefore), noted.Add(calmAfter)) {
			return noted, true
		}
	}
	return time.Time{}, false
}

// judgeListed returns the starts that violate a guarantee since an earlier success was listed. The caller holds mu.
func (h *History) judgeListed() []violation {
	var out []violation
	for _, e := range h.listed {
		if !e.ackedAt.IsZero() || len(e.laterStarts) == 0 {
			continue // judged when it was acknowledged or at the start
		}
		noted, ok := h.notedByListing(e)
		if !ok {
			continue
		}
		for _, s := range e.laterStarts {
			if !s.step.Speculative || h.isLate(s, noted) {
				out = append(out, violation{fmt.Sprintf("%s after the success of run %d at %s, which was listed by %s", s, e.start.run, e.start.runner, noted.Format(time.StampMilli)), s.task})
				break
			}
		}
	}
	return out
}

// judgeCancelled returns the runs that went on for too long after the cancellation of their job. Runs in progress count as
// ended by now. The caller holds mu.
func (h *History) judgeCancelled(now time.Time) []violation {
	var out []violation
	for name, t := range h.tasks {
		id, _, _ := strings.Cut(name, ".")
		j := h.jobs[id]
		if j == nil || j.cancelledAt.IsZero() {
			continue
		}
		bound := j.cancelledAt.Add(cancelBound + stopBound)
		for _, s := range t.starts {
			end := s.endedAt
			if end.IsZero() {
				end = now
			}
			if s.at.Before(bound) && end.After(bound) && !s.late && !h.disrupted(j.cancelledAt.Add(-calmBefore), bound) {
				out = append(out, violation{fmt.Sprintf("%s and ran until %s, and the cancellation of its job was acknowledged at %s", s, end.Format(time.StampMilli), j.cancelledAt.Format(time.StampMilli)), name})
			}
		}
	}
	return out
}
