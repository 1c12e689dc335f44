package standin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// taskFixture has two runners with a plan of one step.
type taskFixture struct {
	now     time.Time
	history History
	plan    JobPlan
	runners []*TaskRunner
}

func newTaskFixture(step StepPlan) *taskFixture {
	s := &taskFixture{now: time.UnixMilli(0).UTC(), plan: JobPlan{Job: "j", Steps: []StepPlan{step}}}
	gangs := &Gangs{}
	for _, name := range []string{"x", "y"} {
		r := &TaskRunner{Name: name, History: &s.history, Gangs: gangs, MilliCPU: 1000, Rack: "r1"}
		r.Restart(s.now)
		s.runners = append(s.runners, r)
	}
	return s
}

// start starts a run of a task at a runner, and returns the reason of a refusal.
func (s *taskFixture) start(runner, index int, run uint64, checkpoint string) string {
	r := s.runners[runner]
	leaseMS := r.ClockMS(s.now) + maxLeaseMS
	r.Admit(s.now, 1, leaseMS)
	return r.CarryOut(s.now, &Order{Task: fmt.Sprintf("j.0.0.%d", index), Run: run, LeaseEndMS: leaseMS, Plan: &s.plan, Checkpoint: checkpoint})
}

// pass lets time pass, with leases that do not expire.
func (s *taskFixture) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		for _, r := range s.runners {
			r.Admit(s.now, 1, r.ClockMS(s.now)+maxLeaseMS)
			r.EndDueRuns(s.now)
		}
	}
}

// ends returns how the runs at a runner have ended, and the checkpoint of the newest.
func (s *taskFixture) ends(runner int) (outcomes []string, checkpoint string) {
	_, ends := s.runners[runner].List(s.now, 0)
	for _, e := range ends {
		outcomes, checkpoint = append(outcomes, e.Outcome), e.Checkpoint
	}
	return outcomes, checkpoint
}

func (s *taskFixture) wantEnds(t *testing.T, runner int, want ...string) {
	t.Helper()
	if got, _ := s.ends(runner); !slices.Equal(got, want) {
		t.Errorf("ends at %s: got %q, want %q", s.runners[runner].Name, got, want)
	}
}

func TestRunThatDoesNotFitIsRefused(t *testing.T) {
	s := newTaskFixture(StepPlan{Count: 3, DurationMS: 100, MilliCPU: 400})
	for i, want := range []string{"", "", ReasonNoRoom} {
		if got := s.start(0, i, 1, ""); got != want {
			t.Errorf("start %d: got %q, want %q", i, got, want)
		}
	}
	s.pass(200 * time.Millisecond)
	if got, want := s.start(0, 2, 1, ""), ""; got != want {
		t.Errorf("start after the others: got %q, want %q", got, want)
	}
}

func TestRunResumesFromItsCheckpoint(t *testing.T) {
	s := newTaskFixture(StepPlan{Count: 2, DurationMS: 3000, Checkpointing: true})
	s.start(0, 0, 1, "")
	s.pass(2500 * time.Millisecond)
	if runs, _ := s.runners[0].List(s.now, 0); runs[0].Percent != 83 || runs[0].Checkpoint[:8] != "000007d0" {
		t.Errorf("run: got %+v, want 83 percent and a checkpoint of 2000 ms", runs[0])
	}
	s.runners[0].Stop(s.now, "j.0.0.0", 1)
	_, checkpoint := s.ends(0)
	s.start(1, 0, 2, checkpoint)
	s.pass(700 * time.Millisecond) // 250 ms to restore and 500 ms of work are left
	s.wantEnds(t, 1)
	s.pass(100 * time.Millisecond)
	s.wantEnds(t, 1, "done")
	if got := s.history.Violations(); len(got) > 0 {
		t.Errorf("violations: got %q, want none", got)
	}
	s.start(0, 1, 1, checkpoint)
	if got, want := len(s.history.Violations()), 1; got != want {
		t.Errorf("violations by the checkpoint of another task: got %d, want %d", got, want)
	}
}

func TestGangEndsTogether(t *testing.T) {
	s := newTaskFixture(StepPlan{Count: 2, DurationMS: 500, Gang: true})
	s.start(0, 0, 1, "")
	s.pass(time.Second)
	s.wantEnds(t, 0)
	s.start(1, 1, 1, "")
	s.pass(400 * time.Millisecond)
	s.wantEnds(t, 0)
	s.pass(200 * time.Millisecond)
	s.wantEnds(t, 0, "done")
	s.wantEnds(t, 1, "done")
}

func TestGangBreaks(t *testing.T) {
	s := newTaskFixture(StepPlan{Count: 2, DurationMS: 500, Gang: true})
	s.start(0, 0, 1, "")
	s.start(1, 1, 1, "")
	s.runners[1].Restart(s.now)
	s.pass(20 * time.Millisecond)
	s.wantEnds(t, 0, "broken")
	s.start(1, 1, 2, "")
	s.pass(gangWait + 100*time.Millisecond)
	s.wantEnds(t, 1, "alone")
}

func TestRunsFailAsPlanned(t *testing.T) {
	s := newTaskFixture(StepPlan{Count: 1, DurationMS: 50, FailedRuns: 2, Rack: "r2"})
	for run := range uint64(3) {
		s.start(0, 0, run+1, "")
		s.pass(60 * time.Millisecond) // the data is in another rack
		s.pass(30 * time.Millisecond)
	}
	s.wantEnds(t, 0, "failed", "failed", "done")
}

func TestRunnerThatIsAwayStartsNothing(t *testing.T) {
	s := newTaskFixture(StepPlan{Count: 1, DurationMS: 50})
	s.runners[0].Shutdown(s.now)
	if got := s.start(0, 0, 1, ""); got == "" {
		t.Error("a start at a runner that is away: got carried out, want refused")
	}
	s.runners[0].Restart(s.now)
	if got, want := s.start(0, 0, 1, ""), ""; got != want {
		t.Errorf("a start after its return: got %q, want %q", got, want)
	}
}
