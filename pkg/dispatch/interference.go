package dispatch

import (
	"math"
	"slices"
	"time"
)

// Parameters of the learned interference between best-effort and serving tasks. For each pair of images the dispatcher
// learns a share limit: the fraction of a worker's processors that the best-effort image may use before the serving image
// is expected to miss its latency target. The pressure is the tail latency divided by its target. Its logarithm grows with
// the shares of the best-effort images, by a rate that is estimated for each pair as in a Kalman filter with independent
// rates: one reading corrects most those rates that are least certain and whose images use most.
const (
	// defaultShareLimit applies to a pair that has not been seen together: between what pairs bear that
	// hardly interfere and what those bear that do.
	defaultShareLimit = 0.25
	// minShareLimit and maxShareLimit bound the limits learned.
	minShareLimit = 0.02
	maxShareLimit = 4.0
	// idleLogPressure is the logarithm of the pressure without best-effort tasks: the median of the readings is 0.43.
	idleLogPressure = -0.85
	// loadSwing is the part of the logarithm of the pressure that is left for the load of the serving task, which
	// changes within seconds.
	loadSwing = 0.15
	// logPressureBudget is by how much the best-effort tasks at a worker may raise the logarithm of the pressure.
	logPressureBudget = -idleLogPressure - loadSwing
	// minLogPressure and maxLogPressure bound the logarithm of a reading: beyond them it says no more about the rate.
	minLogPressure = -1.9
	maxLogPressure = 1.8
	// settledReadingVariance is the variance of the logarithm of a reading, unsettledReadingVariance that of one shortly
	// after best-effort tasks have started, ended or been slowed down beside the serving task.
	settledReadingVariance   = 0.35
	unsettledReadingVariance = 1.0
	// newRateVariance is the variance of the rate of a pair that has not been seen together, and learnedRateVariance
	// that of one that another dispatcher has learned.
	newRateVariance     = 10.0
	learnedRateVariance = 1.0
	// minRateVariance and rateDrift keep a rate from becoming fixed, since interference changes within seconds: with a
	// fortieth of this drift, the limits told misses from targets met less well on the logged readings of a day.
	minRateVariance = 0.5
	rateDrift       = 0.2
	// overload is the interference load from which the serving tasks of a worker are expected
	// to miss their targets.
	overload = 1.0
	// settleTime is how long a change of the running tasks takes to show in the readings, which
	// cover half a second.
	settleTime = 700 * time.Millisecond
)

// pairLimit is what is known of a pair of images.
type pairLimit struct {
	// share is the share limit, and rateVariance the variance of the rate that it follows from.
	share, rateVariance float64
}

// rate returns by how much the logarithm of the serving image's pressure grows per share of the best-effort image.
func (l pairLimit) rate() float64 { return logPressureBudget / l.share }

// imagePair names the images of a serving and of a best-effort task.
type imagePair struct{ serving, bestEffort string }

// pairLimit returns what is known of a pair of images.
func (sc *Scheduler) pairLimit(serving, bestEffort string) pairLimit {
	if limit, ok := sc.shareLimits[imagePair{serving, bestEffort}]; ok {
		return limit
	}
	return pairLimit{share: defaultShareLimit, rateVariance: newRateVariance}
}

// shareLimit returns the share limit of a pair of images.
func (sc *Scheduler) shareLimit(serving, bestEffort string) float64 {
	return sc.pairLimit(serving, bestEffort).share
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

// wouldOverload reports whether serving tasks at a worker are expected to miss their targets if one more best-effort task,
// of the given image and requested processor time, ran there. A task without others beside it is not kept from serving
// images that its image has not been seen with, so that something is learned of every pair.
func (sc *Scheduler) wouldOverload(w *workerState, image string, milliCPU int64) bool {
	share := float64(milliCPU) / float64(max(1, w.capacity.MilliCPU))
	for serving := range w.servingTasksByImage {
		limit, seen := sc.shareLimits[imagePair{serving, image}]
		if !seen {
			if len(w.bestEffortShares) == 0 {
				continue
			}
			limit.share = defaultShareLimit
		}
		if sc.interferenceLoad(serving, w.bestEffortShares)+share/limit.share >= overload {
			return true
		}
	}
	return false
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

// learnInterference adjusts the share limits to the newest readings of a worker's runs, unless best-effort tasks are slowed
// down there. The limits matter on days when best-effort jobs have many tasks and serving tasks run on most workers.
func (sc *Scheduler) learnInterference(now time.Time, w *workerState) {
	runs := sc.runsInOrder(w)
	variance := settledReadingVariance
	if now.Sub(w.bestEffortEndedAt) <= settleTime || now.Sub(w.lastSlowedAt) <= settleTime {
		variance = unsettledReadingVariance
	}
	var sharesInUse imageShares
	for _, r := range runs {
		if !r.step.spec.BestEffort {
			continue
		}
		if r.phase != runRunning || now.Sub(r.orderedAt) <= settleTime {
			variance = unsettledReadingVariance
		}
		sharesInUse.add(r.step.spec.Image, r.reading/float64(max(1, w.capacity.MilliCPU)))
	}
	for _, r := range runs {
		target := r.step.spec.TargetMS
		if target <= 0 || r.phase != runRunning {
			continue
		}
		sc.countTargetReading(now, w, r)
		if w.pacePercent >= fullPacePercent {
			sc.learnFromReading(r.step.spec.Image, sharesInUse, r.reading/target, variance)
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

// adjustShareLimits adjusts the share limits of a serving image to one settled reading of its pressure, while
// best-effort images used the given shares of the worker's processors.
func (sc *Scheduler) adjustShareLimits(serving string, sharesInUse imageShares, pressure float64) {
	sc.learnFromReading(serving, sharesInUse, pressure, settledReadingVariance)
}

// learnFromReading adjusts the share limits of a serving image to one reading of its pressure with the given variance of its
// logarithm.
func (sc *Scheduler) learnFromReading(serving string, sharesInUse imageShares, pressure, variance float64) {
	if pressure <= 0 {
		return // no reading yet
	}
	expected := idleLogPressure
	for _, s := range sharesInUse {
		limit := sc.pairLimit(serving, s.image)
		expected += limit.rate() * s.share
		variance += limit.rateVariance * s.share * s.share
	}
	surprise := min(max(math.Log(pressure), minLogPressure), maxLogPressure) - expected
	for _, s := range sharesInUse {
		limit := sc.pairLimit(serving, s.image)
		gain := limit.rateVariance * s.share / variance
		rate := max(logPressureBudget/maxShareLimit, limit.rate()+gain*surprise)
		sc.shareLimits[imagePair{serving, s.image}] = pairLimit{
			share:        max(logPressureBudget/rate, minShareLimit),
			rateVariance: max(minRateVariance, limit.rateVariance*(1-gain*s.share)+rateDrift),
		}
	}
}

// mayOverload reports whether a waiting task of a best-effort step may start where serving tasks are expected to miss their
// targets. While hardly any do, it may after interferenceWait. Otherwise delaying the task costs its caller less than further
// missed targets cost the users of the serving tasks, so it waits; but a job without any run goes on with one task at a
// time, so that none waits for good.
func (sc *Scheduler) mayOverload(now time.Time, s *stepState, t *taskState) bool {
	waited := now.Sub(t.waitingSince)
	if sc.replaceMayOverload != nil {
		return sc.replaceMayOverload(waited)
	}
	if waited < interferenceWait {
		return false
	}
	return sc.missedTargets.share(now) < maxMissedShare || !sc.hasRuns(s.occurrence.job)
}
