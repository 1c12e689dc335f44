package worker

import "time"

// Parameters of the pacer. Pressure is a tail latency divided by its target.
const (
	// pacerMaxPressure is the highest pressure at which a serving task meets
	// its latency target.
	pacerMaxPressure = 1.0
	// A miss is over once the pressure has been at most pacerMaxPressure for
	// pacerCalmDelay, or at once at pacerClearPressure: readings are rough, and
	// one that is slightly too low says little while the target is just missed.
	pacerClearPressure = 0.9
	pacerCalmDelay     = time.Second
	// pacerStopDelay is how long the target must be missed before best-effort tasks
	// are stopped. It is short because the target must not be missed for 4 s
	// without a break, and a reading of the pressure is up to 0.9 s old when it
	// is acted on. The delay is not shorter because stopping best-effort tasks
	// earlier delays their work.
	pacerStopDelay = 2200 * time.Millisecond
	// pacerSettleTime is how long it takes until the pressure shows the effect of
	// stopping or resuming best-effort tasks: each reading covers the last 0.5 s.
	pacerSettleTime = 600 * time.Millisecond
	// pacerFullPercent is the speed of tasks that are not slowed down.
	pacerFullPercent = 100
)

// Pacer decides whether the best-effort tasks of one worker run or are stopped.
// Best-effort tasks use the capacity that the serving tasks beside them leave
// idle. They are stopped when a serving task misses its latency target for too
// long. The zero value lets them run.
type Pacer struct {
	stopped bool
	// changedAt is when stopped was last changed.
	changedAt time.Time
	// missedSince is since when the latency target has been missed without a
	// break; zero while it is met. calmSince is since when readings have met
	// it within a miss; zero if the last one did not.
	missedSince time.Time
	calmSince   time.Time
}

// PacePercent returns the current speed of best-effort tasks, as a percentage: 100 if
// they run, 0 if they are stopped.
func (p *Pacer) PacePercent() int {
	if p.stopped {
		return 0
	}
	return pacerFullPercent
}

// TargetMissedFor returns for how long the latency target has been missed without a
// break.
func (p *Pacer) TargetMissedFor(now time.Time) time.Duration {
	if p.missedSince.IsZero() {
		return 0
	}
	return now.Sub(p.missedSince)
}

// Decide takes the highest pressure among the serving tasks and returns the
// speed of best-effort tasks, as a percentage.
func (p *Pacer) Decide(now time.Time, pressure float64) int {
	p.track(now, pressure)
	switch missed := pressure > pacerMaxPressure; {
	case now.Sub(p.changedAt) < pacerSettleTime:
	case p.stopped && !missed:
		p.stopped, p.changedAt, p.missedSince = false, now, time.Time{}
	case !p.stopped && missed && p.TargetMissedFor(now) >= pacerStopDelay:
		p.stopped, p.changedAt = true, now
	}
	return p.PacePercent()
}

// track updates for how long the target has been missed.
func (p *Pacer) track(now time.Time, pressure float64) {
	switch {
	case pressure > pacerMaxPressure:
		p.calmSince = time.Time{}
		if p.missedSince.IsZero() {
			p.missedSince = now
		}
	case p.calmSince.IsZero():
		p.calmSince = now
	}
	if pressure <= pacerClearPressure || !p.calmSince.IsZero() && now.Sub(p.calmSince) >= pacerCalmDelay {
		p.missedSince = time.Time{}
	}
}
