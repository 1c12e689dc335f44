package runneragent

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

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
