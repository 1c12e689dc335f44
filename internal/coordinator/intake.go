package coordinator

import (
	"context"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/store"
)

const (
	// intakeWriters is how many appends of callers' records run at a time: one
	// whose answer is lost does not hold up the others.
	intakeWriters = 3
	// intakeQueue bounds the records that wait for a writer.
	intakeQueue = 1024
	// intakeBatch bounds the records of one append; a job takes up to 20 KB.
	intakeBatch = 64
)

// intakeItem is a record that waits to be stored.
type intakeItem struct {
	record store.Record
	done   chan error
}

// enqueue stores a record together with others that wait. An error that is not
// store.ErrRefused means that the record may be stored.
func (c *Coordinator) enqueue(ctx context.Context, r store.Record) error {
	item := &intakeItem{record: r, done: make(chan error, 1)}
	select {
	case c.intake <- item:
	default:
		return errors.Mark(errors.New("too many records wait to be stored"), store.ErrRefused)
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnknown)
	}
}

// writeIntake stores callers' records, as many at a time as wait.
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
		_, err := call(ctx, c, 0, func(ctx context.Context) (uint64, error) {
			return c.store.Append(ctx, store.Append{Topic: store.TopicIntake, Records: records})
		})
		for _, item := range items {
			item.done <- err
		}
	}
}

// waitingIntake takes what waits besides the first record.
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
