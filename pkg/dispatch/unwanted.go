package dispatch

import "savoryhoist.example/savoryhoist/pkg/workflow"

// unwantedRun names a run that a worker lists and whose task needs no such run. It is ordered to stop, and
// takes up room until it has ended.
type unwantedRun struct {
	task   workflow.TaskID
	number uint64
}

// stopUnwanted orders an unwanted run to stop. Its room is not counted if its step, s, is nil: nothing tells
// its size.
func (sc *Scheduler) stopUnwanted(w *workerState, s *stepState, status *RunStatus) {
	sc.pendingStops = append(sc.pendingStops, Stop{Worker: w.name, Life: w.life, Task: status.Task, Run: status.Run, Reason: "the run is unknown or no longer needed"})
	r := unwantedRun{status.Task, status.Run}
	if _, counted := w.unwanted[r]; counted || s == nil {
		return
	}
	w.unwanted[r] = s.spec.Reserved()
	w.allocated = w.allocated.Plus(w.unwanted[r])
	sc.rooms.update(w)
}

// forgetUnwanted frees the room of an unwanted run, if r is one.
func (sc *Scheduler) forgetUnwanted(w *workerState, r unwantedRun) {
	reserved, counted := w.unwanted[r]
	if !counted {
		return
	}
	delete(w.unwanted, r)
	w.allocated = w.allocated.Minus(reserved)
	sc.rooms.update(w)
	sc.noteChange(w)
}

// forgetAllUnwanted frees the room of all unwanted runs at a worker.
func (sc *Scheduler) forgetAllUnwanted(w *workerState) {
	for r := range w.unwanted {
		sc.forgetUnwanted(w, r)
	}
}
