package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Exclusion says why a worker does not get a task of a step.
type Exclusion uint8

// The reasons, in the order in which they are checked.
const (
	// ExclusionNone means that the worker could get a task.
	ExclusionNone Exclusion = iota
	// ExclusionOther is a worker of another service, or without the label that the step needs.
	ExclusionOther
	// ExclusionNoRunner is a worker without a runner.
	ExclusionNoRunner
	// ExclusionEvacuated is a worker of an evacuated data centre.
	ExclusionEvacuated
	// ExclusionSilent is a worker without recent contact.
	ExclusionSilent
	// ExclusionDraining is a worker whose runner is about to end.
	ExclusionDraining
	// ExclusionProbePending is a suspect worker that is not due to be probed.
	ExclusionProbePending
	// ExclusionUnderProbe is a suspect worker that is being probed with another task.
	ExclusionUnderProbe
	// ExclusionHeld is a worker that is kept for another task, by a trial or because runs were stopped for it.
	ExclusionHeld
	// ExclusionPolicy is a worker that the placement policy does not permit.
	ExclusionPolicy
	// ExclusionFull is a worker without room.
	ExclusionFull
	exclusions
)

// WaitingStep is a long-running step with tasks that have no run, with the number of workers by the
// reason why they do not get one.
type WaitingStep struct {
	step     workflow.StepID
	tasks    int
	longest  time.Duration
	held     bool
	excluded [exclusions]int
}

// Step returns the ID of the step.
func (w *WaitingStep) Step() workflow.StepID { return w.step }

// Tasks returns the number of tasks that have waited for long enough to be counted.
func (w *WaitingStep) Tasks() int { return w.tasks }

// Longest returns how long the first of the tasks has waited.
func (w *WaitingStep) Longest() time.Duration { return w.longest }

// Held reports whether the step's tasks may not start yet, because runs of an earlier term may be left
// or the step's queue is not configured.
func (w *WaitingStep) Held() bool { return w.held }

// Excluded returns the number of workers that are excluded for a reason.
func (w *WaitingStep) Excluded(e Exclusion) int { return w.excluded[e] }

// WaitingSteps returns the long-running steps with a task that has had no run for at least minWait, those
// that have waited longest first.
func (sc *Scheduler) WaitingSteps(now time.Time, minWait time.Duration) []WaitingStep {
	var out []WaitingStep
	for s := range sc.readySteps {
		if !s.spec.LongRunning {
			continue
		}
		if w := sc.waitingStep(now, s, minWait); w.tasks > 0 {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(x, y WaitingStep) int {
		return cmp.Or(-cmp.Compare(x.longest, y.longest), cmp.Compare(x.step.String(), y.step.String()))
	})
	return out
}

// waitingStep describes one step.
func (sc *Scheduler) waitingStep(now time.Time, s *stepState, minWait time.Duration) WaitingStep {
	out := WaitingStep{step: s.stepID()}
	for i := range s.tasks {
		t := &s.tasks[i]
		if waited := now.Sub(t.waitingSince); !t.done && len(t.runs) == 0 && waited >= minWait {
			out.tasks++
			out.longest = max(out.longest, waited)
		}
	}
	if out.tasks == 0 {
		return out
	}
	q, ok := sc.queues[s.occurrence.job.submission.Queue]
	out.held = !ok || !sc.mayPlace(s)
	for _, w := range sc.fleet {
		out.excluded[sc.exclusion(now, s, &q, w)]++
	}
	return out
}

// exclusion returns why a worker does not get a task of a step.
func (sc *Scheduler) exclusion(now time.Time, s *stepState, q *Queue, w *workerState) Exclusion {
	switch h := &w.health; {
	case w.life == 0:
		return ExclusionNoRunner
	case w.service != q.Service || s.spec.Label != "" && !w.labels[s.spec.Label]:
		return ExclusionOther
	case w.evacuated:
		return ExclusionEvacuated
	case w.silent || w.leaseExpired:
		return ExclusionSilent
	case w.draining:
		return ExclusionDraining
	case h.usable(now) && (w.held(now) || w.keptFrom(now, s)):
		return ExclusionHeld
	case h.usable(now):
	case h.probe != nil:
		return ExclusionUnderProbe
	default:
		return ExclusionProbePending
	}
	switch {
	case !s.permitted(now, q, w):
		return ExclusionPolicy
	case !sc.hasRoom(w, s, 0):
		return ExclusionFull
	}
	return ExclusionNone
}
