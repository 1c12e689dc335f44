package entry

import (
	"context"
	"fmt"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// readWait is how long a read of the log waits for a record.
const readWait = 500 * time.Millisecond

// tails returns the readers of the streams that an entry follows.
func (e *Entry) tails() []*services.Tail {
	jobs := e.tail(JobsStream(e.settings.DataCentre), e.deliverJobs)
	jobs.Observed = e.carried.observer(&e.carried.jobs)
	jobs.Start = e.startOfJobs
	jobs.Expired = e.recoverJobs
	bundles := e.tail(StreamBundles, e.deliverBundles)
	bundles.Expired = e.bundlesLost
	bundles.Observed = e.carried.observer(&e.carried.bundle)
	members := e.tail(StreamMembers, e.deliverMembers)
	return []*services.Tail{jobs, bundles, members}
}

func (e *Entry) tail(stream string, deliver func([]record.Record, uint64, time.Time)) *services.Tail {
	skipped := gometrics.GetOrRegisterCounter("records-skipped", e.registry)
	return &services.Tail{
		Log: e.logPort, Stream: stream, Wait: readWait, Deliver: deliver,
		Skipped: func(offset uint64, count int, err error) {
			skipped.Inc(int64(max(1, count)))
			e.log.Warn().Err(err).Str("stream", stream).Uint64("offset", offset).Int("records", count).Msg("skipped unreadable records")
		},
		Expired: func(_ context.Context, page record.Page) uint64 {
			// What still counts has been carried forward in this stream.
			e.log.Info().Str("stream", stream).Uint64("first", page.FirstOffset).Msg("reading on at the first offset kept")
			return page.FirstOffset
		},
	}
}

func (e *Entry) deliverJobs(records []record.Record, next uint64, began time.Time) {
	now := time.Now()
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	e.jobs.delivered = time.Now()
	for _, r := range records {
		if err := e.jobs.fold.Apply(r); err != nil {
			e.log.Debug().Err(err).Uint64("position", uint64(r.Position())).Str("writer", r.Writer()).Msg("void record")
		}
		if s, ok := r.Message().(*record.Snapshot); ok && s.Part == s.Parts-1 {
			e.carried.jobsCopied(now, writtenAt(s.WrittenMS), s.EndOffset)
		}
	}
	e.jobs.fold.Advance(next)
	if !began.IsZero() {
		e.jobs.began = began
		e.jobs.relay.NoteRead(began)
	}
	if len(records) > 0 {
		e.jobs.notify()
	}
}

func incarnationName(name string, now time.Time) string {
	return fmt.Sprintf("%s@%d", name, now.UnixNano())
}
