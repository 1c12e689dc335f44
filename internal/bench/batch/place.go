// Package batch measures the decisions about batch work: placement at several
// fleet sizes, the guard on a surge, and how soon urgent work starts. It drives
// the deciding packages in virtual time with fixed seeds.
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

// Sizes of the target.
const (
	targetRunning       = 7500
	targetQueue         = 23000
	targetTeams         = 180
	targetStarts        = 300 // per second
	targetDataCentres   = 7
	targetWorkers       = 1400
	acceleratorsEvery   = 2 // every second worker has accelerators
	acceleratorsAWorker = 4
	workersARack        = 3
	// sizesATeam is the number of sizes that a team's jobs have.
	sizesATeam = 4
	// sizeSteps is the number of sizes in each dimension.
	sizeSteps = 20
	// acceleratorJobs is of how many jobs one wants an accelerator.
	acceleratorJobs = 50
)

// workerSize is the size of one worker.
var workerSize = worker.Resources{MilliCPU: 16000, MemoryMB: 60000}

// Times of the drive.
const (
	tickEvery      = 100 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	// longestWait is how long ago the oldest work in the queue was submitted.
	longestWait = 8 * time.Hour
	// settleSeconds is how long a drive goes on before it is measured.
	settleSeconds = 3
)

// start is the virtual time at which every drive begins.
var start = time.Unix(1_800_000_000, 0)

// ErrOverfull means that a worker was given more than it has.
var ErrOverfull = errors.New("a worker was given more than it has")

// Load is the size of one placement drive.
type Load struct {
	// Workers is the number of workers.
	Workers int
	// Running is the number of running tasks.
	Running int
	// Queue is the number of waiting tasks.
	Queue int
	// Starts is the number of task starts a second.
	Starts int
	// Seconds is the virtual length.
	Seconds int
	// Varied gives every job a size of its own instead of one of its team's.
	Varied bool
}

// Placement is what a placement drive measured.
type Placement struct {
	// PerPlacement is the mean time of one decision.
	PerPlacement time.Duration
	// LongestTick is the longest time of one look at the queue.
	LongestTick time.Duration
	// CPU is the part of one core that everything took, per virtual second.
	CPU float64
	// MemoryMB is the heap that fold, queue and fleet take.
	MemoryMB float64
	// Placed is the number of tasks placed.
	Placed int
}

// drive is a scheduler behind a log that takes every record, with everything
// that an entry does for a record: encode, decode, fold, follow.
type drive struct {
	load      Load
	scheduler queue.Scheduler
	fold      job.StateMachine
	random    *rand.Rand
	now       time.Time
	offset    uint64
	seq       uint64
	jobs      int
	size      worker.Resources
	running   []record.AssignmentID
	pending   []record.Message
}

// Place measures placement under a load.
func Place(l Load) (Placement, error) {
	before := heap()
	d := &drive{load: l, now: start, seq: 1, random: rand.New(rand.NewPCG(7, uint64(l.Workers)))} //nolint:gosec // fixed seed
	d.fold.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { d.scheduler.TaskChanged(d.now, id, j, t) }
	// The running tasks take most of the workers.
	aWorker := int64((l.Running + l.Workers - 1) / l.Workers)
	d.size = worker.Resources{MilliCPU: workerSize.MilliCPU * 9 / 10 / aWorker, MemoryMB: workerSize.MemoryMB * 9 / 10 / aWorker}
	d.scheduler.Configure(d.now, document(l.Workers), &d.fold)
	d.heartbeats(0, l.Workers)
	if err := d.fill(); err != nil {
		return Placement{}, err
	}
	if _, err := d.steady(settleSeconds); err != nil {
		return Placement{}, err
	}
	out, err := d.steady(l.Seconds)
	if err != nil {
		return Placement{}, err
	}
	out.MemoryMB = float64(heap()-before) / (1 << 20)
	runtime.KeepAlive(d)
	return out, d.check()
}

func document(workers int) *bundle.Document {
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
		d.Teams = append(d.Teams, bundle.Team{Name: team(i), Quota: quota})
	}
	return d
}

func team(i int) string { return fmt.Sprintf("team-%03d", i%targetTeams) }

func workerName(i int) string { return fmt.Sprintf("worker-%04d", i) }

// heartbeats reports the workers from first to before last.
func (d *drive) heartbeats(first, last int) {
	for i := first; i < last; i++ {
		r := worker.Report{
			Name: workerName(i), Rack: fmt.Sprint("rack-", i/workersARack), Service: "planner", Total: workerSize, Ready: true,
			Load: d.random.Float64(), Pressure: d.random.Float64(),
		}
		if i%acceleratorsEvery == 0 {
			r.Total.Accelerators = acceleratorsAWorker
		}
		r.Free = r.Total
		d.fold.EachActive(r.Name, func(_ record.AssignmentID, j *job.Job, _ *job.Task) { r.Free = r.Free.Minus(j.Spec().Size) })
		d.scheduler.ApplyReport(d.now, &r, []queue.ClassUse{{Class: "shaping", Granted: d.size, Used: d.size}})
	}
}

// fill brings the site to its running tasks and its queue.
func (d *drive) fill() error {
	for len(d.running) < d.load.Running {
		for range min(targetStarts, d.load.Running-len(d.running)) {
			d.submit("shaping", d.size)
		}
		if err := d.flush(); err != nil {
			return err
		}
		d.now = d.now.Add(tickEvery)
		d.heartbeats(0, d.load.Workers)
		if n, _ := d.decide(); n == 0 {
			return errors.Newf("got %d tasks running, want %d", len(d.running), d.load.Running)
		}
		if err := d.flush(); err != nil {
			return err
		}
	}
	for range d.load.Queue {
		d.submitAny("archive")
		if len(d.pending) == targetStarts {
			if err := d.flush(); err != nil {
				return err
			}
		}
	}
	return d.flush()
}

// submitAny submits a job of the next team, of one of the team's sizes.
func (d *drive) submitAny(class string) {
	n := uint64(d.random.IntN(sizesATeam))
	from := rand.New(rand.NewPCG(uint64((d.jobs+1)%targetTeams), n)) //nolint:gosec // fixed seed
	if d.load.Varied {
		from = d.random
	}
	d.submit(class, d.varied(from))
}

// varied returns a size from a tenth to twice the usual.
func (d *drive) varied(from *rand.Rand) worker.Resources {
	s := worker.Resources{
		MilliCPU: d.size.MilliCPU * int64(1+from.IntN(sizeSteps)) * 2 / sizeSteps,
		MemoryMB: d.size.MemoryMB * int64(1+from.IntN(sizeSteps)) * 2 / sizeSteps,
	}
	if from.IntN(acceleratorJobs) == 0 {
		s.Accelerators = 1
	}
	return s
}

func (d *drive) submit(class string, size worker.Resources) {
	d.jobs++
	d.pending = append(d.pending, &record.Submit{Spec: record.Spec{
		ID: fmt.Sprintf("%020x", d.jobs), Team: team(d.jobs), Class: class, Tasks: 1, Size: size, MaxFailures: 3, TakeoverMS: 10000,
		ExpectedMS: 60000, SubmittedAt: d.now.UnixMilli() - d.random.Int64N(longestWait.Milliseconds()), Payload: []byte(`{"run-ms":60000}`),
	}})
}

// flush sends what is pending through the codec into the fold.
func (d *drive) flush() error {
	if len(d.pending) == 0 {
		return nil
	}
	data, err := record.Encode("entry", d.seq, d.pending)
	if err != nil {
		return err
	}
	d.seq += uint64(len(d.pending))
	d.pending = d.pending[:0]
	d.offset++
	records, _, err := record.Decode(d.offset, data)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := d.fold.Apply(r); err != nil {
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

// decide returns the number of tasks placed and how long it took.
func (d *drive) decide() (int, time.Duration) {
	began := time.Now()
	decisions := d.scheduler.Decide(d.now, &d.fold, func(string) time.Duration { return 0 }, d.random)
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

// steady ends and submits tasks at the rate of starts, for some virtual seconds.
func (d *drive) steady(seconds int) (Placement, error) {
	var out Placement
	var deciding time.Duration
	cpu := processTime()
	ticks := seconds * int(time.Second/tickEvery)
	aTick := d.load.Starts / int(time.Second/tickEvery)
	beats := int(heartbeatEvery / tickEvery)
	for tick := range ticks {
		d.now = d.now.Add(tickEvery)
		first := tick % beats * d.load.Workers / beats
		d.heartbeats(first, (tick%beats+1)*d.load.Workers/beats)
		for range aTick {
			d.finish()
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
	out.CPU = float64(processTime()-cpu) / float64(time.Duration(seconds)*time.Second)
	if out.Placed == 0 {
		return out, errors.New("nothing was placed")
	}
	out.PerPlacement = deciding / time.Duration(out.Placed)
	return out, nil
}

// finish ends a random running task.
func (d *drive) finish() {
	if len(d.running) == 0 {
		return
	}
	i := d.random.IntN(len(d.running))
	h := d.running[i]
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	d.pending = append(d.pending,
		&record.Started{Assignments: []record.AssignmentID{h}},
		&record.Finished{Assignment: h, Outcome: record.OutcomeSucceeded},
		&record.Forget{Jobs: []string{h.Task.Job}})
}

// check returns an error if the log gave a worker more than it has.
func (d *drive) check() error {
	for i := range d.load.Workers {
		left := workerSize
		if i%acceleratorsEvery == 0 {
			left.Accelerators = acceleratorsAWorker
		}
		d.fold.EachActive(workerName(i), func(_ record.AssignmentID, j *job.Job, _ *job.Task) { left = left.Minus(j.Spec().Size) })
		if !left.Valid() {
			return errors.Wrap(ErrOverfull, workerName(i))
		}
	}
	return nil
}

// heap returns the live heap in bytes.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
