package runneragent

import (
	"context"
	"testing"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// Answers to concurrent polls arrive in any order, and the runner's clock tells only milliseconds apart.
func TestListingOfTheSameMillisecondTakesNothingBack(t *testing.T) {
	running := []dispatch.RunStatus{{Task: task, Run: 2}}
	done := []dispatch.RunEnd{{Number: 1, Task: task, Run: 2, How: dispatch.OutcomeDone}}
	for _, tc := range []struct {
		name         string
		newer, older Listing
		runs, ends   int
	}{
		{"a start", Listing{Runs: running}, Listing{}, 1, 0},
		{"an end", Listing{RunEnds: done}, Listing{Runs: running}, 0, 1},
		{"a start and an end", Listing{RunEnds: done}, Listing{}, 0, 1},
		{"in order", Listing{}, Listing{RunEnds: done}, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			for _, l := range []Listing{tc.newer, tc.older} {
				l.StartedAtMS, l.ClockMS = 7, 1500
				s.agent.handleListing(context.Background(), clock.Steady(), &l)
			}
			s.agent.mu.Lock()
			s.agent.sendFirstReport(clock.Steady(), runnerAnswers)
			s.agent.mu.Unlock()
			r := s.next(t, isReport).Report
			if len(r.Runs) != tc.runs || len(r.RunEnds) != tc.ends {
				t.Errorf("report: got runs %v and ends %v, want %d and %d", r.Runs, r.RunEnds, tc.runs, tc.ends)
			}
		})
	}
}
