package coordinator

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// maxBacklogAge is the age from which an entry no longer refuses jobs by what the dispatcher told it: it gets the
	// backlogs with each ping, every 0.3 s.
	maxBacklogAge = 2 * time.Second
	// maxRetryBase bounds the wait that Retry-After is derived from, so that it is at most 30 s with jitter.
	maxRetryBase = 22 * time.Second
	// The jitter of Retry-After is a factor from minRetryFactor to minRetryFactor+retryFactorRange, and up to retrySpread more.
	minRetryFactor   = 0.75
	retryFactorRange = 0.5
	retrySpread      = 2 * time.Second
	// lateAppendTime is how long an append without an answer may still take effect.
	lateAppendTime = 30 * time.Second
)

// NoRoomError is the refusal of a job that would be past its use when it ended. It is marked as ErrRefused.
type NoRoomError struct {
	// RetryAfter is the expected time until the job would be accepted, in whole seconds.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no room: the job would end too late to be of use; try again in %s", e.RetryAfter)
}

// admission decides whether an entry refuses a job. The zero value refuses none.
type admission struct {
	backlogs []dispatch.Backlog
	// term is the term of the dispatcher that counted the backlogs, and heardAt when this entry heard of them.
	term    uint64
	heardAt time.Time
}

// hear records the backlogs that the dispatcher of a term has counted.
func (a *admission) hear(now time.Time, term uint64, backlogs []dispatch.Backlog) {
	*a = admission{backlogs: backlogs, term: term, heardAt: now}
}

// decide returns the estimate for a job of a queue and, if the job is to be refused, an error.
func (a *admission) decide(now time.Time, id string, spec *workflow.Spec, q *dispatch.Queue) (dispatch.Estimate, *NoRoomError) {
	if len(a.backlogs) == 0 || now.Sub(a.heardAt) >= maxBacklogAge || spec.RepeatCount > 0 || spec.LongRunning() {
		return dispatch.Estimate{}, nil
	}
	e := dispatch.EstimateJob(a.backlogs, id, spec, q)
	if !e.PastUse() {
		return e, nil
	}
	return e, &NoRoomError{RetryAfter: retryAfter(id, e.Excess())}
}

// retryAfter returns an expected wait with a jitter that is derived from a job's ID, in whole seconds from 1 to 30.
func retryAfter(id string, expected time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	const steps = 1000
	jitter := float64(h.Sum32()%steps) / steps
	base := min(max(0, expected), maxRetryBase).Seconds()
	d := time.Duration((base*(minRetryFactor+retryFactorRange*jitter) + retrySpread.Seconds()*jitter) * float64(time.Second))
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// outstandingAppends holds the jobs of which an append may be under way or take effect late. The zero value holds none.
type outstandingAppends struct {
	calls map[string]int
	// unknown holds the appends without an answer, the oldest first.
	unknown []unknownAppend
}

type unknownAppend struct {
	id    string
	until time.Time
}

// begin records that a call is about to send appends of a job.
func (o *outstandingAppends) begin(id string) {
	if o.calls == nil {
		o.calls = make(map[string]int)
	}
	o.calls[id]++
}

// end records that a call has ended. unknown is set if an append may still take effect.
func (o *outstandingAppends) end(now time.Time, id string, unknown bool) {
	if unknown {
		o.unknown = append(o.unknown, unknownAppend{id, now.Add(lateAppendTime)})
	} else {
		o.release(id)
	}
	o.expire(now)
}

// has reports whether an append of a job may be under way or take effect late.
func (o *outstandingAppends) has(now time.Time, id string) bool {
	o.expire(now)
	return o.calls[id] > 0
}

func (o *outstandingAppends) expire(now time.Time) {
	for len(o.unknown) > 0 && !now.Before(o.unknown[0].until) {
		o.release(o.unknown[0].id)
		o.unknown = o.unknown[1:]
	}
}

func (o *outstandingAppends) release(id string) {
	if o.calls[id]--; o.calls[id] <= 0 {
		delete(o.calls, id)
	}
}

// admit decides whether a job is refused. It returns stored if the job is stored already, and an error marked as ErrRefused if
// there is no room for it. If neither, the caller has to store the job and to call endAppends then.
func (c *Coordinator) admit(ctx context.Context, sub *workflow.Submission) (stored bool, err error) {
	refusal := c.refuses(sub)
	if refusal == nil {
		return false, nil
	}
	// Another entry may have stored the job, and this one not have read it. If that cannot be told, the job is not refused.
	_, err = c.Phase(ctx, sub.ID)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, ErrJobNotFound):
		c.count("jobs-refused-no-room", 1)
		return false, errors.Mark(refusal, ErrRefused)
	}
	c.log.Info().Err(err).Str("job", sub.ID).Msg("job not refused for want of room: it may be stored already")
	c.mu.Lock()
	c.outstanding.begin(sub.ID)
	c.mu.Unlock()
	return false, nil
}

// refuses returns an error if there is no room for a job, as far as this entry knows. Otherwise it records that appends of the
// job are about to be sent.
func (c *Coordinator) refuses(sub *workflow.Submission) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	q, ok := c.queue(sub.Queue)
	if !ok || c.outstanding.has(now, sub.ID) {
		c.outstanding.begin(sub.ID)
		return nil
	}
	a := c.admission
	if c.term != nil {
		a.hear(now, c.term.number, c.term.scheduler.Backlogs(now))
	}
	e, refusal := a.decide(now, sub.ID, &sub.Spec, q)
	if refusal == nil {
		c.outstanding.begin(sub.ID)
		return nil
	}
	c.log.Info().Str("job", sub.ID).Str("queue", sub.Queue).Int64("ahead-ms", e.AheadMS).Int64("milli-cpu", e.MilliCPU).Dur("wait", e.Wait).Dur("chain", e.Chain).
		Dur("objective", e.Objective).Dur("age", now.Sub(a.heardAt)).Uint64("term", a.term).Dur("retry-after", refusal.RetryAfter).Msg("no room for a job")
	return refusal
}

// endAppends records the result of storing a job.
func (c *Coordinator) endAppends(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding.end(clock.Steady(), id, err != nil && !errors.Is(err, ErrRefused))
}

// queue returns a queue of the configuration in force. The caller holds mu.
func (c *Coordinator) queue(name string) (*dispatch.Queue, bool) {
	if c.config == nil {
		return nil, false
	}
	for i := range c.config.Routes {
		if r := &c.config.Routes[i]; r.Name == name {
			return &r.Queue, true
		}
	}
	return nil, false
}
