package coordinator

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// term is the state that an entry holds only while it is the dispatcher.
type term struct {
	// number is the term as a number, from this entry's claim, and began when the term did.
	number      uint64
	began       time.Time
	scheduler   dispatch.Scheduler
	leaderLease leadership.LeaderLease
	predecessor leadership.Predecessor
	// agents holds the agents that have connected in this term, by the names of their workers.
	agents map[string]*agentLink
	// roster holds the workers whose names are stored, so that a later dispatcher waits for them.
	roster leadership.Roster
	// departed holds the departures of workers that have left and whose reports may still be waited for.
	departed map[string]departure
	// heldReports holds the reports of workers whose names are not stored yet, or whose agents are new
	// processes; see mustHold.
	heldReports map[string]*peer.Report
	// told holds the jobs that this entry was told of before all workers had reported, and has not read.
	told map[string]struct{}
	// fencedAt is the end of store.TopicProgress when the term's first append fenced earlier ones: all records before it
	// are of earlier terms.
	fencedAt uint64
	// appendSeq is the sequence number of the last append under the term that the store accepted.
	appendSeq uint64
	// appendEnd is the end offset of store.TopicProgress after that append.
	appendEnd uint64
	// lastFlush is when changes were last taken from the scheduler to be stored.
	lastFlush time.Time
	// lastExpiry is when jobs whose retention has expired were last forgotten.
	lastExpiry time.Time
	// lastNameDeletion is when names of gone workers were last tried to be deleted.
	lastNameDeletion time.Time
	// lastIntakeDeletion is when submissions of forgotten jobs were last tried to be deleted.
	lastIntakeDeletion time.Time
	// lastInterferenceRecord is when the measured interference was last taken to be stored.
	lastInterferenceRecord time.Time
	// runTimesRecordAt is when the learned run times were last taken to be stored, and runTimesRecorded how many had
	// been observed then.
	runTimesRecordAt time.Time
	runTimesRecorded uint64
	// backlog measures how far decisions are behind events.
	backlog backlog
	// strongerSoughtAt is when the dispatcher last looked for a stronger entry.
	strongerSoughtAt time.Time
	// targetsLoggedAt is when the readings of serving tasks were last logged.
	targetsLoggedAt time.Time
	// waitingLoggedAt is when waiting long-running tasks were last logged.
	waitingLoggedAt time.Time
	// backlogsLoggedAt is when the work that waits without room was last logged.
	backlogsLoggedAt time.Time
	// renewalDue is set if the store has to accept a write under the term before leases can be
	// regarded as expired; see leasesExpired.
	renewalDue bool
	// stoppedBeforeTaken is set once the record that all dispatchers of earlier terms have stopped was
	// taken to be stored.
	stoppedBeforeTaken bool
	// leaseLost is set while the leadership lease is not valid.
	leaseLost bool
	// earlierRunsOver is set once nothing that an earlier term started can run any more.
	earlierRunsOver bool
	// unconfirmedSince is when an agent first refused a start since only this dispatcher has lost the store, unconfirmedAt
	// when one last did; unconfirmedSince is zero once the store answers again. longestHold is the longest such time.
	unconfirmedSince, unconfirmedAt time.Time
	longestHold                     time.Duration
	// startsHeld is set while no starts are sent since the set of evacuated data centres is too old.
	startsHeld bool
	// evacuationsLoggedAt is when the evacuated data centres were last compared with those of the workers;
	// allEvacuated is set if all workers were in them then, and unknownEvacuations holds those without a worker.
	evacuationsLoggedAt time.Time
	allEvacuated        bool
	unknownEvacuations  map[string]struct{}
	// pending is the number of jobs that have not begun by queue, as counted at pendingCountedAt.
	pending          map[string]int
	pendingCountedAt time.Time
}

// pendingMaxAge is how old the number of jobs that have not begun may be when it is sent to another entry;
// it ages there until the next ping.
const pendingMaxAge = 300 * time.Millisecond

// pendingJobs returns the number of jobs that have not begun by queue. The caller holds mu.
func (t *term) pendingJobs(now time.Time) map[string]int {
	if t.pending == nil || now.Sub(t.pendingCountedAt) >= pendingMaxAge {
		t.pending, t.pendingCountedAt = t.scheduler.PendingJobs(), now
	}
	return t.pending
}

// agentLink is the dispatcher's connection to one agent; conn is nil while there is none.
type agentLink struct {
	name        string
	dataCentre  string
	conn        *peer.Conn
	lastContact time.Time
	// sentEntries is the version of the known entries that was last sent over conn.
	sentEntries uint64
	// lastPing is the number of the last ping that arrived on conn, at lastPingAt; 0 if only the report on conn has arrived,
	// at that time.
	lastPing   uint64
	lastPingAt time.Time
	// leaseExpired is set once the leases of all runs at the worker have expired.
	leaseExpired bool
}

// syncJob passes a job of the job table to the scheduler, and reports whether the scheduler's
// state has changed. gapless is set if no record of the job can have been left out so far. The caller holds mu.
func (t *term) syncJob(now time.Time, c *Coordinator, id string, gapless bool) bool {
	e, ok := c.jobs.Job(id)
	if !ok || e.Submission() == nil {
		return false
	}
	gapless = gapless && !e.MayHaveEarlierSubmission()
	changed := t.syncSubmission(now, c, e.Submission(), e, gapless)
	if _, told := t.told[id]; told {
		delete(t.told, id)
		if gapless && e.Submission().Term == t.number {
			changed = t.scheduler.ConfirmNew(id) || changed
		}
	}
	return changed
}

// admitTold passes a stored submission to the scheduler that this entry has not read. Until all workers
// have reported, a job may have been handed in before, to an entry that did not know this term yet: it counts
// as new only once it has been read, which admitTold requests. The caller holds mu.
func (t *term) admitTold(now time.Time, c *Coordinator, s *workflow.Submission) {
	e, ok := c.jobs.Job(s.ID)
	if !ok {
		e = new(workflow.Job)
	}
	known := t.scheduler.HasJob(s.ID)
	if t.syncSubmission(now, c, s, e, false) && !known && t.scheduler.UnreportedWorkers() > 0 {
		if t.told == nil {
			t.told = make(map[string]struct{})
		}
		t.told[s.ID] = struct{}{}
		notify(c.wakeTail)
	}
}

// syncSubmission is syncJob for a job whose submission s may not be in its entry e of the job table yet. first is
// set if s is certainly the job's first submission. The caller holds mu and has noted the term of s, see noteTerm.
func (t *term) syncSubmission(now time.Time, c *Coordinator, s *workflow.Submission, e *workflow.Job, first bool) bool {
	id := s.ID
	changed := !t.scheduler.HasJob(id)
	if changed {
		if isOpen(e) || e.Submission() == nil {
			c.noteQueueTerms(s)
		}
		// If the first entry that submitted the job did not know this term yet, an earlier
		// dispatcher may have read and started the job.
		t.scheduler.Admit(now, clock.WallMS(), s, e.Progress(), !first || s.Term < t.number)
	}
	if e.Cancelled() {
		if phase, _ := t.scheduler.Phase(id); !phase.Ended() {
			t.scheduler.Cancel(now, clock.WallMS(), id)
			changed = true
		}
	}
	return changed
}

// loadScheduler fills the scheduler at the beginning of the term: with the configuration,
// the names of workers that may run tasks of earlier terms, the interference, and the jobs of the
// job table. The caller holds mu.
func (t *term) loadScheduler(now time.Time, c *Coordinator, names storedNames) {
	t.scheduler.BeginTerm(t.number, t.loadRoster(now, c, names))
	t.scheduler.SetRemoteRackSlowdown(c.settings.RemoteRackSlowdown)
	t.scheduler.SetMaxProgressBytes(c.settings.RecordLimits.Record)
	t.scheduler.SetEvacuated(c.evacuations.applied)
	if c.config != nil {
		named := c.config.queues()
		c.jobs.Each(func(_ string, e *workflow.Job) {
			if isOpen(e) {
				if _, ok := named[e.Submission().Queue]; !ok {
					c.noteQueueTerms(e.Submission())
				}
			}
		})
		t.scheduler.SetQueues(c.queuesInForce())
	}
	if limits, err := decodeInterference(c.storedInterference); err == nil {
		t.scheduler.MergeInterferenceLimits(limits)
	} else if len(c.storedInterference) > 0 {
		c.log.Warn().Err(err).Msg("stored interference measurements cannot be decoded; starting without them")
	}
	c.loadRunTimes(t)
	if n := c.jobs.ForgetOrphans(c.tails[intakeIndex].nextOffset, t.fencedAt); n > 0 {
		c.log.Warn().Int("jobs", n).Uint64("term", t.number).Msg("progress without a submission is taken for that of forgotten jobs")
	}
	wall := clock.WallMS()
	c.jobs.Each(func(id string, e *workflow.Job) {
		if e.Submission() == nil {
			return
		}
		t.scheduler.Admit(now, wall, e.Submission(), e.Progress(), true)
		if e.Cancelled() {
			t.scheduler.Cancel(now, wall, id)
		}
	})
	for worker, d := range c.departures {
		t.applyEndedLives(now, c, worker, d.endedLives)
	}
}

// applyReport applies a report of a worker's whole state. The life in a report identifies
// the time between two restarts of the worker's runner; 0 means that the worker has no runner.
// The caller holds mu.
func (t *term) applyReport(now time.Time, c *Coordinator, r *peer.Report) {
	if r.Worker.Life == 0 || r.Worker.Life != t.scheduler.RunnerLife(r.Worker.Name) {
		t.scheduler.ConfirmSent(r.Worker.Name, r.Sent) // a report of a known life names the runs of the life before
	}
	t.applyEndedLives(now, c, r.Worker.Name, r.EndedLives)
	if r.Worker.Life == 0 {
		n := t.scheduler.RunnerGone(now, clock.WallMS(), r.Worker.Name, r.RunnerEnded)
		t.scheduler.AdoptPending(now, clock.WallMS(), r.Worker.Name, r.Runs)
		c.log.Warn().Str("worker", r.Worker.Name).Int("runs", n).Int("pending", len(r.Runs)).Msg("worker has no runner; its runs have ended")
		if r.RunnerEnded && t.scheduler.LeftInOrder(r.Worker.Name) {
			t.takeOff(c, r.Worker.Name, "its runner has left in order")
		}
		return
	}
	t.scheduler.ApplyReport(now, clock.WallMS(), &r.Worker, r.Runs, r.RunEnds)
	if a, number := t.agents[r.Worker.Name], t.roster.Number(r.Worker.Name); a != nil && a.conn != nil && number != 0 {
		a.conn.Send(&peer.Message{Registered: &peer.Registered{Number: number}})
	}
	if a, g := t.agents[r.Worker.Name], t.scheduler.GuardedTasks(r.Worker.Name); a != nil && a.conn != nil && len(g) > 0 {
		o := c.newOrders(now, t, r.Worker.Name)
		o.GuardedTasks = g
		a.conn.Send(&peer.Message{Orders: o})
	}
	c.log.Info().Str("worker", r.Worker.Name).Uint64("life", r.Worker.Life).Int("runs", len(r.Runs)).Int("ends", len(r.RunEnds)).
		Uint64("term", t.number).Msg("worker reported")
}

// applyEndedLives takes in run ends of lives of a worker's runner that have ended, or may have. The caller holds mu.
func (t *term) applyEndedLives(now time.Time, c *Coordinator, worker string, lives []dispatch.EndedLife) {
	ignored := t.scheduler.ApplyEndedLives(now, clock.WallMS(), worker, lives)
	for i := range lives {
		l := &lives[i]
		c.count("run-ends-of-ended-lives", len(l.Ends))
		c.log.Info().Str("worker", worker).Uint64("life", l.Life).Int("ends", len(l.Ends)).Int("ignored", ignored).Msg("took in run ends of an ended life, or of a report that does not count")
	}
}

// checkWorkers marks workers that are silent, and has the scheduler count the runs of workers
// whose leases have expired as ended. The caller holds mu.
func (t *term) checkWorkers(now time.Time, c *Coordinator) {
	t.releaseReports(now, c) // a write that shows that leases have expired also confirms the term
	for _, a := range t.agents {
		if a.leaseExpired {
			continue
		}
		silence := now.Sub(a.lastContact)
		if silence > silentAfter {
			t.scheduler.MarkSilent(a.name)
		}
		if t.leasesExpired(now, c, leadership.WorkerLeaseEndsBy(a.lastContact)) {
			a.leaseExpired = true
			t.dropHeldReport(now, c, a.name) // the runs that it shows have ended
			c.count("workers-lost", 1)
			n := t.scheduler.WorkerLeaseExpired(now, a.name)
			c.log.Warn().Str("worker", a.name).Dur("silent", silence).Int("runs", n).Msg("worker lost; the leases of its runs have expired")
			t.takeOff(c, a.name, "its lease has expired")
		}
	}
	t.checkDeparted(now, c)
	if !t.earlierRunsOver && t.scheduler.UnreportedWorkers() == 0 {
		t.earlierRunsOver = true
	}
	if !t.earlierRunsOver && t.leasesExpired(now, c, t.predecessor.LeasesEndBy()) {
		t.earlierRunsOver = true
		c.log.Warn().Int("workers", t.scheduler.UnreportedWorkers()).Uint64("term", t.number).Dur("since", now.Sub(t.began)).Bool("predecessor-stopped", t.predecessor.Stopped()).Bool("predecessor-followed", t.predecessor.Followed()).
			Msg("workers did not report in this term; the leases of their runs from earlier terms have expired")
		t.takeOffUnreported(c, t.scheduler.ExpireEarlierTerms(t.isHeld))
	}
}

// leasesExpired reports whether leases that end by deadline have certainly expired. A later
// dispatcher may have renewed the leases unless the store has accepted a write under this term
// that was sent since deadline. If only such a write is missing, leasesExpired requests it. The
// caller holds mu.
func (t *term) leasesExpired(now time.Time, c *Coordinator, deadline time.Time) bool {
	expired, needsWrite := t.leaderLease.ConfirmsEnd(now, deadline)
	if needsWrite && !t.renewalDue {
		t.renewalDue = true
		notify(c.wakeWriter)
	}
	return expired
}
