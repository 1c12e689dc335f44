package attendant

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// take carries the dispatcher's orders out.
func (a *Attendant) take(ctx context.Context, o *peer.Orders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Term != a.term {
		a.log.Warn().Uint64("term", o.Term).Uint64("newest", a.term).Msg("orders of another term are dropped")
		return
	}
	now := clock.Steady()
	a.guard.learn(o.Guarded)
	for i := range o.Starts {
		s := o.Starts[i]
		k := runKey{s.Task, s.Run}
		if s.Life != a.life {
			a.refuse(s.Life, k, errOtherLife)
			continue
		}
		until := a.until(now)
		if until == 0 || a.grant.Left(now) < shortestGrant {
			a.refuse(s.Life, k, errNoGrant)
			continue
		}
		a.asked(now)
		a.orders[k] = &s
		c := a.call()
		a.group.Go(func() { a.start(ctx, c, &s, until) })
	}
	for _, q := range o.Questions {
		a.group.Go(func() { a.ask(ctx, &q) })
	}
	for i := range o.Stops {
		s := o.Stops[i]
		if s.Life != a.life {
			a.refuse(s.Life, runKey{s.Task, s.Run}, errOtherLife)
			continue
		}
		a.group.Go(func() { a.fence(ctx, s.Life, runKey{s.Task, s.Run}, s.Reason) })
	}
}

// refuse tells the dispatcher that an order never runs. The caller holds mu.
func (a *Attendant) refuse(life uint64, k runKey, reason error) {
	delete(a.orders, k)
	a.count("orders-refused")
	a.log.Info().Str("task", k.task.String()).Uint64("run", k.run).Str("reason", reason.Error()).Msg("order refused")
	if a.conn != nil {
		a.conn.Send(&peer.Message{Refused: &peer.Refused{Life: life, Task: k.task, Run: k.run, Reason: reason.Error(), Ticket: errors.Is(reason, ErrTicket)}})
	}
}

// start orders the runner to start a task.
func (a *Attendant) start(ctx context.Context, c Call, s *dispatch.Start, until int64) {
	k := runKey{s.Task, s.Run}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.runner.Start(callCtx, c, s, until)
	switch {
	case err == nil:
		a.count("starts")
	case errors.Is(err, ErrNotRun):
		a.mu.Lock()
		a.refuse(s.Life, k, err)
		a.mu.Unlock()
	default:
		a.count("starts-unanswered")
		a.log.Warn().Err(err).Str("task", k.task.String()).Uint64("run", k.run).Msg("start not answered")
		a.mu.Lock()
		a.noteLate(clock.Steady(), k)
		a.mu.Unlock()
		if a.awaitListed(ctx, k) {
			return
		}
		a.fence(ctx, s.Life, k, "its start was not answered")
	}
}

// awaitListed looks at the runner once and reports whether it lists a run, or has ended it.
func (a *Attendant) awaitListed(ctx context.Context, k runKey) bool {
	if err := a.lookOnce(ctx, 0); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orders[k] == nil
}

// fence stops a run, or makes sure that it never starts, and tells the
// dispatcher if there is nothing to end.
func (a *Attendant) fence(ctx context.Context, life uint64, k runKey, reason string) {
	for ctx.Err() == nil {
		a.mu.Lock()
		c, current := a.call(), a.life == life
		a.mu.Unlock()
		if !current {
			return // the new life's report settles it
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.runner.Stop(callCtx, c, k.task, k.run)
		cancel()
		if err == nil && a.lookOnce(ctx, 0) == nil {
			break
		}
		clock.Pause(ctx, nil, retryAfter)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != life || a.lists(k) {
		return // the end is reported once it is listed
	}
	a.refuse(life, k, errors.New(reason))
}

// lists reports whether the runner runs k, or has ended it and not forgotten. The caller holds mu.
func (a *Attendant) lists(k runKey) bool {
	for _, r := range a.rows {
		if r.Task == k.task && r.Run == k.run {
			return true
		}
	}
	for _, e := range a.ends {
		if e.Task == k.task && e.Run == k.run {
			return true
		}
	}
	return false
}

// strays returns the starts that no listing has shown and that may take effect
// in the present life, which may have the same name as the one they were sent
// to. Those that were answered count: either life may have answered. The caller
// holds mu.
func (a *Attendant) strays(now time.Time) []runKey {
	var out []runKey
	for k := range a.orders {
		delete(a.orders, k)
		out = append(out, k)
	}
	for k, until := range a.late {
		if now.Before(until) {
			out = append(out, k)
		}
	}
	return out
}

// noteLate notes a start without an answer and forgets those that are too old
// to take effect. The caller holds mu.
func (a *Attendant) noteLate(now time.Time, k runKey) {
	maps.DeleteFunc(a.late, func(_ runKey, until time.Time) bool { return !now.Before(until) })
	a.late[k] = now.Add(latestEffect)
}

// settle makes sure that strays never run in a life, and reports it only then.
func (a *Attendant) settle(ctx context.Context, life uint64, strays []runKey) {
	for _, k := range strays {
		if !a.stopStray(ctx, life, k) {
			return // another life has begun
		}
	}
	for a.lookOnce(ctx, 0) != nil {
		if !clock.Pause(ctx, nil, retryAfter) {
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life == life {
		a.log.Info().Uint64("life", life).Int("starts", len(strays)).Msg("starts sent to the runner's earlier life are fenced")
		a.tellAll()
	}
}

// stopStray makes sure that a run never starts in a life; false if that life is over.
func (a *Attendant) stopStray(ctx context.Context, life uint64, k runKey) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		c, current := a.call(), a.life == life
		a.mu.Unlock()
		if !current {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.runner.Stop(callCtx, c, k.task, k.run)
		cancel()
		if err == nil {
			return true
		}
		clock.Pause(ctx, nil, retryAfter)
	}
	return false
}
