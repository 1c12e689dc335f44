package dispatch

import (
	"slices"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

const (
	// maxAway is how long a long-running task may be without a run while a worker has room for it.
	maxAway = 6 * time.Second
	// playStep is the time between two decisions of a play.
	playStep = 50 * time.Millisecond
	// pingSteps is the number of steps between two pings of a worker.
	pingSteps = 8
)

// play is a scheduler with workers that carry out its orders.
type play struct {
	t       *testing.T
	sc      Scheduler
	now     time.Time
	wallMS  int64
	steps   int
	workers []*playedWorker
	// lastSeen is when each task was last at work.
	lastSeen map[workflow.TaskID]time.Time
	// longestAway is the longest time that each task was not at work after its job was admitted.
	longestAway map[workflow.TaskID]time.Duration
}

// playedWorker is a worker of a play.
type playedWorker struct {
	info    Worker
	runs    []*playedRun
	lastEnd uint64
	// refuses is set while the worker's runner refuses all starts.
	refuses bool
	// lasts returns how long a run lasts until it ends with the outcome, or 0 if it goes on until it is
	// stopped; nil stands for runs that go on.
	lasts func(start *Start) (time.Duration, Outcome)
	// stopTime is how long a run takes to stop.
	stopTime func(r *playedRun) time.Duration
}

// playedRun is a run at a playedWorker.
type playedRun struct {
	start  Start
	endsAt time.Time
	how    Outcome
}

func newPlay(t *testing.T, names ...string) *play {
	t.Helper()
	p := &play{t: t, now: time.Unix(1000, 0), wallMS: 1_000_000, lastSeen: make(map[workflow.TaskID]time.Time), longestAway: make(map[workflow.TaskID]time.Duration)}
	p.sc.SetQueues(testQueues)
	p.sc.SetRemoteRackSlowdown(1.5)
	p.sc.BeginTerm(1, nil)
	for _, name := range names {
		w := &playedWorker{info: Worker{Name: name, Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000, MemoryMB: 64000}, PacePercent: fullPacePercent, Instance: name}}
		p.workers = append(p.workers, w)
		p.sc.ApplyReport(p.now, p.wallMS, &w.info, nil, nil)
	}
	return p
}

// admit hands in a job with one long-running step, whose tasks are watched.
func (p *play) admit(id string, step workflow.Step) {
	p.t.Helper()
	p.admitTo("lasts", id, step)
}

// admitTo hands in a job with one step; the tasks of a long-running step are watched.
func (p *play) admitTo(queue, id string, step workflow.Step) {
	p.t.Helper()
	sub := &workflow.Submission{ID: id, Queue: queue, AcceptedMS: p.wallMS, Spec: workflow.Spec{Steps: []workflow.Step{step}}}
	if err := sub.Spec.Validate(); err != nil {
		p.t.Fatal(err)
	}
	p.sc.Admit(p.now, p.wallMS, sub, nil, false)
	for i := range step.Count {
		if step.LongRunning {
			p.lastSeen[workflow.TaskID{Job: id, Index: i}] = p.now
		}
	}
}

// run plays for d.
func (p *play) run(d time.Duration) {
	p.t.Helper()
	for end := p.now.Add(d); p.now.Before(end); {
		p.step()
	}
}

// step has the scheduler decide, carries out its orders, and lets playStep pass.
func (p *play) step() {
	p.t.Helper()
	orders := p.sc.Decide(p.now, p.wallMS)
	for i := range orders.Stops() {
		p.stop(&orders.Stops()[i])
	}
	for i := range orders.Starts() {
		p.start(&orders.Starts()[i])
	}
	p.now, p.wallMS, p.steps = p.now.Add(playStep), p.wallMS+playStep.Milliseconds(), p.steps+1
	for _, w := range p.workers {
		p.endRuns(w)
		p.ping(w)
	}
	for id, seen := range p.lastSeen {
		p.longestAway[id] = max(p.longestAway[id], p.now.Sub(seen))
	}
}

func (p *play) worker(name string) *playedWorker {
	return p.workers[slices.IndexFunc(p.workers, func(w *playedWorker) bool { return w.info.Name == name })]
}

func (p *play) start(s *Start) {
	w := p.worker(s.Worker)
	if w.refuses {
		p.sc.OrderRefused(p.now, p.wallMS, s.Worker, s.Life, s.Task, s.Run)
		return
	}
	r := &playedRun{start: *s}
	if w.lasts != nil {
		if d, how := w.lasts(s); d > 0 {
			r.endsAt, r.how = p.now.Add(d), how
		}
	}
	w.runs = append(w.runs, r)
}

func (p *play) stop(s *Stop) {
	w := p.worker(s.Worker)
	for _, r := range w.runs {
		if r.start.Task != s.Task || r.start.Run != s.Run || r.how == OutcomeStopped {
			continue
		}
		d := playStep
		if w.stopTime != nil {
			d = w.stopTime(r)
		}
		r.endsAt, r.how = p.now.Add(d), OutcomeStopped
	}
}

// endRuns ends the runs of a worker whose time has come.
func (p *play) endRuns(w *playedWorker) {
	var ends []RunEnd
	w.runs = slices.DeleteFunc(w.runs, func(r *playedRun) bool {
		if r.endsAt.IsZero() || p.now.Before(r.endsAt) {
			return false
		}
		w.lastEnd++
		ends = append(ends, RunEnd{Number: w.lastEnd, Task: r.start.Task, Run: r.start.Run, How: r.how})
		return true
	})
	p.sc.ApplyEnds(p.now, p.wallMS, w.info.Name, w.info.Life, 0, ends)
}

// ping tells the scheduler of the runs at a worker every pingSteps steps.
func (p *play) ping(w *playedWorker) {
	runs := make([]RunStatus, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, RunStatus{Task: r.start.Task, Run: r.start.Run, Percent: fullPercent})
		if _, watched := p.lastSeen[r.start.Task]; watched {
			p.lastSeen[r.start.Task] = p.now
		}
	}
	if p.steps%pingSteps == 0 {
		p.sc.ApplyPing(p.now, &w.info, runs)
	}
}

// expectAtWork fails the test if a long-running task was away for longer than maxAway.
func (p *play) expectAtWork() {
	p.t.Helper()
	var worst workflow.TaskID
	for id, away := range p.longestAway {
		if away > p.longestAway[worst] || away == p.longestAway[worst] && id.String() < worst.String() {
			worst = id
		}
	}
	if got := p.longestAway[worst]; got > maxAway {
		p.t.Errorf("longest time without a run, that of %s: got %s, want at most %s", worst, got, maxAway)
	}
}

// longRunning returns a long-running step.
func longRunning(milliCPU int64) workflow.Step {
	return workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: milliCPU, MemoryMB: 100}, LongRunning: true}
}

// A task that a worker refuses to start is started at another one that has room.
func TestLongRunningTaskLeavesWorkerThatRefuses(t *testing.T) {
	p := newPlay(t, "w1", "w2")
	p.admit("a", longRunning(1000))
	p.run(time.Second)
	p.worker("w1").refuses = true
	p.admit("b", longRunning(1000))
	p.run(20 * time.Second)
	p.expectAtWork()
}

// A task that has failed at two workers is started at a third one in time.
func TestLongRunningTaskTriesThirdWorker(t *testing.T) {
	p := newPlay(t, "w1", "w2", "w3")
	p.admit("a", longRunning(1000))
	p.admit("b", longRunning(15500))
	p.run(time.Second)
	for _, name := range []string{"w1", "w2"} {
		if got := len(p.worker(name).runs); got != 1 {
			t.Fatalf("runs at %s: got %d, want 1", name, got)
		}
		p.worker(name).lasts = func(*Start) (time.Duration, Outcome) { return 100 * time.Millisecond, OutcomeFailed }
	}
	p.admit("s", longRunning(300))
	p.run(maxAway)
	if got := len(p.worker("w3").runs); got != 1 {
		t.Errorf("runs at the sound worker after %s: got %d, want 1", maxAway, got)
	}
}

// A long batch task that tests a suspect worker does not keep a long-running task away until it ends.
func TestLongRunningTaskDoesNotWaitForLongProbe(t *testing.T) {
	p := newPlay(t, "w1")
	p.worker("w1").lasts = func(s *Start) (time.Duration, Outcome) {
		if s.Task.Job == "long" {
			return 30 * time.Second, OutcomeDone
		}
		return 500 * time.Millisecond, OutcomeFailed
	}
	step := workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 1000, MemoryMB: 100}, EstimateMS: 1000}
	for _, job := range []string{"a", "b", "c"} {
		p.admitTo("fits", job, step)
	}
	p.run(2 * time.Second)
	for _, job := range []string{"a", "b", "c"} {
		p.sc.Cancel(p.now, p.wallMS, job)
	}
	p.admitTo("fits", "long", step)
	p.worker("w1").lasts = func(s *Start) (time.Duration, Outcome) {
		if s.Task.Job == "long" {
			return 30 * time.Second, OutcomeDone
		}
		return 0, 0
	}
	p.run(18 * time.Second)
	p.admit("s", longRunning(1000))
	p.run(20 * time.Second)
	p.expectAtWork()
}

// Room that is freed in parts for a long-running task does not go to batch tasks of lower priority.
func TestLongRunningTaskGetsTheRoomFreedForIt(t *testing.T) {
	p := newPlay(t, "w1")
	stops := 0
	p.worker("w1").stopTime = func(*playedRun) time.Duration {
		stops++
		return time.Duration(200+stops%4*200) * time.Millisecond
	}
	p.admitTo("shapes", "batch", workflow.Step{Count: 400, Size: worker.Resources{MilliCPU: 1000, MemoryMB: 100}, EstimateMS: 60000})
	p.run(time.Second)
	p.admit("s", longRunning(4000))
	p.run(20 * time.Second)
	p.expectAtWork()
}

// A long-running task that is lost while small tasks of its priority fill the service gets a run before these are used up.
func TestLongRunningTaskGetsRoomAmongSmallTasksOfItsPriority(t *testing.T) {
	for _, tc := range []struct {
		name    string
		workers []string
		// lengths are the times that small tasks take, in turn.
		lengths []time.Duration
		// large is the number of long-running tasks.
		large int
	}{
		{"uneven tasks", []string{"w1", "w2", "w3"}, []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 900 * time.Millisecond, 1100 * time.Millisecond, 700 * time.Millisecond}, 1},
		{"longer tasks than expected", []string{"w1", "w2", "w3"}, []time.Duration{2 * time.Second, 3 * time.Second, 2500 * time.Millisecond}, 1},
		{"several long-running tasks", []string{"w1", "w2", "w3"}, []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 700 * time.Millisecond}, 3},
		{"a single worker", []string{"w1"}, []time.Duration{500 * time.Millisecond, 1300 * time.Millisecond, 800 * time.Millisecond}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlay(t, tc.workers...)
			started := 0
			for _, w := range p.workers {
				w.lasts = func(s *Start) (time.Duration, Outcome) {
					if s.Task.Job != "fill" {
						return 0, 0
					}
					started++
					return tc.lengths[started%len(tc.lengths)], OutcomeDone
				}
			}
			p.admitTo("fits", "fill", workflow.Step{Count: 6000, Size: worker.Resources{MilliCPU: 240, MemoryMB: 100}, EstimateMS: 1000})
			p.run(3 * time.Second)
			lasting := longRunning(12000)
			lasting.Count = tc.large
			p.admit("s", lasting)
			p.run(20 * time.Second)
			p.expectAtWork()
			if got, want := started, 500; got < want {
				t.Errorf("small tasks started: got %d, want at least %d", got, want)
			}
		})
	}
}
