package runneragent

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// runnerState says what a poll has shown of the runner.
type runnerState uint8

const (
	runnerAnswers runnerState = iota
	// runnerSilent is a runner that has not answered until all its leases had expired.
	runnerSilent
	// runnerEnded is a runner that does not listen any more.
	runnerEnded
)

// emptyState returns the state of a runner whose runs have all ended. The caller holds mu.
func (a *Agent) emptyState() runnerState {
	if a.runnerHasEnded() {
		return runnerEnded
	}
	return runnerSilent
}

// sendEmptyReport tells the dispatcher that the worker runs nothing, and pings it. Start orders that are under
// way meanwhile are refused, since the dispatcher regards their runs as ended. Run ends that are not acknowledged are
// listed, since no later listing of their life may come. Starts that a runner which has ended did
// not answer are listed as pending: they may still take effect in its next life. The caller holds mu.
func (a *Agent) sendEmptyReport(now time.Time, state runnerState) {
	a.reportedEmpty = true
	r := &peer.Report{Registration: a.registration, Worker: dispatch.Worker{Name: a.settings.Name}, Sent: a.sentRuns(), RunnerEnded: state == runnerEnded, EndedLives: a.endedLives(true)}
	clear(a.pendingWhenEmpty)
	for key, mayStartUntil := range a.unansweredStarts {
		if r.RunnerEnded && now.Before(mayStartUntil) {
			a.pendingWhenEmpty[key] = mayStartUntil
			r.Runs = append(r.Runs, dispatch.RunStatus{Task: key.task, Run: key.run, Pending: true})
		}
	}
	a.conn.Send(&peer.Message{Report: r})
	a.ping(now)
	a.emptyReportPing = a.pingSeq
}

// refuseOverdue refuses the starts of the last empty report that can no longer run, after a poll that began at the given
// time has failed: they took no effect in time, and the runner has ended since or any lease has expired. The caller holds mu.
func (a *Agent) refuseOverdue(began time.Time) {
	for key, mayStartUntil := range a.pendingWhenEmpty {
		if !began.Before(mayStartUntil.Add(maxRunLease+leaseSlack)) || a.runnerHasEnded() && !a.endProof.proven.began.Before(mayStartUntil) {
			delete(a.pendingWhenEmpty, key)
			a.refuse(0, key, errRunnerGone)
		}
	}
}

// sentRuns returns the runs that the present life of the runner lists, and the starts that were sent to it
// since: the dispatcher may know neither. The caller holds mu.
func (a *Agent) sentRuns() []dispatch.SentRun {
	var out []dispatch.SentRun
	for key := range a.sentStarts {
		out = append(out, dispatch.SentRun{Task: key.task, Run: key.run})
	}
	for i := range a.runs {
		out = append(out, dispatch.SentRun{Task: a.runs[i].Task, Run: a.runs[i].Run})
	}
	return out
}

// emptyReportRead reports whether every order that the dispatcher sent before it read the empty report
// has arrived: a connection keeps the order of messages, and the ping after the report is answered. The
// caller holds mu.
func (a *Agent) emptyReportRead() bool { return a.answeredPing >= a.emptyReportPing }

// endEmptyReport sends a full report after an empty one, once no start order that the dispatcher
// regards as ended can arrive any more. The caller holds mu.
func (a *Agent) endEmptyReport() {
	if a.conn == nil || !a.emptyReportRead() {
		return
	}
	a.reportedEmpty = false
	clear(a.pendingWhenEmpty)
	a.sendReport()
}

// lastEndNumber returns the number of the last run end that the runner has listed in its
// present life. The caller holds mu.
func (a *Agent) lastEndNumber() uint64 {
	last := a.lastAckedEnd
	for _, e := range a.runEnds {
		last = max(last, e.Number)
	}
	return last
}

// sendReport sends a report of the worker's whole state to the dispatcher, if
// connected. The caller holds mu.
func (a *Agent) sendReport() {
	a.lastReportedEnd, a.reportedMoreEnds = a.lastEndNumber(), a.moreEnds
	if a.conn != nil {
		a.conn.Send(&peer.Message{Report: a.newReport()})
	}
}

// sendNewEnds sends the run ends that have not been sent to the dispatcher yet, or a full report if the last one
// could not show which runs have ended and the present listing does. The caller holds mu.
func (a *Agent) sendNewEnds() {
	if a.conn == nil {
		return
	}
	if a.reportedMoreEnds && !a.moreEnds {
		a.sendReport()
		return
	}
	var unsent []dispatch.RunEnd
	for _, e := range a.runEnds {
		if e.Number > a.lastReportedEnd {
			unsent = append(unsent, e)
		}
	}
	if len(unsent) > 0 && a.conn.Send(&peer.Message{RunEnds: &peer.RunEnds{Life: a.life, After: a.lastReportedEnd, Ends: unsent}}) {
		a.lastReportedEnd = a.lastEndNumber()
	}
}

// newReport returns a report of the worker's whole state. The caller holds mu.
func (a *Agent) newReport() *peer.Report {
	r := &peer.Report{Registration: a.registration, Worker: a.describeWorker(), Runs: append([]dispatch.RunStatus(nil), a.runs...), RunEnds: append([]dispatch.RunEnd(nil), a.runEnds...), Sent: a.earlierRuns, EndedLives: a.endedLives(false)}
	for k := range a.unlistedStarts {
		r.Runs = append(r.Runs, dispatch.RunStatus{Task: k.task, Run: k.run, Pending: true})
	}
	return r
}

// describeWorker returns what the agent knows of its worker. The caller holds mu.
func (a *Agent) describeWorker() dispatch.Worker {
	w := dispatch.Worker{Name: a.settings.Name, Life: a.life, Draining: true, PacePercent: a.guard.pacer.PacePercent(), LastSentEnd: a.lastReportedEnd, MoreEnds: a.moreEnds}
	if b := &a.heartbeat; b.StartedAtMS == a.life {
		w.Service, w.Capacity, w.Labels, w.Draining, w.Instance = b.Service, b.Capacity, b.Labels, b.Draining, b.Instance
		w.EndAnnounced = b.Draining
	}
	return w
}
