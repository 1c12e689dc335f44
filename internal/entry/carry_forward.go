package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times and sizes of carrying content forward before the log's retention drops it.
const (
	// carryForwardInterval is the time between two checks whether a copy is due.
	carryForwardInterval = time.Second
	// maxCarryForwardJitter is the longest random wait of an entry before it writes a copy that
	// is due, so that usually one entry writes and the others see its record in time.
	maxCarryForwardJitter = 5 * time.Second
	// readBackTimeout is how long an entry waits to read back a copy that it wrote before it
	// writes another.
	readBackTimeout = 20 * time.Second
	// maxBatchesAfterSnapshot is the most batches that may follow the newest snapshot before
	// another one is due. It bounds what an entry reads at its start.
	maxBatchesAfterSnapshot = 8192
	// maxSnapshotPartBytes is the most bytes of a snapshot in one record.
	maxSnapshotPartBytes = 256 << 10
	// StreamAppendInterval is the average time between two appends to one stream under load. To
	// the jobs stream, the entries of a data centre keep it together: each of n entries appends
	// every n times this interval.
	StreamAppendInterval = 28 * time.Millisecond
)

// carryForwardItem schedules the copies of one kind of content that must outlive the log's
// retention: the bundle in force or the state of the jobs.
type carryForwardItem struct {
	schedule record.CarryForwardSchedule
	// nextOffset is the offset of the next append to the stream.
	nextOffset uint64
	// writeAt is when this entry writes the copy that is due; zero if none is.
	writeAt time.Time
}

// carryForwardState holds what this entry carries forward. Its lock is taken last.
type carryForwardState struct {
	mu     sync.Mutex
	bundle carryForwardItem
	jobs   carryForwardItem
}

// noteBundleCopy records that a copy of a bundle was carried forward. The copy takes the stream
// up to endOffset into account and is of use as long as the log keeps the bundles from endOffset
// on.
func (c *carryForwardState) noteBundleCopy(now, written time.Time, endOffset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bundle.schedule.NoteCopy(now, written, endOffset)
	c.bundle.writeAt = time.Time{}
}

// noteSnapshot records that a snapshot of the jobs was written. The snapshot takes the stream up
// to endOffset into account.
func (c *carryForwardState) noteSnapshot(now, written time.Time, endOffset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs.schedule.NoteCopy(now, written, endOffset)
	c.jobs.writeAt = time.Time{}
}

// observer returns a function that records, for item, the first retained offset of its stream
// and the offset of the next append.
func (c *carryForwardState) observer(item *carryForwardItem) func(first, next uint64) {
	return func(first, next uint64) {
		c.mu.Lock()
		defer c.mu.Unlock()
		item.schedule.Observe(time.Now(), first, next)
		item.nextOffset = next
	}
}

// takeDue reports whether this entry should write a copy of item now, and why. If limitBatches
// is set, a copy is also due when more than maxBatchesAfterSnapshot batches follow the last one.
func (c *carryForwardState) takeDue(now time.Time, item *carryForwardItem, limitBatches bool) (reason string, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason, due := item.schedule.Due(now)
	if !due && limitBatches && item.nextOffset > item.schedule.CopyOffset()+maxBatchesAfterSnapshot {
		reason, due = "too many batches follow the last snapshot", true
	}
	if !due {
		item.writeAt = time.Time{}
		return "", false
	}
	if item.writeAt.IsZero() {
		item.writeAt = now.Add(rand.N(maxCarryForwardJitter))
	}
	if now.Before(item.writeAt) {
		return "", false
	}
	item.writeAt = now.Add(readBackTimeout)
	return reason, true
}

// carryForward appends a copy of the bundle in force and a snapshot of the jobs before the
// log's retention drops the earlier ones, until ctx ends.
func (e *Entry) carryForward(ctx context.Context) {
	for delay.For(ctx, carryForwardInterval) {
		now := time.Now()
		e.localJobsWriter.SetInterval(StreamAppendInterval * time.Duration(max(1, len(e.localEntries(now)))))
		if e.bundlesWriter.Queued() == 0 {
			e.carryBundleForward(now)
		}
		if e.localJobsWriter.Queued() == 0 {
			e.carryJobsForward(now)
		}
	}
}

// carryBundleForward queues a copy of the bundle in force if one is due.
func (e *Entry) carryBundleForward(now time.Time) {
	e.bundleMu.Lock()
	proof, inSync := e.bundle.chain.Proof(), e.bundle.chain.InSync()
	e.bundleMu.Unlock()
	if proof == nil || !inSync {
		return
	}
	reason, due := e.carriedForward.takeDue(now, &e.carriedForward.bundle, false)
	if !due {
		return
	}
	signed, operatorChanges, err := proof.Encode()
	if err != nil {
		e.log.Error().Err(err).Msg("encoding the bundle in force failed")
		return
	}
	e.enqueueCarriedForward(e.bundlesWriter, "bundle", reason, &record.Bundle{
		Signed: signed, OperatorChanges: operatorChanges, CarriedForward: true, EndOffset: proof.EndOffset(), WrittenMS: now.UnixMilli(),
	})
}

// carryJobsForward queues a snapshot of the jobs if one is due.
func (e *Entry) carryJobsForward(now time.Time) {
	e.jobs.mu.Lock()
	empty := e.jobs.state.NextOffset() == 0 || e.jobs.lastReadBegan.IsZero()
	e.jobs.mu.Unlock()
	if empty {
		return
	}
	reason, due := e.carriedForward.takeDue(now, &e.carriedForward.jobs, true)
	if !due {
		return
	}
	e.jobs.mu.Lock()
	parts, err := e.jobs.state.Snapshot(fmt.Sprintf("%s/%d", e.writerID, now.UnixNano()), maxSnapshotPartBytes)
	e.jobs.mu.Unlock()
	if err != nil {
		e.log.Error().Err(err).Msg("encoding a snapshot failed")
		return
	}
	for _, p := range parts {
		p.WrittenMS = now.UnixMilli()
		e.enqueueCarriedForward(e.localJobsWriter, "snapshot", reason, p)
	}
}

// enqueueCarriedForward queues a record that carries content forward. what names the content in
// log lines, reason says why its copy is due.
func (e *Entry) enqueueCarriedForward(w *services.Writer, what, reason string, m record.Message) {
	if err := w.Enqueue(m); err != nil {
		e.log.Warn().Err(err).Str("what", what).Msg("record to carry forward not queued")
		return
	}
	e.log.Info().Str("decision", "carry-forward").Str("what", what).Str("reason", reason).Msg("")
}
