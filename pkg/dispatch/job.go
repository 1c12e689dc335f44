package dispatch

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Admit adds an accepted job with its stored progress, nil if there is none. Tasks of
// a job from an earlier term may already run. A job that is already known is not
// changed.
func (sc *Scheduler) Admit(now time.Time, wallMS int64, submission *workflow.Submission, progress *workflow.Progress, fromEarlierTerm bool) {
	if _, ok := sc.jobs[submission.ID]; ok {
		return
	}
	// The wall clocks of two entries may differ, so at most longestWait of the time between a
	// job's acceptance and its admission is counted.
	const longestWait = 30 * time.Second
	waited := min(max(0, time.Duration(wallMS-submission.AcceptedMS)*time.Millisecond), longestWait)
	j := &jobState{maxOpenOccurrences: submission.Spec.MaxOpenOccurrences(sc.maxProgressBytes), submission: submission, acceptedAt: now.Add(-waited), fromEarlierTerm: fromEarlierTerm, occurrences: make(map[int]*occurrence)}
	sc.jobs[submission.ID] = j
	if q, ok := sc.queues[submission.Queue]; ok {
		estimate := EstimateJob(sc.Backlogs(now), submission.ID, &submission.Spec, &q)
		j.expectedWait = estimate.Wait
	}
	if progress != nil {
		j.phase, j.endedMS, j.storedProgress = progress.Phase, progress.EndedMS, progress
		j.endedAt = now // its end is known only by the wall clock of another process
		j.started = progress.Phase != workflow.PhaseQueued
		j.begun = progress.HasBegun()
	}
	if !j.phase.Ended() {
		sc.createDueOccurrences(now, wallMS, j)
		sc.createStoredOccurrences(now, wallMS, j)
		if j.nextOccurrence < j.submission.Spec.Occurrences() {
			sc.repeatingJobs[j] = struct{}{}
		}
	}
	sc.applyHeld(now, wallMS, submission.ID)
}

// ConfirmNew records that no earlier dispatcher can have started a job, and reports whether the job was
// taken for one of an earlier term.
func (sc *Scheduler) ConfirmNew(id string) bool {
	j := sc.jobs[id]
	if j == nil || !j.fromEarlierTerm {
		return false
	}
	j.fromEarlierTerm = false
	return true
}

// Cancel ends a job: the job's runs are ordered to stop and none of its tasks starts again.
func (sc *Scheduler) Cancel(now time.Time, wallMS int64, id string) {
	j := sc.jobs[id]
	if j == nil || j.phase.Ended() {
		return
	}
	sc.endJob(now, wallMS, j, workflow.PhaseCancelled)
}

// FailJob ends a job as failed: its runs are ordered to stop and none of its tasks starts again.
func (sc *Scheduler) FailJob(now time.Time, wallMS int64, id string) {
	if j := sc.jobs[id]; j != nil && !j.phase.Ended() {
		sc.endJob(now, wallMS, j, workflow.PhaseFailed)
	}
}

// HasJob reports whether a job is known.
func (sc *Scheduler) HasJob(id string) bool { return sc.jobs[id] != nil }

// Phase returns the phase of a job, and whether the job is known.
func (sc *Scheduler) Phase(id string) (workflow.Phase, bool) {
	j := sc.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.started && !j.phase.Ended() {
		return workflow.PhaseRunning, true
	}
	return j.phase, true
}

// PendingJobs returns, for each queue, the number of jobs that have neither begun nor ended.
func (sc *Scheduler) PendingJobs() map[string]int {
	out := make(map[string]int)
	for _, j := range sc.jobs {
		if !j.begun && !j.phase.Ended() {
			out[j.submission.Queue]++
		}
	}
	return out
}

// Expired returns the IDs of the jobs without runs that ended before a time. A job whose end was stored before this term
// counts as ended when it was admitted: wall clocks may jump.
func (sc *Scheduler) Expired(endedBefore time.Time) []string {
	var out []string
	for id, j := range sc.jobs {
		if j.phase.Ended() && j.endedAt.Before(endedBefore) && !sc.hasRuns(j) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Drop drops a job that has ended and has no runs.
func (sc *Scheduler) Drop(id string) { delete(sc.jobs, id) }

// hasRuns reports whether any task of a job has a run.
func (sc *Scheduler) hasRuns(j *jobState) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if len(s.tasks[i].runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// createDueOccurrences creates the occurrences of a job that are due, unless they have been created
// already, and lets their tasks start. If too many are not done, the others wait.
func (sc *Scheduler) createDueOccurrences(now time.Time, wallMS int64, j *jobState) {
	for j.nextOccurrence < j.submission.Spec.Occurrences() && wallMS >= j.submission.Spec.DueMS(j.nextOccurrence) && j.mayOpen(j.nextOccurrence) {
		index := j.nextOccurrence
		j.nextOccurrence++
		sc.createOccurrence(now, wallMS, j, index)
		if j.phase.Ended() {
			return
		}
		sc.beginOccurrence(now, j.occurrences[index])
	}
}

// mayOpen reports whether an occurrence may be created: it has been, or few enough are not done.
func (j *jobState) mayOpen(index int) bool {
	return j.occurrences[index] != nil || len(j.occurrences)-j.doneOccurrences < j.maxOpenOccurrences
}

// createStoredOccurrences creates the occurrences that the job's stored progress names, so that they are stored
// again with it even if they are not due here yet.
func (sc *Scheduler) createStoredOccurrences(now time.Time, wallMS int64, j *jobState) {
	p := j.storedProgress
	if p == nil {
		return
	}
	id := j.submission.ID
	for _, r := range p.DoneOccurrences {
		for index := max(r.First, 0); index < min(r.End, j.submission.Spec.Occurrences()); index++ {
			sc.createListedOccurrence(now, wallMS, workflow.TaskID{Job: id, Occurrence: index})
		}
	}
	for i := range p.Done {
		sc.createListedOccurrence(now, wallMS, workflow.TaskID{Job: id, Occurrence: p.Done[i].Occurrence})
	}
	for i := range p.Tasks {
		sc.createListedOccurrence(now, wallMS, workflow.TaskID{Job: id, Occurrence: p.Tasks[i].Occurrence})
	}
	for i := range p.Crashes {
		sc.createListedOccurrence(now, wallMS, workflow.TaskID{Job: id, Occurrence: p.Crashes[i].Occurrence})
	}
}

// beginOccurrence lets the tasks of an occurrence start.
func (sc *Scheduler) beginOccurrence(now time.Time, o *occurrence) {
	o.begun, o.startedAt = true, now
	if o.job.submission.Spec.RepeatCount == 0 {
		o.startedAt = o.job.acceptedAt
	}
	for _, s := range o.steps {
		for i := range s.tasks {
			s.tasks[i].waitingSince = now
		}
	}
	sc.openSteps(o)
}

// createListedOccurrence creates the occurrence of a task that a worker lists if it is not due here yet: the
// wall clock of the dispatcher that started the task is ahead. Its tasks start only once it is due.
func (sc *Scheduler) createListedOccurrence(now time.Time, wallMS int64, id workflow.TaskID) {
	j := sc.jobs[id.Job]
	if j == nil || j.phase.Ended() || id.Occurrence < 0 || id.Occurrence >= j.submission.Spec.Occurrences() {
		return
	}
	if steps := j.submission.Spec.Steps; id.Step < 0 || id.Step >= len(steps) || id.Index < 0 || id.Index >= steps[id.Step].Count {
		return
	}
	sc.createOccurrence(now, wallMS, j, id.Occurrence)
}

// createOccurrence creates an occurrence from the job's specification and stored progress, unless it exists.
func (sc *Scheduler) createOccurrence(now time.Time, wallMS int64, j *jobState, index int) {
	if j.occurrences[index] != nil {
		return
	}
	o := &occurrence{job: j, index: index, startedAt: now}
	j.occurrences[index] = o
	j.endOccurrence = max(j.endOccurrence, index+1)
	for i := range j.submission.Spec.Steps {
		spec := &j.submission.Spec.Steps[i]
		s := &stepState{occurrence: o, index: i, spec: spec, tasks: make([]taskState, spec.Count), waitingTasks: spec.Count}
		for t := range s.tasks {
			s.tasks[t].waitingSince = now
			s.tasks[t].lastRunNumber = sc.runNumberBase
		}
		if spec.MaxPerWorker > 0 {
			s.runsPerWorker = make(map[string]int)
		}
		o.steps = append(o.steps, s)
	}
	for _, s := range o.steps {
		sc.expectRunTime(s)
	}
	measureCriticalPaths(o, sc.queues[j.submission.Queue].Policy)
	sc.restoreProgress(o)
	for _, s := range o.steps {
		if s.doneTasks == len(s.tasks) {
			s.closed = true
			o.doneSteps++
		}
	}
	sc.checkOccurrence(now, wallMS, o)
}

// measureCriticalPaths computes, for each step of an occurrence, the expected time of the longest
// chain of steps from the start of that step to the end. With a placement policy it includes one
// question to the policy service for each step.
func measureCriticalPaths(o *occurrence, policy *PlacementPolicy) {
	questionMS := int64(0)
	if policy != nil {
		questionMS = policy.expectedDuration(maxNamedWorkers).Milliseconds()
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPathMS += s.expectedMS + questionMS
		o.criticalPathMS = max(o.criticalPathMS, s.criticalPathMS)
		for _, dependency := range s.spec.After {
			o.steps[dependency].criticalPathMS = max(o.steps[dependency].criticalPathMS, s.criticalPathMS)
		}
	}
}

// restoreProgress applies the stored progress of the job to a new occurrence.
func (sc *Scheduler) restoreProgress(o *occurrence) {
	p := o.job.storedProgress
	if p == nil {
		return
	}
	if p.OccurrenceDone(o.index) {
		for _, s := range o.steps {
			s.markAllDone()
		}
		return
	}
	for i := range p.Done {
		d := &p.Done[i]
		if d.Occurrence != o.index || d.Step < 0 || d.Step >= len(o.steps) {
			continue
		}
		s := o.steps[d.Step]
		for t := range s.tasks {
			if d.Has(t) && !s.tasks[t].done {
				s.tasks[t].done = true
				s.doneTasks++
				s.waitingTasks--
			}
		}
	}
	for _, tp := range p.Tasks {
		if tp.Occurrence != o.index || tp.Step < 0 || tp.Step >= len(o.steps) || tp.Index < 0 || tp.Index >= len(o.steps[tp.Step].tasks) {
			continue
		}
		t := &o.steps[tp.Step].tasks[tp.Index]
		t.checkpoint = tp.Saved
		for _, number := range tp.Failed {
			t.addFailure(number)
			t.lastRunNumber = max(t.lastRunNumber, number)
		}
	}
	for _, f := range p.Failures {
		if f.Occurrence == o.index && f.Step >= 0 && f.Step < len(o.steps) && f.Index >= 0 && f.Index < len(o.steps[f.Step].tasks) {
			t := &o.steps[f.Step].tasks[f.Index]
			t.failures = max(t.failures, f.Count)
		}
	}
	for i := range p.Crashes {
		sc.restoreCrashes(o, &p.Crashes[i])
	}
}

// markAllDone marks all tasks of a new step as done.
func (s *stepState) markAllDone() {
	for i := range s.tasks {
		s.tasks[i].done = true
	}
	s.doneTasks, s.waitingTasks = len(s.tasks), 0
}

// openSteps opens the steps of an occurrence whose dependencies are all done, if its tasks may start.
func (sc *Scheduler) openSteps(o *occurrence) {
	if !o.begun {
		return
	}
	for _, s := range o.steps {
		if s.open {
			continue
		}
		s.open = true
		for _, dependency := range s.spec.After {
			if o.steps[dependency].doneTasks < len(o.steps[dependency].tasks) {
				s.open = false
				break
			}
		}
		if s.open && s.waitingTasks > 0 {
			sc.readySteps[s] = struct{}{}
		}
	}
}

// checkOccurrence counts an occurrence as done if all its steps are done, and completes the job when
// all occurrences are done.
func (sc *Scheduler) checkOccurrence(now time.Time, wallMS int64, o *occurrence) {
	j := o.job
	if o.doneSteps < len(o.steps) || j.phase.Ended() {
		return
	}
	j.doneOccurrences++
	sc.notePastUse(now, o)
	if j.doneOccurrences >= j.submission.Spec.Occurrences() {
		sc.endJob(now, wallMS, j, workflow.PhaseCompleted)
	}
}

// endJob ends a job and stops its remaining runs.
func (sc *Scheduler) endJob(now time.Time, wallMS int64, j *jobState, phase workflow.Phase) {
	j.phase, j.endedMS, j.endedAt = phase, wallMS, now
	sc.changedJobs[j] = struct{}{}
	sc.urgentChange = true
	sc.endReservations(func(reserved workflow.TaskID) bool { return reserved.Job == j.submission.ID })
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(sc.readySteps, s)
			for i := range s.tasks {
				delete(sc.suspiciousTasks, &s.tasks[i])
				if s.tasks[i].done && s.spec.Gang {
					continue // the other runs of the gang end with the run that was reported as done
				}
				for _, r := range s.tasks[i].runs {
					sc.orderStop(now, r, "the job has ended: "+phase.String())
				}
			}
		}
	}
}

// progress returns the progress of the job to be stored.
func (j *jobState) progress() *workflow.Progress {
	p := &workflow.Progress{Phase: j.phase, EndedMS: j.endedMS}
	if j.started && !j.phase.Ended() {
		p.Phase = workflow.PhaseRunning
	}
	if j.phase.Ended() {
		return p
	}
	for j.isDone(j.firstUnfinished) {
		j.firstUnfinished++
	}
	if j.firstUnfinished > 0 {
		p.DoneOccurrences = []workflow.OccurrenceRange{{End: j.firstUnfinished}}
	}
	for index := j.firstUnfinished; index < j.endOccurrence; index++ {
		o := j.occurrences[index]
		if o == nil {
			continue
		}
		if j.isDone(index) {
			p.AddDoneOccurrence(index)
			continue
		}
		for _, s := range o.steps {
			s.appendProgress(p)
		}
	}
	return p
}

// isDone reports whether all tasks of an occurrence are done.
func (j *jobState) isDone(index int) bool {
	o := j.occurrences[index]
	return o != nil && o.doneSteps == len(o.steps)
}

// appendProgress appends the progress of the step's tasks to p.
func (s *stepState) appendProgress(p *workflow.Progress) {
	done := workflow.DoneTasks{Occurrence: s.occurrence.index, Step: s.index}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			done.Mark(i)
		} else if len(t.failedRuns) > 0 || t.checkpoint != "" {
			p.Tasks = append(p.Tasks, workflow.TaskProgress{Occurrence: s.occurrence.index, Step: s.index, Index: i, Failed: t.failedRuns, Saved: t.checkpoint})
		}
		if !t.done && t.failures > len(t.failedRuns) {
			p.Failures = append(p.Failures, workflow.TaskFailures{Occurrence: s.occurrence.index, Step: s.index, Index: i, Count: t.failures})
		}
		if !t.done && t.crashes != (crashCount{}) {
			p.Crashes = append(p.Crashes, workflow.TaskCrashes{Occurrence: s.occurrence.index, Step: s.index, Index: i, Unproven: t.crashes.unproven, All: t.crashes.all})
		}
	}
	if s.doneTasks > 0 {
		p.Done = append(p.Done, done)
	}
}

// Change is the progress of jobs that has to be stored, and the run ends that are acknowledged to
// workers once that progress is stored.
type Change struct {
	jobs map[string]*workflow.Progress
	acks map[ackedLife]uint64
}

// Jobs returns the progress to store, by job ID.
func (c *Change) Jobs() map[string]*workflow.Progress { return c.jobs }

// Empty reports whether there is nothing to store or acknowledge.
func (c *Change) Empty() bool { return len(c.jobs) == 0 && len(c.acks) == 0 }

// EachAck calls fn for each worker with a life of its runner and the number of the last run end in it
// that the worker may forget.
func (c *Change) EachAck(fn func(worker string, life, endNumber uint64)) {
	for l, end := range c.acks {
		fn(l.worker, l.life, end)
	}
}

// HasUrgentChange reports whether a job has ended or a task has crashed a runner since the last call of
// TakeChange: a caller may wait for the end, and the next dispatcher must know the crash.
func (sc *Scheduler) HasUrgentChange() bool { return sc.urgentChange }

// HasChange reports whether TakeChange would return a change that is not empty.
func (sc *Scheduler) HasChange() bool { return len(sc.changedJobs) > 0 || len(sc.pendingAcks) > 0 }

// TakeChange returns what has changed since the last call.
func (sc *Scheduler) TakeChange() *Change {
	c := &Change{jobs: make(map[string]*workflow.Progress, len(sc.changedJobs)), acks: sc.pendingAcks}
	for j := range sc.changedJobs {
		c.jobs[j.submission.ID] = j.progress()
	}
	sc.changedJobs = make(map[*jobState]struct{})
	sc.pendingAcks = make(map[ackedLife]uint64)
	sc.urgentChange = false
	return c
}
