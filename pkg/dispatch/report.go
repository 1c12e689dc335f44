package dispatch

import (
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// rackPrefix is the prefix of the label that names a worker's rack; such a label also contains a
// hyphen.
const rackPrefix = "r"

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	// OutcomeDone is a run that finished its work.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed is a run that failed, through its own fault or its worker's.
	OutcomeFailed
	// OutcomeStopped is a run that was stopped by order.
	OutcomeStopped
	// OutcomeLapsed is a run that the worker lists as ended because its lease expired.
	OutcomeLapsed
	// OutcomeBroken is a run of a gang that ended because another run of the gang ended.
	OutcomeBroken
	// OutcomeAlone is a run of a gang that waited in vain for the other runs of the gang.
	OutcomeAlone
	// OutcomeRefused is a run that was ordered and is known never to start.
	OutcomeRefused
	// OutcomeGone is a run that the scheduler regards as ended because the worker's runner ended
	// or was replaced, or the worker's lease expired.
	OutcomeGone
)

var outcomeNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "refused", "gone"}

// String returns the name used in logs and between processes, or "unknown" for a value that is not an
// outcome.
func (h Outcome) String() string {
	if !h.Known() {
		return "unknown"
	}
	return outcomeNames[h]
}

// Known reports whether h is one of the outcomes.
func (h Outcome) Known() bool { return h > 0 && int(h) < len(outcomeNames) }

// RunEnd is the end of a run, as listed by a worker.
type RunEnd struct {
	_ struct{} `cbor:",toarray"`
	// Number is the number of the end; numbers increase during one life of the worker's runner.
	Number uint64
	Task   workflow.TaskID
	// Run is the number of the run that ended.
	Run uint64
	How Outcome
	// Saved is the newest checkpoint; empty if there is none.
	Saved string
}

// RunStatus is the status of a run, as listed by a worker.
type RunStatus struct {
	_    struct{} `cbor:",toarray"`
	Task workflow.TaskID
	Run  uint64
	// Saved is the newest checkpoint.
	Saved string
	// Percent is the progress of the run; 100 means done.
	Percent int
	// Reading is the tail latency of a serving task in milliseconds; for other tasks, the
	// processor time in use in thousandths of a processor.
	Reading float64
	// Pending is set if the runner does not list the run, but its start order may still take
	// effect.
	Pending bool
}

// Worker is what a worker reports about itself.
type Worker struct {
	Name string `cbor:"1,keyasint"`
	// Life identifies a life of the worker's runner, from its start to its end; 0 while none is
	// known.
	Life     uint64           `cbor:"2,keyasint"`
	Service  string           `cbor:"3,keyasint"`
	Capacity worker.Resources `cbor:"4,keyasint"`
	Labels   []string         `cbor:"5,keyasint"`
	// Draining means that the worker gets no new tasks.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// PacePercent is how fast the agent lets best-effort tasks run on the worker, in percent of
	// unthrottled speed; 100 means not slowed down.
	PacePercent int `cbor:"7,keyasint,omitempty"`
	// Instance is the instance ID of the runner.
	Instance string `cbor:"8,keyasint,omitempty"`
	// EndAnnounced is set if this life of the runner has said that it is about to end.
	EndAnnounced bool `cbor:"9,keyasint,omitempty"`
	// LastSentEnd is the number of the last run end that the agent has sent: a report and the messages after it
	// have shown all ends up to it that are not acknowledged.
	LastSentEnd uint64 `cbor:"10,keyasint,omitempty"`
	// MoreEnds is set if further runs may have ended whose ends the runner does not list yet.
	MoreEnds bool `cbor:"11,keyasint,omitempty"`
	// DataCentre is the data centre of the worker. Agents name it once for each connection, and the dispatcher adds it
	// to each description.
	DataCentre string `cbor:"-"`
}

// ApplyReport takes in the full state of a worker: its runs and the run ends that it lists. Runs
// that the scheduler knows at the worker and the worker does not list are ordered to stop, so that
// they can never start there. A report of a worker that may list more ends later proves nothing about them.
func (sc *Scheduler) ApplyReport(now time.Time, wallMS int64, info *Worker, runs []RunStatus, ends []RunEnd) {
	w := sc.workerState(info.Name)
	if w.life != info.Life {
		sc.endAllRuns(now, wallMS, w, w.life != 0 && !w.endAnnounced, ConclusionLifeReplaced, startedRuns(runs, ends))
		sc.beginLife(now, w, info.Life)
		w.health = workerHealth{}
		sc.noteHealth(w)
		sc.noteChange(w)
	}
	sc.forgetReported(w)
	sc.setWorkerInfo(now, w, info)
	sc.applyEnds(now, wallMS, w, w.life, ends)
	w.lastEndNumber = max(w.lastEndNumber, info.LastSentEnd)
	listed := make(map[unwantedRun]bool, len(runs))
	for i := range runs {
		listed[unwantedRun{runs[i].Task, runs[i].Run}] = true
	}
	sc.reviewUnwanted(w, listed, info.MoreEnds)
	for i := range runs {
		if sc.jobs[runs[i].Task.Job] == nil {
			sc.holdRun(now, w, &runs[i])
			continue
		}
		sc.adoptRun(now, wallMS, w, &runs[i])
	}
	if w.moreEnds = info.MoreEnds; w.moreEnds {
		return
	}
	for id, r := range w.runs {
		if !listed[unwantedRun{id, r.number}] && r.phase != runStopping {
			sc.orderStop(now, r, "the worker does not report the run")
		}
	}
	delete(sc.unreported, info.Name)
}

// startedRuns returns the runs that a report shows to have started.
func startedRuns(runs []RunStatus, ends []RunEnd) map[unwantedRun]bool {
	out := make(map[unwantedRun]bool)
	for i := range runs {
		if !runs[i].Pending {
			out[unwantedRun{runs[i].Task, runs[i].Run}] = true
		}
	}
	for i := range ends {
		out[unwantedRun{ends[i].Task, ends[i].Run}] = true
	}
	return out
}

// ApplyPing takes in the state that a worker sends between two reports. A worker whose lease has expired is of no use
// before its next report.
func (sc *Scheduler) ApplyPing(now time.Time, info *Worker, runs []RunStatus) {
	w := sc.workerState(info.Name)
	if w.life != info.Life || w.leaseExpired {
		return
	}
	sc.setWorkerInfo(now, w, info)
	for i := range runs {
		if r := w.runs[runs[i].Task]; r != nil && r.number == runs[i].Run {
			sc.updateRun(now, r, &runs[i])
		}
	}
	sc.learnInterference(now, w)
}

// RunnerLife returns the life of a worker's runner; 0 if none is known.
func (sc *Scheduler) RunnerLife(name string) uint64 {
	if w := sc.workers[name]; w != nil {
		return w.life
	}
	return 0
}

// workerState returns the state of a worker, which it creates if the worker is not known.
func (sc *Scheduler) workerState(name string) *workerState {
	w := sc.workers[name]
	if w == nil {
		w = &workerState{name: name, runs: make(map[workflow.TaskID]*run), servingTasksByImage: make(map[string]int), unwanted: make(map[unwantedRun]unwantedState)}
		sc.addWorker(w)
	}
	return w
}

// setWorkerInfo takes in what a worker reports about itself, and records the contact.
func (sc *Scheduler) setWorkerInfo(now time.Time, w *workerState, info *Worker) {
	if w.silent || w.leaseExpired || w.draining != info.Draining || w.service != info.Service || w.capacity != info.Capacity {
		sc.noteChange(w)
		sc.largestMilliCPU = max(sc.largestMilliCPU, info.Capacity.MilliCPU)
	}
	sc.setDataCentre(w, info.DataCentre)
	w.endAnnounced = w.endAnnounced || info.EndAnnounced
	resized := w.capacity.MilliCPU != info.Capacity.MilliCPU
	w.lastContact, w.silent, w.leaseExpired = now, false, false
	w.service, w.capacity, w.draining, w.pacePercent, w.instance = info.Service, info.Capacity, info.Draining, info.PacePercent, info.Instance
	sc.rooms.update(w)
	if resized {
		sc.recountShares(w)
	}
	if w.pacePercent < fullPacePercent {
		w.lastSlowedAt = now
	}
	if slices.Equal(w.labelList, info.Labels) {
		return
	}
	sc.noteChange(w)
	w.labelList = info.Labels
	w.labels = make(map[string]bool, len(info.Labels))
	w.rack = ""
	for _, l := range info.Labels {
		w.labels[l] = true
		if strings.HasPrefix(l, rackPrefix) && strings.Contains(l, "-") {
			w.rack = l
		}
	}
}

// updateRun updates a known run from its status.
func (sc *Scheduler) updateRun(now time.Time, r *run, status *RunStatus) {
	if status.Pending {
		return
	}
	if r.phase == runStartOrdered {
		r.phase = runRunning
	}
	r.sent, r.reportedPending = true, false
	r.step.occurrence.job.begun = true
	if now.Sub(r.orderedAt) >= provenStartAfter {
		sc.proveStart(r)
	}
	if status.Percent != r.percent {
		r.percent, r.progressedAt = status.Percent, now
	}
	r.reading = status.Reading
	if status.Saved != "" {
		r.checkpoint = status.Saved
	}
	sc.checkProbe(now, r)
	sc.settleCrashes(now, r)
}

// adoptRun takes in the status of a run from a report. The run may have been ordered in an
// earlier term. It is ordered to stop if its task is not known or needs no further run. A run at work
// is needed more than one that may still start.
func (sc *Scheduler) adoptRun(now time.Time, wallMS int64, w *workerState, status *RunStatus) {
	if r := w.runs[status.Task]; r != nil && r.number == status.Run {
		sc.updateRun(now, r, status)
		return
	}
	sc.createListedOccurrence(now, wallMS, status.Task)
	s, t := sc.task(status.Task)
	if t != nil {
		sc.noteContradiction(t, Contradiction{Task: status.Task, Run: status.Run, Worker: w.name, Pending: status.Pending})
	}
	needed := t != nil && !t.done && !s.occurrence.job.phase.Ended()
	if needed && !status.Pending && !s.spec.Speculative {
		sc.displacePending(now, s, t)
	}
	if !needed || w.runs[status.Task] != nil || (len(t.runs) > 0 && !s.spec.Speculative) {
		sc.stopUnwanted(w, s, t, status)
		return
	}
	r := sc.addRun(now, s, t, status.Task, w, status.Run)
	r.resumed = true
	r.phase, r.reportedPending = runStartOrdered, true
	sc.updateRun(now, r, status)
	s.occurrence.job.started = true
}

// addRun adds a run of a task, with the given run number, at a worker.
func (sc *Scheduler) addRun(now time.Time, s *stepState, t *taskState, id workflow.TaskID, w *workerState, number uint64) *run {
	r := &run{step: s, id: id, number: number, worker: w, orderedAt: now, progressedAt: now, resumed: t.checkpoint != ""}
	if len(t.runs) == 0 && !t.done {
		sc.addWaitingTasks(s, -1)
	}
	t.runs = append(t.runs, r)
	t.lastRunNumber = max(t.lastRunNumber, number)
	if s.runsPerWorker != nil {
		s.runsPerWorker[w.name]++
	}
	w.add(r)
	w.markShared()
	w.unprovenRuns++
	sc.rooms.update(w)
	return r
}

// addWaitingTasks adds delta to the number of waiting tasks of a step.
func (sc *Scheduler) addWaitingTasks(s *stepState, delta int) {
	s.waitingTasks += delta
	if s.waitingTasks > 0 && s.open && !s.occurrence.job.phase.Ended() {
		sc.readySteps[s] = struct{}{}
	} else {
		delete(sc.readySteps, s)
	}
}

// ApplyEnds takes in the run ends that a worker lists in one life of its runner after the end with the number
// after. complete is false, and nothing is taken in, if the life is not the known one or an end in between has
// not been taken in: the worker has to report again. ignored is the number of ends that belong to no task.
func (sc *Scheduler) ApplyEnds(now time.Time, wallMS int64, name string, life, after uint64, ends []RunEnd) (ignored int, complete bool) {
	w := sc.workerState(name)
	if w.life != life || after > w.lastEndNumber {
		return 0, false
	}
	return sc.applyEnds(now, wallMS, w, life, ends), true
}

// applyEnds takes in the next run ends in a life of a worker's runner, and returns how many of them belong to no task.
func (sc *Scheduler) applyEnds(now time.Time, wallMS int64, w *workerState, life uint64, ends []RunEnd) (ignored int) {
	for i := range ends {
		e := &ends[i]
		w.noteEnd(life, e.Number)
		sc.forgetUnwanted(w, unwantedRun{e.Task, e.Run})
		if sc.jobs[e.Task.Job] == nil {
			sc.holdEnd(now, w, life, e)
			continue
		}
		sc.createListedOccurrence(now, wallMS, e.Task)
		if _, t := sc.task(e.Task); t == nil {
			ignored++
		}
		sc.endRun(now, wallMS, w, e)
	}
	if len(ends) > 0 {
		sc.acknowledge(w)
	}
	return ignored
}

// OrderRefused records that a run that was ordered at a worker is known never to start.
func (sc *Scheduler) OrderRefused(now time.Time, wallMS int64, name string, life uint64, id workflow.TaskID, runNumber uint64) {
	w := sc.workerState(name)
	if w.life == life {
		w.unknownJobs.dropRun(id, runNumber)
		sc.forgetUnwanted(w, unwantedRun{id, runNumber})
		sc.endRun(now, wallMS, w, &RunEnd{Task: id, Run: runNumber, How: OutcomeRefused})
	}
}

// endRun takes in the end of one run at a worker.
func (sc *Scheduler) endRun(now time.Time, wallMS int64, w *workerState, e *RunEnd) {
	s, t := sc.task(e.Task)
	r := w.runs[e.Task]
	current := r != nil && r.number == e.Run
	if current {
		sc.recordOutcome(now, r, e.How)
		sc.removeRun(now, r)
	}
	if t == nil {
		return
	}
	switch {
	case current && e.How == OutcomeRefused:
		t.conclude(r, ConclusionRefused)
	case !current && e.How < OutcomeRefused && !t.done:
		sc.noteContradiction(t, Contradiction{Task: e.Task, Run: e.Run, Worker: w.name, How: e.How})
	}
	if current {
		t.previous = PreviousRun{Run: e.Run, Worker: w.name, How: e.How}
	}
	switch {
	case !current && e.Run < t.lastRunNumber && t.checkpoint != "": // a later run has saved more
	case e.Saved != "":
		t.checkpoint = e.Saved
	case r != nil && r.checkpoint != "":
		t.checkpoint = r.checkpoint
	}
	t.lastRunNumber = max(t.lastRunNumber, e.Run)
	j := s.occurrence.job
	j.begun = j.begun || e.How < OutcomeRefused
	switch e.How {
	case OutcomeDone:
		sc.completeTask(now, wallMS, s, t)
	case OutcomeFailed:
		sc.recordFailure(now, wallMS, s, t, w, e.Run)
	case OutcomeRefused:
		t.notBefore = now.Add(refusedRetryDelay)
		t.avoidFor(now, w, refusalMemory)
	}
	if !t.done && len(t.runs) == 0 && !j.phase.Ended() {
		t.waitingSince = now
	}
}

// removeRun removes a run from its task and worker.
func (sc *Scheduler) removeRun(now time.Time, r *run) {
	r.worker.remove(r)
	if !r.proven {
		r.worker.unprovenRuns--
	}
	sc.endTrial(r)
	sc.rooms.update(r.worker)
	sc.noteChange(r.worker)
	s := r.step
	if s.spec.BestEffort {
		r.worker.bestEffortEndedAt = now
	}
	t := &s.tasks[r.id.Index]
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if s.runsPerWorker != nil {
		s.runsPerWorker[r.worker.name]--
	}
	if len(t.runs) == 0 && !t.done {
		t.waitingSince = now
		sc.addWaitingTasks(s, 1)
	}
}

// completeTask marks a task as done, with the whole gang if it belongs to one, and opens the steps
// that this allows to start. A long-running task is never done.
func (sc *Scheduler) completeTask(now time.Time, wallMS int64, s *stepState, t *taskState) {
	j := s.occurrence.job
	if s.spec.LongRunning || j.phase.Ended() {
		return
	}
	sc.markStarted(j)
	if s.spec.Gang {
		for i := range s.tasks {
			sc.markTaskDone(now, s, &s.tasks[i])
		}
	} else {
		sc.markTaskDone(now, s, t)
	}
	sc.changedJobs[j] = struct{}{}
	if s.doneTasks == len(s.tasks) && !s.closed {
		s.closed = true
		s.occurrence.doneSteps++
		sc.openSteps(s.occurrence)
		sc.checkOccurrence(now, wallMS, s.occurrence)
	}
}

// markTaskDone marks a task as done and stops its other runs. The runs of a gang are not stopped:
// they end together.
func (sc *Scheduler) markTaskDone(now time.Time, s *stepState, t *taskState) {
	if t.done {
		return
	}
	sc.noteWorkDone(now, s)
	t.done = true
	delete(sc.suspiciousTasks, t)
	s.doneTasks++
	if len(t.runs) == 0 {
		sc.addWaitingTasks(s, -1)
	}
	for _, r := range t.runs {
		if !s.spec.Gang {
			sc.orderStop(now, r, reasonOtherRunDone)
		}
	}
}

// recordFailure records the failure of a run. The job fails once the task has as many failed runs as
// its queue allows; a long-running task is restarted after a delay instead.
func (sc *Scheduler) recordFailure(now time.Time, wallMS int64, s *stepState, t *taskState, w *workerState, runNumber uint64) {
	j := s.occurrence.job
	if t.done || j.phase.Ended() || t.hasFailed(runNumber) {
		return
	}
	sc.markStarted(j)
	t.addFailure(runNumber)
	t.avoid(w)
	sc.changedJobs[j] = struct{}{}
	if q := sc.queues[j.submission.Queue]; !s.spec.LongRunning && q.FailedRunLimit > 0 && t.failures >= q.FailedRunLimit {
		sc.endJob(now, wallMS, j, workflow.PhaseFailed)
		return
	}
	if s.spec.LongRunning {
		t.notBefore = now.Add(restartDelay(t.failures))
	}
}

// markStarted records that a task of a job has been started.
func (sc *Scheduler) markStarted(j *jobState) {
	if !j.started {
		j.started = true
		sc.changedJobs[j] = struct{}{}
	}
}
