package worker

import (
	"sort"
	"time"
)

// maxPreemptionCandidates limits how many workers are searched for tasks to
// preempt.
const maxPreemptionCandidates = 64

// FindPreemption chooses a worker on which stopping tasks makes enough room for the
// urgent task identified by key, which has the given size. It returns the worker's
// name and the tasks to stop, or an empty name if there is no such worker. On each
// worker the youngest tasks are stopped first, since they lose the least work; the
// worker on which the fewest tasks must stop is chosen. The search begins at the
// worker with index startIndex modulo the number of workers and examines at most
// maxPreemptionCandidates workers.
func (f *Fleet) FindPreemption(now time.Time, key TaskKey, size Resources, startIndex int) (string, []TaskKey) {
	var worker string
	var victims []TaskKey
	examined := 0
	for k := 0; k < len(f.workers) && examined < maxPreemptionCandidates; k++ {
		i := (startIndex + k) % len(f.workers)
		w := &f.workers[i]
		if !w.accepts(now, key) || w.health.Suspect() || !size.Fits(w.report.Total) {
			continue
		}
		examined++
		candidates, ok := f.preemptionVictims(i, size)
		if ok && (worker == "" || len(candidates) < len(victims)) {
			worker, victims = w.report.Name, candidates
		}
	}
	return worker, victims
}

// preemptionVictims returns the youngest preemptible tasks of the worker at index i
// that must stop to make room for size, in addition to those that are stopping
// already. It returns false if stopping all of them does not make enough room.
func (f *Fleet) preemptionVictims(i int, size Resources) ([]TaskKey, bool) {
	var keys []TaskKey
	free := f.free[i]
	for key := range f.workers[i].tasks {
		allocation := f.allocations[key]
		switch {
		case allocation.Ending:
			free = free.Plus(allocation.Size)
		case !allocation.Urgent && !allocation.Tentative:
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(a, b int) bool {
		x, y := f.allocations[keys[a]], f.allocations[keys[b]]
		if !x.AssignedAt.Equal(y.AssignedAt) {
			return x.AssignedAt.After(y.AssignedAt)
		}
		return keys[a].Job < keys[b].Job || (keys[a].Job == keys[b].Job && keys[a].Index < keys[b].Index)
	})
	for n, key := range keys {
		if size.Fits(free) {
			return keys[:n], true
		}
		free = free.Plus(f.allocations[key].Size)
	}
	return keys, size.Fits(free)
}

// FindReservation returns, of the workers that accept the task identified by key and
// are large enough for size when idle, the one with the largest ratio of free
// capacity to size in any single resource. The caller reserves the worker for a task
// that has waited too long; FindReservation itself reserves nothing. It returns false
// if there is no such worker.
func (f *Fleet) FindReservation(now time.Time, key TaskKey, size Resources) (string, bool) {
	best := -1
	var bestFree float64
	for i := range f.workers {
		w := &f.workers[i]
		if !w.accepts(now, key) || w.health.Suspect() || !size.Fits(w.report.Total) {
			continue
		}
		if free := f.free[i].Max(Resources{}).DominantShare(size); best < 0 || free > bestFree {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return "", false
	}
	return f.workers[best].report.Name, true
}
