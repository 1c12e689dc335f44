package dispatch

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Delays of orders and placement.
const (
	// refusedRetryDelay is the delay before a task is started again after its start order was
	// refused.
	refusedRetryDelay = 100 * time.Millisecond
	// minRestartDelay and maxRestartDelay bound the delay before a long-running task is
	// restarted after a failure; the task has to run again within three seconds.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 800 * time.Millisecond
	// stopRetryInterval is the time after which a stop order without effect is repeated.
	stopRetryInterval = 1500 * time.Millisecond
	// interferenceWait is how long a best-effort job without a run waits for a worker without interference:
	// a job for which every worker has room has to run within three seconds.
	interferenceWait = 2 * time.Second
	// runReviewInterval is how often the present runs are searched for those that fall behind, stand
	// still or have not obeyed a stop order.
	runReviewInterval = 50 * time.Millisecond
	// preemptionWait is how long a long-running task waits for room before runs of lower
	// priority are stopped for it.
	preemptionWait     = 300 * time.Millisecond
	preemptionInterval = 50 * time.Millisecond
	// keptRoomTime is how long after a search a worker is kept for the long-running task that runs
	// are stopped for there.
	keptRoomTime = 4 * preemptionInterval
)

// restartDelay returns the delay before a long-running task is restarted after its given number of
// failures: minRestartDelay, doubled with each failure up to maxRestartDelay.
func restartDelay(failures int) time.Duration {
	return min(minRestartDelay<<min(max(failures-1, 0), 8), maxRestartDelay)
}

// Start is an order to start a task.
type Start struct {
	Worker string
	// Life is the life of the worker's runner that the order is for.
	Life uint64
	Task workflow.TaskID
	// Run is the number of the run; a task's run numbers increase.
	Run uint64
	// Text is the text of the job's specification, and Saved the checkpoint to start from.
	Text  string
	Saved string
	// Fills (set for a best-effort task) and TargetMS are for the worker's latency guard.
	Fills    bool
	TargetMS float64
	// Ticket shows that the queue's placement policy lets the worker run the step.
	Ticket string
	// Harm is the interference load that the image of a best-effort task is expected to cause
	// at the worker, from 0 to 1.
	Harm   float64
	Reason string
	// Second is set if another run of the task may be at work or done when this one starts.
	Second bool
	// Trial asks the agent to report soon whether the run is still at work, since its task is
	// suspected of crashing runners.
	Trial bool
}

// Stop is an order to stop a run, or to make sure that the run never starts.
type Stop struct {
	Worker string
	Life   uint64
	Task   workflow.TaskID
	Run    uint64
	Reason string
}

// Orders are the orders and questions that Decide returns.
type Orders struct {
	starts    []Start
	stops     []Stop
	questions []Question
}

// Starts returns the tasks to start.
func (o *Orders) Starts() []Start { return o.starts }

// Stops returns the runs to stop.
func (o *Orders) Stops() []Stop { return o.stops }

// Questions returns the questions for the placement policy service.
func (o *Orders) Questions() []Question { return o.questions }

// orderStop adds an order to stop a run, unless the run is being stopped already.
func (sc *Scheduler) orderStop(now time.Time, r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.phase, r.stopOrderedAt, r.stopReason = runStopping, now, reason
	sc.pendingStops = append(sc.pendingStops, Stop{Worker: r.worker.name, Life: r.worker.life, Task: r.id, Run: r.number, Reason: reason})
}

// Decide creates the occurrences that are due, places waiting tasks, and returns the resulting orders
// and the stop orders and questions that are due.
func (sc *Scheduler) Decide(now time.Time, wallMS int64) *Orders {
	for j := range sc.repeatingJobs {
		if j.nextOccurrence >= j.submission.Spec.Occurrences() || j.phase.Ended() {
			delete(sc.repeatingJobs, j)
			continue
		}
		sc.createDueOccurrences(now, wallMS, j)
	}
	o := &Orders{}
	sc.releaseRoom()
	sc.endHolds(now)
	sc.askQuestions(now, o)
	for _, s := range sc.placementOrder(now) {
		sc.placeStep(now, s, o)
	}
	sc.updateBacklogs(now)
	if now.Sub(sc.runsReviewedAt) >= runReviewInterval {
		sc.runsReviewedAt = now
		sc.startSpeculativeRuns(now, o)
		sc.stopStalled(now)
		sc.repeatStops(now)
	}
	o.stops, sc.pendingStops = sc.pendingStops, nil
	return o
}

// repeatStops repeats stop orders that have had no effect.
func (sc *Scheduler) repeatStops(now time.Time) {
	for _, w := range sc.fleet {
		for _, r := range w.runs {
			if r.phase == runStopping && now.Sub(r.stopOrderedAt) >= stopRetryInterval {
				r.stopOrderedAt = now
				sc.pendingStops = append(sc.pendingStops, Stop{Worker: w.name, Life: w.life, Task: r.id, Run: r.number, Reason: r.stopReason})
			}
		}
	}
}

// placementOrder returns the steps with waiting tasks in the order in which they are placed. Steps
// of jobs from earlier terms, whose tasks may still run, are left out until all workers have
// reported.
func (sc *Scheduler) placementOrder(now time.Time) []*stepState {
	// The steps of the last order come first, since they are nearly sorted.
	steps := sc.lastOrder[:0]
	for _, s := range sc.lastOrder {
		if s.ordered = sc.mayPlace(s); s.ordered {
			steps = append(steps, s)
		}
	}
	for s := range sc.readySteps {
		if !s.ordered && sc.mayPlace(s) {
			s.ordered = true
			steps = append(steps, s)
		}
	}
	if len(steps) < len(sc.lastOrder) {
		clear(sc.lastOrder[len(steps):])
	}
	sc.lastOrder = sc.sortByUrgency(now, steps)
	return sc.lastOrder
}

// mayPlace reports whether a step has waiting tasks of which no earlier run can be left.
func (sc *Scheduler) mayPlace(s *stepState) bool {
	_, ready := sc.readySteps[s]
	return ready && (!s.occurrence.job.fromEarlierTerm || len(sc.unreported) == 0)
}

// deadline returns the time by which an occurrence has to end to meet its latency objective.
func (sc *Scheduler) deadline(o *occurrence, q Queue) time.Time {
	return o.startedAt.Add(time.Duration(float64(o.criticalPathMS)*q.Stretch)*time.Millisecond + q.TargetLatency)
}

// placeStep starts as many waiting tasks of a step as there is room for.
func (sc *Scheduler) placeStep(now time.Time, s *stepState, o *Orders) {
	q, ok := sc.queues[s.occurrence.job.submission.Queue]
	if !ok {
		return
	}
	if s.spec.Gang {
		sc.placeGang(now, s, q, o)
		return
	}
	var c *candidates
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.mayStart(now) {
			continue
		}
		if t.crashes.suspicious() {
			if sc.placeTrial(now, s, &q, i, o) {
				c = nil // a candidate may have changed
			}
			continue
		}
		if c == nil && !sc.knownFull(s, &q) {
			c = sc.candidates(now, s, q)
		}
		if !c.start(now, i, o) {
			if s.spec.LongRunning && sc.probeLongRunning(now, s, &q, i, o) {
				continue
			}
			if s.spec.LongRunning && now.Sub(t.waitingSince) >= preemptionWait {
				sc.preemptFor(now, s, q, now.Sub(t.waitingSince))
			}
			return
		}
	}
}

// mayStart reports whether the task waits for a start and no run of it can be left.
func (t *taskState) mayStart(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && t.unwantedRuns == 0 && !now.Before(t.notBefore)
}

// orderStart adds an order to start the task with the given index in its step at a worker, under a
// run number.
func (sc *Scheduler) orderStart(now time.Time, s *stepState, index int, w *workerState, runNumber uint64, reason string, o *Orders) {
	t := &s.tasks[index]
	id, second := s.taskID(index), len(t.runs) > 0
	r := sc.addRun(now, s, t, id, w, runNumber)
	if w.health.outcomes.Suspect() {
		w.health.probe, w.health.probeWasDue = r, w.health.outcomes.MayProbe(now)
	}
	sc.noteWait(now, s.occurrence.job)
	sc.markStarted(s.occurrence.job)
	o.starts = append(o.starts, Start{
		Worker: w.name, Life: w.life, Task: id, Run: runNumber, Text: s.occurrence.job.submission.Spec.Text,
		Saved: t.checkpoint, Fills: s.spec.BestEffort, TargetMS: s.spec.TargetMS, Ticket: s.ticket(w), Harm: sc.imageInterference(w, s.spec.Image), Reason: reason, Second: second,
	})
}

// allowed reports whether a worker may run a step, whether or not the worker has room for a task.
func (sc *Scheduler) allowed(now time.Time, s *stepState, q Queue, w *workerState) bool {
	return sc.suitable(now, s, &q, w) && s.permitted(now, &q, w)
}

// suitable reports whether a worker may run a step, apart from the placement policy and whether it
// has room.
func (sc *Scheduler) suitable(now time.Time, s *stepState, q *Queue, w *workerState) bool {
	return sc.eligible(s, q, w) && w.health.usable(now) && !w.keptFrom(now, s) && !w.held(now)
}

// eligible reports whether a worker may run a step, apart from its health, the placement policy and whether
// it has room.
func (sc *Scheduler) eligible(s *stepState, q *Queue, w *workerState) bool {
	return w.life != 0 && !w.silent && !w.leaseExpired && !w.draining && !w.evacuated && w.service == q.Service &&
		(s.spec.Label == "" || w.labels[s.spec.Label])
}

// chooseWorker returns the worker that one task of a gang, or one more run of a task, should run on, or
// nil. planned counts, for each worker, the other tasks of the same gang that have been planned there;
// it is nil for a task without a gang.
func (sc *Scheduler) chooseWorker(now time.Time, s *stepState, t *taskState, q Queue, planned map[*workerState]int) *workerState {
	mayOverload := !s.spec.BestEffort || sc.mayOverload(now, s, t)
	var best *workerState
	lowestScore := 0.0
	for _, w := range sc.fleet {
		if !sc.allowed(now, s, q, w) || !sc.hasRoom(w, s, planned[w]) {
			continue
		}
		if runsOn(t, w) || !mayOverload && sc.wouldOverload(w, s.spec.Image, s.spec.Size.MilliCPU) {
			continue
		}
		if score := sc.score(s, w) + t.penalty(now, w); best == nil || score < lowestScore {
			best, lowestScore = w, score
		}
	}
	return best
}

// runsOn reports whether a task has a run at a worker.
func runsOn(t *taskState, w *workerState) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return true
		}
	}
	return false
}

// placementReason returns why the best-rated worker was chosen for a task, for the log.
func (s *stepState) placementReason(w *workerState) string {
	switch {
	case s.spec.LongRunning:
		return "long-running tasks are packed together"
	case s.spec.BestEffort:
		return "most unused processor time"
	case s.spec.Rack != "" && s.spec.Rack == w.rack:
		return "on the rack of its data"
	}
	return "lowest placement score"
}

// placeGang starts all tasks of a step at once, under one run number.
func (sc *Scheduler) placeGang(now time.Time, s *stepState, q Queue, o *Orders) {
	number := uint64(0)
	saved := ""
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.mayStart(now) {
			return
		}
		number = max(number, t.lastRunNumber)
		saved = max(saved, t.checkpoint)
	}
	for _, rack := range sc.racksToTry(s) {
		plan := sc.planGang(now, s, q, rack)
		if plan == nil {
			continue
		}
		for i, w := range plan {
			s.tasks[i].checkpoint = saved
			sc.orderStart(now, s, i, w, number+1, "the whole gang fits", o)
		}
		return
	}
}

// racksToTry returns the racks to try for a gang, in this order; "" stands for workers on any racks.
func (sc *Scheduler) racksToTry(s *stepState) []string {
	if !s.spec.SameRack {
		return []string{""}
	}
	seen := map[string]bool{}
	var out []string
	for _, w := range sc.fleet {
		if w.rack != "" && !seen[w.rack] {
			seen[w.rack] = true
			out = append(out, w.rack)
		}
	}
	slices.Sort(out)
	if i := slices.Index(out, s.spec.Rack); i > 0 {
		out[0], out[i] = out[i], out[0]
	}
	return append(out, "")
}

// planGang returns the workers that the tasks of a gang should run on, by task index, or nil if the
// gang does not fit. All are on the given rack, or on any racks if rack is "".
func (sc *Scheduler) planGang(now time.Time, s *stepState, q Queue, rack string) []*workerState {
	planned := make(map[*workerState]int)
	if rack != "" {
		for _, w := range sc.fleet {
			if w.rack != rack {
				planned[w] = len(s.tasks) + 1<<20
			}
		}
	}
	plan := make([]*workerState, len(s.tasks))
	for i := range s.tasks {
		w := sc.chooseWorker(now, s, &s.tasks[i], q, planned)
		if w == nil {
			return nil
		}
		planned[w]++
		plan[i] = w
	}
	return plan
}
