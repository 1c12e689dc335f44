package coordinator

import "time"

// backlogLogInterval is how often the kinds of work that wait without room are logged.
const backlogLogInterval = 2 * time.Second

// logBacklogs counts what the scheduler expected and what came to be, and logs the work that waits without room, if that is due.
// The caller holds mu.
func (c *Coordinator) logBacklogs(now time.Time, t *term) {
	for _, w := range t.scheduler.TakeWaits() {
		c.observeLatency("expected-wait", now.Add(-w.Expected), now)
		c.observeLatency("actual-wait", now.Add(-w.Actual), now)
	}
	c.count("jobs-past-use", t.scheduler.TakePastUse())
	if now.Sub(t.backlogsLoggedAt) < backlogLogInterval {
		return
	}
	t.backlogsLoggedAt = now
	backlogs := t.scheduler.Backlogs(now)
	c.gauge("kinds-without-room", int64(len(backlogs)))
	for i := range backlogs {
		b := &backlogs[i]
		c.log.Info().Str("service", b.Service).Int("priority", b.Priority).Bool("best-effort", b.BestEffort).Int64("ahead-ms", b.AheadMS).
			Int64("in-time-ms", b.InTime.AllMS).Int64("late-ms", b.Late.AllMS).Int64("milli-cpu", b.MilliCPU).Uint64("term", t.number).Msg("work waits without room")
	}
}
