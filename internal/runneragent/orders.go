package runneragent

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// handleOrders carries out the dispatcher's orders.
func (a *Agent) handleOrders(ctx context.Context, o *peer.Orders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Term != a.term {
		a.log.Warn().Uint64("term", o.Term).Uint64("newest", a.term).Msg("dropped orders of another term")
		return
	}
	now := clock.Steady()
	a.guard.addTasks(o.GuardedTasks)
	for i := range o.Starts {
		s := o.Starts[i]
		k := runKey{s.Task, s.Run}
		if s.Life != a.life {
			a.refuse(s.Life, k, errOtherLife)
			continue
		}
		until := a.runLeaseEndMS(now)
		if until == 0 || a.workerLease.Remaining(now) < minLeaseLeft {
			a.refuse(s.Life, k, errLeaseTooShort)
			continue
		}
		a.noteRunLeases(now)
		a.unlistedStarts[k] = &s
		c := a.newCall()
		a.group.Go(func() { a.startRun(ctx, c, &s, until) })
	}
	for _, q := range o.Questions {
		a.group.Go(func() { a.answerQuestion(ctx, &q) })
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

// refuse tells the dispatcher that an order is not carried out and never will be.
// The caller holds mu.
func (a *Agent) refuse(life uint64, k runKey, reason error) {
	delete(a.unlistedStarts, k)
	a.count("orders-refused")
	a.log.Info().Str("task", k.task.String()).Uint64("run", k.run).Str("reason", reason.Error()).Msg("order refused")
	if a.conn != nil {
		a.conn.Send(&peer.Message{OrderRefused: &peer.OrderRefused{Life: life, Task: k.task, Run: k.run, Reason: reason.Error(), TicketRejected: errors.Is(reason, ErrTicket)}})
	}
}

// startRun has the runner start a run, and makes sure that it never starts later if
// there is no answer and the next listing does not show it.
func (a *Agent) startRun(ctx context.Context, c Call, s *dispatch.Start, until int64) {
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
		a.addUnanswered(clock.Steady(), k)
		a.mu.Unlock()
		if a.pollForRun(ctx, k) {
			return
		}
		a.fence(ctx, s.Life, k, "the runner did not answer the start")
	}
}

// pollForRun polls the runner once and reports whether it lists a run as running or ended.
func (a *Agent) pollForRun(ctx context.Context, k runKey) bool {
	if err := a.poll(ctx, 0); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unlistedStarts[k] == nil
}

// fence stops a run, or makes sure that it never starts. If the runner does not list
// the run, there will be no run end, and the order is reported as refused.
func (a *Agent) fence(ctx context.Context, life uint64, k runKey, reason string) {
	for ctx.Err() == nil {
		a.mu.Lock()
		c, current := a.newCall(), a.life == life
		a.mu.Unlock()
		if !current {
			return // the report of the new life says what runs
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.runner.Stop(callCtx, c, k.task, k.run)
		cancel()
		if err == nil && a.poll(ctx, 0) == nil {
			break
		}
		clock.WaitForWake(ctx, nil, retryAfter)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != life || a.isListed(k) {
		return // its run end is reported once it is listed
	}
	a.refuse(life, k, errors.New(reason))
}

// isListed reports whether the latest listing shows run k as running, or as ended and
// not acknowledged. The caller holds mu.
func (a *Agent) isListed(k runKey) bool {
	for _, r := range a.runs {
		if r.Task == k.task && r.Run == k.run {
			return true
		}
	}
	for _, e := range a.runEnds {
		if e.Task == k.task && e.Run == k.run {
			return true
		}
	}
	return false
}

// unresolvedStarts returns the starts that have not appeared in a listing and may
// take effect in the present life of the runner, which may have the same instance
// name as the one they were sent to. This includes starts that were answered, since
// either life may have answered them. The caller holds mu.
func (a *Agent) unresolvedStarts(now time.Time) []runKey {
	var out []runKey
	for k := range a.unlistedStarts {
		delete(a.unlistedStarts, k)
		out = append(out, k)
	}
	for k, until := range a.unansweredStarts {
		if now.Before(until) {
			out = append(out, k)
		}
	}
	return out
}

// addUnanswered records a start without an answer, and removes those that are too
// old to take effect. The caller holds mu.
func (a *Agent) addUnanswered(now time.Time, k runKey) {
	maps.DeleteFunc(a.unansweredStarts, func(_ runKey, until time.Time) bool { return !now.Before(until) })
	a.unansweredStarts[k] = now.Add(maxStartDelay)
}

// fenceAndReport makes sure that starts never take effect in a life of the runner,
// and reports this life to the dispatcher only then.
func (a *Agent) fenceAndReport(ctx context.Context, life uint64, starts []runKey) {
	for _, k := range starts {
		if !a.fenceStart(ctx, life, k) {
			return // the runner has restarted again
		}
	}
	for a.poll(ctx, 0) != nil {
		if !clock.WaitForWake(ctx, nil, retryAfter) {
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life == life {
		a.log.Info().Uint64("life", life).Int("starts", len(starts)).Msg("fenced starts that were sent to an earlier life of the runner")
		a.sendReport()
	}
}

// fenceStart makes sure that a run never starts in a life of the runner. It reports
// false if that life is over or ctx has ended.
func (a *Agent) fenceStart(ctx context.Context, life uint64, k runKey) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		c, current := a.newCall(), a.life == life
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
		clock.WaitForWake(ctx, nil, retryAfter)
	}
	return false
}
