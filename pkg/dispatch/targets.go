package dispatch

import "time"

const (
	// missedShareWindow is the time over which the share of missed targets is measured.
	missedShareWindow = time.Second
	// maxMissedShare is the share of the readings of serving tasks over their targets from which best-effort tasks wait for
	// room without interference however long. A missed target costs the users of a serving task four times what
	// an absent task does: at this share they lose a fifth.
	maxMissedShare = 0.05
)

// missedTargets measures the share of recent readings of serving tasks that are over their targets beside best-effort
// tasks. The zero value has no readings.
type missedTargets struct {
	began         time.Time
	now, previous readingCount
}

// readingCount counts readings, and those over the target.
type readingCount struct{ all, missed int }

// add counts a reading.
func (m *missedTargets) add(now time.Time, missed bool) {
	m.advance(now)
	m.now.all++
	if missed {
		m.now.missed++
	}
}

// share returns the share of the readings of the present and the previous window that are over their targets.
func (m *missedTargets) share(now time.Time) float64 {
	m.advance(now)
	return float64(m.now.missed+m.previous.missed) / float64(max(1, m.now.all+m.previous.all))
}

// advance begins a new window once the present one is over. Windows begin at whole multiples of their length, so that what
// is measured does not depend on when it is asked for.
func (m *missedTargets) advance(now time.Time) {
	began := now.Truncate(missedShareWindow)
	switch age := began.Sub(m.began); {
	case age <= 0:
		return
	case age == missedShareWindow:
		m.previous = m.now
	default:
		m.previous = readingCount{}
	}
	m.now, m.began = readingCount{}, began
}

// TargetReadings counts the readings of serving tasks, and those over the target by what ran beside the task.
type TargetReadings struct {
	// All is the number of readings, and Missed that of those over the target.
	All, Missed int
	// Of the missed ones, Alone had no best-effort task on their worker, and Stopped only ones that the worker
	// slows down or has stopped: the reading lags, or the service is slow by itself. Expected had best-effort
	// tasks beside them that were expected to cause a miss, by the learned limits, and Unexpected
	// ones that were not.
	Alone, Stopped, Expected, Unexpected int
}

// TakeTargetReadings returns the counts since the last call.
func (sc *Scheduler) TakeTargetReadings() TargetReadings {
	out := sc.targetReadings
	sc.targetReadings = TargetReadings{}
	return out
}

// countTargetReading counts a reading of a serving task, before limits are adjusted to it.
func (sc *Scheduler) countTargetReading(now time.Time, w *workerState, r *run) {
	c := &sc.targetReadings
	c.All++
	sc.missedTargets.add(now, r.reading > r.step.spec.TargetMS && len(w.bestEffortShares) > 0)
	if r.reading <= r.step.spec.TargetMS {
		return
	}
	c.Missed++
	switch {
	case len(w.bestEffortShares) == 0:
		c.Alone++
	case w.pacePercent < fullPacePercent:
		c.Stopped++
	case sc.interferenceLoad(r.step.spec.Image, w.bestEffortShares) >= overload:
		c.Expected++
	default:
		c.Unexpected++
	}
}
