// Package coordinator is an entry for jobs of steps: it stores what callers hand
// in, answers for jobs, and dispatches all tasks while it holds the term.
package coordinator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/tenure"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Times of an entry.
const (
	// pingEvery is how often peers ping the dispatcher; ClaimAfter misses four of them.
	pingEvery = 300 * time.Millisecond
	// tickEvery is how often beliefs about peers and terms are looked at.
	tickEvery = 100 * time.Millisecond
	// tailEvery is how often the jobs' records are read; a job is visible everywhere within three seconds.
	tailEvery = time.Second
	// storeTimeout bounds one call to the store, of which the slowest known take 0.4 s.
	storeTimeout = 1200 * time.Millisecond
	// silentAfter is how long an agent is not heard before it gets no further orders.
	silentAfter = 900 * time.Millisecond
	// proveEvery is how often an idle dispatcher writes to the store, well within tenure.ProofFor.
	proveEvery = 2 * time.Second
)

// Settings configure an entry.
type Settings struct {
	// Name is unique among entries.
	Name string
	Zone string
	// Listen is where peers reach this entry, IP and port.
	Listen string
	// Entries are peer addresses of entries that may be up.
	Entries []string
	// Incarnation tells this process from earlier ones of the same name.
	Incarnation uint64
	// SpreadFactor is how much longer a task takes away from its data.
	SpreadFactor float64
	// StatusFor is how long an ended job is known.
	StatusFor time.Duration
	// DecodeConfig reads the operators' configuration.
	DecodeConfig func(data []byte) (*Config, error)
}

// Coordinator is one running entry.
type Coordinator struct {
	settings Settings
	store    store.Port
	log      *log.Logger
	registry gometrics.Registry
	listener net.Listener
	group    sync.WaitGroup
	wake     chan struct{}
	persist  chan struct{}
	intake   chan *intakeItem

	// mu guards everything below. It is never held during I/O.
	mu        sync.Mutex
	config    *Config
	rawConfig []byte
	book      workflow.Book
	// learned is the newest record of what dispatchers learned about images.
	learned []byte
	// tails say how far bookTopics have been read.
	tails     [len(bookTopics)]tail
	storeSeen time.Time
	// storeFails counts calls to the store in a row that it did not carry out or answer.
	storeFails int
	// storeFailed is when the first of these calls began.
	storeFailed time.Time
	candidate   tenure.Candidate
	// entries are the peer addresses of entries, with their names where known.
	entries map[string]string
	// links are the connections of other entries to this one, by their address.
	links     map[string]*entryLink
	leaving   bool
	upstream  *upstream
	term      *term
	pending   map[string]int
	heirUntil time.Time
}

// New returns an entry that is reachable for its peers.
func New(s Settings, port store.Port, logger *log.Logger, registry gometrics.Registry) (*Coordinator, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	c := &Coordinator{
		settings: s, store: port, log: logger, registry: registry, listener: ln,
		wake: make(chan struct{}, 1), persist: make(chan struct{}, 1), intake: make(chan *intakeItem, intakeQueue), entries: make(map[string]string), links: make(map[string]*entryLink),
	}
	for _, a := range s.Entries {
		if a != s.Listen {
			c.entries[a] = ""
		}
	}
	return c, nil
}

// Run works until ctx ends, then hands the term over and ends.
func (c *Coordinator) Run(ctx context.Context) {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c.group.Go(func() { c.accept(live) })
	c.group.Go(func() { c.tailJobs(live) })
	c.group.Go(func() { c.tailConfig(live) })
	c.group.Go(func() { c.follow(live) })
	c.group.Go(func() { c.lead(live) })
	c.group.Go(func() { c.writeChanges(live) })
	for range intakeWriters {
		c.group.Go(func() { c.writeIntake(live) })
	}
	c.log.Info().Str("address", c.settings.Listen).Uint64("incarnation", c.settings.Incarnation).Msg("coordinator started")
	<-ctx.Done()
}

// Leave hands the term over as soon as another entry can take it; this one goes
// on answering and, until then, dispatching.
func (c *Coordinator) Leave() {
	c.mu.Lock()
	c.leaving = true
	t := c.term
	c.mu.Unlock()
	c.log.Info().Bool("dispatching", t != nil).Msg("coordinator is leaving")
	kick(c.wake)
}

// count adds to a counter.
func (c *Coordinator) count(name string, n int) {
	gometrics.GetOrRegisterCounter(name, c.registry).Inc(int64(n))
}

// gauge sets a gauge.
func (c *Coordinator) gauge(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, c.registry).Update(v)
}

// since adds a duration to a latency histogram.
func (c *Coordinator) since(name string, start, now time.Time) {
	gometrics.GetOrRegisterTimer(name, c.registry).Update(now.Sub(start))
}

// kick makes a loop run now; one kick that waits is enough.
func kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// call runs one call to the store within its time and notes whether it answered.
func call[T any](ctx context.Context, c *Coordinator, extra time.Duration, fn func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+extra)
	defer cancel()
	began := clock.Steady()
	v, err := fn(ctx)
	c.countCall(began, extra, err)
	c.noteCall(began, err)
	return v, err
}

// noteCall updates what is believed of the store from a call that began at a time.
func (c *Coordinator) noteCall(began time.Time, err error) {
	c.mu.Lock()
	now := clock.Steady()
	if errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknown) {
		before := c.storeAway(now)
		if c.storeFails == 0 {
			c.storeFailed = began
		}
		c.storeFails++
		lost := !before && c.storeAway(now)
		c.mu.Unlock()
		if lost {
			c.log.Warn().Err(err).Msg("store lost; what callers hand in is refused")
		}
		return
	}
	away, was := now.Sub(c.storeSeen), c.storeAway(now)
	c.storeSeen, c.storeFails = now, 0
	c.mu.Unlock()
	if was {
		c.log.Info().Dur("away", away).Msg("store regained")
	}
}

// storeAway reports whether the store seems not to serve this entry, so that a
// new record should not be sent to it. The caller holds mu.
func (c *Coordinator) storeAway(now time.Time) bool {
	return c.storeFails >= failsInRow && now.Sub(c.storeSeen) > awayAfter
}

// Limits of the belief in the store.
const (
	// failsInRow tells an outage from single lost answers: a third may be lost.
	failsInRow = 3
	// awayAfter is how long no call succeeds before the store counts as away.
	awayAfter = 400 * time.Millisecond
)

// countCall counts a call to the store by its outcome.
func (c *Coordinator) countCall(began time.Time, extra time.Duration, err error) {
	switch {
	case err == nil:
		c.count("store-calls-answered", 1)
		if extra == 0 {
			c.since("store-call", began, clock.Steady())
		}
	case errors.Is(err, store.ErrRefused):
		c.count("store-calls-refused", 1)
	case errors.Is(err, store.ErrUnknown):
		c.count("store-calls-unanswered", 1)
	default:
		c.count("store-calls-rejected", 1)
	}
}

// Status is what an entry believes, for operators.
type Status struct {
	Version     uint64
	Term        uint64
	Dispatcher  string
	Dispatching bool
	Jobs        int
}

// Status returns what the entry believes.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Term: c.candidate.Claim().Term, Dispatcher: c.candidate.Claim().Entry, Dispatching: c.term != nil, Jobs: c.book.Len()}
	if c.config != nil {
		s.Version = c.config.Version
	}
	return s
}
