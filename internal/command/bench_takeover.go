package command

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/explore/batch"
)

// takeoverCost shows the trade-off of one takeover time. A short takeover time
// leaves the tasks of a dead worker idle for less time; a long one lets tasks run
// through a longer outage.
type takeoverCost struct {
	TakeoverAfterS            float64 `json:"takeover-after-s"`
	IdleMeanS                 float64 `json:"idle-mean-s"`
	IdleLongestS              float64 `json:"idle-longest-s"`
	ShortestRunThroughOutageS float64 `json:"shortest-run-through-outage-s"`
}

type takeoverResult struct {
	Target string         `json:"target"`
	Seeds  uint64         `json:"seeds"`
	Costs  []takeoverCost `json:"costs"`
}

func benchTakeoverCommand() *cli.Command {
	return &cli.Command{
		Name:   "takeover",
		Usage:  "measure in simulated time how long tasks idle after a worker dies, and run through an outage, for several values of takeover-after",
		Flags:  []cli.Flag{&cli.Uint64Flag{Name: "seeds", Value: 200, Usage: "number of simulated schedules for each takeover time"}},
		Action: benchTakeover,
	}
}

func benchTakeover(_ context.Context, c *cli.Command) error {
	out := takeoverResult{Target: "takeover", Seeds: c.Uint64("seeds")}
	for _, after := range []time.Duration{2, 5, 10, 20, 60} {
		idle, err := batch.MeasureTakeoverCost(after*time.Second, out.Seeds)
		if err != nil {
			return err
		}
		out.Costs = append(out.Costs, takeoverCost{
			TakeoverAfterS: (after * time.Second).Seconds(), IdleMeanS: idle.MeanIdle.Seconds(),
			IdleLongestS: idle.MaxIdle.Seconds(), ShortestRunThroughOutageS: idle.MinOutageRun.Seconds(),
		})
	}
	return json.NewEncoder(os.Stdout).Encode(out)
}
