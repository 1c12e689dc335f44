package coordinator

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// noteProcess records which agent process has sent a report, with the Hello of its connection.
func (a *agentLink) noteProcess(now time.Time, h *peer.Hello) {
	known := !a.newProcessSince.IsZero() && a.newProcess == h.Incarnation
	switch {
	case known:
	case h.NewestTerm == 0:
		a.newProcess, a.newProcessSince = h.Incarnation, now
	default:
		a.newProcessSince = time.Time{}
	}
}

// mustHold reports whether a report of a worker must be held until the store has taken a write: the worker's name,
// or one under the term that was sent after the first report of an agent process that knew no term. An earlier
// process may have served a later dispatcher, unless the runner is still in the life that it had in this term: then
// the runner knows of the later term. The caller holds mu.
func (t *term) mustHold(a *agentLink, r *peer.Report) bool {
	if !t.registered[a.name] {
		return true
	}
	return !t.confirmed(a) && (r.Worker.Life == 0 || r.Worker.Life != t.scheduler.RunnerLife(a.name))
}

// confirmed reports whether no later term had begun when the worker's agent, if it is a new process, first reported.
// The caller holds mu.
func (t *term) confirmed(a *agentLink) bool {
	return a == nil || !t.leaderLease.LastRenewal().Before(a.newProcessSince)
}

// releaseReports applies the held reports that need not be held any more. The caller holds mu.
func (t *term) releaseReports(now time.Time, c *Coordinator) {
	for name, r := range t.unregistered {
		if t.registered[name] && t.confirmed(t.agents[name]) {
			delete(t.unregistered, name)
			t.applyReport(now, c, r)
			if a := t.agents[name]; a != nil && a.conn == nil {
				t.scheduler.MarkSilent(name)
			}
		}
	}
}

// updateHeldReport replaces the description of a worker in its held report, if the life of its runner is the
// same: the name may take long to be stored, and the worker may have shrunk or begun to drain since. The
// caller holds mu.
func (t *term) updateHeldReport(w *dispatch.Worker) {
	if held := t.unregistered[w.Name]; held != nil && held.Worker.Life == w.Life {
		last, more := held.Worker.LastSentEnd, held.Worker.MoreEnds
		held.Worker = *w
		held.Worker.LastSentEnd, held.Worker.MoreEnds = last, more // the report covers no more ends than before
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
