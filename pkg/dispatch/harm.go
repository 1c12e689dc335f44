package dispatch

import (
	"math"
	"time"
)

// Limits of what is learned about filling tasks beside serving ones. What is
// known of a pair of images is a log-odds that the one harms the other.
const (
	// unknownOdds stands for a pair that has not been seen together: of the pairs
	// of a site, about one in five does harm (journal, standard days).
	unknownOdds = -1.3
	// calmOdds is what a calm reading adds: harmful pairs are calm a third of the time.
	calmOdds = -0.5
	// pressedOdds is what a missed target adds, shared by the images that may be to blame.
	pressedOdds = 1.5
	// mostOdds bounds what is known, so that it can change.
	mostOdds = 4.0
	// overPressure and calmPressure bound the readings that say something: the
	// tail latency as part of its target.
	overPressure = 1.1
	calmPressure = 1.0
	// harmful is the harm from which filling tasks are moved away.
	harmful = 0.5
	// actingMilliCPU is the processor time from which a filling task disturbs.
	actingMilliCPU = 200
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

// harmBeside returns how much a filling image is expected to harm the serving
// tasks of a worker, from 0 to 1.
func (b *Board) harmBeside(image string, h *host) float64 {
	worst := 0.0
	for serving := range h.servingImages {
		worst = max(worst, b.harmOf(serving, image))
	}
	return worst
}

func (b *Board) oddsOf(serving, filling string) float64 {
	if v, ok := b.harm[pair{serving, filling}]; ok {
		return v
	}
	return unknownOdds
}

func (b *Board) harmOf(serving, filling string) float64 {
	return 1 / (1 + math.Exp(-b.oddsOf(serving, filling)))
}

// learnHarm takes in the readings of a worker. It answers days on which filling
// work is wide and serving tasks are on most workers: few pairs of images do harm.
func (b *Board) learnHarm(now time.Time, h *host) {
	filling := make(map[string]bool)
	for _, r := range h.runs {
		if r.step.spec.Fills && r.phase == runWorking && r.reading >= actingMilliCPU && now.Sub(r.since) > settleFor {
			filling[r.step.spec.Image] = true
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
			b.learnPair(r.step.spec.Image, filling, pressure) // else what ended may be to blame
		}
	}
	h.pressure = worst
	if worst <= overPressure {
		h.pressedSince = time.Time{}
	} else if h.pressedSince.IsZero() {
		h.pressedSince = now
	}
}

// learnPair takes in one reading of a serving image beside filling ones.
func (b *Board) learnPair(serving string, filling map[string]bool, pressure float64) {
	if len(filling) == 0 || pressure > calmPressure && pressure <= overPressure {
		return
	}
	total := 0.0
	for f := range filling {
		total += b.harmOf(serving, f)
	}
	for f := range filling {
		v := b.oddsOf(serving, f)
		if pressure <= calmPressure {
			v += calmOdds
		} else {
			v += pressedOdds * b.harmOf(serving, f) / total
		}
		b.harm[pair{serving, f}] = min(max(v, -mostOdds), mostOdds)
	}
}

// moveFilling stops filling tasks that harm serving ones beside them; they go on
// from their checkpoints elsewhere.
func (b *Board) moveFilling(now time.Time) {
	for _, h := range b.workers {
		if h.pressedSince.IsZero() || now.Sub(h.pressedSince) < pressedFor || now.Sub(h.movedAt) < movedGap || h.silent || h.lapsed {
			continue
		}
		if image, found := b.worstImage(now, h); found {
			for _, r := range h.runs {
				if t := &r.step.tasks[r.id.Index]; r.movable(now) && r.step.spec.Image == image && t.moves < mostMoves && b.harmless(now, r.step, b.queues[r.step.occ.job.sub.Queue], h) {
					h.movedAt = now
					t.avoid = h.name
					t.moves++
					b.stop(now, r, "it harms tasks that serve beside it")
				}
			}
		}
	}
}

// harmless reports whether a worker other than one may run a filling step where
// it does no harm, though it may have no room now.
func (b *Board) harmless(now time.Time, s *stepState, q Queue, except *host) bool {
	for _, h := range b.workers {
		if h != except && b.allowed(now, s, q, h) && b.harmBeside(s.spec.Image, h) < harmful {
			return true
		}
	}
	return false
}

// movable reports whether a filling run loses little by being moved.
func (r *run) movable(now time.Time) bool {
	return r.step.spec.Fills && r.step.spec.Saves && r.phase == runWorking && now.Sub(r.since) >= movableAfter
}

// worstImage returns the image of filling tasks at a worker that does the most harm.
func (b *Board) worstImage(now time.Time, h *host) (string, bool) {
	image, worst := "", harmful
	for _, r := range h.runs {
		if !r.movable(now) {
			continue
		}
		if v := b.harmBeside(r.step.spec.Image, h); v > worst || v == worst && image != "" && r.step.spec.Image < image {
			image, worst = r.step.spec.Image, v
		}
	}
	return image, image != ""
}
