package services

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of a writer.
const (
	retryMin      = 50 * time.Millisecond
	retryMax      = 2 * time.Second
	appendTimeout = 5 * time.Second
)

// Writer appends records to one stream, one batch at a time. Records that
// arrive while an append is under way share the next one. After an append
// whose reply was lost it reads the stream for its own batch; only a batch that
// is not there is appended again, under the same identity, so that readers
// recognise a copy that was written late.
type Writer struct {
	log    record.Log
	stream string
	name   string
	wakeup chan struct{}
	queue  queue

	mu   sync.Mutex
	pace pace

	// The fields below belong to Run.
	seq uint64
	// floor is an offset that no unresolved append of this writer is before.
	floor uint64
	known bool

	appends  atomic.Uint64
	resolved atomic.Uint64
	retries  atomic.Uint64
}

// NewWriter returns a writer whose records carry name, which must be unique
// among all processes and restarts. Under load appends are gap apart.
func NewWriter(log record.Log, stream, name string, gap time.Duration) *Writer {
	return &Writer{log: log, stream: stream, name: name, pace: pace{gap: gap}, wakeup: make(chan struct{}, 1)}
}

// SetGap changes the time between two appends under load.
func (w *Writer) SetGap(gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pace.gap = gap
}

// Append adds messages to the stream in one batch and waits until they are in
// the log. If ctx ends before their append has begun, they are withdrawn and
// the error is marked record.ErrUnavailable: nothing was written, nor will be.
// If ctx ends later, the error is marked record.ErrOutcomeUnknown and the writer goes
// on until the batch is in the log.
func (w *Writer) Append(ctx context.Context, messages ...record.Message) error {
	if len(messages) == 0 {
		return nil
	}
	g, err := newGroup(messages)
	if err != nil {
		return err
	}
	if len(g.records) > maxQueued || g.size > maxQueuedBytes {
		return errors.Wrapf(ErrTooLarge, "%d records, %d bytes", len(g.records), g.size)
	}
	if err := w.enqueue(g); err != nil {
		return err
	}
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
	}
	if w.queue.withdraw(g) {
		return errors.Mark(errors.Wrap(ctx.Err(), "append not begun"), record.ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(ctx.Err(), "append under way"), record.ErrOutcomeUnknown)
}

// Enqueue queues messages without waiting for the log. They keep their order
// but may be split over batches.
func (w *Writer) Enqueue(messages ...record.Message) error {
	groups := make([]*group, len(messages))
	for i, m := range messages {
		var err error
		if groups[i], err = newGroup([]record.Message{m}); err != nil {
			return err
		}
	}
	return w.enqueue(groups...)
}

func (w *Writer) enqueue(groups ...*group) error {
	if err := w.queue.add(groups...); err != nil {
		return err
	}
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	return nil
}

// Appends returns the number of batches known to be in the log.
func (w *Writer) Appends() uint64 { return w.appends.Load() }

// Resolved returns the number of batches found by reading after a lost reply.
func (w *Writer) Resolved() uint64 { return w.resolved.Load() }

// Retries returns the number of appends that were repeated.
func (w *Writer) Retries() uint64 { return w.retries.Load() }

// Queued returns the number of records that wait.
func (w *Writer) Queued() int { return w.queue.len() }

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
			w.abandon()
			return
		}
	}
}

// abandon ends the wait of those whose records were not written.
func (w *Writer) abandon() {
	for {
		groups, _ := w.queue.take()
		if len(groups) == 0 {
			return
		}
		finish(groups, errors.Wrap(record.ErrUnavailable, "the writer has ended"))
	}
}

func (w *Writer) drain(ctx context.Context) {
	for ctx.Err() == nil && w.queue.len() > 0 {
		w.mu.Lock()
		wait := w.pace.wait(time.Now())
		w.mu.Unlock()
		if !delay.For(ctx, wait) {
			return
		}
		w.learnFloor(ctx)
		groups, records := w.queue.take()
		if len(groups) == 0 {
			return
		}
		first := w.seq + 1
		w.seq += uint64(len(records))
		finish(groups, w.appendBatch(ctx, records, first))
	}
}

func finish(groups []*group, err error) {
	for _, g := range groups {
		g.done <- err
	}
}

// appendBatch goes on until the log has the batch or ctx ends.
func (w *Writer) appendBatch(ctx context.Context, records []record.EncodedRecord, first uint64) error {
	data, err := record.EncodeBatch(w.name, first, records)
	if err != nil {
		return err
	}
	backoff := retryMin
	unknown := false
	for {
		offset, err := w.try(ctx, data)
		if err == nil {
			w.floor, w.known = offset+1, true
			w.appends.Add(1)
			return nil
		}
		unknown = unknown || !errors.Is(err, record.ErrUnavailable)
		for {
			if !delay.For(ctx, backoff/2+rand.N(backoff)) {
				return endOfWait(err, unknown)
			}
			backoff = min(backoff*2, retryMax)
			if !unknown {
				break
			}
			found, findErr := w.find(ctx, first)
			if found {
				w.resolved.Add(1)
				w.appends.Add(1)
				return nil
			}
			if findErr == nil {
				break
			}
		}
		w.retries.Add(1)
	}
}

// endOfWait marks what a caller learns about a batch that was given up.
func endOfWait(err error, unknown bool) error {
	if unknown {
		return errors.Wrapf(record.ErrOutcomeUnknown, "append given up: %v", err)
	}
	return errors.Wrap(err, "append")
}

func (w *Writer) try(ctx context.Context, data []byte) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return w.log.Append(call, w.stream, data)
}

// learnFloor asks for the stream's end once, so that a later search need not
// read the stream from its start.
func (w *Writer) learnFloor(ctx context.Context) {
	if w.known {
		return
	}
	if _, next, err := End(ctx, w.log, w.stream); err == nil {
		w.floor, w.known = next, true
	}
}

// find reads from the floor to the stream's end for the batch that begins with
// sequence number first. An error means that the end was not reached.
func (w *Writer) find(ctx context.Context, first uint64) (bool, error) {
	from := w.floor
	for {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		page, err := w.log.Read(call, w.stream, from, 0)
		cancel()
		if errors.Is(err, record.ErrExpired) && page.FirstOffset > from {
			from = page.FirstOffset
			continue
		}
		if err != nil {
			return false, err
		}
		for _, b := range page.Batches {
			from = b.Offset + 1
			writer, seq, err := record.BatchHeader(b.Data)
			if err == nil && writer == w.name && seq == first {
				w.floor, w.known = from, true
				return true, nil
			}
		}
		if from >= page.NextOffset || len(page.Batches) == 0 {
			w.floor, w.known = from, true
			return false, nil
		}
	}
}
