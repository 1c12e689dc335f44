package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// backlogInterval is how often backlogs are counted, and backlogMaxAge how long they hold.
	backlogInterval = 250 * time.Millisecond
	backlogMaxAge   = time.Second
	// maxCostBounds and maxFullSizes bound the size of a Backlog, which goes with each answer to a ping.
	maxCostBounds = 8
	maxFullSizes  = 4
	// maxRoomSearches bounds the sizes for which room is searched at all workers; for further ones there counts to be room.
	maxRoomSearches = 64
	// rateTime is the time constant of the measured rate, and how long work has to wait without room until it counts.
	rateTime = 4 * time.Second
	// minRateShare is the fraction of the processors that work is at least assumed to get.
	minRateShare = 0.25
)

// pool is the processor time that the steps of one kind compete for.
type pool struct {
	service    string
	bestEffort bool
}

// poolRate measures the rate at which the work of a pool is done.
type poolRate struct {
	// shortSince is since when steps of the pool have waited without room; zero if none does.
	shortSince time.Time
	// work is the work that was done, in processor-milliseconds, which fades with rateTime, as of at.
	work float64
	at   time.Time
}

// add adds work that was done.
func (r *poolRate) add(now time.Time, work float64) {
	r.work = r.faded(now) + work
	r.at = now
}

func (r *poolRate) faded(now time.Time) float64 {
	return r.work * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// milliCPU returns the rate at which work is done where the processors allow capacity: the measured one once work has waited for
// rateTime, in units of the callers' estimates, however much these are wrong.
func (r *poolRate) milliCPU(now time.Time, capacity float64) int64 {
	if r.shortSince.IsZero() || now.Sub(r.shortSince) < rateTime {
		return int64(capacity)
	}
	const milli = 1000
	return int64(max(r.faded(now)/float64(rateTime.Milliseconds())*milli, minRateShare*capacity))
}

// noteWorkDone records that a task of a step is done.
func (sc *Scheduler) noteWorkDone(now time.Time, s *stepState) {
	p := pool{sc.queues[s.occurrence.job.submission.Queue].Service, s.spec.BestEffort}
	sc.poolRate(p).add(now, taskWork(s.spec))
}

// poolRate returns the rate of a pool.
func (sc *Scheduler) poolRate(p pool) *poolRate {
	r := sc.poolRates[p]
	if r == nil {
		if sc.poolRates == nil {
			sc.poolRates = make(map[pool]*poolRate)
		}
		r = new(poolRate)
		sc.poolRates[p] = r
	}
	return r
}

// backlogKey identifies a Backlog.
type backlogKey struct {
	pool
	priority int
}

// backlogWork gathers the work of a Backlog.
type backlogWork struct {
	backlogKey
	// ahead is the work that comes before new jobs.
	ahead        float64
	inTime, late ClassWork
	full         []worker.Resources
}

// updateBacklogs counts what waits without room, if that is due. It is called after tasks were placed, since a worker always
// has room for a moment when a task has ended.
func (sc *Scheduler) updateBacklogs(now time.Time) {
	if sc.backlogsAt.IsZero() || now.Sub(sc.backlogsAt) >= backlogInterval {
		sc.backlogs, sc.backlogsAt = sc.countBacklogs(now), now
	}
}

// Backlogs returns the kinds of work of which tasks waited without room at a recent decision.
func (sc *Scheduler) Backlogs(now time.Time) []Backlog {
	if now.Sub(sc.backlogsAt) >= backlogMaxAge {
		return nil
	}
	return sc.backlogs
}

// countBacklogs counts the work that waits, by kind.
func (sc *Scheduler) countBacklogs(now time.Time) []Backlog {
	work := sc.gatherWork(now)
	short := make(map[pool]bool)
	for _, w := range work {
		short[w.pool] = short[w.pool] || len(w.full) > 0
	}
	for p, r := range sc.poolRates {
		if !short[p] {
			r.shortSince = time.Time{}
		}
	}
	var out []Backlog
	ahead := make(map[pool]float64)
	for _, w := range work { // the highest priority of each pool first
		if short[w.pool] {
			r := sc.poolRate(w.pool)
			if r.shortSince.IsZero() {
				r.shortSince = now
			}
			b := Backlog{Service: w.service, Priority: w.priority, BestEffort: w.bestEffort, InTime: w.inTime.thinned(), Late: w.late.thinned(), Full: w.full, MilliCPU: r.milliCPU(now, sc.poolCapacity(w.pool))}
			b.AheadMS = int64(ahead[w.pool] + w.ahead)
			out = append(out, b)
		}
		ahead[w.pool] += w.ahead + float64(w.inTime.AllMS)
	}
	return out
}

// gatherWork returns the work that waits, by pool and priority.
func (sc *Scheduler) gatherWork(now time.Time) []*backlogWork {
	byKey := make(map[backlogKey]*backlogWork)
	counted := make(map[*occurrence]struct{})
	room := roomSearch{sc: sc, now: now, found: make(map[roomQuery]bool)}
	for _, s := range sc.lastOrder {
		q, ok := sc.queues[s.occurrence.job.submission.Queue]
		if _, waits := sc.readySteps[s]; !waits || !ok || s.spec.LongRunning {
			continue
		}
		k := backlogKey{pool{q.Service, s.spec.BestEffort}, q.Priority}
		w := byKey[k]
		if w == nil {
			w = &backlogWork{backlogKey: k}
			byKey[k] = w
		}
		if _, ok := counted[s.occurrence]; !ok {
			counted[s.occurrence] = struct{}{}
			w.add(sc.rank(now, s), s.occurrence.work.left)
		}
		w.addFull(&room, s, &q)
	}
	out := make([]*backlogWork, 0, len(byKey))
	for _, w := range byKey {
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y *backlogWork) int {
		return cmp.Or(cmp.Compare(x.service, y.service), compareBool(x.bestEffort, y.bestEffort), cmp.Compare(x.priority, y.priority))
	})
	return out
}

// add adds the waiting work of an occurrence. Work of the classes after that of new jobs does not come before them.
func (w *backlogWork) add(r placementRank, work float64) {
	switch r.class {
	case classOverdue:
		w.ahead += work
	case classInTime:
		w.inTime.add(r.cost, work)
	case classLate:
		w.late.add(r.cost, work)
	}
}

// add adds work of a cost that is at least that of all before, but for what has changed since the last order.
func (w *ClassWork) add(cost, work float64) {
	w.AllMS += int64(work)
	if n := len(w.Bounds); n > 0 {
		cost = max(cost, w.Bounds[n-1].Cost)
	}
	w.Bounds = append(w.Bounds, CostBound{Cost: cost, WorkMS: w.AllMS})
}

// thinned returns the work with at most maxCostBounds sums, about evenly spaced.
func (w *ClassWork) thinned() ClassWork {
	n := len(w.Bounds)
	if n <= maxCostBounds {
		return *w
	}
	out := ClassWork{AllMS: w.AllMS, Bounds: make([]CostBound, 0, maxCostBounds)}
	for i := range maxCostBounds {
		out.Bounds = append(out.Bounds, w.Bounds[(i+1)*n/maxCostBounds-1])
	}
	return out
}

// addFull notes the size of the tasks of a waiting step if no worker has room for one. Steps that may run on some workers only
// say nothing of others.
func (w *backlogWork) addFull(room *roomSearch, s *stepState, q *Queue) {
	if s.spec.Label != "" || s.spec.Gang || s.spec.MaxPerWorker > 0 || q.Policy != nil || len(w.full) >= maxFullSizes {
		return
	}
	if slices.ContainsFunc(w.full, func(full worker.Resources) bool { return full.Fits(s.spec.Size) }) || room.exists(s, q) {
		return
	}
	w.full = append(slices.DeleteFunc(w.full, s.spec.Size.Fits), s.spec.Size)
}

// roomQuery is a size of tasks of a pool.
type roomQuery struct {
	pool
	size worker.Resources
}

// roomSearch searches workers with room, once for each size.
type roomSearch struct {
	sc    *Scheduler
	now   time.Time
	found map[roomQuery]bool
}

// exists reports whether a worker has room for a task of a step.
func (r *roomSearch) exists(s *stepState, q *Queue) bool {
	k := roomQuery{pool{q.Service, s.spec.BestEffort}, s.spec.Size}
	if found, ok := r.found[k]; ok {
		return found
	}
	if len(r.found) >= maxRoomSearches {
		return true
	}
	r.found[k] = slices.ContainsFunc(r.sc.fleet, func(w *workerState) bool { return r.sc.suitable(r.now, s, q, w) && r.sc.hasRoom(w, s, 0) })
	return r.found[k]
}

// poolCapacity returns the processor time that the steps of a pool can get at present, in thousandths of a processor.
func (sc *Scheduler) poolCapacity(p pool) float64 {
	sum := 0.0
	anyStep, q := &stepState{spec: &workflow.Step{}}, &Queue{Service: p.service}
	for _, w := range sc.fleet {
		if !sc.eligible(anyStep, q, w) {
			continue
		}
		if p.bestEffort {
			sum += max(0, w.leftMilliCPU())
		} else {
			sum += float64(max(0, w.capacity.MilliCPU-w.longRunningMilliCPU))
		}
	}
	return sum
}
