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

// Retry delays and time-outs of the calls to the log.
const (
	minRetryDelay  = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
	logCallTimeout = 5 * time.Second
)

// Writer appends records to one stream, one batch at a time. Records that
// arrive during an append share the next batch. After an append with unknown
// outcome, such as a lost response, the writer searches the stream for its
// batch and appends the batch again only if the stream does not contain it. The
// second copy has the same writer name and sequence numbers, so that readers
// drop the duplicate if the first append takes effect late.
type Writer struct {
	log    record.Log
	stream string
	name   string
	// wakeup tells Run that groups were queued.
	wakeup chan struct{}
	queue  queue

	// mu guards pacer.
	mu    sync.Mutex
	pacer appendPacer

	// seq, searchFrom and searchFromKnown are used by the goroutine of Run only.

	// seq is the sequence number of the newest record that was put into a batch.
	seq uint64
	// searchFrom is where the search for a batch with unknown outcome starts: no
	// such batch of this writer lies before it.
	searchFrom      uint64
	searchFromKnown bool

	// The counters below are described at the methods that return them.

	appends         atomic.Uint64
	resolvedAppends atomic.Uint64
	retries         atomic.Uint64
}

// NewWriter returns a writer whose batches carry name, which must be unique
// among all processes and their restarts. Under load, appends are interval apart
// on average.
func NewWriter(log record.Log, stream, name string, interval time.Duration) *Writer {
	return &Writer{log: log, stream: stream, name: name, pacer: appendPacer{interval: interval}, wakeup: make(chan struct{}, 1)}
}

// SetInterval sets the average time between two appends under load.
func (w *Writer) SetInterval(interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pacer.interval = interval
}

// Append writes messages to the stream in one batch and waits until the log has
// them. If ctx ends before their append has begun, the messages are removed
// from the queue and the error is marked record.ErrUnavailable: the messages
// have not been written and will not be. If ctx ends later, the error is marked
// record.ErrOutcomeUnknown and the writer continues until the batch is in the log
// or Run returns.
func (w *Writer) Append(ctx context.Context, messages ...record.Message) error {
	if len(messages) == 0 {
		return nil
	}
	g, err := newGroup(messages)
	if err != nil {
		return err
	}
	if len(g.records) > maxQueuedRecords || g.sizeBytes > maxQueuedBytes {
		return errors.Wrapf(ErrTooLarge, "%d records, %d bytes", len(g.records), g.sizeBytes)
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
		return errors.Mark(errors.Wrap(ctx.Err(), "append not started; records removed from the queue"), record.ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(ctx.Err(), "append in progress"), record.ErrOutcomeUnknown)
}

// Enqueue queues messages without waiting for the log. The messages keep their
// order, but may be split over several batches.
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

// ResolvedAppends returns the number of batches that were found in the log after an
// append with unknown outcome.
func (w *Writer) ResolvedAppends() uint64 { return w.resolvedAppends.Load() }

// Retries returns the number of appends that were repeated.
func (w *Writer) Retries() uint64 { return w.retries.Load() }

// Queued returns the number of records that wait for an append.
func (w *Writer) Queued() int { return w.queue.recordCount() }

// Run appends queued records until ctx ends. It then goes on for at most
// flushTimeout to append the rest, and ends the calls of Append whose records are
// still queued with an error.
func (w *Writer) Run(ctx context.Context, flushTimeout time.Duration) {
	for {
		select {
		case <-w.wakeup:
			w.appendQueued(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			w.appendQueued(last)
			cancel()
			w.failQueued()
			return
		}
	}
}

// failQueued empties the queue and tells the callers of all queued groups that
// their records were not written.
func (w *Writer) failQueued() {
	for {
		groups, _ := w.queue.takeBatch()
		if len(groups) == 0 {
			return
		}
		notifyCallers(groups, errors.Wrap(record.ErrUnavailable, "the log writer has shut down"))
	}
}

// appendQueued appends the queued records in batches, at the rate that pacer allows,
// until the queue is empty or ctx ends.
func (w *Writer) appendQueued(ctx context.Context) {
	for ctx.Err() == nil && w.queue.recordCount() > 0 {
		w.mu.Lock()
		wait := w.pacer.reserve(time.Now())
		w.mu.Unlock()
		if !delay.For(ctx, wait) {
			return
		}
		w.initSearchFrom(ctx)
		groups, records := w.queue.takeBatch()
		if len(groups) == 0 {
			return
		}
		firstSeq := w.seq + 1
		w.seq += uint64(len(records))
		notifyCallers(groups, w.appendBatch(ctx, records, firstSeq))
	}
}

// notifyCallers passes the result of an append to the callers of its groups.
func notifyCallers(groups []*group, err error) {
	for _, g := range groups {
		g.done <- err
	}
}

// appendBatch appends records as one batch, and retries until the log has the
// batch or ctx ends. firstSeq is the sequence number of the first record.
func (w *Writer) appendBatch(ctx context.Context, records []record.EncodedRecord, firstSeq uint64) error {
	data, err := record.EncodeBatch(w.name, firstSeq, records)
	if err != nil {
		return err
	}
	backoff := minRetryDelay
	unknown := false
	for {
		offset, err := w.appendOnce(ctx, data)
		if err == nil {
			w.searchFrom, w.searchFromKnown = offset+1, true
			w.appends.Add(1)
			return nil
		}
		unknown = unknown || !errors.Is(err, record.ErrUnavailable)
		for {
			if !delay.For(ctx, backoff/2+rand.N(backoff)) {
				return abandonedError(err, unknown)
			}
			backoff = min(backoff*2, maxRetryDelay)
			if !unknown {
				break
			}
			found, findErr := w.findBatch(ctx, firstSeq)
			if found {
				w.resolvedAppends.Add(1)
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

// abandonedError returns the error for a batch that is no longer retried; err is
// the error of its last append. If unknown is set, the batch may be in the log and
// the returned error is marked record.ErrOutcomeUnknown.
func abandonedError(err error, unknown bool) error {
	if unknown {
		return errors.Wrapf(record.ErrOutcomeUnknown, "append no longer retried: %v", err)
	}
	return errors.Wrap(err, "append")
}

// appendOnce makes one attempt to append data, an encoded batch, and returns the batch's offset in
// the stream.
func (w *Writer) appendOnce(ctx context.Context, data []byte) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	return w.log.Append(call, w.stream, data)
}

// initSearchFrom sets searchFrom to the end of the stream if searchFrom is not
// known yet, so that a later search need not read the stream from its start.
func (w *Writer) initSearchFrom(ctx context.Context) {
	if w.searchFromKnown {
		return
	}
	if _, next, err := StreamBounds(ctx, w.log, w.stream); err == nil {
		w.searchFrom, w.searchFromKnown = next, true
	}
}

// findBatch searches the stream from searchFrom to its end for the writer's batch
// that begins with sequence number firstSeq. An error means that the search did
// not reach the end of the stream.
func (w *Writer) findBatch(ctx context.Context, firstSeq uint64) (bool, error) {
	next := w.searchFrom
	for {
		call, cancel := context.WithTimeout(ctx, logCallTimeout)
		page, err := w.log.Read(call, w.stream, next, 0)
		cancel()
		if errors.Is(err, record.ErrExpired) && page.FirstOffset > next {
			next = page.FirstOffset
			continue
		}
		if err != nil {
			return false, err
		}
		for _, b := range page.Batches {
			next = b.Offset + 1
			writer, seq, err := record.BatchHeader(b.Data)
			if err == nil && writer == w.name && seq == firstSeq {
				w.searchFrom, w.searchFromKnown = next, true
				return true, nil
			}
		}
		if next >= page.NextOffset || len(page.Batches) == 0 {
			w.searchFrom, w.searchFromKnown = next, true
			return false, nil
		}
	}
}
