// Package agent implements the agent, the process beside an endpoint: it announces the
// endpoint to the entries, admits callers' requests to it, and is the only process that gives
// orders to the worker there.
package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/metrics"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
	"savoryhoist.example/savoryhoist/pkg/lease"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Settings configure an agent.
type Settings struct {
	// Name is the worker's name.
	Name       string
	DataCentre string
	Rack       string
	// Service is the latency-critical service that the endpoint runs.
	Service string
	// Listen is the address that entries connect to, IP and port.
	Listen string
	// AdminListen is the address at which metrics and health are served, IP and port.
	AdminListen string
	// RunnerURL and WorkerURL are the base URLs of the endpoint's runner and of the
	// platform's worker.
	RunnerURL, WorkerURL string
	// Entries are addresses of entries, or of a load balancer in front of them.
	Entries []string
	// HeartbeatEvery is the shortest time between two heartbeat rounds.
	HeartbeatEvery time.Duration
	// DrainDelay is how long the agent goes on serving after it has announced that it is
	// draining.
	DrainDelay time.Duration
	Roots      bundle.Operators
}

// Agent is one running agent.
type Agent struct {
	settings    Settings
	identity    *link.Identity
	entryClient *link.Client
	log         *log.Logger
	worker      services.Worker
	// runner is the transport to the endpoint's runner.
	runner   *http.Transport
	registry gometrics.Registry
	server   *link.Server
	// incarnation is the time at which the process started, in Unix nanoseconds. It
	// distinguishes the process from earlier ones of the same agent.
	incarnation uint64

	// heartbeatCalls counts the heartbeats in progress.
	heartbeatCalls  sync.WaitGroup
	heartbeatSender link.HeartbeatSender

	// mu guards the fields below up to requestedInterval, which requests and heartbeats share.
	mu              sync.Mutex
	dedupTable      endpoint.DedupTable
	gate            endpoint.Gate
	serviceTimes    endpoint.ServiceTimes
	activeAttempts  map[endpoint.AttemptID]*activeAttempt
	waitingAttempts map[*endpoint.SlotRequest]*activeAttempt
	draining        bool
	// chain holds the bundle in force and decides which bundles follow it.
	chain         *bundle.Chain
	entrySelector entrySelector
	// primary is the address of the entry that appends the records for this agent's reports to
	// the log, or empty if no entry does.
	primary string
	// requestedInterval is the longest heartbeat interval that an entry asks for.
	requestedInterval time.Duration

	// tasksMu guards the holder, which decides on the worker's tasks by their leases, and the
	// guard, except for its latencies. It is taken before mu.
	tasksMu sync.Mutex
	holder  lease.Holder
	guard   guard
}

// predecessorStartGrace is how long a start order of an earlier process of this agent may still
// be on its way to the worker. A listing of the worker's tasks that was requested before this time
// has passed may lack the task of such an order.
const predecessorStartGrace = time.Second

// New returns an agent that is bound to its address but does not run yet.
func New(now time.Time, s Settings, id *link.Identity, logger *log.Logger) (*Agent, error) {
	a := &Agent{
		settings:        s,
		identity:        id,
		entryClient:     link.NewClient(id, link.RoleEntry),
		log:             logger,
		worker:          services.NewWorker(&http.Client{}, s.WorkerURL),
		runner:          newRunnerTransport(),
		registry:        gometrics.NewRegistry(),
		incarnation:     uint64(now.UnixNano()),
		chain:           bundle.NewChain(s.Roots),
		entrySelector:   entrySelector{name: s.Name, configured: s.Entries},
		activeAttempts:  make(map[endpoint.AttemptID]*activeAttempt),
		waitingAttempts: make(map[*endpoint.SlotRequest]*activeAttempt),
	}
	a.holder.Ledger().RequireListingSince(now.Add(predecessorStartGrace))
	id.OnRefused(func(err error) { logger.Warn().Err(err).Str("decision", "refuse-peer").Msg("") })
	server, err := link.Listen(s.Listen, id, a.peerHandler(), link.RoleEntry)
	if err != nil {
		return nil, err
	}
	a.server = server
	return a, nil
}

// Address returns the address that entries connect to.
func (a *Agent) Address() string { return a.server.Address() }

// Run serves until ctx ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	var group sync.WaitGroup
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group.Go(func() { a.serveUntilClosed(a.server.ServeTCP) })
	group.Go(func() { a.serveUntilClosed(a.server.ServeQUIC) })
	group.Go(func() { a.sendHeartbeats(live) })
	a.log.Info().Str("address", a.Address()).Uint64("incarnation", a.incarnation).Msg("agent started")
	<-ctx.Done()
	a.drain(live)
	stop()
	group.Wait()
	a.heartbeatCalls.Wait()
	return a.entryClient.Close()
}

// serveUntilClosed calls serve, which blocks until its server is closed, and logs its error.
func (a *Agent) serveUntilClosed(serve func() error) {
	if err := serve(); err != nil {
		a.log.Error().Err(err).Msg("serving peers failed")
	}
}

// drain announces to the entries that the endpoint is draining, and returns when the requests
// in flight have ended.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.log.Info().Msg("agent is draining")
	a.runRound(ctx)
	delay.For(ctx, a.settings.DrainDelay)
	a.waitIdle(ctx)
	if err := a.server.Shutdown(ctx); err != nil {
		a.log.Warn().Err(err).Msg("shutdown")
	}
}

// idlePollInterval is how often a draining agent checks whether requests have ended.
const idlePollInterval = 20 * time.Millisecond

func (a *Agent) waitIdle(ctx context.Context) {
	for a.activeCount() > 0 && delay.For(ctx, idlePollInterval) {
		continue
	}
}

func (a *Agent) activeCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.activeAttempts)
}

// Ready reports whether the agent is not draining, its ledger of the worker's tasks has been
// rebuilt, and an entry has become its primary.
func (a *Agent) Ready() bool {
	a.tasksMu.Lock()
	defer a.tasksMu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Ledger().Ready() && a.primary != "" && !a.draining
}

// AdminHandler serves metrics and health.
func (a *Agent) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler(a.registry))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (a *Agent) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(link.PathRequests+"{service}/", a.serveRequest)
	mux.Handle("POST "+link.PathAttemptState, link.Handle(a.handleAttemptQuery))
	mux.Handle("POST "+link.PathBundle, link.Handle(a.handleBundleQuery))
	return mux
}
