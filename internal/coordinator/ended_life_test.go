package coordinator

import (
	"context"
	"slices"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// withEndedLife returns r with a run of a task that had ended as done in a life of the runner that is over.
func withEndedLife(r *peer.Report, life uint64, task workflow.TaskID) *peer.Report {
	r.EndedLives = endedLife(life, task)
	return r
}

// endedLife returns a life in which run 1 of a task has ended as done.
func endedLife(life uint64, task workflow.TaskID) []dispatch.EndedLife {
	return []dispatch.EndedLife{{Life: life, Ends: []dispatch.RunEnd{{Number: 3, Task: task, Run: 1, How: dispatch.OutcomeDone}}}}
}

// lifeOf returns a report of a life of the runner of worker w1, without runs; life 0 stands for a runner that is gone.
func lifeOf(life uint64) *peer.Report {
	r := reportOf("w1")
	r.Worker.Life = life
	if life == 0 {
		r.Worker, r.RunnerEnded = dispatch.Worker{Name: "w1"}, true
	}
	return r
}

// acknowledgedIn returns the last end that is to be acknowledged to worker w1 in a life of its runner.
func acknowledgedIn(current *term, life uint64) (last uint64) {
	current.scheduler.TakeChange().EachAck(func(w string, l, end uint64) {
		if w == "w1" && l == life {
			last = end
		}
	})
	return last
}

// A run is known to have ended as done when the life of its runner is reported to be over: its task was started again.
func TestEndsOfAnEndedLifeCountBeforeItsRunsAreTakenForGone(t *testing.T) {
	task := workflow.TaskID{Job: "a"}
	running := func() *peer.Report {
		r := lifeOf(1)
		r.Runs = []dispatch.RunStatus{{Task: task, Run: 1}}
		return r
	}
	for _, tc := range []struct {
		name    string
		reports []*peer.Report
		// held is set if the reports are held until the worker's name is stored.
		held bool
	}{
		{"the runner has gone", []*peer.Report{running(), withEndedLife(lifeOf(0), 1, task)}, false},
		{"another life has begun", []*peer.Report{running(), withEndedLife(lifeOf(2), 1, task)}, false},
		{"gone first, and then in another life", []*peer.Report{running(), lifeOf(0), withEndedLife(lifeOf(2), 1, task)}, false},
		{"this dispatcher never knew the life, the runner has gone", []*peer.Report{withEndedLife(lifeOf(0), 1, task)}, false},
		{"this dispatcher never knew the life", []*peer.Report{withEndedLife(lifeOf(5), 1, task)}, false},
		{"the report is held", []*peer.Report{withEndedLife(lifeOf(5), 1, task)}, true},
		{"each report shows it", []*peer.Report{running(), withEndedLife(lifeOf(0), 1, task), withEndedLife(lifeOf(2), 1, task), withEndedLife(lifeOf(3), 1, task)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, current := newDispatcher(t, &standin.Store{})
			admitSingle(current, "a")
			if !tc.held {
				current.roster.Register([]string{"w1"}, 1)
			}
			conn, hello := pipedConn(t), &peer.Hello{Role: peer.RoleAgent, Name: "w1"}
			for _, r := range tc.reports {
				r.Registration = current.roster.Number("w1")
				c.handleAgentMessage(conn, hello, &peer.Message{Report: r})
			}
			if tc.held {
				c.registerWorkers(context.Background(), current)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			current.applyReport(clock.Steady(), c, reportOf("w2"))
			if got := startsAfter(current); len(got) != 0 {
				t.Errorf("starts of a task that is done: got %v, want none", got)
			}
			if got, _ := current.scheduler.Phase("a"); got != workflow.PhaseCompleted {
				t.Errorf("phase: got %s, want %s", got, workflow.PhaseCompleted)
			}
			if got, want := acknowledgedIn(current, 1), uint64(3); got != want {
				t.Errorf("acknowledged end of the ended life: got %d, want %d", got, want)
			}
		})
	}
}

// The end of a run whose job this dispatcher has not read is acknowledged only once it counts.
func TestEndOfAnUnknownJobInAnEndedLifeIsHeld(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before and after are the reports before and after the first one that shows the end.
		before, after []*peer.Report
	}{
		{"a life that this dispatcher never knew", nil, nil},
		{"the runner has returned since", nil, []*peer.Report{lifeOf(6)}},
		{"the life was known", []*peer.Report{lifeOf(5)}, []*peer.Report{lifeOf(6)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, current := newDispatcher(t, &standin.Store{})
			now := clock.Steady()
			shows := withEndedLife(lifeOf(0), 5, workflow.TaskID{Job: "a"})
			life := &shows.EndedLives[0]
			life.Ends = append(life.Ends, dispatch.RunEnd{Number: 4, Task: workflow.TaskID{Job: "b"}, Run: 1, How: dispatch.OutcomeDone})
			for _, r := range slices.Concat(tc.before, []*peer.Report{shows}, tc.after) {
				current.applyReport(now, c, r)
			}
			if got := acknowledgedIn(current, 5); got >= 3 {
				t.Errorf("acknowledged before the job is known: got %d, want less than 3", got)
			}
			admitSingle(current, "a")
			admitSingle(current, "b")
			current.applyReport(now, c, reportOf("w2"))
			if got := startsAfter(current); len(got) != 0 {
				t.Errorf("starts of tasks that are done: got %v, want none", got)
			}
			if got, want := acknowledgedIn(current, 5), uint64(4); got != want {
				t.Errorf("acknowledged once the jobs are known: got %d, want %d", got, want)
			}
		})
	}
}

// An end that is read again must not undo what has happened since.
func TestEndOfAnEndedLifeThatIsReportedAgainChangesNothing(t *testing.T) {
	for _, again := range []string{"while the later run goes on", "once the later run has ended"} {
		t.Run(again, func(t *testing.T) {
			c, current := newDispatcher(t, &standin.Store{})
			task, now := admitSingle(current, "a"), clock.Steady()
			r := withEndedLife(lifeOf(2), 1, task)
			r.EndedLives[0].Ends[0].How, r.EndedLives[0].Ends[0].Saved = dispatch.OutcomeStopped, "early"
			current.applyReport(now, c, r)
			later := reportOf("w2")
			later.Runs = []dispatch.RunStatus{{Task: task, Run: 2, Saved: "late"}}
			current.applyReport(now, c, later)
			gone := reportOf("w2")
			gone.Worker = dispatch.Worker{Name: "w2"}
			last := []*peer.Report{r, gone}
			if again == "once the later run has ended" {
				slices.Reverse(last)
			}
			for _, report := range last {
				current.applyReport(now, c, report)
			}
			current.scheduler.ExpireEarlierTerms(nil)
			starts := current.scheduler.Decide(now.Add(time.Second), clock.WallMS()).Starts()
			if len(starts) != 1 || starts[0].Saved != "late" || starts[0].Run <= 2 {
				t.Errorf("starts: got %+v, want one after run 2 that resumes from its checkpoint", starts)
			}
		})
	}
}

func TestEndOfAnEndedLifeWithAnUnknownOutcomeIsRejected(t *testing.T) {
	c, _ := newDispatcher(t, &standin.Store{})
	r := withEndedLife(lifeOf(2), 1, workflow.TaskID{Job: "a"})
	r.EndedLives[0].Ends[0].How = 77
	conn := pipedConn(t)
	c.handleAgentMessage(conn, &peer.Hello{Role: peer.RoleAgent, Name: "w1"}, &peer.Message{Report: r})
	if !isClosed(conn) {
		t.Error("connection: got open, want closed")
	}
}
