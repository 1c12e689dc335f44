package runneragent

import (
	"context"
	"slices"
	"testing"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// The heartbeat of a next life says that the earlier one has ended, not that its end was announced.
func TestHeartbeatOfNextLifeDoesNotAnnounceTheEnd(t *testing.T) {
	s := newFixture(t)
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 8, Seq: 1, Service: "bench"})
	m := s.next(t, func(m *peer.Message) bool { return m.Ping != nil })
	if m.Ping.Worker.Life == 7 && m.Ping.Worker.EndAnnounced {
		t.Error("ping after the heartbeat of life 8: got the end of life 7 announced, want no announcement")
	}
}

// A runner that has ended while the agent had no connection to the dispatcher is reported as ended, too.
func TestFirstReportSaysThatRunnerEnded(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.mu.Unlock()
	s.agent.mu.Lock()
	conn := s.agent.conn
	s.agent.conn = nil
	s.agent.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.group.Go(func() { s.agent.serveTerm(ctx, conn) })
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if m.Report.Worker.Life != 0 || !m.Report.RunnerEnded {
		t.Errorf("first report while nothing listens: got life %d, runner ended %v, want life 0 and true", m.Report.Worker.Life, m.Report.RunnerEnded)
	}
}

// The report of a runner that has ended names the runs that it had listed since the last ping, too.
func TestReportOfEndedRunnerNamesListedRuns(t *testing.T) {
	s := newFixture(t)
	key := runKey{task, 2}
	s.agent.mu.Lock()
	s.agent.unlistedStarts[key] = &dispatch.Start{Task: task, Run: 2}
	s.agent.sentStarts[key] = true
	s.agent.mu.Unlock()
	s.runner.mu.Lock()
	s.runner.listing.Runs = []dispatch.RunStatus{{Task: task, Run: 2}}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err == nil {
		t.Fatal("poll of a runner that has ended: got no error, want one")
	}
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil || m.Ping != nil && len(m.Ping.Runs) > 0 })
	if m.Report != nil && !slices.Contains(m.Report.Sent, dispatch.SentRun{Task: task, Run: 2}) {
		t.Errorf("started, in the report of the ended runner: got %v, want run 2 of %s", m.Report.Sent, task)
	}
}
