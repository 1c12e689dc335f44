package coordinator

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// delayNextRead has the next read of a topic return what it read only after meanwhile has run.
func delayNextRead(c *Coordinator, topic store.Topic, meanwhile func()) {
	read, delayed := c.store.Read, false
	c.store.Read = func(ctx context.Context, tp store.Topic, from uint64, maxWait time.Duration) (*store.Page, error) {
		page, err := read(ctx, tp, from, maxWait)
		if tp == topic && !delayed {
			delayed = true
			meanwhile()
		}
		return page, err
	}
}

func mustSubmissionRecord(t *testing.T, sub *workflow.Submission) store.Record {
	t.Helper()
	r, err := workflow.SubmissionRecord(sub)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mustProgressRecord(t *testing.T, id string, p *workflow.Progress) store.Record {
	t.Helper()
	r, err := workflow.ProgressRecord(id, p)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A read that is answered late must not take back what a later read or an append of this entry has shown.
func TestLateReadTakesNothingBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		// show lets c know records that its current term t has stored.
		show func(ctx context.Context, c *Coordinator, t *term, records []store.Record) error
	}{
		{"after another goroutine has read", func(ctx context.Context, c *Coordinator, _ *term, _ []store.Record) error { return c.catchUp(ctx) }},
		{"after this entry has stored", func(_ context.Context, c *Coordinator, t *term, records []store.Record) error {
			c.changeStored(t, &dispatch.Change{}, records)
			return nil
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			c := newTestEntry(t, "entry-a", s)
			c.config = &Config{Version: 1, Routes: []Route{{Name: "plans", Queue: dispatch.Queue{Service: "bench", FailedRunLimit: 2}}}}
			ctx := context.Background()
			if err := c.claim(ctx, "test"); err != nil {
				t.Fatal(err)
			}
			ended, half := submission("ended"), submission("half")
			half.Spec.Steps[0].Count = 2
			mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, ended), mustSubmissionRecord(t, half)}})
			first := c.term
			running := &workflow.Progress{Phase: workflow.PhaseRunning}
			older := []store.Record{mustProgressRecord(t, "ended", running), mustProgressRecord(t, "half", running), {Key: interferenceKey, Value: []byte{0x80}}}
			one := workflow.DoneTasks{}
			one.Mark(0)
			learned := []byte{0x9f, 0xff}
			newer := []store.Record{
				mustProgressRecord(t, "ended", &workflow.Progress{Phase: workflow.PhaseCompleted}),
				mustProgressRecord(t, "half", &workflow.Progress{Phase: workflow.PhaseRunning, Done: []workflow.DoneTasks{one}}),
				{Key: interferenceKey, Value: learned},
			}
			if !c.appendProgress(ctx, first, older, false) {
				t.Fatal("the earlier progress: got it refused, want it stored")
			}
			delayNextRead(c, store.TopicProgress, func() {
				if !c.appendProgress(ctx, first, newer, false) {
					t.Error("the later progress: got it refused, want it stored")
				}
				if err := tc.show(ctx, c, first, newer); err != nil {
					t.Error(err)
				}
			})
			if err := c.catchUp(ctx); err != nil {
				t.Fatal(err)
			}
			c.resign(first, "test")
			if got, err := c.Phase(ctx, "ended"); err != nil || got != workflow.PhaseCompleted {
				t.Errorf("phase of the job that has ended: got %s, %v, want %s", got, err, workflow.PhaseCompleted)
			}
			if err := c.claim(ctx, "test"); err != nil {
				t.Fatal(err)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if !bytes.Equal(c.storedInterference, learned) {
				t.Errorf("interference: got %x, want %x", c.storedInterference, learned)
			}
			now := clock.Steady()
			c.term.applyReport(now, c, reportOf("w1"))
			starts := c.term.scheduler.Decide(now, clock.WallMS()).Starts()
			if len(starts) != 1 || starts[0].Task != (workflow.TaskID{Job: "half", Index: 1}) {
				t.Errorf("started in the next term: got %v, want only the task that is not done", starts)
			}
		})
	}
}

// A read that is answered late must not bring back a job that has been deleted since.
func TestLateReadRestoresNoDeletedJob(t *testing.T) {
	s := &standin.Store{}
	c := newTestEntry(t, "entry-a", s)
	ctx := context.Background()
	if err := c.catchUp(ctx); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, submission("a"))}})
	delayNextRead(c, store.TopicIntake, func() {
		_, deletion := workflow.TombstoneRecords("a")
		mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: deletion})
		if err := c.catchUp(ctx); err != nil {
			t.Error(err)
		}
	})
	if err := c.catchUp(ctx); err != nil {
		t.Fatal(err)
	}
	if _, got := c.Phase(ctx, "a"); !errors.Is(got, ErrJobNotFound) {
		t.Errorf("phase of the deleted job: got %v, want %v", got, ErrJobNotFound)
	}
}

// An append that is answered only when it is repeated has the offsets of its first attempt, whatever has
// been written between the two.
func TestRepeatedAppendKeepsItsOffsets(t *testing.T) {
	s := &standin.Store{}
	c := newTestEntry(t, "entry-a", s)
	ctx := context.Background()
	if err := c.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, submission("a"))}})
	completed := mustProgressRecord(t, "a", &workflow.Progress{Phase: workflow.PhaseCompleted})
	appendTo, lost := c.store.Append, false
	c.store.Append = func(ctx context.Context, a store.AppendRequest) (uint64, error) {
		end, err := appendTo(ctx, a)
		if !lost {
			lost = true
			mustAppend(t, s, store.AppendRequest{Topic: store.TopicProgress, Records: []store.Record{{Key: "p/b"}, completed}})
			return 0, store.ErrOutcomeUnknown
		}
		return end, err
	}
	records := []store.Record{mustProgressRecord(t, "a", &workflow.Progress{Phase: workflow.PhaseRunning})}
	if !c.appendProgress(ctx, c.term, records, false) {
		t.Fatal("progress: got it refused, want it stored")
	}
	if err := c.catchUp(ctx); err != nil {
		t.Fatal(err)
	}
	c.changeStored(c.term, &dispatch.Change{}, records)
	if got, err := c.Phase(ctx, "a"); err != nil || got != workflow.PhaseCompleted {
		t.Errorf("phase: got %s, %v, want %s", got, err, workflow.PhaseCompleted)
	}
}
