package command

import (
	"context"
	"fmt"
	"strings"
	"testing"
)

// TestLostDataCentre kills every process of a data centre and loses its VMs.
// The other data centre must continue its jobs: no job may be lost, and no task
// that had not started before may run more than once.
func TestLostDataCentre(t *testing.T) {
	s := newSite(t, 2, 2, "dc-1", "dc-2")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := &traffic{s: s, pickEntry: s.balancer(ctx)}
	const short = `{"class":"urgent","size":{"milli-cpu":100,"memory-mb":64},"payload":{"run-ms":200}}`
	const long = `{"class":"urgent","size":{"milli-cpu":100,"memory-mb":64},"payload":{"run-ms":8000}}`
	for i := range 20 {
		load.submit(fmt.Sprintf("before-%d", i), long)
	}
	s.eventually("jobs run in both data centres", func() bool { return s.startCount(0)+s.startCount(1) > 2 && s.startCount(2)+s.startCount(3) > 2 })
	s.loseDataCentre("dc-2")
	for i := range 20 {
		// Some of these jobs belong to the lost data centre.
		load.submit(fmt.Sprintf("after-%d", i), short)
	}
	// A repeated submission through any entry must not create another job.
	for i := range 20 {
		load.submit(fmt.Sprintf("after-%d", i), short)
	}
	for _, f := range load.failures {
		t.Error(f)
	}
	s.eventually("every job succeeded", load.allSucceeded)
	runs := s.startsByTask()
	seen := make(map[string]bool)
	for i, id := range load.jobs {
		seen[id] = true
		got := runs[id+".0"]
		// Tasks that were running when their worker was lost run a second time on another one.
		want := 1
		if i < 20 && got == 2 {
			want = 2
		}
		if got != want {
			t.Errorf("starts of job %d, %s: got %d, want %d", i, id, got, want)
		}
	}
	if got, want := len(seen), 40; got != want {
		t.Errorf("jobs: got %d, want %d", got, want)
	}
}

// loseDataCentre kills all processes of a data centre and simulates the loss of its workers' VMs.
func (s *site) loseDataCentre(dataCentre string) {
	agent := 0
	for _, p := range s.processes {
		isAgent := strings.HasPrefix(p.name, "worker-")
		if p.dataCentre == dataCentre {
			s.must(p.cmd.Process.Kill())
			_ = p.cmd.Wait()
			p.cmd = nil
			if isAgent {
				s.workers[agent].LoseVM()
			}
		}
		if isAgent {
			agent++
		}
	}
}

// startCount returns how many task runs the worker with an index has started so far.
func (s *site) startCount(workerIndex int) int { return len(s.workers[workerIndex].Runs()) }

// startsByTask counts the starts of each task on all workers.
func (s *site) startsByTask() map[string]int {
	out := make(map[string]int)
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			task, _, _ := strings.Cut(r.Key, "@")
			out[task]++
		}
	}
	return out
}
