package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// endAllRuns ends every run at a worker and records the runs as lost.
func (sc *Scheduler) endAllRuns(now time.Time, w *workerState) {
	w.unknownJobs = unknownJobReport{}
	delete(sc.workersWithUnknownJobs, w)
	sc.forgetAllUnwanted(w)
	for _, r := range w.runs {
		sc.lostRuns = append(sc.lostRuns, LostRun{Task: r.id, Run: r.number, Worker: w.name})
		sc.endRun(now, 0, w, &RunEnd{Task: r.id, Run: r.number, How: OutcomeGone})
	}
}

// LostRun is a run that is regarded as ended because the worker's runner ended or was replaced, or
// the worker's lease expired.
type LostRun struct {
	Task   workflow.TaskID
	Run    uint64
	Worker string
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
	delete(sc.unreported, name)
	w := sc.workers[name]
	if w == nil {
		return 0
	}
	n := len(w.runs)
	sc.endAllRuns(now, w)
	w.silent = true
	w.leaseExpired = true
	return n
}

// RunnerGone records that a worker has no runner, so that every run at the worker has ended. It
// returns the number of runs lost.
func (sc *Scheduler) RunnerGone(now time.Time, name string) int {
	n := sc.WorkerLeaseExpired(now, name)
	if w := sc.workers[name]; w != nil {
		w.life = 0
	}
	return n
}
