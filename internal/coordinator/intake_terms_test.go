package coordinator

import (
	"context"
	"net"
	"testing"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// tellSubmission has another entry tell c of a submission that it has stored.
func tellSubmission(t *testing.T, c *Coordinator, m *peer.SubmissionStored) {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() { _ = here.Close(); _ = there.Close() })
	hello := &peer.Hello{Role: peer.RoleEntry, Name: "entry-b", PeerAddress: "b"}
	c.handleEntryMessage(context.Background(), peer.NewConn(here), hello, &peer.Message{SubmissionStored: m})
}

// startsWith has a worker report to the dispatcher's term and returns the number of tasks that are started then.
func startsWith(c *Coordinator, current *term, workerName string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	current.applyReport(now, c, reportOf(workerName))
	return len(current.scheduler.Decide(now, clock.WallMS()).Starts())
}

// The term of a submission counts in the same way whether the dispatcher reads the submission or is told of it.
func TestToldJobsOfOtherTerms(t *testing.T) {
	for _, tc := range []struct {
		name       string
		term       uint64
		starts     int
		dispatches bool
	}{{"of this term", 5, 1, true}, {"of an earlier term", 4, 0, true}, {"of a later term", 6, 0, false}} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			c, current := newDispatcher(t, s)
			sub := submission("a")
			sub.Term = tc.term
			mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, sub)}})
			tellSubmission(t, c, &peer.SubmissionStored{Submission: *sub})
			if got := c.term != nil; got != tc.dispatches {
				t.Errorf("dispatches: got %v, want %v", got, tc.dispatches)
			}
			if err := c.catchUp(context.Background()); err != nil {
				t.Fatal(err)
			}
			if got := startsWith(c, current, "w1"); got != tc.starts {
				t.Errorf("starts: got %d, want %d", got, tc.starts)
			}
		})
	}
}

// An entry that becomes the dispatcher while it stores a submission must take it for one of an earlier term:
// the dispatcher before may have started it.
func TestDispatcherSinceSubmission(t *testing.T) {
	s := &standin.Store{}
	c := newTestEntry(t, "entry-a", s)
	c.candidate.ObserveClaim(clock.Steady(), leadership.Claim{Term: ownTerm - 1, Entry: "entry-b"})
	_, current := newDispatcher(t, s)
	stored := make(chan struct{})
	c.group.Go(func() {
		defer close(stored)
		i := <-c.intake
		_, err := c.store.Append(context.Background(), store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{i.record}})
		c.mu.Lock()
		c.candidate.ObserveClaim(clock.Steady(), leadership.Claim{Term: ownTerm, Entry: "entry-a"})
		c.term = current
		c.mu.Unlock()
		i.done <- err
	})
	if err := c.Submit(context.Background(), submission("a")); err != nil {
		t.Fatal(err)
	}
	<-stored
	if err := c.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		worker string
		starts int
	}{{"w1", 0}, {"unheard", 1}} {
		if got := startsWith(c, current, step.worker); got != step.starts {
			t.Errorf("starts after the report of %s: got %d, want %d", step.worker, got, step.starts)
		}
	}
}
