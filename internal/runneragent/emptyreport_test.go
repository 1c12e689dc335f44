package runneragent

import (
	"context"
	"slices"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// loseRunner makes the agent report an empty worker: polls fail and the last run lease has expired.
func (s *fixture) loseRunner(t *testing.T) {
	t.Helper()
	s.agent.mu.Lock()
	s.agent.lastRunLeaseEnd = clock.Steady().Add(-time.Second)
	s.agent.mu.Unlock()
	s.agent.handlePollFailure(t.Context(), clock.Steady(), ErrNoAnswer)
	if m := s.next(t, isReport); m.Report.Worker.Life != 0 {
		t.Fatalf("life: got %d, want 0", m.Report.Worker.Life)
	}
}

// answerPing passes the agent the answer to its next ping.
func (s *fixture) answerPing(t *testing.T) {
	t.Helper()
	m := s.next(t, func(m *peer.Message) bool { return m.Ping != nil })
	s.agent.mu.Lock()
	conn := s.agent.conn
	s.agent.mu.Unlock()
	s.agent.handlePong(conn, &peer.Pong{Seq: m.Ping.Seq, DispatcherTerm: 3, WorkerLeaseRenewed: true})
}

// poll polls the runner, which must answer.
func (s *fixture) poll(t *testing.T) {
	t.Helper()
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
}

// sentSoFar returns the messages of the wanted kind that the agent has sent and that were not received yet.
func (s *fixture) sentSoFar(t *testing.T, wanted func(*peer.Message) bool) []*peer.Message {
	t.Helper()
	const mark = 1 << 60
	s.agent.mu.Lock()
	s.agent.conn.Send(&peer.Message{Ping: &peer.Ping{Seq: mark}})
	s.agent.mu.Unlock()
	var out []*peer.Message
	for {
		m := s.next(t, func(*peer.Message) bool { return true })
		if m.Ping != nil && m.Ping.Seq == mark {
			return out
		}
		if wanted(m) {
			out = append(out, m)
		}
	}
}

func isReport(m *peer.Message) bool { return m.Report != nil }

func isRefusal(m *peer.Message) bool { return m.OrderRefused != nil }

func TestStartThatCrossesAnEmptyReportIsNotRun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers bool
	}{
		{"the runner does not answer yet", false},
		{"the runner has answered again", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.runner.startTakesEffect = true
			s.loseRunner(t)
			if tc.answers {
				s.poll(t)
			}
			s.agent.handleOrders(context.Background(), startOrders(3))
			s.agent.group.Wait()
			if got := s.runner.listing.Runs; len(got) != 0 {
				t.Errorf("runs: got %v, want none", got)
			}
			if got := s.sentSoFar(t, isRefusal); len(got) != 1 || got[0].OrderRefused.Run != 2 {
				t.Errorf("refusals: got %v, want one of run 2", got)
			}
		})
	}
}

// An answer to an earlier ping may have been sent before the dispatcher read the empty report.
func TestWorkerIsReportedOnceOrdersThatCrossedHaveArrived(t *testing.T) {
	s := newFixture(t)
	s.runner.startTakesEffect = true
	s.agent.mu.Lock()
	s.agent.ping(clock.Steady())
	s.agent.mu.Unlock()
	earlier := s.next(t, func(m *peer.Message) bool { return m.Ping != nil }).Ping.Seq
	s.loseRunner(t)
	s.agent.handlePong(s.agent.conn, &peer.Pong{Seq: earlier, DispatcherTerm: 3})
	s.poll(t)
	s.agent.fence(context.Background(), anyTerm, 7, runKey{task, 2}, "the runner did not answer the start")
	for _, m := range s.sentSoFar(t, isReport) {
		t.Errorf("before the answer: got a report of life %d, want none", m.Report.Worker.Life)
	}
}

func TestWorkerReportedAsEmptyGetsStartsAgain(t *testing.T) {
	s := newFixture(t)
	s.runner.startTakesEffect = true
	s.loseRunner(t)
	s.answerPing(t)
	s.poll(t)
	if got := s.sentSoFar(t, isReport); len(got) != 1 || got[0].Report.Worker.Life != 7 {
		t.Errorf("reports: got %v, want one of life 7", got)
	}
	s.agent.handleOrders(context.Background(), startOrders(3))
	s.agent.group.Wait()
	if got := s.runner.listing.Runs; len(got) != 1 {
		t.Errorf("runs: got %v, want run 2", got)
	}
}

func TestStopAfterAnEmptyReportIsCarriedOut(t *testing.T) {
	s := newFixture(t)
	s.loseRunner(t)
	s.agent.handleOrders(context.Background(), &peer.Orders{Term: 3, Stops: []dispatch.Stop{{Worker: "w1", Life: 7, Task: task, Run: 2}}})
	s.agent.group.Wait()
	if got := s.runner.fenced; !slices.Contains(got, runKey{task, 2}) {
		t.Errorf("fenced: got %v, want run 2", got)
	}
}
