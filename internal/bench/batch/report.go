package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/explore"
	exploration "savoryhoist.example/savoryhoist/internal/explore/batch"
)

// ErrGuarantee means that a guarantee was violated.
var ErrGuarantee = errors.New("a guarantee was violated")

// Report is the benchmark's output. A number at the end of a field's name is a number of
// workers; None, Guard and Evict are the policies of a surge.
type Report struct {
	PlaceUS11              float64 `json:"place-us-11"`
	PlaceUS200             float64 `json:"place-us-200"`
	PlaceUS1400            float64 `json:"place-us-1400"`
	PlaceUS1400Varied      float64 `json:"place-us-1400-varied-sizes"`
	LongestTickMS1400      float64 `json:"longest-tick-ms-1400"`
	MemoryMB11             float64 `json:"memory-mb-11"`
	MemoryMB200            float64 `json:"memory-mb-200"`
	MemoryMB1400           float64 `json:"memory-mb-1400"`
	CPUPercent300Starts    float64 `json:"cpu-percent-300-starts"`
	CPUPercentOneEntry     float64 `json:"cpu-percent-300-starts-one-entry"`
	EvictionsNone          int     `json:"evictions-none"`
	EvictionsGuard         int     `json:"evictions-guard"`
	EvictionsEvict         int     `json:"evictions-evict-at-once"`
	EvictionsRatioToEvict  float64 `json:"evictions-ratio-to-evict-at-once"`
	ThroughputRatioToNone  float64 `json:"throughput-ratio-to-none"`
	ThroughputRatioToEvict float64 `json:"throughput-ratio-to-evict-at-once"`
	LostCoreHoursGuard     float64 `json:"lost-core-hours-guard"`
	LostCoreHoursEvict     float64 `json:"lost-core-hours-evict-at-once"`
	TailToObjectiveNone    float64 `json:"tail-to-objective-none"`
	TailToObjectiveGuard   float64 `json:"tail-to-objective-guard"`
	TailToObjectiveEvict   float64 `json:"tail-to-objective-evict-at-once"`
	AboveObjectiveNone     float64 `json:"past-objective-none"`
	AboveObjectiveGuard    float64 `json:"past-objective-guard"`
	AboveObjectiveEvict    float64 `json:"past-objective-evict-at-once"`
	UrgentStartSeconds     float64 `json:"urgent-start-s-after-entry-death"`
	UrgentStartFullSeconds float64 `json:"urgent-start-s-after-entry-death-full"`
	Explored               int     `json:"explored-schedules"`
	Violations             int     `json:"violations"`
}

// placementSeconds is the measured virtual time of a placement run, in seconds.
const placementSeconds = 5

// Size of the simulation of batch jobs under faults that is part of the benchmark.
const (
	explorationSeeds   = 300
	explorationWorkers = 2
)

// surgeSeeds is the number of surges simulated under each policy.
const surgeSeeds = 3

// Run runs the whole benchmark. An error marked ErrGuarantee or ErrOvercommitted means
// that a guarantee was violated; the report then holds what was measured so far.
func Run(ctx context.Context) (Report, error) {
	var r Report
	if err := r.runExploration(ctx); err != nil {
		return r, err
	}
	if err := r.measurePlacement(); err != nil {
		return r, err
	}
	if err := r.measureSurges(); err != nil {
		return r, err
	}
	urgent, err := MeasureUrgent()
	if err != nil {
		return r, err
	}
	r.UrgentStartSeconds, r.UrgentStartFullSeconds = urgent.MaxWithRoom.Seconds(), urgent.MaxWithFullWorkers.Seconds()
	if max(urgent.MaxWithRoom, urgent.MaxWithFullWorkers) > urgentTarget {
		return r, errors.Wrapf(ErrGuarantee, "urgent work started after %v", max(urgent.MaxWithRoom, urgent.MaxWithFullWorkers))
	}
	return r, nil
}

// runExploration simulates batch jobs under faults with explorationSeeds seeds, which
// checks the state machine, the leases and the workers' ledgers together.
func (r *Report) runExploration(ctx context.Context) error {
	simulations := []explore.Simulation{{Name: "jobs", Run: exploration.Run}}
	found, explored := explore.Run(ctx, simulations, 1, explorationSeeds, explorationWorkers)
	r.Explored = int(explored)
	r.Violations += len(found)
	if len(found) > 0 {
		return errors.Mark(errors.Wrapf(found[0].Err, "seed %d", found[0].Seed), ErrGuarantee)
	}
	return nil
}

// measurePlacement measures placement at several fleet sizes, and the load of one entry at
// the target size.
func (r *Report) measurePlacement() error {
	loads := []struct {
		workers int
		varied  bool
		// microseconds and megabytes are the figures of the report that the run sets.
		microseconds, megabytes *float64
	}{
		{surgeWorkers, false, &r.PlaceUS11, &r.MemoryMB11},
		{targetWorkers / targetDataCentres, false, &r.PlaceUS200, &r.MemoryMB200},
		{targetWorkers, true, &r.PlaceUS1400Varied, &r.MemoryMB1400},
		{targetWorkers, false, &r.PlaceUS1400, &r.MemoryMB1400},
	}
	for _, d := range loads {
		p, err := MeasurePlacement(Load{Workers: d.workers, Running: targetRunning, QueueLength: targetQueueLength, StartsPerSecond: targetStartsPerSecond, Seconds: placementSeconds, VariedSizes: d.varied})
		if err != nil {
			return r.countViolation(err)
		}
		*d.microseconds = float64(p.PerPlacement) / float64(time.Microsecond)
		*d.megabytes = p.MemoryMB
		r.CPUPercentOneEntry = p.Cores * 100
		r.LongestTickMS1400 = float64(p.LongestTick) / float64(time.Millisecond)
	}
	// Each data centre has a stream of its own with its share of the starts, which
	// only its own entries read.
	p, err := MeasurePlacement(Load{
		Workers: targetWorkers / targetDataCentres, Running: targetRunning / targetDataCentres, QueueLength: targetQueueLength / targetDataCentres,
		StartsPerSecond: roundUp(targetStartsPerSecond/targetDataCentres, int(time.Second/tickInterval)), Seconds: 4 * placementSeconds,
	})
	r.CPUPercent300Starts = p.Cores * 100
	return r.countViolation(err)
}

// countViolation counts an error that is a violated guarantee and returns it.
func (r *Report) countViolation(err error) error {
	if errors.Is(err, ErrOvercommitted) {
		r.Violations++
	}
	return err
}

// roundUp returns the smallest multiple of step that is at least n.
func roundUp(n, step int) int { return (n + step - 1) / step * step }

// measureSurges simulates surges under every policy and compares the guard with the other
// policies.
func (r *Report) measureSurges() error {
	var sums [3]SurgeResult
	for seed := range uint64(surgeSeeds) {
		for p := range sums {
			s, err := RunSurge(Policy(p), seed)
			if err != nil {
				return r.countViolation(err)
			}
			sums[p].Evictions += s.Evictions
			sums[p].SavedWork += s.SavedWork
			sums[p].LostWork += s.LostWork
			sums[p].PressureP99 += s.PressureP99 / surgeSeeds
			sums[p].AboveObjective += s.AboveObjective / surgeSeeds
		}
	}
	none, guard, evict := sums[PolicyNone], sums[PolicyGuard], sums[PolicyEvict]
	r.EvictionsNone, r.EvictionsGuard, r.EvictionsEvict = none.Evictions, guard.Evictions, evict.Evictions
	r.EvictionsRatioToEvict = float64(guard.Evictions) / float64(max(evict.Evictions, 1))
	r.ThroughputRatioToNone = guard.SavedWork.Hours() / none.SavedWork.Hours()
	r.ThroughputRatioToEvict = guard.SavedWork.Hours() / evict.SavedWork.Hours()
	r.LostCoreHoursGuard, r.LostCoreHoursEvict = guard.LostWork.Hours(), evict.LostWork.Hours()
	r.TailToObjectiveNone, r.TailToObjectiveGuard, r.TailToObjectiveEvict = none.PressureP99, guard.PressureP99, evict.PressureP99
	r.AboveObjectiveNone, r.AboveObjectiveGuard, r.AboveObjectiveEvict = none.AboveObjective, guard.AboveObjective, evict.AboveObjective
	return nil
}
