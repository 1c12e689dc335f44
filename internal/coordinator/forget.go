package coordinator

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// jobExpiryInterval is how often jobs whose retention has expired are forgotten.
	jobExpiryInterval = time.Second
	// maxForgottenJobs bounds the number of jobs that are forgotten, or whose records are deleted, in one append. The
	// records of a job take up to 70 bytes there.
	maxForgottenJobs = 500
)

// forgetting is one round of forgetting jobs whose retention has expired.
//
// The records of a job are in two topics, so they cannot be deleted at once. A job is forgotten in three steps, each of
// which begins once the one before is stored: a record of its progress says that the job is forgotten, its submission
// and cancellation are deleted, and then its progress. Any dispatcher goes on from where an earlier one has stopped.
type forgetting struct {
	// progress holds the records of the first and the third step, jobs the jobs of the first one.
	progress []store.Record
	jobs     []string
}

// takeForgetting returns the next round. It leaves out jobs that are part of change. The caller holds mu.
func (c *Coordinator) takeForgetting(t *term, change *dispatch.Change) forgetting {
	var f forgetting
	_, progress := c.jobs.Remains(maxForgottenJobs)
	for _, r := range progress {
		if id, _ := workflow.JobOfRecord(r); change.Jobs()[id] == nil {
			f.progress = append(f.progress, r)
		}
	}
	// All submissions stored before a job's retention expired must have been read: later ones make a new job.
	intakeTail := &c.tails[intakeIndex]
	for _, id := range t.scheduler.Expired(intakeTail.caughtUpAt.Add(-c.settings.JobRetention)) {
		j, known := c.jobs.Job(id)
		if !known || j.Submission() == nil || !j.Progress().Phase.Ended() || change.Jobs()[id] != nil {
			continue // its submission has not been read, or its end is not stored
		}
		if len(f.jobs) == maxForgottenJobs {
			break
		}
		r, err := workflow.ForgottenRecord(id, j.Progress(), intakeTail.nextOffset)
		if err != nil {
			c.log.Error().Err(err).Str("job", id).Msg("encoding the record of a forgotten job failed; the job is kept")
			continue
		}
		f.progress, f.jobs = append(f.progress, r), append(f.jobs, id)
	}
	return f
}

// dropForgotten drops jobs from the scheduler once the store has the records that forget them. A job that has been
// submitted again meanwhile is admitted as a new one.
func (c *Coordinator) dropForgotten(t *term, ids []string) {
	if len(ids) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, changed := clock.Steady(), false
	for _, id := range ids {
		t.scheduler.Drop(id)
		if c.term == t {
			changed = t.syncJob(now, c, id, false) || changed
		}
	}
	c.log.Info().Int("jobs", len(ids)).Str("first", ids[0]).Uint64("term", t.number).Msg("jobs forgotten: their retention has expired")
	if changed {
		notify(c.wakeLead)
	}
}

// deleteUnneededIntake deletes submissions and cancellations of forgotten jobs, and cancellations whose submissions will never
// be stored, if this entry is the dispatcher. It does so provided that no other record has been stored since this entry read
// their topic. Without that condition, a deletion that the store carries out late could delete a job that was submitted, or
// cancelled, again. What is not deleted is tried again after jobExpiryInterval.
func (c *Coordinator) deleteUnneededIntake(ctx context.Context, now time.Time) {
	c.mu.Lock()
	t := c.term
	if t == nil || now.Sub(t.lastIntakeDeletion) < jobExpiryInterval {
		c.mu.Unlock()
		return
	}
	records, _ := c.jobs.Remains(maxForgottenJobs)
	unmatched := c.unmatched.stored.Expired(now, &c.jobs, unmatchedRetention, maxForgottenJobs)
	records = append(records, unmatched...)
	end := c.tails[intakeIndex].nextOffset
	if len(records) > 0 {
		t.lastIntakeDeletion = now
	}
	c.mu.Unlock()
	if len(records) == 0 {
		return
	}
	_, err := callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicIntake, Records: records, ExpectedEnd: end, CheckEnd: true})
	})
	if err != nil {
		c.count("forgotten-deletions-failed", 1)
		c.log.Warn().Err(err).Int("records", len(records)).Uint64("end", end).Uint64("term", t.number).Msg("deleting submissions and cancellations that are not needed any more failed; it is tried again")
		return
	}
	c.log.Info().Int("records", len(records)).Int("unmatched-cancellations", len(unmatched)).Uint64("end", end).Uint64("term", t.number).
		Msg("submissions and cancellations deleted that are not needed any more")
}
