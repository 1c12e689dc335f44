package dispatch

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// A start of an earlier life that a worker reports as pending in the next life may still take effect: its
// task is not started again before the worker has refused it, although another worker has room.
func TestPendingStartOfEarlierLifeIsNotRepeated(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		sc, now := new(Scheduler), time.Unix(1000, 0)
		sc.SetQueues(testQueues)
		sc.BeginTerm(1, nil)
		info := func(name string, life uint64) *Worker {
			return &Worker{Name: name, Life: life, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000, MemoryMB: 64000}, PacePercent: fullPacePercent}
		}
		sc.ApplyReport(now, 0, info("w1", 1), nil, nil)
		step := workflow.Step{Count: 1, LongRunning: longRunning, Size: worker.Resources{MilliCPU: 1000}}
		sc.Admit(now, 0, &workflow.Submission{ID: "a", Queue: "lasts", Spec: workflow.Spec{Steps: []workflow.Step{step}}}, nil, false)
		starts := sc.Decide(now, 0).Starts()
		if len(starts) != 1 {
			t.Fatalf("long-running %v: starts: got %v, want one", longRunning, starts)
		}
		run := RunStatus{Task: starts[0].Task, Run: starts[0].Run, Pending: true}
		sc.ApplyReport(now, 0, info("w2", 1), nil, nil)
		sc.ApplyReport(now, 0, info("w1", 2), []RunStatus{run}, nil)
		for range 20 {
			now = now.Add(400 * time.Millisecond)
			sc.ApplyPing(now, info("w1", 2), nil)
			sc.ApplyPing(now, info("w2", 1), nil)
			if o := sc.Decide(now, 0); len(o.Starts())+len(o.Stops()) != 0 {
				t.Fatalf("long-running %v: orders while the start is pending: got starts %v and stops %v, want none", longRunning, o.Starts(), o.Stops())
			}
		}
		sc.OrderRefused(now, 0, "w1", 2, run.Task, run.Run)
		now = now.Add(refusedRetryDelay)
		if starts := sc.Decide(now, 0).Starts(); len(starts) != 1 || starts[0].Run == run.Run {
			t.Errorf("long-running %v: starts after the refusal: got %v, want a new run", longRunning, starts)
		}
	}
}

// A start without an answer may still take effect in the next life of a runner that is gone: its task is not started again
// before the agent has refused it.
func TestPendingStartAtAGoneRunnerIsNotRepeated(t *testing.T) {
	for _, tc := range []struct {
		name string
		// laterDispatcher is set if the dispatcher did not order the start itself, unread if it has not read the job either.
		laterDispatcher, unread bool
		// lifeOfRefusal is the life in which the start is refused, 0 if the runner stays away.
		lifeOfRefusal uint64
	}{
		{"refused while the runner stays away", false, false, 0},
		{"refused in the next life", false, false, 2},
		{"reported to a later dispatcher", true, false, 0},
		{"of a job that was not read yet", true, true, 0},
	} {
		sc, now := new(Scheduler), time.Unix(1000, 0)
		sc.SetQueues(testQueues)
		info := func(name string, life uint64) *Worker {
			return &Worker{Name: name, Life: life, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000, MemoryMB: 64000}, PacePercent: fullPacePercent}
		}
		admit := func() {
			step := workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 1000}}
			sc.Admit(now, 0, &workflow.Submission{ID: "a", Queue: "lasts", Spec: workflow.Spec{Steps: []workflow.Step{step}}}, nil, tc.laterDispatcher)
		}
		pending := []RunStatus{{Task: workflow.TaskID{Job: "a"}, Run: 1, Pending: true}}
		if tc.laterDispatcher {
			sc.BeginTerm(2, []string{"w1", "w2"})
		} else {
			sc.BeginTerm(1, nil)
			sc.ApplyReport(now, 0, info("w1", 1), nil, nil)
			admit()
			starts := sc.Decide(now, 0).Starts()
			if len(starts) != 1 {
				t.Fatalf("%s: starts: got %v, want one", tc.name, starts)
			}
			pending[0].Run = starts[0].Run
		}
		sc.ApplyReport(now, 0, info("w2", 1), nil, nil)
		if tc.laterDispatcher && !tc.unread {
			admit()
		}
		sc.RunnerGone(now, 0, "w1", true)
		sc.AdoptPending(now, 0, "w1", pending)
		if tc.unread {
			admit()
		}
		for i := range 20 {
			now = now.Add(400 * time.Millisecond)
			if i == 10 && tc.lifeOfRefusal != 0 {
				sc.ApplyReport(now, 0, info("w1", tc.lifeOfRefusal), pending, nil)
			}
			sc.ApplyPing(now, info("w2", 1), nil)
			if o := sc.Decide(now, 0); len(o.Starts()) != 0 {
				t.Fatalf("%s: starts while the start is pending: got %v, want none", tc.name, o.Starts())
			}
		}
		for _, c := range sc.TakeContradictions() {
			if !c.Pending {
				t.Errorf("%s: contradiction: got %+v, want none but of the pending start", tc.name, c)
			}
		}
		sc.OrderRefused(now, 0, "w1", tc.lifeOfRefusal, pending[0].Task, pending[0].Run)
		now = now.Add(refusedRetryDelay)
		if starts := sc.Decide(now, 0).Starts(); len(starts) != 1 || starts[0].Run == pending[0].Run {
			t.Errorf("%s: starts after the refusal: got %v, want a new run", tc.name, starts)
		}
	}
}
