package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// flushEvery is how long changes that no caller waits for are collected before they are
	// stored, since each append costs a call to the store.
	flushEvery = 150 * time.Millisecond
	// progressRetryDelay is the delay before a failed append of job progress is retried.
	progressRetryDelay = 100 * time.Millisecond
)

// writeChanges stores the changes of the scheduler, and then acknowledges run ends to their workers.
func (c *Coordinator) writeChanges(ctx context.Context) {
	for clock.WaitForWake(ctx, c.wakeWriter, flushEvery) {
		c.mu.Lock()
		t := c.term
		c.mu.Unlock()
		if t != nil {
			c.registerWorkers(ctx, t)
			c.flush(ctx, t)
		}
	}
}

// registerWorkers stores the names of new workers before they get their first task, so
// that a later dispatcher waits for their reports or the end of their leases. It then applies the held reports,
// once the store has accepted a write under the term.
func (c *Coordinator) registerWorkers(ctx context.Context, t *term) {
	c.mu.Lock()
	var names []string
	var unnamed []*peer.Report
	for w, r := range t.heldReports {
		if t.needsName(r) {
			names, unnamed = append(names, w), append(unnamed, r)
		}
	}
	held := len(t.heldReports)
	c.mu.Unlock()
	if held == 0 {
		return
	}
	end := uint64(0)
	if len(names) > 0 {
		var err error
		if end, err = c.storeNames(ctx, t, names); err != nil {
			return
		}
	}
	if !c.appendProgress(ctx, t, nil, true) {
		return // a later dispatcher may have read the names before these were stored
	}
	c.mu.Lock()
	t.roster.Register(names, end)
	for _, r := range unnamed {
		r.Registration = t.roster.Number(r.Worker.Name) // the agent is told once the report counts
	}
	if c.term == t {
		t.releaseReports(clock.Steady(), c)
	}
	c.mu.Unlock()
	notify(c.wakeLead)
}

// flush stores the changes of the scheduler if they are due, and renews the leadership lease.
func (c *Coordinator) flush(ctx context.Context, t *term) {
	c.mu.Lock()
	now := clock.Steady()
	idle := now.Sub(t.leaderLease.LastRenewal()) >= leaderLeaseRenewEvery || t.renewalDue
	due := t.scheduler.HasChange() && (t.scheduler.HasUrgentChange() || now.Sub(t.lastFlush) >= flushEvery)
	if c.term != t || !due && !idle {
		c.mu.Unlock()
		return
	}
	change := t.scheduler.TakeChange()
	t.lastFlush, t.renewalDue = now, false
	var f forgetting
	if now.Sub(t.lastExpiry) >= jobExpiryInterval {
		t.lastExpiry = now
		f = c.takeForgetting(t, change)
	}
	roster := c.takeRosterChange(t)
	extra := slices.Concat(c.interferenceRecord(now, t), c.runTimesRecord(now, t), c.takeStoppedBefore(now, t))
	c.mu.Unlock()
	records := slices.Concat(c.encodeProgress(t, change), f.progress, roster.records, c.withoutOversized(extra))
	if c.appendAll(ctx, t, records, idle) {
		c.changeStored(t, change, nil)
		c.rosterChangeStored(t, &roster)
		c.dropForgotten(t, f.jobs)
	}
}

// appendAll appends records under the term, in as many appends as the store takes, and applies them. It reports
// whether all are stored, see appendProgress.
func (c *Coordinator) appendAll(ctx context.Context, t *term, records []store.Record, renew bool) bool {
	if len(records) == 0 {
		return c.appendProgress(ctx, t, nil, renew)
	}
	for _, part := range c.settings.RecordLimits.split(records) {
		if !c.appendProgress(ctx, t, part, renew) {
			return false
		}
		c.changeStored(t, &dispatch.Change{}, part)
	}
	return true
}

// encodeProgress returns the records of the changed jobs. It leaves out jobs that cannot be encoded.
func (c *Coordinator) encodeProgress(t *term, change *dispatch.Change) []store.Record {
	var records []store.Record
	for id, p := range change.Jobs() {
		r, err := c.progressRecord(t, id, p)
		if err != nil {
			c.log.Error().Err(err).Str("job", id).Msg("encoding job progress failed; it is lost if this entry stops")
			continue
		}
		records = append(records, r)
	}
	return records
}

// appendProgress appends records under the term and reports whether they are
// stored. It retries until the append succeeds, a later term has written or this
// term has ended. Without records it makes a call only if renew is set, since each
// successful append, also an empty one, renews the leadership lease. The store answers the
// repetition of an append that it has carried out even if a later term has written since, so that the lease
// counts from the first attempt; an empty append is no repetition.
func (c *Coordinator) appendProgress(ctx context.Context, t *term, records []store.Record, renew bool) bool {
	if len(records) == 0 && !renew {
		return true
	}
	seq := t.appendSeq + 1
	sent := clock.Steady()
	for {
		if len(records) == 0 {
			sent = clock.Steady()
		}
		a := store.AppendRequest{Topic: store.TopicProgress, Records: records, Term: t.number, Seq: seq}
		end, err := callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) { return c.store.Append(ctx, a) })
		var wrong *store.SequenceError
		switch {
		case err == nil:
			if len(records) > 0 {
				t.appendSeq, t.appendEnd = seq, end
			}
			c.mu.Lock()
			t.leaderLease.Renew(sent)
			c.mu.Unlock()
			return true
		case errors.As(err, &wrong):
			c.log.Warn().Uint64("sent", seq).Uint64("want", wrong.Want).Msg("store expects a different sequence number")
			seq = wrong.Want
			continue
		case errors.Is(err, store.ErrFenced):
			c.resignSuperseded(t, "a later term has written to the store")
			return false
		}
		c.log.Warn().Err(err).Int("records", len(records)).Msg("storing job progress failed")
		c.mu.Lock()
		current := c.term == t
		c.mu.Unlock()
		if !current || !clock.WaitForWake(ctx, nil, progressRetryDelay) {
			return false
		}
	}
}

// changeStored applies the records of the last append to the job table, where callers see the
// end of a job, and acknowledges the run ends among them to their workers.
func (c *Coordinator) changeStored(t *term, change *dispatch.Change, records []store.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := uint64(len(records)); n > t.appendEnd {
		c.log.Error().Uint64("end", t.appendEnd).Uint64("records", n).Msg("store answered an append with an impossible end; its records count once they are read")
		records = nil
	}
	offset := t.appendEnd - uint64(len(records)) // a repeated append is answered with the end after its first attempt
	for i, r := range records {
		if _, ok := workflow.JobOfRecord(r); !ok {
			continue
		}
		if _, err := c.jobs.Apply(r, offset+uint64(i)); err != nil {
			c.log.Error().Err(err).Msg("applying a record written by this entry failed")
		}
	}
	for id, p := range change.Jobs() {
		if p.Phase.Ended() {
			c.log.Info().Str("job", id).Str("phase", p.Phase.String()).Msg("job ended")
		}
	}
	change.EachAck(func(worker string, life, end uint64) {
		if a := t.agents[worker]; a != nil && a.conn != nil {
			a.conn.Send(&peer.Message{Ack: &peer.RunEndsAck{Life: life, LastAckedEnd: end}})
		}
	})
}
