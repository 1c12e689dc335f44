package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// partialOutage is a way in which a part of the store fails.
type partialOutage struct {
	// Topic is the topic that fails.
	Topic store.Topic `json:"topic"`
	// Appends is the number of appends of records to it that still succeed.
	Appends int `json:"appends"`
	// Lost is set if appends are carried out without an answer, rather than refused.
	Lost bool `json:"lost"`
}

// failPart has appends of records to a topic fail in the way of o.
func failPart(c *Coordinator, o partialOutage) {
	appendTo, left := c.store.Append, o.Appends
	c.store.Append = func(ctx context.Context, a store.AppendRequest) (uint64, error) {
		if a.Topic != o.Topic || len(a.Records) == 0 {
			return appendTo(ctx, a)
		}
		if left--; left >= 0 {
			return appendTo(ctx, a)
		}
		if !o.Lost {
			return 0, store.ErrRefused
		}
		if _, err := appendTo(ctx, a); err != nil {
			return 0, err
		}
		return 0, store.ErrOutcomeUnknown
	}
}

// forgetRounds has the dispatcher c forget the jobs that it need not keep any more, as often as it does within some seconds.
func forgetRounds(t *testing.T, c *Coordinator) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*progressRetryDelay)
	defer cancel()
	for range 6 {
		c.mu.Lock()
		c.term.lastExpiry, c.term.lastIntakeDeletion, c.term.renewalDue = time.Time{}, time.Time{}, true
		current := c.term
		c.mu.Unlock()
		c.flush(ctx, current)
		if ctx.Err() != nil {
			return
		}
		if err := c.catchUp(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.deleteUnneededIntake(context.Background(), clock.Steady())
	}
}

// configureQueue gives an entry the configuration of the queue of test jobs.
func configureQueue(c *Coordinator) {
	c.config = &Config{Version: 1, Routes: []Route{{Name: "plans", Queue: dispatch.Queue{Service: "bench", FailedRunLimit: 2}}}}
}

// storeCompletedJob stores a job a that is completed, and the cancellation of another job.
func storeCompletedJob(t *testing.T, s *standin.Store) {
	t.Helper()
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{
		mustSubmissionRecord(t, submission("a")), workflow.CancellationRecord("other"),
	}})
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicProgress, Records: []store.Record{
		mustProgressRecord(t, "a", &workflow.Progress{Phase: workflow.PhaseCompleted}),
	}})
}

// submitAgain stores a job a that is handed in after the first one was forgotten.
func submitAgain(t *testing.T, s *standin.Store) {
	t.Helper()
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, submission("a"))}})
}

// startsInNextTerm returns what an entry starts as the next dispatcher once a worker has reported.
func startsInNextTerm(t *testing.T, c *Coordinator) []dispatch.Start {
	t.Helper()
	becomeDispatcher(t.Context(), t, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	c.term.applyReport(now, c, reportOf("w1"))
	return c.term.scheduler.Decide(now, clock.WallMS()).Starts()
}

// inPartCase is a case of testdata/deleted_in_part.json.
type inPartCase struct {
	Name   string        `json:"name"`
	Outage partialOutage `json:"outage"`
	// Kept is set if not even the first step of forgetting the job is stored.
	Kept bool `json:"kept"`
}

// forgetInPart has a dispatcher forget a completed job while a part of the store fails. It returns an entry that has
// followed all along, and one that has read nothing.
func forgetInPart(t *testing.T, s *standin.Store, o partialOutage) (follower, fresh *Coordinator) {
	t.Helper()
	a := newTestEntry(t, "entry-a", s)
	follower, fresh = newTestEntry(t, "entry-b", s), newTestEntry(t, "entry-c", s)
	for _, c := range []*Coordinator{a, follower, fresh} {
		configureQueue(c)
	}
	storeCompletedJob(t, s)
	becomeDispatcher(t.Context(), t, a)
	a.term.lastExpiry, a.term.renewalDue = clock.Steady(), true
	a.flush(context.Background(), a.term) // what is stored at the beginning of a term
	for _, c := range []*Coordinator{a, follower} {
		if err := c.catchUp(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	failPart(a, o)
	forgetRounds(t, a)
	return follower, fresh
}

// eachInPart runs fn for each case of testdata/deleted_in_part.json.
func eachInPart(t *testing.T, fn func(t *testing.T, tc inPartCase)) {
	t.Helper()
	var cases []inPartCase
	readCases(t, "testdata/deleted_in_part.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			fn(t, tc)
		})
	}
}

// A completed job whose records are deleted only in part must not run a second time: another process takes what is left
// of it for a new job.
func TestJobDeletedInPartIsNotStartedAgain(t *testing.T) {
	eachInPart(t, func(t *testing.T, tc inPartCase) {
		t.Helper()
		follower, fresh := forgetInPart(t, &standin.Store{}, tc.Outage)
		for _, c := range []*Coordinator{follower, fresh} {
			if got := startsInNextTerm(t, c); len(got) > 0 {
				t.Errorf("started by %s: got %v, want nothing", c.settings.Name, got)
			}
		}
	})
}

// A job that is handed in under the ID of a forgotten one must run, whatever is left of the forgotten one.
func TestForgottenJobDoesNotStandForALaterOne(t *testing.T) {
	eachInPart(t, func(t *testing.T, tc inPartCase) {
		t.Helper()
		s := &standin.Store{}
		follower, fresh := forgetInPart(t, s, tc.Outage)
		submitAgain(t, s)
		want := 1
		if tc.Kept {
			want = 0 // it is the same job still
		}
		for _, c := range []*Coordinator{follower, fresh} {
			if got := len(startsInNextTerm(t, c)); got != want {
				t.Errorf("tasks started by %s: got %d, want %d", c.settings.Name, got, want)
			}
			if phase, err := c.Phase(context.Background(), "a"); err != nil || phase.Ended() != tc.Kept {
				t.Errorf("phase at %s: got %s, %v; ended: want %v", c.settings.Name, phase, err, tc.Kept)
			}
		}
	})
}

// A deletion that the store carries out late must not delete a job that was handed in under the same ID meanwhile.
func TestLateDeletionSparesALaterJob(t *testing.T) {
	s := &standin.Store{}
	a, b := newTestEntry(t, "entry-a", s), newTestEntry(t, "entry-b", s)
	configureQueue(a)
	configureQueue(b)
	storeCompletedJob(t, s)
	becomeDispatcher(t.Context(), t, a)
	appendTo, late := a.store.Append, []store.AppendRequest(nil)
	a.store.Append = func(ctx context.Context, r store.AppendRequest) (uint64, error) {
		for i := range r.Records {
			if len(r.Records[i].Value) == 0 && len(late) == 0 {
				late = append(late, r)
				return 0, store.ErrOutcomeUnknown
			}
		}
		return appendTo(ctx, r)
	}
	forgetRounds(t, a)
	if len(late) != 1 {
		t.Fatalf("deletions without an answer: got %d, want 1", len(late))
	}
	submitAgain(t, s)
	if _, err := appendTo(context.Background(), late[0]); err == nil {
		t.Error("late deletion: got it carried out, want it refused")
	}
	if got := len(startsInNextTerm(t, b)); got != 1 {
		t.Errorf("tasks started: got %d, want 1", got)
	}
}

// A deletion that failed is repeated, also by a later dispatcher, until the store holds nothing of the job.
func TestForgottenJobLeavesNothing(t *testing.T) {
	eachInPart(t, func(t *testing.T, tc inPartCase) {
		t.Helper()
		s := &standin.Store{}
		_, b := forgetInPart(t, s, tc.Outage)
		becomeDispatcher(t.Context(), t, b)
		forgetRounds(t, b)
		client := s.Client()
		for _, topic := range jobTopics {
			records, _, err := client.AllNewest(context.Background(), topic)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range records {
				if id, _ := workflow.JobOfRecord(r.Record); id == "a" {
					t.Errorf("left in the topic %s: got %s, want nothing of the job", topic, r.Key)
				}
			}
		}
		if _, known := b.jobs.Job("a"); known {
			t.Error("the job is known: got true, want false")
		}
	})
}

// A jump of the wall clock must not shorten the time for which an ended job can be queried, nor may a submission that
// has not been read yet be taken for a new job.
func TestRetentionIsNotThatOfTheWallClock(t *testing.T) {
	for _, tc := range []struct {
		name string
		// readAge is how long ago submissions were last read, age how long ago the job became known as ended.
		readAge, age time.Duration
		want         bool
	}{
		{"within its retention", 0, 119 * time.Second, false},
		{"after its retention", 0, 121 * time.Second, true},
		{"submissions were last read within its retention", 2 * time.Second, 121 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			c := newTestEntry(t, "entry-a", s)
			c.settings.JobRetention = 120 * time.Second
			storeCompletedJob(t, s) // its end has no wall time, as if the clock had jumped
			becomeDispatcher(t.Context(), t, c)
			now := clock.Steady()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.term.scheduler.Drop("a")
			j, _ := c.jobs.Job("a")
			c.term.scheduler.Admit(now.Add(-tc.age), clock.WallMS(), j.Submission(), j.Progress(), true)
			c.tails[intakeIndex].caughtUpAt = now.Add(-tc.readAge)
			f := c.takeForgetting(c.term, c.term.scheduler.TakeChange())
			if got := len(f.jobs) == 1; got != tc.want {
				t.Errorf("forgotten: got %v, want %v", got, tc.want)
			}
		})
	}
}

// A job whose submission this dispatcher was only told of must not be forgotten: the record that forgets it could not
// name its submission.
func TestUnreadJobIsNotForgotten(t *testing.T) {
	s := &standin.Store{}
	c := newTestEntry(t, "entry-a", s)
	becomeDispatcher(t.Context(), t, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	c.term.admitTold(now.Add(-time.Hour), c, submission("a"))
	c.term.scheduler.Cancel(now.Add(-time.Hour), clock.WallMS(), "a")
	if f := c.takeForgetting(c.term, c.term.scheduler.TakeChange()); len(f.jobs) > 0 {
		t.Errorf("forgotten: got %v, want nothing", f.jobs)
	}
	if f := c.takeForgetting(c.term, &dispatch.Change{}); len(f.jobs) > 0 {
		t.Errorf("forgotten after its end was stored: got %v, want nothing", f.jobs)
	}
}

// An entry that begins a term after a later one has begun must not take progress of the later one for what is left of
// forgotten jobs: it has not read the submissions.
func TestProgressOfALaterTermIsNotTakenForLeftOver(t *testing.T) {
	t.Parallel()
	s := &standin.Store{}
	c := newTestEntry(t, "entry-a", s)
	configureQueue(c)
	ctx := t.Context()
	if err := c.catchUp(ctx); err != nil {
		t.Fatal(err)
	}
	half := submission("half")
	half.Spec.Steps[0].Count = 2
	one := workflow.DoneTasks{}
	one.Mark(0)
	delayNextRead(c, store.TopicIntake, func() {
		mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, half)}})
		mustAppend(t, s, store.AppendRequest{Topic: store.TopicProgress, Term: laterTerm, Seq: 1, Records: []store.Record{
			mustProgressRecord(t, "half", &workflow.Progress{Phase: workflow.PhaseRunning, Done: []workflow.DoneTasks{one}}),
		}})
	})
	becomeDispatcher(ctx, t, c)
	c.resign(c.term, "test")
	for range laterTerm {
		appendClaim(t, s, leadership.Claim{Entry: "entry-b", Incarnation: 7})
	}
	starts := startsInNextTerm(t, c)
	if len(starts) != 1 || starts[0].Task != (workflow.TaskID{Job: "half", Index: 1}) {
		t.Errorf("started: got %v, want only the task that is not done", starts)
	}
}

// An entry that finds that the store has dropped the records between must not keep what was deleted by them: a job that
// was handed in again would be taken for the one before.
func TestRereadTakesInDeletions(t *testing.T) {
	for _, tc := range []struct {
		name  string
		again bool
		want  error
	}{{"a forgotten job", false, ErrJobNotFound}, {"a job handed in again", true, nil}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := &standin.Store{}
			follower, _ := forgetInPart(t, s, partialOutage{})
			if tc.again {
				submitAgain(t, s)
			}
			s.Trim()
			for range 2 {
				if err := follower.catchUp(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if phase, err := follower.Phase(t.Context(), "a"); !errors.Is(err, tc.want) || phase.Ended() {
				t.Errorf("phase: got %s, %v, want one that has not ended, %v", phase, err, tc.want)
			}
		})
	}
}
