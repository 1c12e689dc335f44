package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of speculative runs.
const (
	// maxParallelRuns is how many runs of one task may run at a time.
	maxParallelRuns = 2
	// straggleQuantile is the quantile of the known run times that the first run of a task has to pass before a
	// speculative run starts. If that is above speculateAfterMedians times the median, it is among the tasks that take
	// far longer, too late for all of them: lower quantiles down to minStraggleQuantile are tried, in steps.
	straggleQuantile      = 0.95
	minStraggleQuantile   = 0.75
	straggleQuantileStep  = 0.05
	speculateAfterMedians = 2
	// While the run times of a step are not known, a speculative run starts once the first run has taken
	// speculateAfterEstimates times its expected time plus speculateMargin. Progress is reported too late to recognise
	// a slow run sooner, so that speculateMargin is the least excess of any run that is far behind.
	speculateAfterEstimates = 2
	speculateMargin         = 200 * time.Millisecond
	// maxSpeculativeShare is the fraction of the processor time that no other task reserves which speculative runs may
	// reserve.
	// A quarter slows down the slowest jobs at a load of 0.7, three quarters gain nothing more.
	maxSpeculativeShare = 0.5
	// raceMemory is how many races between a first and a speculative run the share of won ones is learned from, and
	// priorRaces how many races, all won, it is assumed to start from.
	raceMemory = 50
	priorRaces = 2
	// minWinningShare is the share of won races below which speculative runs run one at a time, to learn of a change.
	minWinningShare = 0.2
	// fullPercent is the progress of a run that is done.
	fullPercent = 100
)

// races is what is known of races between first and speculative runs of tasks whose run times are known. The
// zero value knows none.
type races struct{ won, lost float64 }

// add takes in a race.
func (r *races) add(won bool) {
	if sum := r.won + r.lost; sum >= raceMemory {
		keep := (raceMemory - 1) / sum
		r.won, r.lost = r.won*keep, r.lost*keep
	}
	if won {
		r.won++
	} else {
		r.lost++
	}
}

// winningShare returns the fraction of speculative runs that is expected to end before the first run. It is low
// where tasks are long by themselves, since their second runs are as long.
func (r *races) winningShare() float64 {
	return (r.won + priorRaces) / (r.won + r.lost + priorRaces)
}

// straggler is a run that is far behind.
type straggler struct {
	run *run
	// took is how long it has run, and limit the time from which it counts as far behind, 0 if the run times of its
	// step are not known.
	took, limit time.Duration
	// slow is set if the run's worker is known to be slow, so that a run elsewhere is likely to end first whatever the
	// task.
	slow bool
}

// known reports whether the run times of the step are known.
func (x *straggler) known() bool { return x.limit > 0 }

// behind returns the ratio of the run's time to the limit, 0 if run times are not known.
func (x *straggler) behind() float64 {
	if !x.known() {
		return 0
	}
	return float64(x.took) / float64(x.limit)
}

// reason returns why a speculative run starts, for the log.
func (x *straggler) reason() string {
	if !x.known() {
		return "speculative run: the first run is far behind"
	}
	return fmt.Sprintf("speculative run: the first run has taken %d ms, by the known run times it is far behind from %d ms on", x.took.Milliseconds(), x.limit.Milliseconds())
}

// Speculation counts speculative runs: those that were started, and those that ended before or after the first run
// of their task.
type Speculation struct{ Started, Won, Lost int }

// TakeSpeculation returns the counts since the last call.
func (sc *Scheduler) TakeSpeculation() Speculation {
	out := sc.speculation
	sc.speculation = Speculation{}
	return out
}

// startSpeculativeRuns starts speculative runs of tasks whose present run is far behind, where room
// is left once all waiting tasks have been placed. This makes up for slow, hanging and failing
// workers, and for tasks that take far longer on some runs. Where run times are known, the run that is furthest
// behind comes first.
func (sc *Scheduler) startSpeculativeRuns(now time.Time, o *Orders) {
	var stragglers []straggler
	for _, w := range sc.fleet {
		for _, r := range w.runs {
			if len(r.step.tasks[r.id.Index].runs) >= maxParallelRuns {
				continue
			}
			if x, ok := sc.straggles(now, r); ok {
				stragglers = append(stragglers, x)
			}
		}
	}
	slices.SortFunc(stragglers, func(x, y straggler) int {
		return cmp.Or(-cmp.Compare(x.behind(), y.behind()), strings.Compare(x.run.id.String(), y.run.id.String()))
	})
	var budget *speculationBudget
	for i := range stragglers {
		if budget == nil && stragglers[i].known() {
			budget = sc.newSpeculationBudget(now)
		}
		sc.startSpeculative(now, &stragglers[i], budget, o)
	}
}

// startSpeculative starts a speculative run of the task of a straggler if there is room, within the budget.
func (sc *Scheduler) startSpeculative(now time.Time, x *straggler, budget *speculationBudget, o *Orders) {
	r := x.run
	s, t := r.step, &r.step.tasks[r.id.Index]
	q, ok := sc.queues[s.occurrence.job.submission.Queue]
	if !ok || t.done || now.Before(t.notBefore) || t.crashes.suspicious() {
		return
	}
	if x.known() && !budget.allows(&q, s, sc.speculativeShare(x.slow)) {
		return
	}
	w := sc.chooseWorker(now, s, t, q, nil)
	if w == nil {
		return
	}
	if x.known() {
		budget.spend(&q, s)
	}
	sc.speculation.Started++
	sc.orderStart(now, s, r.id.Index, w, t.lastRunNumber+1, x.reason(), o)
}

// straggles reports whether a speculative run of the task would likely end before this run.
func (sc *Scheduler) straggles(now time.Time, r *run) (straggler, bool) {
	s := r.step.spec
	if !s.Speculative || s.Gang || s.LongRunning || r.phase != runRunning || s.EstimateMS < minMeasuredEstimateMS {
		return straggler{}, false
	}
	expected := time.Duration(r.step.expectedMS) * time.Millisecond
	took := now.Sub(r.orderedAt)
	if took < expected+speculateMargin {
		return straggler{}, false
	}
	ratio, known := sc.straggleRatio(r.step)
	if !known || r.mayWait() {
		return straggler{run: r, took: took}, took >= speculateAfterEstimates*expected+speculateMargin
	}
	limit := max(time.Duration(ratio*sc.rackSlowdown(r)*float64(expected)), expected+speculateMargin)
	return straggler{run: r, took: took, limit: limit, slow: sc.isSlow(now, r.worker)}, took >= limit && !r.endsSoon(now, expected)
}

// straggleRatio returns the ratio of run time to expected run time from which a run of a step is far behind, or false if
// too few run times are known.
func (sc *Scheduler) straggleRatio(s *stepState) (ratio float64, known bool) {
	key := s.runtimeKey()
	if ratio, known = sc.runTimes.Quantile(key, straggleQuantile); !known {
		return 0, false
	}
	median, _ := sc.runTimes.Quantile(key, 0.5)
	for q := straggleQuantile; ratio > speculateAfterMedians*median; q -= straggleQuantileStep {
		if q < minStraggleQuantile {
			return speculateAfterMedians * median, true
		}
		ratio, _ = sc.runTimes.Quantile(key, q)
	}
	return ratio, true
}

// endsSoon reports whether a run is expected, by its progress, to end before a new run that takes the expected time. A
// run that is late by its own progress may have stopped making any.
func (r *run) endsSoon(now time.Time, expected time.Duration) bool {
	if r.percent <= 0 || r.percent >= fullPercent {
		return false
	}
	end := r.orderedAt.Add(r.progressedAt.Sub(r.orderedAt) * fullPercent / time.Duration(r.percent))
	return end.After(now) && end.Sub(now) <= expected
}

// mayWait reports whether a best-effort run may have waited for processor time, so that its time tells nothing about its
// task.
func (r *run) mayWait() bool {
	return r.shared || r.step.spec.BestEffort && r.worker.lastSlowedAt.After(r.orderedAt)
}

// rackSlowdown returns the factor by which a run takes longer because it is not on the rack of its data.
func (sc *Scheduler) rackSlowdown(r *run) float64 {
	if rack := r.step.spec.Rack; rack == "" || rack == r.worker.rack {
		return 1
	}
	return max(1, sc.remoteRackSlowdown)
}

// noteRace takes in the end of a race: a run is done while another run of its task is not. Races with a run at a slow
// worker tell nothing about the task.
func (sc *Scheduler) noteRace(now time.Time, r *run) {
	t := &r.step.tasks[r.id.Index]
	if len(t.runs) < maxParallelRuns || r.step.spec.Gang {
		return
	}
	won := r != t.runs[0]
	if won {
		sc.speculation.Won++
	} else {
		sc.speculation.Lost++
	}
	if _, known := sc.straggleRatio(r.step); known && !sc.isSlow(now, t.runs[0].worker) {
		sc.races.add(won)
	}
}

// speculativeShare returns the fraction of the unreserved processor time up to which a speculative run may start: less
// the fewer of them have ended first, and none beside a single one where nearly all come too late. Where the first run is at
// a slow worker, the other run is likely to end first whatever the task.
func (sc *Scheduler) speculativeShare(slow bool) float64 {
	if slow {
		return maxSpeculativeShare
	}
	if share := sc.races.winningShare(); share >= minWinningShare {
		return maxSpeculativeShare * share
	}
	return 0
}

// speculationBudget bounds the speculative runs of one review of the present runs.
type speculationBudget struct {
	// room is the processor time that no task reserves if all speculative runs end, and spent what these reserve, by
	// service.
	room, spent map[string]float64
	// waiting is the priority of the most urgent work that waits for room; 0 is the highest.
	waiting int
}

// newSpeculationBudget works out the budget.
func (sc *Scheduler) newSpeculationBudget(now time.Time) *speculationBudget {
	b := &speculationBudget{room: make(map[string]float64), spent: make(map[string]float64), waiting: sc.waitingForRoom(now)}
	for _, w := range sc.fleet {
		if w.life == 0 || w.silent || w.leaseExpired || w.draining {
			continue
		}
		used := 0.0
		for _, r := range w.runs {
			if r != r.step.tasks[r.id.Index].runs[0] && !r.step.spec.Gang {
				used += float64(r.step.spec.Size.MilliCPU)
			}
		}
		b.spent[w.service] += used
		b.room[w.service] += max(0, w.unusedMilliCPU()+used)
	}
	return b
}

// allows reports whether a speculative run of a step may start: nothing of its priority or a higher one waits for
// room, and the run is the only one or all together stay within a share of the room.
func (b *speculationBudget) allows(q *Queue, s *stepState, share float64) bool {
	if b.waiting <= q.Priority {
		return false
	}
	spent := b.spent[q.Service]
	return spent == 0 || spent+float64(s.spec.Size.MilliCPU) <= share*b.room[q.Service]
}

// spend takes a speculative run of a step out of the budget.
func (b *speculationBudget) spend(q *Queue, s *stepState) {
	b.spent[q.Service] += float64(s.spec.Size.MilliCPU)
}

// waitingForRoom returns the priority of the most urgent step with a task that could start now if a worker had room,
// or math.MaxInt if there is none.
func (sc *Scheduler) waitingForRoom(now time.Time) int {
	urgent := math.MaxInt
	for s := range sc.readySteps {
		q, ok := sc.queues[s.occurrence.job.submission.Queue]
		if ok && q.Priority < urgent && sc.mayPlace(s) && sc.lacksRoom(now, s, &q) {
			urgent = q.Priority
		}
	}
	return urgent
}

// lacksRoom reports whether a task of a step waits for nothing but room: one may start, and a worker that may run it
// is large enough and has not as many of the step's tasks as it may have.
func (sc *Scheduler) lacksRoom(now time.Time, s *stepState, q *Queue) bool {
	waits := false
	for i := range s.tasks {
		waits = waits || s.tasks[i].mayStart(now) && !s.tasks[i].crashes.suspicious()
	}
	if !waits {
		return false
	}
	return slices.ContainsFunc(sc.fleet, func(w *workerState) bool {
		mayAdd := s.spec.MaxPerWorker == 0 || s.runsPerWorker[w.name] < s.spec.MaxPerWorker
		return mayAdd && s.spec.Reserved().Fits(w.capacity) && sc.allowed(now, s, *q, w)
	})
}

// remaining estimates how much longer a run takes: from the speed of its progress, or from the
// expected run time while there is no progress. A run that is overdue is expected to need as
// much time again as it is late.
func (r *run) remaining(now time.Time) time.Duration {
	expected := time.Duration(r.step.expectedMS) * time.Millisecond
	if r.percent > 0 {
		expected = r.progressedAt.Sub(r.orderedAt) * fullPercent / time.Duration(r.percent)
	}
	return (expected - now.Sub(r.orderedAt)).Abs()
}
