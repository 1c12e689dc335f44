package dispatch

import (
	"math"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// unknownJobReport holds the runs and run ends that a worker has listed of jobs that this dispatcher
// does not know. Another dispatcher may have read the record of such a job earlier and started
// the job.
type unknownJobReport struct {
	runs []RunStatus
	ends []RunEnd
	// lastListedAt is when the newest of the runs and ends was listed.
	lastListedAt time.Time
}

// settledEnd is the number of a held end of an earlier life of the runner, which needs no acknowledgement.
const settledEnd = math.MaxUint64

// settle keeps the held ends after the life of the runner that listed them, since what they say remains true.
func (u *unknownJobReport) settle() {
	for i := range u.ends {
		u.ends[i].Number = settledEnd
	}
}

// forgetReported drops what a worker listed in the present life of its runner, before a report lists it anew.
func (sc *Scheduler) forgetReported(w *workerState) {
	u := &w.unknownJobs
	u.runs = nil
	u.ends = slices.DeleteFunc(u.ends, func(e RunEnd) bool { return e.Number != settledEnd })
	if u.empty() {
		delete(sc.workersWithUnknownJobs, w)
	}
}

func (u *unknownJobReport) empty() bool { return len(u.runs)+len(u.ends) == 0 }

// firstEndNumber returns the lowest number of the held ends, which must not be acknowledged, or the
// largest uint64 if no end is held.
func (u *unknownJobReport) firstEndNumber() uint64 {
	first := uint64(math.MaxUint64)
	for i := range u.ends {
		first = min(first, u.ends[i].Number)
	}
	return first
}

// dropRun forgets a run that has ended or is known never to start.
func (u *unknownJobReport) dropRun(id workflow.TaskID, number uint64) {
	u.runs = slices.DeleteFunc(u.runs, func(r RunStatus) bool { return r.Task == id && r.Run == number })
}

// holdRun holds the status of a run of an unknown job until the job is read from the store.
func (sc *Scheduler) holdRun(now time.Time, w *workerState, status *RunStatus) {
	w.unknownJobs.runs = append(w.unknownJobs.runs, *status)
	w.unknownJobs.lastListedAt = now
	sc.workersWithUnknownJobs[w] = struct{}{}
}

// holdEnd holds the end of a run of an unknown job until the job is read from the store.
func (sc *Scheduler) holdEnd(now time.Time, w *workerState, e *RunEnd) {
	w.unknownJobs.dropRun(e.Task, e.Run)
	for i := range w.unknownJobs.ends {
		if w.unknownJobs.ends[i].Number == e.Number {
			return
		}
	}
	w.unknownJobs.ends = append(w.unknownJobs.ends, *e)
	w.unknownJobs.lastListedAt = now
	sc.workersWithUnknownJobs[w] = struct{}{}
}

// acknowledge lets a worker forget its run ends up to the last one processed, but none from the first
// end of an unknown job's run on.
func (sc *Scheduler) acknowledge(w *workerState) {
	upTo := min(w.lastEndNumber, w.unknownJobs.firstEndNumber()-1)
	if n := sc.pendingAcks[w.name]; upTo > 0 && (n.life != w.life || n.end < upTo) {
		sc.pendingAcks[w.name] = ackPosition{life: w.life, end: upTo}
	}
}

// applyHeld applies the held runs and run ends of a job that has become known.
func (sc *Scheduler) applyHeld(now time.Time, wallMS int64, job string) {
	for w := range sc.workersWithUnknownJobs {
		u := w.unknownJobs
		w.unknownJobs = unknownJobReport{lastListedAt: u.lastListedAt}
		for i := range u.ends {
			if u.ends[i].Task.Job == job {
				sc.createListedOccurrence(now, wallMS, u.ends[i].Task)
				sc.endRun(now, wallMS, w, &u.ends[i])
			} else {
				w.unknownJobs.ends = append(w.unknownJobs.ends, u.ends[i])
			}
		}
		for i := range u.runs {
			if u.runs[i].Task.Job == job {
				sc.adoptRun(now, wallMS, w, &u.runs[i])
			} else {
				w.unknownJobs.runs = append(w.unknownJobs.runs, u.runs[i])
			}
		}
		sc.afterHeldChange(w)
	}
}

// afterHeldChange acknowledges what is possible after the held runs and ends of a worker have
// changed.
func (sc *Scheduler) afterHeldChange(w *workerState) {
	if w.unknownJobs.empty() {
		delete(sc.workersWithUnknownJobs, w)
	}
	sc.acknowledge(w)
}

// AllJobsKnown records that every job stored before a time is known, so that the runs and run ends of
// unknown jobs that workers had listed before that time belong to no job: the runs are ordered to
// stop, and the ends are acknowledged.
func (sc *Scheduler) AllJobsKnown(now, before time.Time) {
	for w := range sc.workersWithUnknownJobs {
		if !w.unknownJobs.lastListedAt.Before(before) {
			continue
		}
		runs := w.unknownJobs.runs
		w.unknownJobs = unknownJobReport{}
		for i := range runs {
			sc.adoptRun(now, 0, w, &runs[i])
		}
		sc.afterHeldChange(w)
	}
}
