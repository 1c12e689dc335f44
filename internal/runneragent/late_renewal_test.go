package runneragent

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// A renewal that the runner carries out late, in its next life under the same name, forgets no end of that life.
func TestLateRenewalOfAnIdleRunnerForgetsNoEnd(t *testing.T) {
	s, r := newStandinFixture(t)
	s.poll(t)
	late := r.renewals[len(r.renewals)-1]
	time.Sleep(10 * time.Millisecond)
	r.Restart(clock.Steady())
	r.completeRun(s)
	r.List(clock.Steady(), late.LastAckedEnd)
	s.poll(t)
	s.agent.group.Wait()
	if got, want := s.agent.lastEndNumber(), uint64(1); got != want {
		t.Errorf("last end of the new life: got %d, want %d", got, want)
	}
	for _, m := range s.sentSoFar(t, isRefusal) { // the dispatcher starts the task again
		k := m.OrderRefused
		r.Start(clock.Steady(), k.Task.String(), k.Run+1, 1<<40, "")
	}
	for _, v := range r.History.Violations() {
		t.Error(v)
	}
}

// An end is acknowledged to the runner while it lists the end, and not any more once it has forgotten it.
func TestEndIsAcknowledgedWhileItIsListed(t *testing.T) {
	s, r := newStandinFixture(t)
	r.completeRun(s)
	s.poll(t) // lists end 1, which the dispatcher has stored
	for i, want := range []uint64{1, 0, 0} {
		s.poll(t)
		if got := r.renewals[len(r.renewals)-1].LastAckedEnd; got != want {
			t.Errorf("acknowledged by poll %d after the listing: got %d, want %d", i, got, want)
		}
	}
	if _, ends := r.List(clock.Steady(), 0); len(ends) != 0 {
		t.Errorf("ends that the runner still lists: got %v, want none", ends)
	}
}

// An agent that has seen a whole life of the runner notices ends of it that were never listed.
func TestForgottenEndsAreNoticed(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lives are the numbers of the run ends that each life of the runner lists.
		lives [][]uint64
		want  int64
	}{
		{"an agent that began during the life", [][]uint64{{58, 59}}, 0},
		{"none forgotten", [][]uint64{{}, {1, 2}}, 0},
		{"the first ends of the next life", [][]uint64{{}, {3}}, 1},
		{"ends in between", [][]uint64{{}, {1, 3, 4}}, 1},
	} {
		a := newFixture(t).agent
		a.life = 0
		for i, numbers := range tc.lives {
			l := &Listing{ClockMS: 1, StartedAtMS: uint64(i + 7)}
			for _, n := range numbers {
				l.RunEnds = append(l.RunEnds, dispatch.RunEnd{Number: n, Task: task, Run: n, How: dispatch.OutcomeDone})
			}
			a.handleListing(t.Context(), clock.Steady(), l)
		}
		if got := gometrics.GetOrRegisterCounter("run-ends-missed", a.registry).Count(); got != tc.want {
			t.Errorf("%s: got %d gaps, want %d", tc.name, got, tc.want)
		}
	}
}

// Listings of the same millisecond may be handled in another order than they were sent: a run that only the first one shows
// was not forgotten.
func TestListingsOfOneMillisecondShowNoForgottenRun(t *testing.T) {
	a := newFixture(t).agent
	runs := []dispatch.RunStatus{{Task: task, Run: 2}}
	for _, l := range []Listing{{ClockMS: 2000, Runs: runs}, {ClockMS: 2000}, {ClockMS: 2001, Runs: runs}, {ClockMS: 2002}} {
		l.StartedAtMS = 7
		a.handleListing(t.Context(), clock.Steady(), &l)
	}
	if got, want := gometrics.GetOrRegisterCounter("runs-vanished", a.registry).Count(), int64(1); got != want {
		t.Errorf("forgotten runs: got %d, want %d", got, want)
	}
}
