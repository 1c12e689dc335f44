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
	// sameLifeFor is how long after it sent a listing the runner is assumed not to have
	// restarted: calls to a runner that ends fail, and a restart takes longer than this.
	sameLifeFor = 250 * time.Millisecond
	// clockResolution is the resolution of the runner's clock.
	clockResolution = time.Millisecond
	// minPollInterval is the minimum time between the beginnings of two polls. Reports of run
	// ends are delayed by up to this time.
	minPollInterval = 25 * time.Millisecond
	// retryDelay is the delay after a failed call to the runner.
	retryDelay = 200 * time.Millisecond
	// maxStartDelay is how long after its call a start without an answer may still take effect:
	// a runner may carry out a start up to 12 seconds late.
	maxStartDelay = 13 * time.Second
	// maxRunLease bounds the lease that a runner grants, whatever end it is asked for.
	maxRunLease = 6 * time.Second
	// trialReportDelay is how long after the start of a trial the agent reports whether the run is at
	// work; the dispatcher asks for 250 ms.
	trialReportDelay = 300 * time.Millisecond
	// minGrantedLease is how much of the run leases must be left at the runner when a start is sent, which does not extend
	// them; the poll loop renews them once within this time.
	minGrantedLease = 2 * time.Second
	// maxLeasePolls bounds the polls that one start waits for: the first one may show that the life of the runner is the present
	// one, and the next one renews the leases.
	maxLeasePolls = 2
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
	// EvacuationBound is how long after the store's answer to an evacuation the last start in the data centre may be; 0
	// if the deployment has no evacuations.
	EvacuationBound time.Duration
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
	// announced receives a value when a heartbeat announces a later life than the present one.
	announced chan struct{}

	// mu guards everything below. It is never held during I/O.
	mu sync.Mutex
	// heartbeat is the newest heartbeat of the runner; its Instance is empty before the first.
	heartbeat Heartbeat
	// presentHeartbeat is the newest heartbeat of the present life; its Instance is empty before the first. It differs from
	// heartbeat while a later life is announced, since announcedAt.
	presentHeartbeat Heartbeat
	announcedAt      time.Time
	// earlierHeartbeat is the last heartbeat with an earlier start time than that of the present life: it comes late, or
	// from a next life after the clock of the machine was set back.
	earlierHeartbeat Heartbeat
	// pingSeq is the number of the last ping.
	pingSeq uint64
	// life is the start time of the runner, in Unix milliseconds; 0 before the first listing. It was first listed at
	// lifeKnownAt.
	life        uint64
	lifeKnownAt time.Time
	// runnerClockMS is the latest reading of the runner's clock. It was taken between answeredAfter and
	// runnerClockReadAt, when it was handled, on the agent's clock. Both are zero before the first listing of the present life.
	runnerClockMS     int64
	answeredAfter     time.Time
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
	// connections counts the connections that the agent has opened to entries.
	connections uint64
	// conn is the connection to the dispatcher; nil until the agent has reported on it.
	conn *peer.Conn
	// runs and runEnds are from the latest listing; runEnds leaves out acknowledged run ends.
	runs    []dispatch.RunStatus
	runEnds []dispatch.RunEnd
	// keptEnds are run ends of ended lives that no dispatcher has acknowledged, of the oldest life first.
	keptEnds []dispatch.EndedLife
	// moreEnds is Listing.MoreEnds of the latest listing, reportedMoreEnds that of the last report.
	moreEnds         bool
	reportedMoreEnds bool
	// lastReportedEnd is the number of the last run end sent to the dispatcher, lastAckedEnd the
	// number of the last run end that the dispatcher has stored.
	lastReportedEnd uint64
	lastAckedEnd    uint64
	// oldestListedEnd is the number of the oldest run end in the latest listing, 0 if it has none; lastListedEnd is the
	// number of the newest one listed in the present life. wholeLife is set if the agent knew an earlier life, so that it
	// has to see all run ends of the present one.
	oldestListedEnd uint64
	lastListedEnd   uint64
	wholeLife       bool
	// sameLifeUntil is until when the runner is assumed not to have restarted since it sent its last
	// listing; zero after a failed poll.
	sameLifeUntil time.Time
	// unlistedStarts are start orders that have not appeared in a listing yet.
	unlistedStarts map[runKey]*dispatch.Start
	// sentStarts are the unlisted starts that were sent to the runner and not refused.
	sentStarts map[runKey]bool
	// earlierRuns are the runs that the life before the present one had started.
	earlierRuns []dispatch.SentRun
	// unansweredStarts are starts that the runner has not answered, with the time on the agent's
	// clock until which they may take effect.
	unansweredStarts map[runKey]time.Time
	// pendingWhenEmpty are the starts that the last empty report listed as pending and that have not been refused
	// since, with the time until which they may take effect.
	pendingWhenEmpty map[runKey]time.Time
	// endProof holds what polls have shown of the end of the runner.
	endProof endProof
	// grantedLeaseEndMS is the end of the run leases on the runner's clock that answered renewals have asked the present life
	// for; 0 if none has.
	grantedLeaseEndMS int64
	// startAnsweredAt is when the runner last answered that it has carried out a start.
	startAnsweredAt time.Time
	// registration is the number of the registration of the worker that the dispatcher has told this process; 0 if there
	// is none, or the worker has left since. departed is the number of the last one under which the worker has left.
	registration uint64
	departed     uint64
	// successor is the peer address of the entry that a dispatcher has named as its successor, until
	// the agent has tried it.
	successor string
	// entries holds the peer addresses of the known entries.
	entries map[string]bool
	// pingSentAt holds when each ping without an answer was sent, by the ping's number.
	pingSentAt map[uint64]time.Time
	// pingTimes are the times of the last pings, answered or not.
	pingTimes peer.SentTimes
	// connReportedAt is when the agent sent the first report on conn.
	connReportedAt time.Time
	// termCheck holds what reads of the newest claim have shown of the present term. termRead is closed at the end of the
	// read that is under way; nil if there is none.
	termCheck leadership.TermCheck
	termRead  chan struct{}
	// dispatcherLostStore is set while the store has not answered the dispatcher for long. watchedConn is the connection to
	// the dispatcher whose term watchTerm checks for that reason.
	dispatcherLostStore bool
	watchedConn         *peer.Conn
	// evacuated are the evacuated data centres as the dispatcher last named them.
	evacuated []string
	guard     guard
	// colocated is set while the worker runs both serving and best-effort tasks.
	colocated bool
}

// New returns an agent.
func New(s Settings, runner Runner, storeClient store.Client, logger *log.Logger, registry gometrics.Registry) *Agent {
	a := &Agent{
		settings: s, runner: runner, store: storeClient, log: logger, registry: registry, wakePoll: make(chan struct{}, 1), announced: make(chan struct{}, 1),
		lastRunLeaseEnd: clock.Steady().Add(leadership.WorkerLeaseDuration), // an earlier agent process may have renewed run leases up to then
		unlistedStarts:  make(map[runKey]*dispatch.Start), unansweredStarts: make(map[runKey]time.Time), pendingWhenEmpty: make(map[runKey]time.Time), sentStarts: make(map[runKey]bool), entries: make(map[string]bool), pingSentAt: make(map[uint64]time.Time),
	}
	for _, e := range s.Entries {
		a.entries[e] = true
	}
	return a
}

// Run polls the runner and serves the dispatcher until ctx ends. The runs at the runner
// continue after that, and the next agent process takes them over. Entries are told by when the leases of these runs end.
func (a *Agent) Run(ctx context.Context) {
	a.log.Info().Str("worker", a.settings.Name).Uint64("incarnation", a.settings.Incarnation).Msg("runner agent started")
	a.group.Go(func() { a.pollLoop(ctx) })
	a.group.Go(func() { a.connect(ctx) })
	a.group.Wait()
	a.announceStop()
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
	if h.StartedAtMS == a.life && (h.Seq > a.presentHeartbeat.Seq || a.presentHeartbeat.Instance == "") {
		a.presentHeartbeat = *h
	}
	if h.StartedAtMS < a.life {
		a.earlierHeartbeat = *h
	}
	if h.StartedAtMS < a.heartbeat.StartedAtMS || h.StartedAtMS == a.heartbeat.StartedAtMS && h.Seq <= a.heartbeat.Seq && a.heartbeat.Instance != "" {
		a.log.Info().Str("instance", h.Instance).Uint64("seq", h.Seq).Msg("skipped an outdated heartbeat")
		return
	}
	changed := h.Draining != a.heartbeat.Draining || h.StartedAtMS != a.heartbeat.StartedAtMS || h.Capacity != a.heartbeat.Capacity
	if h.StartedAtMS != a.heartbeat.StartedAtMS {
		a.announcedAt = clock.Steady()
	}
	a.heartbeat = *h
	if changed {
		a.log.Info().Str("instance", h.Instance).Uint64("born", h.StartedAtMS).Bool("draining", h.Draining).Int64("cpu", h.Capacity.MilliCPU).
			Int64("memory-mb", h.Capacity.MemoryMB).Msg("runner started or changed its draining state or capacity")
	}
	if changed && a.conn != nil {
		a.ping(clock.Steady())
	}
	if changed && a.nextLifeAnnounced() {
		select {
		case a.announced <- struct{}{}:
		default:
		}
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
	a.wholeLife = a.life != 0
	a.earlierRuns = a.sentRuns()
	clear(a.sentStarts)
	a.presentHeartbeat = Heartbeat{}
	for _, h := range []Heartbeat{a.heartbeat, a.earlierHeartbeat} {
		if h.StartedAtMS == startedAtMS {
			a.presentHeartbeat = h
		}
	}
	if a.heartbeat.StartedAtMS == a.life {
		a.heartbeat = a.presentHeartbeat
	}
	a.keepEnds(a.life, a.unackedEnds())
	a.life, a.lifeKnownAt = startedAtMS, clock.Steady()
	a.reportedEmpty = false
	clear(a.pendingWhenEmpty)
	a.runnerClockMS, a.answeredAfter, a.runnerClockReadAt, a.grantedLeaseEndMS = 0, time.Time{}, time.Time{}, 0
	a.runs, a.runEnds = nil, nil
	a.lastReportedEnd, a.lastAckedEnd, a.oldestListedEnd, a.lastListedEnd = 0, 0, 0, 0
	a.guard = guard{}
}

// nextLifeAnnounced reports whether a heartbeat of a later life than the present one has arrived, so that the present one
// has ended. Calls may reach the later life, since nothing names the instance of the present one any more. The caller
// holds mu.
func (a *Agent) nextLifeAnnounced() bool { return a.life != 0 && a.heartbeat.StartedAtMS > a.life }

// dropAnnouncement takes back a heartbeat of a later life, since the runner has answered a poll in the present life that
// was sent after it: the heartbeat comes from another writer. The caller holds mu.
func (a *Agent) dropAnnouncement() {
	a.count("heartbeats-refuted")
	a.log.Warn().Str("instance", a.heartbeat.Instance).Str("service", a.heartbeat.Service).Uint64("born", a.heartbeat.StartedAtMS).
		Uint64("life", a.life).Msg("dropped a heartbeat of another life: the runner answers in the present one")
	a.heartbeat = a.presentHeartbeat
	if a.conn != nil {
		a.ping(clock.Steady())
	}
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
// no later than the worker lease even if the runner's clock is slow, since its reading counts as taken
// at the latest possible time. The caller holds mu.
func (a *Agent) runLeaseEndMS(now time.Time) int64 {
	left := a.workerLease.Remaining(now)
	if left <= 0 || a.runnerClockReadAt.IsZero() {
		return 0
	}
	return a.toRunnerClockMS(now.Add(left))
}

// toRunnerClockMS returns a reading of the runner's clock, in milliseconds, that the clock shows at time t or earlier. The
// agent must have read that clock. The caller holds mu.
func (a *Agent) toRunnerClockMS(t time.Time) int64 {
	d := t.Sub(a.runnerClockReadAt)
	if d > 0 {
		d -= d / clockDriftDivisor
	}
	return a.runnerClockMS + d.Milliseconds()
}
