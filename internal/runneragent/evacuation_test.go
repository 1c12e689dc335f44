package runneragent

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// Guards against starts in a data centre that the agent knows to be evacuated, against starts that were decided so long
// ago that it may have been evacuated since, and against refusals without a reason.
func TestEvacuatedAgentRefusesStarts(t *testing.T) {
	const bound = 5 * time.Second
	for _, tc := range []struct {
		name   string
		change func(s *fixture, o *peer.Orders)
		want   string
	}{
		{"no evacuation", func(*fixture, *peer.Orders) {}, ""},
		{"named with the orders", func(_ *fixture, o *peer.Orders) { o.Evacuated = []string{"b", "a"} }, errEvacuated.Error()},
		{"another data centre", func(_ *fixture, o *peer.Orders) { o.Evacuated = []string{"b"} }, ""},
		{"a data centre without a name", func(s *fixture, o *peer.Orders) {
			s.agent.settings.Zone, o.Evacuated = "", []string{""}
		}, ""},
		{"restored since", func(s *fixture, _ *peer.Orders) {
			s.agent.handlePong(s.agent.conn, &peer.Pong{DispatcherTerm: 3, Evacuated: []string{"a"}})
		}, ""},
		{"decided after a recent ping", func(s *fixture, o *peer.Orders) {
			s.agent.pingTimes.Note(8, clock.Steady())
			o.LastPing = 8
		}, ""},
		{"decided after an old ping", func(s *fixture, o *peer.Orders) {
			s.agent.pingTimes.Note(8, clock.Steady().Add(-bound/2))
			o.LastPing = 8
		}, errOldOrder.Error()},
		{"decided after a ping long ago", func(s *fixture, o *peer.Orders) {
			s.agent.pingTimes.Note(99, clock.Steady())
			o.LastPing = 8
		}, errOldOrder.Error()},
		{"decided after an old ping, in a deployment without evacuations", func(s *fixture, o *peer.Orders) {
			s.agent.settings.EvacuationBound = 0
			s.agent.pingTimes.Note(8, clock.Steady().Add(-2*bound/5))
			o.LastPing = 8
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.agent.settings.Zone, s.agent.settings.EvacuationBound = "a", bound
			s.runner.startTakesEffect = true
			o := startOrders(3)
			tc.change(s, o)
			s.agent.handleOrders(context.Background(), o)
			s.agent.group.Wait()
			if got, want := len(s.runner.listing.Runs) == 0, tc.want != ""; got != want {
				t.Errorf("refused: got %v, want %v", got, want)
			}
			if tc.want == "" {
				return
			}
			if got := s.next(t, isRefusal).OrderRefused.Reason; got != tc.want {
				t.Errorf("reason: got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a start that is sent to the runner although the evacuation became known after the order was handled.
func TestEvacuationBetweenOrderAndStart(t *testing.T) {
	s := newFixture(t)
	s.agent.settings.Zone = "a"
	s.runner.startTakesEffect = true
	o := startOrders(3)
	key := runKey{task, 2}
	s.agent.mu.Lock()
	s.agent.unlistedStarts[key] = &o.Starts[0]
	s.agent.addUnanswered(clock.Steady(), key)
	c := s.agent.newCall()
	s.agent.mu.Unlock()
	s.agent.handlePong(s.agent.conn, &peer.Pong{DispatcherTerm: 3, Evacuated: []string{"a"}})
	s.agent.startRun(context.Background(), c, &o.Starts[0], 1000, &orderTerms{term: 3, basis: leadership.NewOrderBasis(clock.Steady(), 0, 0)})
	if got, want := s.next(t, isRefusal).OrderRefused.Reason, errEvacuated.Error(); got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
	if len(s.runner.listing.Runs) != 0 || len(s.agent.unansweredStarts) != 0 || len(s.agent.unlistedStarts) != 0 {
		t.Errorf("got runs %v, unanswered %v, unlisted %v, want none", s.runner.listing.Runs, s.agent.unansweredStarts, s.agent.unlistedStarts)
	}
}
