package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// ErrBackpressure means that the writer's queue is full because the log is slow or down.
var ErrBackpressure = errors.New("the log is too slow to take more records")

// Writer limits.
const (
	// maxQueued is the most records that wait for an append.
	maxQueued = 16384
	// maxBatchRecords is the most records in one append.
	maxBatchRecords = 2048
	retryMin        = 50 * time.Millisecond
	retryMax        = 2 * time.Second
	appendTimeout   = 5 * time.Second
)

// Writer appends records to one stream. Records that arrive while an append is
// under way share the next one.
type Writer struct {
	log    record.Log
	stream string
	name   string
	linger time.Duration

	mu     sync.Mutex
	seq    uint64
	queue  []queued
	wakeup chan struct{}
	// appends counts successful appends.
	appends uint64
}

type queued struct {
	message record.Message
	done    chan error
}

// NewWriter returns a writer whose records carry name, which must be unique
// among all processes and restarts. Appends are at least linger apart.
func NewWriter(log record.Log, stream, name string, linger time.Duration) *Writer {
	return &Writer{log: log, stream: stream, name: name, linger: linger, wakeup: make(chan struct{}, 1)}
}

// Append queues messages and waits until all are in the log or ctx ends. If
// ctx ends first the records may still be appended.
func (w *Writer) Append(ctx context.Context, messages ...record.Message) error {
	done, err := w.enqueue(messages)
	if err != nil {
		return err
	}
	for range messages {
		select {
		case err := <-done:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "append"), record.ErrUnknown)
		}
	}
	return nil
}

// Enqueue queues messages without waiting for the log.
func (w *Writer) Enqueue(messages ...record.Message) error {
	_, err := w.enqueue(messages)
	return err
}

func (w *Writer) enqueue(messages []record.Message) (chan error, error) {
	done := make(chan error, len(messages))
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(messages) > maxQueued {
		return nil, ErrBackpressure
	}
	for _, m := range messages {
		w.queue = append(w.queue, queued{message: m, done: done})
	}
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	return done, nil
}

// Appends returns the number of appends that succeeded.
func (w *Writer) Appends() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Run appends queued records until ctx ends, then appends what is left for at most flush.
func (w *Writer) Run(ctx context.Context, flush time.Duration) {
	for {
		select {
		case <-w.wakeup:
			w.drain(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flush)
			w.drain(last)
			cancel()
			return
		}
	}
}

func (w *Writer) drain(ctx context.Context) {
	for ctx.Err() == nil {
		batch, first := w.take()
		if len(batch) == 0 {
			return
		}
		err := w.appendBatch(ctx, batch, first)
		for _, q := range batch {
			q.done <- err
		}
		sleep(ctx, w.linger)
	}
}

func (w *Writer) take() ([]queued, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatchRecords)
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	first := w.seq + 1
	w.seq += uint64(n)
	return batch, first
}

// appendBatch retries with the same identity until the log has the batch. A
// second copy of a batch whose reply was lost is dropped by every reader.
func (w *Writer) appendBatch(ctx context.Context, batch []queued, first uint64) error {
	messages := make([]record.Message, len(batch))
	for i, q := range batch {
		messages[i] = q.message
	}
	data, err := record.Encode(w.name, first, messages)
	if err != nil {
		return err
	}
	delay := retryMin
	for {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.log.Append(call, w.stream, data)
		cancel()
		if err == nil {
			w.mu.Lock()
			w.appends++
			w.mu.Unlock()
			return nil
		}
		if !sleep(ctx, delay/2+rand.N(delay)) {
			return errors.Mark(err, record.ErrUnknown)
		}
		delay = min(delay*2, retryMax)
	}
}

// sleep waits for d and reports whether ctx is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
