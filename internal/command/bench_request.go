package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/bench/request"
)

func benchRequestCommand() *cli.Command {
	return &cli.Command{
		Name:  "request",
		Usage: "compare routing policies in virtual time and measure the cost of a request; --length and --seeds make it run longer",
		Flags: []cli.Flag{
			durationFlag("length", 15*time.Second, "virtual duration of each run"),
			&cli.IntFlag{Name: "seeds", Value: 2, Usage: "number of seeds for each run"},
			&cli.IntFlag{Name: "calls", Value: 2000, Usage: "requests sent over each path to measure the cost of its hops"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c := &flagReader{cmd: cmd}
			s := request.Settings{Length: c.positiveDuration("length"), Seeds: cmd.Int("seeds"), Calls: cmd.Int("calls")}
			if c.err != nil {
				return c.err
			}
			return request.Run(ctx, cmd.Root().Writer, s)
		},
	}
}
