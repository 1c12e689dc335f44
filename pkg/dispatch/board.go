// Package dispatch decides which worker runs which task: it holds the waiting
// and running tasks of all jobs, the workers and what they run, and returns
// orders to start and stop tasks.
//
// It does no I/O. The present time is an argument: now on a clock that goes on
// while the machine is suspended, wall times in Unix milliseconds.
package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Queue is what the configuration says about a queue of jobs.
type Queue struct {
	Service string
	// Priority 0 comes first and may preempt others.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Stretch and Target make the latency objective of a job: Stretch times
	// its longest chain of work, and Target more.
	Stretch float64
	Target  time.Duration
	// Advice is set if only some workers may run a step, and which ones must be asked.
	Advice *Advice
}

// Board holds the jobs and workers of one dispatcher. The zero value is empty.
type Board struct {
	queues  map[string]Queue
	workers map[string]*host
	jobs    map[string]*jobState
	// runBase is added to run numbers, so that they rise over terms.
	runBase uint64
	// unheard are workers that may run tasks started before this term.
	unheard map[string]bool
	// ready are steps that have waiting tasks.
	ready map[*stepState]struct{}
	dirty map[*jobState]struct{}
	notes map[string]noted
	// urgent is set if a dirty job has ended.
	urgent bool
	stops  []Stop
	lost   []Lost
	spread float64
	// shares are what filling images may use beside serving ones.
	shares map[pair]float64
	// advised is set if a queue needs advice; questions are those without an answer.
	advised   bool
	questions map[uint64]*question
	asked     uint64
	// unknowns are the workers that list something of jobs that are not known.
	unknowns map[*host]struct{}
}

// noted is up to which end a worker's list has been taken in.
type noted struct {
	life uint64
	end  uint64
}

// Runs per term: a task that is started more often in one term is not expected.
const runsPerTerm = 1000

// Begin starts a term. Jobs that are admitted as old may run at one of the
// workers named, until each has reported or lapsed.
func (b *Board) Begin(term uint64, workers []string) {
	*b = Board{queues: b.queues, advised: b.advised, spread: b.spread, shares: make(map[pair]float64), questions: make(map[uint64]*question)}
	b.workers = make(map[string]*host)
	b.jobs = make(map[string]*jobState)
	b.unheard = make(map[string]bool)
	b.ready = make(map[*stepState]struct{})
	b.dirty = make(map[*jobState]struct{})
	b.notes = make(map[string]noted)
	b.unknowns = make(map[*host]struct{})
	if term > 1 {
		b.runBase = (term - 1) * runsPerTerm
	}
	for _, w := range workers {
		b.unheard[w] = true
	}
}

// SetQueues replaces the queues.
func (b *Board) SetQueues(queues map[string]Queue) {
	b.queues = queues
	b.advised = false
	for _, q := range queues {
		b.advised = b.advised || q.Advice != nil
	}
}

// SetSpread sets how much longer a task takes away from its data.
func (b *Board) SetSpread(factor float64) { b.spread = factor }

// Unheard returns the workers that may still run tasks of an earlier term.
func (b *Board) Unheard() int { return len(b.unheard) }

// Settle notes that nothing of an earlier term can run any more.
func (b *Board) Settle() { clear(b.unheard) }

type jobState struct {
	sub      *workflow.Submission
	accepted time.Time
	phase    workflow.Phase
	endedMS  int64
	begun    bool
	// old jobs were accepted before this term.
	old  bool
	occs map[int]*occurrence
	// next is the first occurrence that has not been created yet.
	next     int
	doneOccs int
	// restored is progress from the store, until its occurrence is created.
	restored *workflow.Progress
}

type occurrence struct {
	job   *jobState
	k     int
	began time.Time
	steps []*stepState
	done  int
}

type stepState struct {
	occ   *occurrence
	index int
	spec  *workflow.Step
	tasks []taskState
	done  int
	// waiting counts tasks that have no run and are not done.
	waiting int
	// open is set once all earlier steps are done, closed once all its tasks are.
	open, closed bool
	// perWorker counts live runs by worker, for steps that bound them.
	perWorker map[string]int
	// tail is the longest chain of work from the start of this step on, in milliseconds.
	tail    int64
	rulings rulings
}

type taskState struct {
	done bool
	// failed holds the numbers of the runs that failed.
	failed []uint64
	saved  string
	// lastRun is the highest run number known.
	lastRun uint64
	runs    []*run
	// after is when the task may be started again.
	after time.Time
	// freed is since when the task has had no run.
	freed time.Time
	// avoid is the worker where the last run failed.
	avoid string
	// stalls counts runs that were stopped because they stood still.
	stalls int
}

type runPhase uint8

const (
	runOrdered runPhase = iota
	runWorking
	runStopping
)

type run struct {
	step    *stepState
	id      workflow.TaskID
	number  uint64
	host    *host
	phase   runPhase
	since   time.Time
	percent int
	moved   time.Time
	reading float64
	saved   string
	stopped time.Time
	reason  string
}

// task returns the state of a task, or nil if the job, occurrence or step is not known.
func (b *Board) task(id workflow.TaskID) (*stepState, *taskState) {
	j := b.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	o := j.occs[id.Occurrence]
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
	return workflow.StepID{Job: s.occ.job.sub.ID, Occurrence: s.occ.k, Step: s.index}
}

func (s *stepState) id(index int) workflow.TaskID {
	return workflow.TaskID{Job: s.occ.job.sub.ID, Occurrence: s.occ.k, Step: s.index, Index: index}
}

// host is a worker as the board sees it.
type host struct {
	name     string
	life     uint64
	service  string
	capacity worker.Resources
	labels   map[string]bool
	rack     string
	draining bool
	// pace is the percentage at which filling tasks work there.
	pace int
	// paced is when filling tasks were last seen slowed down.
	paced time.Time
	// fillEnded is when a filling task ended last.
	fillEnded time.Time
	// servingImages counts tasks with a latency target by image.
	servingImages map[string]int
	// fillShares are the shares of the processors that filling images ask for.
	fillShares map[string]float64
	heard      time.Time
	silent     bool
	// lapsed is set while nothing can run there.
	lapsed bool
	runs   map[workflow.TaskID]*run
	used   worker.Resources
	// filling is the processor time that filling tasks ask for.
	filling int64
	// serving counts tasks with a latency target.
	serving int
	lasting int
	// reserved is the processor time that tasks that last reserve.
	reserved int64
	health   health
	// instance is the runner's name of its present life.
	instance string
	// asking counts the open questions of its agent, which asks none before asksAfter.
	asking    int
	asksAfter time.Time
	// lastEnd is the number of the last end taken in.
	lastEnd uint64
	unknown unknown
}

func (h *host) free() worker.Resources { return h.capacity.Minus(h.used) }

func (h *host) add(r *run) {
	h.runs[r.id] = r
	h.used = h.used.Plus(r.step.spec.Reserved())
	h.count(r, 1)
}

func (h *host) remove(r *run) {
	if h.runs[r.id] != r {
		return
	}
	delete(h.runs, r.id)
	h.used = h.used.Minus(r.step.spec.Reserved())
	h.count(r, -1)
}

// fill counts a filling run, or counts it out.
func (h *host) fill(r *run, by int) {
	image := r.step.spec.Image
	h.filling += int64(by) * r.step.spec.Size.MilliCPU
	h.fillShares[image] += float64(by) * float64(r.step.spec.Size.MilliCPU) / float64(max(1, h.capacity.MilliCPU))
	if h.fillShares[image] < 1e-9 {
		delete(h.fillShares, image)
	}
}

func (h *host) count(r *run, by int) {
	if r.step.spec.Fills {
		h.fill(r, by)
	}
	if r.step.spec.TargetMS > 0 {
		h.serving += by
		if h.servingImages[r.step.spec.Image] += by; h.servingImages[r.step.spec.Image] <= 0 {
			delete(h.servingImages, r.step.spec.Image)
		}
	}
	if r.step.spec.Lasts {
		h.lasting += by
		h.reserved += int64(by) * r.step.spec.Size.MilliCPU
	}
}
