package term

import (
	"fmt"
	"slices"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// knownEnds is what an agent keeps of run ends beyond the life of the runner that listed them.
type knownEnds struct {
	// kept are the ends of ended lives that are not acknowledged.
	kept []dispatch.EndedLife
	// doneTasks are the tasks of which the agent process has read a run end as done.
	doneTasks []workflow.TaskID
}

// noteDone records the tasks of run ends as done.
func (k *knownEnds) noteDone(ends []dispatch.RunEnd) {
	for _, e := range ends {
		if e.How == dispatch.OutcomeDone && !slices.Contains(k.doneTasks, e.Task) {
			k.doneTasks = append(k.doneTasks, e.Task)
		}
	}
}

// keepEnds keeps the unacknowledged ends of the life that the agent knows, as another one has begun.
func (a *agent) keepEnds() {
	if ends := a.unackedEnds(); len(ends) > 0 {
		a.known.kept = append(a.known.kept, dispatch.EndedLife{Life: a.life, Ends: ends})
	}
}

// unackedEnds returns the ends of the last listing that are not acknowledged.
func (a *agent) unackedEnds() []dispatch.RunEnd {
	return slices.DeleteFunc(slices.Clone(a.runEnds), func(e dispatch.RunEnd) bool { return e.Number <= a.ackedEnd })
}

// endedLives returns the ended lives with ends that are not acknowledged. The present life is one of them if presentEnded
// is set.
func (a *agent) endedLives(presentEnded bool) []dispatch.EndedLife {
	if a.w.rules.DropEndsOfEndedLives {
		return nil
	}
	out := slices.Clone(a.known.kept)
	if ends := a.unackedEnds(); presentEnded && len(ends) > 0 {
		out = append(out, dispatch.EndedLife{Life: a.life, Ends: ends})
	}
	return out
}

// dropKeptEnds drops the kept ends up to one that is acknowledged.
func (a *agent) dropKeptEnds(life, end uint64) {
	for i := range a.known.kept {
		if l := &a.known.kept[i]; l.Life == life {
			l.Ends = slices.DeleteFunc(slices.Clone(l.Ends), func(e dispatch.RunEnd) bool { return e.Number <= end })
		}
	}
	a.known.kept = slices.DeleteFunc(a.known.kept, func(l dispatch.EndedLife) bool { return len(l.Ends) == 0 })
}

// noteKnownDone records the tasks that the agent of a worker knew to be done when it sent a report that is applied now.
func (t *dispatcherState) noteKnownDone(tasks []workflow.TaskID) {
	if t.knownDone == nil {
		t.knownDone = make(map[workflow.TaskID]bool)
	}
	for _, id := range tasks {
		t.knownDone[id] = true
	}
}

// checkStarts records a violation if the dispatcher starts a task again although an agent whose report it has applied
// knew that the task is done.
func (e *entry) checkStarts(starts []dispatch.Start) {
	for i := range starts {
		if s := &starts[i]; e.term.knownDone[s.Task] && e.w.violation == nil {
			e.w.violation = fmt.Errorf("at %s: %s in term %d starts run %d of %s, which an agent that reported to it knew to be done", e.w.now, e.name, e.term.number, s.Run, s.Task)
		}
	}
}
