package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/internal/services"
)

// maxReadToEnd bounds the wait until the jobs stream has been read to its end for a query.
const maxReadToEnd = 1500 * time.Millisecond

// endOfJobs is where the jobs stream of this data centre was last seen to end.
type endOfJobs struct {
	// turn holds a token while the end is being read, so that queries that wait together share one read. It guards the
	// fields below.
	turn chan struct{}
	// began is when the read began.
	began  time.Time
	offset uint64
}

// since returns an offset at which the stream ended at or after the time asked.
func (j *endOfJobs) since(ctx context.Context, asked time.Time, read func(context.Context) (uint64, error)) (uint64, error) {
	select {
	case j.turn <- struct{}{}:
		defer func() { <-j.turn }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if j.began.After(asked) {
		return j.offset, nil
	}
	began := time.Now()
	offset, err := read(ctx)
	if err != nil {
		return 0, err
	}
	j.began, j.offset = began, offset
	return offset, nil
}

// readToEnd returns once this entry has applied all records of its jobs stream that were stored at the time asked. Only
// then does a job that the state lacks not exist: another entry may have accepted it a moment ago.
func (e *Entry) readToEnd(ctx context.Context, asked time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, maxReadToEnd)
	defer cancel()
	stream := JobsStream(e.settings.DataCentre)
	end, err := e.endOfJobs.since(ctx, asked, func(ctx context.Context) (uint64, error) {
		_, next, err := services.StreamBounds(ctx, e.logService, stream)
		return next, err
	})
	if err != nil {
		return errors.Wrapf(err, "read the end of stream %s", stream)
	}
	for {
		e.jobs.mu.Lock()
		reached, applied := e.jobs.state.NextOffset(), e.jobs.nextApplied()
		e.jobs.mu.Unlock()
		if reached >= end {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "read stream %s from offset %d to %d", stream, reached, end)
		}
	}
}

// notUpToDate returns the response to a query that needs the end of the jobs stream, which could not be read because of
// err.
func (e *Entry) notUpToDate(err error) *problem.Problem {
	e.log.Warn().Err(err).Msg("a query for jobs could not be answered")
	p := problem.New(http.StatusServiceUnavailable, "", "the entry is not up to date with the log")
	p.RetryAfter = maxReadToEnd
	return &p
}

// nextApplied returns a channel that is closed when further records of the jobs stream have been applied; mu is held.
func (j *batchState) nextApplied() <-chan struct{} {
	if j.applied == nil {
		j.applied = make(chan struct{})
	}
	return j.applied
}

// noteApplied wakes those that wait for nextApplied; mu is held.
func (j *batchState) noteApplied() {
	if j.applied != nil {
		close(j.applied)
		j.applied = nil
	}
}
