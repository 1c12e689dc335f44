package dispatch

import (
	"math"
	"slices"
	"time"
)

// Parameters of the learned interference between best-effort and serving tasks. For each pair
// of images the dispatcher learns a share limit: the fraction of a worker's processors that the
// best-effort image may use before the serving image misses its latency target.
const (
	// defaultShareLimit applies to a pair that has not been seen together: on the standard test
	// days, half of the pairs interfere from a quarter of the processors on.
	defaultShareLimit = 0.25
	// minShareLimit and maxShareLimit bound the limits learned.
	minShareLimit = 0.02
	maxShareLimit = 4.0
	// shareLimitGrowth is by which fraction one reading that meets its target raises the share
	// limits of the best-effort images in use; each image gets its part of the raise.
	shareLimitGrowth = 0.12
	// missReduction is by which fraction one missed target lowers the share limits, more at a
	// higher pressure; maxReduction bounds the fraction.
	missReduction = 0.25
	maxReduction  = 0.6
	// minMeaningfulLoad is the interference load above which a reading that meets its target
	// raises limits.
	minMeaningfulLoad = 0.5
	// Readings with a pressure between metPressure and missedPressure are ignored. The pressure
	// is the tail latency divided by its target.
	missedPressure = 1.1
	metPressure    = 1.0
	// overload is the interference load from which the serving tasks of a worker are expected
	// to miss their targets.
	overload = 1.0
	// settleTime is how long a change of the running tasks takes to show in the readings, which
	// cover half a second.
	settleTime = 700 * time.Millisecond
)

// imagePair names the images of a serving and of a best-effort task.
type imagePair struct{ serving, bestEffort string }

// shareLimit returns the share limit of a pair of images.
func (sc *Scheduler) shareLimit(serving, bestEffort string) float64 {
	if limit, ok := sc.shareLimits[imagePair{serving, bestEffort}]; ok {
		return limit
	}
	return defaultShareLimit
}

// interferenceLoad returns the interference load on a serving image: the sum, over the best-effort
// images on its worker, of the share of processors divided by the share limit. From a load of 1 on
// the serving image is expected to miss its target.
func (sc *Scheduler) interferenceLoad(serving string, shares imageShares) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.share / sc.shareLimit(serving, s.image)
	}
	return sum
}

// interferenceLoadWith returns the highest interference load on a worker's serving images if one
// more best-effort task, of the given image and requested processor time, ran on the worker.
func (sc *Scheduler) interferenceLoadWith(w *workerState, image string, milliCPU int64) float64 {
	worst, share := 0.0, float64(milliCPU)/float64(max(1, w.capacity.MilliCPU))
	for serving := range w.servingTasksByImage {
		worst = max(worst, sc.interferenceLoad(serving, w.bestEffortShares)+share/sc.shareLimit(serving, image))
	}
	return worst
}

// imageInterference returns the highest interference load that one best-effort image causes on any
// serving image at a worker, from 0 to 1.
func (sc *Scheduler) imageInterference(w *workerState, image string) float64 {
	worst := 0.0
	for serving := range w.servingTasksByImage {
		worst = max(worst, w.bestEffortShares.of(image)/sc.shareLimit(serving, image))
	}
	return min(1, worst)
}

// learnInterference adjusts the share limits to the newest readings of a worker's runs. The limits
// matter on days when best-effort jobs have many tasks and serving tasks run on most workers.
func (sc *Scheduler) learnInterference(now time.Time, w *workerState) {
	runs := sc.runsInOrder(w)
	var sharesInUse imageShares
	for _, r := range runs {
		if r.step.spec.BestEffort && r.phase == runRunning && now.Sub(r.orderedAt) > settleTime {
			sharesInUse.add(r.step.spec.Image, r.reading/float64(max(1, w.capacity.MilliCPU)))
		}
	}
	for _, r := range runs {
		target := r.step.spec.TargetMS
		if target <= 0 || r.phase != runRunning {
			continue
		}
		sc.countTargetReading(w, r)
		pressure := r.reading / target
		if pressure <= metPressure || now.Sub(w.bestEffortEndedAt) > settleTime {
			sc.adjustShareLimits(r.step.spec.Image, sharesInUse, pressure) // a higher tail latency may be due to a best-effort run that has just ended
		}
	}
}

// recountShares works out the shares of best-effort images at a worker whose processor capacity has changed.
func (sc *Scheduler) recountShares(w *workerState) {
	w.bestEffortShares = w.bestEffortShares[:0]
	for _, r := range sc.runsInOrder(w) {
		if r.step.spec.BestEffort {
			w.bestEffortShares.add(r.step.spec.Image, w.shareOf(r.step))
		}
	}
}

// runsInOrder returns the runs at a worker in the order of their tasks, since adjustments of limits depend on
// their order. It reuses the memory of the last call.
func (sc *Scheduler) runsInOrder(w *workerState) []*run {
	sc.orderedRuns = sc.orderedRuns[:0]
	for _, r := range w.runs {
		sc.orderedRuns = append(sc.orderedRuns, r)
	}
	slices.SortFunc(sc.orderedRuns, func(x, y *run) int { return x.id.Compare(y.id) })
	return sc.orderedRuns
}

// adjustShareLimits adjusts the share limits of a serving image to one reading of its pressure, while
// best-effort images used the given shares of the worker's processors.
func (sc *Scheduler) adjustShareLimits(serving string, sharesInUse imageShares, pressure float64) {
	load := sc.interferenceLoad(serving, sharesInUse)
	if load <= 0 || pressure > metPressure && pressure <= missedPressure {
		return
	}
	for _, s := range sharesInUse {
		limit := sc.shareLimit(serving, s.image)
		contribution := s.share / limit / load
		if pressure > missedPressure {
			limit *= 1 - min(maxReduction, missReduction*(1+math.Log(pressure)))*contribution
		} else if load > minMeaningfulLoad {
			limit *= 1 + shareLimitGrowth*contribution
		}
		sc.shareLimits[imagePair{serving, s.image}] = min(max(limit, minShareLimit), maxShareLimit)
	}
}

// runsWithoutInterference reports whether there is a worker that could run a best-effort step without
// overload of its serving tasks, even if that worker has no room now.
func (sc *Scheduler) runsWithoutInterference(now time.Time, s *stepState, q Queue) bool {
	for _, w := range sc.fleet {
		if sc.allowed(now, s, q, w) && sc.interferenceLoadWith(w, s.spec.Image, s.spec.Size.MilliCPU) < overload {
			return true
		}
	}
	return false
}
