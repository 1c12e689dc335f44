package runneragent

import (
	"testing"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// A dispatcher must be able to tell that an end before those that it receives is missing.
func TestRunEndsNameTheEndBefore(t *testing.T) {
	s := newFixture(t)
	for _, want := range []uint64{0, 1, 2} {
		s.runner.mu.Lock()
		s.runner.listing.RunEnds = append(s.runner.listing.RunEnds, dispatch.RunEnd{Number: want + 1, Task: task, Run: want + 1, How: dispatch.OutcomeDone})
		s.runner.mu.Unlock()
		s.poll(t)
		if got := s.next(t, func(m *peer.Message) bool { return m.RunEnds != nil }).RunEnds.After; got != want {
			t.Errorf("end before: got %d, want %d", got, want)
		}
	}
	s.agent.mu.Lock()
	s.agent.sendReport()
	s.agent.mu.Unlock()
	if got, want := s.next(t, isReport).Report.Worker.LastSentEnd, uint64(3); got != want {
		t.Errorf("last end that the report covers: got %d, want %d", got, want)
	}
}
