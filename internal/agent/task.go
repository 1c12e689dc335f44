package agent

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// listingOf returns the worker's listing in the form that decisions need.
func listingOf(l *services.Listing) *lease.Listing {
	out := &lease.Listing{
		Incarnation: l.Incarnation,
		Uptime:      time.Duration(l.UptimeMS) * time.Millisecond,
		Total:       l.Total,
		Tasks:       make([]lease.Task, len(l.Tasks)),
	}
	for i := range l.Tasks {
		t := &l.Tasks[i]
		out.Tasks[i] = lease.Task{
			Hold: t.Hold(), Size: t.Size, State: stateOf(t.State), Ref: t.Ref, Detail: t.Detail,
			Until: time.Duration(t.UntilMS) * time.Millisecond, Terms: lease.TermsFromMS(t.TakeoverMS),
		}
	}
	return out
}

func stateOf(s services.TaskState) lease.State {
	switch s {
	case services.TaskSucceeded:
		return lease.Succeeded
	case services.TaskFailed:
		return lease.Failed
	case services.TaskStopped:
		return lease.Stopped
	default:
		return lease.Running
	}
}

// follow takes in the entries' answers and does what they call for.
func (a *Agent) follow(ctx context.Context, answers []answer) {
	a.mu.Lock()
	leaving := a.leaving
	a.mu.Unlock()
	for _, o := range answers {
		for _, d := range a.holder.Apply(time.Now(), &o.reading.Lease, leaving) {
			a.log.Info().Str("decision", d.Name()).Str("task", d.Assignment().String()).Str("entry", o.entry).Str("reason", d.Reason()).Msg("")
		}
	}
	a.act(ctx, a.holder.Actions())
}

// act calls the worker. A call that fails is repeated in the next round, unless
// the listing then shows that it took effect.
func (a *Agent) act(ctx context.Context, actions []lease.Action) {
	var renewals []services.Renewal
	for _, c := range actions {
		if c.Kind() == lease.ActionRenew {
			renewals = append(renewals, services.Renewal{Key: taskKey(c.Assignment()), UntilMS: c.LeaseEnd().Milliseconds()})
			continue
		}
		if err := a.actOn(ctx, &c); err != nil {
			a.log.Warn().Err(err).Str("task", taskKey(c.Assignment())).Str("call", c.Kind().String()).Msg("call to the worker failed")
		}
	}
	if len(renewals) == 0 {
		return
	}
	if err := a.worker.Renew(ctx, renewals); err != nil {
		a.log.Warn().Err(err).Msg("renewing leases failed")
	}
}

func (a *Agent) actOn(ctx context.Context, c *lease.Action) error {
	key := taskKey(c.Assignment())
	switch c.Kind() {
	case lease.ActionStart:
		if err := a.worker.Start(ctx, startOrder(c)); err != nil {
			return err
		}
		a.guard.decide.TaskStarted(time.Now(), key)
		return nil
	case lease.ActionCheckpoint:
		_, err := a.worker.Checkpoint(ctx, key)
		return err
	case lease.ActionCheckpointStop:
		if _, err := a.worker.Checkpoint(ctx, key); err != nil {
			a.log.Warn().Err(err).Str("task", key).Msg("checkpoint before a stop failed")
		}
		return a.stopTask(ctx, key)
	case lease.ActionStop:
		return a.stopTask(ctx, key)
	case lease.ActionRemove:
		return a.worker.Remove(ctx, key)
	}
	return nil
}

func (a *Agent) stopTask(ctx context.Context, key string) error {
	a.log.Info().Str("decision", "stop-task").Str("task", key).Str("reason", "the log says so").Msg("")
	return a.worker.Stop(ctx, key)
}

func startOrder(c *lease.Action) services.StartOrder {
	o := c.Order()
	return services.StartOrder{
		WorkerTask: services.WorkerTask{
			Job: o.Hold.Task.Job, Index: o.Hold.Task.Index, Epoch: uint64(o.Hold.Epoch), Size: o.Spec.Size, Ref: o.Checkpoint,
			UntilMS: c.LeaseEnd().Milliseconds(), TakeoverMS: o.Spec.TakeoverMS, Class: o.Spec.Class,
		},
		Payload: o.Spec.Payload,
	}
}

// taskKey names a task under one epoch on the worker.
func taskKey(h record.AssignmentID) string { return services.TaskKey(h) }
