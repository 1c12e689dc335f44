// Package agent runs beside an endpoint: it announces the endpoint, admits
// callers' requests to it, and is the only authority over its worker.
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
	// Listen is where entries reach the agent, IP and port.
	Listen string
	// Admin is where metrics and health are served, IP and port.
	Admin string
	// RunnerURL and WorkerURL are the endpoint's runner and the platform's worker.
	RunnerURL, WorkerURL string
	// Entries are addresses of entries, or the balancer's.
	Entries        []string
	HeartbeatEvery time.Duration
	// DrainAfter is how long the agent goes on answering after it has said that it leaves.
	DrainAfter time.Duration
	Roots      bundle.Operators
}

// Agent is one running agent.
type Agent struct {
	settings    Settings
	id          *link.Identity
	client      *link.Client
	log         *log.Logger
	worker      services.Worker
	runner      *http.Transport
	registry    gometrics.Registry
	server      *link.Server
	incarnation uint64

	// calls are the heartbeats under way.
	calls  sync.WaitGroup
	sender link.Sender

	// mu guards what requests and heartbeats share.
	mu       sync.Mutex
	book     endpoint.DedupTable
	gate     endpoint.Gate
	times    endpoint.ServiceTimes
	flights  map[endpoint.AttemptID]*flight
	waiting  map[*endpoint.Ticket]*flight
	leaving  bool
	chain    *bundle.Chain
	contacts contacts
	primary  string
	// pace is the longest heartbeat period that an entry asks for.
	pace time.Duration

	// tasksMu guards the holder and the guard. It is taken before mu.
	tasksMu sync.Mutex
	holder  lease.Holder
	guard   guard
}

// predecessorSettles is how long a start that this agent's predecessor ordered
// may still be on its way to the worker beside it.
const predecessorSettles = time.Second

// New returns an agent that is bound to its address but does not run yet.
func New(now time.Time, s Settings, id *link.Identity, logger *log.Logger) (*Agent, error) {
	a := &Agent{
		settings:    s,
		id:          id,
		client:      link.NewClient(id, link.RoleEntry),
		log:         logger,
		worker:      services.NewWorker(&http.Client{}, s.WorkerURL),
		runner:      newRunnerTransport(),
		registry:    gometrics.NewRegistry(),
		incarnation: uint64(now.UnixNano()),
		chain:       bundle.NewChain(s.Roots),
		contacts:    contacts{name: s.Name, configured: s.Entries},
		flights:     make(map[endpoint.AttemptID]*flight),
		waiting:     make(map[*endpoint.Ticket]*flight),
	}
	a.holder.Ledger().RequireListingSince(now.Add(predecessorSettles))
	id.OnRefused(func(err error) { logger.Warn().Err(err).Str("decision", "refuse-peer").Msg("") })
	server, err := link.Listen(s.Listen, id, a.peerHandler(), link.RoleEntry)
	if err != nil {
		return nil, err
	}
	a.server = server
	return a, nil
}

// Address returns where entries reach the agent.
func (a *Agent) Address() string { return a.server.Address() }

// Run serves until ctx ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	var group sync.WaitGroup
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group.Go(func() { a.serve(a.server.ServeTCP) })
	group.Go(func() { a.serve(a.server.ServeQUIC) })
	group.Go(func() { a.beat(live) })
	a.log.Info().Str("address", a.Address()).Uint64("incarnation", a.incarnation).Msg("agent started")
	<-ctx.Done()
	a.drain(live)
	stop()
	group.Wait()
	a.calls.Wait()
	return a.client.Close()
}

func (a *Agent) serve(fn func() error) {
	if err := fn(); err != nil {
		a.log.Error().Err(err).Msg("serving peers failed")
	}
}

// drain tells the entries that the endpoint leaves and ends after the requests in flight.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.log.Info().Msg("agent is leaving")
	a.round(ctx)
	delay.For(ctx, a.settings.DrainAfter)
	a.waitIdle(ctx)
	if err := a.server.Shutdown(ctx); err != nil {
		a.log.Warn().Err(err).Msg("shutdown")
	}
}

// idlePoll is how often a draining agent looks whether requests have ended.
const idlePoll = 20 * time.Millisecond

func (a *Agent) waitIdle(ctx context.Context) {
	for a.flying() > 0 && delay.For(ctx, idlePoll) {
		continue
	}
}

func (a *Agent) flying() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.flights)
}

// Ready reports whether the worker's ledger is rebuilt and an entry has answered.
func (a *Agent) Ready() bool {
	a.tasksMu.Lock()
	defer a.tasksMu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Ledger().Ready() && a.primary != "" && !a.leaving
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
	mux.Handle("POST "+link.PathFate, link.Handle(a.answerFate))
	mux.Handle("POST "+link.PathBundle, link.Handle(a.answerBundle))
	return mux
}
