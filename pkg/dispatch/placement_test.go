package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// decideByFullScan is Decide without anything kept from one decision to the next: all steps with
// waiting tasks are sorted anew, and all workers are rated for each task.
func (sc *Scheduler) decideByFullScan(now time.Time, wallMS int64) *Orders {
	for _, j := range sc.jobs {
		if j.nextOccurrence < j.submission.Spec.Occurrences() && !j.phase.Ended() {
			sc.createDueOccurrences(now, wallMS, j)
		}
	}
	o := &Orders{}
	sc.releaseRoom()
	var steps []*stepState
	for s := range sc.readySteps {
		if sc.mayPlace(s) {
			steps = append(steps, s)
		}
	}
	for _, s := range sc.sortByUrgency(now, steps) {
		sc.placeStepByFullScan(now, s, o)
	}
	if now.Sub(sc.runsReviewedAt) >= runReviewInterval {
		sc.runsReviewedAt = now
		sc.startSpeculativeRuns(now, o)
		sc.stopStalled(now)
		sc.repeatStops(now)
	}
	o.stops, sc.pendingStops = sc.pendingStops, nil
	return o
}

func (sc *Scheduler) placeStepByFullScan(now time.Time, s *stepState, o *Orders) {
	q := sc.queues[s.occurrence.job.submission.Queue]
	if s.spec.Gang {
		sc.placeGang(now, s, q, o)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			continue
		}
		if t.crashes.suspicious() {
			sc.placeTrial(now, s, &q, i, o)
			continue
		}
		w := sc.chooseWorker(now, s, t, q, nil)
		if w == nil && s.spec.LongRunning {
			w = sc.probeWorkerByFullScan(now, s, q)
		}
		if w == nil {
			if s.spec.LongRunning && now.Sub(t.waitingSince) >= preemptionWait {
				sc.preemptFor(now, s, q, now.Sub(t.waitingSince))
			}
			return
		}
		sc.orderStart(now, s, i, w, t.lastRunNumber+1, s.placementReason(w), o)
	}
}

// probeWorkerByFullScan returns the suspect worker that a long-running task probes, or nil.
func (sc *Scheduler) probeWorkerByFullScan(now time.Time, s *stepState, q Queue) *workerState {
	var due []*workerState
	for _, w := range sc.fleet {
		if w.health.mayProbeLongRunning(now) && !w.held(now) && sc.eligible(s, &q, w) && s.permitted(now, &q, w) && sc.hasRoom(w, s, 0) {
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		return nil
	}
	return slices.MinFunc(due, func(x, y *workerState) int {
		return cmp.Or(x.health.outcomes.LastFailure().Compare(y.health.outcomes.LastFailure()), strings.Compare(x.name, y.name))
	})
}

// stream plays the same random events to two schedulers.
type stream struct {
	random  *rand.Rand
	now     time.Time
	wallMS  int64
	workers []*Worker
	jobs    int
	both    [2]*Scheduler
	// ends counts the run ends of each worker.
	ends map[string]uint64
}

func newStream(seed uint64) *stream {
	s := &stream{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), wallMS: 1_000_000, ends: make(map[string]uint64)}
	for i := range s.both {
		s.both[i] = new(Scheduler)
		s.both[i].SetQueues(testQueues)
		s.both[i].SetRemoteRackSlowdown(2)
		s.both[i].BeginTerm(1, nil)
	}
	for i := range 4 + s.random.IntN(20) {
		s.workers = append(s.workers, &Worker{
			Name: fmt.Sprintf("w%02d", i), Life: 1, Service: "bench", PacePercent: 100, Labels: []string{fmt.Sprintf("r1-%d", i/4), string('a' + rune(i%2))},
			Capacity: worker.Resources{MilliCPU: 4000 * int64(1+s.random.IntN(4)), MemoryMB: 16000},
		})
	}
	return s
}

// each calls fn for both schedulers.
func (s *stream) each(fn func(sc *Scheduler)) {
	for _, sc := range s.both {
		fn(sc)
	}
}

// event plays one random event.
func (s *stream) event() {
	s.now = s.now.Add(time.Duration(s.random.IntN(120)) * time.Millisecond)
	s.wallMS = s.now.UnixMilli()
	w := s.workers[s.random.IntN(len(s.workers))]
	switch s.random.IntN(13) {
	case 0, 1, 2:
		s.admit()
	case 3, 4, 5, 6:
		s.endRuns()
	case 7:
		w.Draining = s.random.IntN(4) == 0
		runs := s.listedRuns(w)
		s.each(func(sc *Scheduler) { sc.ApplyReport(s.now, s.wallMS, w, runs, nil) })
	case 8:
		w.PacePercent = 100 - 50*s.random.IntN(2)
		if s.random.IntN(3) == 0 {
			w.Labels = []string{w.Labels[0], string('a' + rune(s.random.IntN(2)))}
		}
		runs := s.listedRuns(w)
		s.each(func(sc *Scheduler) { sc.ApplyPing(s.now, w, runs) })
	case 9:
		s.each(func(sc *Scheduler) { sc.MarkSilent(w.Name) })
	case 10:
		if s.random.IntN(4) == 0 {
			s.each(func(sc *Scheduler) { sc.WorkerLeaseExpired(s.now, w.Name) })
		}
	case 11:
		w.Life++
		s.ends[w.Name] = 0
		w.Labels = []string{w.Labels[0], string('a' + rune(s.random.IntN(2)))}
		s.each(func(sc *Scheduler) { sc.ApplyReport(s.now, s.wallMS, w, nil, nil) })
	case 12:
		id := fmt.Sprintf("j%d", s.random.IntN(s.jobs+1))
		s.each(func(sc *Scheduler) { sc.Cancel(s.now, s.wallMS, id) })
	}
}

// admit hands in a random job.
func (s *stream) admit() {
	r := s.random
	s.jobs++
	sub := &workflow.Submission{ID: fmt.Sprintf("j%d", s.jobs), Queue: []string{"fits", "shapes", "lasts"}[r.IntN(3)], AcceptedMS: s.wallMS}
	for i := range 1 + r.IntN(2) {
		step := workflow.Step{
			Count: 1 + r.IntN(12), Size: worker.Resources{MilliCPU: 200 + 100*r.Int64N(30), MemoryMB: 100 * r.Int64N(30)}, EstimateMS: 100 * r.Int64N(20),
			Image: fmt.Sprintf("i%d", r.IntN(4)), Speculative: r.IntN(5) == 0, Gang: r.IntN(10) == 0, Checkpointing: r.IntN(2) == 0,
		}
		if i > 0 {
			step.After = []int{0}
		}
		if r.IntN(6) == 0 {
			step.MaxPerWorker = 1 + r.IntN(2)
		}
		if r.IntN(6) == 0 {
			step.Label = string('a' + rune(r.IntN(2)))
		}
		if r.IntN(6) == 0 {
			step.Rack = fmt.Sprintf("r1-%d", r.IntN(3))
		}
		if sub.Queue == "lasts" {
			step.LongRunning, step.TargetMS, step.Gang = true, 10, false
		} else if r.IntN(4) == 0 {
			step.BestEffort, step.Gang = true, false
		}
		sub.Spec.Steps = append(sub.Spec.Steps, step)
	}
	s.each(func(sc *Scheduler) { sc.Admit(s.now, s.wallMS, sub, nil, false) })
}

// runsAt returns the runs at a worker in the order of their tasks.
func (s *stream) runsAt(w *Worker) []*run {
	var out []*run
	if known := s.both[0].workers[w.Name]; known != nil {
		for _, r := range known.runs {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y *run) int { return strings.Compare(x.id.String(), y.id.String()) })
	return out
}

// listedRuns returns what a worker lists, with random readings.
func (s *stream) listedRuns(w *Worker) []RunStatus {
	var out []RunStatus
	for _, r := range s.runsAt(w) {
		out = append(out, RunStatus{Task: r.id, Run: r.number, Percent: s.random.IntN(100), Reading: 4 + 20*s.random.Float64()})
	}
	return out
}

// endRuns ends about half of the runs at some workers.
func (s *stream) endRuns() {
	for range 3 {
		w := s.workers[s.random.IntN(len(s.workers))]
		var ends []RunEnd
		for _, r := range s.runsAt(w) {
			if s.random.IntN(2) == 0 {
				s.ends[w.Name]++
				how := []Outcome{OutcomeDone, OutcomeDone, OutcomeDone, OutcomeFailed, OutcomeStopped}[s.random.IntN(5)]
				ends = append(ends, RunEnd{Number: s.ends[w.Name], Task: r.id, Run: r.number, How: how})
			}
		}
		s.each(func(sc *Scheduler) { sc.ApplyEnds(s.now, s.wallMS, w.Name, w.Life, 0, ends) })
	}
}

// ordersOf returns orders as lines. Starts are in the order in which they were decided.
func ordersOf(o *Orders) string {
	var starts, stops []string
	for _, s := range o.Starts() {
		starts = append(starts, fmt.Sprint("start ", s.Task, s.Run, s.Worker))
	}
	for _, s := range o.Stops() {
		stops = append(stops, fmt.Sprint("stop ", s.Task, s.Run, s.Worker, s.Reason))
	}
	slices.SortFunc(stops, cmp.Compare[string])
	return strings.Join(append(starts, stops...), "\n")
}

// What is kept between decisions must not change any of them.
func TestDecideEqualsFullScan(t *testing.T) {
	starts := 0
	for seed := range uint64(60) {
		s := newStream(seed)
		s.each(func(sc *Scheduler) {
			for _, w := range s.workers {
				sc.ApplyReport(s.now, s.wallMS, w, nil, nil)
			}
		})
		for i := range 300 {
			s.event()
			orders := s.both[0].Decide(s.now, s.wallMS)
			starts += len(orders.Starts())
			if got, want := ordersOf(orders), ordersOf(s.both[1].decideByFullScan(s.now, s.wallMS)); got != want {
				t.Fatalf("seed %d, event %d: orders: got\n%s\nwant\n%s", seed, i, got, want)
			}
			for _, w := range s.both[0].fleet {
				if got, want := w.room, roomClassOf(w.free().MilliCPU); !got.indexed || got.class != want || s.both[0].rooms.classes[want][got.at] != w {
					t.Fatalf("seed %d, event %d: place of worker %s by room: got %+v, want class %d", seed, i, w.name, got, want)
				}
			}
		}
	}
	if starts < 10_000 {
		t.Errorf("starts compared: got %d, want at least 10000", starts)
	}
}

// BenchmarkDecide measures a decision after the end of one task, with a queue of jobs of 40 tasks that
// find no room. Each end makes room for one waiting task, so that one start belongs to each decision.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{60, 240, 1400} {
		for _, waiting := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				benchmarkDecide(b, workers, waiting)
			})
		}
	}
}

// BenchmarkDecideWithLongRunning measures a decision with 50 long-running steps that wait for room on workers
// that run tasks of their own priority only, so that no run can be stopped for them.
func BenchmarkDecideWithLongRunning(b *testing.B) {
	for _, workers := range []int{60, 240, 1400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var sc Scheduler
			sc.SetQueues(testQueues)
			sc.BeginTerm(1, nil)
			now := time.Unix(1000, 0)
			for i := range workers {
				sc.ApplyReport(now, now.UnixMilli(), &Worker{Name: fmt.Sprintf("w%04d", i), Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000, MemoryMB: 64000}, PacePercent: 100}, nil, nil)
			}
			step := workflow.Step{Count: workers * 8, Size: worker.Resources{MilliCPU: 2000, MemoryMB: 1000}, EstimateMS: 1000}
			sc.Admit(now, now.UnixMilli(), &workflow.Submission{ID: "short", Queue: "fits", AcceptedMS: now.UnixMilli(), Spec: workflow.Spec{Steps: []workflow.Step{step}}}, nil, false)
			sc.Decide(now, now.UnixMilli())
			for i := range 50 {
				step := workflow.Step{Count: 24, Size: worker.Resources{MilliCPU: 3200 + int64(i), MemoryMB: 6400}, LongRunning: true}
				sc.Admit(now, now.UnixMilli(), &workflow.Submission{ID: fmt.Sprintf("long-%02d", i), Queue: "lasts", AcceptedMS: now.UnixMilli(), Spec: workflow.Spec{Steps: []workflow.Step{step}}}, nil, false)
			}
			now = now.Add(preemptionWait)
			b.ResetTimer()
			for range b.N {
				now = now.Add(4 * time.Millisecond)
				sc.Decide(now, now.UnixMilli())
			}
		})
	}
}

func benchmarkDecide(b *testing.B, workers, waiting int) {
	b.Helper()
	const tasksPerJob, tasksPerWorker = 40, 8
	var sc Scheduler
	sc.SetQueues(testQueues)
	sc.BeginTerm(1, nil)
	now := time.Unix(1000, 0)
	for i := range workers {
		sc.ApplyReport(now, now.UnixMilli(), &Worker{
			Name: fmt.Sprintf("w%04d", i), Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000, MemoryMB: 64000}, Labels: []string{fmt.Sprintf("r1-%d", i/8)}, PacePercent: 100,
		}, nil, nil)
	}
	admit := func(id, tasks int) {
		sub := &workflow.Submission{ID: fmt.Sprintf("j%06d", id), Queue: "shapes", AcceptedMS: now.UnixMilli()}
		sub.Spec.Steps = []workflow.Step{{Count: tasks, Size: worker.Resources{MilliCPU: 1800 + int64(id%100), MemoryMB: 3200}, EstimateMS: 1400}}
		sc.Admit(now, now.UnixMilli(), sub, nil, false)
	}
	jobs := 0
	for range (workers*tasksPerWorker + waiting) / tasksPerJob {
		admit(jobs, tasksPerJob)
		jobs++
	}
	type running struct {
		worker string
		end    RunEnd
	}
	var queue []running
	ends := map[string]uint64{}
	take := func(o *Orders) {
		for _, s := range o.Starts() {
			ends[s.Worker]++
			queue = append(queue, running{s.Worker, RunEnd{Number: ends[s.Worker], Task: s.Task, Run: s.Run, How: OutcomeDone}})
		}
	}
	take(sc.Decide(now, now.UnixMilli()))
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		e := queue[0]
		queue = queue[1:]
		sc.ApplyEnds(now, now.UnixMilli(), e.worker, 1, 0, []RunEnd{e.end})
		if i%tasksPerJob == 0 {
			admit(jobs, tasksPerJob)
			jobs++
		}
		take(sc.Decide(now, now.UnixMilli()))
	}
}
