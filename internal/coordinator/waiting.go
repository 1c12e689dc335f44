package coordinator

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

const (
	// waitingLogInterval is how often long-running tasks that wait are logged and counted.
	waitingLogInterval = time.Second
	// minLoggedWait is how long a long-running task has to have no run to be logged.
	minLoggedWait = 2 * time.Second
	// maxWaitingLines bounds the log lines at a time; all tasks are counted.
	maxWaitingLines = 5
)

// logHealth logs changes of the health of workers.
func (c *Coordinator) logHealth(now time.Time, t *term) {
	for _, h := range t.scheduler.TakeHealthChanges() {
		l := c.log.Info().Str("worker", h.Worker).Bool("suspect", h.Suspect).Bool("probed", h.Probed).Str("how", h.Outcome.String())
		if h.Suspect {
			l = l.Strs("failed-jobs", h.FailedJobs).Dur("probe-in", h.NextProbe.Sub(now))
		}
		l.Msg("health of a worker changed")
	}
}

// logWaiting logs which long-running tasks have had no run for some time, and why no worker gets them,
// if that is due. The caller holds mu.
func (c *Coordinator) logWaiting(now time.Time, t *term) {
	if now.Sub(t.waitingLoggedAt) < waitingLogInterval {
		return
	}
	t.waitingLoggedAt = now
	c.gauge("suspicious-tasks", int64(t.scheduler.SuspiciousTasks()))
	c.gauge("workers-suspect", int64(t.scheduler.SuspectWorkers()))
	tasks := 0
	for i, w := range t.scheduler.WaitingSteps(now, minLoggedWait) {
		tasks += w.Tasks()
		if i >= maxWaitingLines {
			continue
		}
		c.log.Warn().Str("step", w.Step().String()).Int("tasks", w.Tasks()).Dur("longest", w.Longest()).Bool("held", w.Held()).
			Int("usable", w.Excluded(dispatch.ExclusionNone)).Int("full", w.Excluded(dispatch.ExclusionFull)).
			Int("probe-pending", w.Excluded(dispatch.ExclusionProbePending)).Int("under-probe", w.Excluded(dispatch.ExclusionUnderProbe)).
			Int("held-for-others", w.Excluded(dispatch.ExclusionHeld)).
			Int("evacuated", w.Excluded(dispatch.ExclusionEvacuated)).
			Int("silent", w.Excluded(dispatch.ExclusionSilent)).Int("no-runner", w.Excluded(dispatch.ExclusionNoRunner)).
			Int("draining", w.Excluded(dispatch.ExclusionDraining)).Int("policy", w.Excluded(dispatch.ExclusionPolicy)).
			Uint64("term", t.number).Msg("long-running tasks wait for a worker")
	}
	c.gauge("long-running-waiting", int64(tasks))
}
