package runneragent

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Starts that a runner never answers do not keep its worker from being reported as empty.
func TestSilentRunnerIsReportedDespiteNewStarts(t *testing.T) {
	s := newFixture(t)
	hung := func(ctx context.Context) error {
		<-ctx.Done()
		return ErrNoAnswer
	}
	s.agent.runner.Renew = func(ctx context.Context, _ RenewRequest) (*Listing, error) { return nil, hung(ctx) }
	s.agent.runner.Start = func(ctx context.Context, _ Call, _ *dispatch.Start, _ int64) (int64, error) { return 0, hung(ctx) }
	s.agent.runner.Stop = func(ctx context.Context, _ Call, _ workflow.TaskID, _ uint64) error { return hung(ctx) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.group.Go(func() { s.agent.pollLoop(ctx) })
	began := clock.Steady()
	for i := 0; clock.Steady().Sub(began) < leadership.WorkerLeaseDuration+7*time.Second; i++ {
		s.agent.mu.Lock()
		s.agent.workerLease.Renew(clock.Steady())
		reported := s.agent.reportedEmpty
		s.agent.mu.Unlock()
		if reported {
			return
		}
		s.agent.handleOrders(ctx, &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: 7, Task: workflow.TaskID{Job: "a", Index: i}, Run: 1}}})
		time.Sleep(500 * time.Millisecond)
	}
	t.Errorf("a runner that has not answered for %s: got no empty report, want one", clock.Steady().Sub(began))
}

// The runs of an earlier life are reported as over although a start that was sent to it cannot be fenced yet.
func TestRestartIsReportedBeforeStartsAreFenced(t *testing.T) {
	s := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.runner.Stop = func(context.Context, Call, workflow.TaskID, uint64) error { return ErrNoAnswer }
	s.agent.mu.Lock()
	s.agent.unlistedStarts[runKey{task, 2}] = &dispatch.Start{Task: task, Run: 2}
	s.agent.mu.Unlock()
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if err := s.agent.poll(ctx, 0); err != nil {
		t.Fatal(err)
	}
	select {
	case m := <-s.received:
		if m.Report == nil {
			t.Errorf("first message: got %+v, want a report", m)
		}
	case <-time.After(3 * time.Second):
		t.Error("for 3 s after the restart: got no message, want a report")
	}
}
