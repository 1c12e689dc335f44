package runneragent

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// endRunner makes the runner refuse connections from then on.
func (s *fixture) endRunner() {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.runner.gone, s.runner.stopErr = true, ErrNotListening
}

// A start without an answer may take effect in the next life of a runner that is gone: it is pending in the empty report,
// also in one to a later dispatcher, and refused once it can no longer take effect.
func TestEmptyReportListsStartsWithoutAnswer(t *testing.T) {
	s := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.runner.startErr = ErrNoAnswer
	s.runner.stopErr = ErrNoAnswer
	fencing := make(chan struct{}, 1)
	s.agent.runner.Stop = func(ctx context.Context, c Call, task workflow.TaskID, run uint64) error {
		select {
		case fencing <- struct{}{}:
		default:
		}
		return s.runner.stop(ctx, c, task, run)
	}
	s.agent.handleOrders(ctx, startOrders(3))
	key := runKey{task, 2}
	<-fencing // the start has failed
	s.endRunner()
	if err := s.agent.poll(ctx, 0); err == nil {
		t.Fatal("poll: got no error, want one")
	}
	first := s.next(t, isReport).Report
	s.agent.mu.Lock()
	s.agent.sendFirstReport(clock.Steady(), runnerEnded)
	s.agent.mu.Unlock()
	for name, r := range map[string]*peer.Report{"empty report": first, "first report": s.next(t, isReport).Report} {
		if r.Worker.Life != 0 || len(r.Runs) != 1 || r.Runs[0].Task != task || r.Runs[0].Run != 2 || !r.Runs[0].Pending {
			t.Errorf("%s: got life %d and runs %v, want life 0 and run 2 pending", name, r.Worker.Life, r.Runs)
		}
	}
	if got := s.sentSoFar(t, isRefusal); len(got) != 0 {
		t.Errorf("refusals while the start may take effect: got %v, want none", got)
	}
	s.agent.mu.Lock()
	s.agent.pendingWhenEmpty[key] = clock.Steady()
	s.agent.mu.Unlock()
	for range 2 {
		if err := s.agent.poll(ctx, 0); err == nil {
			t.Fatal("poll: got no error, want one")
		}
	}
	if got := s.sentSoFar(t, isRefusal); len(got) != 1 || got[0].OrderRefused.Life != 0 || got[0].OrderRefused.Run != 2 {
		t.Errorf("refusals once the start cannot take effect: got %v, want one of run 2 without a life", got)
	}
}

// unanswered returns until when a start without an answer may take effect, or a zero time.
func (s *fixture) unanswered(key runKey) time.Time {
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	return s.agent.unansweredStarts[key]
}

// Starts that a runner answered before it ended have ended with it, and are not pending in the empty report.
func TestEmptyReportDoesNotListAnsweredStarts(t *testing.T) {
	s := newFixture(t)
	s.agent.handleOrders(context.Background(), startOrders(3))
	s.agent.group.Wait()
	s.endRunner()
	if err := s.agent.poll(context.Background(), 0); err == nil {
		t.Fatal("poll: got no error, want one")
	}
	if r := s.next(t, isReport).Report; r.Worker.Life != 0 || len(r.Runs) != 0 {
		t.Errorf("empty report: got life %d and runs %v, want none", r.Worker.Life, r.Runs)
	}
}

// A start that the runner has answered since a poll found nothing listening may run in the runner's next life.
func TestPollThatFailedBeforeAnAnsweredStartDoesNotReportAnEmptyWorker(t *testing.T) {
	s := newFixture(t)
	other := workflow.TaskID{Job: "b"}
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.beforeFailure = func() {
		s.agent.handleOrders(context.Background(), &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: 7, Task: other, Run: 1}}})
		s.agent.group.Wait()
	}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err == nil {
		t.Fatal("poll: got no error, want one")
	}
	if got := s.sentSoFar(t, isReport); len(got) != 0 {
		t.Errorf("reports: got %+v, want none", got[0].Report)
	}
}

// The first report on a connection is no empty one if the runner has answered since a poll found nothing listening.
func TestFirstReportIsNotEmptyIfTheRunnerHasAnsweredSince(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.beforeFailure = func() {
		s.runner.mu.Lock()
		s.runner.gone, s.runner.beforeFailure = false, nil
		s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8, Runs: []dispatch.RunStatus{{Task: task, Run: 2}}}
		s.runner.mu.Unlock()
		s.poll(t)
	}
	s.runner.mu.Unlock()
	s.agent.mu.Lock()
	conn := s.agent.conn
	s.agent.conn = nil
	s.agent.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.group.Go(func() { s.agent.serveTerm(ctx, conn) })
	if r := s.next(t, isReport).Report; r.Worker.Life != 8 || len(r.Runs) != 1 {
		t.Errorf("first report: got life %d and runs %v, want life 8 and run 2", r.Worker.Life, r.Runs)
	}
}

// A start may leave long after its order was handled, while the process was frozen: the time in which it may take effect
// counts from the end of its call, also for one that an empty report lists already.
func TestUnansweredStartCountsFromTheEndOfItsCall(t *testing.T) {
	s := newFixture(t)
	frozen, sent := make(chan struct{}), make(chan struct{})
	s.agent.runner.Start = func(context.Context, Call, *dispatch.Start, int64) (int64, error) {
		close(sent)
		<-frozen
		return 0, ErrNoAnswer
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.handleOrders(ctx, startOrders(3))
	<-sent
	s.endRunner()
	if err := s.agent.poll(ctx, 0); err == nil {
		t.Fatal("poll: got no error, want one")
	}
	time.Sleep(50 * time.Millisecond)
	left := clock.Steady()
	close(frozen)
	key := runKey{task, 2}
	for began := clock.Steady(); s.unanswered(key).Before(left.Add(maxStartDelay)); clock.WaitForWake(ctx, nil, minPollInterval) {
		if clock.Steady().Sub(began) > 5*time.Second {
			t.Fatalf("may take effect until %s after the end of its call, want at least %s", s.unanswered(key).Sub(left), maxStartDelay)
		}
	}
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	if got := s.agent.pendingWhenEmpty[key].Sub(left); got < maxStartDelay {
		t.Errorf("pending in the empty report until %s after the end of its call, want at least %s", got, maxStartDelay)
	}
}
