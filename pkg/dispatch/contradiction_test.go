package dispatch

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

func TestContradictionNamesConclusion(t *testing.T) {
	now := time.Unix(1000, 0)
	info := &Worker{Name: "w1", Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 1000}, PacePercent: 100}
	ends := func(sc *Scheduler) {
		sc.ApplyReport(now, 0, info, nil, []RunEnd{{Number: 1, Task: workflow.TaskID{Job: "a"}, Run: 1, How: OutcomeDone}})
	}
	for _, tc := range []struct {
		name     string
		conclude func(sc *Scheduler)
		want     Conclusion
	}{
		{"lease", func(sc *Scheduler) { sc.WorkerLeaseExpired(now, "w1") }, ConclusionLeaseExpired},
		{"runner", func(sc *Scheduler) { sc.RunnerGone(now, 0, "w1", true) }, ConclusionRunnerGone},
		{"refusal", func(sc *Scheduler) { sc.OrderRefused(now, 0, "w1", 1, workflow.TaskID{Job: "a"}, 1) }, ConclusionRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var sc Scheduler
			sc.BeginTerm(1, nil)
			sc.SetQueues(map[string]Queue{"q": {Service: "bench"}})
			sc.ApplyReport(now, 0, info, nil, nil)
			sc.Admit(now, 0, &workflow.Submission{ID: "a", Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{{Count: 1}}}}, nil, false)
			if got, want := len(sc.Decide(now, 0).Starts()), 1; got != want {
				t.Fatalf("starts: got %d, want %d", got, want)
			}
			tc.conclude(&sc)
			ends(&sc)
			got := sc.TakeContradictions()
			if len(got) != 1 || got[0].Conclusion != tc.want || got[0].How != OutcomeDone {
				t.Errorf("contradictions: got %+v, want one from %q of a run that is done", got, tc.want)
			}
		})
	}
}

func TestSecondStartNamesPreviousRun(t *testing.T) {
	now := time.Unix(1000, 0)
	var sc Scheduler
	sc.BeginTerm(1, nil)
	sc.SetQueues(map[string]Queue{"q": {Service: "bench"}})
	sc.ApplyReport(now, 0, &Worker{Name: "w1", Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 1000}, PacePercent: 100}, nil, nil)
	sc.Admit(now, 0, &workflow.Submission{ID: "a", Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{{Count: 1}}}}, nil, false)
	sc.Decide(now, 0)
	sc.ApplyEnds(now, 0, "w1", 1, 0, []RunEnd{{Number: 1, Task: workflow.TaskID{Job: "a"}, Run: 1, How: OutcomeLapsed}})
	got, _ := sc.PreviousRun(workflow.TaskID{Job: "a"})
	if want := (PreviousRun{Run: 1, Worker: "w1", How: OutcomeLapsed}); got != want {
		t.Errorf("previous run: got %+v, want %+v", got, want)
	}
}
