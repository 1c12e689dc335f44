package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

func TestNextDispatcherKnowsCrashesOfTask(t *testing.T) {
	start := time.Unix(1000, 0)
	admit := event{Do: "admit", Job: "a", Queue: "fits", Steps: json.RawMessage(`[{"count": 1, "cpu": 1000}]`)}
	var first Scheduler
	first.SetQueues(testQueues)
	first.BeginTerm(1, nil)
	for _, e := range []event{{Do: "report", Worker: "w1", Life: 1}, admit} {
		applyEvent(t, &first, start, 1_000_000, &e)
	}
	first.Decide(start, 1_000_000)
	applyEvent(t, &first, start, 1_000_000, &event{Do: "crashed", Worker: "w1", Runs: []string{"a.0.0.0 1"}})
	progress := first.TakeChange().Jobs()["a"]
	if progress == nil {
		t.Fatal("progress of the job after a crash: got none, want one to store")
	}

	var second Scheduler
	second.SetQueues(testQueues)
	second.BeginTerm(2, nil)
	applyEvent(t, &second, start, 1_000_000, &event{Do: "report", Worker: "w2", Life: 1})
	second.Admit(start, 1_000_000, jobOf(t, &admit), progress, true)
	orders := second.Decide(start, 1_000_000)
	if got := orders.Starts(); len(got) != 1 || !got[0].Trial {
		t.Fatalf("starts by the next dispatcher: got %+v, want one trial", got)
	}
	run := orders.Starts()[0].Run
	second.ConfirmSent("w2", []SentRun{{Task: orders.Starts()[0].Task, Run: run}})
	second.RunnerGone(start, 1_000_000, "w2", true)
	if got, _ := second.Phase("a"); got.String() != "failed" {
		t.Errorf("phase after a second crash: got %s, want failed", got)
	}
	if got := second.TakeAbandonedTasks(); len(got) != 1 || got[0].Crashes != 2 {
		t.Errorf("abandoned tasks: got %+v, want one after two crashes", got)
	}
}

// A start may reach the next life of its runner first, if the runner restarts within milliseconds.
func TestRunThatBeginsInTheNextLifeHasCrashedNothing(t *testing.T) {
	now, task := time.Unix(1000, 0), workflow.TaskID{Job: "a"}
	for _, tc := range []struct {
		name      string
		runs      []string
		ends      []string
		abandoned int
		wantPhase string
	}{
		{"at work in the next life", []string{"a.0.0.0 2"}, nil, 0, "running"},
		{"done in the next life", nil, []string{"1 a.0.0.0 2 done"}, 0, "completed"},
		{"not in the next life", nil, nil, 1, "failed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var sc Scheduler
			sc.SetQueues(testQueues)
			sc.BeginTerm(1, nil)
			for _, e := range []event{
				{Do: "report", Worker: "w1", Life: 1},
				{Do: "admit", Job: "a", Queue: "fits", Steps: json.RawMessage(`[{"count": 1, "cpu": 1000}]`)},
			} {
				applyEvent(t, &sc, now, 1_000_000, &e)
			}
			sc.Decide(now, 1_000_000)
			applyEvent(t, &sc, now, 1_000_000, &event{Do: "crashed", Worker: "w1", Runs: []string{"a.0.0.0 1"}})
			applyEvent(t, &sc, now, 1_000_000, &event{Do: "report", Worker: "w2", Life: 1})
			if got := sc.Decide(now, 1_000_000).Starts(); len(got) != 1 || !got[0].Trial {
				t.Fatalf("starts after a crash: got %+v, want one trial", got)
			}
			sc.ConfirmSent("w2", []SentRun{{Task: task, Run: 2}})
			applyEvent(t, &sc, now, 1_000_000, &event{Do: "report", Worker: "w2", Life: 2, Runs: tc.runs, Ends: tc.ends})
			if got, _ := sc.Phase("a"); got.String() != tc.wantPhase {
				t.Errorf("phase: got %s, want %s", got, tc.wantPhase)
			}
			if got := len(sc.TakeAbandonedTasks()); got != tc.abandoned {
				t.Errorf("abandoned tasks: got %d, want %d", got, tc.abandoned)
			}
			if got := sc.TakeContradictions(); len(got) != 0 {
				t.Errorf("contradictions: got %+v, want none", got)
			}
		})
	}
}
