package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Tail follows one stream from its oldest record.
type Tail struct {
	Log    record.Log
	Stream string
	// Wait is how long a read waits for a record to arrive.
	Wait time.Duration
	// Deliver is called after each read with its records, the offset of the
	// next append, and when the read began.
	Deliver func(records []record.Record, next uint64, began time.Time)
	// Skipped is called for each unreadable batch or record.
	Skipped func(offset uint64, count int, err error)
	// Expired is called when records were lost to retention.
	Expired func(page record.Page)
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	var next uint64
	delay := retryMin
	for ctx.Err() == nil {
		began := time.Now()
		page, err := t.read(ctx, next)
		if errors.Is(err, record.ErrExpired) {
			t.Expired(page)
			next = page.First
			continue
		}
		if err != nil {
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(delay*2, retryMax)
			continue
		}
		delay = retryMin
		records := t.decode(page.Batches)
		next += uint64(len(page.Batches))
		t.Deliver(records, next, began)
	}
}

func (t *Tail) read(ctx context.Context, from uint64) (record.Page, error) {
	call, cancel := context.WithTimeout(ctx, t.Wait+appendTimeout)
	defer cancel()
	return t.Log.Read(call, t.Stream, from, t.Wait)
}

func (t *Tail) decode(batches []record.RawBatch) []record.Record {
	var out []record.Record
	for _, b := range batches {
		records, skipped, err := record.Decode(b.Offset, b.Data)
		if err != nil || skipped > 0 {
			t.Skipped(b.Offset, skipped, err)
		}
		out = append(out, records...)
	}
	return out
}
