// Package dispatch decides which worker runs which task. It holds the waiting and running tasks
// of all jobs and the state of the workers, and returns orders to start and stop tasks.
//
// The package does no I/O. The current time is an argument: now is on a clock that also advances
// while the machine is suspended, wallMS is the wall clock in Unix milliseconds.
package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/runtimes"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Queue is the configuration of a queue of jobs.
type Queue struct {
	// Service is the service that a worker has to belong to in order to run the queue's tasks.
	Service string
	// Priority 0 is the highest; long-running tasks may preempt tasks of lower priority.
	Priority int
	// FailedRunLimit is the number of failed runs of one task with which its job fails; 0 means no
	// limit. Failures of long-running tasks do not count.
	FailedRunLimit int
	// Stretch and TargetLatency set the latency objective of a job: the estimated run time of
	// its critical path times Stretch, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Policy is set if an external service decides which workers may run a step.
	Policy *PlacementPolicy
}

// Scheduler holds the jobs and workers of one dispatcher. The zero value is empty.
type Scheduler struct {
	queues  map[string]Queue
	workers map[string]*workerState
	// fleet holds the same workers, sorted by name.
	fleet []*workerState
	jobs  map[string]*jobState
	// repeatingJobs are jobs with occurrences that are not due yet.
	repeatingJobs map[*jobState]struct{}
	// runNumberBase is added to run numbers, so that they increase from term to term.
	runNumberBase uint64
	// unreported are workers that may run tasks started before this term and have not reported
	// in this term.
	unreported map[string]bool
	// readySteps are open steps with waiting tasks.
	readySteps map[*stepState]struct{}
	// poolRates holds the rate at which work is done, and backlogs what waits without room, as of backlogsAt.
	poolRates  map[pool]*poolRate
	backlogs   []Backlog
	backlogsAt time.Time
	// waits are the waits that the next call of TakeWaits returns.
	waits []Wait
	// pastUse is what the next call of TakePastUse returns.
	pastUse int
	// lastOrder is the latest placement order, and ranks the memory that it was worked out in.
	lastOrder []*stepState
	ranks     []placementRank
	// rooms holds the workers by free processor time.
	rooms roomIndex
	// full holds what no worker has room for.
	full fullFleet
	// changedWorkers may have room now for tasks that had none at the last decision. suspects may become
	// usable as time passes.
	changedWorkers []*workerState
	suspects       map[*workerState]struct{}
	// stepCandidates are the candidates of the step that is being placed.
	stepCandidates candidates
	// largestMilliCPU is the largest processor capacity that a worker has reported.
	largestMilliCPU int64
	// targetReadings counts readings of serving tasks since the last call of TakeTargetReadings.
	targetReadings TargetReadings
	// missedTargets measures how many serving tasks miss their targets.
	missedTargets missedTargets
	// orderedRuns is the memory of runsInOrder.
	orderedRuns []*run
	// runsReviewedAt is when the present runs were last reviewed, see runReviewInterval.
	runsReviewedAt time.Time
	// changedJobs are jobs whose progress has to be stored.
	changedJobs map[*jobState]struct{}
	// pendingAcks holds the numbers of the last run ends that have been processed and are still to be acknowledged to
	// their workers.
	pendingAcks map[ackedLife]uint64
	// urgentChange is set if one of changedJobs has ended or a task of one has become suspicious.
	urgentChange bool
	// pendingStops are the stop orders that the next call of Decide returns.
	pendingStops []Stop
	// lostRuns are the lost runs that the next call of TakeLostRuns returns.
	lostRuns []LostRun
	// contradictions are what the next call of TakeContradictions returns.
	contradictions []Contradiction
	// suspiciousTasks are the tasks that are suspected of crashing runners.
	suspiciousTasks map[*taskState]struct{}
	// heldWorkers are held by trials or kept for long-running tasks, or were at the last decision.
	heldWorkers map[*workerState]struct{}
	// roomReservation is the worker that is reserved for a long-running task without room.
	roomReservation roomReservation
	// abandonedTasks are the tasks that the next call of TakeAbandonedTasks returns.
	abandonedTasks []AbandonedTask
	// healthChanges are the changes that the next call of TakeHealthChanges returns.
	healthChanges []HealthChange
	// remoteRackSlowdown is the factor by which a task takes longer on another rack than that of
	// its data.
	remoteRackSlowdown float64
	// shareLimits are the learned fractions of a worker's processors that best-effort images may use
	// next to serving images.
	shareLimits map[imagePair]pairLimit
	// runTimes is what is known of the run times of tasks. medianSlowdown is the median slowdown of the workers, as
	// of medianSlowdownAt.
	runTimes         runtimes.Table
	medianSlowdown   float64
	medianSlowdownAt time.Time
	races            races
	// speculation is what the next call of TakeSpeculation returns.
	speculation Speculation
	// maxProgressBytes bounds the record of a job's progress; 0 means no limit.
	maxProgressBytes int
	// replaceLoadLimit replaces maxBestEffortLoad in comparisons of rules; it may be nil.
	replaceLoadLimit func() float64
	// replaceMayOverload replaces mayOverload in comparisons of rules; it may be nil.
	replaceMayOverload func(waited time.Duration) bool
	// replaceUrgency replaces urgency.class and urgency.cost in comparisons of rules; it may be nil.
	replaceUrgency func(u *urgency) (urgencyClass, float64)
	// evacuated holds the names of the evacuated data centres.
	evacuated map[string]struct{}
	// anyPolicy is set if at least one queue has a placement policy.
	anyPolicy bool
	// openQuestions are the questions to the placement policy service that have not been
	// answered, by their sequence numbers; lastQuestionSeq is the newest of these numbers.
	openQuestions   map[uint64]*openQuestion
	lastQuestionSeq uint64
	// workersWithUnknownJobs are the workers that list runs or run ends of jobs that the
	// dispatcher does not know.
	workersWithUnknownJobs map[*workerState]struct{}
}

// ackedLife is a life of the runner of a worker whose run ends are acknowledged.
type ackedLife struct {
	worker string
	life   uint64
}

// runsPerTerm is the distance between the run numbers of two terms: no task is expected to be
// started more often in one term.
const runsPerTerm = 1000

// BeginTerm discards the state of the previous term, except for the settings, and starts a term.
// Tasks started in earlier terms may still run at any of the given workers, until that worker has
// reported or its lease has expired.
func (sc *Scheduler) BeginTerm(term uint64, workers []string) {
	*sc = Scheduler{
		queues: sc.queues, anyPolicy: sc.anyPolicy, evacuated: sc.evacuated,
		remoteRackSlowdown: sc.remoteRackSlowdown, maxProgressBytes: sc.maxProgressBytes,
		replaceLoadLimit: sc.replaceLoadLimit, replaceUrgency: sc.replaceUrgency, replaceMayOverload: sc.replaceMayOverload,
		shareLimits: make(map[imagePair]pairLimit), openQuestions: make(map[uint64]*openQuestion),
	}
	sc.workers = make(map[string]*workerState)
	sc.jobs = make(map[string]*jobState)
	sc.repeatingJobs = make(map[*jobState]struct{})
	sc.full = make(fullFleet)
	sc.suspects = make(map[*workerState]struct{})
	sc.suspiciousTasks = make(map[*taskState]struct{})
	sc.heldWorkers, sc.roomReservation = make(map[*workerState]struct{}), roomReservation{}
	sc.unreported = make(map[string]bool)
	sc.readySteps = make(map[*stepState]struct{})
	sc.changedJobs = make(map[*jobState]struct{})
	sc.pendingAcks = make(map[ackedLife]uint64)
	sc.workersWithUnknownJobs = make(map[*workerState]struct{})
	if term > 1 {
		sc.runNumberBase = (term - 1) * runsPerTerm
	}
	for _, name := range workers {
		sc.unreported[name] = true
	}
}

// SetQueues replaces the queues.
func (sc *Scheduler) SetQueues(queues map[string]Queue) {
	sc.queues = queues
	sc.anyPolicy = false
	for _, q := range queues {
		sc.anyPolicy = sc.anyPolicy || q.Policy != nil
	}
}

// SetRemoteRackSlowdown sets the factor by which a task takes longer on another rack than that of its data.
func (sc *Scheduler) SetRemoteRackSlowdown(factor float64) { sc.remoteRackSlowdown = factor }

// SetMaxProgressBytes bounds the record of a job's progress in bytes: fewer occurrences of a job are begun at a time if
// their progress might not fit. 0 means no limit.
func (sc *Scheduler) SetMaxProgressBytes(n int) { sc.maxProgressBytes = n }

// UnreportedWorkers returns the number of workers that may still run tasks started in an earlier
// term and have not reported in this one.
func (sc *Scheduler) UnreportedWorkers() int { return len(sc.unreported) }

// EarlierRunsEnded records that no run started in an earlier term is or will be running on a worker. It reports whether
// the worker was waited for. A worker that has reported, but may list more ends, is still waited for.
func (sc *Scheduler) EarlierRunsEnded(worker string) bool {
	if w := sc.workers[worker]; !sc.unreported[worker] || w != nil && w.everReported {
		return false
	}
	delete(sc.unreported, worker)
	return true
}

// ExpireEarlierTerms records that no run started in an earlier term can still be running on a worker
// that has not reported, and returns these workers. A worker that has reported, but may list more ends, is still waited for,
// and so is one for which isHeld, if set, is true: its report has not been applied yet, and the present term renews its lease.
func (sc *Scheduler) ExpireEarlierTerms(isHeld func(worker string) bool) []string {
	var expired []string
	for name := range sc.unreported {
		if w := sc.workers[name]; (w == nil || !w.moreEnds) && (isHeld == nil || !isHeld(name)) {
			delete(sc.unreported, name)
			expired = append(expired, name)
		}
	}
	return expired
}

type jobState struct {
	submission *workflow.Submission
	acceptedAt time.Time
	phase      workflow.Phase
	// endedMS is when the job ended, in Unix milliseconds; 0 before the end.
	endedMS int64
	// endedAt is when the job ended or, if its end was stored before this term, when it was admitted.
	endedAt time.Time
	// expectedWait is how long the job was expected to wait when it was admitted.
	expectedWait time.Duration
	// started is set once a task of the job has been started.
	started bool
	// begun is set once a run of the job is known to have been at work: a start that was ordered may take no effect.
	begun bool
	// fromEarlierTerm is set if the job was accepted before this term, so that another
	// dispatcher may have started it.
	fromEarlierTerm bool
	occurrences     map[int]*occurrence
	// nextOccurrence is the first occurrence that is not due yet, endOccurrence is above all that have
	// been created.
	nextOccurrence  int
	endOccurrence   int
	doneOccurrences int
	// maxOpenOccurrences bounds the occurrences that are begun and not done.
	maxOpenOccurrences int
	// firstUnfinished is an occurrence before which all are done.
	firstUnfinished int
	// storedProgress is progress from the store that is applied when an occurrence is created.
	storedProgress *workflow.Progress
}

type occurrence struct {
	job       *jobState
	index     int
	startedAt time.Time
	// begun is set once the occurrence is due, so that its tasks may start.
	begun     bool
	steps     []*stepState
	doneSteps int
	// criticalPathMS is the expected time of the longest chain of steps, in milliseconds.
	criticalPathMS int64
	work           occurrenceWork
}

type stepState struct {
	occurrence *occurrence
	index      int
	spec       *workflow.Step
	tasks      []taskState
	doneTasks  int
	// waitingTasks counts tasks that have no run and are not done.
	waitingTasks int
	// open is set once all steps that this one depends on are done, closed once all tasks of
	// this step are done.
	open, closed bool
	// ordered is set while the step is part of Scheduler.lastOrder.
	ordered bool
	// runsPerWorker counts the present runs by worker, for steps that limit their number per
	// worker.
	runsPerWorker map[string]int
	// expectedMS is the run time that is expected of a task, see expectRunTime.
	expectedMS int64
	// criticalPathMS is the expected time of the longest chain of steps from the start of this
	// one to the end of the occurrence, in milliseconds.
	criticalPathMS int64
	permissions    stepPermissions
	// nextPreemption is the earliest time of the next search for runs to stop in favour of the step.
	nextPreemption time.Time
}

type taskState struct {
	done bool
	// failures counts the runs that failed, and failedRuns holds the highest of their numbers, up to keptFailedRuns.
	failures   int
	failedRuns []uint64
	// checkpoint is the checkpoint that the next run starts from, or "": the newest one of the
	// last ended run that had one, or the greatest one of all tasks if a gang is started.
	checkpoint string
	// lastRunNumber is the highest run number known.
	lastRunNumber uint64
	runs          []*run
	// unwantedRuns counts the unwanted runs of the task at all workers.
	unwantedRuns int
	// notBefore is the earliest time at which the task may be started again.
	notBefore time.Time
	// waitingSince is the time since which the task has had no run.
	waitingSince time.Time
	// avoided are the workers where runs of the task have failed or were refused, the latest one last.
	avoided []avoidedWorker
	// crashes counts the runners that crashed while they ran the task, and crashedOn names their workers.
	crashes   crashCount
	crashedOn []string
	// nextTrial is the earliest time of the next search for a worker for a trial.
	nextTrial time.Time
	// stalls counts runs that were stopped because they made no progress.
	stalls int
	// previous is the last run that ended in this term.
	previous PreviousRun
	// concluded are the latest runs whose ends were concluded.
	concluded []concludedRun
}

type runPhase uint8

const (
	// runStartOrdered means that the start was ordered, but the worker has not yet reported that
	// its runner lists the run.
	runStartOrdered runPhase = iota
	runRunning
	runStopping
)

type run struct {
	step      *stepState
	id        workflow.TaskID
	number    uint64
	worker    *workerState
	phase     runPhase
	orderedAt time.Time
	// percent is the progress of the run, and progressedAt when it last changed.
	percent      int
	progressedAt time.Time
	// reading is the newest RunStatus.Reading: milliseconds of tail latency for a serving task,
	// thousandths of a processor in use for another task.
	reading float64
	// checkpoint is the newest checkpoint that the worker reported for the run, or "".
	checkpoint string
	// resumed is set if the run began from a checkpoint or was started by an earlier dispatcher, so that its time
	// since orderedAt is not that of the whole task; shared is set if a best-effort run may have had to wait for
	// processor time.
	resumed, shared bool
	// reportedPending is set while a worker has reported the run only as one that may still start.
	reportedPending bool
	stopOrderedAt   time.Time
	stopReason      string
	// sent is set once the run is known to have been sent to the runner, proven once it has been at work
	// for provenStartAfter.
	sent, proven bool
	// exclusive is set if no other run may start at the worker before this one is proven.
	exclusive bool
}

// task returns the states of a task and its step, or nil if the job, occurrence, step or task is
// not known.
func (sc *Scheduler) task(id workflow.TaskID) (*stepState, *taskState) {
	j := sc.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Step < 0 {
		return nil, nil
	}
	s := o.steps[id.Step]
	if id.Index >= len(s.tasks) || id.Index < 0 {
		return nil, nil
	}
	return s, &s.tasks[id.Index]
}

func (s *stepState) stepID() workflow.StepID {
	return workflow.StepID{Job: s.occurrence.job.submission.ID, Occurrence: s.occurrence.index, Step: s.index}
}

func (s *stepState) taskID(index int) workflow.TaskID {
	return workflow.TaskID{Job: s.occurrence.job.submission.ID, Occurrence: s.occurrence.index, Step: s.index, Index: index}
}
