package runneragent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// pollAnnouncedLives polls the runner whenever a heartbeat announces a new life, although a poll of the earlier life may
// still wait for its answer: starts that may take effect in the new life are fenced once that has been listed.
func (a *Agent) pollAnnouncedLives(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.announced:
		}
		if err := a.poll(ctx, 0); err != nil {
			a.log.Info().Err(err).Msg("polling an announced life of the runner failed; the poll loop goes on")
		}
	}
}

// pollLoop polls the runner again and again, once the agent knows a dispatcher.
func (a *Agent) pollLoop(ctx context.Context) {
	a.group.Go(func() { a.pollAnnouncedLives(ctx) })
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
	number := a.beginCall()
	sent, request := a.newRenewal(wait)
	l, err := a.renew(ctx, request)
	if errors.Is(err, ErrNotSent) {
		sent, request = a.newPlainRenewal()
		l, err = a.renew(ctx, request)
	}
	if err != nil {
		a.endFailedCall(number, sent, err)
		a.handlePollFailure(ctx, sent, err)
		return err
	}
	a.checkRenewal(sent, clock.Steady(), &request, l)
	a.noteGrantedLease(&request, l)
	a.awaitEarlierPolls(ctx, number, l)
	a.handleListing(ctx, sent, l)
	a.endAnsweredCall(number)
	return nil
}

// trackCall makes a call to the runner that is not a poll, and records how it ends.
func (a *Agent) trackCall(call func() error) error {
	number, began := a.beginCall(), clock.Steady()
	err := call()
	if err != nil {
		a.endFailedCall(number, began, err)
	} else {
		a.endAnsweredCall(number)
	}
	return err
}

// beginCall records that a call to the runner begins, and returns its number.
func (a *Agent) beginCall() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endProof.begin()
}

// endFailedCall records that a call that began at the given time has failed with err, or was refused.
func (a *Agent) endFailedCall(number uint64, began time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endProof.failed(number, began, errors.Is(err, ErrNotListening))
}

// endAnsweredCall records that the answer to a call has been handled.
func (a *Agent) endAnsweredCall(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endProof.answered(number)
}

const (
	// earlierPollChecks bounds how often a new life is neither reported nor fenced since earlier polls are open, in 0.1 s. Those
	// that have reached the life before end soon, as its process is gone. The time in which this process is frozen does not count.
	earlierPollChecks = 20
	// earlierPollCheckEvery is the time between two such checks.
	earlierPollCheckEvery = 5 * time.Millisecond
)

// awaitEarlierPolls waits for the polls that began before the one with the given number, if that was answered with a
// listing of another life than the present one: their answers may list ends of the present one.
func (a *Agent) awaitEarlierPolls(ctx context.Context, number uint64, l *Listing) {
	for range earlierPollChecks {
		a.mu.Lock()
		wait := a.life != 0 && l.StartedAtMS != a.life && a.endProof.openBefore(number)
		a.mu.Unlock()
		if !wait || !clock.WaitForWake(ctx, nil, earlierPollCheckEvery) {
			return
		}
	}
}

// noteGrantedLease records the lease that a renewal has asked for once the present life of the runner has answered it.
func (a *Agent) noteGrantedLease(r *RenewRequest, l *Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.StartedAtMS == a.life && r.Life == a.life {
		a.grantedLeaseEndMS = max(a.grantedLeaseEndMS, r.LeaseEndMS)
	}
}

// newRenewal returns a renewal and the time at which it was built. It renews leases, acknowledges run ends and may wait
// only if it is certain to reach the present life of the runner.
func (a *Agent) newRenewal(wait time.Duration) (time.Time, RenewRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Steady()
	request := RenewRequest{Call: a.newCall()}
	request.Life = 0 // a listing is wanted from whatever life answers
	if now.Before(a.sameLifeUntil) && !a.nextLifeAnnounced() {
		request.Life = a.life
		// A restarted runner, perhaps with the same instance ID, numbers its run ends
		// and counts its clock from the beginning. Given the values of an earlier life, the
		// runner would forget run ends that were never reported, and the run leases would
		// exceed the worker lease.
		request.LeaseEndMS, request.MaxWait, request.SendBefore = a.runLeaseEndMS(now), wait, a.sameLifeUntil
		if a.oldestListedEnd > 0 && a.oldestListedEnd <= a.lastAckedEnd {
			request.LastAckedEnd = a.lastAckedEnd // without need it could only do harm: a call may be carried out late, in the next life
		}
	}
	if request.LeaseEndMS > 0 {
		a.extendLastRunLeaseEnd(now)
	}
	return now, request
}

// newPlainRenewal returns a renewal that only asks for a listing, from whatever life the runner is in, and the time at which
// it was built.
func (a *Agent) newPlainRenewal() (time.Time, RenewRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	request := RenewRequest{Call: a.newCall()}
	request.Life = 0 // any
	return clock.Steady(), request
}

// renew sends a renewal, with a time limit.
func (a *Agent) renew(ctx context.Context, r RenewRequest) (*Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+r.MaxWait)
	defer cancel()
	return a.runner.Renew(ctx, r)
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
// to the dispatcher once it is certain that nothing runs any more.
func (a *Agent) handlePollFailure(ctx context.Context, began time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sameLifeUntil = time.Time{}
	if a.hasLeft() {
		a.depart(ctx)
	}
	if a.reportedEmpty {
		a.refuseOverdue(began)
	}
	if a.reportedEmpty || a.conn == nil || !a.provesEmpty(began) {
		return
	}
	a.count("runners-lost")
	a.log.Warn().Err(err).Uint64("life", a.life).Int("runs", len(a.runs)).Int("open-calls", len(a.endProof.open)).Msg("runner lost; its runs have ended")
	a.sendEmptyReport(clock.Steady(), a.emptyState())
}

// provesEmpty reports whether it is certain, after a poll that began at the given time has failed, that nothing runs. A poll
// that began before the leases had expired may have been answered while this process was frozen. The caller holds mu.
func (a *Agent) provesEmpty(began time.Time) bool {
	return a.runnerHasEnded() || !a.hasAnswered(began) && a.leasesExpired(began)
}

// runnerHasEnded reports whether polls prove that the runner has ended. The caller holds mu.
func (a *Agent) runnerHasEnded() bool {
	refused := a.endProof.proven.began
	return !refused.IsZero() && !a.hasAnswered(refused)
}

// hasAnswered reports whether the runner has answered a poll or a start since the given time: it may be in its next life.
// The caller holds mu.
func (a *Agent) hasAnswered(since time.Time) bool {
	return a.runnerClockReadAt.After(since) || a.startAnsweredAt.After(since)
}

// leasesExpired reports whether the last run lease has expired at the given time. The caller holds mu.
func (a *Agent) leasesExpired(at time.Time) bool { return at.After(a.lastRunLeaseEnd.Add(leaseSlack)) }

// leaseSlack is added to the end of the last run lease before the lease counts as expired. It
// covers the time that a call takes to reach the runner.
const leaseSlack = 300 * time.Millisecond

// handleListing applies the listing that answers a poll sent at the given time, and reports changes to the dispatcher. It
// reports a new life at once, with the starts that may still take effect in it as pending runs, and refuses each once it
// is fenced.
func (a *Agent) handleListing(ctx context.Context, sent time.Time, l *Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Steady()
	if l.StartedAtMS != a.life {
		if a.life != 0 && !sent.After(a.lifeKnownAt) {
			a.keepLateEnds(l) // it may be of an earlier life; start times do not tell, since the clock may have been set back
			return
		}
		a.beginLife(l.StartedAtMS)
		unresolved := a.collectUnresolvedStarts(now)
		a.applyListing(now, sent, l)
		a.sendReport()
		for _, key := range unresolved {
			a.group.Go(func() {
				a.fence(ctx, anyTerm, l.StartedAtMS, key, "the start was sent to an earlier life of the runner")
			})
		}
		return
	}
	if a.nextLifeAnnounced() && sent.After(a.announcedAt) {
		a.dropAnnouncement()
	}
	if l.ClockMS < a.runnerClockMS {
		return // a newer listing was applied before
	}
	if l.ClockMS == a.runnerClockMS {
		a.mergeLastListing(l)
	}
	a.applyListing(now, sent, l)
	if a.reportedEmpty {
		a.logListingAfterEmptyReport(now, sent, l)
		a.endEmptyReport()
		return
	}
	a.sendNewEnds()
	a.setPaces(ctx, now)
}

// logListingAfterEmptyReport logs a listing of runs or run ends in a life of the runner that the dispatcher was told has
// ended. The poll that it answers was sent at the given time. The caller holds mu.
func (a *Agent) logListingAfterEmptyReport(now, sent time.Time, l *Listing) {
	if len(a.runs)+len(a.runEnds) == 0 {
		return
	}
	a.count("listings-after-empty-report")
	a.log.Warn().Uint64("life", a.life).Int("runs", len(a.runs)).Int("ends", len(a.runEnds)).Int64("clock-ms", l.ClockMS).Dur("took", now.Sub(sent)).
		Msg("runner listed runs after it was reported to have ended")
}

// applyListing replaces the known state of the runner by the listing that answers a poll sent at the given time. The
// caller holds mu.
func (a *Agent) applyListing(now, sent time.Time, l *Listing) {
	a.answeredAfter = a.earliestAnswer(now, sent, l)
	a.sameLifeUntil = a.answeredAfter.Add(sameLifeFor)
	if l.ClockMS > a.runnerClockMS { // listings of the same millisecond may be handled in any order
		a.logVanishedRuns(l)
	}
	a.runnerClockMS, a.runnerClockReadAt = l.ClockMS, now
	a.runs, a.moreEnds = l.Runs, l.MoreEnds
	a.runEnds = a.runEnds[:0]
	a.oldestListedEnd = 0
	for _, e := range l.RunEnds {
		a.noteListedEnd(e.Number)
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

// earliestAnswer returns a time before which the runner cannot have sent a listing that is handled now and answers a poll
// sent at the given time: the listing may have waited for long while the agent's process was frozen. The answer to a
// poll that waits is dated by the runner's clock against the last listing. The caller holds mu.
func (a *Agent) earliestAnswer(now, sent time.Time, l *Listing) time.Time {
	if a.runnerClockReadAt.IsZero() {
		return sent
	}
	elapsed := time.Duration(l.ClockMS-a.runnerClockMS)*time.Millisecond - clockResolution
	elapsed -= elapsed / clockDriftDivisor
	t := a.answeredAfter.Add(elapsed)
	switch {
	case t.Before(sent):
		return sent
	case t.After(now):
		return now
	}
	return t
}

// noteListedEnd records that the latest listing has a run end with the given number, and logs that the runner has
// forgotten ends before it that the agent has never seen. The caller holds mu.
func (a *Agent) noteListedEnd(number uint64) {
	if a.oldestListedEnd == 0 || number < a.oldestListedEnd {
		a.oldestListedEnd = number
	}
	if number <= a.lastListedEnd {
		return
	}
	if a.wholeLife && number > a.lastListedEnd+1 {
		a.count("run-ends-missed")
		a.log.Warn().Uint64("life", a.life).Uint64("listed", number).Uint64("before", a.lastListedEnd).Uint64("acked", a.lastAckedEnd).Msg("runner forgot run ends without listing them")
	}
	a.lastListedEnd = number
}

// mergeLastListing adds to a listing what the last one showed, if the runner's clock does not tell which of them is
// newer: a run that either lists was started, and one that either lists as ended has ended. The caller holds mu.
func (a *Agent) mergeLastListing(l *Listing) {
	ended := make(map[runKey]bool, len(l.RunEnds)+len(a.runEnds))
	numbers := make(map[uint64]bool, len(l.RunEnds))
	for i := range l.RunEnds {
		ended[runKey{l.RunEnds[i].Task, l.RunEnds[i].Run}] = true
		numbers[l.RunEnds[i].Number] = true
	}
	for _, e := range a.runEnds {
		ended[runKey{e.Task, e.Run}] = true
		if !numbers[e.Number] {
			l.RunEnds = append(l.RunEnds, e)
		}
	}
	listed := make(map[runKey]bool, len(l.Runs))
	for i := range l.Runs {
		listed[runKey{l.Runs[i].Task, l.Runs[i].Run}] = true
	}
	for i := range a.runs {
		if !listed[runKey{a.runs[i].Task, a.runs[i].Run}] {
			l.Runs = append(l.Runs, a.runs[i])
		}
	}
	l.Runs = slices.DeleteFunc(l.Runs, func(r dispatch.RunStatus) bool { return ended[runKey{r.Task, r.Run}] })
	slices.SortFunc(l.RunEnds, func(x, y dispatch.RunEnd) int { return cmp.Compare(x.Number, y.Number) })
	l.MoreEnds = l.MoreEnds || a.moreEnds
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
