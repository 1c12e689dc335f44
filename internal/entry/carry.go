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

// Times and sizes of carrying forward.
const (
	// carryEvery is how often an entry looks whether something is due.
	carryEvery = time.Second
	// carryJitter is the most that an entry waits before it writes what is due,
	// so that usually one entry writes and the others see it.
	carryJitter = 5 * time.Second
	// carryPending is how long an entry waits to read back what it wrote.
	carryPending = 20 * time.Second
	// snapshotBatches is the most batches that a reader has to read after a snapshot.
	snapshotBatches = 8192
	// snapshotPart is the most bytes of a snapshot's record.
	snapshotPart = 256 << 10
	// StreamGap is the time between appends to one stream under load, of all
	// entries of a data centre together.
	StreamGap = 28 * time.Millisecond
)

// carry is one kind of content that must outlive the log's retention.
type carry struct {
	state record.CarryForwardSchedule
	next  uint64
	// writeAt is when this entry writes what is due; zero if nothing is.
	writeAt time.Time
}

// carried is what this entry carries forward. Its lock is taken last.
type carried struct {
	mu     sync.Mutex
	bundle carry
	jobs   carry
}

// bundleCopied notes that a bundle was carried forward which covers the stream
// up to an offset; the bundles after it are kept with it.
func (c *carried) bundleCopied(now, written time.Time, covers uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bundle.state.NoteCopy(now, written, covers)
	c.bundle.writeAt = time.Time{}
}

// jobsCopied notes a snapshot that covers the stream up to an offset.
func (c *carried) jobsCopied(now, written time.Time, covers uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs.state.NoteCopy(now, written, covers)
	c.jobs.writeAt = time.Time{}
}

// observer returns the function that notes what a stream keeps.
func (c *carried) observer(of *carry) func(first, next uint64) {
	return func(first, next uint64) {
		c.mu.Lock()
		defer c.mu.Unlock()
		of.state.Observe(time.Now(), first, next)
		of.next = next
	}
}

// due reports whether this entry should write now.
func (c *carried) due(now time.Time, of *carry, tooLong bool) (reason string, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason, due := of.state.Due(now)
	if !due && tooLong && of.next > of.state.CopyOffset()+snapshotBatches {
		reason, due = "many batches follow the last snapshot", true
	}
	if !due {
		of.writeAt = time.Time{}
		return "", false
	}
	if of.writeAt.IsZero() {
		of.writeAt = now.Add(rand.N(carryJitter))
	}
	if now.Before(of.writeAt) {
		return "", false
	}
	of.writeAt = now.Add(carryPending)
	return reason, true
}

// carryForward writes again what the log's retention would end, until ctx ends.
func (e *Entry) carryForward(ctx context.Context) {
	for delay.For(ctx, carryEvery) {
		now := time.Now()
		e.writer.SetGap(StreamGap * time.Duration(max(1, len(e.neighbours(now)))))
		if e.bundles.Queued() == 0 {
			e.carryBundle(now)
		}
		if e.writer.Queued() == 0 {
			e.carryJobs(now)
		}
	}
}

func (e *Entry) carryBundle(now time.Time) {
	e.bundleMu.Lock()
	proof, attached := e.bundle.chain.Proof(), e.bundle.chain.InSync()
	e.bundleMu.Unlock()
	if proof == nil || !attached {
		return
	}
	reason, due := e.carried.due(now, &e.carried.bundle, false)
	if !due {
		return
	}
	signed, lineage, err := proof.Encode()
	if err != nil {
		e.log.Error().Err(err).Msg("encoding the bundle in force failed")
		return
	}
	e.carryOne(e.bundles, "bundle", reason, &record.Bundle{
		Signed: signed, OperatorChanges: lineage, CarriedForward: true, EndOffset: proof.EndOffset(), WrittenMS: now.UnixMilli(),
	})
}

func (e *Entry) carryJobs(now time.Time) {
	e.jobs.mu.Lock()
	empty := e.jobs.fold.NextOffset() == 0 || e.jobs.began.IsZero()
	e.jobs.mu.Unlock()
	if empty {
		return
	}
	reason, due := e.carried.due(now, &e.carried.jobs, true)
	if !due {
		return
	}
	e.jobs.mu.Lock()
	parts, err := e.jobs.fold.Snapshot(fmt.Sprintf("%s/%d", e.name, now.UnixNano()), snapshotPart)
	e.jobs.mu.Unlock()
	if err != nil {
		e.log.Error().Err(err).Msg("encoding a snapshot failed")
		return
	}
	for _, p := range parts {
		p.WrittenMS = now.UnixMilli()
		e.carryOne(e.writer, "snapshot", reason, p)
	}
}

func (e *Entry) carryOne(w *services.Writer, what, reason string, m record.Message) {
	if err := w.Enqueue(m); err != nil {
		e.log.Warn().Err(err).Str("what", what).Msg("carrying forward failed")
		return
	}
	e.log.Info().Str("decision", "carry-forward").Str("what", what).Str("reason", reason).Msg("")
}
