package runneragent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// lostStoreAgeMS is the age of the store's last answer to a dispatcher that has lost it.
const lostStoreAgeMS = 2500

// isLaterClaimed has an entry claim the next term, and isUnreachable makes the store fail the agent.
func isLaterClaimed(t *testing.T, s *fixture) { t.Helper(); s.claim(t, "entry-b") }
func isUnreachable(_ *testing.T, s *fixture)  { s.store.SetFault(store.ErrRefused, false) }

// isStoppedWhileItReads makes reads of the claim fail as in a process that is stopped meanwhile.
func isStoppedWhileItReads(_ *testing.T, s *fixture) {
	s.agent.store.ReadNewest = func(context.Context, store.Topic, string) (*store.Page, error) {
		time.Sleep(checkTermTimeout + 2*checkTermSlack)
		return nil, context.DeadlineExceeded
	}
}

// A dispatcher that was cut off from the store started tasks of jobs whose cancellation another entry had acknowledged.
func TestStartOfADispatcherThatHasLostTheStore(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(t *testing.T, s *fixture)
		ageMS   int64
		want    error
	}{
		{"the store answers the dispatcher", func(*testing.T, *fixture) {}, 10, nil},
		{"it answers the dispatcher, and the agent cannot ask", isUnreachable, 10, nil},
		{"a later term is claimed", isLaterClaimed, lostStoreAgeMS, errSuperseded},
		{"no later term is claimed, and the store serves the agent", func(*testing.T, *fixture) {}, lostStoreAgeMS, errUnconfirmed},
		{"the store fails the agent, too", isUnreachable, lostStoreAgeMS, nil},
		{"the store has failed the agent before and answers again", func(_ *testing.T, s *fixture) {
			s.agent.termCheck.NoteFailure(clock.Steady().Add(-time.Second))
		}, lostStoreAgeMS, errUnconfirmed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.runner.startTakesEffect = true
			tc.prepare(t, s)
			o := startOrders(3)
			o.StoreContactAgeMS, o.ConfirmedAgeMS = tc.ageMS, tc.ageMS
			s.agent.handleOrders(t.Context(), o)
			s.agent.group.Wait()
			if got, want := len(s.runner.listing.Runs) == 0, tc.want != nil; got != want {
				t.Fatalf("refused: got %v, want %v", got, want)
			}
			if len(s.agent.unansweredStarts) != 0 {
				t.Errorf("unanswered starts: got %v, want none", s.agent.unansweredStarts)
			}
			switch {
			case errors.Is(tc.want, errSuperseded):
				if got, want := s.agent.successor, "entry-b"; got != want {
					t.Errorf("dispatcher to join: got %q, want %q", got, want)
				}
				if !hasEnded(s.agent.conn) {
					t.Error("connection to the earlier dispatcher: got open, want ended")
				}
			case errors.Is(tc.want, errUnconfirmed):
				refused := s.next(t, isRefusal).OrderRefused
				if got, want := refused.Reason, tc.want.Error(); got != want || !refused.Unconfirmed {
					t.Errorf("reason: got %q, unconfirmed %v, want %q, true", got, refused.Unconfirmed, want)
				}
			}
		})
	}
}

// A dispatcher that was cut off ordered second runs of tasks whose end a later one had acknowledged more than a second
// before.
func TestStartOfADispatcherWhoseTermIsNotConfirmed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(t *testing.T, s *fixture)
		// confirmedAgeMS is the age of the dispatcher's newest write, and pingAge that of the last ping that had arrived.
		confirmedAgeMS int64
		pingAge        time.Duration
		// pingAgeMS is how long after the arrival of that ping the order was sent.
		pingAgeMS int64
		want      int
	}{
		{"a later term is claimed", isLaterClaimed, 900, 0, 0, 0},
		{"the order is late", isLaterClaimed, 0, 900 * time.Millisecond, 0, 0},
		{"the order of a dispatcher that has just written is late", isLaterClaimed, 500, 400 * time.Millisecond, 0, 0},
		{"the last ping was long ago as the order was sent", isLaterClaimed, 300, 900 * time.Millisecond, 800, 1},
		{"... and the order is late", isLaterClaimed, 300, 900 * time.Millisecond, 300, 0},
		{"the dispatcher's clock runs ahead", isLaterClaimed, 900, 100 * time.Millisecond, 5000, 0},
		{"no later term is claimed", func(*testing.T, *fixture) {}, 900, 0, 0, 1},
		{"the store fails the agent, too", isUnreachable, 900, 0, 0, 1},
		{"the agent is stopped while it reads the claim", isStoppedWhileItReads, 900, 0, 0, 0},
		{"the dispatcher has just written", isLaterClaimed, 300, 0, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.runner.startTakesEffect = true
			tc.prepare(t, s)
			o := startOrders(3)
			o.StoreContactAgeMS, o.ConfirmedAgeMS, o.LastPing = tc.confirmedAgeMS, tc.confirmedAgeMS, 8
			o.PingAgeMS = tc.pingAgeMS
			s.agent.pingTimes.Note(8, clock.Steady().Add(-tc.pingAge))
			s.agent.handleOrders(t.Context(), o)
			s.agent.group.Wait()
			if got := len(s.runner.listing.Runs); got != tc.want {
				t.Errorf("runs: got %d, want %d", got, tc.want)
			}
		})
	}
}

// Workers stayed with a dispatcher that was cut off until the cut had ended, and the next one waited for them.
func TestAgentLeavesASupersededDispatcher(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(t *testing.T, s *fixture)
		age     time.Duration
		want    bool
	}{
		{"a later term is claimed", isLaterClaimed, checkTermAfter + time.Millisecond, true},
		{"the store answers the dispatcher", isLaterClaimed, checkTermAfter, false},
		{"no later term is claimed", func(*testing.T, *fixture) {}, checkTermAfter + time.Millisecond, false},
		{"the store fails the agent, too", isUnreachable, checkTermAfter + time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			tc.prepare(t, s)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s.agent.noteContactAge(ctx, s.agent.conn, tc.age)
			select {
			case <-s.agent.conn.Done():
			case <-time.After(checkTermInterval):
			}
			if got := hasEnded(s.agent.conn); got != tc.want {
				t.Errorf("left the dispatcher: got %v, want %v", got, tc.want)
			}
		})
	}
}

// An agent must learn from the answers to its pings that the store does not answer its dispatcher, and join the later one.
func TestAgentJoinsTheLaterDispatcher(t *testing.T) {
	var group sync.WaitGroup
	later := startEntry(t, &group, func() *peer.Welcome { return &peer.Welcome{Name: "b", NewestTerm: 4, IsDispatcher: true} })
	pong := &peer.Pong{DispatcherTerm: 3, WorkerLeaseRenewed: true, StoreContactAgeMS: lostStoreAgeMS}
	first := startAnsweringEntry(t, &group, pong, func() *peer.Welcome { return &peer.Welcome{Name: "a", NewestTerm: 3, IsDispatcher: true} })
	s := newFixture(t)
	s.claim(t, later.address)
	s.agent.mu.Lock()
	s.agent.conn = nil
	clear(s.agent.entries)
	s.agent.entries[first.address] = true
	s.agent.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.agent.group.Go(func() { s.agent.connect(ctx) })
	select {
	case <-later.hellos:
	case <-time.After(10 * time.Second):
		t.Error("connections to the later dispatcher: got 0, want 1")
	}
}

// A stop that an earlier dispatcher ordered must not end a run that the later one wants.
func TestStopOfASupersededDispatcher(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(t *testing.T, s *fixture)
		want    int
	}{
		{"a later term is claimed", isLaterClaimed, 1},
		{"no later term is claimed", func(*testing.T, *fixture) {}, 0},
		{"the store fails the agent, too", isUnreachable, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.runner.listing.Runs = []dispatch.RunStatus{{Task: task, Run: 2}}
			tc.prepare(t, s)
			s.agent.handleOrders(t.Context(), &peer.Orders{Term: 3, StoreContactAgeMS: lostStoreAgeMS, ConfirmedAgeMS: lostStoreAgeMS, Stops: []dispatch.Stop{{Worker: "w1", Life: 7, Task: task, Run: 2}}})
			s.agent.group.Wait()
			if got := len(s.runner.listing.Runs); got != tc.want {
				t.Errorf("runs: got %d, want %d", got, tc.want)
			}
		})
	}
}

// A stop without an answer was repeated under the term of a later dispatcher, which wants the run.
func TestStopIsNotRepeatedUnderALaterTerm(t *testing.T) {
	s := newFixture(t)
	s.runner.listing.Runs = []dispatch.RunStatus{{Task: task, Run: 2}}
	s.agent.runner.Stop = func(ctx context.Context, c Call, id workflow.TaskID, run uint64) error {
		if c.Term == 3 {
			s.agent.mu.Lock()
			s.agent.term = 4
			s.agent.mu.Unlock()
			return ErrNoAnswer
		}
		return s.runner.stop(ctx, c, id, run)
	}
	s.agent.handleOrders(t.Context(), &peer.Orders{Term: 3, Stops: []dispatch.Stop{{Worker: "w1", Life: 7, Task: task, Run: 2}}})
	s.agent.group.Wait()
	if got, want := len(s.runner.listing.Runs), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Second runs started late, after the dispatcher that had ordered them had acknowledged the end of the first run.
func TestLateOrderOfASecondRunIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name     string
		second   bool
		orderAge time.Duration
		want     int
	}{
		{"a second run, ordered just now", true, 300 * time.Millisecond, 1},
		{"a second run, ordered long ago", true, 1700 * time.Millisecond, 0},
		{"the only run of a task, ordered long ago", false, 1700 * time.Millisecond, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.runner.startTakesEffect = true
			o := startOrders(3)
			o.Starts[0].Second = tc.second
			o.StoreContactAgeMS, o.ConfirmedAgeMS, o.LastPing = 10, 10, 8
			s.agent.pingTimes.Note(8, clock.Steady().Add(-tc.orderAge))
			s.agent.handleOrders(t.Context(), o)
			s.agent.group.Wait()
			if got := len(s.runner.listing.Runs); got != tc.want {
				t.Errorf("runs: got %d, want %d", got, tc.want)
			}
		})
	}
}
