package entry

import (
	"context"
	"fmt"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxReadWait is how long a read of the log waits for a record.
const maxReadWait = 500 * time.Millisecond

// streamReaders returns the readers of the streams that an entry follows.
func (e *Entry) streamReaders() []*services.Tail {
	jobs := e.newStreamReader(JobsStream(e.settings.DataCentre), e.applyJobs)
	jobs.OnBounds = e.carriedForward.observer(&e.carriedForward.jobs)
	jobs.StartOffset = e.jobsStartOffset
	jobs.OnExpired = e.recoverJobs
	bundles := e.newStreamReader(StreamBundles, e.applyBundles)
	bundles.OnExpired = e.bundlesExpired
	bundles.OnBounds = e.carriedForward.observer(&e.carriedForward.bundle)
	members := e.newStreamReader(StreamMembers, e.applyMembers)
	return []*services.Tail{jobs, bundles, members}
}

// newStreamReader returns a reader of a stream that passes the records read to apply; see
// services.Tail.Deliver.
func (e *Entry) newStreamReader(stream string, apply func([]record.Record, uint64, time.Time)) *services.Tail {
	skipped := gometrics.GetOrRegisterCounter("records-skipped", e.registry)
	return &services.Tail{
		Log: e.logService, Stream: stream, MaxWait: maxReadWait, Deliver: apply,
		OnSkipped: func(offset uint64, count int, err error) {
			skipped.Inc(int64(max(1, count)))
			e.log.Warn().Err(err).Str("stream", stream).Uint64("offset", offset).Int("records", count).Msg("skipped unreadable records")
		},
		OnExpired: func(_ context.Context, page record.Page) uint64 {
			// Dropped records that still matter were appended to the stream again before.
			e.log.Info().Str("stream", stream).Uint64("first", page.FirstOffset).Msg("the log's retention dropped the next offset; reading on at the first offset kept")
			return page.FirstOffset
		},
	}
}

// applyJobs applies records that were read from this data centre's jobs stream; next is the offset
// of the next batch to read. began is when the read began, or zero if the read did not reach the
// end of the stream.
func (e *Entry) applyJobs(records []record.Record, next uint64, began time.Time) {
	now := time.Now()
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	e.jobs.appliedAt = time.Now()
	for _, r := range records {
		if err := e.jobs.state.Apply(r); err != nil {
			e.log.Debug().Err(err).Uint64("position", uint64(r.Position())).Str("writer", r.Writer()).Msg("record without effect")
		}
		if s, ok := r.Message().(*record.Snapshot); ok && s.Part == s.Parts-1 {
			e.carriedForward.noteSnapshot(now, writtenAt(s.WrittenMS), s.EndOffset)
		}
	}
	e.jobs.state.Advance(next)
	e.jobs.noteApplied()
	if !began.IsZero() {
		e.jobs.lastReadBegan = began
		e.jobs.responder.NoteRead(began)
	}
	if len(records) > 0 {
		e.jobs.notify()
	}
}

// incarnationName returns a name that no other process or earlier run of this entry has.
func incarnationName(name string, now time.Time) string {
	return fmt.Sprintf("%s@%d", name, now.UnixNano())
}
