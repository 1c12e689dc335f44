package worker

import (
	"math"
	"time"
)

// Limits of the health score.
const (
	// suspectAfter is the number of failures in a row, of as many distinct
	// jobs, after which a worker is taken for bad.
	suspectAfter = 3
	// healthWeight is the weight of the newest outcome in the score.
	healthWeight = 0.15
	// firstProbe is how long a bad worker is left alone before it is tested with one task.
	firstProbe = 5 * time.Second
	// longestProbe bounds the delay between two tests.
	longestProbe = 5 * time.Minute
	// badJobWorkers is the number of good workers on which a job must have
	// failed for its failures not to count against the next worker.
	badJobWorkers = 2
)

// Health is what a worker's outcomes say about it. The zero value is healthy.
type Health struct {
	// failing is the weighted part of runs that failed.
	failing float64
	// jobs are the distinct jobs of the present row of failures.
	jobs [suspectAfter]string
	row  int
	// tests counts failed tests since the worker became suspect.
	tests   int
	probeAt time.Time
}

// Failing returns the weighted part of the latest runs that failed, from 0 to 1.
func (h *Health) Failing() float64 { return h.failing }

// Suspect reports whether the worker is taken for bad.
func (h *Health) Suspect() bool { return h.row >= suspectAfter }

// MayProbe reports whether a suspect worker should be tested with one task.
func (h *Health) MayProbe(now time.Time) bool { return !now.Before(h.probeAt) }

// Succeeded notes a run that ended well. It clears a suspicion.
func (h *Health) Succeeded() {
	h.failing *= 1 - healthWeight
	h.row = 0
	h.tests = 0
}

// Failed notes a run that failed for a reason that may be the worker's.
func (h *Health) Failed(now time.Time, job string) {
	h.failing += (1 - h.failing) * healthWeight
	if h.Suspect() {
		h.tests++
		h.probeAt = now.Add(backoff(firstProbe, h.tests, longestProbe))
		return
	}
	for _, known := range h.jobs[:h.row] {
		if known == job {
			return // one job that fails again says nothing new about the worker
		}
	}
	h.jobs[h.row] = job
	h.row++
	if h.Suspect() {
		h.probeAt = now.Add(firstProbe)
	}
}

// JobFailures tells a bad job from a bad worker. The zero value knows no failure.
type JobFailures struct {
	workers []string
}

// Failed notes that the job failed on worker, and reports whether the failure
// counts against the worker: it does not once the job has failed on several.
func (f *JobFailures) Failed(worker string) bool {
	blame := len(f.workers) < badJobWorkers
	if !f.On(worker) {
		f.workers = append(f.workers, worker)
	}
	return blame
}

// On reports whether the job has failed on worker.
func (f *JobFailures) On(worker string) bool {
	for _, w := range f.workers {
		if w == worker {
			return true
		}
	}
	return false
}

// Workers returns the workers on which the job has failed, first to last.
func (f *JobFailures) Workers() []string { return f.workers }

// Limits of the delay after a task's failure.
const (
	firstRetry   = time.Second
	longestRetry = 10 * time.Minute
)

// RetryDelay returns how long a task waits after its failures-th failure.
func RetryDelay(failures int) time.Duration { return backoff(firstRetry, failures-1, longestRetry) }

// backoff returns first doubled n times, at most limit.
func backoff(first time.Duration, n int, limit time.Duration) time.Duration {
	d := float64(first) * math.Pow(2, float64(max(n, 0)))
	return time.Duration(min(d, float64(limit)))
}
