package dispatch

import "time"

// Limits of what is learned about filling tasks beside serving ones.
const (
	// unknownHarm stands for a pair of images that has not been seen together.
	unknownHarm = 0.4
	// blameRate and calmRate are how far one reading moves the harm of a pair.
	blameRate = 0.35
	calmRate  = 0.12
	// overPressure and calmPressure bound the readings that say something: the
	// tail latency as part of its target.
	overPressure = 1.1
	calmPressure = 1.0
	// harmful is the harm from which filling tasks are moved away.
	harmful = 0.5
	// actingMilliCPU is the processor time from which a filling task disturbs.
	actingMilliCPU = 100
	// pressedFor is how long a target is missed before filling tasks are moved.
	pressedFor = 1500 * time.Millisecond
	// settleFor is how long a filling task runs before readings tell about it: they cover half a second.
	settleFor = 600 * time.Millisecond
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

func (b *Board) harmOf(serving, filling string) float64 {
	if v, ok := b.harm[pair{serving, filling}]; ok {
		return v
	}
	return unknownHarm
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
		b.learnPair(r.step.spec.Image, filling, pressure)
	}
	h.pressure = worst
	if worst <= overPressure {
		h.pressedSince = time.Time{}
	} else if h.pressedSince.IsZero() {
		h.pressedSince = now
	}
}

func (b *Board) learnPair(serving string, filling map[string]bool, pressure float64) {
	if len(filling) == 0 || pressure > calmPressure && pressure <= overPressure {
		return
	}
	total := 0.0
	for f := range filling {
		total += b.harmOf(serving, f)
	}
	for f := range filling {
		v := b.harmOf(serving, f)
		if pressure <= calmPressure {
			v -= v * calmRate
		} else {
			v += (1 - v) * blameRate * v / max(total, 1e-9)
		}
		b.harm[pair{serving, f}] = v
	}
}

// moveFilling stops filling tasks that harm serving ones beside them; they go on
// from their checkpoints elsewhere.
func (b *Board) moveFilling(now time.Time) {
	for _, h := range b.workers {
		if h.pressedSince.IsZero() || now.Sub(h.pressedSince) < pressedFor || now.Sub(h.movedAt) < movedGap || h.silent || h.lapsed {
			continue
		}
		if image, found := b.worstImage(h); found {
			h.movedAt = now
			for _, r := range h.runs {
				if r.step.spec.Fills && r.step.spec.Saves && r.step.spec.Image == image && r.phase == runWorking {
					r.step.tasks[r.id.Index].avoid = h.name
					b.stop(now, r, "it harms tasks that serve beside it")
				}
			}
		}
	}
}

// worstImage returns the image of filling tasks at a worker that does the most harm.
func (b *Board) worstImage(h *host) (string, bool) {
	image, worst := "", harmful
	for _, r := range h.runs {
		if !r.step.spec.Fills || !r.step.spec.Saves || r.phase != runWorking {
			continue
		}
		if v := b.harmBeside(r.step.spec.Image, h); v > worst || v == worst && image != "" && r.step.spec.Image < image {
			image, worst = r.step.spec.Image, v
		}
	}
	return image, image != ""
}
