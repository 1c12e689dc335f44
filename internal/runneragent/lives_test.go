package runneragent

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// holdStops makes the runner's answers to stops wait until the returned function is called.
func (s *fixture) holdStops() (release func()) {
	held := make(chan struct{})
	s.agent.runner.Stop = func(ctx context.Context, c Call, task workflow.TaskID, run uint64) error {
		<-held
		if err := ctx.Err(); err != nil {
			return err
		}
		return s.runner.stop(ctx, c, task, run)
	}
	return func() { close(held) }
}

// restartRunner makes the runner list life 8, and the agent poll it.
func (s *fixture) restartRunner(t *testing.T) {
	t.Helper()
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	s.poll(t)
}

// listEnd makes the runner list a run end from then on, and the agent poll it.
func (s *fixture) listEnd(t *testing.T, number uint64) {
	t.Helper()
	s.runner.mu.Lock()
	s.runner.listing.RunEnds = []dispatch.RunEnd{{Number: number, Task: task, Run: 1, How: dispatch.OutcomeDone}}
	s.runner.mu.Unlock()
	s.poll(t)
}

// A start that was sent to an earlier life of the runner is pending in the report of the next life, and
// is refused in that life once it is fenced and not before. A life is the time between two restarts.
func TestNewLifeFencesUnresolvedStarts(t *testing.T) {
	s := newFixture(t)
	release := s.holdStops()
	s.agent.mu.Lock()
	s.agent.unlistedStarts[runKey{task, 2}] = &dispatch.Start{Task: task, Run: 2}
	s.agent.mu.Unlock()
	s.restartRunner(t)
	m := s.next(t, isReport)
	if runs := m.Report.Runs; m.Report.Worker.Life != 8 || len(runs) != 1 || runs[0].Task != task || runs[0].Run != 2 || !runs[0].Pending {
		t.Errorf("report: got %+v, want life 8 with run 2 of %s pending", m.Report, task)
	}
	if got := s.sentSoFar(t, isRefusal); len(got) != 0 {
		t.Errorf("refusals before the fence: got %v, want none", got)
	}
	release()
	s.agent.group.Wait()
	got := s.sentSoFar(t, isRefusal)
	if len(got) != 1 || got[0].OrderRefused.Life != 8 || got[0].OrderRefused.Task != task || got[0].OrderRefused.Run != 2 {
		t.Errorf("refusals: got %v, want one of run 2 of %s in life 8", got, task)
	}
	if !slices.Contains(s.runner.fenced, runKey{task, 2}) {
		t.Errorf("fenced: got %v, want run 2 of %s", s.runner.fenced, task)
	}
}

// Another dispatcher, too, is told of a start that is not fenced yet.
func TestUnfencedStartIsPendingInLaterReports(t *testing.T) {
	s := newFixture(t)
	release := s.holdStops()
	s.agent.mu.Lock()
	s.agent.unlistedStarts[runKey{task, 2}] = &dispatch.Start{Task: task, Run: 2}
	s.agent.mu.Unlock()
	s.restartRunner(t)
	s.next(t, isReport)
	s.agent.mu.Lock()
	s.agent.sendFirstReport(clock.Steady(), runnerAnswers)
	s.agent.mu.Unlock()
	if runs := s.next(t, isReport).Report.Runs; len(runs) != 1 || !runs[0].Pending {
		t.Errorf("runs before the fence: got %v, want run 2 pending", runs)
	}
	release()
	s.agent.group.Wait()
	s.agent.mu.Lock()
	s.agent.sendFirstReport(clock.Steady(), runnerAnswers)
	s.agent.mu.Unlock()
	if runs := s.next(t, isReport).Report.Runs; len(runs) != 0 {
		t.Errorf("runs after the fence: got %v, want none", runs)
	}
}

// A start is fenced although the connection ends on which the restart was found.
func TestStartIsFencedAfterTheConnectionEnds(t *testing.T) {
	s := newFixture(t)
	var group sync.WaitGroup
	entry := startEntry(t, &group, func() *peer.Welcome { return &peer.Welcome{Name: "a", NewestTerm: 4, IsDispatcher: true} }, &peer.Message{Resigned: &peer.Resigned{Term: 4}})
	renewed, release := make(chan struct{}, 64), s.holdStops()
	s.agent.runner.Renew = func(ctx context.Context, r RenewRequest) (*Listing, error) {
		renewed <- struct{}{}
		return s.runner.renew(ctx, r)
	}
	s.agent.mu.Lock()
	s.agent.unlistedStarts[runKey{task, 2}] = &dispatch.Start{Task: task, Run: 2}
	s.agent.mu.Unlock()
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if _, stayed := s.agent.tryEntry(context.Background(), entry.address); !stayed {
		t.Fatal("connection to the dispatcher: got none, want one")
	}
	<-renewed
	release()
	s.agent.group.Wait()
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	if !slices.Contains(s.runner.fenced, runKey{task, 2}) || len(s.agent.unlistedStarts) != 0 {
		t.Errorf("got %v fenced and %v unresolved, want run 2 of %s fenced", s.runner.fenced, s.agent.unlistedStarts, task)
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
	if got := s.agent.leasesExpired(clock.Steady()); got {
		t.Error("all runs ended while the lease of a start lasts: got true, want false")
	}
}

// A poll that may reach another life of the runner, perhaps with the same instance
// ID, renews no lease and acknowledges no run end.
func TestPollOfUncertainLifeRenewsNothing(t *testing.T) {
	s := newFixture(t)
	s.listEnd(t, 4)
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
// same instance ID. It is pending in the report of the other life, and refused once it is fenced there.
func TestUnansweredStartIsFencedInTheNextLife(t *testing.T) {
	s := newFixture(t)
	release := s.holdStops()
	k := runKey{workflow.TaskID{Job: "a"}, 1}
	s.agent.mu.Lock()
	s.agent.unansweredStarts[k] = clock.Steady().Add(time.Minute)
	answered := runKey{workflow.TaskID{Job: "b"}, 1} // either life may have answered it
	s.agent.unlistedStarts[answered] = &dispatch.Start{Task: answered.task, Run: 1}
	s.agent.mu.Unlock()
	s.restartRunner(t)
	m := <-s.received
	if m.Report == nil || m.Report.Worker.Life != 8 {
		t.Fatalf("first message: got %+v, want a report of life 8", m)
	}
	pending := make(map[runKey]bool)
	for _, r := range m.Report.Runs {
		pending[runKey{r.Task, r.Run}] = r.Pending
	}
	if len(pending) != 2 || !pending[k] || !pending[answered] {
		t.Errorf("runs: got %v, want %v and %v pending", m.Report.Runs, k, answered)
	}
	if got := s.sentSoFar(t, isRefusal); len(got) != 0 {
		t.Errorf("refusals before the fence: got %v, want none", got)
	}
	release()
	s.agent.group.Wait()
	refused := make(map[runKey]int)
	for _, m := range s.sentSoFar(t, isRefusal) {
		if m.OrderRefused.Life == 8 {
			refused[runKey{m.OrderRefused.Task, m.OrderRefused.Run}]++
		}
	}
	if len(refused) != 2 || refused[k] != 1 || refused[answered] != 1 {
		t.Errorf("refused in life 8: got %v, want %v and %v once", refused, k, answered)
	}
	if !slices.Contains(s.runner.fenced, k) || !slices.Contains(s.runner.fenced, answered) {
		t.Errorf("fenced: got %v, want %v and %v", s.runner.fenced, k, answered)
	}
}

// A runner that may have restarted gets no acknowledgement, since its run ends are
// numbered from the beginning.
func TestAcknowledgementIsOnlyForTheSameLife(t *testing.T) {
	s := newFixture(t)
	s.listEnd(t, 57)
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
