package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// endAllRuns ends every run at a worker and records the runs as lost.
func (sc *Board) endAllRuns(now time.Time, w *workerState) {
	w.unknownJobs = unknownJobReport{}
	delete(sc.workersWithUnknownJobs, w)
	for _, r := range w.runs {
		sc.lost = append(sc.lost, Lost{Task: r.id, Run: r.number, Worker: w.name})
		sc.endRun(now, 0, w, &End{Task: r.id, Run: r.number, How: HowGone})
	}
}

// Lost is a run that ended because its worker did.
type Lost struct {
	Task   workflow.TaskID
	Run    uint64
	Worker string
}

// TakeLost returns the runs that were lost since the last call.
func (sc *Board) TakeLost() []Lost {
	out := sc.lost
	sc.lost = nil
	return out
}

// Silent records that a worker is silent; it gets no further orders.
func (sc *Board) Silent(name string) {
	if w := sc.workers[name]; w != nil {
		w.silent = true
	}
}

// Lapsed records that the lease of a worker has expired, so that everything there has ended. It
// returns the number of runs lost.
func (sc *Board) Lapsed(now time.Time, name string) int {
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

// Vacated records that a worker has no runner, so that everything there has ended. It returns
// the number of runs lost.
func (sc *Board) Vacated(now time.Time, name string) int {
	n := sc.Lapsed(now, name)
	if w := sc.workers[name]; w != nil {
		w.life = 0
	}
	return n
}
