package term

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Intervals and time-outs of the simulated agents, the same as for real agents.
const (
	pingInterval = 400 * time.Millisecond
	pollInterval = 60 * time.Millisecond
	startTimeout = time.Second
	silentAfter  = 900 * time.Millisecond
	// sameLifeFor is how long after the runner listed its runs the agent assumes that the
	// runner has not restarted.
	sameLifeFor = 250 * time.Millisecond
	// maxStartDelay is how long a start whose call was not answered may still take effect.
	maxStartDelay = 13 * time.Second
	// minLeaseLeft is how long the worker lease must still last for a start.
	minLeaseLeft = 500 * time.Millisecond
	// A run's lease is shortened by its duration divided by clockDriftDivisor, in case
	// the runner's clock is slow.
	clockDriftDivisor = 50
)

// longTaskDuration is the duration of tasks beside long cuts: a run is at work whenever the leases of a worker expire.
const longTaskDuration = 4 * time.Second

// percent returns the progress that runners list of a run. A long one that made none would be stopped.
func (w *world) percent() int {
	if w.kinds&LongCuts == 0 {
		return 50
	}
	return int(w.now/(100*time.Millisecond)) % 100
}

// runKey identifies a run of a task.
type runKey struct {
	task workflow.TaskID
	run  uint64
}

// agent simulates a runner agent, with its runner. A life of the runner lasts from one
// restart to the next, and is identified by its start time in Unix milliseconds; life
// is the newest one that the agent has seen.
type agent struct {
	process
	name   string
	runner *standin.TaskRunner
	// namesReused is set if a restarted runner keeps its name, so that a call may reach a
	// later life of the runner than intended.
	namesReused bool
	// Until startsDelayedUntil, calls that start runs are not answered and take effect
	// later.
	startsDelayedUntil time.Duration

	term uint64
	conn *conn
	life uint64
	// runnerClockMS is what the runner's clock showed at runnerClockReadAt.
	runnerClockMS     int64
	runnerClockReadAt time.Time
	workerLease       leadership.WorkerLease
	// runs and runEnds are the runs in progress and the unacknowledged ends that the
	// runner listed last.
	runs    []dispatch.RunStatus
	runEnds []dispatch.RunEnd
	// reportedEnd is the number of the newest end that was sent to the dispatcher, and
	// ackedEnd that of the newest end that the dispatcher has acknowledged.
	reportedEnd uint64
	ackedEnd    uint64
	// sameLifeUntil is until when the agent assumes that the runner has not restarted.
	sameLifeUntil time.Time
	// unlistedStarts are the runs that the dispatcher ordered and the runner has not
	// listed yet.
	unlistedStarts map[runKey]bool
	// fenceAt holds, for runs to be stopped or kept from starting, when to do so.
	fenceAt map[runKey]time.Time
	// unansweredStarts holds, for starts whose calls were not answered, until when they
	// may still take effect.
	unansweredStarts map[runKey]time.Time
	// pingSentAt holds when the unanswered pings were sent, by sequence number.
	pingSentAt map[uint64]time.Time
	pingSeq    uint64
	lastPing   time.Time
	lastPong   time.Time
	lastPoll   time.Time
	// runnerDownUntil is until when the runner is down after a crash.
	runnerDownUntil time.Duration
	agentSteps
	checkState
}

// newAgent returns the agent with an index and its runner.
func newAgent(w *world, index int) *agent {
	a := &agent{process: newProcess(w), name: fmt.Sprintf("w%d", index)}
	a.namesReused = index%2 == 0
	a.runner = &standin.TaskRunner{Name: a.name, TaskDuration: 700 * time.Millisecond, History: &w.history, ClockLagDivisor: 50 + w.random.IntN(200)}
	if w.kinds&LongCuts != 0 {
		a.runner.TaskDuration = longTaskDuration
	}
	a.runner.Restart(w.trueTime())
	a.forget()
	return a
}

// forget drops the agent's state, as a restart does.
func (a *agent) forget() {
	a.term, a.conn, a.life, a.runnerClockMS, a.runnerClockReadAt, a.workerLease = 0, nil, 0, 0, time.Time{}, leadership.WorkerLease{}
	a.runs, a.runEnds, a.reportedEnd, a.ackedEnd, a.sameLifeUntil, a.pingSeq = nil, nil, 0, 0, time.Time{}, 0
	a.unansweredStarts = make(map[runKey]time.Time)
	a.checkState = checkState{}
	a.agentSteps = agentSteps{lastRunLeaseEnd: a.clock().Add(leadership.WorkerLeaseDuration)}
	a.unlistedStarts, a.fenceAt, a.pingSentAt = make(map[runKey]bool), make(map[runKey]time.Time), make(map[uint64]time.Time)
}

// restart drops the agent's state and keeps the agent down for a while.
func (a *agent) restart(downtime time.Duration) {
	a.generation++
	a.downUntil = a.w.now + downtime
	a.forget()
}

// runLeaseEndMS returns the end of a run's lease on the runner's clock, or 0 if there
// is no lease.
func (a *agent) runLeaseEndMS(now time.Time) int64 {
	remaining := a.w.rules.WorkerLeaseRemaining(&a.workerLease, now)
	if remaining <= 0 || a.runnerClockReadAt.IsZero() {
		return 0
	}
	untilEnd := now.Add(remaining).Sub(a.runnerClockReadAt)
	return a.runnerClockMS + (untilEnd - untilEnd/clockDriftDivisor).Milliseconds()
}

func (a *agent) tick() {
	if a.w.kinds != 0 {
		a.tickInSteps()
		return
	}
	now := a.clock()
	if a.conn != nil && (a.conn.broken && a.w.random.IntN(20) == 0 || now.Sub(a.lastPong) > 3*time.Second) {
		a.conn.broken = true
		a.conn = nil
	}
	if a.conn == nil && a.w.random.IntN(5) == 0 {
		a.connect(now)
	}
	if a.term != 0 && now.Sub(a.lastPoll) >= pollInterval {
		a.lastPoll = now
		a.poll(now)
	}
	a.fenceDueRuns(now)
	if a.conn != nil && now.Sub(a.lastPing) >= pingInterval {
		a.sendPing(now)
	}
}

// connect asks a random entry whether it is the dispatcher, and if so reports to it.
func (a *agent) connect(now time.Time) {
	e := a.w.entries[a.w.random.IntN(entryCount)]
	if a.isCut() || e.isCut() || a.w.now < e.frozenUntil || a.w.now < e.downUntil {
		return
	}
	e.resignIfOutdated(a.term)
	if e.term == nil || e.term.number < a.term {
		return
	}
	a.term = e.term.number
	if !a.poll(now) {
		return
	}
	a.conn = &conn{w: a.w, agent: a, entry: e, agentGeneration: a.generation, entryGeneration: e.generation}
	a.lastPong = now
	clear(a.pingSentAt)
	a.sendReport()
	a.sendPing(now)
}

func (a *agent) describeWorker() *dispatch.Worker {
	return &dispatch.Worker{Name: a.name, Life: a.life, Service: "s", Capacity: worker.Resources{MilliCPU: 4000}, PacePercent: 100, LastSentEnd: a.reportedEnd, EndAnnounced: a.life != 0 && a.announcedLife == a.life}
}

// sendReport sends the worker's whole state to the dispatcher.
func (a *agent) sendReport() {
	for _, e := range a.runEnds {
		a.reportedEnd = max(a.reportedEnd, e.Number)
	}
	c, worker, ends, registration := a.conn, a.describeWorker(), append([]dispatch.RunEnd(nil), a.runEnds...), a.registration
	runs := append([]dispatch.RunStatus(nil), a.runs...)
	for _, k := range sortedKeys(a.unlistedStarts) {
		runs = append(runs, dispatch.RunStatus{Task: k.task, Run: k.run, Pending: true})
	}
	h := &heldReport{worker: worker, runs: runs, ends: ends, registration: registration, lives: a.endedLives(false), doneTasks: slices.Clone(a.known.doneTasks), newSince: c.newSince}
	c.send(&c.entry.process, func() {
		if a.w.kinds != 0 {
			c.entry.handleReportInSteps(c, h)
			return
		}
		c.entry.handleReport(c, h)
	})
}

// sendPing sends the dispatcher a ping with the runs that the runner listed last.
func (a *agent) sendPing(now time.Time) {
	a.lastPing = now
	a.pingSeq++
	a.pingSentAt[a.pingSeq] = now
	if a.pingTimes != nil {
		a.pingTimes[a.pingSeq] = now
	}
	c, worker, runs, seq := a.conn, a.describeWorker(), append([]dispatch.RunStatus(nil), a.runs...), a.pingSeq
	c.send(&c.entry.process, func() { c.entry.handlePing(c, worker, runs, seq) })
}

// poll extends the leases of all runs at the runner and applies its listing of runs. It
// returns false if the runner refuses the agent's term.
func (a *agent) poll(now time.Time) bool {
	ackedEnd, leaseEndMS := uint64(0), int64(0)
	if now.Before(a.sameLifeUntil) || a.w.rules.IgnoreRunnerLife {
		ackedEnd, leaseEndMS = a.ackedEnd, a.runLeaseEndMS(now)
	}
	if !a.runner.Admit(a.w.trueTime(), a.term, leaseEndMS) {
		return false
	}
	runs, ends := a.runner.List(a.w.trueTime(), ackedEnd)
	if life := a.runner.StartedAtMS(); life != a.life {
		a.keepEnds()
		a.life, a.reportedEnd, a.ackedEnd, a.sameLifeUntil = life, 0, 0, time.Time{}
		clear(a.fenceAt)
		if !a.w.rules.SkipFencingInNewLife {
			for _, k := range sortedKeys(a.unlistedStarts) {
				a.runner.Stop(a.w.trueTime(), k.task.String(), k.run)
			}
			for _, k := range sortedKeys(a.unansweredStarts) {
				if now.Before(a.unansweredStarts[k]) {
					a.runner.Stop(a.w.trueTime(), k.task.String(), k.run)
				}
			}
			runs, ends = a.runner.List(a.w.trueTime(), 0)
		}
		clear(a.unlistedStarts)
		a.applyListing(now, runs, ends)
		if a.conn != nil {
			a.sendReport()
		}
		return true
	}
	a.applyListing(now, runs, ends)
	a.sendNewEnds()
	return true
}

// applyListing replaces what the agent knows of the runner's runs by a new listing.
func (a *agent) applyListing(now time.Time, runs []standin.RunStatus, ends []standin.RunEnd) {
	a.runnerClockMS, a.runnerClockReadAt, a.sameLifeUntil = a.runner.ClockMS(a.w.trueTime()), now, now.Add(sameLifeFor)
	a.runs, a.runEnds = nil, nil
	for _, r := range runs {
		id, _ := workflow.ParseTaskID(r.Task)
		a.runs = append(a.runs, dispatch.RunStatus{Task: id, Run: r.Run, Percent: a.w.percent()})
		delete(a.unlistedStarts, runKey{id, r.Run})
	}
	outcomes := map[string]dispatch.Outcome{"done": dispatch.OutcomeDone, "failed": dispatch.OutcomeFailed, "stopped": dispatch.OutcomeStopped, "lapsed": dispatch.OutcomeLapsed}
	for _, e := range ends {
		id, _ := workflow.ParseTaskID(e.Task)
		delete(a.unlistedStarts, runKey{id, e.Run})
		if e.Number > a.ackedEnd {
			a.runEnds = append(a.runEnds, dispatch.RunEnd{Number: e.Number, Task: id, Run: e.Run, How: outcomes[e.Outcome]})
		}
	}
	a.known.noteDone(a.runEnds)
}

// sendNewEnds sends the dispatcher the ends that the agent has not sent to it yet.
func (a *agent) sendNewEnds() {
	if a.conn == nil {
		return
	}
	var newEnds []dispatch.RunEnd
	after := a.reportedEnd
	for _, e := range a.runEnds {
		if e.Number > a.reportedEnd {
			newEnds = append(newEnds, e)
			a.reportedEnd = e.Number
		}
	}
	if c, life := a.conn, a.life; len(newEnds) > 0 {
		c.send(&c.entry.process, func() { c.entry.handleEnds(c, life, after, newEnds) })
	}
}

// handleOrders carries out a dispatcher's orders. It refuses orders for an earlier
// life of the runner, and starts for which too little of the worker lease remains.
func (a *agent) handleOrders(c *conn, term uint64, h orderHeader, starts []dispatch.Start, stops []dispatch.Stop) {
	if a.conn != c || term != a.term {
		return
	}
	if a.w.kinds&PartialViews != 0 {
		a.confirmOrders(h, starts, stops)
		return
	}
	if a.w.kinds != 0 {
		a.handleOrdersInSteps(starts, stops)
		return
	}
	now := a.clock()
	for _, s := range starts {
		k := runKey{s.Task, s.Run}
		leaseEndMS := a.runLeaseEndMS(now)
		if s.Life != a.life || leaseEndMS == 0 || a.w.rules.WorkerLeaseRemaining(&a.workerLease, now) < minLeaseLeft {
			a.sendRefusal(s.Life, k)
			continue
		}
		a.startRun(now, k, leaseEndMS)
	}
	for _, s := range stops {
		if s.Life != a.life {
			a.sendRefusal(s.Life, runKey{s.Task, s.Run})
			continue
		}
		a.fenceAt[runKey{s.Task, s.Run}] = now
	}
}

// startRun calls the runner to start a run. The call may go unanswered and take effect
// 2 s to 12 s later.
func (a *agent) startRun(now time.Time, k runKey, leaseEndMS int64) {
	a.unlistedStarts[k] = true
	term, life, generation := a.term, a.life, a.generation
	call := func() bool {
		// A known limit of the protocol, which the simulation leaves out: no agent fences a
		// start that takes effect in a later life of a runner with the same name, before
		// the agent has seen that life or after the agent has restarted.
		fenced := a.generation == generation && a.life == a.runner.StartedAtMS()
		reached := a.runner.StartedAtMS() == life || a.namesReused && fenced
		return reached && a.runner.Admit(a.w.trueTime(), term, leaseEndMS) &&
			a.runner.Start(a.w.trueTime(), k.task.String(), k.run, leaseEndMS, standin.TaskSucceeds) == ""
	}
	if a.w.now >= a.startsDelayedUntil {
		if !call() {
			a.sendRefusal(life, k)
		}
		return
	}
	a.w.schedule(2*time.Second+a.w.randomUpTo(10*time.Second), func() { call() })
	a.unansweredStarts[k] = now.Add(maxStartDelay)
	if a.w.rules.SkipFencing {
		a.sendRefusal(life, k)
		return
	}
	a.fenceAt[k] = now.Add(startTimeout)
}

// fenceDueRuns stops the runs whose time in fenceAt has come, or makes sure that they
// never start.
func (a *agent) fenceDueRuns(now time.Time) {
	for _, k := range sortedKeys(a.fenceAt) {
		due := a.fenceAt[k]
		if now.Before(due) || a.runner.StartedAtMS() != a.life || !a.runner.Admit(a.w.trueTime(), a.term, 0) {
			continue
		}
		delete(a.fenceAt, k)
		a.runner.Stop(a.w.trueTime(), k.task.String(), k.run)
		if a.poll(now) && !a.isListedAsEnded(k) {
			a.sendRefusal(a.life, k)
		}
	}
}

// sortedKeys returns the runs in a fixed order, so that a seed always leads to the
// same simulated run.
func sortedKeys[T any](runs map[runKey]T) []runKey {
	return slices.SortedFunc(maps.Keys(runs), func(x, y runKey) int {
		return cmp.Or(strings.Compare(x.task.String(), y.task.String()), cmp.Compare(x.run, y.run))
	})
}

// isListedAsEnded reports whether the runner's last listing has the end of a run.
func (a *agent) isListedAsEnded(k runKey) bool {
	for _, e := range a.runEnds {
		if e.Task == k.task && e.Run == k.run {
			return true
		}
	}
	return false
}

// sendRefusal tells the dispatcher that a run will not start or is not in progress.
func (a *agent) sendRefusal(life uint64, k runKey) {
	delete(a.unlistedStarts, k)
	if c := a.conn; c != nil {
		c.send(&c.entry.process, func() { c.entry.handleRefusal(c, life, k) })
	}
}

// handlePong handles the response to a ping. renewed tells whether the response renews
// the worker lease.
func (a *agent) handlePong(c *conn, term, seq uint64, renewed bool, contactAge time.Duration) {
	if a.w.kinds != 0 && a.conn == c && term != a.term {
		c.broken = true
	}
	if a.conn != c || term != a.term {
		return
	}
	a.lastPong, a.answeredPing = a.clock(), max(a.answeredPing, seq)
	if sent, ok := a.pingSentAt[seq]; ok && renewed {
		a.workerLease.Renew(sent)
	}
	delete(a.pingSentAt, seq)
	if a.w.kinds&PartialViews != 0 {
		a.noteContactAge(c, contactAge)
	}
}

// handleAck notes that the dispatcher has stored the ends with numbers up to end.
func (a *agent) handleAck(c *conn, life, end uint64) {
	if a.conn == c && life == a.life {
		a.ackedEnd = max(a.ackedEnd, end)
	}
	a.dropKeptEnds(life, end)
}
