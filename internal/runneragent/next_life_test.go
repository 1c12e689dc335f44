package runneragent

import (
	"context"
	"testing"
	"time"

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

// An announced life is polled at once, although a poll of the earlier life is still without an answer: until then a late
// start may run in it.
func TestAnnouncedLifeIsPolledAtOnce(t *testing.T) {
	s := newFixture(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	hanging := make(chan struct{})
	s.agent.runner.Renew = func(ctx context.Context, r RenewRequest) (*Listing, error) {
		select {
		case <-first:
			close(hanging)
			<-ctx.Done()
			return nil, ErrNoAnswer
		default:
			return s.runner.renew(ctx, r)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.agent.mu.Lock()
	s.agent.sameLifeUntil = time.Time{} // the poll asks for no delay, so that it fails after callTimeout
	s.agent.mu.Unlock()
	s.agent.group.Go(func() { s.agent.pollLoop(ctx) })
	<-hanging
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	announced := time.Now()
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 8, Seq: 1, Service: "bench"})
	if r := s.next(t, isReport).Report; r.Worker.Life != 8 {
		t.Errorf("report: got life %d, want 8", r.Worker.Life)
	}
	if got, limit := time.Since(announced), callTimeout/2; got > limit {
		t.Errorf("report of the announced life: got it after %s, want it within %s", got, limit)
	}
}
