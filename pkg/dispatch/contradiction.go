package dispatch

import "savoryhoist.example/savoryhoist/pkg/workflow"

// Conclusion says from what the scheduler concluded that a run has ended although no worker listed its end.
type Conclusion string

// The conclusions.
const (
	// ConclusionRefused is an order that the agent is certain never to carry out.
	ConclusionRefused Conclusion = "refused"
	// ConclusionLeaseExpired is a worker whose lease has expired.
	ConclusionLeaseExpired Conclusion = "lease-expired"
	// ConclusionRunnerGone is a worker whose agent reported that nothing runs.
	ConclusionRunnerGone Conclusion = "runner-gone"
	// ConclusionLifeReplaced is a worker that reported another life of its runner.
	ConclusionLifeReplaced Conclusion = "life-replaced"
	// ConclusionTermOver is a run of an earlier term that no worker had reported.
	ConclusionTermOver Conclusion = "term-over"
)

// maxConcludedRuns bounds the concluded ends that are kept for one task.
const maxConcludedRuns = 4

// concludedRun is a run whose end the scheduler has concluded.
type concludedRun struct {
	number     uint64
	worker     string
	conclusion Conclusion
}

// PreviousRun is the last run of a task that ended in this term.
type PreviousRun struct {
	Run    uint64
	Worker string
	How    Outcome
}

// Contradiction is a run that a worker lists although the scheduler had concluded that it has ended.
type Contradiction struct {
	Task   workflow.TaskID
	Run    uint64
	Worker string
	// How is how the run ended according to the worker; 0 if it is at work or, if Pending is set, may still start.
	How        Outcome
	Pending    bool
	Conclusion Conclusion
	// Restarted is set if the task has been started again since.
	Restarted bool
}

// conclude records that the scheduler concluded the end of a run.
func (t *taskState) conclude(r *run, c Conclusion) {
	if len(t.concluded) == maxConcludedRuns {
		t.concluded = append(t.concluded[:0], t.concluded[1:]...)
	}
	t.concluded = append(t.concluded, concludedRun{r.number, r.worker.name, c})
}

// noteContradiction records c, the run of a task that a worker lists, if the scheduler had concluded that it
// has ended.
func (sc *Scheduler) noteContradiction(t *taskState, c Contradiction) {
	c.Restarted = len(t.runs) > 0 || t.lastRunNumber > c.Run
	for _, old := range t.concluded {
		if old.number == c.Run && old.worker == c.Worker {
			c.Conclusion = old.conclusion
		}
	}
	if c.Conclusion == "" && c.Run <= sc.runNumberBase && t.lastRunNumber > sc.runNumberBase {
		c.Conclusion = ConclusionTermOver
	}
	if c.Conclusion != "" {
		sc.contradictions = append(sc.contradictions, c)
	}
}

// TakeContradictions returns the contradictions since the last call.
func (sc *Scheduler) TakeContradictions() []Contradiction {
	out := sc.contradictions
	sc.contradictions = nil
	return out
}

// PreviousRun returns the last run of a task that ended in this term, if there is one.
func (sc *Scheduler) PreviousRun(id workflow.TaskID) (PreviousRun, bool) {
	_, t := sc.task(id)
	if t == nil || t.previous.Run == 0 {
		return PreviousRun{}, false
	}
	return t.previous, true
}
