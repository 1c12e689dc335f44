package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/bench/capacity"
)

func benchCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of each worker, job, heartbeat and request, and compute the resources needed at the target size",
		Flags: []cli.Flag{
			durationFlag("append-time", 5*time.Second, "how long appends are counted at each of four rates; a longer time gives a more precise result"),
			intFlag("heartbeats", 1000, "number of heartbeats measured at each of four sizes"),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c := &flagReader{cmd: cmd}
			s := capacity.Settings{AppendTime: c.positiveDuration("append-time"), Heartbeats: c.positiveInt("heartbeats")}
			if c.err != nil {
				return c.err
			}
			result, err := capacity.Run(ctx, time.Now(), s)
			if err != nil {
				return err
			}
			return printCapacity(cmd.Root().Writer, result)
		},
	}
}

// printCapacity prints the measured slopes and the resources computed from them as
// readable text, then the whole result as one line of JSON.
func printCapacity(w io.Writer, r *capacity.Result) error {
	for i := range r.FittedCosts {
		s := &r.FittedCosts[i]
		_, _ = fmt.Fprintf(w, "%-36s %10.3g + %10.3g per unit (%s), measured at %v\n", s.Name, s.Base, s.PerUnit, s.Unit, s.Sizes)
	}
	for i := range r.TargetCosts {
		l := &r.TargetCosts[i]
		bound, holds := "no bound", ""
		if l.Bound > 0 {
			bound, holds = fmt.Sprintf("bound %.5g", l.Bound), "holds"
			if !l.Holds {
				holds = "DOES NOT HOLD"
			}
		}
		_, _ = fmt.Fprintf(w, "%s: %s: %.4g %s, %s %s (%s)\n", l.Role, l.What, l.Value, l.Unit, bound, holds, l.How)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}
