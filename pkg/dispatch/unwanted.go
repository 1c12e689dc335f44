package dispatch

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
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
	reserved worker.Resources
	task     *taskState
}

// stopUnwanted orders an unwanted run to stop. Its room is not counted if its step, s, and its task, t, are nil:
// nothing tells its size.
func (sc *Scheduler) stopUnwanted(w *workerState, s *stepState, t *taskState, status *RunStatus) {
	sc.pendingStops = append(sc.pendingStops, Stop{Worker: w.name, Life: w.life, Task: status.Task, Run: status.Run, Reason: "the run is unknown or no longer needed"})
	r := unwantedRun{status.Task, status.Run}
	if _, counted := w.unwanted[r]; counted || s == nil {
		return
	}
	w.unwanted[r] = unwantedState{s.spec.Reserved(), t}
	t.unwantedRuns++
	w.allocated = w.allocated.Plus(w.unwanted[r].reserved)
	sc.rooms.update(w)
}

// displacePending makes the runs of a task unwanted that may still start, in favour of one that is at work.
func (sc *Scheduler) displacePending(now time.Time, s *stepState, t *taskState) {
	for _, r := range slices.Clone(t.runs) {
		if !r.reportedPending {
			continue
		}
		sc.removeRun(now, r)
		sc.stopUnwanted(r.worker, s, t, &RunStatus{Task: r.id, Run: r.number})
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
	w.allocated = w.allocated.Minus(u.reserved)
	sc.rooms.update(w)
	sc.noteChange(w)
}

// forgetAllUnwanted frees the room of all unwanted runs at a worker.
func (sc *Scheduler) forgetAllUnwanted(w *workerState) {
	for r := range w.unwanted {
		sc.forgetUnwanted(w, r)
	}
}
