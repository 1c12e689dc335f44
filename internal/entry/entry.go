// Package entry is the callers' door: it routes interactive requests, accepts,
// schedules and reports jobs, and relays what the log says to the agents.
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

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Streams of the log service.
const (
	StreamBundles = "bundles"
	StreamMembers = "members"
	streamJobs    = "jobs-"
)

// JobsStream returns the stream of a data centre's jobs.
func JobsStream(dataCentre string) string { return streamJobs + dataCentre }

// Settings configure an entry.
type Settings struct {
	Name       string
	DataCentre string
	// Listen is the callers' door, IP and port.
	Listen string
	// PeerListen is where agents and entries reach this one, IP and port.
	PeerListen string
	// PeerAdvertise is the address that others are told; empty for the one listened at.
	PeerAdvertise string
	LogURL        string
	Roots         bundle.Operators
	// DrainAfter is how long the entry goes on answering after it has said that it leaves.
	DrainAfter time.Duration
	// AnnounceEvery is the time between two membership records; 0 is the usual time.
	AnnounceEvery time.Duration
	// Open lets callers in without a token, as the team named in a header.
	Open bool
}

// Entry is one running entry.
type Entry struct {
	settings Settings
	id       *link.Identity
	agents   *link.Client
	entries  *link.Client
	log      *log.Logger
	logPort  record.Log
	registry gometrics.Registry
	door     *http.Server
	doorLn   net.Listener
	peers    *link.Server
	writer   *services.Writer
	bundles  *services.Writer
	members  *services.Writer
	name     string
	leaving  atomic.Bool
	// requestTimer times callers' requests.
	requestTimer gometrics.Timer

	// Lock order: jobs.mu, routes.mu, bundleMu, memberMu,
	// carried.mu. No lock is held
	// during a call to another process.
	jobs     jobs
	routes   routes
	bundleMu sync.Mutex
	bundle   bundles
	memberMu sync.Mutex
	known    map[string]member
	// refreshes counts this entry's own membership records read back.
	refreshes uint64
	foreign   foreign
	spills    spills
	carried   carried
	receiver  link.Receiver
	// newer holds the address of an agent that has a newer bundle in force.
	newer chan string
}

// logConnections is the number of idle connections kept to the log service.
const logConnections = 8

// New returns an entry that is bound to its addresses but does not run yet.
func New(now time.Time, s Settings, id *link.Identity, logger *log.Logger) (*Entry, error) {
	port := services.NewLog(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: logConnections}}, s.LogURL)
	name := incarnationName(s.Name, now)
	e := &Entry{
		settings: s,
		id:       id,
		agents:   link.NewClient(id, link.RoleAgent, link.RoleEntry),
		entries:  link.NewClient(id, link.RoleEntry),
		log:      logger,
		logPort:  port,
		registry: gometrics.NewRegistry(),
		writer:   services.NewWriter(port, JobsStream(s.DataCentre), name, StreamGap),
		bundles:  services.NewWriter(port, StreamBundles, name, StreamGap),
		members:  services.NewWriter(port, StreamMembers, name, StreamGap),
		name:     name,
		bundle:   bundles{chain: bundle.NewChain(s.Roots)},
		known:    make(map[string]member),
		newer:    make(chan string, 1),
	}
	id.OnRefused(func(err error) { logger.Warn().Err(err).Str("decision", "refuse-peer").Msg("") })
	e.jobs.attach(now)
	e.requestTimer = gometrics.GetOrRegisterTimer("requests", e.registry)
	e.routes.random = rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(len(s.Name)))) //nolint:gosec // load balancing only
	var err error
	if e.doorLn, err = new(net.ListenConfig).Listen(context.Background(), "tcp", s.Listen); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	e.door = &http.Server{Handler: e.closeWhenLeaving(e.doorHandler()), ReadHeaderTimeout: headerTimeout}
	if e.peers, err = link.Listen(s.PeerListen, id, e.peerHandler(), link.RoleAgent, link.RoleEntry); err != nil {
		return nil, err
	}
	return e, nil
}

// headerTimeout bounds how long a caller takes to send a request's headers.
const headerTimeout = 10 * time.Second

// Address returns the callers' door.
func (e *Entry) Address() string { return e.doorLn.Addr().String() }

// PeerAddress returns where agents and entries reach this one.
func (e *Entry) PeerAddress() string {
	if e.settings.PeerAdvertise != "" {
		return e.settings.PeerAdvertise
	}
	return e.peers.Address()
}

// ListenAddress returns the address that the peers' door is bound to.
func (e *Entry) ListenAddress() string { return e.peers.Address() }

// flushTime bounds how long a leaving entry tries to append what is queued.
const flushTime = 3 * time.Second

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	var group sync.WaitGroup
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.foreign.start(live)
	for _, w := range []*services.Writer{e.writer, e.bundles, e.members} {
		group.Go(func() { w.Run(live, flushTime) })
	}
	for _, t := range e.tails() {
		group.Go(func() { t.Run(live) })
	}
	group.Go(func() { e.serve("peers over TCP", e.peers.ServeTCP) })
	group.Go(func() { e.serve("peers over QUIC", e.peers.ServeQUIC) })
	group.Go(func() { e.serve("callers", func() error { return e.door.Serve(e.doorLn) }) })
	group.Go(func() { e.schedule(live) })
	group.Go(func() { e.confirmSilence(live) })
	group.Go(func() { e.announce(live) })
	group.Go(func() { e.carryForward(live) })
	group.Go(func() { e.learnBundles(live) })
	group.Go(func() { e.failOver(live) })
	group.Go(func() { e.exchangeSums(live) })
	e.log.Info().Str("address", e.Address()).Str("peer-address", e.PeerAddress()).Msg("entry started")
	<-ctx.Done()
	e.drain(live)
	stop()
	group.Wait()
	e.foreign.group.Wait()
	return errors.CombineErrors(e.agents.Close(), e.entries.Close())
}

func (e *Entry) serve(what string, fn func() error) {
	if err := fn(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Err(err).Msg("serving " + what + " failed")
	}
}

// drain makes the entry unready, waits until balancer and agents know, and
// ends after the requests in flight.
func (e *Entry) drain(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info().Msg("entry is leaving")
	e.tellMembers(ctx, true)
	delay.For(ctx, e.settings.DrainAfter)
	if err := e.door.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("shutdown of the callers' door")
	}
	if err := e.peers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("shutdown of the peers' door")
	}
}

// Times after its start at which an entry counts as ready.
const (
	// warmUp lets every agent be heard, so that requests do not crowd on the first.
	warmUp = 1500 * time.Millisecond
	// readyAnyway is when an entry is ready even without an endpoint for some service.
	readyAnyway = 10 * time.Second
)

// Ready reports whether the entry can serve callers: a bundle is in force, the
// jobs stream has been read, and the endpoints of every service are known.
func (e *Entry) Ready(now time.Time) bool {
	e.jobs.mu.Lock()
	caughtUp := !e.jobs.began.IsZero()
	age := now.Sub(e.jobs.born)
	e.jobs.mu.Unlock()
	d := e.document()
	if !caughtUp || d == nil || e.leaving.Load() {
		return false
	}
	return age > readyAnyway || (age > warmUp && e.routes.covers(now, d))
}

func (e *Entry) document() *bundle.Document {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	return e.bundle.chain.Document()
}
