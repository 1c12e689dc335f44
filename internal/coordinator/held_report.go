package coordinator

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// mustHold reports whether a report of a worker must be held until the store has taken a write: the worker's name,
// or one under the term that was sent after the first Hello of an agent process that knew no term. An earlier
// process may have served a later dispatcher, unless the runner is still in the life that it had in this term: then
// the runner knows of the later term. The caller holds mu.
func (t *term) mustHold(c *Coordinator, r *peer.Report) bool {
	w := &r.Worker
	if t.needsName(r) {
		return true
	}
	return !t.confirmed(c, w.Name) && (w.Life == 0 || w.Life != t.scheduler.RunnerLife(w.Name))
}

// needsName reports whether a worker's name has to be stored before its report counts: so that a later dispatcher waits
// for what may run there. A worker without a runner that reports no start can run nothing before its next report. Under a
// registration that the agent does not know, an earlier agent process may have said that the worker has left, or that it
// renews no leases there any more.
func (t *term) needsName(r *peer.Report) bool {
	w := &r.Worker
	if w.Life == 0 && len(r.Runs) == 0 {
		return false
	}
	number := t.roster.Number(w.Name)
	return number == 0 || r.Registration != number
}

// renewsLease reports whether a ping of the agent of a worker renews its lease: the leadership lease is valid, and the
// worker is registered, so that no departure says that the leases of its runs end. The caller holds mu.
func (t *term) renewsLease(now time.Time, worker string) bool {
	held := t.heldReports[worker]
	return t.leaderLease.Valid(now) && (held == nil || !t.needsName(held))
}

// isHeld reports whether the report of a worker is held. The caller holds mu.
func (t *term) isHeld(worker string) bool { return t.heldReports[worker] != nil }

// confirmed reports whether no later term had begun when the worker's agent, if it is a new process, first said
// Hello. The caller holds mu.
func (t *term) confirmed(c *Coordinator, worker string) bool {
	return !t.leaderLease.LastRenewal().Before(c.agentConns[worker].newSince)
}

// releaseReports applies the held reports that need not be held any more. The caller holds mu.
func (t *term) releaseReports(now time.Time, c *Coordinator) {
	for name, r := range t.heldReports {
		if !t.needsName(r) && t.confirmed(c, name) {
			delete(t.heldReports, name)
			t.applyReport(now, c, r)
			if a := t.agents[name]; a != nil && a.conn == nil {
				t.scheduler.MarkSilent(name)
			}
		}
	}
}

// dropHeldReport drops the held report of a worker, if there is one. The run ends that it lists count nonetheless: no later
// report may show them. The caller holds mu.
func (t *term) dropHeldReport(now time.Time, c *Coordinator, worker string) {
	held := t.heldReports[worker]
	if held == nil {
		return
	}
	delete(t.heldReports, worker)
	lives := held.EndedLives
	if len(held.RunEnds) > 0 {
		lives = append(slices.Clone(lives), dispatch.EndedLife{Life: held.Worker.Life, Ends: held.RunEnds})
	}
	t.applyEndedLives(now, c, worker, lives)
}

// updateHeldReport replaces the description of a worker in its held report, if the life of its runner is the
// same: the name may take long to be stored, and the worker may have shrunk or begun to drain since. The
// caller holds mu.
func (t *term) updateHeldReport(w *dispatch.Worker) {
	if held := t.heldReports[w.Name]; held != nil && held.Worker.Life == w.Life {
		last, more := held.Worker.LastSentEnd, held.Worker.MoreEnds
		held.Worker = *w
		held.Worker.LastSentEnd, held.Worker.MoreEnds = last, more // the report covers no more ends than before
	}
}

// addHeldEnds adds run ends to the held report of a worker. It returns false if the ends are of another life or ends
// before them are missing: the worker has to report again. The caller holds mu.
func (t *term) addHeldEnds(held *peer.Report, r *peer.RunEnds) bool {
	w := &held.Worker
	if w.Life != r.Life || r.After > w.LastSentEnd {
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
	if held := t.heldReports[name]; held != nil && held.Worker.Life == r.Life {
		removeRun(held, r.Task, r.Run)
	}
}

// removeRun removes a run from the present runs of a report.
func removeRun(r *peer.Report, task workflow.TaskID, run uint64) {
	r.Runs = slices.DeleteFunc(r.Runs, func(s dispatch.RunStatus) bool { return s.Task == task && s.Run == run })
}
