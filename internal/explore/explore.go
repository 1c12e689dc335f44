// Package explore runs deterministic simulations of the decision code. All random
// choices of a simulated run, such as those of its faults, follow from a seed.
package explore

import (
	"context"
	"sync"

	"savoryhoist.example/savoryhoist/internal/explore/batch"
	"savoryhoist.example/savoryhoist/internal/explore/log"
	"savoryhoist.example/savoryhoist/internal/explore/request"
	"savoryhoist.example/savoryhoist/internal/explore/term"
)

// Simulation is one kind of simulation. Run performs the simulated run of a seed and
// returns the first violation found.
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

// Violation is the violation found in the simulated run of a seed.
type Violation struct {
	Simulation string
	Seed       uint64
	Err        error
}

// Run performs every simulation with seedCount seeds from firstSeed on, at most
// maxParallel seeds at a time. It returns the violations and the number of simulated
// runs performed. It begins no further seed once ctx ends.
func Run(ctx context.Context, simulations []Simulation, firstSeed, seedCount uint64, maxParallel int) (found []Violation, explored uint64) {
	var mu sync.Mutex
	var group sync.WaitGroup
	seeds := make(chan uint64)
	for range max(maxParallel, 1) {
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
	for seed := firstSeed; seed < firstSeed+seedCount && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	return found, explored
}

// runSeed performs every simulation with one seed and returns the violations found.
func runSeed(simulations []Simulation, seed uint64) []Violation {
	var out []Violation
	for _, s := range simulations {
		if err := s.Run(seed); err != nil {
			out = append(out, Violation{Simulation: s.Name, Seed: seed, Err: err})
		}
	}
	return out
}
