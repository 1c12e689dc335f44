package entry

import (
	"fmt"
	"time"

	"savoryhoist.example/savoryhoist/internal/platform"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// readWait is how long a read of the log waits for a record.
const readWait = 500 * time.Millisecond

func (e *Entry) tails() []*platform.Tail {
	deliver := map[string]func([]record.Record, uint64, time.Time){
		JobsStream(e.settings.DataCentre): e.deliverJobs,
		StreamBundles:                     e.deliverBundles,
		StreamMembers:                     e.deliverMembers,
	}
	var out []*platform.Tail
	for stream, fn := range deliver {
		out = append(out, &platform.Tail{
			Log: e.logPort, Stream: stream, Wait: readWait, Deliver: fn,
			Skipped: func(offset uint64, count int, err error) {
				e.log.Warn().Err(err).Str("stream", stream).Uint64("offset", offset).Int("records", count).Msg("skipped unreadable records")
			},
			Expired: func(page record.Page) uint64 {
				e.log.Error().Str("stream", stream).Uint64("first", page.First).Msg("records were lost to retention")
				return page.First
			},
		})
	}
	return out
}

func (e *Entry) deliverJobs(records []record.Record, next uint64, began time.Time) {
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	e.jobs.delivered = time.Now()
	for _, r := range records {
		if err := e.jobs.fold.Apply(r); err != nil {
			e.log.Debug().Err(err).Uint64("position", uint64(r.Position())).Str("writer", r.Writer()).Msg("void record")
		}
	}
	e.jobs.fold.Advance(next)
	if !began.IsZero() {
		e.jobs.began = began
		e.jobs.relay.Read(began)
	}
	if len(records) > 0 {
		e.jobs.notify()
	}
}

func (e *Entry) deliverBundles(records []record.Record, _ uint64, _ time.Time) {
	for _, r := range records {
		if m, ok := r.Message().(*record.Bundle); ok {
			e.offerBundle(m.Signed)
		}
	}
}

func (e *Entry) offerBundle(data []byte) {
	signed, err := bundle.DecodeSigned(data)
	e.bundleMu.Lock()
	if err == nil {
		err = e.chain.Offer(signed)
	}
	version, digest := e.chain.Version(), e.chain.Digest()
	e.bundleMu.Unlock()
	if err != nil {
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Uint64("version-in-force", version).Msg("")
		return
	}
	e.log.Info().Str("decision", "accept-bundle").Uint64("version", version).Str("digest", digest).Msg("")
}

func incarnationName(name string, now time.Time) string {
	return fmt.Sprintf("%s@%d", name, now.UnixNano())
}
