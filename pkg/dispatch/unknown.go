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
	ends []heldEnd
	// lastListedAt is when the newest of the runs and ends was listed.
	lastListedAt time.Time
}

// heldEnd is a held run end, of a life of the worker's runner. It is kept after that life, since what it says remains true.
type heldEnd struct {
	life uint64
	RunEnd
}

// forgetReported drops what a worker listed in the present life of its runner, before a report lists it anew.
func (sc *Scheduler) forgetReported(w *workerState) {
	u := &w.unknownJobs
	u.runs = nil
	u.ends = slices.DeleteFunc(u.ends, func(e heldEnd) bool { return e.life == w.life })
	if u.empty() {
		delete(sc.workersWithUnknownJobs, w)
	}
}

func (u *unknownJobReport) empty() bool { return len(u.runs)+len(u.ends) == 0 }

// firstEndNumber returns the lowest number of the held ends of a life, which must not be acknowledged, or the
// largest uint64 if no end of it is held.
func (u *unknownJobReport) firstEndNumber(life uint64) uint64 {
	first := uint64(math.MaxUint64)
	for i := range u.ends {
		if u.ends[i].life == life {
			first = min(first, u.ends[i].Number)
		}
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
func (sc *Scheduler) holdEnd(now time.Time, w *workerState, life uint64, e *RunEnd) {
	w.unknownJobs.dropRun(e.Task, e.Run)
	for i := range w.unknownJobs.ends {
		if held := &w.unknownJobs.ends[i]; held.life == life && held.Number == e.Number {
			return
		}
	}
	w.unknownJobs.ends = append(w.unknownJobs.ends, heldEnd{life, *e})
	w.unknownJobs.lastListedAt = now
	sc.workersWithUnknownJobs[w] = struct{}{}
}

// acknowledge lets a worker forget its run ends up to the last one processed in each life of its runner, but none from
// the first end of an unknown job's run on.
func (sc *Scheduler) acknowledge(w *workerState) {
	if w.life != 0 {
		sc.acknowledgeLife(w, w.life, w.lastEndNumber)
	}
	for life, last := range w.endedLives {
		if sc.acknowledgeLife(w, life, last) {
			delete(w.endedLives, life)
		}
	}
}

// acknowledgeLife is acknowledge for one life, in which last is the last end processed. It reports whether no end is left
// to be acknowledged later.
func (sc *Scheduler) acknowledgeLife(w *workerState, life, last uint64) bool {
	first := w.unknownJobs.firstEndNumber(life)
	upTo := min(last, first-1)
	if key := (ackedLife{w.name, life}); upTo > sc.pendingAcks[key] {
		sc.pendingAcks[key] = upTo
	}
	return last < first
}

// applyHeld applies the held runs and run ends of a job that has become known.
func (sc *Scheduler) applyHeld(now time.Time, wallMS int64, job string) {
	for w := range sc.workersWithUnknownJobs {
		u := w.unknownJobs
		w.unknownJobs = unknownJobReport{lastListedAt: u.lastListedAt}
		for i := range u.ends {
			if u.ends[i].Task.Job == job {
				sc.createListedOccurrence(now, wallMS, u.ends[i].Task)
				sc.endRun(now, wallMS, w, &u.ends[i].RunEnd)
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
