// Package runneragent is the runner agent: the process beside the runner of a worker.
// It carries out the dispatcher's orders and reports the runs that the runner lists.
// It renews the leases of runs at the runner, up to the end of the worker lease,
// which the dispatcher renews by answering the agent's pings.
//
// A life of a runner is the time between two restarts. A life is identified by the time at
// which the runner started, since another life may have the same instance ID.
//
// The pace of a run is the speed to which the runner limits it, in percent of full speed.
package runneragent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Intervals and timeouts of an agent.
const (
	// pingEvery is how often the agent pings the dispatcher to renew the worker lease,
	// less than a tenth of leadership.WorkerLeaseDuration.
	pingEvery = 400 * time.Millisecond
	// pollWait is how long the runner may delay its answer to a poll until a run ends.
	pollWait = time.Second
	// callTimeout bounds a call to the runner, which runs on the same machine.
	callTimeout = time.Second
	// sameLifeFor is how long after a listing the runner is assumed not to have
	// restarted: calls to a runner that ends fail, and a restart takes longer than this.
	sameLifeFor = 250 * time.Millisecond
	// minPollInterval is the minimum time between the beginnings of two polls. Reports of run
	// ends are delayed by up to this time.
	minPollInterval = 25 * time.Millisecond
	// retryDelay is the delay after a failed call to the runner.
	retryDelay = 200 * time.Millisecond
	// maxStartDelay is how long after its call a start without an answer may still take effect:
	// a runner may carry out a start up to 12 seconds late.
	maxStartDelay = 13 * time.Second
	// trialReportDelay is how long after the start of a trial the agent reports whether the run is at
	// work; the dispatcher asks for 250 ms.
	trialReportDelay = 300 * time.Millisecond
	// minLeaseLeft is how much of the worker lease must be left for a run to be started.
	minLeaseLeft = 500 * time.Millisecond
	// maxRunnerSilence is how long after the last listing starts are still passed to the runner.
	maxRunnerSilence = 2 * time.Second
	// clockDriftDivisor bounds the relative error of the runner's clock rate: one part in 50.
	clockDriftDivisor = 50
)

// Settings configure an agent.
type Settings struct {
	// Name is the name of the worker, unique among all workers.
	Name        string
	Zone        string
	Incarnation uint64
	// Entries are the peer addresses of entries to try first; some may be down.
	Entries []string
	// AskPolicy asks the placement policy service which runners may run a step; nil if there
	// is no such service.
	AskPolicy func(ctx context.Context, step workflow.StepID, instances []string) (*PolicyAnswer, error)
}

// runKey identifies one run of a task.
type runKey struct {
	task workflow.TaskID
	run  uint64
}

// Agent is one runner agent.
type Agent struct {
	settings Settings
	runner   Runner
	store    store.Client
	log      *log.Logger
	registry gometrics.Registry
	group    sync.WaitGroup
	wakePoll chan struct{}

	// mu guards everything below. It is never held during I/O.
	mu sync.Mutex
	// heartbeat is the newest heartbeat of the runner; its Instance is empty before the first.
	heartbeat Heartbeat
	// pingSeq is the number of the last ping.
	pingSeq uint64
	// life is the start time of the runner, in Unix milliseconds; 0 before the first listing.
	life uint64
	// runnerClockMS is the latest reading of the runner's clock; runnerClockReadAt is when it
	// arrived, on the agent's clock, and zero before the first listing of the present life.
	runnerClockMS     int64
	runnerClockReadAt time.Time
	workerLease       leadership.WorkerLease
	// lastRunLeaseEnd is the latest end, on the agent's clock, of all run leases that the runner
	// was asked for.
	lastRunLeaseEnd time.Time
	// reportedEmpty is set once the dispatcher was told that the worker runs nothing, until it is sent a
	// full report.
	reportedEmpty bool
	// emptyReportPing is the number of the ping that followed the last empty report.
	emptyReportPing uint64
	// answeredPing is the number of the last ping that the dispatcher has answered.
	answeredPing uint64
	// term is the leadership term of the dispatcher that the agent serves or served last; 0
	// before the first.
	term uint64
	// conn is the connection to the dispatcher; nil until the agent has reported on it.
	conn *peer.Conn
	// runs and runEnds are from the latest listing; runEnds leaves out acknowledged run ends.
	runs    []dispatch.RunStatus
	runEnds []dispatch.RunEnd
	// lastReportedEnd is the number of the last run end sent to the dispatcher, lastAckedEnd the
	// number of the last run end that the dispatcher has stored.
	lastReportedEnd uint64
	lastAckedEnd    uint64
	// sameLifeUntil is until when the runner is assumed not to have restarted since its last
	// listing; zero after a failed poll.
	sameLifeUntil time.Time
	// unlistedStarts are start orders that have not appeared in a listing yet.
	unlistedStarts map[runKey]*dispatch.Start
	// sentStarts are the unlisted starts that were sent to the runner and not refused.
	sentStarts map[runKey]bool
	// earlierStarts are the runs that the life before the present one had started.
	earlierStarts []dispatch.RunStarted
	// unansweredStarts are starts that the runner did not answer, with the time on the agent's
	// clock until which they may take effect.
	unansweredStarts map[runKey]time.Time
	// successor is the peer address of the entry that a dispatcher has named as its successor, until
	// the agent has tried it.
	successor string
	// entries holds the peer addresses of the known entries.
	entries map[string]bool
	// pingSentAt holds when each ping without an answer was sent, by the ping's number.
	pingSentAt map[uint64]time.Time
	guard      guard
	// colocated is set while the worker runs both serving and best-effort tasks.
	colocated bool
}

// New returns an agent.
func New(s Settings, runner Runner, storeClient store.Client, logger *log.Logger, registry gometrics.Registry) *Agent {
	a := &Agent{
		settings: s, runner: runner, store: storeClient, log: logger, registry: registry, wakePoll: make(chan struct{}, 1),
		lastRunLeaseEnd: clock.Steady().Add(leadership.WorkerLeaseDuration), // an earlier agent process may have renewed run leases up to then
		unlistedStarts:  make(map[runKey]*dispatch.Start), unansweredStarts: make(map[runKey]time.Time), sentStarts: make(map[runKey]bool), entries: make(map[string]bool), pingSentAt: make(map[uint64]time.Time),
	}
	for _, e := range s.Entries {
		a.entries[e] = true
	}
	return a
}

// Run polls the runner and serves the dispatcher until ctx ends. The runs at the runner
// continue after that, and the next agent process takes them over.
func (a *Agent) Run(ctx context.Context) {
	a.log.Info().Str("worker", a.settings.Name).Uint64("incarnation", a.settings.Incarnation).Msg("runner agent started")
	a.group.Go(func() { a.pollLoop(ctx) })
	a.group.Go(func() { a.connect(ctx) })
	a.group.Wait()
	a.log.Info().Msg("runner agent stopped")
}

// count adds 1 to a counter.
func (a *Agent) count(name string) {
	gometrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}

// HandleHeartbeat applies a heartbeat of the runner. It ignores heartbeats of an earlier
// life and those that are not newer than the last one of the same life.
func (a *Agent) HandleHeartbeat(h *Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.StartedAtMS < a.heartbeat.StartedAtMS || h.StartedAtMS == a.heartbeat.StartedAtMS && h.Seq <= a.heartbeat.Seq && a.heartbeat.Instance != "" {
		a.log.Info().Str("instance", h.Instance).Uint64("seq", h.Seq).Msg("skipped an outdated heartbeat")
		return
	}
	changed := h.Draining != a.heartbeat.Draining || h.StartedAtMS != a.heartbeat.StartedAtMS || h.Capacity != a.heartbeat.Capacity
	first := a.heartbeat.Instance == ""
	a.heartbeat = *h
	if changed {
		a.log.Info().Str("instance", h.Instance).Uint64("born", h.StartedAtMS).Bool("draining", h.Draining).Int64("cpu", h.Capacity.MilliCPU).
			Int64("memory-mb", h.Capacity.MemoryMB).Msg("runner started or changed its draining state or capacity")
	}
	if changed && !first && a.conn != nil {
		a.ping(clock.Steady())
	}
}

// HandleDeregistration marks the worker as draining after the runner has deregistered, since
// the present life of the runner is about to end.
func (a *Agent) HandleDeregistration(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if instance != a.heartbeat.Instance {
		return
	}
	a.log.Info().Str("instance", instance).Msg("runner deregistered")
	a.heartbeat.Draining = true
	if a.conn != nil {
		a.ping(clock.Steady())
	}
}

// beginLife makes the life that started at startedAtMS the present one, and resets the state that
// belongs to the earlier life of the runner. The caller holds mu.
func (a *Agent) beginLife(startedAtMS uint64) {
	if a.life != 0 {
		a.log.Warn().Uint64("from", a.life).Uint64("to", startedAtMS).Int("runs", len(a.runs)).Msg("runner restarted")
	}
	a.earlierStarts = a.startedRuns()
	clear(a.sentStarts)
	a.life = startedAtMS
	a.reportedEmpty = false
	a.runnerClockMS, a.runnerClockReadAt = 0, time.Time{}
	a.runs, a.runEnds = nil, nil
	a.lastReportedEnd, a.lastAckedEnd = 0, 0
	a.guard = guard{}
}

// newCall returns the fields common to all calls to the runner. The caller holds mu.
func (a *Agent) newCall() Call {
	c := Call{Term: a.term}
	if a.heartbeat.StartedAtMS == a.life {
		c.Instance = a.heartbeat.Instance
	}
	return c
}

// runLeaseEndMS returns the latest allowed end of run leases, in milliseconds on the
// runner's clock, or 0 if no run lease is allowed. That end is early enough that run leases end
// no later than the worker lease even if the runner's clock is slow. The caller holds mu.
func (a *Agent) runLeaseEndMS(now time.Time) int64 {
	left := a.workerLease.Remaining(now)
	if left <= 0 || a.runnerClockReadAt.IsZero() {
		return 0
	}
	d := now.Add(left).Sub(a.runnerClockReadAt)
	d -= d / clockDriftDivisor
	return a.runnerClockMS + d.Milliseconds()
}

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
	a.handleListing(ctx, l)
	return nil
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

// runnerState says what a poll has shown of the runner.
type runnerState uint8

const (
	runnerAnswers runnerState = iota
	// runnerSilent is a runner that has not answered until all its leases had expired.
	runnerSilent
	// runnerEnded is a runner that does not listen any more.
	runnerEnded
)

// emptyStateOf returns the state of a runner whose runs have all ended, from the error of the last poll.
func emptyStateOf(err error) runnerState {
	if errors.Is(err, ErrNotListening) {
		return runnerEnded
	}
	return runnerSilent
}

// sendEmptyReport tells the dispatcher that the worker runs nothing, and pings it. Start orders that are under
// way meanwhile are refused, since the dispatcher regards their runs as ended. The caller holds mu.
func (a *Agent) sendEmptyReport(now time.Time, state runnerState) {
	a.reportedEmpty = true
	a.conn.Send(&peer.Message{Report: &peer.Report{Worker: dispatch.Worker{Name: a.settings.Name}, Started: a.startedRuns(), RunnerEnded: state == runnerEnded}})
	a.ping(now)
	a.emptyReportPing = a.pingSeq
}

// startedRuns returns the runs that the present life of the runner lists, and the starts that were sent to it
// since: the dispatcher may know neither. The caller holds mu.
func (a *Agent) startedRuns() []dispatch.RunStarted {
	var out []dispatch.RunStarted
	for key := range a.sentStarts {
		out = append(out, dispatch.RunStarted{Task: key.task, Run: key.run})
	}
	for i := range a.runs {
		out = append(out, dispatch.RunStarted{Task: a.runs[i].Task, Run: a.runs[i].Run})
	}
	return out
}

// emptyReportRead reports whether every order that the dispatcher sent before it read the empty report
// has arrived: a connection keeps the order of messages, and the ping after the report is answered. The
// caller holds mu.
func (a *Agent) emptyReportRead() bool { return a.answeredPing >= a.emptyReportPing }

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

// endEmptyReport sends a full report after an empty one, once no start order that the dispatcher
// regards as ended can arrive any more. The caller holds mu.
func (a *Agent) endEmptyReport() {
	if a.conn == nil || !a.emptyReportRead() {
		return
	}
	a.reportedEmpty = false
	a.sendReport()
}

// applyListing replaces the known state of the runner by a listing. The caller holds mu.
func (a *Agent) applyListing(now time.Time, l *Listing) {
	a.runnerClockMS, a.runnerClockReadAt = l.ClockMS, now
	a.sameLifeUntil = now.Add(sameLifeFor)
	a.runs = l.Runs
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

// forgetStart drops what is kept of a start that the runner has listed or that never takes effect. The caller
// holds mu.
func (a *Agent) forgetStart(key runKey) {
	delete(a.unlistedStarts, key)
	delete(a.sentStarts, key)
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
	a.lastReportedEnd = a.lastEndNumber()
	if a.conn != nil {
		a.conn.Send(&peer.Message{Report: a.newReport()})
	}
}

// sendNewEnds sends the run ends that have not been sent to the dispatcher yet. The caller holds mu.
func (a *Agent) sendNewEnds() {
	if a.conn == nil {
		return
	}
	var unsent []dispatch.RunEnd
	for _, e := range a.runEnds {
		if e.Number > a.lastReportedEnd {
			unsent = append(unsent, e)
		}
	}
	if len(unsent) > 0 && a.conn.Send(&peer.Message{RunEnds: &peer.RunEnds{Life: a.life, Ends: unsent}}) {
		a.lastReportedEnd = a.lastEndNumber()
	}
}

// newReport returns a report of the worker's whole state. The caller holds mu.
func (a *Agent) newReport() *peer.Report {
	r := &peer.Report{Worker: a.describeWorker(), Runs: append([]dispatch.RunStatus(nil), a.runs...), RunEnds: append([]dispatch.RunEnd(nil), a.runEnds...), Started: a.earlierStarts}
	for k := range a.unlistedStarts {
		r.Runs = append(r.Runs, dispatch.RunStatus{Task: k.task, Run: k.run, Pending: true})
	}
	return r
}

// describeWorker returns what the agent knows of its worker. The caller holds mu.
func (a *Agent) describeWorker() dispatch.Worker {
	w := dispatch.Worker{Name: a.settings.Name, Life: a.life, Draining: true, PacePercent: a.guard.pacer.PacePercent()}
	if b := &a.heartbeat; b.StartedAtMS == a.life {
		w.Service, w.Capacity, w.Labels, w.Draining, w.Instance = b.Service, b.Capacity, b.Labels, b.Draining, b.Instance
		w.EndAnnounced = b.Draining
	}
	return w
}

var (
	errLeaseTooShort   = errors.New("too little of the worker lease is left for a start")
	errSilentRunner    = errors.New("the runner does not answer")
	errOtherLife       = errors.New("the order is for another life of the runner")
	errReportedEmpty   = errors.New("the dispatcher was told that the worker runs nothing")
	errNoPolicyService = errors.New("no policy service is configured")
)
