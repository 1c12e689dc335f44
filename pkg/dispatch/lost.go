package dispatch

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// endAllRuns ends every run at a worker and records the runs as lost, but for those that have started in the next life of
// the worker's runner. crashed is set if the runner has ended without having announced it, c is from what the ends are
// concluded.
func (sc *Scheduler) endAllRuns(now time.Time, wallMS int64, w *workerState, crashed bool, c Conclusion, startedNext map[unwantedRun]bool) {
	w.unknownJobs.runs = nil // ends stay held: what they say remains true, and later ones must not be acknowledged past them
	if w.unknownJobs.empty() {
		delete(sc.workersWithUnknownJobs, w)
	}
	sc.forgetAllUnwanted(w)
	var abandoned []*run
	for _, r := range slices.Clone(sc.runsInOrder(w)) {
		if startedNext[unwantedRun{r.id, r.number}] {
			continue
		}
		if crashed && sc.recordCrash(r) {
			abandoned = append(abandoned, r)
		}
		sc.lostRuns = append(sc.lostRuns, LostRun{
			Task: r.id, Run: r.number, Worker: w.name, Crashed: crashed, Sent: r.sent, Proven: r.proven, Crashes: r.step.tasks[r.id.Index].crashes.all,
		})
		r.step.tasks[r.id.Index].conclude(r, c)
		sc.endRun(now, wallMS, w, &RunEnd{Task: r.id, Run: r.number, How: OutcomeGone})
	}
	for _, r := range abandoned {
		sc.abandon(now, wallMS, r)
	}
}

// LostRun is a run that is regarded as ended because the worker's runner ended or was replaced, or
// the worker's lease expired.
type LostRun struct {
	Task   workflow.TaskID
	Run    uint64
	Worker string
	// Crashed is set if the worker's runner has crashed, rather than the lease expired.
	Crashed bool
	// Sent is set if the run is known to have been sent to the runner, Proven if it was at work for
	// provenStartAfter.
	Sent, Proven bool
	// Crashes is the number of runners that have crashed while they ran the task.
	Crashes int
}

// TakeLostRuns returns the runs that were lost since the last call.
func (sc *Scheduler) TakeLostRuns() []LostRun {
	out := sc.lostRuns
	sc.lostRuns = nil
	return out
}

// MarkSilent records that a worker is silent; it gets no new tasks until the next contact.
func (sc *Scheduler) MarkSilent(name string) {
	if w := sc.workers[name]; w != nil {
		w.silent = true
	}
}

// WorkerLeaseExpired records that the lease of a worker has expired, so that every run at the worker
// has ended. It returns the number of runs lost.
func (sc *Scheduler) WorkerLeaseExpired(now time.Time, name string) int {
	return sc.loseWorker(now, 0, name, false, ConclusionLeaseExpired)
}

// loseWorker records that every run at a worker has ended, as concluded from c, and returns their number.
func (sc *Scheduler) loseWorker(now time.Time, wallMS int64, name string, crashed bool, c Conclusion) int {
	delete(sc.unreported, name)
	w := sc.workers[name]
	if w == nil {
		return 0
	}
	n := len(w.runs)
	sc.endAllRuns(now, wallMS, w, crashed, c, nil)
	w.silent = true
	w.leaseExpired = true
	return n
}

// RunnerGone records that a worker has no runner, so that every run at the worker has ended. ended is set if
// the runner is known to have ended, rather than not to answer. It returns the number of runs lost.
func (sc *Scheduler) RunnerGone(now time.Time, wallMS int64, name string, ended bool) int {
	w := sc.workers[name]
	crashed := ended && w != nil && w.life != 0 && !w.endAnnounced // a runner that was gone before does not crash again
	n := sc.loseWorker(now, wallMS, name, crashed, ConclusionRunnerGone)
	if w != nil {
		w.endLife()
		w.life = 0
	}
	return n
}

// LeftInOrder reports whether a worker's runner has ended as it had announced, and nothing is left that runs or may still
// start there.
func (sc *Scheduler) LeftInOrder(name string) bool {
	w := sc.workers[name]
	return w != nil && w.life == 0 && w.endAnnounced && len(w.runs) == 0 && len(w.unwanted) == 0 && len(w.unknownJobs.runs) == 0
}

// SentRun identifies a run that was sent to a runner, which may have started it.
type SentRun struct {
	_    struct{} `cbor:",toarray"`
	Task workflow.TaskID
	Run  uint64
}

// ConfirmSent records that runs were sent to a worker's runner, although it may not have listed them.
func (sc *Scheduler) ConfirmSent(name string, sent []SentRun) {
	w := sc.workers[name]
	if w == nil {
		return
	}
	for _, s := range sent {
		if r := w.runs[s.Task]; r != nil && r.number == s.Run {
			r.sent = true
		}
	}
}

// AdoptPending records starts that may still take effect at a worker that has no runner, in the next life of its
// runner. Their tasks are not started again before the worker refuses them.
func (sc *Scheduler) AdoptPending(now time.Time, wallMS int64, name string, pending []RunStatus) {
	w := sc.workerState(name)
	for i := range pending {
		if sc.jobs[pending[i].Task.Job] == nil {
			sc.holdRun(now, w, &pending[i])
		} else {
			sc.adoptRun(now, wallMS, w, &pending[i])
		}
	}
}
