package coordinator

import "time"

// targetsLogInterval is how often the readings of serving tasks are logged and counted.
const targetsLogInterval = 5 * time.Second

// logTargets logs how many readings of serving tasks were over their targets, and beside what, if that is due.
// The caller holds mu.
func (c *Coordinator) logTargets(now time.Time, t *term) {
	if now.Sub(t.targetsLoggedAt) < targetsLogInterval {
		return
	}
	t.targetsLoggedAt = now
	r := t.scheduler.TakeTargetReadings()
	if r.All == 0 {
		return
	}
	c.count("target-readings", r.All)
	c.count("target-misses", r.Missed)
	c.log.Info().Int("readings", r.All).Int("missed", r.Missed).Int("alone", r.Alone).Int("stopped", r.Stopped).
		Int("expected", r.Expected).Int("unexpected", r.Unexpected).Uint64("term", t.number).Msg("latency targets of serving tasks")
}
