package dispatch

import "time"

// maxWaits bounds the waits that are kept for TakeWaits.
const maxWaits = 1024

// Wait is how long a job waited for its first start.
type Wait struct {
	// Expected is what was estimated when the job was admitted, and Actual what came to be.
	Expected, Actual time.Duration
}

// noteWait records the wait of a job of which the first task starts.
func (sc *Scheduler) noteWait(now time.Time, j *jobState) {
	if j.started || j.fromEarlierTerm || j.submission.Spec.RepeatCount > 0 || j.submission.Spec.LongRunning() || len(sc.waits) >= maxWaits {
		return
	}
	sc.waits = append(sc.waits, Wait{Expected: j.expectedWait, Actual: now.Sub(j.acceptedAt)})
}

// TakeWaits returns the waits of the jobs that have started since the last call.
func (sc *Scheduler) TakeWaits() []Wait {
	out := sc.waits
	sc.waits = nil
	return out
}

// notePastUse counts an occurrence that has ended if it was past its use.
func (sc *Scheduler) notePastUse(now time.Time, o *occurrence) {
	q, ok := sc.queues[o.job.submission.Queue]
	if ok && now.Sub(o.startedAt) > usefulObjectives*sc.deadline(o, q).Sub(o.startedAt) {
		sc.pastUse++
	}
}

// TakePastUse returns the number of occurrences that have ended past their use since the last call.
func (sc *Scheduler) TakePastUse() int {
	n := sc.pastUse
	sc.pastUse = 0
	return n
}
