package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// unmatchedRetention is how long the cancellation of a job without a submission is kept after it was read. It exceeds the
	// time in which the submission may still be stored, which is maxSubmitTime and lateAppendTime together.
	unmatchedRetention = 90 * time.Second
	// maxUnmatchedCancellations bounds the cancellations of jobs without a submission in the store, up to those that other
	// entries are storing.
	maxUnmatchedCancellations = 10_000
)

// errTooManyUnmatched refuses the cancellation of an unknown job.
var errTooManyUnmatched = errors.New("too many cancellations of unknown jobs are kept")

// unmatchedCancellations bounds the cancellations of jobs without a submission in number and age. The zero value holds none.
type unmatchedCancellations struct {
	stored workflow.UnmatchedCancellations
	// storing holds the cancellations that this entry is storing, or has stored in the last lateAppendTime.
	storing outstandingAppends
}

// begin reports whether this entry may store the cancellation of an unknown job. If so, the caller has to call end.
func (u *unmatchedCancellations) begin(now time.Time, jobs *workflow.JobTable, id string) bool {
	u.storing.expire(now)
	if !jobs.HasUnmatchedCancellation(id) && jobs.CountUnmatched()+len(u.storing.calls) >= maxUnmatchedCancellations {
		return false
	}
	u.storing.begin(id)
	return true
}

// end records that a call has stored the cancellation of an unknown job, unless the store has refused it.
func (u *unmatchedCancellations) end(now time.Time, id string, refused bool) {
	u.storing.end(now, id, !refused)
}

// cancelUnknown stores the cancellation of a job that this entry does not know. Its submission may still be stored: by a call
// under way, or by one that the store carries out late. unknown is the reason why the job is not known; ErrJobNotFound is
// returned again.
func (c *Coordinator) cancelUnknown(ctx context.Context, id string, unknown error) error {
	c.mu.Lock()
	ok := c.unmatched.begin(clock.Steady(), &c.jobs, id)
	c.mu.Unlock()
	if !ok {
		c.count("cancellations-refused", 1)
		return errors.Mark(errTooManyUnmatched, ErrRefused)
	}
	err := c.storeCancellation(ctx, id)
	c.mu.Lock()
	c.unmatched.end(clock.Steady(), id, errors.Is(err, ErrRefused))
	c.mu.Unlock()
	switch {
	case err != nil:
		return err
	case errors.Is(unknown, ErrJobNotFound):
		c.count("unknown-jobs-cancelled", 1)
		return unknown
	}
	return nil
}

// observeUnmatched records which cancellations without a submission this entry has read.
func (c *Coordinator) observeUnmatched(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unmatched.stored.Observe(now, &c.jobs)
	c.gauge("unmatched-cancellations", int64(c.jobs.CountUnmatched()))
}
