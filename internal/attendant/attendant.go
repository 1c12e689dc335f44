// Package attendant is the agent beside a runner: it carries out the
// dispatcher's orders, extends leases only as far as it was granted, and reports
// what the runner lists.
package attendant

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
	"savoryhoist.example/savoryhoist/pkg/tenure"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Times of an agent.
const (
	// pingEvery is how often the agent asks for more time, a tenth of a grant.
	pingEvery = 400 * time.Millisecond
	// holdWait is how long one look at the runner waits for an end.
	holdWait = time.Second
	// callTimeout bounds a call to the runner, which is on the same machine.
	callTimeout = time.Second
	// sureFor is how long after a listing the runner is taken to be in the same
	// life: one that ends breaks its calls off and takes longer to begin again.
	sureFor = 250 * time.Millisecond
	// lookGap is the least time between two looks; ends are passed on as late as this.
	lookGap = 25 * time.Millisecond
	// retryAfter is the delay after a call to the runner that failed.
	retryAfter = 200 * time.Millisecond
	// latestEffect is how long a start without an answer may still take effect: a
	// runner may carry it out up to 12 seconds late.
	latestEffect = 13 * time.Second
	// shortestGrant is what must be left of a grant for a start.
	shortestGrant = 500 * time.Millisecond
	// driftShare bounds the relative error of the runner's clock: one part in 50.
	driftShare = 50
)

// Settings configure an agent.
type Settings struct {
	// Name is the worker's name, unique among all.
	Name        string
	Zone        string
	Incarnation uint64
	// Entries are peer addresses of entries that may be up.
	Entries []string
	// Advise asks which runners may run a step; nil if there is nobody to ask.
	Advise func(ctx context.Context, step workflow.StepID, instances []string) (*Advice, error)
}

// runKey names one run of a task.
type runKey struct {
	task workflow.TaskID
	run  uint64
}

// Attendant is one running agent.
type Attendant struct {
	settings Settings
	runner   Runner
	store    store.Port
	log      *log.Logger
	registry gometrics.Registry
	group    sync.WaitGroup
	looked   chan struct{}

	// mu guards everything below. It is never held during I/O.
	mu        sync.Mutex
	announced Announcement
	seq       uint64
	life      uint64
	// clockMS and clockAt are a reading of the runner's clock and when it arrived.
	clockMS int64
	clockAt time.Time
	grant   tenure.Grant
	// held is when the last lease that was asked for has ended.
	held time.Time
	// vacant is set once the dispatcher was told that nothing runs.
	vacant bool
	term   uint64
	conn   *peer.Conn
	rows   []dispatch.Row
	ends   []dispatch.End
	// told is the last end that the dispatcher was told, noted the last that it has stored.
	told  uint64
	noted uint64
	// sure is until when the runner is taken to be in the life that it listed last.
	sure time.Time
	// orders are starts that the runner has not listed yet.
	orders map[runKey]*dispatch.Start
	// late are starts without an answer that may still take effect, with the time until which they may.
	late    map[runKey]time.Time
	entries map[string]bool
	pings   map[uint64]time.Time
	guard   guard
	// beside is set while serving and filling tasks run side by side.
	beside bool
}

// New returns an agent.
func New(s Settings, runner Runner, port store.Port, logger *log.Logger, registry gometrics.Registry) *Attendant {
	a := &Attendant{
		settings: s, runner: runner, store: port, log: logger, registry: registry, looked: make(chan struct{}, 1),
		held:   clock.Steady().Add(tenure.GrantFor), // an agent before this one may have extended leases
		orders: make(map[runKey]*dispatch.Start), late: make(map[runKey]time.Time), entries: make(map[string]bool), pings: make(map[uint64]time.Time),
	}
	for _, e := range s.Entries {
		a.entries[e] = true
	}
	return a
}

// Run works until ctx ends. What runs goes on: the next agent takes it over.
func (a *Attendant) Run(ctx context.Context) {
	a.log.Info().Str("worker", a.settings.Name).Uint64("incarnation", a.settings.Incarnation).Msg("attendant started")
	a.group.Go(func() { a.look(ctx) })
	a.group.Go(func() { a.connect(ctx) })
	a.group.Wait()
	a.log.Info().Msg("attendant stopped")
}

// count adds to a counter.
func (a *Attendant) count(name string) {
	gometrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}

// Announce takes in a heartbeat of the runner. Older ones than the newest of the
// same life, and those of an earlier life, change nothing.
func (a *Attendant) Announce(b *Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Born < a.announced.Born || b.Born == a.announced.Born && b.Seq <= a.announced.Seq && a.announced.Instance != "" {
		a.log.Info().Str("instance", b.Instance).Uint64("seq", b.Seq).Msg("an old heartbeat is skipped")
		return
	}
	changed := b.Draining != a.announced.Draining || b.Born != a.announced.Born
	first := a.announced.Instance == ""
	a.announced = *b
	if changed {
		a.log.Info().Str("instance", b.Instance).Uint64("born", b.Born).Bool("draining", b.Draining).Msg("runner announced itself")
	}
	if changed && !first && a.conn != nil {
		a.ping(clock.Steady())
	}
}

// Leave notes that the runner has ended its present life.
func (a *Attendant) Leave(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if instance != a.announced.Instance {
		return
	}
	a.log.Info().Str("instance", instance).Msg("runner left")
	a.announced.Draining = true
	if a.conn != nil {
		a.ping(clock.Steady())
	}
}

// beginLife forgets what belonged to the runner's earlier life. The caller holds mu.
func (a *Attendant) beginLife(born uint64) {
	if a.life != 0 {
		a.log.Warn().Uint64("from", a.life).Uint64("to", born).Int("runs", len(a.rows)).Msg("the runner began another life")
	}
	a.life = born
	a.vacant = false
	a.clockMS, a.clockAt = 0, time.Time{}
	a.rows, a.ends = nil, nil
	a.told, a.noted = 0, 0
	a.guard = guard{}
}

// call returns what calls to the runner carry. The caller holds mu.
func (a *Attendant) call() Call {
	c := Call{Term: a.term}
	if a.announced.Born == a.life {
		c.Instance = a.announced.Instance
	}
	return c
}

// until returns the lease's end on the runner's clock, or 0. The caller holds mu.
// A runner whose clock is slow ends the lease no later than the grant.
func (a *Attendant) until(now time.Time) int64 {
	left := a.grant.Left(now)
	if left <= 0 || a.clockAt.IsZero() {
		return 0
	}
	d := now.Add(left).Sub(a.clockAt)
	d -= d / driftShare
	return a.clockMS + d.Milliseconds()
}

// look keeps one look at the runner open.
func (a *Attendant) look(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		a.mu.Lock()
		known := a.term != 0
		wait := holdWait
		if a.clockAt.IsZero() {
			wait = 0
		} else if a.beside {
			wait = paceWait
		}
		a.mu.Unlock()
		if !known {
			clock.Pause(ctx, a.looked, retryAfter)
			continue
		}
		began := clock.Steady()
		err := a.lookOnce(ctx, wait)
		if (err != nil) != failing {
			failing = err != nil
			a.log.Warn().Err(err).Bool("failing", failing).Msg("looking at the runner")
		}
		if err != nil {
			clock.Pause(ctx, nil, retryAfter)
		} else if gap := lookGap - clock.Steady().Sub(began); gap > 0 {
			clock.Pause(ctx, nil, gap) // a look returns at once while the runner keeps ends that are not noted
		}
	}
}

// lookOnce extends leases and takes in what the runner lists.
func (a *Attendant) lookOnce(ctx context.Context, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	a.mu.Lock()
	now := clock.Steady()
	h := Hold{Call: a.call()}
	if now.Before(a.sure) {
		// Another life numbers its ends and counts its time anew, perhaps under the same
		// name: it would forget what was never told, and lease longer than was granted.
		h.Noted, h.UntilMS, h.Wait = a.noted, a.until(now), wait
	}
	if h.UntilMS > 0 {
		a.asked(now)
	}
	a.mu.Unlock()
	l, err := a.runner.Hold(callCtx, h)
	if err != nil {
		a.unanswered(err)
		return err
	}
	a.listed(ctx, l)
	return nil
}

// asked notes that a call asks for leases up to the end of the grant. The caller holds mu.
func (a *Attendant) asked(now time.Time) {
	if until := now.Add(a.grant.Left(now)); until.After(a.held) {
		a.held = until
	}
}

// unanswered tells the dispatcher that nothing runs any more once that is certain.
func (a *Attendant) unanswered(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sure = time.Time{}
	if a.vacant || a.conn == nil || !a.ended(err) {
		return
	}
	a.vacant = true
	a.count("runners-lost")
	a.log.Warn().Err(err).Uint64("life", a.life).Msg("runner lost; its runs have ended")
	a.conn.Send(&peer.Message{Report: a.emptyReport()})
}

// ended reports whether nothing can run after a look failed: no runner listens,
// or the last lease is over. The caller holds mu.
func (a *Attendant) ended(err error) bool {
	return errors.Is(err, ErrGone) || clock.Steady().After(a.held.Add(leaseSlack))
}

// emptyReport says that nothing runs at the worker.
func (a *Attendant) emptyReport() *peer.Report {
	return &peer.Report{Worker: dispatch.Worker{Name: a.settings.Name}}
}

// leaseSlack covers the time until a call reaches the runner.
const leaseSlack = 300 * time.Millisecond

// listed takes in a listing and tells the dispatcher what is new.
func (a *Attendant) listed(ctx context.Context, l *Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Steady()
	if l.Born != a.life {
		if l.Born < a.life {
			return
		}
		a.beginLife(l.Born)
		strays := a.strays(now)
		a.takeListing(now, l)
		if len(strays) > 0 {
			a.group.Go(func() { a.settle(ctx, l.Born, strays) })
			return
		}
		a.tellAll()
		return
	}
	if l.ClockMS < a.clockMS {
		return // a later answer has overtaken this one
	}
	a.takeListing(now, l)
	if a.vacant && a.conn != nil {
		a.vacant = false
		a.tellAll()
		return
	}
	a.tellEnds()
	a.pace(ctx, now)
}

// takeListing replaces what is known of the runner. The caller holds mu.
func (a *Attendant) takeListing(now time.Time, l *Listing) {
	a.clockMS, a.clockAt = l.ClockMS, now
	a.sure = now.Add(sureFor)
	a.rows = l.Rows
	a.ends = a.ends[:0]
	for _, e := range l.Ends {
		delete(a.orders, runKey{e.Task, e.Run})
		if e.Number > a.noted {
			a.ends = append(a.ends, e)
		}
	}
	for _, r := range l.Rows {
		if o := a.orders[runKey{r.Task, r.Run}]; o != nil {
			a.guard.learn([]dispatch.Guarded{{Task: r.Task, TargetMS: o.TargetMS, Fills: o.Fills, Harm: o.Harm}})
			delete(a.orders, runKey{r.Task, r.Run})
		}
	}
}

func (a *Attendant) lastEnd() uint64 {
	last := a.noted
	for _, e := range a.ends {
		last = max(last, e.Number)
	}
	return last
}

// tellAll reports the worker's whole state. The caller holds mu.
func (a *Attendant) tellAll() {
	a.told = a.lastEnd()
	if a.conn != nil {
		a.conn.Send(&peer.Message{Report: a.report()})
	}
}

// tellEnds sends the ends that the dispatcher has not been told. The caller holds mu.
func (a *Attendant) tellEnds() {
	if a.conn == nil {
		return
	}
	var news []dispatch.End
	for _, e := range a.ends {
		if e.Number > a.told {
			news = append(news, e)
		}
	}
	if len(news) > 0 && a.conn.Send(&peer.Message{Ends: &peer.Ends{Life: a.life, Ends: news}}) {
		a.told = a.lastEnd()
	}
}

// report returns the worker's whole state. The caller holds mu.
func (a *Attendant) report() *peer.Report {
	r := &peer.Report{Worker: a.worker(), Rows: append([]dispatch.Row(nil), a.rows...), Ends: append([]dispatch.End(nil), a.ends...)}
	for k := range a.orders {
		r.Rows = append(r.Rows, dispatch.Row{Task: k.task, Run: k.run, Pending: true})
	}
	return r
}

// worker describes the runner. The caller holds mu.
func (a *Attendant) worker() dispatch.Worker {
	w := dispatch.Worker{Name: a.settings.Name, Life: a.life, Draining: true, Pace: a.guard.pacer.Percent()}
	if b := &a.announced; b.Born == a.life {
		w.Service, w.Capacity, w.Labels, w.Draining, w.Instance = b.Service, b.Capacity, b.Labels, b.Draining, b.Instance
	}
	return w
}

var (
	errNoGrant   = errors.New("too little time is granted")
	errOtherLife = errors.New("another life of the runner")
	errNoAdviser = errors.New("the settings name no policy service")
)
