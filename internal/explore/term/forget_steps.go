package term

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// jobRetention is how long a job is kept after its end, far shorter than on the platform. It is longer than a caller
	// repeats a submission.
	jobRetention = 6 * time.Second
	// forgetInterval is how often jobs are forgotten, as at real entries.
	forgetInterval = time.Second
	// maxForgottenJobs is more than there are jobs.
	maxForgottenJobs = 100
)

// failPartOfStore has one of the topics of job records refuse all calls for a time.
func (w *world) failPartOfStore(duration time.Duration) {
	topic := jobTopics[w.random.IntN(len(jobTopics))]
	w.note("FAULT topic %s for %s", topic, duration)
	w.store.SetTopicFault(topic, store.ErrRefused)
	w.schedule(duration, func() { w.store.SetTopicFault(topic, nil) })
}

// takeForgetting returns the records of progress that forget jobs or delete what is left of them, and the jobs that the
// scheduler drops once they are stored.
func (e *entry) takeForgetting(now time.Time, t *dispatcherState, change *dispatch.Change) (records []store.Record, ids []string) {
	if e.w.kinds&Retention == 0 || now.Sub(t.lastForgetting) < forgetInterval {
		return nil, nil
	}
	t.lastForgetting = now
	_, progress := e.jobs.Remains(maxForgottenJobs)
	for _, r := range progress {
		if id, _ := workflow.JobOfRecord(r); change.Jobs()[id] == nil {
			records = append(records, r)
		}
	}
	for _, id := range t.scheduler.Expired(e.caughtUpAt[0].Add(-jobRetention)) {
		j, known := e.jobs.Job(id)
		if !known || j.Submission() == nil || !j.Progress().Phase.Ended() || change.Jobs()[id] != nil {
			continue
		}
		r, err := workflow.ForgottenRecord(id, j.Progress(), e.nextOffset[0])
		if err != nil {
			panic(err)
		}
		if e.w.rules.DeleteProgressFirst {
			deletion, _ := workflow.TombstoneRecords(id)
			r = deletion[0]
		}
		records, ids = append(records, r), append(ids, id)
	}
	return records, ids
}

// dropForgotten drops jobs from the scheduler that were forgotten.
func (e *entry) dropForgotten(t *dispatcherState, ids []string) {
	for _, id := range ids {
		e.w.note("%s in term %d forgets %s", e.name, t.number, id)
		t.scheduler.Drop(id)
		if e.w.rules.DeleteProgressFirst {
			_, deletions := workflow.TombstoneRecords(id)
			e.callStore(func(c *store.Client) error {
				_, err := c.Append(context.Background(), store.AppendRequest{Topic: store.TopicIntake, Records: deletions})
				return err
			}, func(time.Time, error) {})
		}
	}
}

// deleteForgottenIntake deletes submissions of forgotten jobs, and cancellations that have none, after their topic was read to
// its end, and then calls then.
func (e *entry) deleteForgottenIntake(then func()) {
	e.unmatched.Observe(e.clock(), &e.jobs)
	t := e.term
	if t == nil || e.w.kinds&Retention == 0 {
		then()
		return
	}
	records, _ := e.jobs.Remains(maxForgottenJobs)
	retention := jobRetention
	if e.w.rules.DeleteCancellationsAtOnce {
		retention = -1
	}
	records = append(records, e.unmatched.Expired(e.clock(), &e.jobs, retention, maxForgottenJobs)...)
	if len(records) == 0 {
		then()
		return
	}
	a := store.AppendRequest{Topic: store.TopicIntake, Records: records, ExpectedEnd: e.nextOffset[0], CheckEnd: true}
	e.callStore(func(c *store.Client) error {
		_, err := c.Append(context.Background(), a)
		return err
	}, func(time.Time, error) { then() })
}
