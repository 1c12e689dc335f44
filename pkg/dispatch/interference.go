package dispatch

import (
	"math"
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
	// shareLimitGrowth is by which fraction one reading that meets its target raises the limits
	// of the images in use, if the interference load was at its limit.
	shareLimitGrowth = 0.12
	// missReduction and maxReduction determine by which fraction one missed target lowers the
	// limits.
	missReduction = 0.25
	maxReduction  = 0.6
	// minMeaningfulLoad is the interference load from which a reading that meets its target is
	// used.
	minMeaningfulLoad = 0.5
	// Readings with a pressure between metPressure and missedPressure are ignored. The pressure
	// is the tail latency divided by its target.
	missedPressure = 1.1
	metPressure    = 1.0
	// overload is the interference load from which the serving tasks of a worker are expected
	// to miss their targets.
	overload = 1.0
	// settleTime is how long a change takes to show in the readings, which cover half a second.
	settleTime = 700 * time.Millisecond
)

// imagePair names the images of a serving and of a best-effort task.
type imagePair struct{ serving, bestEffort string }

func (sc *Scheduler) shareLimit(serving, bestEffort string) float64 {
	if limit, ok := sc.shareLimits[imagePair{serving, bestEffort}]; ok {
		return limit
	}
	return defaultShareLimit
}

// interferenceLoad returns how much of what a serving image tolerates is used by best-effort
// images; it is expected to miss its target from 1 on.
func (sc *Scheduler) interferenceLoad(serving string, shares map[string]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += share / sc.shareLimit(serving, image)
	}
	return sum
}

// interferenceLoadWith returns the highest interference load of a worker's serving images if
// one more best-effort task ran there.
func (sc *Scheduler) interferenceLoadWith(w *workerState, image string, milliCPU int64) float64 {
	worst, share := 0.0, float64(milliCPU)/float64(max(1, w.capacity.MilliCPU))
	for serving := range w.servingTasksByImage {
		worst = max(worst, sc.interferenceLoad(serving, w.bestEffortShares)+share/sc.shareLimit(serving, image))
	}
	return worst
}

// imageInterference returns the interference load that one best-effort image causes at a worker,
// from 0 to 1.
func (sc *Scheduler) imageInterference(w *workerState, image string) float64 {
	worst := 0.0
	for serving := range w.servingTasksByImage {
		worst = max(worst, w.bestEffortShares[image]/sc.shareLimit(serving, image))
	}
	return min(1, worst)
}

// learnInterference adjusts the share limits to the readings of a worker. It matters on days
// when best-effort jobs have many tasks and serving tasks run on most workers.
func (sc *Scheduler) learnInterference(now time.Time, w *workerState) {
	sharesInUse := make(map[string]float64)
	for _, r := range w.runs {
		if r.step.spec.BestEffort && r.phase == runRunning && now.Sub(r.orderedAt) > settleTime {
			sharesInUse[r.step.spec.Image] += r.reading / float64(max(1, w.capacity.MilliCPU))
		}
	}
	for _, r := range w.runs {
		target := r.step.spec.TargetMS
		if target <= 0 || r.phase != runRunning {
			continue
		}
		pressure := r.reading / target
		if pressure <= metPressure || now.Sub(w.bestEffortEndedAt) > settleTime {
			sc.adjustShareLimits(r.step.spec.Image, sharesInUse, pressure) // otherwise a best-effort run that has just ended may be the cause
		}
	}
}

// adjustShareLimits adjusts the share limits of a serving image to one reading next to
// best-effort images.
func (sc *Scheduler) adjustShareLimits(serving string, sharesInUse map[string]float64, pressure float64) {
	load := sc.interferenceLoad(serving, sharesInUse)
	if load <= 0 || pressure > metPressure && pressure <= missedPressure {
		return
	}
	for image, share := range sharesInUse {
		limit := sc.shareLimit(serving, image)
		contribution := share / limit / load
		if pressure > missedPressure {
			limit *= 1 - min(maxReduction, missReduction*(1+math.Log(pressure)))*contribution
		} else if load > minMeaningfulLoad {
			limit *= 1 + shareLimitGrowth*contribution
		}
		sc.shareLimits[imagePair{serving, image}] = min(max(limit, minShareLimit), maxShareLimit)
	}
}

// runsWithoutInterference reports whether there is a worker that could run a best-effort step
// without interference, though it may have no room now.
func (sc *Scheduler) runsWithoutInterference(now time.Time, s *stepState, q Queue) bool {
	for _, w := range sc.workers {
		if sc.allowed(now, s, q, w) && sc.interferenceLoadWith(w, s.spec.Image, s.spec.Size.MilliCPU) < overload {
			return true
		}
	}
	return false
}
