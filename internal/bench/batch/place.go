// Package batch benchmarks the scheduling of batch work: placement at several
// fleet sizes, the colocation guard during a load surge, and how soon urgent work
// starts. It runs the decision code in virtual time with fixed seeds.
package batch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// The size that the system is designed for.
const (
	targetRunning             = 7500
	targetQueueLength         = 23000
	targetTeams               = 180
	targetStartsPerSecond     = 300
	targetDataCentres         = 7
	targetWorkers             = 1400
	acceleratorWorkerInterval = 2 // every second worker has accelerators
	acceleratorsPerWorker     = 4
	workersPerRack            = 3
	// sizesPerTeam is the number of different sizes among a team's jobs.
	sizesPerTeam = 4
	// sizeSteps is the number of different amounts of each resource.
	sizeSteps = 20
	// acceleratorJobInterval is the mean number of jobs for each one that requests an
	// accelerator.
	acceleratorJobInterval = 50
)

// workerSize is the size of a worker without its accelerators.
var workerSize = worker.Resources{MilliCPU: 16000, MemoryMB: 60000}

// Times of a placement run.
const (
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// maxQueueAge is the maximum age of a job in the queue when it is submitted.
	maxQueueAge = 8 * time.Hour
	// warmUpSeconds is the virtual time before the measurement.
	warmUpSeconds = 3
)

// startTime is the virtual time at which every run begins.
var startTime = time.Unix(1_800_000_000, 0)

// ErrOvercommitted means that the tasks placed on a worker need more resources than it
// has.
var ErrOvercommitted = errors.New("tasks on a worker exceed its resources")

// Load is the load of a placement run.
type Load struct {
	// Workers is the number of workers.
	Workers int
	// Running is the number of running tasks.
	Running int
	// QueueLength is the number of waiting tasks.
	QueueLength int
	// StartsPerSecond is the number of task starts per second.
	StartsPerSecond int
	// Seconds is the measured virtual time.
	Seconds int
	// VariedSizes gives every job a random size instead of one of its team's sizes.
	VariedSizes bool
}

// PlacementResult is the result of a placement run.
type PlacementResult struct {
	// PerPlacement is the mean time to decide one placement.
	PerPlacement time.Duration
	// LongestTick is the longest time of one scheduling pass over the queue.
	LongestTick time.Duration
	// Cores is the processor time of the whole run per virtual second, as a fraction
	// of one core.
	Cores float64
	// MemoryMB is the heap that the state machine, the queue and the fleet take.
	MemoryMB float64
	// Placed is the number of tasks placed.
	Placed int
}

// placementRun runs a scheduler with a log that accepts every record. It does all
// that an entry does for a record: encode, decode, apply to the state machine and
// update the scheduler.
type placementRun struct {
	load         Load
	scheduler    queue.Scheduler
	stateMachine job.StateMachine
	random       *rand.Rand
	now          time.Time
	offset       uint64
	nextSeq      uint64
	submitted    int
	typicalSize  worker.Resources
	running      []record.AssignmentID
	pending      []record.Message
}

// MeasurePlacement measures placement under a load. At the end it checks that no worker
// is overcommitted.
func MeasurePlacement(l Load) (PlacementResult, error) {
	heapBefore := heapBytes()
	d := &placementRun{load: l, now: startTime, nextSeq: 1, random: rand.New(rand.NewPCG(7, uint64(l.Workers)))} //nolint:gosec // fixed seed
	d.stateMachine.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { d.scheduler.TaskChanged(d.now, id, j, t) }
	// The running tasks occupy at most nine tenths of the workers.
	tasksPerWorker := int64((l.Running + l.Workers - 1) / l.Workers)
	d.typicalSize = worker.Resources{MilliCPU: workerSize.MilliCPU * 9 / 10 / tasksPerWorker, MemoryMB: workerSize.MemoryMB * 9 / 10 / tasksPerWorker}
	d.scheduler.Configure(d.now, newDocument(l.Workers), &d.stateMachine)
	d.reportWorkers(0, l.Workers)
	if err := d.fill(); err != nil {
		return PlacementResult{}, err
	}
	if _, err := d.runSteadyLoad(warmUpSeconds); err != nil {
		return PlacementResult{}, err
	}
	out, err := d.runSteadyLoad(l.Seconds)
	if err != nil {
		return PlacementResult{}, err
	}
	out.MemoryMB = float64(heapBytes()-heapBefore) / (1 << 20)
	runtime.KeepAlive(d)
	return out, d.checkCapacity()
}

// newDocument returns a bundle for a number of workers. The teams' quotas differ; together
// they are about the resources of all workers.
func newDocument(workers int) *bundle.Document {
	d := &bundle.Document{BatchClasses: []bundle.BatchClass{
		{Name: "urgent", Priority: 9, Urgent: true, MaxFailures: 3, TakeoverAfter: bundle.Duration(5 * time.Second)},
		{Name: "shaping", Priority: 5, MaxFailures: 3, TakeoverAfter: bundle.Duration(10 * time.Second)},
		{Name: "archive", Priority: 1, MaxFailures: 3, TakeoverAfter: bundle.Duration(time.Minute)},
		{Name: "watcher", Priority: 3, MaxFailures: 3, TakeoverAfter: bundle.Duration(10 * time.Second)},
	}}
	for i := range targetTeams {
		quota := workerSize.Times(int64(workers))
		quota.MilliCPU = quota.MilliCPU * int64(i%5+1) / (3 * targetTeams)
		quota.MemoryMB = quota.MemoryMB * int64(i%5+1) / (3 * targetTeams)
		d.Teams = append(d.Teams, bundle.Team{Name: teamName(i), Quota: quota})
	}
	return d
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i%targetTeams) }

func workerName(i int) string { return fmt.Sprintf("worker-%04d", i) }

// reportWorkers delivers reports of the workers from first to last-1.
func (d *placementRun) reportWorkers(first, last int) {
	for i := first; i < last; i++ {
		r := worker.Report{
			Name: workerName(i), Rack: fmt.Sprint("rack-", i/workersPerRack), Service: "planner", Total: workerSize, Ready: true,
			Load: d.random.Float64(), Pressure: d.random.Float64(),
		}
		if i%acceleratorWorkerInterval == 0 {
			r.Total.Accelerators = acceleratorsPerWorker
		}
		r.Free = r.Total
		d.stateMachine.EachActive(r.Name, func(_ record.AssignmentID, j *job.Job, _ *job.Task) { r.Free = r.Free.Minus(j.Spec().Size) })
		d.scheduler.ApplyReport(d.now, &r, []queue.ClassUse{{Class: "shaping", Granted: d.typicalSize, Used: d.typicalSize}})
	}
}

// fill starts tasks until as many run as the load asks for, then fills the queue.
func (d *placementRun) fill() error {
	for len(d.running) < d.load.Running {
		for range min(targetStartsPerSecond, d.load.Running-len(d.running)) {
			d.submit("shaping", d.typicalSize)
		}
		if err := d.flush(); err != nil {
			return err
		}
		d.now = d.now.Add(tickInterval)
		d.reportWorkers(0, d.load.Workers)
		if n, _ := d.decide(); n == 0 {
			return errors.Newf("got %d tasks running, want %d", len(d.running), d.load.Running)
		}
		if err := d.flush(); err != nil {
			return err
		}
	}
	for range d.load.QueueLength {
		d.submitAny("archive")
		if len(d.pending) == targetStartsPerSecond {
			if err := d.flush(); err != nil {
				return err
			}
		}
	}
	return d.flush()
}

// submitAny queues the submission of a job of the next team, with one of the
// team's sizes unless the load asks for varied sizes.
func (d *placementRun) submitAny(class string) {
	sizeIndex := uint64(d.random.IntN(sizesPerTeam))
	source := rand.New(rand.NewPCG(uint64((d.submitted+1)%targetTeams), sizeIndex)) //nolint:gosec // fixed seed
	if d.load.VariedSizes {
		source = d.random
	}
	d.submit(class, d.randomSize(source))
}

// randomSize returns a size from a tenth to twice the typical size, drawn from source.
func (d *placementRun) randomSize(source *rand.Rand) worker.Resources {
	s := worker.Resources{
		MilliCPU: d.typicalSize.MilliCPU * int64(1+source.IntN(sizeSteps)) * 2 / sizeSteps,
		MemoryMB: d.typicalSize.MemoryMB * int64(1+source.IntN(sizeSteps)) * 2 / sizeSteps,
	}
	if source.IntN(acceleratorJobInterval) == 0 {
		s.Accelerators = 1
	}
	return s
}

// submit queues the submission of a job with one task, of the next team.
func (d *placementRun) submit(class string, size worker.Resources) {
	d.submitted++
	d.pending = append(d.pending, &record.Submit{Spec: record.Spec{
		ID: fmt.Sprintf("%020x", d.submitted), Team: teamName(d.submitted), Class: class, Tasks: 1, Size: size, MaxFailures: 3, TakeoverMS: 10000,
		ExpectedMS: 60000, SubmittedAtMS: d.now.UnixMilli() - d.random.Int64N(maxQueueAge.Milliseconds()), Payload: []byte(`{"run-ms":60000}`),
	}})
}

// flush encodes and decodes the pending records and applies them to the state
// machine.
func (d *placementRun) flush() error {
	if len(d.pending) == 0 {
		return nil
	}
	data, err := record.Encode("entry", d.nextSeq, d.pending)
	if err != nil {
		return err
	}
	d.nextSeq += uint64(len(d.pending))
	d.pending = d.pending[:0]
	d.offset++
	records, _, err := record.Decode(d.offset, data)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := d.stateMachine.Apply(r); err != nil {
			return err
		}
		if m, ok := r.Message().(*record.Assign); ok {
			for _, p := range m.Placements {
				d.running = append(d.running, record.AssignmentID{Task: p.Task, Epoch: r.Position()})
			}
		}
	}
	return nil
}

// decide runs one scheduling pass and returns the number of tasks placed and how
// long the pass took.
func (d *placementRun) decide() (int, time.Duration) {
	began := time.Now()
	decisions := d.scheduler.Decide(d.now, &d.stateMachine, func(string) time.Duration { return 0 }, d.random)
	took := time.Since(began)
	placed := 0
	for i := range decisions {
		placed += len(decisions[i].Placements())
		if m := decisions[i].Message(); m != nil {
			d.pending = append(d.pending, m)
		}
	}
	return placed, took
}

// runSteadyLoad ends and submits tasks at the load's start rate for a number of virtual
// seconds, and returns the result for this time.
func (d *placementRun) runSteadyLoad(seconds int) (PlacementResult, error) {
	var out PlacementResult
	var deciding time.Duration
	cpu := processorTime()
	ticks := seconds * int(time.Second/tickInterval)
	startsPerTick := d.load.StartsPerSecond / int(time.Second/tickInterval)
	ticksPerHeartbeat := int(heartbeatInterval / tickInterval)
	for tick := range ticks {
		d.now = d.now.Add(tickInterval)
		first := tick % ticksPerHeartbeat * d.load.Workers / ticksPerHeartbeat
		d.reportWorkers(first, (tick%ticksPerHeartbeat+1)*d.load.Workers/ticksPerHeartbeat)
		for range startsPerTick {
			d.finishRandom()
			d.submitAny("shaping")
		}
		if err := d.flush(); err != nil {
			return out, err
		}
		placed, took := d.decide()
		out.Placed += placed
		deciding += took
		out.LongestTick = max(out.LongestTick, took)
		if err := d.flush(); err != nil {
			return out, err
		}
	}
	out.Cores = float64(processorTime()-cpu) / float64(time.Duration(seconds)*time.Second)
	if out.Placed == 0 {
		return out, errors.New("no task was placed")
	}
	out.PerPlacement = deciding / time.Duration(out.Placed)
	return out, nil
}

// finishRandom ends a random running task.
func (d *placementRun) finishRandom() {
	if len(d.running) == 0 {
		return
	}
	i := d.random.IntN(len(d.running))
	a := d.running[i]
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	d.pending = append(d.pending,
		&record.Started{Assignments: []record.AssignmentID{a}},
		&record.Finished{Assignment: a, Outcome: record.OutcomeSucceeded},
		&record.Forget{Jobs: []string{a.Task.Job}})
}

// checkCapacity returns an error if the active tasks on a worker need more resources than
// the worker has.
func (d *placementRun) checkCapacity() error {
	for i := range d.load.Workers {
		free := workerSize
		if i%acceleratorWorkerInterval == 0 {
			free.Accelerators = acceleratorsPerWorker
		}
		d.stateMachine.EachActive(workerName(i), func(_ record.AssignmentID, j *job.Job, _ *job.Task) { free = free.Minus(j.Spec().Size) })
		if !free.Valid() {
			return errors.Wrap(ErrOvercommitted, workerName(i))
		}
	}
	return nil
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
