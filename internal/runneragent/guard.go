package runneragent

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// colocatedPollWait replaces pollWait while the worker runs both serving and best-effort
// tasks. It is shorter than the half a second that each latency reading covers.
const colocatedPollWait = 300 * time.Millisecond

// guard keeps the tail latency of serving tasks below their targets by limiting the
// pace of the best-effort tasks on the same worker. The pace of a run is the speed to which the
// runner limits it, in percent of full speed.
type guard struct {
	pacer worker.Pacer
	// targetMS are the targets for the tail latency of serving tasks, in milliseconds.
	targetMS map[workflow.TaskID]float64
	// pacePercents are the paces last set for best-effort runs, in percent. A run without an
	// element is new or works at full speed.
	pacePercents map[runKey]int
	// interference is how much each best-effort task is expected to slow down the serving
	// tasks of the worker, from 0 to 1.
	interference map[workflow.TaskID]float64
}

// addTasks records the latency targets of serving tasks and the expected interference of
// best-effort tasks.
func (g *guard) addTasks(tasks []dispatch.GuardedTask) {
	if g.targetMS == nil {
		g.targetMS = make(map[workflow.TaskID]float64)
		g.interference = make(map[workflow.TaskID]float64)
		g.pacePercents = make(map[runKey]int)
	}
	for _, t := range tasks {
		if t.TargetMS > 0 {
			g.targetMS[t.Task] = t.TargetMS
		}
		if t.Fills {
			g.interference[t.Task] = t.Harm
		}
	}
}

// selectiveThreshold is the expected interference from which a best-effort task is
// slowed down before others.
const selectiveThreshold = 0.35

// selectiveFor is how long a target may be missed while only the tasks with at least
// selectiveThreshold are slowed down. After that all best-effort tasks are, since no target may
// be missed for four seconds.
const selectiveFor = 2700 * time.Millisecond

// paceChange is a pace to set for a best-effort run, in percent of full speed.
type paceChange struct {
	key     runKey
	percent int
}

// decide returns which of the worker's runs need another pace. colocated is set if the runs
// include both serving and best-effort tasks.
func (g *guard) decide(now time.Time, runs []dispatch.RunStatus) (changes []paceChange, colocated bool) {
	pressure, serving := 0.0, 0
	var bestEffort []runKey
	for i := range runs {
		r := &runs[i]
		if target := g.targetMS[r.Task]; target > 0 {
			serving++
			pressure = max(pressure, r.Reading/target)
		}
		if _, ok := g.interference[r.Task]; ok {
			bestEffort = append(bestEffort, runKey{r.Task, r.Run})
		}
	}
	commonPercent := 100
	if serving > 0 && len(bestEffort) > 0 {
		commonPercent = g.pacer.Decide(now, pressure)
	} else if serving == 0 {
		g.pacer = worker.Pacer{}
	}
	// Tasks with high expected interference are slowed down first, and all best-effort tasks
	// if that does not help.
	selective := false
	for _, key := range bestEffort {
		selective = selective || g.interference[key.task] >= selectiveThreshold
	}
	selective = selective && g.pacer.TargetMissedFor(now) < selectiveFor
	kept := make(map[runKey]int, len(bestEffort))
	for _, key := range bestEffort {
		current, known := g.pacePercents[key]
		percent := commonPercent
		if selective && g.interference[key.task] < selectiveThreshold {
			percent = 100
		}
		if known {
			kept[key] = current
		}
		if known && current != percent || !known && percent != 100 {
			changes = append(changes, paceChange{key, percent})
		}
	}
	g.pacePercents = kept
	g.forgetEnded(runs)
	return changes, serving > 0 && len(bestEffort) > 0
}

// forgetEnded removes the tasks that no longer run, once the number of recorded tasks reaches
// maxTasks.
func (g *guard) forgetEnded(runs []dispatch.RunStatus) {
	const maxTasks = 256
	if len(g.targetMS)+len(g.interference) < maxTasks {
		return
	}
	running := make(map[workflow.TaskID]bool, len(runs))
	for i := range runs {
		running[runs[i].Task] = true
	}
	for t := range g.targetMS {
		if !running[t] {
			delete(g.targetMS, t)
		}
	}
	for t := range g.interference {
		if !running[t] {
			delete(g.interference, t)
		}
	}
}

// setPaces sets the paces of best-effort tasks that the guard decides on. The caller holds mu.
func (a *Agent) setPaces(ctx context.Context, now time.Time) {
	changes, colocated := a.guard.decide(now, a.runs)
	a.colocated = colocated
	c := a.newCall()
	for _, ch := range changes {
		a.guard.pacePercents[ch.key] = ch.percent
		a.count("paces")
		a.log.Info().Str("task", ch.key.task.String()).Uint64("run", ch.key.run).Int("percent", ch.percent).Msg("filling task paced")
		a.group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := a.trackCall(func() error { return a.runner.SetPace(callCtx, c, ch.key.task, ch.key.run, ch.percent) }); err != nil {
				a.log.Warn().Err(err).Str("task", ch.key.task.String()).Msg("setting the pace of a best-effort task failed")
				a.mu.Lock()
				if a.guard.pacePercents[ch.key] == ch.percent {
					a.guard.pacePercents[ch.key] = unknownPercent
				}
				a.mu.Unlock()
			}
		})
	}
}

// unknownPercent stands for the pace of a run after a failed call to set it, since the call
// may have taken effect. It differs from every wanted pace, so that the pace is set again.
const unknownPercent = -1
