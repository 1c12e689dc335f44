package dispatch

import (
	"fmt"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/runtimes"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// newSpeculationPlay returns a scheduler that knows the run times of image a, 780 to 880 ms, and workers of 1000
// thousandths of a processor each.
func newSpeculationPlay(workers int) *runTimePlay {
	p := newRunTimePlay()
	for i := range 100 {
		p.sc.runTimes.Observe("i/a", runtimes.Observation{EstimateMS: 800, MeasuredMS: 780 + int64(i), Percent: 100})
	}
	for i := range workers {
		p.report(fmt.Sprintf("w%d", i+1))
	}
	return p
}

// admitJob admits a job of one step to a queue.
func (p *runTimePlay) admitJob(queue string, step workflow.Step) {
	p.jobs++
	sub := &workflow.Submission{ID: fmt.Sprintf("job-%03d", p.jobs), Queue: queue, AcceptedMS: p.now.UnixMilli(), Spec: workflow.Spec{Steps: []workflow.Step{step}}}
	p.sc.Admit(p.now, p.now.UnixMilli(), sub, nil, false)
}

// ping reports the runs of a worker with a progress.
func (p *runTimePlay) ping(name string, percent int) {
	var runs []RunStatus
	for id, r := range p.sc.workers[name].runs {
		runs = append(runs, RunStatus{Task: id, Run: r.number, Percent: percent})
	}
	p.sc.ApplyPing(p.now, &Worker{Name: name, Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 1000, MemoryMB: 1000}, PacePercent: 100}, runs)
}

// secondRuns returns how many second runs start at a time.
func (p *runTimePlay) secondRuns(at time.Duration) int {
	p.now = time.Unix(1000, 0).Add(at)
	n := 0
	for _, s := range p.sc.Decide(p.now, p.now.UnixMilli()).Starts() {
		if s.Run > 1 {
			n++
		}
	}
	return n
}

// A second run must start once the first one has passed a high quantile of the known times, not twice the caller's
// estimate; not where it could not end first, and not where the step forbids it.
func TestSpeculativeRunStartsAtQuantile(t *testing.T) {
	for _, tc := range []struct {
		name    string
		step    workflow.Step
		percent int
		at      time.Duration
		want    int
	}{
		{"before the quantile", workflow.Step{Image: "a", EstimateMS: 800, Speculative: true}, 30, 950 * time.Millisecond, 0},
		{"after the quantile", workflow.Step{Image: "a", EstimateMS: 800, Speculative: true}, 30, 1100 * time.Millisecond, 1},
		{"no progress reported", workflow.Step{Image: "a", EstimateMS: 800, Speculative: true}, 0, 1100 * time.Millisecond, 1},
		{"ends sooner than a second run", workflow.Step{Image: "a", EstimateMS: 800, Speculative: true}, 70, 1100 * time.Millisecond, 0},
		{"forbidden", workflow.Step{Image: "a", EstimateMS: 800}, 30, 1700 * time.Millisecond, 0},
		{"gang", workflow.Step{Image: "a", EstimateMS: 800, Speculative: true, Gang: true}, 30, 1700 * time.Millisecond, 0},
		{"run times unknown, before twice the estimate", workflow.Step{Image: "b", EstimateMS: 800, Speculative: true}, 30, 1750 * time.Millisecond, 0},
		{"run times unknown, after twice the estimate", workflow.Step{Image: "b", EstimateMS: 800, Speculative: true}, 30, 1850 * time.Millisecond, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newSpeculationPlay(2)
			tc.step.Count, tc.step.Size = 1, worker.Resources{MilliCPU: 500, MemoryMB: 100}
			p.admitJob("shapes", tc.step)
			p.secondRuns(0)
			p.now = p.now.Add(900 * time.Millisecond)
			p.ping("w1", tc.percent)
			p.ping("w2", tc.percent)
			if got := p.secondRuns(tc.at); got != tc.want {
				t.Errorf("second runs: got %d, want %d", got, tc.want)
			}
		})
	}
}

// Agents must be able to tell the order of a second run, which counts for a second only.
func TestStartSaysThatItIsASecondRun(t *testing.T) {
	p := newSpeculationPlay(2)
	p.admitJob("shapes", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 500, MemoryMB: 100}, Image: "a", EstimateMS: 800, Speculative: true})
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{0, false}, {1100 * time.Millisecond, true}} {
		p.now = time.Unix(1000, 0).Add(tc.at)
		starts := p.sc.Decide(p.now, p.now.UnixMilli()).Starts()
		if len(starts) != 1 || starts[0].Second != tc.want {
			t.Fatalf("starts after %s: got %+v, want one with second %t", tc.at, starts, tc.want)
		}
		p.ping("w1", 30)
		p.ping("w2", 30)
	}
}

// Second runs must not take the room that waiting work of their priority needs, while work of a lower priority, which best-effort
// jobs always have waiting, must not keep short jobs from them, nor work that no worker can ever run.
func TestSpeculativeRunWaitsForWaitingWork(t *testing.T) {
	for _, tc := range []struct {
		name, queue string
		step        workflow.Step
		want        int
	}{
		{"same priority", "fits", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 1000, MemoryMB: 100}, EstimateMS: 800}, 0},
		{"lower priority", "shapes", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 1000, MemoryMB: 100}, EstimateMS: 800}, 1},
		{"larger than any worker", "fits", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 9000, MemoryMB: 100}, EstimateMS: 800}, 1},
		{"as many on each worker as may be", "fits", workflow.Step{Count: 3, Size: worker.Resources{MilliCPU: 100, MemoryMB: 100}, EstimateMS: 8000, MaxPerWorker: 1}, 1},
		{"label that no worker has", "fits", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 100, MemoryMB: 100}, EstimateMS: 800, Label: "none"}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newSpeculationPlay(2)
			p.admitJob("fits", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 300, MemoryMB: 100}, EstimateMS: 800, Image: "a", Speculative: true})
			p.admitJob("fits", workflow.Step{Count: 2, Size: worker.Resources{MilliCPU: 300, MemoryMB: 100}, EstimateMS: 8000, MaxPerWorker: 1})
			p.secondRuns(0)
			p.admitJob(tc.queue, tc.step)
			p.ping("w1", 0)
			p.ping("w2", 0)
			if got := p.secondRuns(1100 * time.Millisecond); got != tc.want {
				t.Errorf("second runs: got %d, want %d", got, tc.want)
			}
		})
	}
}

// When everything is slow at once, second runs of all tasks would double the load.
func TestSpeculativeRunsHaveABudget(t *testing.T) {
	for _, tc := range []struct {
		name string
		lost int
		slow bool
		want int
	}{
		{"no races known", 0, false, 10}, // 8 workers of 1000, 20 runs of 200: half of 4000 is room for 10
		{"most races lost", 50, false, 1},
		{"most races lost, runs at slow workers", 50, true, 6}, // the runs of two workers
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newSpeculationPlay(8)
			for range tc.lost {
				p.sc.races.add(false)
			}
			p.admitJob("fits", workflow.Step{Count: 20, Size: worker.Resources{MilliCPU: 200, MemoryMB: 100}, EstimateMS: 800, Image: "a", Speculative: true})
			p.secondRuns(0)
			if got := len(p.sc.workers["w1"].runs) + len(p.sc.workers["w2"].runs); got != 6 {
				t.Fatalf("runs at the first two workers: got %d, want 6", got)
			}
			got := 0
			for i := range 8 {
				p.sc.workers[fmt.Sprintf("w%d", i+1)].health.slowdown = 1
				if i < 2 && tc.slow {
					p.sc.workers[fmt.Sprintf("w%d", i+1)].health.slowdown = 3
				}
				p.ping(fmt.Sprintf("w%d", i+1), 0)
			}
			for i := range 5 {
				got += p.secondRuns(time.Duration(1100+60*i) * time.Millisecond)
			}
			if got != tc.want {
				t.Errorf("second runs: got %d, want %d", got, tc.want)
			}
		})
	}
}

// The share of second runs that are of use decides how many start, and the run that is stopped must count with its whole
// time, or else the tail of the known run times would be lost with each race that is won.
func TestRaceIsLearned(t *testing.T) {
	for _, tc := range []struct {
		name      string
		firstEnds bool
		slow      bool
		want      races
		counted   Speculation
	}{
		{"second run ends first", false, false, races{won: 1}, Speculation{Started: 1, Won: 1}},
		{"first run ends first", true, false, races{lost: 1}, Speculation{Started: 1, Lost: 1}},
		{"first run at a slow worker", false, true, races{}, Speculation{Started: 1, Won: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newSpeculationPlay(2)
			p.admitJob("fits", workflow.Step{Count: 1, Size: worker.Resources{MilliCPU: 500, MemoryMB: 100}, EstimateMS: 800, Image: "a", Speculative: true})
			p.secondRuns(0)
			p.now = p.now.Add(1000 * time.Millisecond)
			p.ping("w1", 30) // of a run of 3.3 s
			p.ping("w2", 30)
			if got := p.secondRuns(1100 * time.Millisecond); got != 1 {
				t.Fatalf("second runs: got %d, want 1", got)
			}
			task := &p.sc.jobs["job-001"].occurrences[0].steps[0].tasks[0]
			winner, loser := task.runs[1], task.runs[0]
			if tc.slow {
				loser.worker.health.slowdown = 3
			}
			if tc.firstEnds {
				winner, loser = loser, winner
			}
			p.now = p.now.Add(200 * time.Millisecond)
			p.sc.ApplyEnds(p.now, p.now.UnixMilli(), winner.worker.name, 1, 0, []RunEnd{{Number: 1, Task: winner.id, Run: winner.number, How: OutcomeDone}})
			if p.sc.races != tc.want {
				t.Errorf("races: got %+v, want %+v", p.sc.races, tc.want)
			}
			if got := p.sc.TakeSpeculation(); got != tc.counted {
				t.Errorf("counts: got %+v, want %+v", got, tc.counted)
			}
			before := p.sc.runTimes.Correct("i/a", 800)
			p.sc.ApplyEnds(p.now, p.now.UnixMilli(), loser.worker.name, 1, 0, []RunEnd{{Number: 1, Task: loser.id, Run: loser.number, How: OutcomeStopped}})
			if got, want := p.sc.runTimes.Correct("i/a", 800) > before, !tc.firstEnds && !tc.slow; got != want {
				t.Errorf("the run that was stopped raises the expected time: got %v, want %v", got, want)
			}
		})
	}
}
