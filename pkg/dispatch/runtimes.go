package dispatch

import (
	"slices"
	"strconv"
	"time"

	"savoryhoist.example/savoryhoist/pkg/runtimes"
)

// Parameters of what is learned from run times.
const (
	// slowWorkerFactor is by how much a worker's slowdown has to exceed the median of the fleet for its runs to tell
	// nothing about the run times of their tasks. The median counts, since the callers' estimates may be off.
	slowWorkerFactor = 1.5
	// medianSlowdownEvery is how often the median slowdown of the fleet is worked out.
	medianSlowdownEvery = time.Second
	// reasonOtherRunDone is why the remaining runs of a task that is done are stopped.
	reasonOtherRunDone = "another run of the task is done"
)

// recentRatios are the last ratios of measured to expected run time at a worker, the oldest one first. Their median
// leaves out single tasks that are long by themselves.
type recentRatios [3]float64

// add adds a ratio and returns the median. Ratios before the first one count as 1.
func (r *recentRatios) add(ratio float64) float64 {
	if *r == (recentRatios{}) {
		*r = recentRatios{1, 1, 1}
	}
	r[0], r[1], r[2] = r[1], r[2], ratio
	return r[0] + r[1] + r[2] - min(r[0], r[1], r[2]) - max(r[0], r[1], r[2])
}

// runtimeKey returns the key under which the run times of a step are learned: its image or, if it names none, its
// queue and its position in the job.
func (s *stepState) runtimeKey() string {
	if s.spec.Image != "" {
		return "i/" + s.spec.Image
	}
	return "q/" + s.occurrence.job.submission.Queue + "/" + strconv.Itoa(s.index)
}

// expectRunTime sets the run time that is expected of the step's tasks. It does not change while the occurrence runs, so that
// the occurrence's objective stays.
func (sc *Scheduler) expectRunTime(s *stepState) {
	s.expectedMS = s.spec.EstimateMS
	if !s.spec.LongRunning {
		s.expectedMS = sc.runTimes.Correct(s.runtimeKey(), s.spec.EstimateMS)
	}
}

// observeRunTime learns from the run time of a run that has ended. Runs at slow workers, runs whose beginning is not known and
// best-effort runs that may have waited for processor time are left out.
func (sc *Scheduler) observeRunTime(now time.Time, r *run, how Outcome) {
	s := r.step
	if s.spec.LongRunning || s.spec.EstimateMS < minMeasuredEstimateMS || r.resumed || r.mayWait() || sc.isSlow(now, r.worker) {
		return
	}
	o := runtimes.Observation{EstimateMS: s.spec.EstimateMS, Weight: 1 / float64(len(s.tasks))}
	switch {
	case how == OutcomeDone:
		o.MeasuredMS, o.Percent = now.Sub(r.orderedAt).Milliseconds(), fullPercent
	case how == OutcomeStopped && r.stopReason == reasonOtherRunDone:
		o.MeasuredMS, o.Percent = r.progressedAt.Sub(r.orderedAt).Milliseconds(), r.percent
	default:
		return
	}
	o.MeasuredMS = int64(float64(o.MeasuredMS) / sc.rackSlowdown(r))
	sc.runTimes.Observe(s.runtimeKey(), o)
}

// RunTimesObserved returns how many run times have been learned from in this term.
func (sc *Scheduler) RunTimesObserved() uint64 { return sc.runTimes.Observations() }

// RunTimeKeys returns the number of images and queue positions whose run times are known.
func (sc *Scheduler) RunTimeKeys() int { return sc.runTimes.Len() }

// RunTimes returns what is known of the run times of the keys that were used last, at most limit of them.
func (sc *Scheduler) RunTimes(limit int) []runtimes.Learned { return sc.runTimes.Learned(limit) }

// MergeRunTimes takes over what another dispatcher has learned of run times.
func (sc *Scheduler) MergeRunTimes(learned []runtimes.Learned) { sc.runTimes.Merge(learned) }

// isSlow reports whether a worker is known to be slower than most of the fleet.
func (sc *Scheduler) isSlow(now time.Time, w *workerState) bool {
	if w.health.slowdown == 0 {
		return false
	}
	if sc.medianSlowdownAt.IsZero() || now.Sub(sc.medianSlowdownAt) >= medianSlowdownEvery {
		sc.medianSlowdown, sc.medianSlowdownAt = sc.fleetSlowdown(), now
	}
	return w.health.slowdown > slowWorkerFactor*sc.medianSlowdown
}

// fleetSlowdown returns the median slowdown of the workers that have one, 1 if there is none.
func (sc *Scheduler) fleetSlowdown() float64 {
	var all []float64
	for _, w := range sc.fleet {
		if w.health.slowdown > 0 {
			all = append(all, w.health.slowdown)
		}
	}
	if len(all) == 0 {
		return 1
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// markShared marks the best-effort runs at a worker if they may have to share processor time.
func (w *workerState) markShared() {
	if w.bestEffortMilliCPU == 0 || float64(w.bestEffortMilliCPU) <= w.leftMilliCPU() {
		return
	}
	for _, r := range w.runs {
		r.shared = r.shared || r.step.spec.BestEffort
	}
}

// updateSlowdown takes in the run time of a run that is done into the slowdown of its worker. Where the run times of
// the step's key are known, only ratios that repeat count: a task may be long by itself.
func (sc *Scheduler) updateSlowdown(now time.Time, r *run) {
	spec, h := r.step.spec, &r.worker.health
	if spec.EstimateMS < minMeasuredEstimateMS || spec.BestEffort || r.checkpoint != "" {
		return
	}
	key := r.step.runtimeKey()
	ratio := float64(now.Sub(r.orderedAt).Milliseconds()) / float64(sc.runTimes.Correct(key, spec.EstimateMS))
	if sc.runTimes.Known(key) {
		if r.resumed {
			return
		}
		ratio = h.ratios.add(ratio / sc.rackSlowdown(r))
	}
	if h.slowdown == 0 {
		h.slowdown = 1
	}
	h.slowdown += (ratio - h.slowdown) * newestRunWeight
}
