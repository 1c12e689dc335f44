package services

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/delay"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Tail follows one stream from its oldest record.
type Tail struct {
	Log    record.Log
	Stream string
	// Start, if set, returns the offset to start at; without it that is the
	// stream's first. It is called until it succeeds.
	Start func(ctx context.Context) (uint64, error)
	// Wait is how long a read waits for a record to arrive.
	Wait time.Duration
	// Deliver is called after each read with its records, the offset of the
	// next batch to read, and when the read began. The time is zero if the
	// page did not reach the stream's end: such a read does not show that
	// nothing newer was in the log when it began.
	Deliver func(records []record.Record, next uint64, began time.Time)
	// Skipped is called for each unreadable batch or record.
	Skipped func(offset uint64, count int, err error)
	// Observed, if set, is called after each read with the first offset kept and
	// that of the next append.
	Observed func(first, next uint64)
	// Expired is called when the next offset is no longer kept. It returns
	// where to go on; offsets before the first kept are raised to it.
	Expired func(ctx context.Context, page record.Page) uint64
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	backoff := retryMin
	next := t.start(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		page, err := t.read(ctx, next)
		if errors.Is(err, record.ErrExpired) {
			next = max(t.Expired(ctx, page), page.FirstOffset)
			continue
		}
		if err != nil {
			delay.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(backoff*2, retryMax)
			continue
		}
		backoff = retryMin
		if t.Observed != nil {
			t.Observed(page.FirstOffset, page.NextOffset)
		}
		next = t.deliver(page, next, began)
	}
}

func (t *Tail) start(ctx context.Context) uint64 {
	backoff := retryMin
	for t.Start != nil && ctx.Err() == nil {
		next, err := t.Start(ctx)
		if err == nil {
			return next
		}
		delay.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, retryMax)
	}
	return 0
}

// deliver hands a page on and returns the next offset to read.
func (t *Tail) deliver(page record.Page, next uint64, began time.Time) uint64 {
	records := t.decode(page.Batches)
	if n := len(page.Batches); n > 0 {
		next = page.Batches[n-1].Offset + 1
	}
	if next != page.NextOffset {
		began = time.Time{}
	}
	t.Deliver(records, next, began)
	return next
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
