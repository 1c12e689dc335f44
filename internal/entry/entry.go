// Package entry implements an entry, the process that serves callers: it routes
// interactive requests, accepts, schedules and reports jobs, and passes what it reads
// in the log on to the agents.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/connlimit"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Streams of the log service.
const (
	StreamBundles    = "bundles"
	StreamMembers    = "members"
	jobsStreamPrefix = "jobs-"
)

// JobsStream returns the stream of a data centre's jobs.
func JobsStream(dataCentre string) string { return jobsStreamPrefix + dataCentre }

// Settings configure an entry.
type Settings struct {
	Name       string
	DataCentre string
	// Listen is the address that callers connect to, IP and port.
	Listen string
	// PeerListen is the address that agents and other entries connect to, IP and port.
	PeerListen string
	// PeerAdvertise is the address that is published to agents and other entries; empty
	// for the address listened on.
	PeerAdvertise string
	LogURL        string
	Roots         bundle.Operators
	// DrainDelay is how long the entry goes on serving after it has announced that it is
	// draining.
	DrainDelay time.Duration
	// AnnounceEvery is the time between two membership records of the entry; 0 means
	// defaultAnnounceInterval.
	AnnounceEvery time.Duration
	// AllowUnauthenticated accepts callers without a token; HeaderTeam then names their team.
	AllowUnauthenticated bool
}

// Entry is one running entry.
type Entry struct {
	settings        Settings
	identity        *link.Identity
	agentClient     *link.Client
	entryClient     *link.Client
	log             *log.Logger
	logService      record.Log
	registry        gometrics.Registry
	apiServer       *http.Server
	apiListener     net.Listener
	peerServer      *link.Server
	localJobsWriter *services.Writer
	bundlesWriter   *services.Writer
	membersWriter   *services.Writer
	// writerID is the name that this entry's batches in the log carry.
	writerID string
	draining atomic.Bool
	// requestTimer measures the latency of callers' requests.
	requestTimer gometrics.Timer

	// Lock order: jobs.mu, routes.mu, bundleMu, memberMu, carriedForward.mu. No lock is
	// held during a call to another process.

	// jobs holds all batch jobs of this data centre and their scheduling.
	jobs batchState
	// routes holds the endpoints and the waiting requests of each service.
	routes routes
	// bundleMu guards bundle.
	bundleMu sync.Mutex
	bundle   bundleState
	// memberMu guards knownMembers and ownRecordsRead.
	memberMu sync.Mutex
	// knownMembers holds the entries of all data centres by name, this one included.
	knownMembers map[string]member
	// ownRecordsRead is the number of this entry's own membership records that it has read
	// back from the log.
	ownRecordsRead    uint64
	remoteWriters     remoteJobsWriters
	remoteLoad        remoteLoad
	carriedForward    carryForwardState
	endOfJobs         endOfJobs
	heartbeatReceiver link.HeartbeatReceiver
	// newerBundleAgents passes the address of an agent that has a newer bundle in force than
	// this entry to fetchNewerBundles.
	newerBundleAgents chan string
}

// maxIdleLogConnections is the most idle connections kept to the log service.
const maxIdleLogConnections = 8

// New returns an entry that is bound to its addresses but does not run yet.
func New(now time.Time, s Settings, id *link.Identity, logger *log.Logger) (*Entry, error) {
	logService := services.NewLog(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleLogConnections}}, s.LogURL)
	name := incarnationName(s.Name, now)
	e := &Entry{
		settings:          s,
		identity:          id,
		agentClient:       link.NewClient(id, link.RoleAgent, link.RoleEntry),
		entryClient:       link.NewClient(id, link.RoleEntry),
		log:               logger,
		logService:        logService,
		registry:          gometrics.NewRegistry(),
		localJobsWriter:   services.NewWriter(logService, JobsStream(s.DataCentre), name, StreamAppendInterval),
		bundlesWriter:     services.NewWriter(logService, StreamBundles, name, StreamAppendInterval),
		membersWriter:     services.NewWriter(logService, StreamMembers, name, StreamAppendInterval),
		writerID:          name,
		bundle:            bundleState{chain: bundle.NewChain(s.Roots)},
		knownMembers:      make(map[string]member),
		newerBundleAgents: make(chan string, 1),
		endOfJobs:         endOfJobs{turn: make(chan struct{}, 1)},
	}
	id.OnRefused(func(err error) { logger.Warn().Err(err).Str("decision", "refuse-peer").Msg("") })
	e.jobs.connectScheduler(now)
	e.requestTimer = gometrics.GetOrRegisterTimer("requests", e.registry)
	e.routes.random = rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(len(s.Name)))) //nolint:gosec // load balancing only
	var err error
	if e.apiListener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", s.Listen); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	e.apiServer = &http.Server{Handler: e.closeWhenDraining(e.apiHandler()), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: connlimit.HardHeadBytes}
	if e.peerServer, err = link.Listen(s.PeerListen, id, e.peerHandler(), link.RoleAgent, link.RoleEntry); err != nil {
		return nil, err
	}
	return e, nil
}

// headerTimeout bounds how long a caller takes to send a request's headers.
const headerTimeout = 10 * time.Second

// Address returns the address that callers connect to.
func (e *Entry) Address() string { return e.apiListener.Addr().String() }

// PeerAddress returns the address that agents and other entries connect to.
func (e *Entry) PeerAddress() string {
	if e.settings.PeerAdvertise != "" {
		return e.settings.PeerAdvertise
	}
	return e.peerServer.Address()
}

// PeerListenAddress returns the address that the server for peers is bound to.
func (e *Entry) PeerListenAddress() string { return e.peerServer.Address() }

// flushTimeout bounds how long a draining entry tries to append the records still queued.
const flushTimeout = 3 * time.Second

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	var group sync.WaitGroup
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.remoteWriters.setContext(live)
	for _, w := range []*services.Writer{e.localJobsWriter, e.bundlesWriter, e.membersWriter} {
		group.Go(func() { w.Run(live, flushTimeout) })
	}
	for _, t := range e.streamReaders() {
		group.Go(func() { t.Run(live) })
	}
	group.Go(func() { e.serveUntilClosed("peers over TCP", e.peerServer.ServeTCP) })
	group.Go(func() { e.serveUntilClosed("peers over QUIC", e.peerServer.ServeQUIC) })
	group.Go(func() { e.serveUntilClosed("callers", func() error { return e.apiServer.Serve(e.apiListener) }) })
	group.Go(func() { e.schedule(live) })
	group.Go(func() { e.confirmSilentWorkers(live) })
	group.Go(func() { e.announce(live) })
	group.Go(func() { e.carryForward(live) })
	group.Go(func() { e.fetchNewerBundles(live) })
	group.Go(func() { e.failOver(live) })
	group.Go(func() { e.queryRemoteLoad(live) })
	e.log.Info().Str("address", e.Address()).Str("peer-address", e.PeerAddress()).Msg("entry started")
	<-ctx.Done()
	e.drain(live)
	stop()
	group.Wait()
	e.remoteWriters.group.Wait()
	return errors.CombineErrors(e.agentClient.Close(), e.entryClient.Close())
}

// serveUntilClosed calls serve, which blocks until its server is closed, and logs any other
// error. clients names who is served.
func (e *Entry) serveUntilClosed(clients string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Err(err).Msg("serving " + clients + " failed")
	}
}

// drain makes the entry unready, waits for DrainDelay so that load balancers and agents
// notice, shuts the servers down and returns when the requests in flight have ended.
func (e *Entry) drain(ctx context.Context) {
	e.draining.Store(true)
	e.log.Info().Msg("entry is draining")
	e.appendMembership(ctx, true)
	delay.For(ctx, e.settings.DrainDelay)
	if err := e.apiServer.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("shutdown of the server for callers failed")
	}
	if err := e.peerServer.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("shutdown of the server for peers failed")
	}
}

// Bounds of the time from its start until an entry is ready.
const (
	// minWarmUp is the least time from the start until an entry is ready. It gives every agent
	// time to send a heartbeat, so that requests do not all go to the first agents known.
	minWarmUp = 1500 * time.Millisecond
	// maxWarmUp is the time after which an entry is ready even if some service has no endpoint.
	maxWarmUp = 10 * time.Second
)

// Ready reports whether the entry can serve callers: a bundle is in force, the jobs stream
// has been read to its end, the entry is not draining, and either minWarmUp has passed and
// every service has an endpoint that takes requests, or maxWarmUp has passed.
func (e *Entry) Ready(now time.Time) bool {
	e.jobs.mu.Lock()
	caughtUp := !e.jobs.lastReadBegan.IsZero()
	age := now.Sub(e.jobs.startedAt)
	e.jobs.mu.Unlock()
	d := e.document()
	if !caughtUp || d == nil || e.draining.Load() {
		return false
	}
	return age > maxWarmUp || (age > minWarmUp && e.routes.allServicesUsable(now, d))
}

// document returns the document of the bundle in force, or nil if there is none.
func (e *Entry) document() *bundle.Document {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	return e.bundle.chain.Document()
}
