package batch

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ErrNotResumed means that a task was not resumed on another worker within idleLimit
// after its worker was lost.
var ErrNotResumed = errors.New("task not resumed on another worker")

// TakeoverCost is what a takeover time costs: a long one keeps the tasks of a lost worker
// idle, a short one stops tasks early in an outage.
type TakeoverCost struct {
	// MaxIdle and MeanIdle are the longest and the mean time for which a task is idle
	// after its worker's VM and agent are lost for good.
	MaxIdle, MeanIdle time.Duration
	// MinOutageRun is the shortest time for which a task continued to run after the log
	// became unreachable.
	MinOutageRun time.Duration
}

// Durations of the measurement.
const (
	// idleWarmUp is the shortest time from the start of the simulation to the fault. The task
	// runs by then.
	idleWarmUp = 20 * time.Second
	// idleLimit is how long the measurement waits for the task to resume.
	idleLimit = 10 * time.Minute
	// idleResolution is how often the measurement checks whether the task has resumed.
	idleResolution = 100 * time.Millisecond
)

// MeasureTakeoverCost simulates, for each seed, one long task whose worker is lost, and one
// during an outage of the log.
func MeasureTakeoverCost(takeoverAfter time.Duration, seeds uint64) (TakeoverCost, error) {
	out := TakeoverCost{MinOutageRun: idleLimit}
	var sum time.Duration
	for seed := range seeds {
		idle, err := idleAfterWorkerLoss(seed, takeoverAfter)
		if err != nil {
			return out, err
		}
		out.MaxIdle = max(out.MaxIdle, idle)
		sum += idle
		out.MinOutageRun = min(out.MinOutageRun, runTimeInOutage(seed, takeoverAfter))
	}
	out.MeanIdle = sum / time.Duration(seeds)
	return out, nil
}

// newLongTaskWorld returns a world without faults in which one long task runs.
func newLongTaskWorld(seed uint64, takeoverAfter time.Duration) *world {
	w := newWorld(rand.New(rand.NewPCG(seed, 6)), Rules{})
	w.faultless = true
	spec := record.Spec{
		ID: "job", Team: "nursery", Class: "shaping", Tasks: 1, Size: worker.Resources{MilliCPU: 1000},
		ExpectedMS: idleLimit.Milliseconds(), MaxFailures: 1, TakeoverMS: takeoverAfter.Milliseconds(),
	}
	w.schedule(time.Second, func() { w.randomEntry().queue(&record.Submit{Spec: spec}) })
	w.runUntil(idleWarmUp + w.randomUpTo(time.Second))
	return w
}

// newestProgress updates the progress of all tasks and returns the newest span of time in
// which a task made progress.
func (w *world) newestProgress() progressSpan {
	var newest progressSpan
	for _, m := range w.workers {
		m.updateTasks()
	}
	for _, list := range w.history.progress {
		for _, s := range list {
			if s.to > newest.to {
				newest = s
			}
		}
	}
	return newest
}

// idleAfterWorkerLoss returns how long the task is idle after the loss of its worker.
func idleAfterWorkerLoss(seed uint64, takeoverAfter time.Duration) (time.Duration, error) {
	w := newLongTaskWorld(seed, takeoverAfter)
	ran := w.newestProgress()
	for i, m := range w.workers {
		if m.name == ran.machine {
			m.replaceVM()
			w.agents[i].process.generation++
		}
	}
	for lostAt := w.now; w.now < lostAt+idleLimit; {
		w.runUntil(w.now + idleResolution)
		if s := w.newestProgress(); s.machine != "" && s.machine != ran.machine {
			return s.from - lostAt, nil
		}
	}
	return 0, errors.Wrapf(ErrNotResumed, "seed %d", seed)
}

// runTimeInOutage returns how long the task continues to run during an outage of the log.
func runTimeInOutage(seed uint64, takeoverAfter time.Duration) time.Duration {
	w := newLongTaskWorld(seed, takeoverAfter)
	outageBegan := w.now
	w.log.downUntil = w.now + idleLimit
	w.runUntil(w.now + 2*takeoverAfter)
	return w.newestProgress().to - outageBegan
}
