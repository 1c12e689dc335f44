package worker

import "time"

// Limits of the pacer. Pressure is a tail latency divided by its target.
const (
	// pacerOver is the pressure above which a target is missed.
	pacerOver = 1.0
	// pacerPatience is how long a target is missed before filling tasks are
	// stopped: it must not be missed for four seconds on end, and a reading is up
	// to 0.9 s old when it is acted on. Work that is slowed down earlier is late.
	pacerPatience = 2200 * time.Millisecond
	// pacerSettle is how long a change takes to show: readings cover half a second.
	pacerSettle = 600 * time.Millisecond
	// pacerFull is the percentage of tasks that are not slowed down.
	pacerFull = 100
)

// Pacer decides whether the filling tasks of one worker work, so that no
// serving task beside them misses its target for long. The zero value lets them work.
type Pacer struct {
	stopped bool
	changed time.Time
	// over is since when the target is missed.
	over time.Time
}

// Percent returns the present percentage.
func (p *Pacer) Percent() int {
	if p.stopped {
		return 0
	}
	return pacerFull
}

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
	if pressure <= pacerOver {
		p.over = time.Time{}
	} else if p.over.IsZero() {
		p.over = now
	}
	switch {
	case now.Sub(p.changed) < pacerSettle:
	case p.stopped && pressure <= pacerOver, !p.stopped && p.OverFor(now) >= pacerPatience:
		p.stopped = !p.stopped
		p.changed = now
	}
	return p.Percent()
}
