package coordinator

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
)

const (
	// intakeWriters is the number of concurrent appends of callers' records, so that
	// an append whose answer is lost does not delay the others.
	intakeWriters = 3
	// intakeQueueLength bounds the number of records that wait for a writer.
	intakeQueueLength = 1024
	// maxIntakeBatch bounds the number of records in one append; the record of a job takes up to 20 KB.
	maxIntakeBatch = 64
)

// intakeItem is a record that waits to be stored. done receives the error of the append that
// contains it, or nil.
type intakeItem struct {
	record store.Record
	done   chan error
	// claimed is set once a writer has taken the item, or its submitter has withdrawn it.
	claimed atomic.Bool
}

// claim reports whether the caller, a writer or the submitter, is the first to claim the item. A record is sent only after
// a writer has claimed it, and never once it was withdrawn.
func (i *intakeItem) claim() bool { return i.claimed.CompareAndSwap(false, true) }

// storeIntake stores a record, in one append with others that wait, and returns
// when the result is known or ctx ends. After an error that is not store.ErrRefused the record
// may have been stored. A record that no writer has taken is withdrawn when lost is closed or ctx ends.
func (c *Coordinator) storeIntake(ctx context.Context, r store.Record, lost <-chan struct{}) error {
	item := &intakeItem{record: r, done: make(chan error, 1)}
	select {
	case c.intake <- item:
	default:
		return errors.Mark(errors.New("intake queue is full"), store.ErrRefused)
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
	case <-lost:
	}
	if item.claim() {
		c.count("intake-withdrawn", 1)
		return errors.Mark(errors.New("not sent to the store"), store.ErrRefused)
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrOutcomeUnknown)
	}
}

// writeIntake stores callers' records that wait, up to maxIntakeBatch in each append.
func (c *Coordinator) writeIntake(ctx context.Context) {
	for {
		var items []*intakeItem
		select {
		case item := <-c.intake:
			c.waitForStore(ctx)
			if item.claim() {
				items = append(items, item)
			}
		case <-ctx.Done():
			return
		}
		items = append(items, c.waitingIntake()...)
		records := make([]store.Record, len(items))
		for i, item := range items {
			records[i] = item.record
		}
		for _, part := range c.settings.RecordLimits.split(records) {
			err := c.appendIntake(ctx, part)
			for range part {
				items[0].done <- err
				items = items[1:]
			}
		}
	}
}

// appendIntake appends callers' records, unless the store is unavailable.
func (c *Coordinator) appendIntake(ctx context.Context, records []store.Record) error {
	c.mu.Lock()
	unavailable := c.health.unavailable(clock.Steady())
	c.mu.Unlock()
	if unavailable {
		return errStoreUnavailable
	}
	_, err := callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicIntake, Records: records})
	})
	return err
}

// waitingIntake takes the records that wait at present, at most maxIntakeBatch-1, since
// the append already has its first record.
func (c *Coordinator) waitingIntake() []*intakeItem {
	var items []*intakeItem
	for len(items) < maxIntakeBatch-1 {
		select {
		case item := <-c.intake:
			if item.claim() {
				items = append(items, item)
			}
		default:
			return items
		}
	}
	return items
}
