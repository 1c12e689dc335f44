package dispatch

import (
	"slices"
	"time"
)

const (
	// refusalMemory is how long a task avoids a worker after the worker refused a run of it.
	refusalMemory = time.Second
	// maxAvoidedWorkers limits the number of workers that a task remembers to avoid.
	maxAvoidedWorkers = 8
)

// avoidedWorker is a worker that a task takes only if no other one has room.
type avoidedWorker struct {
	name string
	// until is when the worker is no longer avoided.
	until time.Time
}

// avoid has a task avoid a worker for a time; the worker becomes the one that it avoids most.
func (t *taskState) avoid(w *workerState, until time.Time) {
	t.avoided = slices.DeleteFunc(t.avoided, func(a avoidedWorker) bool { return a.name == w.name })
	if len(t.avoided) == maxAvoidedWorkers {
		t.avoided = slices.Delete(t.avoided, 0, 1)
	}
	t.avoided = append(t.avoided, avoidedWorker{name: w.name, until: until})
}

// penalty returns the part of a worker's score that differs between the tasks of a step. Of the workers that
// a task avoids, the one that it has avoided for longest is the next to be tried.
func (t *taskState) penalty(now time.Time, w *workerState) float64 {
	penalty := 0.0
	if t.failedWorker == w.name {
		penalty = weightFailedWorker
	}
	for i := range t.avoided {
		if a := &t.avoided[i]; a.name == w.name && now.Before(a.until) {
			penalty += weightFailedWorker * float64(i+1)
		}
	}
	return penalty
}
