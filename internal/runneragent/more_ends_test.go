package runneragent

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// setListing changes what the runner lists.
func (s *fixture) setListing(change func(*Listing)) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	change(&s.runner.listing)
}

// A listing with the maximum number of run ends does not show whether another run has ended.
func TestRunWhoseEndMayNotBeListedYetIsNotRefused(t *testing.T) {
	s := newFixture(t)
	s.setListing(func(l *Listing) { l.MoreEnds = true })
	s.agent.handleOrders(context.Background(), &peer.Orders{Term: 3, Stops: []dispatch.Stop{{Worker: "w1", Life: 7, Task: task, Run: 2}}})
	time.Sleep(2 * retryDelay)
	if got := s.sentSoFar(t, isRefusal); len(got) != 0 {
		t.Errorf("refusals while more ends may be there: got %v, want none", got)
	}
	s.setListing(func(l *Listing) {
		l.MoreEnds = false
		l.RunEnds = append(l.RunEnds, dispatch.RunEnd{Number: 501, Task: task, Run: 2, How: dispatch.OutcomeDone})
	})
	s.agent.group.Wait()
	if got := s.sentSoFar(t, isRefusal); len(got) != 0 {
		t.Errorf("refusals of a run that has ended: got %v, want none", got)
	}
}

func TestWorkerIsReportedAgainOnceAllEndsAreListed(t *testing.T) {
	s := newFixture(t)
	s.setListing(func(l *Listing) { l.MoreEnds = true })
	s.poll(t)
	s.agent.mu.Lock()
	s.agent.sendReport()
	s.agent.mu.Unlock()
	for _, want := range []bool{true, false} {
		if got := s.next(t, isReport).Report.Worker.MoreEnds; got != want {
			t.Errorf("report: got more ends %v, want %v", got, want)
		}
		s.setListing(func(l *Listing) { l.MoreEnds = false })
		s.poll(t)
	}
	if got := s.sentSoFar(t, isReport); len(got) != 0 {
		t.Errorf("further reports: got %v, want none", got)
	}
}
