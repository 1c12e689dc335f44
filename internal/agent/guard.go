package agent

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// guardEvery is how often the guard looks at the service and the tasks.
const guardEvery = time.Second

// guard protects the service beside the worker from the batch tasks on it.
type guard struct {
	// tail is guarded by Agent.mu, the rest by Agent.tasksMu.
	tail     worker.LatencyWindow
	decide   worker.Guard
	looked   time.Time
	pressure float64
	uses     []link.ClassUse
}

// noteLatency takes in how long a request took; mu is held. Requests of
// classes that are expected to take longer than the objective do not count.
func (a *Agent) noteLatency(now time.Time, f *flight) {
	s, ok := a.service()
	if !ok {
		return
	}
	if c, ok := s.Class(f.ticket.Class()); ok && c.ExpectedServiceTime < s.LatencyObjective {
		a.guard.tail.Add(now, now.Sub(f.arrived))
	}
}

// protect lets the guard decide about the tasks that run and does what it
// asks for; tasksMu is held.
func (a *Agent) protect(ctx context.Context, now time.Time, listing *services.Listing) {
	if now.Sub(a.guard.looked) < guardEvery {
		return
	}
	a.guard.looked = now
	usage, err := a.worker.Usage(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("reading the worker's usage failed")
	}
	reading := a.reading(now)
	a.guard.pressure = reading.Pressure
	a.guard.uses = usesOf(listing, &usage)
	gometrics.GetOrRegisterGaugeFloat64("guard-pressure", a.registry).Update(reading.Pressure)
	for _, action := range a.guard.decide.Decide(now, &reading, a.guardTasks(listing)) {
		a.restrain(ctx, now, &action)
	}
}

// reading returns the pressure on the service and its load.
func (a *Agent) reading(now time.Time) worker.ServiceReading {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := worker.ServiceReading{Service: a.settings.Service}
	s, ok := a.service()
	if !ok {
		return r
	}
	r.Load = min(float64(a.load().InFlight)/float64(s.Slots), 1)
	if tail, ok := a.guard.tail.TailLatency(now); ok {
		r.Pressure = float64(tail) / float64(s.LatencyObjective.Std())
	}
	return r
}

func (a *Agent) guardTasks(listing *services.Listing) []worker.GuardTask {
	a.mu.Lock()
	document := a.chain.Document()
	a.mu.Unlock()
	var out []worker.GuardTask
	for i := range listing.Tasks {
		t := &listing.Tasks[i]
		if t.State != services.TaskRunning {
			continue
		}
		g := worker.GuardTask{Key: taskKey(t.Hold()), Class: t.Class, Share: t.Size.DominantShare(worker.Resources{MilliCPU: listing.Total.MilliCPU})}
		if document != nil {
			if class, ok := document.BatchClass(t.Class); ok {
				g.Urgent = class.Urgent
			}
		}
		out = append(out, g)
	}
	return out
}

// usesOf sums up by class what running tasks were granted and use.
func usesOf(listing *services.Listing, usage *services.Usage) []link.ClassUse {
	var out []link.ClassUse
	index := make(map[string]int)
	for i := range listing.Tasks {
		t := &listing.Tasks[i]
		used, ok := usage.Tasks[taskKey(t.Hold())]
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

// restrain does what the guard asks for.
func (a *Agent) restrain(ctx context.Context, now time.Time, action *worker.Action) {
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
		a.guard.decide.ForgetTask(key)
		a.log.Warn().Err(err).Str("decision", action.Kind().String()).Str("task", key).Msg("the worker did not follow")
		return
	}
	gometrics.GetOrRegisterCounter("guard-"+action.Kind().String(), a.registry).Inc(1)
	if action.Kind() == worker.ActionCheckpoint {
		a.guard.decide.CheckpointSaved(now, key)
	}
	a.log.Info().Str("decision", action.Kind().String()).Str("task", key).Int("percent", action.CPUPercent()).
		Str("reason", action.Reason()).Float64("pressure", a.guard.pressure).Msg("")
}

// moveTask stops a task at a fresh checkpoint. The next listing shows it as
// stopped, which is reported and lets it go on elsewhere.
func (a *Agent) moveTask(ctx context.Context, key string) error {
	if _, err := a.worker.Checkpoint(ctx, key); err != nil {
		return err
	}
	return a.worker.Stop(ctx, key)
}
