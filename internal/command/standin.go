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

	"savoryhoist.example/savoryhoist/internal/logline"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Resources of a stand-in worker.
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
			stringFlag("listen", "127.0.0.1:9000", "IP and port at which the stand-ins are served"),
			intFlag("workers", 1, "number of workers, each with one runner"),
			intFlag("slots", devRunnerSlots, "number of requests that a runner works on at the same time"),
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	listen, workers, slots := c.address("listen"), c.positiveInt("workers"), c.positiveInt("slots")
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
		ReadHeaderTimeout: readHeaderTimeout,
	}
	var group sync.WaitGroup
	group.Go(func() { logline.Failure(nil, "stand-in server", server.Serve(ln)) })
	_, _ = fmt.Fprintf(cmd.Root().Writer, "stand-ins at http://%s\n", ln.Addr())
	<-ctx.Done()
	_ = server.Close()
	group.Wait()
	return nil
}
