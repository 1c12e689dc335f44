package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Sizes of a stand-in worker.
const (
	standinMilliCPU     = 16000
	standinMemoryMB     = 60 << 10
	standinAccelerators = 2
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:   "standin",
		Usage:  "serve stand-ins of the platform's log, workers and runners for experiments",
		Hidden: true,
		Flags: []cli.Flag{
			text("listen", "127.0.0.1:9000", "where the stand-ins are served, IP and port"),
			number("workers", 1, "number of workers, with a runner each"),
			number("slots", devSlots, "requests that a runner works on at once"),
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, cmd *cli.Command) error {
	c := &checker{cmd: cmd}
	listen, workers, slots := c.address("listen"), c.count("workers"), c.count("slots")
	if c.err != nil {
		return c.err
	}
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen for the stand-ins")
	}
	size := worker.Resources{MilliCPU: standinMilliCPU, MemoryMB: standinMemoryMB, Accelerators: standinAccelerators}
	server := &http.Server{
		Handler:           standin.NewSite(workers, slots, size, time.Now).Handler(),
		ReadHeaderTimeout: adminTimeout,
	}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ln) })
	_, _ = fmt.Fprintf(cmd.Root().Writer, "stand-ins at http://%s\n", ln.Addr())
	<-ctx.Done()
	_ = server.Close()
	group.Wait()
	return nil
}
