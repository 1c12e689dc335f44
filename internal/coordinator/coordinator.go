// Package coordinator is an entry, a process that accepts jobs from callers: it
// stores submissions and cancellations and answers queries for the phase of a job.
// One entry at a time, the dispatcher, also schedules all tasks. Entries elect it
// through the store: each leadership claim begins a new term, and the store
// rejects the writes of earlier terms.
package coordinator

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Intervals and timeouts of an entry.
const (
	// pingEvery is how often each other entry pings the dispatcher; leadership.ElectionTimeout
	// allows four missed pings.
	pingEvery = 300 * time.Millisecond
	// tickEvery is how often an entry checks its peers, the workers and its term for timeouts.
	tickEvery = 100 * time.Millisecond
	// tailEvery is how often job records are read from the store; a job must be visible at
	// all entries within three seconds.
	tailEvery = time.Second
	// storeTimeout bounds one call to the store; slow calls take up to 0.4 s.
	storeTimeout = 1200 * time.Millisecond
	// silentAfter is the time without a message after which an agent gets no more orders, and
	// an entry is not chosen as the successor.
	silentAfter = 900 * time.Millisecond
	// leaderLeaseRenewEvery is how often an idle dispatcher writes to the store to renew
	// its leadership lease, well within leadership.SoloLeaseDuration.
	leaderLeaseRenewEvery = 2 * time.Second
)

// Settings configure an entry.
type Settings struct {
	// Name is unique among entries.
	Name string
	Zone string
	// Listen is the address, IP and port, at which entries and agents reach this entry.
	Listen string
	// Bind is the address to listen at, if it is not Listen.
	Bind string
	// Entries are the peer addresses of entries to try first; some may be down.
	Entries []string
	// Strength is what the VM can do for the dispatcher, in thousandths of a processor: the
	// strongest entries claim leadership first.
	Strength int
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation uint64
	// RemoteRackSlowdown is the factor by which a task runs longer outside the rack of its data.
	RemoteRackSlowdown float64
	// JobRetention is how long the phase of an ended job can be queried.
	JobRetention time.Duration
	// EvacuationBound is how long after the store's answer to an evacuation the last start in the data centre may be; 0
	// if the deployment has no evacuations.
	EvacuationBound time.Duration
	// RecordLimits are the limits of the store for records.
	RecordLimits RecordLimits
	// DecodeConfig decodes one version of the operators' configuration.
	DecodeConfig func(data []byte) (*Config, error)
	// WrapListener returns the listener for peers with bounds on what clients may do; nil leaves it as it is.
	WrapListener func(net.Listener) net.Listener
}

// Coordinator is one running entry.
type Coordinator struct {
	settings Settings
	store    store.Client
	log      *log.Logger
	registry gometrics.Registry
	listener net.Listener
	group    sync.WaitGroup
	// wakeLead wakes lead, wakeWriter wakes writeChanges, wakeTail wakes tailJobs.
	wakeLead   chan struct{}
	wakeWriter chan struct{}
	wakeTail   chan struct{}
	// intake holds callers' records that wait to be stored.
	intake chan *intakeItem
	// questionRead has a value while a question about an unknown job reads the store.
	questionRead chan struct{}

	// mu guards everything below. It is never held during I/O.
	mu sync.Mutex
	// config is the configuration in force, nil before the first one; rawConfig is its encoding.
	config    *Config
	rawConfig []byte
	jobs      workflow.JobTable
	// droppedQueues holds the queues that config does not name and that have jobs, by name.
	droppedQueues map[string]droppedQueue
	// evacuations is what is known of the evacuated data centres.
	evacuations evacuations
	// storedInterference is the value of the newest record of the interference that dispatchers
	// have measured between images, and interferenceOffset the offset of that record.
	storedInterference []byte
	interferenceOffset uint64
	// storedRunTimes is the value of the newest record of the run times that dispatchers have learned, and
	// runTimesOffset the offset of that record.
	storedRunTimes []byte
	runTimesOffset uint64
	// stoppedBefore is the newest term before which all dispatchers are stored as having stopped.
	stoppedBefore uint64
	// goneWorkers holds the marks of workers that are certainly gone, see leadership.Roster.
	goneWorkers map[string]uint64
	// departures holds the workers whose agents said lately that they have left in order.
	departures map[string]departure
	// tails holds the read positions in jobTopics.
	tails [len(jobTopics)]tail
	// jobReads is the number of calls of catchUp that have not returned.
	jobReads int
	// health decides whether the store serves this entry. storeLost is closed while it does not, and replaced once it
	// does again.
	health    storeHealth
	storeLost chan struct{}
	// candidate decides when this entry claims leadership, and holds the newest claim that it knows.
	candidate leadership.Candidate
	// followed holds the terms whose dispatchers have counted this entry among their followers.
	followed leadership.Followed
	// entries holds what is known of other entries, by their peer addresses; entriesVersion
	// increases with each new address or strength.
	entries        map[string]entryInfo
	entriesVersion uint64
	// links holds the connections that other entries opened to this one, by their peer address.
	links map[string]*entryLink
	// agentConns holds the newest connection of each agent, by the name of its worker.
	agentConns map[string]agentConn
	// draining is set once this entry shuts down.
	draining bool
	// dispatcherConn is the connection to the dispatcher; nil if there is none, or if this entry
	// is the dispatcher.
	dispatcherConn *callConn
	// term is this entry's term; nil unless this entry is the dispatcher.
	term *term
	// pendingByQueue is the dispatcher's latest number of jobs that have not begun, by queue.
	pendingByQueue map[string]int
	// admission decides whether jobs are refused, and outstanding holds those that may not be.
	admission   admission
	outstanding outstandingAppends
	// unmatched holds the cancellations of jobs without a submission.
	unmatched unmatchedCancellations
	// succeeds is the term of the dispatcher that resigned and named this entry as its successor.
	succeeds uint64
	// discoveryBegan is when this entry began to look for others before its first claim.
	discoveryBegan time.Time
	// claimNotBefore is until when this entry does not claim leadership after a dispatcher has
	// resigned, so that the successor can.
	claimNotBefore time.Time
}

// New returns an entry that listens for its peers but does not serve them yet.
func New(s Settings, storeClient store.Client, logger *log.Logger, registry gometrics.Registry) (*Coordinator, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", cmp.Or(s.Bind, s.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if s.WrapListener != nil {
		ln = s.WrapListener(ln)
	}
	c := &Coordinator{
		settings: s, store: storeClient, log: logger, registry: registry, listener: ln,
		wakeLead: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1), wakeTail: make(chan struct{}, 1), intake: make(chan *intakeItem, intakeQueueLength), questionRead: make(chan struct{}, 1), entries: make(map[string]entryInfo), links: make(map[string]*entryLink), agentConns: make(map[string]agentConn),
		storeLost: make(chan struct{}),
	}
	for _, a := range s.Entries {
		c.noteEntry(a, "", 0)
	}
	if s.EvacuationBound > 0 {
		c.gauge("data-centres-evacuated", 0)
	}
	return c, nil
}

// Run starts the goroutines of the entry. When ctx ends, it tells them to stop and returns
// without waiting for them.
func (c *Coordinator) Run(ctx context.Context) {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c.group.Go(func() { c.acceptPeers(live) })
	c.group.Go(func() { c.tailJobs(live) })
	c.group.Go(func() { c.tailConfig(live) })
	c.group.Go(func() { c.follow(live) })
	c.group.Go(func() { c.lead(live) })
	c.group.Go(func() { c.writeChanges(live) })
	c.group.Go(func() { c.watchStore(live) })
	for range intakeWriters {
		c.group.Go(func() { c.writeIntake(live) })
	}
	c.log.Info().Str("address", c.settings.Listen).Uint64("incarnation", c.settings.Incarnation).Msg("coordinator started")
	<-ctx.Done()
}

// BeginShutdown begins the shutdown of this entry: it resigns its term as soon as another
// entry can take over. Until then it keeps dispatching, and it keeps answering callers.
func (c *Coordinator) BeginShutdown() {
	c.mu.Lock()
	c.draining = true
	t := c.term
	c.mu.Unlock()
	c.log.Info().Bool("dispatching", t != nil).Msg("coordinator is leaving")
	notify(c.wakeLead)
}

// count adds to a counter.
func (c *Coordinator) count(name string, n int) {
	gometrics.GetOrRegisterCounter(name, c.registry).Inc(int64(n))
}

// gauge sets a gauge.
func (c *Coordinator) gauge(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, c.registry).Update(v)
}

// observeLatency adds a duration to a latency histogram.
func (c *Coordinator) observeLatency(name string, start, now time.Time) {
	gometrics.GetOrRegisterTimer(name, c.registry).Update(now.Sub(start))
}

// notify wakes the loop that waits on ch. Notifications that have not been received
// yet are merged into one.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Status is what an entry knows of the present state, for operators.
type Status struct {
	// ConfigVersion is the version of the configuration in force; 0 if there is none.
	ConfigVersion uint64
	// Term is the newest leadership term that the entry knows, Dispatcher the name of the entry
	// that claimed it.
	Term       uint64
	Dispatcher string
	// Dispatching is set if the entry is the dispatcher.
	Dispatching bool
	// Jobs is the number of jobs in the job table.
	Jobs int
}

// Status returns the state of this entry.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Term: c.candidate.Claim().Term, Dispatcher: c.candidate.Claim().Entry, Dispatching: c.term != nil, Jobs: c.jobs.Len()}
	if c.config != nil {
		s.ConfigVersion = c.config.Version
	}
	return s
}
