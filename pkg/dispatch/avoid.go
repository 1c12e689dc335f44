package dispatch

import (
	"slices"
	"time"
)

const (
	// refusalMemory is how long a task avoids a worker after the worker first refused a run of it.
	refusalMemory = time.Second
	// maxAvoidedWorkers limits the number of workers that a task remembers to avoid.
	maxAvoidedWorkers = 8
)

// avoidedWorker is a worker that a task takes only if no other one has room.
type avoidedWorker struct {
	name string
	// until is when the worker is no longer avoided; the zero time if it is avoided for good.
	until time.Time
}

// avoid has a task avoid a worker for good; the worker becomes the one that it avoids most.
func (t *taskState) avoid(w *workerState) {
	t.avoided = slices.DeleteFunc(t.avoided, func(a avoidedWorker) bool { return a.name == w.name })
	if len(t.avoided) == maxAvoidedWorkers {
		t.avoided = slices.Delete(t.avoided, 0, 1)
	}
	t.avoided = append(t.avoided, avoidedWorker{name: w.name})
}

// avoidFor has a task avoid a worker for a time, or for good if the task has avoided it before.
func (t *taskState) avoidFor(now time.Time, w *workerState, d time.Duration) {
	known := slices.ContainsFunc(t.avoided, func(a avoidedWorker) bool { return a.name == w.name })
	t.avoid(w)
	if !known {
		t.avoided[len(t.avoided)-1].until = now.Add(d)
	}
}

// penalty returns the part of a worker's score that differs between the tasks of a step. Of the workers that
// a task avoids, the one that it has avoided for longest is the next to be tried.
func (t *taskState) penalty(now time.Time, w *workerState) float64 {
	for i := range t.avoided {
		if a := &t.avoided[i]; a.name == w.name && (a.until.IsZero() || now.Before(a.until)) {
			return weightFailedWorker * float64(i+1)
		}
	}
	return 0
}
