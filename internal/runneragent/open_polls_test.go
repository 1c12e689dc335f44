package runneragent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// openPoll is a poll that the runner has neither answered nor failed.
type openPoll struct {
	finish chan func() (*Listing, error)
	group  sync.WaitGroup
}

// end lets the poll return what answer returns, and waits until the agent has handled that.
func (p *openPoll) end(answer func() (*Listing, error)) {
	p.finish <- answer
	p.group.Wait()
}

// beginPoll begins a poll that stays open. Other polls go to the fixture's runner meanwhile.
func (s *fixture) beginPoll(t *testing.T) *openPoll {
	t.Helper()
	p := &openPoll{finish: make(chan func() (*Listing, error), 1)}
	began := make(chan struct{})
	renew := s.agent.runner.Renew
	s.agent.runner.Renew = func(context.Context, RenewRequest) (*Listing, error) {
		s.agent.runner.Renew = renew
		close(began)
		return (<-p.finish)()
	}
	p.group.Go(func() { _ = s.agent.poll(context.Background(), pollWait) })
	<-began
	return p
}

// listDoneRun returns a later listing of the present life with a run that has ended as done.
func (s *fixture) listDoneRun() (*Listing, error) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.runner.listing.ClockMS++
	l := s.runner.listing
	l.RunEnds = []dispatch.RunEnd{{Number: 1, Task: task, Run: 1, How: dispatch.OutcomeDone}}
	return &l, nil
}

// A task was started again that had ended as done just before its runner was restarted: the report of the next life came
// before the answer that listed the end.
func TestNextLifeIsReportedAfterOpenPollsHaveEnded(t *testing.T) {
	for _, tc := range []struct {
		name string
		// later is set if the open poll began after the one that reaches the next life.
		later bool
	}{{"a poll that began before", false}, {"a poll that began after, and reached the life before", true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			next := func() {
				s.runner.mu.Lock()
				s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
				s.runner.mu.Unlock()
			}
			ended := func() (*Listing, error) {
				return &Listing{ClockMS: 1002, StartedAtMS: 7, RunEnds: []dispatch.RunEnd{{Number: 1, Task: task, Run: 1, How: dispatch.OutcomeDone}}}, nil
			}
			var group sync.WaitGroup
			var open *openPoll
			if tc.later {
				first := s.beginPoll(t)
				open = s.beginPoll(t)
				next()
				first.end(func() (*Listing, error) { return s.runner.renew(context.Background(), RenewRequest{}) })
			} else {
				open = s.beginPoll(t)
				next()
				group.Go(func() { _ = s.agent.poll(context.Background(), 0) })
				time.Sleep(2 * earlierPollCheckEvery)
				if got := s.sentSoFar(t, isReport); len(got) != 0 {
					t.Errorf("reports while the poll is open: got %d, want none", len(got))
				}
			}
			open.end(ended)
			group.Wait()
			if got := endedLives(s.lastReport(t)); len(got[7]) != 1 {
				t.Errorf("ends in the last report: got %v, want one of life 7", got)
			}
		})
	}
}

func isEmptyReport(m *peer.Message) bool { return m.Report != nil && m.Report.Worker.Life == 0 }

// Tasks were started again whose ends a runner had listed in an answer that was under way when another poll was refused.
func TestRefusedPollIsNoProofWhileAnotherIsOpen(t *testing.T) {
	for _, tc := range []struct {
		name  string
		other func(t *testing.T, s *fixture) (state runnerState, ok bool)
	}{
		{"another poll", func(t *testing.T, s *fixture) (runnerState, bool) {
			t.Helper()
			return runnerAnswers, s.agent.poll(context.Background(), 0) == nil
		}},
		{"the first poll for another connection", func(t *testing.T, s *fixture) (runnerState, bool) {
			t.Helper()
			conn := peer.NewConn(nil)
			ctx, cancel := context.WithTimeout(t.Context(), 2*retryDelay+retryDelay/2)
			defer cancel()
			return s.agent.firstPoll(ctx, conn)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			p := s.beginPoll(t)
			s.endRunner()
			if state, ok := tc.other(t, s); ok {
				t.Errorf("while a poll is open: got state %d of the runner, want none", state)
			}
			if got := s.sentSoFar(t, isEmptyReport); len(got) != 0 {
				t.Errorf("empty reports while a poll is open: got %d, want none", len(got))
			}
			p.end(s.listDoneRun)
			if got := s.sentSoFar(t, func(m *peer.Message) bool { return m.RunEnds != nil }); len(got) != 1 {
				t.Errorf("messages with run ends: got %d, want 1", len(got))
			}
			_ = s.agent.poll(context.Background(), 0)
			if got := s.sentSoFar(t, isEmptyReport); len(got) != 1 {
				t.Errorf("empty reports after the next refused poll: got %d, want 1", len(got))
			}
		})
	}
}

// A runner that shut down refused a poll while starts were carried out on connections that were open; their tasks were started
// again at once.
func TestRefusedPollIsNoProofWhileAnotherCallIsOpen(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(ctx context.Context, s *fixture, wait func() error)
	}{
		{"a start", func(ctx context.Context, s *fixture, wait func() error) {
			s.agent.runner.Start = func(context.Context, Call, *dispatch.Start, int64) (int64, error) { return 0, wait() }
			s.agent.handleOrders(ctx, &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: 7, Task: task, Run: 2}}})
		}},
		{"a stop", func(ctx context.Context, s *fixture, wait func() error) {
			s.agent.runner.Stop = func(context.Context, Call, workflow.TaskID, uint64) error { return wait() }
			s.agent.group.Go(func() { s.agent.fence(ctx, 3, 7, runKey{task, 2}, "") })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer s.agent.group.Wait()
			defer cancel()
			began, fails := make(chan struct{}, 1), make(chan struct{})
			end := sync.OnceFunc(func() { close(fails) })
			defer end()
			tc.call(ctx, s, func() error {
				select {
				case began <- struct{}{}:
				default: // a repetition
				}
				<-fails
				return ErrNoAnswer
			})
			<-began
			s.endRunner()
			_ = s.agent.poll(context.Background(), 0)
			if got := s.sentSoFar(t, isEmptyReport); len(got) != 0 {
				t.Fatalf("empty reports while the call is open: got %d, want none", len(got))
			}
			end()
			reports := 0
			for deadline := time.Now().Add(5 * time.Second); reports == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				_ = s.agent.poll(context.Background(), 0)
				reports = len(s.sentSoFar(t, isEmptyReport))
			}
			if reports != 1 {
				t.Errorf("empty reports after the call has failed: got %d, want 1", reports)
			}
		})
	}
}

func TestEndOfTheRunnerIsProvenOnceOpenPollsHaveFailed(t *testing.T) {
	s := newFixture(t)
	p := s.beginPoll(t)
	s.endRunner()
	_ = s.agent.poll(context.Background(), 0)
	p.end(func() (*Listing, error) { return nil, errors.Mark(errors.New("EOF"), ErrNoAnswer) })
	if got := s.sentSoFar(t, isEmptyReport); len(got) != 1 || !got[0].Report.RunnerEnded {
		t.Errorf("empty reports: got %v, want one of a runner that has ended", got)
	}
}

func TestWorkerDoesNotLeaveWhileAPollIsOpen(t *testing.T) {
	s := newFixture(t)
	address, told := listenForDepartures(t)
	s.agent.handleRegistered(s.agent.conn, &peer.Registered{Number: 5})
	s.agent.mu.Lock()
	s.agent.entries[address] = true
	s.agent.heartbeat.Draining = true
	s.agent.mu.Unlock()
	p := s.beginPoll(t)
	if s.departs(t, told) {
		t.Error("told an entry while a poll is open: got true, want false")
	}
	p.end(s.listDoneRun)
	if !s.departs(t, told) {
		t.Error("told an entry after the next refused poll: got false, want true")
	}
}

func TestOverdueStartIsNotRefusedWhileAPollIsOpen(t *testing.T) {
	s := newFixture(t)
	key := runKey{task, 2}
	s.agent.mu.Lock()
	s.agent.addUnanswered(clock.Steady(), key)
	s.agent.mu.Unlock()
	s.endRunner()
	_ = s.agent.poll(context.Background(), 0)
	p := s.beginPoll(t)
	s.agent.mu.Lock()
	s.agent.pendingWhenEmpty[key] = clock.Steady()
	s.agent.mu.Unlock()
	_ = s.agent.poll(context.Background(), 0)
	if got := s.sentSoFar(t, isRefusal); len(got) != 0 {
		t.Errorf("refusals while a poll is open: got %d, want none", len(got))
	}
	p.end(func() (*Listing, error) { return nil, ErrNoAnswer })
	if got := s.sentSoFar(t, isRefusal); len(got) != 1 {
		t.Errorf("refusals after it has failed: got %d, want 1", len(got))
	}
}

// An agent that had been frozen reported its worker as empty, although the answer to its poll had arrived meanwhile.
func TestFrozenAgentPollsAgainBeforeItReportsAnEmptyWorker(t *testing.T) {
	s := newFixture(t)
	p := s.beginPoll(t)
	s.agent.mu.Lock()
	s.agent.lastRunLeaseEnd = clock.Steady().Add(-leaseSlack)
	s.agent.mu.Unlock()
	time.Sleep(time.Millisecond)
	p.end(func() (*Listing, error) { return nil, errors.Mark(context.DeadlineExceeded, ErrNoAnswer) })
	if got := s.sentSoFar(t, isEmptyReport); len(got) != 0 {
		t.Errorf("empty reports after a poll that began within the lease: got %d, want none", len(got))
	}
	p = s.beginPoll(t)
	p.end(func() (*Listing, error) { return nil, ErrNoAnswer })
	if got := s.sentSoFar(t, isEmptyReport); len(got) != 1 || got[0].Report.RunnerEnded {
		t.Errorf("empty reports after a poll that began later: got %v, want one of a silent runner", got)
	}
}
