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
	jobs := e.newStreamReader(JobsStream(e.settings.DataCentre), e.deliverJobs)
	jobs.OnBounds = e.carriedForward.observer(&e.carriedForward.jobs)
	jobs.StartOffset = e.jobsStartOffset
	jobs.OnExpired = e.recoverJobs
	bundles := e.newStreamReader(StreamBundles, e.deliverBundles)
	bundles.OnExpired = e.bundlesExpired
	bundles.OnBounds = e.carriedForward.observer(&e.carriedForward.bundle)
	members := e.newStreamReader(StreamMembers, e.deliverMembers)
	return []*services.Tail{jobs, bundles, members}
}

func (e *Entry) newStreamReader(stream string, deliver func([]record.Record, uint64, time.Time)) *services.Tail {
	skipped := gometrics.GetOrRegisterCounter("records-skipped", e.registry)
	return &services.Tail{
		Log: e.logService, Stream: stream, MaxWait: maxReadWait, Deliver: deliver,
		OnSkipped: func(offset uint64, count int, err error) {
			skipped.Inc(int64(max(1, count)))
			e.log.Warn().Err(err).Str("stream", stream).Uint64("offset", offset).Int("records", count).Msg("skipped unreadable records")
		},
		OnExpired: func(_ context.Context, page record.Page) uint64 {
			// Records that still matter have been carried forward in this stream.
			e.log.Info().Str("stream", stream).Uint64("first", page.FirstOffset).Msg("the log's retention dropped the next offset; reading on at the first offset kept")
			return page.FirstOffset
		},
	}
}

func (e *Entry) deliverJobs(records []record.Record, next uint64, began time.Time) {
	now := time.Now()
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	e.jobs.deliveredAt = time.Now()
	for _, r := range records {
		if err := e.jobs.state.Apply(r); err != nil {
			e.log.Debug().Err(err).Uint64("position", uint64(r.Position())).Str("writer", r.Writer()).Msg("record without effect")
		}
		if s, ok := r.Message().(*record.Snapshot); ok && s.Part == s.Parts-1 {
			e.carriedForward.noteSnapshot(now, writtenAt(s.WrittenMS), s.EndOffset)
		}
	}
	e.jobs.state.Advance(next)
	if !began.IsZero() {
		e.jobs.lastReadBegan = began
		e.jobs.responder.NoteRead(began)
	}
	if len(records) > 0 {
		e.jobs.notify()
	}
}

func incarnationName(name string, now time.Time) string {
	return fmt.Sprintf("%s@%d", name, now.UnixNano())
}
