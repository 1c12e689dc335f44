package services

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/delay"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Tail reads one stream continuously, by default from its first retained offset.
type Tail struct {
	Log    record.Log
	Stream string
	// StartOffset, if set, returns the offset to start at. It is called until it
	// succeeds. If it is nil, reading starts at offset 0, so that OnExpired is
	// called if the log no longer retains the start of the stream.
	StartOffset func(ctx context.Context) (uint64, error)
	// MaxWait is how long a read at the end of the stream waits for a new record.
	MaxWait time.Duration
	// Deliver is called after each read with the records read, the offset of the
	// next batch to read, and the time at which the read began. The time is zero
	// if the read did not reach the end of the stream, because such a read does
	// not show that the log held nothing newer at that time.
	Deliver func(records []record.Record, next uint64, began time.Time)
	// OnSkipped is called for each batch that cannot be decoded in whole or in
	// part, with the batch's offset and the number of records skipped in it. err
	// is set if the whole batch cannot be decoded; count is then 0.
	OnSkipped func(offset uint64, count int, err error)
	// OnBounds, if set, is called after each read with the first retained offset
	// and the offset of the next append.
	OnBounds func(first, next uint64)
	// OnExpired is called when the log no longer retains the next offset to read.
	// It returns the offset to continue at; an offset before the first retained
	// one is raised to that one.
	OnExpired func(ctx context.Context, page record.Page) uint64
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	backoff := minRetryDelay
	next := t.startOffset(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		page, err := t.read(ctx, next)
		if errors.Is(err, record.ErrExpired) {
			next = max(t.OnExpired(ctx, page), page.FirstOffset)
			continue
		}
		if err != nil {
			delay.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(backoff*2, maxRetryDelay)
			continue
		}
		backoff = minRetryDelay
		if t.OnBounds != nil {
			t.OnBounds(page.FirstOffset, page.NextOffset)
		}
		next = t.deliver(page, next, began)
	}
}

// startOffset returns the offset to start at: that of StartOffset, which is retried until it
// succeeds, or 0 if StartOffset is nil or ctx ends.
func (t *Tail) startOffset(ctx context.Context) uint64 {
	backoff := minRetryDelay
	for t.StartOffset != nil && ctx.Err() == nil {
		next, err := t.StartOffset(ctx)
		if err == nil {
			return next
		}
		delay.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, maxRetryDelay)
	}
	return 0
}

// deliver passes the records of a page to Deliver and returns the next offset to read. next is the
// offset that the page was read from, began is when that read began.
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

// read reads the stream once, from an offset on.
func (t *Tail) read(ctx context.Context, offset uint64) (record.Page, error) {
	call, cancel := context.WithTimeout(ctx, t.MaxWait+logCallTimeout)
	defer cancel()
	return t.Log.Read(call, t.Stream, offset, t.MaxWait)
}

// decode returns the records of batches and reports undecodable ones to OnSkipped.
func (t *Tail) decode(batches []record.RawBatch) []record.Record {
	var out []record.Record
	for _, b := range batches {
		records, skipped, err := record.Decode(b.Offset, b.Data)
		if err != nil || skipped > 0 {
			t.OnSkipped(b.Offset, skipped, err)
		}
		out = append(out, records...)
	}
	return out
}
