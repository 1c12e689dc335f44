package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// workerState is what the dispatcher knows of a worker.
type workerState struct {
	name string
	// life identifies the life of the worker's runner; 0 while none is known.
	life     uint64
	service  string
	capacity worker.Resources
	// labelList holds the labels as the worker reported them; labels and rack are derived from it.
	labelList []string
	labels    map[string]bool
	rack      string
	draining  bool
	// dataCentre is the worker's data centre, and evacuated is set while that one is evacuated.
	dataCentre string
	evacuated  bool
	// pacePercent is how fast the agent lets best-effort tasks run on the worker, in percent of
	// unthrottled speed; 100 means not slowed down.
	pacePercent int
	// lastSlowedAt is when the worker last reported that best-effort tasks are slowed down.
	lastSlowedAt time.Time
	// bestEffortEndedAt is when a best-effort run last ended on the worker.
	bestEffortEndedAt time.Time
	// servingTasksByImage counts tasks with a latency target by image.
	servingTasksByImage map[string]int
	// bestEffortShares are the fractions of the worker's processors that best-effort images
	// request.
	bestEffortShares imageShares
	lastContact      time.Time
	// room is the place of the worker in Scheduler.rooms.
	room roomPlace
	// changed is set while the worker is one of Scheduler.changedWorkers.
	changed bool
	// everReported is set once a life of the worker's runner was known in this term.
	everReported bool
	// endAnnounced is set once the present life has said that it is about to end.
	endAnnounced bool
	// lifeBeganAt is when the present life became known, if another one was known before in this term.
	lifeBeganAt time.Time
	// unprovenRuns counts the runs that are not proven.
	unprovenRuns int
	// trial is the run at the worker whose task is suspected of crashing runners; nil if there is none.
	trial *run
	// reservedFor is the task that the worker is kept free for until reservedUntil.
	reservedFor   workflow.TaskID
	reservedUntil time.Time
	// silent is set while there has been no recent contact.
	silent bool
	// leaseExpired is set once the worker's lease has expired, until the next contact: nothing can run
	// on the worker.
	leaseExpired bool
	runs         map[workflow.TaskID]*run
	// unwanted holds the unwanted runs at the worker.
	unwanted map[unwantedRun]unwantedState
	// allocated is what runs and unwanted runs reserve.
	allocated worker.Resources
	// bestEffortMilliCPU is the processor time that best-effort tasks request.
	bestEffortMilliCPU int64
	// servingTasks counts tasks with a latency target.
	servingTasks     int
	longRunningTasks int
	// longRunningMilliCPU is the processor time that long-running tasks reserve.
	longRunningMilliCPU int64
	health              workerHealth
	// keptUntil is until when the worker gets no tasks but long-running ones, since it is reserved or runs were stopped for
	// one of them.
	keptUntil time.Time
	// instance is the instance ID of the runner.
	instance string
	// openQuestionCount counts the open questions that the worker's agent has to ask; the agent
	// gets no further question before nextQuestionAt.
	openQuestionCount int
	nextQuestionAt    time.Time
	// lastEndNumber is the number up to which all run ends of the present life have been taken in or were
	// acknowledged before.
	lastEndNumber uint64
	// endedLives holds the number of the last end that has been taken in of each ended life of the runner whose ends are
	// still to be acknowledged.
	endedLives map[uint64]uint64
	// moreEnds is set while the last report said that the runner may list more ends.
	moreEnds    bool
	unknownJobs unknownJobReport
}

// free returns the resources that no task at the worker reserves.
func (w *workerState) free() worker.Resources { return w.capacity.Minus(w.allocated) }

// add adds a run to the worker, which reserves the resources that the run needs.
func (w *workerState) add(r *run) {
	w.runs[r.id] = r
	w.allocated = w.allocated.Plus(r.step.spec.Reserved())
	w.count(r, 1)
}

// remove removes a run from the worker and frees its resources.
func (w *workerState) remove(r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.allocated = w.allocated.Minus(r.step.spec.Reserved())
	w.count(r, -1)
}

// countBestEffort adds the processor time of a best-effort run to the worker's sums if delta is 1, and
// removes it from them if delta is -1.
func (w *workerState) countBestEffort(r *run, delta int) {
	w.bestEffortMilliCPU += int64(delta) * r.step.spec.Size.MilliCPU
	w.bestEffortShares.add(r.step.spec.Image, float64(delta)*w.shareOf(r.step))
}

// shareOf returns the fraction of the worker's processors that a task of a step requests.
func (w *workerState) shareOf(s *stepState) float64 {
	return float64(s.spec.Size.MilliCPU) / float64(max(1, w.capacity.MilliCPU))
}

// count adds a run to the worker's counts if delta is 1, and removes it from them if delta is -1.
func (w *workerState) count(r *run, delta int) {
	if r.step.spec.BestEffort {
		w.countBestEffort(r, delta)
	}
	if r.step.spec.TargetMS > 0 {
		w.servingTasks += delta
		if w.servingTasksByImage[r.step.spec.Image] += delta; w.servingTasksByImage[r.step.spec.Image] <= 0 {
			delete(w.servingTasksByImage, r.step.spec.Image)
		}
	}
	if r.step.spec.LongRunning {
		w.longRunningTasks += delta
		w.longRunningMilliCPU += int64(delta) * r.step.spec.Size.MilliCPU
	}
}
