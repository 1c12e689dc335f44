package runneragent

import (
	"context"
	"testing"

	"savoryhoist.example/savoryhoist/internal/peer"
)

// Once the heartbeat of a next life has arrived, that life is sent nothing that was meant for the earlier one.
func TestAnnouncedLifeGetsNothingMeantForTheEarlierOne(t *testing.T) {
	s := newFixture(t)
	s.runner.startTakesEffect = true
	s.listEnd(t, 4)
	s.agent.handleAck(&peer.RunEndsAck{Life: 7, LastAckedEnd: 4})
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-2", StartedAtMS: 8, Seq: 1, Service: "bench"})
	s.agent.handleOrders(context.Background(), startOrders(3))
	s.agent.group.Wait()
	if got := s.runner.listing.Runs; len(got) != 0 {
		t.Errorf("runs: got %v, want none", got)
	}
	if got := s.sentSoFar(t, isRefusal); len(got) != 1 || got[0].OrderRefused.Run != 2 {
		t.Errorf("refusals: got %v, want one of run 2", got)
	}
	s.poll(t)
	last := s.runner.renewals[len(s.runner.renewals)-1]
	if last.LastAckedEnd != 0 || last.LeaseEndMS != 0 {
		t.Errorf("poll after the heartbeat: got acknowledgement %d and lease end %d, want neither", last.LastAckedEnd, last.LeaseEndMS)
	}
}
