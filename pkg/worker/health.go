package worker

import (
	"math"
	"slices"
	"time"
)

// Parameters of the health score.
const (
	// suspectAfterJobs is the number of distinct jobs that must fail on a
	// worker, with no success in between, before the worker becomes suspect.
	suspectAfterJobs = 3
	// newestOutcomeWeight is the weight of the newest outcome in the moving
	// average of failures.
	newestOutcomeWeight = 0.15
	// firstProbeDelay is how long a worker that has just become suspect gets no
	// tasks before it is probed with one task.
	firstProbeDelay = 5 * time.Second
	// maxProbeDelay limits the delay between two probes.
	maxProbeDelay = 5 * time.Minute
	// minWorkersForBadJob is the number of workers on which a job must have
	// failed before its further failures are blamed on the job and no longer on
	// the worker.
	minWorkersForBadJob = 2
)

// Health is a worker's record of task outcomes. The zero value is healthy.
type Health struct {
	// failureRate is an exponentially weighted moving average: 1 if all runs
	// failed, 0 if none did.
	failureRate float64
	// failedJobs[:failedJobCount] are the distinct jobs that have failed since
	// the last success.
	failedJobs     [suspectAfterJobs]string
	failedJobCount int
	// failedProbes counts failed probes since the worker became suspect.
	failedProbes int
	// probeAt is the earliest time of a suspect worker's next probe.
	probeAt time.Time
	// lastFailure is when a run last failed on the worker.
	lastFailure time.Time
}

// FailureRate returns the failure rate of the latest runs, from 0 to 1, as an
// exponentially weighted moving average.
func (h *Health) FailureRate() float64 { return h.failureRate }

// Suspect reports whether suspectAfterJobs distinct jobs have failed on the worker
// with no success in between. Such a worker gets no tasks other than probes.
func (h *Health) Suspect() bool { return h.failedJobCount >= suspectAfterJobs }

// FailedJobs returns the distinct jobs that have failed on the worker since its last success, at most as
// many as make it suspect.
func (h *Health) FailedJobs() []string { return slices.Clone(h.failedJobs[:h.failedJobCount]) }

// ProbeAt returns the earliest time of a suspect worker's next probe.
func (h *Health) ProbeAt() time.Time { return h.probeAt }

// LastFailure returns when a run last failed on the worker, or the zero time.
func (h *Health) LastFailure() time.Time { return h.lastFailure }

// MayProbe reports whether a suspect worker is due to be probed with one task.
func (h *Health) MayProbe(now time.Time) bool { return !now.Before(h.probeAt) }

// RecordSuccess records a successful run. A suspect worker becomes healthy again.
func (h *Health) RecordSuccess() {
	h.failureRate *= 1 - newestOutcomeWeight
	h.failedJobCount = 0
	h.failedProbes = 0
}

// RecordFailure records a failed run whose cause may be the worker. The failure of a run on a suspect
// worker that is not due to be probed is none of a probe and does not delay the next one.
func (h *Health) RecordFailure(now time.Time, job string) {
	h.failureRate += (1 - h.failureRate) * newestOutcomeWeight
	h.lastFailure = now
	if h.Suspect() {
		if h.MayProbe(now) {
			h.failedProbes++
			h.probeAt = now.Add(backoff(firstProbeDelay, h.failedProbes, maxProbeDelay))
		}
		return
	}
	for _, known := range h.failedJobs[:h.failedJobCount] {
		if known == job {
			return // repeated failures of one job count once
		}
	}
	h.failedJobs[h.failedJobCount] = job
	h.failedJobCount++
	if h.Suspect() {
		h.probeAt = now.Add(firstProbeDelay)
	}
}

// JobFailures records on which workers a job has failed, to tell a faulty job
// from a faulty worker. The zero value has no failures.
type JobFailures struct {
	workers []string
}

// RecordFailure records that the job failed on worker, and reports whether the failure
// counts against the worker. The failure does not count once the job has already
// failed on minWorkersForBadJob workers.
func (f *JobFailures) RecordFailure(worker string) bool {
	blameWorker := len(f.workers) < minWorkersForBadJob
	if !f.FailedOn(worker) {
		f.workers = append(f.workers, worker)
	}
	return blameWorker
}

// FailedOn reports whether the job has failed on worker.
func (f *JobFailures) FailedOn(worker string) bool {
	for _, w := range f.workers {
		if w == worker {
			return true
		}
	}
	return false
}

// Workers returns the workers on which the job has failed, in order of the
// first failure.
func (f *JobFailures) Workers() []string { return f.workers }

// Limits of the delay before a failed task is retried.
const (
	firstRetryDelay = time.Second
	maxRetryDelay   = 10 * time.Minute
)

// RetryDelay returns how long a task that has failed the given number of times
// waits before its next attempt: 1 s after the first failure, doubled with each
// further one, at most 10 min.
func RetryDelay(failures int) time.Duration {
	return backoff(firstRetryDelay, failures-1, maxRetryDelay)
}

// backoff returns first, doubled the given number of times, at most limit.
func backoff(first time.Duration, doublings int, limit time.Duration) time.Duration {
	d := float64(first) * math.Pow(2, float64(max(doublings, 0)))
	return time.Duration(min(d, float64(limit)))
}
