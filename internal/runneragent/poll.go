package runneragent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// pollLoop polls the runner again and again, once the agent knows a dispatcher.
func (a *Agent) pollLoop(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		a.mu.Lock()
		known := a.term != 0
		wait := pollWait
		if a.runnerClockReadAt.IsZero() || a.reportedEmpty && a.conn != nil {
			wait = 0
		} else if a.colocated {
			wait = colocatedPollWait
		}
		a.mu.Unlock()
		if !known {
			clock.WaitForWake(ctx, a.wakePoll, retryDelay)
			continue
		}
		began := clock.Steady()
		err := a.poll(ctx, wait)
		if (err != nil) != failing {
			failing = err != nil
			a.log.Warn().Err(err).Bool("failing", failing).Msg("polling the runner began or ceased to fail")
		}
		if err != nil {
			clock.WaitForWake(ctx, nil, retryDelay)
		} else if gap := minPollInterval - clock.Steady().Sub(began); gap > 0 {
			clock.WaitForWake(ctx, nil, gap) // a poll returns at once while the runner has run ends that are not acknowledged
		}
	}
}

// poll renews the leases of all runs at the runner and applies its listing. The
// runner may delay its answer for up to wait, until a run ends.
func (a *Agent) poll(ctx context.Context, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	a.mu.Lock()
	now := clock.Steady()
	request := RenewRequest{Call: a.newCall()}
	if now.Before(a.sameLifeUntil) {
		// A restarted runner, perhaps with the same instance ID, numbers its run ends
		// and counts its clock from the beginning. Given the values of an earlier life, the
		// runner would forget run ends that were never reported, and the run leases would
		// exceed the worker lease.
		request.LastAckedEnd, request.LeaseEndMS, request.MaxWait = a.lastAckedEnd, a.runLeaseEndMS(now), wait
	}
	if request.LeaseEndMS > 0 {
		a.extendLastRunLeaseEnd(now)
	}
	a.mu.Unlock()
	l, err := a.runner.Renew(callCtx, request)
	if err != nil {
		a.handlePollFailure(now, err)
		return err
	}
	a.checkRenewal(now, clock.Steady(), &request, l)
	a.handleListing(ctx, l)
	return nil
}

// checkRenewal logs an answer to a renewal sent at sent that comes from another life than the renewal was meant for,
// or that was handled late.
func (a *Agent) checkRenewal(sent, now time.Time, r *RenewRequest, l *Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	took := now.Sub(sent)
	if l.StartedAtMS != a.life && (r.LastAckedEnd > 0 || r.LeaseEndMS > 0) {
		a.count("renewals-in-another-life")
		a.log.Warn().Uint64("life", a.life).Uint64("reached", l.StartedAtMS).Uint64("acked", r.LastAckedEnd).Int64("lease-end-ms", r.LeaseEndMS).
			Dur("took", took).Msg("renewal reached another life of the runner")
	}
	if took > r.MaxWait+sameLifeFor {
		a.count("listings-late")
		a.log.Info().Dur("took", took).Dur("wait", r.MaxWait).Int64("clock-ms", l.ClockMS).Int64("last-clock-ms", a.runnerClockMS).Msg("listing handled late")
	}
}

// extendLastRunLeaseEnd records that a call asks the runner for run leases up to the end of the
// worker lease. The caller holds mu.
func (a *Agent) extendLastRunLeaseEnd(now time.Time) {
	if end := now.Add(a.workerLease.Remaining(now)); end.After(a.lastRunLeaseEnd) {
		a.lastRunLeaseEnd = end
	}
}

// handlePollFailure handles the error of a poll that began at the given time. It reports an empty worker
// to the dispatcher once it is certain that nothing runs any more, unless the runner has answered another
// poll since then: it may be in its next life.
func (a *Agent) handlePollFailure(began time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sameLifeUntil = time.Time{}
	if a.reportedEmpty || a.conn == nil || a.runnerClockReadAt.After(began) || !a.allRunsEnded(err) {
		return
	}
	a.count("runners-lost")
	a.log.Warn().Err(err).Uint64("life", a.life).Msg("runner lost; its runs have ended")
	a.sendEmptyReport(clock.Steady(), emptyStateOf(err))
}

// allRunsEnded reports whether it is certain, after a poll that failed with err, that nothing
// runs: no runner listens, or the last run lease has expired. The caller holds mu.
func (a *Agent) allRunsEnded(err error) bool {
	return errors.Is(err, ErrNotListening) || clock.Steady().After(a.lastRunLeaseEnd.Add(leaseSlack))
}

// leaseSlack is added to the end of the last run lease before the lease counts as expired. It
// covers the time that a call takes to reach the runner.
const leaseSlack = 300 * time.Millisecond

// handleListing applies a listing and reports changes to the dispatcher. It reports a new life at once,
// with the starts that may still take effect in it as pending runs, and refuses each once it is fenced.
func (a *Agent) handleListing(ctx context.Context, l *Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Steady()
	if l.StartedAtMS != a.life {
		if l.StartedAtMS < a.life {
			return
		}
		a.beginLife(l.StartedAtMS)
		unresolved := a.collectUnresolvedStarts(now)
		a.applyListing(now, l)
		a.sendReport()
		for _, key := range unresolved {
			a.group.Go(func() { a.fence(ctx, l.StartedAtMS, key, "the start was sent to an earlier life of the runner") })
		}
		return
	}
	if l.ClockMS < a.runnerClockMS {
		return // a newer listing was applied before
	}
	a.applyListing(now, l)
	if a.reportedEmpty {
		a.endEmptyReport()
		return
	}
	a.sendNewEnds()
	a.setPaces(ctx, now)
}

// applyListing replaces the known state of the runner by a listing. The caller holds mu.
func (a *Agent) applyListing(now time.Time, l *Listing) {
	a.runnerClockMS, a.runnerClockReadAt = l.ClockMS, now
	a.sameLifeUntil = now.Add(sameLifeFor)
	a.logVanishedRuns(l)
	a.runs, a.moreEnds = l.Runs, l.MoreEnds
	a.runEnds = a.runEnds[:0]
	for _, e := range l.RunEnds {
		a.forgetStart(runKey{e.Task, e.Run})
		if e.Number > a.lastAckedEnd {
			a.runEnds = append(a.runEnds, e)
		}
	}
	for _, r := range l.Runs {
		if o := a.unlistedStarts[runKey{r.Task, r.Run}]; o != nil {
			a.guard.addTasks([]dispatch.GuardedTask{{Task: r.Task, TargetMS: o.TargetMS, Fills: o.Fills, Harm: o.Harm}})
			a.forgetStart(runKey{r.Task, r.Run})
		}
	}
}

// logVanishedRuns logs the runs of the last listing that l neither lists nor shows as ended: the runner has
// forgotten their ends. The caller holds mu.
func (a *Agent) logVanishedRuns(l *Listing) {
	if l.MoreEnds {
		return
	}
	listed := make(map[runKey]bool, len(l.Runs)+len(l.RunEnds))
	for i := range l.Runs {
		listed[runKey{l.Runs[i].Task, l.Runs[i].Run}] = true
	}
	for i := range l.RunEnds {
		listed[runKey{l.RunEnds[i].Task, l.RunEnds[i].Run}] = true
	}
	for i := range a.runs {
		if r := &a.runs[i]; !listed[runKey{r.Task, r.Run}] {
			a.count("runs-vanished")
			a.log.Warn().Str("task", r.Task.String()).Uint64("run", r.Run).Uint64("life", a.life).Uint64("acked", a.lastAckedEnd).Msg("runner forgot a run without listing its end")
		}
	}
}

// forgetStart drops what is kept of a start that the runner has listed or that never takes effect. The caller
// holds mu.
func (a *Agent) forgetStart(key runKey) {
	delete(a.unlistedStarts, key)
	delete(a.sentStarts, key)
}
