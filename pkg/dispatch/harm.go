package dispatch

import (
	"math"
	"sort"
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
	// calmLoad is the load to which a pressed worker is brought by moves.
	calmLoad = 0.8
	// pressedFor is how long a target is missed before filling tasks are moved.
	pressedFor = 1200 * time.Millisecond
	// settleFor is how long a change takes to show: readings cover half a second.
	settleFor = 700 * time.Millisecond
	// movableAfter is how long a filling task runs before it is moved: a checkpoint
	// is kept for each second of work.
	movableAfter = 1200 * time.Millisecond
	// mostMoves bounds how often a task is moved: each costs it up to a second of work.
	mostMoves = 3
	// movedGap is how long a move takes to show in the readings.
	movedGap = 900 * time.Millisecond
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
	worst := 0.0
	for _, r := range h.runs {
		target := r.step.spec.TargetMS
		if target <= 0 || r.phase != runWorking {
			continue
		}
		pressure := r.reading / target
		worst = max(worst, pressure)
		if pressure <= calmPressure || now.Sub(h.fillEnded) > settleFor {
			b.learnPair(r.step.spec.Image, using, pressure) // else what ended may be to blame
		}
	}
	if worst <= overPressure {
		h.pressedSince = time.Time{}
	} else if h.pressedSince.IsZero() {
		h.pressedSince = now
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

// moveFilling stops filling tasks that harm serving ones beside them, as many as
// it takes; they go on from their checkpoints elsewhere.
func (b *Board) moveFilling(now time.Time) {
	for _, h := range b.workers {
		if h.pressedSince.IsZero() || now.Sub(h.pressedSince) < pressedFor || now.Sub(h.movedAt) < movedGap || h.silent || h.lapsed {
			continue
		}
		for _, r := range b.culprits(now, h) {
			if b.loadWith(h, "", 0) <= calmLoad {
				break
			}
			t := &r.step.tasks[r.id.Index]
			t.avoid = h.name
			t.moves++
			h.movedAt = now
			b.stop(now, r, "it harms tasks that serve beside it")
			h.fill(r, -1)
		}
	}
}

// culprits returns the filling runs of a worker that may be moved to where they
// do no harm, those of the most harmful images first.
func (b *Board) culprits(now time.Time, h *host) []*run {
	var out []*run
	for _, r := range h.runs {
		s := r.step
		if s.spec.Fills && s.spec.Saves && r.phase == runWorking && now.Sub(r.since) >= movableAfter && s.tasks[r.id.Index].moves < mostMoves &&
			b.harmless(now, s, b.queues[s.occ.job.sub.Queue], h) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		x, y := b.blameOf(h, out[i].step.spec.Image), b.blameOf(h, out[j].step.spec.Image)
		if x != y {
			return x > y
		}
		return out[i].id.String() < out[j].id.String()
	})
	return out
}

// harmless reports whether a worker other than one may run a filling step where
// it does no harm, though it may have no room now.
func (b *Board) harmless(now time.Time, s *stepState, q Queue, except *host) bool {
	for _, h := range b.workers {
		if h != except && b.allowed(now, s, q, h) && b.loadWith(h, s.spec.Image, s.spec.Size.MilliCPU) < harmful {
			return true
		}
	}
	return false
}
