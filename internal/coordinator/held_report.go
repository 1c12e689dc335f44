package coordinator

import (
	"slices"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// updateHeldReport replaces the description of a worker in its held report, if the life of its runner is the
// same: the name may take long to be stored, and the worker may have shrunk or begun to drain since. The
// caller holds mu.
func (t *term) updateHeldReport(w *dispatch.Worker) {
	if held := t.unregistered[w.Name]; held != nil && held.Worker.Life == w.Life {
		last := held.Worker.LastSentEnd
		held.Worker = *w
		held.Worker.LastSentEnd = last // the report covers no more ends than before
	}
}

// addHeldEnds adds run ends to the held report of a worker. It returns false, and drops the report, if the ends
// are of another life or ends before them are missing: the worker has to report again. The caller holds mu.
func (t *term) addHeldEnds(held *peer.Report, r *peer.RunEnds) bool {
	w := &held.Worker
	if w.Life != r.Life || r.After > w.LastSentEnd {
		delete(t.unregistered, w.Name)
		return false
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		if e.Number <= w.LastSentEnd {
			continue
		}
		w.LastSentEnd = e.Number
		held.RunEnds = append(held.RunEnds, *e)
		removeRun(held, e.Task, e.Run)
	}
	return true
}

// removeHeldRun removes a run that never starts from the held report of a worker, if there is one. The caller
// holds mu.
func (t *term) removeHeldRun(name string, r *peer.OrderRefused) {
	if held := t.unregistered[name]; held != nil && held.Worker.Life == r.Life {
		removeRun(held, r.Task, r.Run)
	}
}

// removeRun removes a run from the present runs of a report.
func removeRun(r *peer.Report, task workflow.TaskID, run uint64) {
	r.Runs = slices.DeleteFunc(r.Runs, func(s dispatch.RunStatus) bool { return s.Task == task && s.Run == run })
}
