package coordinator

import (
	"context"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/store"
)

const (
	// intakeWriters is the number of concurrent appends of callers' records, so that
	// one whose answer is lost does not delay the others.
	intakeWriters = 3
	// intakeQueue bounds the number of records that wait for a writer.
	intakeQueue = 1024
	// intakeBatch bounds the number of records in one append; the record of a job takes up to 20 KB.
	intakeBatch = 64
)

// intakeItem is a record that waits to be stored; done receives the result.
type intakeItem struct {
	record store.Record
	done   chan error
}

// storeIntake stores a record, in one append with others that wait, and returns
// when the result is known. After an error that is not store.ErrRefused the record
// may have been stored.
func (c *Coordinator) storeIntake(ctx context.Context, r store.Record) error {
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
		return errors.Mark(ctx.Err(), store.ErrOutcomeUnknown)
	}
}

// writeIntake stores callers' records, up to intakeBatch waiting ones in each append.
func (c *Coordinator) writeIntake(ctx context.Context) {
	for {
		var items []*intakeItem
		select {
		case item := <-c.intake:
			items = append(items, item)
		case <-ctx.Done():
			return
		}
		items = append(items, c.waitingIntake()...)
		records := make([]store.Record, len(items))
		for i, item := range items {
			records[i] = item.record
		}
		_, err := callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
			return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicIntake, Records: records})
		})
		for _, item := range items {
			item.done <- err
		}
	}
}

// waitingIntake returns the records that wait at present, as many as fit in an append
// after the first one.
func (c *Coordinator) waitingIntake() []*intakeItem {
	var items []*intakeItem
	for len(items) < intakeBatch-1 {
		select {
		case item := <-c.intake:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}
