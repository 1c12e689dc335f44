package attendant

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// paceWait is how long one look waits while tasks are paced: readings cover half a second.
const paceWait = 300 * time.Millisecond

// guard keeps tasks that serve below their targets by pacing those that fill.
type guard struct {
	pacer worker.Pacer
	// targets are the tail latencies, in milliseconds, of tasks that serve.
	targets map[workflow.TaskID]float64
	// percents are what filling runs were last paced to; a run without one works at full speed or is not known.
	percents map[runKey]int
	// fills holds the harm expected of filling tasks.
	fills map[workflow.TaskID]float64
}

// learn notes what the dispatcher says of tasks.
func (g *guard) learn(tasks []dispatch.Guarded) {
	if g.targets == nil {
		g.targets = make(map[workflow.TaskID]float64)
		g.fills = make(map[workflow.TaskID]float64)
		g.percents = make(map[runKey]int)
	}
	for _, t := range tasks {
		if t.TargetMS > 0 {
			g.targets[t.Task] = t.TargetMS
		}
		if t.Fills {
			g.fills[t.Task] = t.Harm
		}
	}
}

// blame is the expected harm from which a filling task is paced before others.
const blame = 0.35

// blameFor is how long pacing those that are blamed is given to help, well within four seconds.
const blameFor = 2700 * time.Millisecond

// change is one run to pace.
type change struct {
	key     runKey
	percent int
}

// decide returns which runs should be paced otherwise, given what runs now, and
// whether serving and filling tasks run side by side.
func (g *guard) decide(now time.Time, rows []dispatch.Row) (changes []change, beside bool) {
	pressure, serving := 0.0, 0
	var filling []runKey
	for i := range rows {
		r := &rows[i]
		if target := g.targets[r.Task]; target > 0 {
			serving++
			pressure = max(pressure, r.Reading/target)
		}
		if _, ok := g.fills[r.Task]; ok {
			filling = append(filling, runKey{r.Task, r.Run})
		}
	}
	percent := 100
	if serving > 0 && len(filling) > 0 {
		percent = g.pacer.Decide(now, pressure)
	} else if serving == 0 {
		g.pacer = worker.Pacer{}
	}
	// Those that are expected to do harm are paced first, all of them if that does not help.
	blamed := false
	for _, k := range filling {
		blamed = blamed || g.fills[k.task] >= blame
	}
	blamed = blamed && g.pacer.OverFor(now) < blameFor
	kept := make(map[runKey]int, len(filling))
	for _, k := range filling {
		have, known := g.percents[k]
		percent := percent
		if blamed && g.fills[k.task] < blame {
			percent = 100
		}
		if known {
			kept[k] = have
		}
		if known && have != percent || !known && percent != 100 {
			changes = append(changes, change{k, percent})
		}
	}
	g.percents = kept
	g.forget(rows)
	return changes, serving > 0 && len(filling) > 0
}

// forget drops what is known of tasks that no longer run once they outnumber those that do.
func (g *guard) forget(rows []dispatch.Row) {
	const most = 256
	if len(g.targets)+len(g.fills) < most {
		return
	}
	runs := make(map[workflow.TaskID]bool, len(rows))
	for i := range rows {
		runs[rows[i].Task] = true
	}
	for t := range g.targets {
		if !runs[t] {
			delete(g.targets, t)
		}
	}
	for t := range g.fills {
		if !runs[t] {
			delete(g.fills, t)
		}
	}
}

// pace slows filling tasks down while a task that serves is near its target. The caller holds mu.
func (a *Attendant) pace(ctx context.Context, now time.Time) {
	changes, beside := a.guard.decide(now, a.rows)
	a.beside = beside
	c := a.call()
	for _, ch := range changes {
		a.guard.percents[ch.key] = ch.percent
		a.count("paces")
		a.log.Info().Str("task", ch.key.task.String()).Uint64("run", ch.key.run).Int("percent", ch.percent).Msg("filling task paced")
		a.group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := a.runner.Pace(callCtx, c, ch.key.task, ch.key.run, ch.percent); err != nil {
				a.log.Warn().Err(err).Str("task", ch.key.task.String()).Msg("pacing failed")
				a.mu.Lock()
				if a.guard.percents[ch.key] == ch.percent {
					a.guard.percents[ch.key] = unknownPercent
				}
				a.mu.Unlock()
			}
		})
	}
}

// unknownPercent stands for a pace that may or may not have been taken; it is set again.
const unknownPercent = -1
