package runneragent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// A process that was stopped between the check of an order and its start started a task again whose end a later dispatcher
// had acknowledged more than a second before. Guards each step of a start against a pause there.
func TestHeldStartTakesNoEffect(t *testing.T) {
	const pause = 350 * time.Millisecond
	for _, tc := range []struct {
		name string
		// hold puts the pause into one step of the start.
		hold func(s *fixture, r *standinRunner, o *peer.Orders)
		// proofAge is the age of the newest proof when the order arrives.
		proofAge time.Duration
		wantRun  bool
	}{
		{"no pause", func(*fixture, *standinRunner, *peer.Orders) {}, 700 * time.Millisecond, true},
		{"before the runner reads the call", func(_ *fixture, r *standinRunner, _ *peer.Orders) { r.beforeStart = func() { time.Sleep(pause) } }, 700 * time.Millisecond, false},
		{"... with a recent proof", func(_ *fixture, r *standinRunner, _ *peer.Orders) { r.beforeStart = func() { time.Sleep(pause) } }, 0, true},
		{"while the claim is read", func(s *fixture, r *standinRunner, _ *peer.Orders) {
			read := s.agent.store.ReadNewest
			s.agent.store.ReadNewest = func(ctx context.Context, topic store.Topic, after string) (*store.Page, error) {
				defer time.Sleep(pause)
				return read(ctx, topic, after)
			}
			r.beforeStart = func() { time.Sleep(2 * pause) }
		}, time.Second, false},
		{"after a read that failed", func(s *fixture, r *standinRunner, _ *peer.Orders) {
			isUnreachable(nil, s)
			r.beforeStart = func() { time.Sleep(3 * pause) }
		}, time.Second, false},
		{"... without a pause", func(s *fixture, _ *standinRunner, _ *peer.Orders) { isUnreachable(nil, s) }, time.Second, true},
		{"with an evacuation decided meanwhile", func(s *fixture, r *standinRunner, o *peer.Orders) {
			s.agent.settings.EvacuationBound = time.Second
			s.agent.pingTimes.Note(8, clock.Steady())
			o.LastPing = 8
			r.beforeStart = func() { time.Sleep(pause) }
		}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, r := newStandinFixture(t)
			o := &peer.Orders{Term: 3, ConfirmedAgeMS: tc.proofAge.Milliseconds(), Starts: []dispatch.Start{{Worker: "w1", Life: r.StartedAtMS(), Task: task, Run: 2}}}
			s.agent.mu.Lock()
			s.agent.connReportedAt = clock.Steady()
			s.agent.mu.Unlock()
			tc.hold(s, r, o)
			s.agent.handleOrders(t.Context(), o)
			s.agent.group.Wait()
			if runs, _ := r.List(clock.Steady(), 0); len(runs) == 1 != tc.wantRun {
				t.Errorf("runs: got %v, want one: %v", runs, tc.wantRun)
			}
		})
	}
}

// A start that the runner carries out seconds after the agent has given up waiting must not take effect.
func TestStartCarriedOutLateTakesNoEffect(t *testing.T) {
	s, r := newStandinFixture(t)
	var late sync.WaitGroup
	s.agent.runner.Start = func(_ context.Context, c Call, start *dispatch.Start, deadlineMS int64) (int64, error) {
		late.Go(func() {
			time.Sleep(1500 * time.Millisecond)
			_, _ = r.start(context.Background(), c, start, deadlineMS)
		})
		return 0, ErrNoAnswer
	}
	ctx, cancel := context.WithCancel(t.Context())
	s.agent.runner.Stop = func(context.Context, Call, workflow.TaskID, uint64) error {
		cancel() // the agent stops before the start is fenced
		return ErrNoAnswer
	}
	s.agent.handleOrders(ctx, &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: r.StartedAtMS(), Task: task, Run: 2}}})
	s.agent.group.Wait()
	late.Wait()
	if runs, _ := r.List(clock.Steady(), 0); len(runs) != 0 {
		t.Errorf("runs: got %v, want none", runs)
	}
}

// A run whose start gives no lease of its own must not lapse before the poll loop renews the leases, nor start without one.
func TestStartedRunHasALease(t *testing.T) {
	for _, silent := range []bool{false, true} {
		s := newFixture(t)
		r := &standinRunner{TaskRunner: standin.TaskRunner{Name: "w1", History: new(standin.History), TaskDuration: time.Hour}}
		r.Restart(clock.Steady())
		s.agent.runner = Runner{Start: r.start, Stop: r.stop, Renew: r.renew}
		s.poll(t) // shows the life, and renews nothing
		if silent {
			s.agent.runner.Renew = func(context.Context, RenewRequest) (*Listing, error) {
				return nil, errors.Mark(errors.New("silent"), ErrNoAnswer)
			}
		}
		s.agent.handleOrders(t.Context(), &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: r.StartedAtMS(), Task: task, Run: 2}}})
		s.agent.group.Wait()
		r.EndDueRuns(clock.Steady().Add(pollWait + callTimeout - 100*time.Millisecond))
		runs, ends := r.List(clock.Steady(), 0)
		if got, want := len(runs), 1; !silent && (got != want || len(ends) != 0) {
			t.Errorf("got %d runs and ends %v, want a run", got, ends)
		}
		if silent && len(runs)+len(ends) != 0 {
			t.Errorf("runner without an answer: got runs %v and ends %v, want none", runs, ends)
		}
	}
}

// Each of many starts polled the runner for itself when the leases at the runner were short.
func TestStartsShareARenewal(t *testing.T) {
	s, r := newStandinFixture(t)
	s.agent.mu.Lock()
	s.agent.grantedLeaseEndMS = 0
	s.agent.mu.Unlock()
	var mu sync.Mutex
	s.agent.runner.Renew = func(ctx context.Context, q RenewRequest) (*Listing, error) {
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		return r.renew(ctx, q)
	}
	o := &peer.Orders{Term: 3}
	for i := range 20 {
		o.Starts = append(o.Starts, dispatch.Start{Worker: "w1", Life: r.StartedAtMS(), Task: workflow.TaskID{Job: "5c", Index: i}, Run: 2})
	}
	before := len(r.renewals)
	s.agent.handleOrders(t.Context(), o)
	s.agent.group.Wait()
	if runs, _ := r.List(clock.Steady(), 0); len(runs) != len(o.Starts) {
		t.Errorf("runs: got %d, want %d", len(runs), len(o.Starts))
	}
	if got, limit := len(r.renewals)-before, maxLeasePolls; got < 1 || got > limit {
		t.Errorf("renewals for %d starts: got %d, want 1 to %d", len(o.Starts), got, limit)
	}
}

// A start that waited for a read of the claim was sent, although its worker had been reported as empty meanwhile.
func TestStartIsNotSentAfterAnEmptyReport(t *testing.T) {
	s := newFixture(t)
	s.runner.startTakesEffect = true
	read := s.agent.store.ReadNewest
	s.agent.store.ReadNewest = func(ctx context.Context, topic store.Topic, after string) (*store.Page, error) {
		s.agent.mu.Lock()
		s.agent.sendEmptyReport(clock.Steady(), runnerSilent)
		s.agent.mu.Unlock()
		return read(ctx, topic, after)
	}
	o := startOrders(3)
	o.ConfirmedAgeMS = 1000
	s.agent.handleOrders(t.Context(), o)
	s.agent.group.Wait()
	if got := s.runner.listing.Runs; len(got) != 0 {
		t.Errorf("runs: got %v, want none", got)
	}
	if got, want := s.next(t, isRefusal).OrderRefused.Reason, errReportedEmpty.Error(); got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
}
