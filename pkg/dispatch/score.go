package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Weights of a placement's score, in units of one whole worker.
const (
	// weightAvoid speaks against the worker where the last run failed.
	weightAvoid = 4.0
	// weightFar speaks against another rack than that of the data, for each unit of the spread factor beyond 1.
	weightFar = 2.0
	// weightSlow speaks against a worker for each unit of its pace beyond 1.5.
	weightSlow = 1.0
	slowFrom   = 1.5
	// weightHarm speaks against filling tasks beside serving ones, for the harm expected and the pace lost.
	weightHarm = 3.0
	// weightTogether draws tasks that last to where others last already, so that
	// some workers stay free for filling ones, and short tasks to the others.
	weightTogether = 2.0
	// weightCrowd speaks against taking processor time that filling tasks use.
	weightCrowd = 0.5
	// weightStarve speaks against a filling task for each further share of its
	// running time that it would take longer.
	weightStarve = 1.0
	// lastingUnused is the part of its reservation that a task that lasts leaves
	// unused: served load is at 0.42 on average, by the sites' sheets.
	lastingUnused = 0.55
	// fillShare is how much more than what is left filling tasks may ask for
	// before they get slower: up to twice as much, runs were as fast as alone.
	fillShare = 2.0
	// fullPace is the pace of filling tasks that are not slowed down.
	fullPace = 100
)

// unused returns the processor time that filling tasks at a worker could still
// use: what nobody reserves, and a part of what tasks that last reserve.
func (h *host) unused() float64 {
	return float64(h.free().MilliCPU-h.filling) + lastingUnused*float64(h.reserved)
}

// harmOf returns the harm expected at a load, from 0 to 1: little below the
// limit, full from one and a half times the limit on.
func harmOf(load float64) float64 {
	const from, to = 0.5, 1.5
	return min(1, max(0, (load-from)/(to-from)))
}

// slowness returns how much longer filling tasks at a worker would take with
// one more of a size, as part of their running time.
func (h *host) slowness(size int64) float64 {
	most := fillShare * (float64(h.free().MilliCPU) + lastingUnused*float64(h.reserved))
	asked := float64(h.filling + size)
	const least = 0.05
	return 1/min(1, max(least, most/asked)) - 1
}

// score rates a worker for a task; the lowest is chosen.
func (b *Board) score(s *stepState, t *taskState, h *host) float64 {
	v := 0.0
	if t.avoid == h.name {
		v += weightAvoid
	}
	if s.spec.Rack != "" && s.spec.Rack != h.rack {
		v += weightFar * max(0, b.spread-1)
	}
	if h.health.pace > slowFrom {
		v += weightSlow * (h.health.pace - slowFrom)
	}
	v += h.health.outcomes.Failing()
	whole := float64(max(1, h.capacity.MilliCPU))
	left := h.unused()
	size := float64(s.spec.Size.MilliCPU)
	crowd := weightCrowd * max(0, size-left) / whole
	switch {
	case s.spec.Fills:
		v += weightStarve*h.slowness(s.spec.Size.MilliCPU) - left/whole/4
		if h.serving > 0 {
			v += weightHarm * (harmOf(b.loadWith(h, s.spec.Image, s.spec.Size.MilliCPU)) + float64(fullPace-h.pace)/fullPace)
		}
	case s.spec.Lasts:
		v += crowd + float64(h.filling)/whole + float64(h.free().MilliCPU)/float64(b.largest())
		if h.lasting > 0 {
			v -= weightTogether
		}
	default:
		v += crowd - left/whole/4
		if h.serving > 0 {
			v -= weightTogether / 4
		}
	}
	return v
}

// largest returns the processor time of the largest worker.
func (b *Board) largest() int64 {
	most := int64(1)
	for _, h := range b.workers {
		most = max(most, h.capacity.MilliCPU)
	}
	return most
}

// makeRoom stops tasks of lower priority on the worker where the least is lost,
// so that a task that lasts fits once they have ended.
func (b *Board) makeRoom(now time.Time, s *stepState, q Queue) {
	var best *host
	var victims []*run
	for _, h := range b.workers {
		if !b.allowed(now, s, q, h) || s.spec.MostPerWorker > 0 && s.perWorker[h.name] >= s.spec.MostPerWorker {
			continue
		}
		if v, ok := b.victims(h, s.spec.Reserved(), q.Priority); ok && (best == nil || len(v) < len(victims) || len(v) == len(victims) && h.name < best.name) {
			best, victims = h, v
		}
	}
	for _, r := range victims {
		b.stop(now, r, "a task that lasts needs the room")
	}
}

// victims returns runs of lower priority whose end makes room for need.
func (b *Board) victims(h *host, need worker.Resources, priority int) ([]*run, bool) {
	free := h.free()
	var young []*run
	for _, r := range h.runs {
		if r.phase == runStopping {
			free = free.Plus(r.step.spec.Reserved())
			continue
		}
		if !r.step.spec.Lasts && b.queues[r.step.occ.job.sub.Queue].Priority > priority {
			young = append(young, r)
		}
	}
	sortRuns(young)
	var out []*run
	for _, r := range young {
		if need.Fits(free) {
			break
		}
		free = free.Plus(r.step.spec.Reserved())
		out = append(out, r)
	}
	return out, need.Fits(free)
}

// sortRuns puts the runs first that lose the least: the youngest.
func sortRuns(runs []*run) {
	for i := 1; i < len(runs); i++ {
		for j := i; j > 0 && younger(runs[j], runs[j-1]); j-- {
			runs[j], runs[j-1] = runs[j-1], runs[j]
		}
	}
}

func younger(x, y *run) bool {
	if !x.since.Equal(y.since) {
		return x.since.After(y.since)
	}
	return x.id.String() < y.id.String()
}
