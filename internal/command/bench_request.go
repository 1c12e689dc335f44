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
		Usage: "compare routing policies in virtual time and measure what a request costs; longer with --length and --seeds",
		Flags: []cli.Flag{
			duration("length", 15*time.Second, "virtual time of each run"),
			&cli.IntFlag{Name: "seeds", Value: 2, Usage: "seeds of each run"},
			&cli.IntFlag{Name: "calls", Value: 2000, Usage: "requests sent over each way to measure hops"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c := &checker{cmd: cmd}
			s := request.Settings{Length: c.positive("length"), Seeds: cmd.Int("seeds"), Calls: cmd.Int("calls")}
			if c.err != nil {
				return c.err
			}
			return request.Run(ctx, cmd.Root().Writer, s)
		},
	}
}
