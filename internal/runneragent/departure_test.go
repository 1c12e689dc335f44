package runneragent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// listenForDepartures serves as an entry that confirms departures, and returns its address and what it is told.
func listenForDepartures(t *testing.T) (string, chan peer.Departure) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan peer.Departure, 8)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conn := peer.NewConn(c)
			_ = conn.Run(&group, func(m *peer.Message) {
				told <- *m.Departure
				conn.Send(m)
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	return listener.Addr().String(), told
}

// departs reports whether a poll of a runner that does not listen makes the agent say that its worker has left.
func (s *fixture) departs(t *testing.T, told chan peer.Departure) bool {
	t.Helper()
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.mu.Unlock()
	_ = s.agent.poll(context.Background(), 0)
	select {
	case <-told:
		return true
	case <-time.After(500 * time.Millisecond):
		return false
	}
}

// Jobs waited for workers that had left as the dispatcher was lost, or that it could not store as gone.
func TestAgentTellsEntriesThatItsWorkerHasLeft(t *testing.T) {
	key := runKey{workflow.TaskID{Job: "a"}, 1}
	for _, tc := range []struct {
		name    string
		prepare func(a *Agent)
		want    bool
	}{
		{"drained and ended", func(*Agent) {}, true},
		{"the dispatcher is lost", func(a *Agent) { a.conn = nil }, true},
		{"crashed", func(a *Agent) { a.heartbeat.Draining = false }, false},
		{"its last heartbeat is of another life", func(a *Agent) { a.heartbeat.StartedAtMS++ }, false},
		{"was told of no registration", func(a *Agent) { a.registration = 0 }, false},
		{"a start may still take effect", func(a *Agent) { a.addUnanswered(clock.Steady(), key) }, false},
		{"most known entries are gone", func(a *Agent) {
			for port := range 4 * maxDepartureCalls {
				a.entries[fmt.Sprintf("127.0.0.1:%d", 1+port)] = true // nothing listens at these
			}
		}, true},
		{"a start can no longer take effect", func(a *Agent) { a.addUnanswered(clock.Steady().Add(-maxStartDelay), key) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			address, told := listenForDepartures(t)
			s.agent.handleRegistered(s.agent.conn, &peer.Registered{Number: 5})
			s.agent.mu.Lock()
			s.agent.entries[address] = true
			s.agent.heartbeat.Draining = true
			tc.prepare(s.agent)
			s.agent.mu.Unlock()
			if got := s.departs(t, told); got != tc.want {
				t.Errorf("told an entry: got %v, want %v", got, tc.want)
			}
		})
	}
}

// The next dispatcher started tasks again that were done: it heard of the departure, and of their ends only later or never.
func TestDepartureNamesUnacknowledgedEnds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ends  int
		how   dispatch.Outcome
		acked uint64
		// want is the number of ends that the departure names, -1 if there must be none.
		want int
	}{
		{"done", 1, dispatch.OutcomeDone, 0, 1},
		{"failed", 2, dispatch.OutcomeFailed, 0, 2},
		{"stopped", 1, dispatch.OutcomeStopped, 0, 0},
		{"acknowledged", 2, dispatch.OutcomeDone, 2, 0},
		{"partly acknowledged", 2, dispatch.OutcomeDone, 1, 1},
		{"as many as runners have", 40, dispatch.OutcomeDone, 0, 40},
		{"too many for a departure", 500, dispatch.OutcomeDone, 0, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			address, told := listenForDepartures(t)
			s.agent.handleRegistered(s.agent.conn, &peer.Registered{Number: 5})
			s.agent.mu.Lock()
			s.agent.entries[address] = true
			s.agent.heartbeat.Draining = true
			s.agent.mu.Unlock()
			s.runner.mu.Lock()
			for n := range uint64(tc.ends) {
				s.runner.listing.RunEnds = append(s.runner.listing.RunEnds, dispatch.RunEnd{Number: n + 1, Task: task, Run: 1000 + n, How: tc.how, Saved: "00000bb87a21d94b"})
			}
			s.runner.mu.Unlock()
			s.poll(t)
			s.agent.handleAck(&peer.RunEndsAck{Life: 7, LastAckedEnd: tc.acked})
			s.endRunner()
			_ = s.agent.poll(context.Background(), 0)
			got := -1
			select {
			case d := <-told:
				got = len(endedLives(&peer.Report{EndedLives: d.EndedLives})[7])
			case <-time.After(500 * time.Millisecond):
			}
			if got != tc.want {
				t.Errorf("ends in the departure: got %d, want %d", got, tc.want)
			}
		})
	}
}

// A start under a registration that the agent has given up would run at a worker that the next dispatcher does not wait for.
func TestAgentStartsNothingUnderARegistrationThatItHasGivenUp(t *testing.T) {
	s := newFixture(t)
	address, told := listenForDepartures(t)
	conn := s.agent.conn
	s.agent.handleRegistered(conn, &peer.Registered{Number: 5})
	s.agent.mu.Lock()
	s.agent.entries[address] = true
	s.agent.heartbeat.Draining = true
	s.agent.mu.Unlock()
	if !s.departs(t, told) {
		t.Fatal("told an entry: got false, want true")
	}
	s.agent.handlePong(conn, &peer.Pong{Seq: s.agent.emptyReportPing, DispatcherTerm: 3, WorkerLeaseRenewed: true})
	s.runner.mu.Lock()
	s.runner.gone, s.runner.listing = false, Listing{ClockMS: 10, StartedAtMS: 8}
	s.runner.mu.Unlock()
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-2", StartedAtMS: 8, Seq: 1, Service: "bench"})
	s.poll(t)
	for _, step := range []struct {
		name   string
		number uint64
		want   uint64
	}{{"no registration", 0, 0}, {"the one that was given up", 5, 0}, {"a later one", 6, 6}} {
		s.agent.handleRegistered(conn, &peer.Registered{Number: step.number})
		s.agent.mu.Lock()
		if got := s.agent.registration; got != step.want {
			t.Errorf("%s: registration: got %d, want %d", step.name, got, step.want)
		}
		err := s.agent.checkStart(clock.Steady(), &dispatch.Start{Life: 8})
		if got, want := err == nil, step.want != 0; got != want {
			t.Errorf("%s: start accepted: got %v (%v), want %v", step.name, got, err, want)
		}
		if got, want := s.agent.newReport().Registration, step.want; got != want {
			t.Errorf("%s: registration in a report: got %d, want %d", step.name, got, want)
		}
		s.agent.mu.Unlock()
	}
}

// The next dispatcher waited 15.5 s for a worker whose agent had stopped and told nobody, as its machine was removed.
func TestStoppingAgentTellsEntriesWhenItsLeasesEnd(t *testing.T) {
	key := runKey{workflow.TaskID{Job: "a"}, 1}
	for _, tc := range []struct {
		name    string
		prepare func(a *Agent)
		want    bool
	}{
		{"serves a dispatcher", func(*Agent) {}, true},
		{"the dispatcher is lost", func(a *Agent) { a.conn = nil }, true},
		{"was told of no registration", func(a *Agent) { a.registration = 0 }, false},
		{"has left before", func(a *Agent) { a.giveUpRegistration() }, false},
		{"a start may still take effect", func(a *Agent) { a.addUnanswered(clock.Steady(), key) }, false},
		{"a start can no longer take effect", func(a *Agent) { a.addUnanswered(clock.Steady().Add(-maxStartDelay), key) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			address, told := listenForDepartures(t)
			s := newFixture(t)
			s.agent.mu.Lock()
			s.agent.registration = 5
			s.agent.entries[address] = true
			tc.prepare(s.agent)
			lastLease := s.agent.lastRunLeaseEnd
			s.agent.mu.Unlock()
			began := clock.Steady()
			ctx, stop := context.WithCancel(t.Context())
			stop()
			s.agent.Run(ctx)
			var got *peer.Departure
			select {
			case d := <-told:
				got = &d
			default:
			}
			if (got != nil) != tc.want {
				t.Fatalf("told: got %+v, want %v", got, tc.want)
			}
			if got == nil {
				return
			}
			if got.Worker != "w1" || got.Number != 5 {
				t.Errorf("told: got %+v, want registration 5 of w1", got)
			}
			earliest, latest := lastLease.Add(leaseSlack), lastLease.Add(leaseSlack+time.Second)
			if ends := began.Add(time.Duration(got.LeasesEndMS) * time.Millisecond); ends.Before(earliest.Add(-time.Second)) || ends.After(latest) {
				t.Errorf("leases end: got %s after the last lease, want about %s", ends.Sub(lastLease), leaseSlack)
			}
			if got.LeasesEndMS < lastLease.Add(leaseSlack).Sub(clock.Steady()).Milliseconds() {
				t.Errorf("leases end: got within %d ms, before the last one ends", got.LeasesEndMS)
			}
		})
	}
}

// A process that stops must know whether a start under way has taken effect, and must not send one that waits.
func TestStoppingAgentFinishesItsStarts(t *testing.T) {
	s := newFixture(t)
	s.runner.startTakesEffect = true
	began, finish := make(chan struct{}), make(chan struct{})
	start := s.agent.runner.Start
	s.agent.runner.Start = func(ctx context.Context, c Call, o *dispatch.Start, leaseEndMS int64) (int64, error) {
		close(began)
		<-finish
		if ctx.Err() != nil {
			return 0, ErrNoAnswer
		}
		return start(ctx, c, o, leaseEndMS)
	}
	ctx, stop := context.WithCancel(t.Context())
	s.agent.handleOrders(ctx, startOrders(3))
	<-began
	stop()
	close(finish)
	s.agent.group.Wait()
	if got := len(s.agent.unansweredStarts); got != 0 {
		t.Errorf("unanswered starts: got %d, want 0", got)
	}
	o := startOrders(3)
	o.Starts[0].Run, o.ConfirmedAgeMS = 3, lostStoreAgeMS
	s.agent.handleOrders(ctx, o)
	s.agent.group.Wait()
	if got := len(s.runner.listing.Runs); got != 1 {
		t.Errorf("runs: got %d, want only the one under way", got)
	}
}
