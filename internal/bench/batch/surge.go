package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Sizes and times of a surge.
const (
	surgeWorkers      = 11
	surgeDuration     = 90 * time.Minute
	surgeTickInterval = time.Second
	// readingDelaySteps is the number of steps until a policy sees a measured pressure.
	readingDelaySteps = 2
	// checkpointInterval is the longest time between two checkpoints of a task.
	checkpointInterval = 2 * time.Minute
	// restartTime is how long a task takes to resume from its checkpoint.
	restartTime = 10 * time.Second
	// minWaitingTasks is the number of waiting tasks to which the queue is filled up at
	// every step.
	minWaitingTasks = 40
)

// Policy is how a worker protects its service from interference by batch tasks.
type Policy uint8

// The policies.
const (
	// PolicyNone never acts.
	PolicyNone Policy = iota
	// PolicyGuard follows worker.Guard.
	PolicyGuard
	// PolicyEvict evicts the largest task as soon as the pressure is above 1.
	PolicyEvict
)

// SurgeResult is how services and batch work fared under one policy.
type SurgeResult struct {
	// Evictions counts the tasks that were stopped to run elsewhere.
	Evictions int
	// SavedWork is the processor time of progress that was checkpointed.
	SavedWork time.Duration
	// LostWork is the processor time of progress that was lost.
	LostWork time.Duration
	// PressureP99 is the 99th percentile of the pressure (tail latency divided by the
	// latency objective) over all seconds of all workers, weighted by their load.
	PressureP99 float64
	// AboveObjective is the fraction of the requests that arrived in seconds whose tail
	// latency was above the objective.
	AboveObjective float64
}

// interference holds, by class, how much pressure tasks add if they use the whole worker
// while the service is at full load.
var interference = map[string]float64{"shaping": 0.7, "archive": 2.2, "watcher": 0.1}

// taskSizes holds the resources that a task of each class requests.
var taskSizes = map[string]worker.Resources{
	"shaping": {MilliCPU: 4000, MemoryMB: 8000},
	"archive": {MilliCPU: 3000, MemoryMB: 12000},
	"watcher": {MilliCPU: 500, MemoryMB: 1000},
}

// taskRun is one run of a task, which makes progress from progressFrom on. remaining is
// the work left, in running time at full speed.
type taskRun struct {
	assignment record.AssignmentID
	class      string
	cpuPercent int
	remaining  time.Duration
	// unsaved is the progress since the last checkpoint.
	unsaved        time.Duration
	lastCheckpoint time.Time
	progressFrom   time.Time
}

// simWorker is a simulated worker. load is the present load on its service, from 0 to 1;
// pressures are the service's pressures at all steps so far; runs are by job.
type simWorker struct {
	name      string
	load      float64
	guard     worker.Guard
	ledger    worker.Ledger
	runs      map[string]*taskRun
	pressures []float64
}

// surgeRun is the simulation of one surge under one policy.
type surgeRun struct {
	policy       Policy
	scheduler    queue.Scheduler
	stateMachine job.StateMachine
	// loadRandom varies the load and the pressure.
	loadRandom *rand.Rand
	// jobRandom varies the length of jobs and the scheduler's choices.
	jobRandom *rand.Rand
	now       time.Time
	offset    uint64
	submitted int
	workers   []*simWorker
	// remaining holds, by job, the work left at the last checkpoint.
	remaining map[string]time.Duration
	samples   []sample
	result    SurgeResult
}

// sample is the pressure and the load on one worker's service in one second.
type sample struct{ pressure, load float64 }

// RunSurge simulates a load surge under a policy. The same seed gives the same load
// and the same jobs under every policy.
func RunSurge(policy Policy, seed uint64) (SurgeResult, error) {
	s := &surgeRun{
		policy: policy, now: startTime, remaining: make(map[string]time.Duration),
		loadRandom: rand.New(rand.NewPCG(seed, 1)), jobRandom: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // fixed seeds
	}
	s.stateMachine.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(s.now, id, j, t) }
	for i := range surgeWorkers {
		w := &simWorker{name: workerName(i), runs: make(map[string]*taskRun)}
		w.ledger.Rebuild(workerSize, nil, s.now)
		s.workers = append(s.workers, w)
	}
	s.scheduler.Configure(s.now, &bundle.Document{
		BatchClasses: []bundle.BatchClass{{Name: "shaping", Priority: 5}, {Name: "archive", Priority: 1}, {Name: "watcher", Priority: 3}},
		Teams:        []bundle.Team{{Name: teamName(0), Quota: workerSize.Times(surgeWorkers)}},
	}, &s.stateMachine)
	for range int(surgeDuration / surgeTickInterval) {
		if err := s.step(); err != nil {
			return s.result, err
		}
	}
	s.summarise()
	return s.result, nil
}

// step advances the simulation by the tick.
func (s *surgeRun) step() error {
	s.now = s.now.Add(surgeTickInterval)
	for i, w := range s.workers {
		w.load = s.loadAt(i)
		s.advance(w)
		s.recordPressure(w)
		s.applyPolicy(w)
		r := worker.Report{
			Name: w.name, Rack: fmt.Sprint("rack-", i/workersPerRack), Service: "lastbench", Total: workerSize, Free: w.ledger.Free(),
			Ready: true, Load: w.load, Pressure: w.delayedPressure(),
		}
		s.scheduler.ApplyReport(s.now, &r, w.classUses())
	}
	for s.scheduler.Queue().Len() < minWaitingTasks {
		s.submit()
	}
	for _, d := range s.scheduler.Decide(s.now, &s.stateMachine, func(string) time.Duration { return 0 }, s.jobRandom) {
		if m, ok := d.Message().(*record.Assign); ok {
			if err := s.assign(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadAt returns the present load on the service of worker i. The load rises to a crest
// and falls again, with waves of two minutes and random changes every second on top.
func (s *surgeRun) loadAt(i int) float64 {
	elapsed := s.now.Sub(startTime)
	crest := math.Sin(math.Pi * float64(elapsed) / float64(surgeDuration))
	wave := math.Sin(2*math.Pi*elapsed.Seconds()/120 + float64(i)/3)
	return min(max(0.15+0.6*crest+0.15*wave+0.08*s.loadRandom.NormFloat64(), 0), 1)
}

// submit submits the next job, with one task of a class that follows from its number.
// Every 20th job is ten times as long.
func (s *surgeRun) submit() {
	s.submitted++
	class := [...]string{"shaping", "shaping", "archive", "archive", "watcher"}[s.submitted%5]
	id := fmt.Sprint("job-", s.submitted)
	length := time.Duration(float64(6*time.Minute) * math.Exp(s.jobRandom.NormFloat64()*0.5))
	if s.submitted%20 == 0 {
		length *= 10
	}
	s.remaining[id] = length
	s.apply(&record.Submit{Spec: record.Spec{
		ID: id, Team: teamName(0), Class: class, Tasks: 1, Size: taskSizes[class], MaxFailures: 3, SubmittedAtMS: s.now.UnixMilli(),
	}})
}

// apply applies a record as the next one of the log, and returns its position.
func (s *surgeRun) apply(m record.Message) record.Position {
	s.offset++
	position := record.NewPosition(s.offset, 0)
	_ = s.stateMachine.Apply(record.New(position, "entry", s.offset, m))
	return position
}

// assign applies an assignment, and starts its tasks on workers whose ledgers admit them.
func (s *surgeRun) assign(m *record.Assign) error {
	epoch := s.apply(m)
	for _, p := range m.Placements {
		j, _ := s.stateMachine.Job(p.Task.Job)
		spec := j.Spec()
		w := s.worker(p.Worker)
		assignment := record.AssignmentID{Task: p.Task, Epoch: epoch}
		if err := w.ledger.Admit(s.now, p.Task.Job, spec.Size); err != nil {
			s.apply(&record.Released{Assignment: assignment})
			continue
		}
		if w.runs[p.Task.Job] != nil {
			return errors.Newf("task %s was started twice on a worker", p.Task)
		}
		w.runs[p.Task.Job] = &taskRun{
			assignment: assignment, class: spec.Class, cpuPercent: 100, remaining: s.remaining[p.Task.Job], lastCheckpoint: s.now, progressFrom: s.now.Add(restartTime),
		}
		w.guard.TaskStarted(s.now, p.Task.Job)
	}
	return checkSizes(s.workers)
}

// checkSizes returns an error if the tasks on a worker need more resources than the
// worker has.
func checkSizes(workers []*simWorker) error {
	for _, w := range workers {
		var sum worker.Resources
		for _, r := range w.runs {
			sum = sum.Plus(taskSizes[r.class])
		}
		if !sum.Fits(workerSize) {
			return errors.Wrap(ErrOvercommitted, w.name)
		}
	}
	return nil
}

func (s *surgeRun) worker(name string) *simWorker {
	for _, w := range s.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

// advance lets the tasks of a worker make progress for one step.
func (s *surgeRun) advance(w *simWorker) {
	for _, id := range w.sortedJobs() {
		r := w.runs[id]
		if s.now.Before(r.progressFrom) {
			continue
		}
		done := surgeTickInterval * time.Duration(r.cpuPercent) / 100
		r.remaining -= done
		r.unsaved += done
		if s.now.Sub(r.lastCheckpoint) >= checkpointInterval {
			s.checkpoint(w, id)
		}
		if r.remaining <= 0 {
			s.checkpoint(w, id)
			s.endRun(w, id)
			s.apply(&record.Finished{Assignment: r.assignment, Outcome: record.OutcomeSucceeded})
			s.apply(&record.Forget{Jobs: []string{id}})
		}
	}
}

// checkpoint saves a task's progress.
func (s *surgeRun) checkpoint(w *simWorker, id string) {
	r := w.runs[id]
	s.result.SavedWork += coreTime(r.class, r.unsaved)
	r.unsaved = 0
	r.lastCheckpoint = s.now
	s.remaining[id] = max(r.remaining, 0)
	w.guard.CheckpointSaved(s.now, id)
}

// coreTime returns the processor time of a task of a class that runs for a while at full
// speed.
func coreTime(class string, runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime) * float64(taskSizes[class].MilliCPU) / 1000)
}

// endRun ends a task's run. Progress since its last checkpoint is lost.
func (s *surgeRun) endRun(w *simWorker, id string) {
	s.result.LostWork += coreTime(w.runs[id].class, w.runs[id].unsaved)
	delete(w.runs, id)
	w.ledger.Release(id)
}

// evict stops a task so that it can run elsewhere. Progress since its last
// checkpoint is lost.
func (s *surgeRun) evict(w *simWorker, id string) {
	assignment := w.runs[id].assignment
	s.endRun(w, id)
	s.result.Evictions++
	s.apply(&record.Released{Assignment: assignment, Ref: "saved"})
}

// recordPressure records the current pressure on a worker's service, with noise.
// Policies see it readingDelaySteps later.
func (s *surgeRun) recordPressure(w *simWorker) {
	pressure := 0.25 + 0.25*w.load*w.load
	for _, id := range w.sortedJobs() {
		r := w.runs[id]
		if s.now.Before(r.progressFrom) {
			continue
		}
		share := float64(taskSizes[r.class].MilliCPU) / float64(workerSize.MilliCPU)
		pressure += w.load * interference[r.class] * share * float64(r.cpuPercent) / 100
	}
	pressure *= math.Exp(0.08 * s.loadRandom.NormFloat64())
	w.pressures = append(w.pressures, pressure)
	s.samples = append(s.samples, sample{pressure: pressure, load: w.load})
}

// delayedPressure returns the pressure that policies see.
func (w *simWorker) delayedPressure() float64 {
	if len(w.pressures) <= readingDelaySteps {
		return 0
	}
	return w.pressures[len(w.pressures)-1-readingDelaySteps]
}

func (w *simWorker) sortedJobs() []string {
	out := make([]string, 0, len(w.runs))
	for id := range w.runs {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// classUses returns the resources granted to and used by the tasks of each class.
func (w *simWorker) classUses() []queue.ClassUse {
	var out []queue.ClassUse
	for class, size := range taskSizes {
		u := queue.ClassUse{Class: class}
		for _, r := range w.runs {
			if r.class == class {
				u.Granted = u.Granted.Plus(size)
				u.Used.MilliCPU += size.MilliCPU * int64(r.cpuPercent) / 100
			}
		}
		if u.Granted.MilliCPU > 0 {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Class < out[k].Class })
	return out
}

func (s *surgeRun) applyPolicy(w *simWorker) {
	switch s.policy {
	case PolicyGuard:
		s.applyGuard(w)
	case PolicyEvict:
		s.evictLargest(w)
	}
}

// applyGuard carries out what worker.Guard decides.
func (s *surgeRun) applyGuard(w *simWorker) {
	var running []worker.GuardTask
	for _, id := range w.sortedJobs() {
		class := w.runs[id].class
		running = append(running, worker.GuardTask{
			Key: id, Class: class, Share: float64(taskSizes[class].MilliCPU) / float64(workerSize.MilliCPU),
		})
	}
	r := worker.ServiceReading{Service: "lastbench", Pressure: w.delayedPressure(), Load: w.load}
	for _, a := range w.guard.Decide(s.now, &r, running) {
		switch a.Kind() {
		case worker.ActionThrottle:
			w.runs[a.Key()].cpuPercent = a.CPUPercent()
		case worker.ActionCheckpoint:
			s.checkpoint(w, a.Key())
		case worker.ActionMove:
			s.checkpoint(w, a.Key())
			s.evict(w, a.Key())
		}
	}
}

// evictLargest evicts the task that requests the most processors if the pressure that
// policies see is above 1.
func (s *surgeRun) evictLargest(w *simWorker) {
	if w.delayedPressure() <= 1 {
		return
	}
	largest := ""
	for _, id := range w.sortedJobs() {
		if largest == "" || taskSizes[w.runs[id].class].MilliCPU > taskSizes[w.runs[largest].class].MilliCPU {
			largest = id
		}
	}
	if largest != "" {
		s.evict(w, largest)
	}
}

// summarise counts the progress of tasks that still run and computes AboveObjective and
// PressureP99 from the samples.
func (s *surgeRun) summarise() {
	for _, w := range s.workers {
		for _, id := range w.sortedJobs() {
			s.checkpoint(w, id)
		}
	}
	sort.Slice(s.samples, func(i, k int) bool { return s.samples[i].pressure > s.samples[k].pressure })
	totalLoad, loadAboveObjective := 0.0, 0.0
	for _, x := range s.samples {
		totalLoad += x.load
		if x.pressure > 1 {
			loadAboveObjective += x.load
		}
	}
	s.result.AboveObjective = loadAboveObjective / totalLoad
	sum := 0.0
	for _, x := range s.samples {
		if sum += x.load; sum >= totalLoad/100 {
			s.result.PressureP99 = x.pressure
			return
		}
	}
}
