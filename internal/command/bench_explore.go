package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/explore"
)

// ErrViolations means that at least one simulated history violated a guarantee.
var ErrViolations = errors.New("the exploration has found violations")

// exploreResult is the JSON form of the last line that the command prints.
type exploreResult struct {
	Target     string  `json:"target"`
	FirstSeed  uint64  `json:"first-seed"`
	Seeds      uint64  `json:"seeds"`
	Schedules  uint64  `json:"schedules"`
	Violations int     `json:"violations"`
	Seconds    float64 `json:"seconds"`
}

func benchExploreCommand() *cli.Command {
	return &cli.Command{
		Name:  "explore",
		Usage: "run the decision logic in simulation under seeded faults and check the resulting histories",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 10000, Usage: "number of seeds to run"},
			&cli.Uint64Flag{Name: "first-seed", Usage: "first seed to run"},
			&cli.StringFlag{Name: "only", Usage: "name of the only part to explore; empty for all"},
			&cli.IntFlag{Name: "parallel", Value: runtime.GOMAXPROCS(0), Usage: "number of schedules explored in parallel"},
		},
		Action: benchExplore,
	}
}

func benchExplore(ctx context.Context, c *cli.Command) error {
	parts := explore.Simulations()
	if only := c.String("only"); only != "" {
		parts = slices.DeleteFunc(parts, func(p explore.Simulation) bool { return p.Name != only })
	}
	if len(parts) == 0 {
		return errors.Wrapf(ErrUsage, "no explored part is called %q", c.String("only"))
	}
	began := time.Now()
	found, explored := explore.Run(ctx, parts, c.Uint64("first-seed"), c.Uint64("seeds"), c.Int("parallel"))
	for _, v := range found {
		fmt.Printf("%s, seed %d: %v\n", v.Simulation, v.Seed, v.Err)
	}
	result := exploreResult{
		Target: "explore", FirstSeed: c.Uint64("first-seed"), Seeds: c.Uint64("seeds"), Schedules: explored,
		Violations: len(found), Seconds: time.Since(began).Seconds(),
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if len(found) > 0 {
		return ErrViolations
	}
	return ctx.Err()
}
