package job

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// requeueAfter is the least time between queuing a record about an assignment
// and queuing another one of the same kind about the same assignment.
const requeueAfter = 2 * time.Second

// forgetQueuedAfter is how long a queued record is remembered.
const forgetQueuedAfter = 10 * requeueAfter

type queuedKey struct {
	assignment record.AssignmentID
	kind       record.Kind
}

// queuedTimes holds when a record was queued for the first and the last time.
type queuedTimes struct {
	first, last time.Time
}

// requeueLimiter remembers recently queued records, so that a record is not
// queued again while it is still being appended to the log and read back.
type requeueLimiter struct {
	queued   map[queuedKey]queuedTimes
	prunedAt time.Time
}

// allow reports whether a record of this kind about the assignment may be queued
// now. If so, it counts the record as queued.
func (c *requeueLimiter) allow(now time.Time, assignment record.AssignmentID, kind record.Kind) bool {
	if c.queued == nil {
		c.queued = make(map[queuedKey]queuedTimes)
	}
	c.prune(now)
	k := queuedKey{assignment: assignment, kind: kind}
	old, ok := c.queued[k]
	if !ok {
		c.queued[k] = queuedTimes{first: now, last: now}
		return true
	}
	if now.Sub(old.last) < requeueAfter {
		return false
	}
	c.queued[k] = queuedTimes{first: old.first, last: now}
	return true
}

// firstQueued returns when a record of this kind about the assignment was first
// queued, or the zero time if none was.
func (c *requeueLimiter) firstQueued(assignment record.AssignmentID, kind record.Kind) time.Time {
	return c.queued[queuedKey{assignment: assignment, kind: kind}].first
}

// prune drops records that were last queued longer than forgetQueuedAfter ago.
func (c *requeueLimiter) prune(now time.Time) {
	if now.Sub(c.prunedAt) < forgetQueuedAfter {
		return
	}
	c.prunedAt = now
	for k, old := range c.queued {
		if now.Sub(old.last) >= forgetQueuedAfter {
			delete(c.queued, k)
		}
	}
}
