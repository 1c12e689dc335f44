package agent

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/platform"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// workerClock relates the agent's clock to the worker's: at or before read the
// worker's clock showed uptime.
type workerClock struct {
	read   time.Time
	uptime time.Duration
}

// at returns a moment on the worker's clock that is not after t.
func (c workerClock) at(t time.Time) time.Duration {
	ahead := float64(t.Sub(c.read))
	return c.uptime + time.Duration(ahead*(1-lease.MaxDrift))
}

// tasks is what the agent remembers about its worker's tasks.
type tasks struct {
	// fresh is when the newest reading that left a task in place began.
	fresh map[record.Hold]time.Time
	// refused orders are never started; they are reported until settled.
	refused map[record.Hold]string
	// noStartBefore is the earliest beginning of a reading that may start a
	// task: an older one may not show the end of a task that is listed no more.
	noStartBefore time.Time
	incarnation   string
}

func (t *tasks) reports(listing *platform.Listing) []link.TaskReport {
	out := make([]link.TaskReport, 0, len(listing.Tasks)+len(t.refused))
	for i := range listing.Tasks {
		task := &listing.Tasks[i]
		out = append(out, link.TaskReport{Hold: task.Hold(), State: reportState(task.State), Ref: task.Ref, Detail: task.Detail})
	}
	for hold, reason := range t.refused {
		out = append(out, link.TaskReport{Hold: hold, State: link.TaskStopped, Detail: reason})
	}
	return out
}

func reportState(s platform.TaskState) link.TaskState {
	switch s {
	case platform.TaskSucceeded:
		return link.TaskSucceeded
	case platform.TaskFailed:
		return link.TaskFailed
	case platform.TaskStopped:
		return link.TaskStopped
	default:
		return link.TaskRuns
	}
}

// observe brings the ledger in line with the worker's own list, asked for at asked.
func (a *Agent) observe(asked time.Time, listing *platform.Listing) {
	if a.tasks.fresh == nil {
		a.tasks.fresh = make(map[record.Hold]time.Time)
		a.tasks.refused = make(map[record.Hold]string)
	}
	if a.tasks.incarnation != listing.Incarnation {
		a.tasks.incarnation = listing.Incarnation
		a.tasks.noStartBefore = time.Now()
	}
	listed := make(map[record.Hold]bool, len(listing.Tasks))
	grants := make([]worker.Grant, 0, len(listing.Tasks))
	for i := range listing.Tasks {
		t := &listing.Tasks[i]
		listed[t.Hold()] = true
		if !t.State.Ended() {
			grants = append(grants, worker.NewGrant(taskKey(t.Hold()), t.Size))
		}
	}
	for hold := range a.tasks.fresh {
		if !listed[hold] {
			delete(a.tasks.fresh, hold)
			a.tasks.noStartBefore = time.Now()
		}
	}
	a.ledger.Rebuild(listing.Total, grants, asked)
}

// follow does what one entry's reading asks for.
func (a *Agent) follow(ctx context.Context, clock workerClock, o answer) {
	stopped := make(map[record.Hold]bool, len(o.reading.Stop))
	for _, s := range o.reading.Stop {
		stopped[s.Hold] = true
		a.stop(ctx, s)
	}
	for hold, fresh := range a.tasks.fresh {
		if hold.Epoch < o.reading.Next && !stopped[hold] && o.began.After(fresh) {
			a.tasks.fresh[hold] = o.began
		}
	}
	for i := range o.reading.Start {
		a.start(ctx, clock, &o.reading.Start[i], o.began)
	}
}

func (a *Agent) stop(ctx context.Context, s link.Stop) {
	key := taskKey(s.Hold)
	delete(a.tasks.fresh, s.Hold)
	if s.Settled {
		delete(a.tasks.refused, s.Hold)
	} else if _, err := a.worker.Checkpoint(ctx, key); err != nil {
		a.log.Warn().Err(err).Str("task", key).Msg("checkpoint before a stop failed")
	}
	if err := a.worker.Stop(ctx, key); err != nil {
		return
	}
	a.ledger.Release(key)
	a.log.Info().Str("decision", "stop-task").Str("task", key).Bool("settled", s.Settled).Msg("")
	if s.Settled && a.worker.Remove(ctx, key) == nil {
		a.tasks.noStartBefore = time.Now()
	}
}

func (a *Agent) start(ctx context.Context, clock workerClock, o *link.Order, began time.Time) {
	key := taskKey(o.Hold)
	if _, ok := a.tasks.fresh[o.Hold]; ok {
		return
	}
	if _, ok := a.tasks.refused[o.Hold]; ok {
		return
	}
	if !began.After(a.tasks.noStartBefore) || !a.ledger.Ready() {
		return
	}
	if reason := a.refusal(o, key); reason != "" {
		a.tasks.refused[o.Hold] = reason
		a.log.Info().Str("decision", "refuse-task").Str("task", key).Str("reason", reason).Msg("")
		return
	}
	terms := lease.New(time.Duration(o.Spec.TakeoverMS) * time.Millisecond)
	order := platform.StartOrder{
		WorkerTask: platform.WorkerTask{
			Job: o.Hold.Task.Job, Index: o.Hold.Task.Index, Epoch: uint64(o.Hold.Epoch), Size: o.Spec.Size, Ref: o.Checkpoint,
			UntilMS: clock.at(terms.HoldAt(began)).Milliseconds(), TakeoverMS: o.Spec.TakeoverMS, Class: o.Spec.Class,
		},
		Payload: o.Spec.Payload,
	}
	if err := a.worker.Start(ctx, order); err != nil {
		// The start may have taken effect: the next listing shows it.
		a.log.Warn().Err(err).Str("task", key).Msg("start failed")
		return
	}
	a.ledger.Confirm(time.Now(), key)
	a.guard.decide.Started(time.Now(), key)
	a.tasks.fresh[o.Hold] = began
	a.log.Info().Str("decision", "start-task").Str("task", key).Str("from", o.Checkpoint).Msg("")
}

// refusal returns why an order is not followed, or "".
func (a *Agent) refusal(o *link.Order, key string) string {
	if o.Started {
		return "the worker has lost the task"
	}
	a.mu.Lock()
	leaving := a.leaving
	a.mu.Unlock()
	if leaving {
		return "the worker is leaving"
	}
	if err := a.ledger.Admit(time.Now(), key, o.Spec.Size); err != nil {
		return err.Error()
	}
	return ""
}

// renew extends each task's lease as far as the newest reading allows.
func (a *Agent) renew(ctx context.Context, clock workerClock, listing *platform.Listing) {
	var out []platform.Renewal
	for i := range listing.Tasks {
		t := &listing.Tasks[i]
		hold := t.Hold()
		if t.State.Ended() {
			delete(a.tasks.fresh, hold)
			continue
		}
		fresh, ok := a.tasks.fresh[hold]
		if !ok {
			a.tasks.fresh[hold] = time.Time{}
			continue
		}
		if fresh.IsZero() {
			continue
		}
		terms := lease.New(time.Duration(t.TakeoverMS) * time.Millisecond)
		until := clock.at(terms.HoldAt(fresh)).Milliseconds()
		out = append(out, platform.Renewal{Key: taskKey(hold), UntilMS: until})
	}
	if len(out) == 0 {
		return
	}
	if err := a.worker.Renew(ctx, out); err != nil {
		a.log.Warn().Err(err).Msg("renewing leases failed")
	}
}
