package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Parameters of the estimate of a worker's slowdown.
const (
	// newestRunWeight is the weight of the newest run in the moving average.
	newestRunWeight = 0.25
	// minMeasuredEstimateMS is the shortest estimated run time, in milliseconds, of a run whose
	// run time is compared with its estimate.
	minMeasuredEstimateMS = 50
	// provenAfter is how long a long-running task that tests a suspect worker has to stay at work for the
	// worker to count as sound: it has no end that could show it.
	provenAfter = 2 * time.Second
	// longRunningProbeInterval is how long after a failed run a suspect worker may be probed with a
	// long-running task, ahead of its next probe. With provenAfter it stays below the six seconds in which
	// a long-running task has to run again.
	longRunningProbeInterval = 3 * time.Second
)

// workerHealth is what the outcomes of runs say about a worker.
type workerHealth struct {
	outcomes worker.Health
	// slowdown is the moving average of measured divided by expected run time; 0 before the
	// first measurement.
	slowdown float64
	ratios   recentRatios
	// probe is the run that tests a suspect worker; nil if there is none. probeWasDue is set if a probe was
	// due when it was ordered.
	probe       *run
	probeWasDue bool
}

// recordOutcome updates the health of a run's worker after the run has ended.
func (sc *Scheduler) recordOutcome(now time.Time, r *run, how Outcome) {
	h := &r.worker.health
	suspect, probed := h.outcomes.Suspect(), h.probe == r
	sc.observeRunTime(now, r, how)
	switch how {
	case OutcomeDone:
		h.outcomes.RecordSuccess()
		sc.updateSlowdown(now, r)
		sc.noteRace(now, r)
	case OutcomeFailed:
		if probed && h.probeWasDue {
			h.outcomes.RecordFailedProbe(now)
		} else {
			h.outcomes.RecordFailure(now, r.id.Job)
		}
	}
	if probed || !h.outcomes.Suspect() {
		h.probe = nil
	}
	sc.noteHealth(r.worker)
	sc.addHealthChange(r.worker, suspect, probed, how)
}

// noteHealth updates the set of suspect workers after a change of a worker's health.
func (sc *Scheduler) noteHealth(w *workerState) {
	if w.health.outcomes.Suspect() {
		sc.suspects[w] = struct{}{}
	} else {
		delete(sc.suspects, w)
	}
}

// checkProbe counts a long-running task that tests a suspect worker as a success once it has been at work
// for long enough. Otherwise the worker would get no further task as long as that one runs.
func (sc *Scheduler) checkProbe(now time.Time, r *run) {
	h := &r.worker.health
	if h.probe != r || !r.step.spec.LongRunning || r.percent < fullPercent || now.Sub(r.orderedAt) < provenAfter {
		return
	}
	h.outcomes.RecordSuccess()
	h.probe = nil
	sc.noteHealth(r.worker)
	sc.noteChange(r.worker)
	sc.addHealthChange(r.worker, true, true, OutcomeDone)
}

// mayProbeLongRunning reports whether a suspect worker may be probed with a long-running task. Failures of such a
// task do not count against its job, so the worker is probed more often than with other tasks, and beside
// one of them, which may take long to end.
func (h *workerHealth) mayProbeLongRunning(now time.Time) bool {
	probed := h.probe != nil && h.probe.step.spec.LongRunning
	return h.outcomes.Suspect() && !probed && now.Sub(h.outcomes.LastFailure()) >= longRunningProbeInterval
}

// probeLongRunning starts a task of a long-running step that no sound worker has room for on a suspect
// worker, as its probe: on the one that has not failed for longest. It reports whether there is one.
func (sc *Scheduler) probeLongRunning(now time.Time, s *stepState, q *Queue, index int, o *Orders) bool {
	var best *workerState
	for w := range sc.suspects {
		if !w.health.mayProbeLongRunning(now) || w.held(now) || !sc.eligible(s, q, w) || !s.permitted(now, q, w) || !sc.hasRoom(w, s, 0) {
			continue
		}
		if best == nil || failedEarlier(w, best) {
			best = w
		}
	}
	if best == nil {
		return false
	}
	sc.orderStart(now, s, index, best, s.tasks[index].lastRunNumber+1, "probe of a suspect worker: no sound worker has room", o)
	return true
}

// failedEarlier reports whether the last failure on worker x is older than on y; ties are broken by name.
func failedEarlier(x, y *workerState) bool {
	xFailed, yFailed := x.health.outcomes.LastFailure(), y.health.outcomes.LastFailure()
	if !xFailed.Equal(yFailed) {
		return xFailed.Before(yFailed)
	}
	return x.name < y.name
}

// usable reports whether a worker's health allows it to get a task.
func (h *workerHealth) usable(now time.Time) bool {
	if !h.outcomes.Suspect() {
		return true
	}
	return h.outcomes.MayProbe(now) && h.probe == nil
}

// HealthChange is a change of what the scheduler holds of a worker's health.
type HealthChange struct {
	Worker string
	// Suspect is set if the worker is suspect after the change.
	Suspect bool
	// Probed is set if the change follows from the end of a probe, which ended with Outcome.
	Probed  bool
	Outcome Outcome
	// FailedJobs are the jobs that have failed on the worker since its last success, and NextProbe
	// is the earliest time of the next probe of a suspect worker.
	FailedJobs []string
	NextProbe  time.Time
}

// addHealthChange records a change of a worker's health if the worker became suspect, was probed, or is
// no longer suspect.
func (sc *Scheduler) addHealthChange(w *workerState, wasSuspect, probed bool, how Outcome) {
	h := &w.health.outcomes
	if h.Suspect() == wasSuspect && !probed {
		return
	}
	sc.healthChanges = append(sc.healthChanges, HealthChange{
		Worker: w.name, Suspect: h.Suspect(), Probed: probed, Outcome: how, FailedJobs: h.FailedJobs(), NextProbe: h.ProbeAt(),
	})
}

// TakeHealthChanges returns the changes of workers' health since the last call.
func (sc *Scheduler) TakeHealthChanges() []HealthChange {
	out := sc.healthChanges
	sc.healthChanges = nil
	return out
}

// SuspectWorkers returns the number of suspect workers.
func (sc *Scheduler) SuspectWorkers() int { return len(sc.suspects) }
