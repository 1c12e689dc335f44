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
	"savoryhoist.example/savoryhoist/internal/link"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run an agent beside an endpoint",
		Flags: append(processFlags(),
			text("rack", "", "rack of the worker"),
			text("service", "", "service that the endpoint runs; empty for a worker without one"),
			text("listen", "127.0.0.1:0", "where entries reach this agent, IP and port"),
			text("admin-listen", "127.0.0.1:0", "where metrics and health are served, IP and port"),
			text("runner-url", "", "URL of the endpoint's runner"),
			text("worker-url", "", "URL of the platform's worker"),
			text("entries", "", "addresses of entries or of their balancer, separated by commas"),
			duration("heartbeat-every", 500*time.Millisecond, "time between two heartbeats"),
		),
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	c := &checker{cmd: cmd}
	s := agent.Settings{
		Name: c.required("name"), DataCentre: c.required("data-centre"), Rack: cmd.String("rack"), Service: cmd.String("service"),
		Listen: c.address("listen"), AdminListen: c.address("admin-listen"), WorkerURL: c.url("worker-url"),
		Entries: c.addresses("entries"), HeartbeatEvery: c.positive("heartbeat-every"),
		DrainDelay: c.positive("drain-after"), Roots: c.operators(),
	}
	if s.Service != "" {
		s.RunnerURL = c.url("runner-url")
	}
	id := c.identity(link.RoleAgent)
	logger := c.logger()
	if c.err != nil {
		return c.err
	}
	tuneMemory()
	tuneProcessors()
	a, err := agent.New(time.Now(), s, id, logger)
	if err != nil {
		return err
	}
	return withReload(ctx, cmd, id, logger, func(ctx context.Context) error {
		return serveBeside(ctx, s.AdminListen, a.AdminHandler(), a.Run)
	})
}

// adminTimeout bounds how long a reader of metrics takes to send headers.
const adminTimeout = 5 * time.Second

// serveBeside serves handler at address while run runs.
func serveBeside(ctx context.Context, address string, handler http.Handler, run func(context.Context) error) error {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminTimeout}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ln) })
	err = run(ctx)
	_ = server.Close()
	group.Wait()
	return err
}
