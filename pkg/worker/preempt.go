package worker

import (
	"sort"
	"time"
)

// maxPreemptionCandidates limits how many workers are searched for tasks to
// preempt.
const maxPreemptionCandidates = 64

// FindPreemption chooses a worker on which stopping tasks makes enough room for an
// urgent task of the given size, and the tasks to stop: as few as possible, and
// the youngest, which lose the least work. It begins at the worker with index
// start modulo the number of workers. It returns an empty name if there is no
// such worker.
func (f *Fleet) FindPreemption(now time.Time, key TaskKey, size Resources, start int) (string, []TaskKey) {
	var worker string
	var victims []TaskKey
	examined := 0
	for k := 0; k < len(f.workers) && examined < maxPreemptionCandidates; k++ {
		i := (start + k) % len(f.workers)
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

// preemptionVictims returns the youngest preemptible tasks of worker i that
// must stop to make room for size, in addition to those that are stopping
// already.
func (f *Fleet) preemptionVictims(i int, size Resources) ([]TaskKey, bool) {
	var keys []TaskKey
	free := f.free[i]
	for key := range f.workers[i].tasks {
		h := f.allocations[key]
		switch {
		case h.Ending:
			free = free.Plus(h.Size)
		case !h.Urgent && !h.Tentative:
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(a, b int) bool {
		x, y := f.allocations[keys[a]], f.allocations[keys[b]]
		if !x.Since.Equal(y.Since) {
			return x.Since.After(y.Since)
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

// FindReservation returns the worker whose free capacity comes closest to size. The
// caller reserves it for a task that has waited too long. FindReservation itself
// reserves nothing.
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
