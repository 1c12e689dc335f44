package command

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/agent"
	"savoryhoist.example/savoryhoist/internal/connlimit"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/logline"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the agent of one worker, beside its endpoint if it has one",
		Flags: append(processFlags(),
			stringFlag("rack", "", "rack that the worker is in"),
			stringFlag("service", "", "service that the worker's endpoint runs; empty for a worker without an endpoint"),
			stringFlag("listen", "127.0.0.1:0", "IP and port at which entries reach this agent"),
			stringFlag("admin-listen", "127.0.0.1:0", "IP and port at which metrics and health checks are served"),
			stringFlag("runner-url", "", "URL of the endpoint's runner"),
			stringFlag("worker-url", "", "URL of the platform's worker service on this worker"),
			stringFlag("entries", "", "addresses of entries or of their load balancer, separated by commas"),
			durationFlag("heartbeat-every", 500*time.Millisecond, "interval between heartbeats"),
		),
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	s := agent.Settings{
		Name: c.required("name"), DataCentre: c.required("data-centre"), Rack: cmd.String("rack"), Service: cmd.String("service"),
		Listen: c.address("listen"), AdminListen: c.address("admin-listen"), WorkerURL: c.url("worker-url"),
		Entries: c.addresses("entries"), HeartbeatEvery: c.positiveDuration("heartbeat-every"),
		DrainDelay: c.positiveDuration("drain-after"), Roots: c.operators(),
	}
	if s.Service != "" {
		s.RunnerURL = c.url("runner-url")
	}
	id := c.identity(link.RoleAgent)
	logger := c.logger()
	if c.err != nil {
		return c.err
	}
	lowerGCPercent()
	limitAgentProcessors()
	a, err := agent.New(time.Now(), s, id, logger)
	if err != nil {
		return err
	}
	return runWithCertificateReload(ctx, cmd, id, logger, func(ctx context.Context) error {
		return runWithAdminServer(ctx, s.AdminListen, a.AdminHandler(), a.Run)
	})
}

// readHeaderTimeout is how long a client may take to send its request headers to a server that
// this package starts.
const readHeaderTimeout = 5 * time.Second

// runWithAdminServer calls run, and serves handler at address, an IP and port, until run returns.
func runWithAdminServer(ctx context.Context, address string, handler http.Handler, run func(context.Context) error) error {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: connlimit.HardHeadBytes}
	var group sync.WaitGroup
	group.Go(func() { logline.Failure(nil, "metrics server", server.Serve(ln)) })
	err = run(ctx)
	_ = server.Close()
	group.Wait()
	return err
}
