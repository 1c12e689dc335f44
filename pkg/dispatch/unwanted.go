package dispatch

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// unwantedRun names a run that a worker lists and whose task needs no such run. It is ordered to stop. Until it has
// ended, it takes up room and its task is not started.
type unwantedRun struct {
	task   workflow.TaskID
	number uint64
}

// unwantedState is what the scheduler keeps of an unwanted run.
type unwantedState struct {
	step *stepState
	task *taskState
	// pending is set if the worker has reported the run only as one that may still start.
	pending bool
}

// stopUnwanted orders an unwanted run to stop. Its room is not counted if its step, s, and its task, t, are nil:
// nothing tells its size.
func (sc *Scheduler) stopUnwanted(w *workerState, s *stepState, t *taskState, status *RunStatus) {
	sc.pendingStops = append(sc.pendingStops, Stop{Worker: w.name, Life: w.life, Task: status.Task, Run: status.Run, Reason: "the run is unknown or no longer needed"})
	r := unwantedRun{status.Task, status.Run}
	if _, counted := w.unwanted[r]; counted || s == nil {
		return
	}
	w.unwanted[r] = unwantedState{s, t, status.Pending}
	t.unwantedRuns++
	if s.runsPerWorker != nil {
		s.runsPerWorker[w.name]++
	}
	w.allocated = w.allocated.Plus(s.spec.Reserved())
	sc.rooms.update(w)
}

// displacePending makes the runs of a task unwanted that may still start, in favour of one that is at work.
func (sc *Scheduler) displacePending(now time.Time, s *stepState, t *taskState) {
	for _, r := range slices.Clone(t.runs) {
		if !r.reportedPending {
			continue
		}
		sc.removeRun(now, r)
		sc.stopUnwanted(r.worker, s, t, &RunStatus{Task: r.id, Run: r.number, Pending: true})
	}
}

// forgetUnwanted frees the room of an unwanted run and its task, if r is one.
func (sc *Scheduler) forgetUnwanted(w *workerState, r unwantedRun) {
	u, counted := w.unwanted[r]
	if !counted {
		return
	}
	delete(w.unwanted, r)
	u.task.unwantedRuns--
	if u.step.runsPerWorker != nil {
		u.step.runsPerWorker[w.name]--
	}
	w.allocated = w.allocated.Minus(u.step.spec.Reserved())
	sc.rooms.update(w)
	sc.noteChange(w)
}

// forgetAllUnwanted frees the room of all unwanted runs at a worker.
func (sc *Scheduler) forgetAllUnwanted(w *workerState) {
	for r := range w.unwanted {
		sc.forgetUnwanted(w, r)
	}
}

// reviewUnwanted forgets the unwanted runs that a report settles: those that it lists are taken in anew, and those that
// it leaves out have ended, unless ends are missing. A start that it leaves out may have been forgotten by a new agent
// process and is ordered to stop again.
func (sc *Scheduler) reviewUnwanted(w *workerState, listed map[unwantedRun]bool, moreEnds bool) {
	for r, u := range w.unwanted {
		switch {
		case listed[r] || !u.pending && !moreEnds:
			sc.forgetUnwanted(w, r)
		case !moreEnds:
			sc.pendingStops = append(sc.pendingStops, Stop{Worker: w.name, Life: w.life, Task: r.task, Run: r.number, Reason: "the worker does not report the run"})
		}
	}
}
