package agent

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// leaseListing converts the worker's listing of tasks to the form that the lease holder takes.
func leaseListing(l *services.TaskList) *lease.Listing {
	out := &lease.Listing{
		Incarnation: l.Incarnation,
		Uptime:      time.Duration(l.UptimeMS) * time.Millisecond,
		Total:       l.Total,
		Tasks:       make([]lease.Task, len(l.Tasks)),
	}
	for i := range l.Tasks {
		t := &l.Tasks[i]
		out.Tasks[i] = lease.Task{
			Hold: t.Assignment(), Size: t.Size, State: leaseState(t.State), Ref: t.CheckpointRef, Detail: t.Detail,
			Until: time.Duration(t.LeaseEndMS) * time.Millisecond, Terms: lease.TermsFromMS(t.TakeoverMS),
		}
	}
	return out
}

func leaseState(s services.TaskState) lease.State {
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

// applyReplies applies the log readings in the entries' replies to the lease holder and carries
// out the actions on tasks that the holder then requires.
func (a *Agent) applyReplies(ctx context.Context, replies []entryReply) {
	a.mu.Lock()
	draining := a.draining
	a.mu.Unlock()
	for _, o := range replies {
		for _, d := range a.holder.Apply(time.Now(), &o.reply.LogReading, draining) {
			a.log.Info().Str("decision", d.Name()).Str("task", d.Assignment().String()).Str("entry", o.entry).Str("reason", d.Reason()).Msg("")
		}
	}
	a.runActions(ctx, a.holder.Actions())
}

// runActions calls the worker for each action. A call that fails is repeated in the next round,
// unless the listing of that round shows that the call took effect.
func (a *Agent) runActions(ctx context.Context, actions []lease.Action) {
	var renewals []services.LeaseRenewal
	for _, c := range actions {
		if c.Kind() == lease.ActionRenew {
			renewals = append(renewals, services.LeaseRenewal{Key: taskKey(c.Assignment()), LeaseEndMS: c.LeaseEnd().Milliseconds()})
			continue
		}
		if err := a.runAction(ctx, &c); err != nil {
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

func (a *Agent) runAction(ctx context.Context, c *lease.Action) error {
	key := taskKey(c.Assignment())
	switch c.Kind() {
	case lease.ActionStart:
		if err := a.worker.Start(ctx, newStartOrder(c)); err != nil {
			return err
		}
		a.guard.policy.TaskStarted(time.Now(), key)
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
	a.log.Info().Str("decision", "stop-task").Str("task", key).Str("reason", "the log requires it").Msg("")
	return a.worker.Stop(ctx, key)
}

func newStartOrder(c *lease.Action) services.StartOrder {
	o := c.Order()
	return services.StartOrder{
		WorkerTask: services.WorkerTask{
			Job: o.Hold.Task.Job, Index: o.Hold.Task.Index, Epoch: uint64(o.Hold.Epoch), Size: o.Spec.Size, CheckpointRef: o.Checkpoint,
			LeaseEndMS: c.LeaseEnd().Milliseconds(), TakeoverMS: o.Spec.TakeoverMS, Class: o.Spec.Class,
		},
		Payload: o.Spec.Payload,
	}
}

// taskKey returns the worker's key of a task, which includes its epoch.
func taskKey(h record.AssignmentID) string { return services.TaskKey(h) }
