package worker

import (
	"sort"
	"time"
)

// preemptCandidates is the number of workers looked at for room to be made.
const preemptCandidates = 64

// Preempt chooses a worker on which urgent work can be given room by stopping
// other tasks, and those tasks: the fewest, and of them the youngest, which
// lose the least. It returns no worker if there is none.
func (f *Fleet) Preempt(now time.Time, key TaskKey, size Resources, start int) (string, []TaskKey) {
	var worker string
	var victims []TaskKey
	looked := 0
	for k := 0; k < len(f.views) && looked < preemptCandidates; k++ {
		i := (start + k) % len(f.views)
		v := &f.views[i]
		if !v.open(now, key) || v.health.Suspect() || !size.Fits(v.report.Total) {
			continue
		}
		looked++
		own, ok := f.victims(i, size)
		if ok && (worker == "" || len(own) < len(victims)) {
			worker, victims = v.report.Name, own
		}
	}
	return worker, victims
}

// victims returns the youngest preemptible tasks of a worker whose end would
// make room for size, beside those that are ending already.
func (f *Fleet) victims(i int, size Resources) ([]TaskKey, bool) {
	var keys []TaskKey
	free := f.free[i]
	for key := range f.views[i].tasks {
		h := f.holds[key]
		switch {
		case h.Ending:
			free = free.Plus(h.Size)
		case !h.Urgent && !h.Tentative:
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(a, b int) bool {
		x, y := f.holds[keys[a]], f.holds[keys[b]]
		if !x.Since.Equal(y.Since) {
			return x.Since.After(y.Since)
		}
		return keys[a].Job < keys[b].Job || (keys[a].Job == keys[b].Job && keys[a].Index < keys[b].Index)
	})
	for n, key := range keys {
		if size.Fits(free) {
			return keys[:n], true
		}
		free = free.Plus(f.holds[key].Size)
	}
	return keys, size.Fits(free)
}

// ReserveFor returns the worker that comes closest to having room for size, so
// that room can be kept for a task that has waited for too long.
func (f *Fleet) ReserveFor(now time.Time, key TaskKey, size Resources) (string, bool) {
	best := -1
	var bestFree float64
	for i := range f.views {
		v := &f.views[i]
		if !v.open(now, key) || v.health.Suspect() || !size.Fits(v.report.Total) {
			continue
		}
		if free := f.free[i].Max(Resources{}).Dominant(size); best < 0 || free > bestFree {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return "", false
	}
	return f.views[best].report.Name, true
}
