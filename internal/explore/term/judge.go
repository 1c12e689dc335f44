package term

import (
	"fmt"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Bounds of the rules on starts that hold for agents that are in touch.
const (
	// contactSpan is how long an agent must have run, and reached a store without disruption, to be in touch.
	contactSpan = 3 * time.Second
	// endKnownAfter is how long after the acknowledged success of a task, or after its job was shown as completed, no run of
	// the task may start.
	endKnownAfter = time.Second
	// cancelKnownAfter is how long after the acknowledged cancellation of a job no task of it may start.
	cancelKnownAfter = 3 * time.Second
	// shortPause is the length of a pause below which a process counts as running.
	shortPause = 200 * time.Millisecond
)

// judge checks the rules on starts that hold for agents that are in touch.
type judge struct {
	// endKnownAt holds when the success of a task was first acknowledged, completedAt when a job was first shown as
	// completed, and cancelledAt when its cancellation was first acknowledged.
	endKnownAt, completedAt, cancelledAt map[string]time.Duration
	// late is set while a runner carries out a start late.
	late       bool
	violations []string
}

// noteFirst sets the time of a name, unless it is set.
func noteFirst(times *map[string]time.Duration, name string, at time.Duration) {
	if *times == nil {
		*times = make(map[string]time.Duration)
	}
	if _, ok := (*times)[name]; !ok {
		(*times)[name] = at
	}
}

// watchHistory has the world's judge see the starts and successes of runs.
func (w *world) watchHistory() {
	if w.kinds&SecondRuns != 0 {
		w.history.Speculative = func(task string) bool { return isSpeculative(jobOf(task)) }
	}
	if w.kinds&PartialViews == 0 {
		return
	}
	w.history.OnSuccess = func(task string) { noteFirst(&w.judge.endKnownAt, task, w.now) }
	w.history.OnStart = func(runner, task string, run uint64) {
		if w.judge.late || !w.agentNamed(runner).inTouch() {
			return
		}
		w.judge.checkStart(w.now, runner, task, run)
	}
}

// checkStart checks a start by an agent in touch.
func (j *judge) checkStart(now time.Duration, runner, task string, run uint64) {
	check := func(times map[string]time.Duration, name string, after time.Duration, what string) {
		if at, ok := times[name]; ok && now-at > after {
			j.violations = append(j.violations, fmt.Sprintf("run %d of %s started at %s %s after %s", run, task, runner, now-at, what))
		}
	}
	check(j.endKnownAt, task, endKnownAfter, "the success of a run was acknowledged")
	check(j.completedAt, jobOf(task), endKnownAfter, "its job was shown as completed")
	check(j.cancelledAt, jobOf(task), cancelKnownAfter, "the cancellation of its job was acknowledged")
}

// noteShown notes what an entry shows of a job.
func (w *world) noteShown(id string, j *workflow.Job) {
	if j != nil && j.Submission() != nil && j.Phase() == workflow.PhaseCompleted {
		noteFirst(&w.judge.completedAt, id, w.now)
	}
}

// inTouch reports whether the agent has run and reached a store without disruption for contactSpan.
func (a *agent) inTouch() bool {
	return a.w.now >= max(a.disturbedUntil, a.downUntil, a.w.coreDisturbedUntil)+contactSpan
}

// disturbCore records that the store is disrupted for a time.
func (w *world) disturbCore(duration time.Duration) {
	w.coreDisturbedUntil = max(w.coreDisturbedUntil, w.now+duration)
}

// freeze has the process do nothing for a time.
func (p *process) freeze(duration time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.w.now+duration)
	if duration >= shortPause {
		p.disturbedUntil = max(p.disturbedUntil, p.frozenUntil)
	}
}

// jobOf returns the job of the task with a name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// agentNamed returns the agent with a name.
func (w *world) agentNamed(name string) *agent {
	for _, a := range w.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}
