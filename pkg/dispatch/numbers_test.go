package dispatch

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// A runner refuses a run that is not higher than one that ended there, also if that run is of an earlier term.
func TestRunNumbersExceedThoseOfEarlierTerms(t *testing.T) {
	const failedRun = runsPerTerm + 500
	sub := &workflow.Submission{ID: "a", Queue: "lasts", Spec: workflow.Spec{Steps: []workflow.Step{longRunning(1000)}}}
	progress := &workflow.Progress{Phase: workflow.PhaseRunning, Tasks: []workflow.TaskProgress{{Failed: []uint64{failedRun}}}}
	p := newPlay(t, "w1")
	p.sc.BeginTerm(2, nil)
	p.sc.ApplyReport(p.now, p.wallMS, &p.workers[0].info, nil, nil)
	p.sc.Admit(p.now, p.wallMS, sub, progress, true)
	starts := p.sc.Decide(p.now.Add(time.Second), p.wallMS).Starts()
	if len(starts) != 1 || starts[0].Run <= failedRun {
		t.Errorf("starts: got %+v, want one with a run number above %d", starts, failedRun)
	}
}
