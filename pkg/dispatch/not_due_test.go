package dispatch

import (
	"slices"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// The clock of this dispatcher is behind that of the one that stored the progress.
func TestStoredProgressOfOccurrencesNotDueIsKept(t *testing.T) {
	sub := &workflow.Submission{ID: "a", Queue: "shapes", Spec: workflow.Spec{RepeatCount: 2, FirstDueMS: 1000, IntervalMS: 2000, Steps: []workflow.Step{{Count: 2}}}}
	stored := &workflow.Progress{Phase: workflow.PhaseRunning, Done: []workflow.DoneTasks{{Occurrence: 1}}}
	stored.Done[0].Mark(1)
	var sc Scheduler
	sc.SetQueues(testQueues)
	sc.BeginTerm(2, nil)
	now := time.Unix(1000, 0)
	sc.Admit(now, 2000, sub, stored, true)
	sc.ApplyReport(now, 2000, &Worker{Name: "w1", Life: 1, Service: "bench", PacePercent: 100}, nil, []RunEnd{{Number: 1, Task: workflow.TaskID{Job: "a"}, Run: 1, How: OutcomeDone}})
	p := sc.TakeChange().Jobs()["a"]
	if p == nil {
		t.Fatal("progress: got none, want it")
	}
	kept := slices.ContainsFunc(p.Done, func(d workflow.DoneTasks) bool { return d.Occurrence == 1 && d.Has(1) })
	if got, want := kept, true; got != want {
		t.Errorf("task 1 of occurrence 1 is stored as done: got %v, want %v", got, want)
	}
}
