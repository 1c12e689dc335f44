package runneragent

import (
	"context"
	"slices"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// A start that was sent to an earlier life of the runner is fenced in the next life
// before the next life is reported. A life is the time between two restarts.
func TestNewLifeFencesUnresolvedStarts(t *testing.T) {
	s := newFixture(t)
	s.agent.mu.Lock()
	s.agent.unlistedStarts[runKey{task, 2}] = &dispatch.Start{Task: task, Run: 2}
	s.agent.mu.Unlock()
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if m.Report.Worker.Life != 8 || len(m.Report.Runs) != 0 {
		t.Errorf("report: got %+v, want life 8 without runs", m.Report)
	}
	s.agent.group.Wait()
	if !slices.Contains(s.runner.fenced, runKey{task, 2}) {
		t.Errorf("fenced: got %v, want run 2 of %s", s.runner.fenced, task)
	}
}

// A start, too, asks the runner for a run lease: the worker must not be reported as empty
// before that lease has expired.
func TestStartExtendsTheLease(t *testing.T) {
	s := newFixture(t)
	s.agent.mu.Lock()
	s.agent.lastRunLeaseEnd = clock.Steady().Add(-time.Minute)
	s.agent.mu.Unlock()
	s.agent.handleOrders(context.Background(), &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: 7, Task: workflow.TaskID{Job: "a"}, Run: 1}}})
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	if got := s.agent.allRunsEnded(ErrNoAnswer); got {
		t.Error("all runs ended while the lease of a start lasts: got true, want false")
	}
}

// A poll that may reach another life of the runner, perhaps with the same instance
// ID, renews no lease and acknowledges no run end.
func TestPollOfUncertainLifeRenewsNothing(t *testing.T) {
	s := newFixture(t)
	s.agent.mu.Lock()
	s.agent.sameLifeUntil, s.agent.lastAckedEnd = time.Time{}, 4
	s.agent.mu.Unlock()
	for i, want := range []bool{false, true} {
		if err := s.agent.poll(context.Background(), 0); err != nil {
			t.Fatal(err)
		}
		s.runner.mu.Lock()
		h := s.runner.renewals[len(s.runner.renewals)-1]
		s.runner.mu.Unlock()
		if got := h.LeaseEndMS > 0; got != want {
			t.Errorf("poll %d renews a lease: got %v, want %v", i, got, want)
		}
		if got := h.LastAckedEnd > 0; got != want {
			t.Errorf("poll %d acknowledges run ends: got %v, want %v", i, got, want)
		}
	}
}

// A start without an answer may take effect in another life of the runner with the
// same instance ID. The agent reports the other life only once the start is fenced in it.
func TestUnansweredStartIsFencedInTheNextLife(t *testing.T) {
	s := newFixture(t)
	k := runKey{workflow.TaskID{Job: "a"}, 1}
	s.agent.mu.Lock()
	s.agent.unansweredStarts[k] = clock.Steady().Add(time.Minute)
	answered := runKey{workflow.TaskID{Job: "b"}, 1} // either life may have answered it
	s.agent.unlistedStarts[answered] = &dispatch.Start{Task: answered.task, Run: 1}
	s.agent.mu.Unlock()
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 5, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	m := <-s.received
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	if m.Report == nil || m.Report.Worker.Life != 8 || !slices.Contains(s.runner.fenced, k) || !slices.Contains(s.runner.fenced, answered) {
		t.Errorf("got %+v with %v fenced, want a report of life 8 after %v and %v were fenced", m, s.runner.fenced, k, answered)
	}
}

// A runner that may have restarted gets no acknowledgement, since its run ends are
// numbered from the beginning.
func TestAcknowledgementIsOnlyForTheSameLife(t *testing.T) {
	s := newFixture(t)
	s.agent.handleAck(&peer.RunEndsAck{Life: 7, LastAckedEnd: 57})
	last := func() uint64 {
		s.runner.mu.Lock()
		defer s.runner.mu.Unlock()
		return s.runner.renewals[len(s.runner.renewals)-1].LastAckedEnd
	}
	poll := func(gone bool) {
		s.runner.mu.Lock()
		s.runner.gone = gone
		s.runner.mu.Unlock()
		if err := s.agent.poll(context.Background(), 0); (err != nil) != gone {
			t.Fatalf("poll: got %v, want an error: %v", err, gone)
		}
	}
	for _, tc := range []struct {
		name string
		gone bool
		want uint64
	}{
		{"right after a listing", false, 57}, {"a call that fails", true, 57}, {"after a failure", false, 0}, {"after another listing", false, 57},
	} {
		poll(tc.gone)
		if got := last(); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
	s.agent.mu.Lock()
	s.agent.sameLifeUntil = clock.Steady().Add(-time.Millisecond)
	s.agent.mu.Unlock()
	poll(false)
	if got := last(); got != 0 {
		t.Errorf("long after a listing: got %d, want 0", got)
	}
}

// A start that an earlier life may have received can take effect in the present life until it is fenced.
func TestStopForAnEarlierLifeDoesNotRefuseAStartBeforeItIsFenced(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.startErr, s.runner.stopErr = ErrNoAnswer, ErrNoAnswer
	s.runner.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.handleOrders(ctx, startOrders(3))
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if err := s.agent.poll(ctx, 0); err != nil {
		t.Fatal(err)
	}
	s.agent.handleOrders(ctx, &peer.Orders{Term: 3, Stops: []dispatch.Stop{{Worker: "w1", Life: 7, Task: task, Run: 2}}})
	for _, m := range s.sentSoFar(t, isRefusal) {
		t.Errorf("before the start is fenced: got %+v, want no refusal", m.OrderRefused)
	}
}

// A poll that failed before the runner's next life was reported says nothing about that life.
func TestPollThatFailedBeforeANewLifeDoesNotReportItEmpty(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.beforeFailure = func() {
		s.runner.mu.Lock()
		s.runner.gone, s.runner.beforeFailure, s.runner.listing = false, nil, Listing{ClockMS: 1, StartedAtMS: 8}
		s.runner.mu.Unlock()
		if err := s.agent.poll(context.Background(), 0); err != nil {
			t.Error(err)
		}
	}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err == nil {
		t.Fatal("got no error, want one")
	}
	var lives []uint64
	for _, m := range s.sentSoFar(t, isReport) {
		lives = append(lives, m.Report.Worker.Life)
	}
	if !slices.Equal(lives, []uint64{8}) {
		t.Errorf("lives reported: got %v, want [8]", lives)
	}
}
