package worker

import "time"

// Limits of the pacer. Pressure is a tail latency divided by its target.
const (
	// pacerOver is the pressure above which filling tasks are slowed down.
	pacerOver = 1.0
	// pacerLow is the pressure below which they may work faster.
	pacerLow = 0.8
	// pacerPatience is how long a target is missed before filling tasks are
	// slowed down: loads swing within seconds, and the dispatcher moves what does
	// harm first. A target is never to be missed for four seconds on end.
	pacerPatience = 2100 * time.Millisecond
	// pacerSettle is how long a change takes to show: readings cover half a second.
	pacerSettle = 600 * time.Millisecond
	// pacerMemory is how long a percentage that was too much is not tried again.
	pacerMemory = 1500 * time.Millisecond
	// pacerFull is the percentage of tasks that are not slowed down.
	pacerFull = 100
)

// pacerSteps are the percentages at which filling tasks work.
var pacerSteps = [...]int{0, 30, pacerFull}

// Pacer decides how fast the filling tasks of one worker work, so that the
// serving tasks beside them stay below their targets. The zero value slows nothing.
type Pacer struct {
	// down counts steps below full speed.
	down    int
	changed time.Time
	// over is since when the target is missed.
	over time.Time
	// tooMuch is the step that was too much, until expires.
	tooMuch int
	expires time.Time
}

// Percent returns the present percentage.
func (p *Pacer) Percent() int { return pacerSteps[len(pacerSteps)-1-p.down] }

// OverFor returns how long the target has been missed on end.
func (p *Pacer) OverFor(now time.Time) time.Duration {
	if p.over.IsZero() {
		return 0
	}
	return now.Sub(p.over)
}

// Decide takes in the highest pressure among serving tasks and returns the
// percentage for filling tasks.
func (p *Pacer) Decide(now time.Time, pressure float64) int {
	last := len(pacerSteps) - 1
	if pressure <= pacerOver {
		p.over = time.Time{}
	} else if p.over.IsZero() {
		p.over = now
	}
	if now.Sub(p.changed) < pacerSettle {
		return p.Percent()
	}
	switch {
	case pressure > pacerOver:
		if now.Sub(p.over) >= pacerPatience {
			p.lower(now, last, last)
		}
	case pressure < pacerLow && p.down > 0:
		if step := last - p.down + 1; step != p.tooMuch || !now.Before(p.expires) {
			p.down--
			p.changed = now
		}
	}
	return p.Percent()
}

func (p *Pacer) lower(now time.Time, steps, last int) {
	if p.down == last {
		return
	}
	p.tooMuch, p.expires = last-p.down, now.Add(pacerMemory)
	p.down = min(last, p.down+steps)
	p.changed = now
}
