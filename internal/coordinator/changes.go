package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// flushEvery is how long changes wait that no caller waits for: each append costs a call.
	flushEvery = 150 * time.Millisecond
	// changeRetry is the delay after a failed append.
	changeRetry = 100 * time.Millisecond
)

// writeChanges stores what the board changes, then lets workers forget ends.
func (c *Coordinator) writeChanges(ctx context.Context) {
	for clock.Pause(ctx, c.persist, flushEvery) {
		c.mu.Lock()
		t := c.term
		c.mu.Unlock()
		if t != nil {
			c.nameWorkers(ctx, t)
			c.flush(ctx, t)
		}
	}
}

// nameWorkers stores the names of workers before they get their first task, so
// that a later dispatcher waits for them.
func (c *Coordinator) nameWorkers(ctx context.Context, t *term) {
	c.mu.Lock()
	var records []store.Record
	for w := range t.begins {
		records = append(records, store.Record{Key: w, Value: []byte{1}})
	}
	c.mu.Unlock()
	if len(records) == 0 {
		return
	}
	_, err := call(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.Append{Topic: store.TopicWorkers, Records: records})
	})
	if err != nil {
		c.log.Warn().Err(err).Int("workers", len(records)).Msg("naming workers in the store failed")
		return
	}
	if !c.storeRecords(ctx, t, nil, true) {
		return // a later dispatcher may have read the names before
	}
	c.mu.Lock()
	now := clock.Steady()
	for _, r := range records {
		t.known[r.Key] = true
		if report := t.begins[r.Key]; report != nil && c.term == t {
			t.report(now, c, report)
		}
		delete(t.begins, r.Key)
	}
	c.mu.Unlock()
	kick(c.wake)
}

// flush stores the board's changes if they are due.
func (c *Coordinator) flush(ctx context.Context, t *term) {
	c.mu.Lock()
	now := clock.Steady()
	idle := now.Sub(t.holder.Proven()) >= proveEvery || t.unproven
	due := t.board.Changed() && (t.board.Urgent() || now.Sub(t.flushed) >= flushEvery)
	if c.term != t || !due && !idle {
		c.mu.Unlock()
		return
	}
	change := t.board.TakeChange()
	t.flushed, t.unproven = now, false
	forget := t.board.Expired(clock.WallMS() - c.settings.StatusFor.Milliseconds())
	learned := c.learnedRecord(now, t)
	c.mu.Unlock()
	records := append(c.encode(change), learned...)
	if c.storeRecords(ctx, t, records, idle) {
		c.applied(t, change, records)
	}
	c.forget(ctx, forget)
}

// forget drops jobs that ended long ago from the store. What fails is dropped
// when another dispatcher finds the jobs expired.
func (c *Coordinator) forget(ctx context.Context, ids []string) {
	var progress, intake []store.Record
	for _, id := range ids {
		p, i := workflow.ForgetRecords(id)
		progress, intake = append(progress, p...), append(intake, i...)
	}
	for topic, records := range map[store.Topic][]store.Record{store.TopicProgress: progress, store.TopicIntake: intake} {
		if len(records) == 0 {
			continue
		}
		if _, err := call(ctx, c, 0, func(ctx context.Context) (uint64, error) {
			return c.store.Append(ctx, store.Append{Topic: topic, Records: records})
		}); err != nil {
			c.log.Warn().Err(err).Int("jobs", len(ids)).Msg("dropping old jobs from the store failed")
		}
	}
}

func (c *Coordinator) encode(change *dispatch.Change) []store.Record {
	var records []store.Record
	for id, p := range change.Jobs() {
		r, err := workflow.ProgressRecord(id, p)
		if err != nil {
			c.log.Error().Err(err).Str("job", id).Msg("progress cannot be encoded; it is lost if this entry ends")
			continue
		}
		records = append(records, r)
	}
	return records
}

// storeRecords appends records under the term until the outcome is known. It
// reports whether they are stored.
func (c *Coordinator) storeRecords(ctx context.Context, t *term, records []store.Record, prove bool) bool {
	if len(records) == 0 && !prove {
		return true
	}
	seq := t.seq + 1
	for {
		sent := clock.Steady()
		a := store.Append{Topic: store.TopicProgress, Records: records, Term: t.number, Seq: seq}
		_, err := call(ctx, c, 0, func(ctx context.Context) (uint64, error) { return c.store.Append(ctx, a) })
		var wrong *store.SequenceError
		switch {
		case err == nil:
			if len(records) > 0 {
				t.seq = seq
			}
			c.mu.Lock()
			t.holder.Prove(sent)
			c.mu.Unlock()
			return true
		case errors.As(err, &wrong):
			c.log.Warn().Uint64("sent", seq).Uint64("want", wrong.Want).Msg("the store expects another sequence number")
			seq = wrong.Want
			continue
		case errors.Is(err, store.ErrFenced):
			c.resign(t, "a later term has written to the store")
			return false
		}
		c.log.Warn().Err(err).Int("records", len(records)).Msg("storing progress failed")
		c.mu.Lock()
		current := c.term == t
		c.mu.Unlock()
		if !current || !clock.Pause(ctx, nil, changeRetry) {
			return false
		}
	}
}

// applied shows stored ends to callers and lets workers forget them.
func (c *Coordinator) applied(t *term, change *dispatch.Change, records []store.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Key == learnedKey {
			continue
		}
		if _, err := c.book.Apply(r); err != nil {
			c.log.Error().Err(err).Msg("own record cannot be applied")
		}
	}
	for id, p := range change.Jobs() {
		if p.Phase.Ended() {
			c.log.Info().Str("job", id).Str("phase", p.Phase.String()).Msg("job ended")
		}
	}
	change.EachNote(func(worker string, life, end uint64) {
		if a := t.agents[worker]; a != nil && a.conn != nil {
			a.conn.Send(&peer.Message{Noted: &peer.Noted{Life: life, End: end}})
		}
	})
}
