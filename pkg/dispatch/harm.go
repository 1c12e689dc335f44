package dispatch

import (
	"math"
	"time"
)

// Limits of what is learned about filling tasks beside serving ones. For each
// pair of images the board keeps the share of a worker's processors that the
// filling image may use before the serving one misses its target.
const (
	// unknownShare stands for a pair that has not been seen together: on the
	// standard days half of the pairs do harm from a quarter of the processors on.
	unknownShare = 0.25
	// leastShare and mostShare bound what is learned.
	leastShare = 0.02
	mostShare  = 4.0
	// calmGrowth is how far one calm reading raises the shares that were in use,
	// for a load that was taken for the limit.
	calmGrowth = 0.12
	// missCut and mostCut bound how far one missed target lowers them.
	missCut = 0.25
	mostCut = 0.6
	// tellingLoad is the load from which a calm reading says something.
	tellingLoad = 0.5
	// overPressure and calmPressure bound the readings that say something: the
	// tail latency as part of its target.
	overPressure = 1.1
	calmPressure = 1.0
	// harmful is the load from which a worker's serving tasks are expected to miss their targets.
	harmful = 1.0
	// settleFor is how long a change takes to show: readings cover half a second.
	settleFor = 700 * time.Millisecond
)

// pair names the images of a serving and of a filling task.
type pair struct{ serving, filling string }

func (b *Board) shareOf(serving, filling string) float64 {
	if v, ok := b.shares[pair{serving, filling}]; ok {
		return v
	}
	return unknownShare
}

// load returns how much of what a serving image bears is used by filling ones;
// targets are expected to be missed from 1 on.
func (b *Board) load(serving string, shares map[string]float64) float64 {
	sum := 0.0
	for f, share := range shares {
		sum += share / b.shareOf(serving, f)
	}
	return sum
}

// loadWith returns the highest load of a worker's serving images with a further
// filling task.
func (b *Board) loadWith(h *host, image string, size int64) float64 {
	worst, share := 0.0, float64(size)/float64(max(1, h.capacity.MilliCPU))
	for serving := range h.servingImages {
		worst = max(worst, b.load(serving, h.fillShares)+share/b.shareOf(serving, image))
	}
	return worst
}

// blameOf returns how much of a worker's load is due to one filling image, from 0 to 1.
func (b *Board) blameOf(h *host, image string) float64 {
	worst := 0.0
	for serving := range h.servingImages {
		worst = max(worst, h.fillShares[image]/b.shareOf(serving, image))
	}
	return min(1, worst)
}

// learnHarm takes in the readings of a worker. It answers days on which filling
// work is wide and serving tasks are on most workers.
func (b *Board) learnHarm(now time.Time, h *host) {
	using := make(map[string]float64)
	for _, r := range h.runs {
		if r.step.spec.Fills && r.phase == runWorking && now.Sub(r.since) > settleFor {
			using[r.step.spec.Image] += r.reading / float64(max(1, h.capacity.MilliCPU))
		}
	}
	for _, r := range h.runs {
		target := r.step.spec.TargetMS
		if target <= 0 || r.phase != runWorking {
			continue
		}
		pressure := r.reading / target
		if pressure <= calmPressure || now.Sub(h.fillEnded) > settleFor {
			b.learnPair(r.step.spec.Image, using, pressure) // else what ended may be to blame
		}
	}
}

// learnPair takes in one reading of a serving image beside filling ones.
func (b *Board) learnPair(serving string, using map[string]float64, pressure float64) {
	load := b.load(serving, using)
	if load <= 0 || pressure > calmPressure && pressure <= overPressure {
		return
	}
	for f, share := range using {
		v := b.shareOf(serving, f)
		part := share / v / load
		if pressure > overPressure {
			v *= 1 - min(mostCut, missCut*(1+math.Log(pressure)))*part
		} else if load > tellingLoad {
			v *= 1 + calmGrowth*part
		}
		b.shares[pair{serving, f}] = min(max(v, leastShare), mostShare)
	}
}

// harmless reports whether a worker may run a filling step where it does no
// harm, though it may have no room now.
func (b *Board) harmless(now time.Time, s *stepState, q Queue) bool {
	for _, h := range b.workers {
		if b.allowed(now, s, q, h) && b.loadWith(h, s.spec.Image, s.spec.Size.MilliCPU) < harmful {
			return true
		}
	}
	return false
}
