// Package explore runs deterministic simulations of the decision code: each plays
// schedules of faults that follow from seeds.
package explore

import (
	"context"
	"sync"

	"savoryhoist.example/savoryhoist/internal/explore/batch"
	"savoryhoist.example/savoryhoist/internal/explore/log"
	"savoryhoist.example/savoryhoist/internal/explore/request"
	"savoryhoist.example/savoryhoist/internal/explore/term"
)

// Simulation is one simulation. Run plays the schedule of a seed and returns the first
// violation found.
type Simulation struct {
	Name string
	Run  func(seed uint64) error
}

// Simulations returns all simulations.
func Simulations() []Simulation {
	return []Simulation{
		{Name: "jobs", Run: batch.Run},
		{Name: "log", Run: log.Run},
		{Name: "requests", Run: request.Run},
		{Name: "terms", Run: term.Run},
	}
}

// Violation is the violation that the schedule of a seed led to.
type Violation struct {
	Simulation string
	Seed       uint64
	Err        error
}

// Run plays the schedules of count seeds from first on in every simulation, those of at
// most parallel seeds at a time, and returns the violations and the number of
// schedules played. It begins no further seed once ctx ends.
func Run(ctx context.Context, simulations []Simulation, first, count uint64, parallel int) (found []Violation, explored uint64) {
	var mu sync.Mutex
	var group sync.WaitGroup
	seeds := make(chan uint64)
	for range max(parallel, 1) {
		group.Go(func() {
			for seed := range seeds {
				violations := runSeed(simulations, seed)
				mu.Lock()
				explored += uint64(len(simulations))
				found = append(found, violations...)
				mu.Unlock()
			}
		})
	}
	for seed := first; seed < first+count && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	return found, explored
}

func runSeed(simulations []Simulation, seed uint64) []Violation {
	var out []Violation
	for _, s := range simulations {
		if err := s.Run(seed); err != nil {
			out = append(out, Violation{Simulation: s.Name, Seed: seed, Err: err})
		}
	}
	return out
}
