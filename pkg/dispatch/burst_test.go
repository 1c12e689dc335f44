package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// The load of a played burst, that of the trouble-1 days of the small further site: 11 workers of 32
// processors, and jobs of two steps of best-effort tasks.
const (
	burstTick    = 50 * time.Millisecond
	burstWorkers = 11
	burstWork    = 1700 * time.Millisecond
	// burstFrom and burstTo bound the burst, in which burstFactor times as many jobs come.
	burstFrom   = 4 * time.Second
	burstTo     = 11 * time.Second
	burstFactor = 2.4
	burstEnd    = 40 * time.Second
	// burstLoad is the fraction of the processor time that best-effort tasks need outside the burst.
	burstLoad = 0.75
)

// burst plays best-effort jobs against a scheduler without a network. Serving tasks reserve all processors and
// use 0.45 of them; the best-effort tasks of a worker share the rest in proportion to their requests.
type burst struct {
	random *rand.Rand
	sc     Scheduler
	start  time.Time
	now    time.Time
	tasks  map[string][]*burstTask
	ends   map[string]uint64
	// lengths holds the run times of each job's tasks alone on a worker, by step and index; they do not depend
	// on what the scheduler decides.
	lengths map[string][2][]time.Duration
	// handedIn holds the times at which the jobs that have not ended were handed in.
	handedIn map[string]time.Time
	result   burstResult
}

type burstTask struct {
	id   workflow.TaskID
	run  uint64
	size float64
	left time.Duration
}

// burstResult is what the callers of a played burst got: how many jobs were handed in, and how many ended
// within their objective and within three times that.
type burstResult struct{ jobs, inTime, late int }

// earned returns what the jobs earned: a late one a seventh.
func (r burstResult) earned() float64 { return float64(r.inTime) + float64(r.late)/7 }

func (r burstResult) String() string {
	return fmt.Sprintf("%d of %d jobs in time, %d late, %.1f earned", r.inTime, r.jobs, r.late, r.earned())
}

// playBurst plays a burst under a bound of the load of best-effort tasks at a worker; 0 is the bound in
// force.
func playBurst(seed uint64, limit float64) burstResult {
	b := &burst{random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1000, 0), now: time.Unix(1000, 0), tasks: make(map[string][]*burstTask), ends: make(map[string]uint64), lengths: make(map[string][2][]time.Duration), handedIn: make(map[string]time.Time)}
	if limit > 0 {
		b.sc.replaceLoadLimit = func() float64 { return limit }
	}
	b.sc.SetQueues(testQueues)
	b.sc.BeginTerm(1, nil)
	for i := range burstWorkers {
		name := fmt.Sprintf("w%02d", i)
		b.sc.ApplyReport(b.now, b.now.UnixMilli(), &Worker{Name: name, Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 32000, MemoryMB: 125000}, PacePercent: 100}, nil, nil)
	}
	b.admit("serving", "lasts", workflow.Step{Count: burstWorkers * 4, Size: worker.Resources{MilliCPU: 8000, MemoryMB: 13000}, LongRunning: true})
	for b.now.Sub(b.start) < burstEnd+30*time.Second {
		b.step()
	}
	return b.result
}

func (b *burst) admit(id, queue string, steps ...workflow.Step) {
	sub := &workflow.Submission{ID: id, Queue: queue, AcceptedMS: b.now.UnixMilli(), Spec: workflow.Spec{Steps: steps}}
	b.sc.Admit(b.now, b.now.UnixMilli(), sub, nil, false)
}

// arrive hands in the jobs of one tick.
func (b *burst) arrive() {
	at := b.now.Sub(b.start)
	if at >= burstEnd {
		return
	}
	const tasks, milliCPU = 8, 3500
	left := burstWorkers * 32000 * longRunningUnusedShare
	perSecond := burstLoad * left / (2 * tasks * milliCPU * burstWork.Seconds())
	if at >= burstFrom && at < burstTo {
		perSecond *= burstFactor
	}
	if b.random.Float64() >= perSecond*burstTick.Seconds() {
		return
	}
	b.result.jobs++
	id := fmt.Sprintf("job-%03d", b.result.jobs)
	step := workflow.Step{Count: 2 + b.random.IntN(2*tasks-3), Size: worker.Resources{MilliCPU: milliCPU, MemoryMB: 1000}, EstimateMS: burstWork.Milliseconds(), BestEffort: true}
	var lengths [2][]time.Duration
	for i := range lengths {
		for range step.Count {
			lengths[i] = append(lengths[i], time.Duration((0.5+b.random.Float64())*float64(burstWork)))
		}
	}
	b.lengths[id] = lengths
	second := step
	second.After = []int{0}
	b.handedIn[id] = b.now
	b.admit(id, "shapes", step, second)
}

// work advances the best-effort tasks of a worker and reports those that end.
func (b *burst) work(name string) {
	requested := 0.0
	for _, t := range b.tasks[name] {
		requested += t.size
	}
	speed := min(1, 32000*longRunningUnusedShare/max(1, requested))
	var ends []RunEnd
	b.tasks[name] = slices.DeleteFunc(b.tasks[name], func(t *burstTask) bool {
		t.left -= time.Duration(speed * float64(burstTick))
		if t.left > 0 {
			return false
		}
		b.ends[name]++
		ends = append(ends, RunEnd{Number: b.ends[name], Task: t.id, Run: t.run, How: OutcomeDone})
		return true
	})
	b.sc.ApplyEnds(b.now, b.now.UnixMilli(), name, 1, 0, ends)
}

// step plays one tick.
func (b *burst) step() {
	b.now = b.now.Add(burstTick)
	b.arrive()
	for i := range burstWorkers {
		b.work(fmt.Sprintf("w%02d", i))
	}
	for id, since := range b.handedIn {
		if phase, _ := b.sc.Phase(id); phase.Ended() {
			delete(b.handedIn, id)
			objective := 2*2*burstWork + time.Second
			if took := b.now.Sub(since); took <= objective {
				b.result.inTime++
			} else if took <= 3*objective {
				b.result.late++
			}
		}
	}
	for _, s := range b.sc.Decide(b.now, b.now.UnixMilli()).Starts() {
		if strings.HasPrefix(s.Task.Job, "job-") {
			left := b.lengths[s.Task.Job][s.Task.Step][s.Task.Index]
			b.tasks[s.Worker] = append(b.tasks[s.Worker], &burstTask{id: s.Task, run: s.Run, size: 3500, left: left})
		}
	}
}

// In a burst of best-effort jobs, a bounded load at each worker lets the most urgent ones end in time. Without a
// bound all share the processors and most are late. The callers must get at least a tenth more in all,
// and no play may lose more than a tenth.
func TestBurstOfBestEffortJobs(t *testing.T) {
	var unbounded, bounded burstResult
	for seed := range uint64(8) {
		before, after := playBurst(seed, 1000), playBurst(seed, 0)
		t.Logf("seed %d: unbounded: %s; bounded: %s", seed, before, after)
		if got, limit := after.earned(), 0.9*before.earned(); got < limit {
			t.Errorf("seed %d: earned: got %.1f, want at least %.1f", seed, got, limit)
		}
		unbounded, bounded = unbounded.plus(before), bounded.plus(after)
	}
	if got, limit := bounded.earned(), 1.1*unbounded.earned(); got < limit {
		t.Errorf("earned: got %s, want at least %.1f", bounded, limit)
	}
}

func (r burstResult) plus(o burstResult) burstResult {
	return burstResult{r.jobs + o.jobs, r.inTime + o.inTime, r.late + o.late}
}
