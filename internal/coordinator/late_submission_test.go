package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// lateSubmission plays the steps of a case of testdata/late_submissions.json, which concern the job a.
type lateSubmission struct {
	store             *standin.Store
	dispatcher, other *Coordinator
	submission        *workflow.Submission
}

func newLateSubmission(t *testing.T) *lateSubmission {
	t.Helper()
	s := &standin.Store{}
	p := &lateSubmission{store: s, dispatcher: newTestEntry(t, "entry-a", s), other: newTestEntry(t, "entry-b", s), submission: submission("a")}
	for _, c := range []*Coordinator{p.dispatcher, p.other} {
		configureQueue(c)
		writeIntakeUntilDone(t, c)
	}
	becomeDispatcher(t.Context(), t, p.dispatcher)
	p.submission.Term = p.dispatcher.term.number
	p.report()
	return p
}

// report has a worker report to the dispatcher.
func (p *lateSubmission) report() {
	c := p.dispatcher
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term.applyReport(clock.Steady(), c, reportOf("w1"))
}

func (p *lateSubmission) play(t *testing.T, step string) {
	t.Helper()
	ctx, c := t.Context(), p.dispatcher
	var err error
	switch step {
	case "submission without an answer": // nothing is stored yet
	case "submission carried out late":
		mustAppend(t, p.store, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, p.submission)}})
	case "submission at another entry":
		err = p.other.Submit(ctx, p.submission)
	case "cancellation at another entry":
		p.cancel(t, p.other)
	case "cancellation at the dispatcher":
		p.cancel(t, c)
	case "dispatcher reads":
		err = c.catchUp(ctx)
		c.observeUnmatched(clock.Steady())
	case "dispatcher is told of the submission":
		c.admitStored(clock.Steady(), &peer.SubmissionStored{Submission: *p.submission})
	case "dispatcher is told of the cancellation":
		c.cancelStored(clock.Steady(), "a")
		select {
		case <-c.wakeTail:
			err = c.catchUp(ctx)
		default:
		}
	case "change of dispatcher":
		c.resign(c.term, "test")
		p.dispatcher, p.other = p.other, c
		becomeDispatcher(ctx, t, p.dispatcher)
		p.report()
	case "history is dropped":
		p.store.Trim()
	case "retention passes":
		c.unmatched = unmatchedCancellations{}
		c.observeUnmatched(clock.Steady().Add(-unmatchedRetention - time.Second))
	case "unneeded records are deleted":
		c.deleteUnneededIntake(ctx, clock.Steady())
	default:
		t.Fatalf("unknown step %q", step)
	}
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

// cancel cancels the job at an entry that does not know it.
func (p *lateSubmission) cancel(t *testing.T, c *Coordinator) {
	t.Helper()
	if err := c.Cancel(t.Context(), "a"); !errors.Is(err, ErrJobNotFound) {
		t.Fatalf("cancellation: got %v, want %v", err, ErrJobNotFound)
	}
}

// A job whose cancellation was acknowledged must not start, although its submission is stored only afterwards.
func TestCancelledJobStartsNoTaskWhenItsSubmissionIsStoredLate(t *testing.T) {
	var cases []struct {
		Name  string   `json:"name"`
		Steps []string `json:"steps"`
	}
	readCases(t, "testdata/late_submissions.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			p := newLateSubmission(t)
			for _, step := range tc.Steps {
				p.play(t, step)
			}
			c := p.dispatcher
			c.mu.Lock()
			starts := c.term.scheduler.Decide(clock.Steady(), clock.WallMS()).Starts()
			c.mu.Unlock()
			if len(starts) > 0 {
				t.Errorf("started: got %v, want nothing", starts)
			}
			p.play(t, "dispatcher reads")
			if phase, known := c.storedPhase("a"); !known || phase != workflow.PhaseCancelled {
				t.Errorf("phase: got %s, known %v, want %s", phase, known, workflow.PhaseCancelled)
			}
		})
	}
}

// Cancellations of jobs that do not exist must not fill the store, nor cancel jobs that are submitted long afterwards.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	p := newLateSubmission(t)
	p.play(t, "cancellation at another entry")
	p.play(t, "dispatcher reads")
	p.play(t, "unneeded records are deleted")
	p.play(t, "dispatcher reads")
	if got, want := p.dispatcher.jobs.CountUnmatched(), 1; got != want {
		t.Errorf("cancellations within their retention: got %d, want %d", got, want)
	}
	p.play(t, "retention passes")
	p.play(t, "unneeded records are deleted")
	p.play(t, "dispatcher reads")
	if got, want := p.dispatcher.jobs.CountUnmatched(), 0; got != want {
		t.Errorf("cancellations after their retention: got %d, want %d", got, want)
	}
	p.play(t, "submission at another entry")
	p.play(t, "dispatcher reads")
	if phase, known := p.dispatcher.storedPhase("a"); !known || phase != workflow.PhaseQueued {
		t.Errorf("phase of a later job: got %s, known %v, want %s", phase, known, workflow.PhaseQueued)
	}
}

// A cancellation that cannot be kept must be refused, not acknowledged.
func TestCancellationsOfUnknownJobsAreRefusedAtTheirLimit(t *testing.T) {
	p := newLateSubmission(t)
	p.play(t, "cancellation at another entry")
	records := make([]store.Record, 0, maxUnmatchedCancellations)
	for i := range maxUnmatchedCancellations {
		records = append(records, workflow.CancellationRecord(fmt.Sprintf("unknown-%d", i)))
	}
	mustAppend(t, p.store, store.AppendRequest{Topic: store.TopicIntake, Records: records})
	if err := p.other.Cancel(t.Context(), "b"); !errors.Is(err, ErrRefused) {
		t.Errorf("cancellation beyond the limit: got %v, want %v", err, ErrRefused)
	}
	p.cancel(t, p.other) // it replaces the one before
	if err := p.other.Submit(t.Context(), submission("known")); err != nil {
		t.Fatal(err)
	}
	if err := p.other.Cancel(t.Context(), "known"); err != nil {
		t.Errorf("cancellation of a known job: got %v, want it stored", err)
	}
}

// A deletion of a cancellation that the store carries out late must not delete a later one.
func TestLateDeletionSparesALaterCancellation(t *testing.T) {
	p := newLateSubmission(t)
	p.play(t, "cancellation at another entry")
	p.play(t, "dispatcher reads")
	p.play(t, "retention passes")
	c := p.dispatcher
	appendTo, late := c.store.Append, []store.AppendRequest(nil)
	c.store.Append = func(_ context.Context, r store.AppendRequest) (uint64, error) {
		late = append(late, r)
		return 0, store.ErrOutcomeUnknown
	}
	p.play(t, "unneeded records are deleted")
	if len(late) != 1 {
		t.Fatalf("deletions without an answer: got %d, want 1", len(late))
	}
	p.play(t, "cancellation at another entry")
	if _, err := appendTo(t.Context(), late[0]); !errors.Is(err, store.ErrEndMismatch) {
		t.Errorf("late deletion: got %v, want %v", err, store.ErrEndMismatch)
	}
}
