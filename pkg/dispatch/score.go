package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Weights of the terms of a placement score. A score of 1 stands for the processor time of a
// whole worker.
const (
	// weightFailedWorker penalises workers where runs of the task have failed or were refused.
	weightFailedWorker = 4.0
	// weightRemoteRack penalises workers on another rack than that of the step's data, per unit
	// of the remote-rack slowdown above 1.
	weightRemoteRack = 2.0
	// weightSlowWorker penalises a worker per unit of its slowdown above toleratedSlowdown, 1.5.
	weightSlowWorker  = 1.0
	toleratedSlowdown = 1.5
	// weightInterference penalises best-effort tasks next to serving tasks, by the expected
	// interference and by how far best-effort tasks are slowed down on the worker.
	weightInterference = 3.0
	// weightPacking packs long-running tasks onto workers that already have some, so that other
	// workers stay free for best-effort tasks; a quarter of this weight draws short tasks to
	// workers with serving tasks.
	weightPacking = 2.0
	// weightMixedImages gathers serving tasks of one image, per further image at a worker: the fewer serving images a
	// worker has, the more best-effort images interfere with none of them. It is below weightPacking: with 4, serving tasks
	// were spread over all workers, and half of the best-effort jobs of a quiet day were late.
	weightMixedImages = 0.5
	// weightDisplacement penalises taking processor time that best-effort tasks use.
	weightDisplacement = 0.5
	// weightStretching penalises workers where a best-effort task would run longer, by the
	// relative increase of its run time.
	weightStretching = 1.0
	// longRunningUnusedShare is the fraction of its reservation that a long-running task leaves
	// unused: according to the sites' data sheets, the average load of services is 0.42.
	longRunningUnusedShare = 0.55
	// maxBestEffortLoad bounds the requests of best-effort tasks at a worker, as a multiple of the
	// processor time that other tasks leave. In a burst, further tasks wait and start in the
	// order of urgency, where all together would take several times as long and miss
	// their objectives.
	maxBestEffortLoad = 1.5
	// fullPacePercent is the pace percentage of best-effort tasks that are not slowed down.
	fullPacePercent = 100
)

// leftMilliCPU returns the processor time that other tasks at a worker leave to best-effort tasks: what no
// task reserves, plus the part of the reservations of long-running tasks that these leave unused.
func (w *workerState) leftMilliCPU() float64 {
	return float64(w.free().MilliCPU) + longRunningUnusedShare*float64(w.longRunningMilliCPU)
}

// unusedMilliCPU returns the part of leftMilliCPU that best-effort tasks do not request already.
func (w *workerState) unusedMilliCPU() float64 {
	return w.leftMilliCPU() - float64(w.bestEffortMilliCPU)
}

// bestEffortLoadLimit returns maxBestEffortLoad, or what replaces it in a comparison.
func (sc *Scheduler) bestEffortLoadLimit() float64 {
	if sc.replaceLoadLimit != nil {
		return sc.replaceLoadLimit()
	}
	return maxBestEffortLoad
}

// hasRoom reports whether a worker has room for one more task of a step, besides a number of planned ones.
// A worker without best-effort tasks has room for one of any size.
func (sc *Scheduler) hasRoom(w *workerState, s *stepState, planned int) bool {
	tasks := int64(planned) + 1
	if !s.spec.Reserved().Times(tasks).Fits(w.free()) || s.spec.MaxPerWorker > 0 && s.runsPerWorker[w.name]+planned >= s.spec.MaxPerWorker {
		return false
	}
	if !s.spec.BestEffort || w.bestEffortMilliCPU == 0 && planned == 0 {
		return true
	}
	return float64(w.bestEffortMilliCPU+tasks*s.spec.Size.MilliCPU) <= sc.bestEffortLoadLimit()*w.leftMilliCPU()
}

// interferenceCost returns the expected cost of an interference load, from 0 to 1: 0 up to half
// the load limit, 1 from one and a half times the limit on.
func interferenceCost(load float64) float64 {
	const from, to = 0.5, 1.5
	return min(1, max(0, (load-from)/(to-from)))
}

// relativeDelay returns by which fraction best-effort tasks at a worker would run longer if one more
// that requests milliCPU of processor time started.
func (w *workerState) relativeDelay(milliCPU int64) float64 {
	requested := float64(w.bestEffortMilliCPU + milliCPU)
	const minSpeed = 0.05
	return 1/min(1, max(minSpeed, w.leftMilliCPU()/requested)) - 1
}

// score rates a worker for the tasks of a step, without their penalties; the worker with the lowest sum
// is chosen.
func (sc *Scheduler) score(s *stepState, w *workerState) float64 {
	score := 0.0
	if s.spec.Rack != "" && s.spec.Rack != w.rack {
		score += weightRemoteRack * max(0, sc.remoteRackSlowdown-1)
	}
	if w.health.slowdown > toleratedSlowdown {
		score += weightSlowWorker * (w.health.slowdown - toleratedSlowdown)
	}
	score += w.health.outcomes.FailureRate()
	capacity := float64(max(1, w.capacity.MilliCPU))
	unused := w.unusedMilliCPU()
	size := float64(s.spec.Size.MilliCPU)
	displacement := weightDisplacement * max(0, size-unused) / capacity
	switch {
	case s.spec.BestEffort:
		score += weightStretching*w.relativeDelay(s.spec.Size.MilliCPU) - unused/capacity/4
		if w.servingTasks > 0 {
			score += weightInterference * (interferenceCost(sc.interferenceLoadWith(w, s.spec.Image, s.spec.Size.MilliCPU)) + float64(fullPacePercent-w.pacePercent)/fullPacePercent)
		}
	case s.spec.LongRunning:
		score += displacement + float64(w.bestEffortMilliCPU)/capacity + float64(w.free().MilliCPU)/float64(max(1, sc.largestMilliCPU))
		if w.longRunningTasks > 0 {
			score -= weightPacking
		}
		if s.spec.TargetMS > 0 {
			score += weightMixedImages * float64(w.otherServingImages(s.spec.Image))
		}
	default:
		score += displacement - unused/capacity/4
		if w.servingTasks > 0 {
			score -= weightPacking / 4
		}
	}
	return score
}

// otherServingImages returns the number of images with serving tasks at a worker, without the given one.
func (w *workerState) otherServingImages(image string) int {
	n := len(w.servingTasksByImage)
	if w.servingTasksByImage[image] > 0 {
		n--
	}
	return n
}

// preemptFor orders runs of lower priority to stop, so that a task of a long-running step, which has waited for a time, fits once
// they have ended. It chooses the worker where the fewest runs have to be stopped. If there is none, it reserves a worker. It searches
// all runs, and therefore at most once in preemptionInterval for each step.
func (sc *Scheduler) preemptFor(now time.Time, s *stepState, q Queue, waited time.Duration) {
	if now.Before(s.nextPreemption) {
		return
	}
	s.nextPreemption = now.Add(preemptionInterval)
	var best *workerState
	var victims []*run
	for _, w := range sc.fleet {
		if !sc.allowed(now, s, q, w) || s.spec.MaxPerWorker > 0 && s.runsPerWorker[w.name] >= s.spec.MaxPerWorker {
			continue
		}
		if v, ok := sc.preemptionVictims(w, s.spec.Reserved(), q.Priority); ok && (best == nil || len(v) < len(victims)) {
			best, victims = w, v
		}
	}
	switch {
	case best != nil:
		sc.keepRoom(now, best)
	case waited >= reservationWait:
		sc.reserveFor(now, s, q)
	}
	for _, r := range victims {
		sc.orderStop(now, r, "preempted by a long-running task")
	}
}

// keepRoom keeps a worker for long-running tasks until the runs that are stopped there have ended. It is
// called again at each search, so that the room is free again soon after the task has started.
func (sc *Scheduler) keepRoom(now time.Time, w *workerState) {
	w.keptUntil = now.Add(keptRoomTime)
	sc.hold(w)
}

// keptFrom reports whether a worker is kept for a long-running task that runs were stopped for, and the step is
// none.
func (w *workerState) keptFrom(now time.Time, s *stepState) bool {
	return !s.spec.LongRunning && now.Before(w.keptUntil)
}

// preemptionVictims returns the runs at a worker, of lower priority than the given one and the
// youngest first, that have to end so that need fits. It reports whether need fits once they have
// ended. Runs that are being stopped count as ended.
func (sc *Scheduler) preemptionVictims(w *workerState, need worker.Resources, priority int) ([]*run, bool) {
	free := w.free()
	var candidates []*run
	for _, r := range w.runs {
		if r.phase == runStopping {
			free = free.Plus(r.step.spec.Reserved())
			continue
		}
		if !r.step.spec.LongRunning && sc.queues[r.step.occurrence.job.submission.Queue].Priority > priority {
			candidates = append(candidates, r)
		}
	}
	sortYoungestFirst(candidates)
	var victims []*run
	for _, r := range candidates {
		if need.Fits(free) {
			break
		}
		free = free.Plus(r.step.spec.Reserved())
		victims = append(victims, r)
	}
	return victims, need.Fits(free)
}

// sortYoungestFirst puts the youngest runs first: they lose the least work.
func sortYoungestFirst(runs []*run) {
	for i := 1; i < len(runs); i++ {
		for j := i; j > 0 && younger(runs[j], runs[j-1]); j-- {
			runs[j], runs[j-1] = runs[j-1], runs[j]
		}
	}
}

// younger reports whether run x was ordered after run y.
func younger(x, y *run) bool {
	if !x.orderedAt.Equal(y.orderedAt) {
		return x.orderedAt.After(y.orderedAt)
	}
	return x.id.String() < y.id.String()
}
