package agent

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// guardInterval is the shortest time between two decisions of the guard.
const guardInterval = time.Second

// guard keeps the batch tasks on the worker from raising the latency of the service that runs
// beside them.
type guard struct {
	// latencies is guarded by Agent.mu, the other fields by Agent.tasksMu.
	latencies      worker.LatencyWindow
	policy         worker.Guard
	lastDecisionAt time.Time
	// pressure is the service's tail latency divided by its latency objective.
	pressure float64
	// classUses is the resource use of the worker's running tasks by class.
	classUses []link.ClassUse
}

// noteLatency records the latency of an attempt that has ended, for the pressure of the service;
// mu is held. Attempts of a class whose expected service time is the latency objective or more do
// not count.
func (a *Agent) noteLatency(now time.Time, att *activeAttempt) {
	s, ok := a.service()
	if !ok {
		return
	}
	if c, ok := s.Class(att.ticket.Class()); ok && c.ExpectedServiceTime < s.LatencyObjective {
		a.guard.latencies.Add(now, now.Sub(att.arrivedAt))
	}
}

// runGuard makes the guard's decisions about the running tasks and carries them out; tasksMu is
// held.
func (a *Agent) runGuard(ctx context.Context, now time.Time, listing *services.TaskList) {
	if now.Sub(a.guard.lastDecisionAt) < guardInterval {
		return
	}
	a.guard.lastDecisionAt = now
	usage, err := a.worker.Usage(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("reading the worker's usage failed")
	}
	reading := a.serviceReading(now)
	a.guard.pressure = reading.Pressure
	a.guard.classUses = sumClassUses(listing, &usage)
	gometrics.GetOrRegisterGaugeFloat64("guard-pressure", a.registry).Update(reading.Pressure)
	for _, action := range a.guard.policy.Decide(now, &reading, a.guardTasks(listing)) {
		a.applyGuardAction(ctx, now, &action)
	}
}

// serviceReading returns the service's pressure and load.
func (a *Agent) serviceReading(now time.Time) worker.ServiceReading {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := worker.ServiceReading{Service: a.settings.Service}
	s, ok := a.service()
	if !ok {
		return r
	}
	r.Load = min(float64(a.load().InFlight)/float64(s.Slots), 1)
	if tail, ok := a.guard.latencies.TailLatency(now); ok {
		r.Pressure = float64(tail) / float64(s.LatencyObjective.Std())
	}
	return r
}

// guardTasks returns the running tasks of a listing in the form that the guard's policy takes.
func (a *Agent) guardTasks(listing *services.TaskList) []worker.GuardTask {
	a.mu.Lock()
	document := a.chain.Document()
	a.mu.Unlock()
	var out []worker.GuardTask
	for i := range listing.Tasks {
		t := &listing.Tasks[i]
		if t.State != services.TaskRunning {
			continue
		}
		g := worker.GuardTask{Key: taskKey(t.Assignment()), Class: t.Class, Share: t.Size.DominantShare(worker.Resources{MilliCPU: listing.Total.MilliCPU})}
		if document != nil {
			if class, ok := document.BatchClass(t.Class); ok {
				g.Urgent = class.Urgent
			}
		}
		out = append(out, g)
	}
	return out
}

// sumClassUses sums, by class, the resources granted to running tasks and those they use.
func sumClassUses(listing *services.TaskList, usage *services.Usage) []link.ClassUse {
	var out []link.ClassUse
	index := make(map[string]int)
	for i := range listing.Tasks {
		t := &listing.Tasks[i]
		used, ok := usage.Tasks[taskKey(t.Assignment())]
		if !ok || t.State != services.TaskRunning {
			continue
		}
		k, ok := index[t.Class]
		if !ok {
			k = len(out)
			index[t.Class] = k
			out = append(out, link.ClassUse{Class: t.Class})
		}
		out[k].Granted = out[k].Granted.Plus(t.Size)
		out[k].Used = out[k].Used.Plus(used)
	}
	return out
}

// applyGuardAction carries out one decision of the guard.
func (a *Agent) applyGuardAction(ctx context.Context, now time.Time, action *worker.Action) {
	key := action.Key()
	var err error
	switch action.Kind() {
	case worker.ActionThrottle:
		err = a.worker.Throttle(ctx, key, action.CPUPercent())
	case worker.ActionCheckpoint:
		_, err = a.worker.Checkpoint(ctx, key)
	case worker.ActionMove:
		err = a.moveTask(ctx, key)
	}
	if err != nil {
		a.guard.policy.ForgetTask(key)
		a.log.Warn().Err(err).Str("decision", action.Kind().String()).Str("task", key).Msg("call to the worker failed")
		return
	}
	gometrics.GetOrRegisterCounter("guard-"+action.Kind().String(), a.registry).Inc(1)
	if action.Kind() == worker.ActionCheckpoint {
		a.guard.policy.CheckpointSaved(now, key)
	}
	a.log.Info().Str("decision", action.Kind().String()).Str("task", key).Int("percent", action.CPUPercent()).
		Str("reason", action.Reason()).Float64("pressure", a.guard.pressure).Msg("")
}

// moveTask saves a checkpoint of a task and stops the task. The next listing of the worker's tasks
// shows the task as stopped, which the agent reports to the entries, and the task continues on
// another worker.
func (a *Agent) moveTask(ctx context.Context, key string) error {
	if _, err := a.worker.Checkpoint(ctx, key); err != nil {
		return err
	}
	return a.worker.Stop(ctx, key)
}
