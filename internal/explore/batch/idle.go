package batch

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ErrNotResumed means that a task did not go on after its worker had died.
var ErrNotResumed = errors.New("the task did not go on")

// Idle is what a takeover time costs.
type Idle struct {
	// Longest and Mean are how long a task is idle after its worker's VM and
	// agent have died for good.
	Longest, Mean time.Duration
	// Outage is the shortest time for which a task ran on after the log, or
	// its worker's entries, could be reached no more.
	Outage time.Duration
}

// Times of the measurement.
const (
	idleWarmUp = 20 * time.Second
	idleLimit  = 10 * time.Minute
	idleStep   = 100 * time.Millisecond
)

// MeasureIdle drives one long task for each seed.
func MeasureIdle(takeoverAfter time.Duration, seeds uint64) (Idle, error) {
	out := Idle{Outage: idleLimit}
	var sum time.Duration
	for seed := range seeds {
		idle, err := idleAfterDeath(seed, takeoverAfter)
		if err != nil {
			return out, err
		}
		out.Longest = max(out.Longest, idle)
		sum += idle
		out.Outage = min(out.Outage, ranThroughOutage(seed, takeoverAfter))
	}
	out.Mean = sum / time.Duration(seeds)
	return out, nil
}

// longTask returns a world without faults in which one long task runs.
func longTask(seed uint64, takeoverAfter time.Duration) *world {
	w := newWorld(rand.New(rand.NewPCG(seed, 6)), Rules{})
	w.calm = true
	spec := record.Spec{
		ID: "job", Team: "nursery", Class: "shaping", Tasks: 1, Size: worker.Resources{MilliCPU: 1000},
		ExpectedMS: idleLimit.Milliseconds(), MaxFailures: 1, TakeoverMS: takeoverAfter.Milliseconds(),
	}
	w.schedule(time.Second, func() { w.anyEntry().queue(&record.Submit{Spec: spec}) })
	w.runUntil(idleWarmUp + w.upTo(time.Second))
	return w
}

// last brings all tasks up to the present and returns the newest stretch.
func (w *world) last() stretch {
	var newest stretch
	for _, m := range w.workers {
		m.progress()
	}
	for _, list := range w.history.stretches {
		for _, s := range list {
			if s.to > newest.to {
				newest = s
			}
		}
	}
	return newest
}

func idleAfterDeath(seed uint64, takeoverAfter time.Duration) (time.Duration, error) {
	w := longTask(seed, takeoverAfter)
	ran := w.last()
	for i, m := range w.workers {
		if m.name == ran.machine {
			m.lose()
			w.agents[i].host.generation++
		}
	}
	for died := w.now; w.now < died+idleLimit; {
		w.runUntil(w.now + idleStep)
		if s := w.last(); s.machine != "" && s.machine != ran.machine {
			return s.from - died, nil
		}
	}
	return 0, errors.Wrapf(ErrNotResumed, "seed %d", seed)
}

func ranThroughOutage(seed uint64, takeoverAfter time.Duration) time.Duration {
	w := longTask(seed, takeoverAfter)
	began := w.now
	w.log.down = w.now + idleLimit
	w.runUntil(w.now + 2*takeoverAfter)
	return w.last().to - began
}
