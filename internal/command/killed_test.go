package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/entry"
)

// TestJobsSurviveKilledProcesses kills an entry, then an agent, and then loses a
// worker's VM, each while jobs run. No job may be lost. Only tasks that ran on
// the lost VM, or were assigned to it, may be started again, and only once.
func TestJobsSurviveKilledProcesses(t *testing.T) {
	s := newSite(t, 2, 2)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := &traffic{s: s, pickEntry: s.balancer(ctx)}
	const body = `{"class":"urgent","size":{"milli-cpu":200,"memory-mb":64},"payload":{"run-ms":3000}}`
	submit := func(stage string) {
		for i := range 10 {
			load.submitWithRetry(fmt.Sprintf("%s-%d", stage, i), body)
		}
	}
	submit("entry")
	s.eventually("tasks run", func() bool { return s.startCount(0)+s.startCount(1) > 3 })
	s.kill(s.processes[0])
	killed := time.Now()
	submit("agent")
	s.eventually("urgent tasks of the killed entry start", func() bool {
		runs := s.startsByTask()
		for _, id := range load.jobs {
			if runs[id+".0"] == 0 {
				return false
			}
		}
		return true
	})
	t.Logf("all urgent tasks started within %v after the entry was killed", time.Since(killed))
	s.start(s.processes[0])
	s.kill(s.processes[2])
	submit("vm")
	s.start(s.processes[2])
	s.awaitReady(s.processes[2])
	s.eventually("every job succeeded", load.allSucceeded)
	checkStarts(t, s, load, 1)

	submit("lost")
	s.eventually("tasks run on the first worker", func() bool { return s.runningTasks(0) > 0 })
	s.workers[0].LoseVM()
	s.eventually("every job succeeded", load.allSucceeded)
	checkStarts(t, s, load, 2)
	checkMassCancellation(t, s, load)
}

// checkMassCancellation cancels many jobs in one call, some of which run and
// some of which wait for free resources. No task of them may start afterwards.
func checkMassCancellation(t *testing.T, s *site, load *traffic) {
	t.Helper()
	const body = `{"class":"shaping","size":{"milli-cpu":2000,"memory-mb":64},"payload":{"run-ms":600000}}`
	before := len(load.jobs)
	for i := range 40 {
		load.submitWithRetry(fmt.Sprintf("wave-%d", i), body)
	}
	s.eventually("some of the cancelled jobs' tasks run", func() bool { return s.runningTasks(0)+s.runningTasks(1) > 3 })
	cancelled := load.jobs[before:]
	var result entry.CancellationResult
	data, err := json.Marshal(entry.Cancellation{Jobs: append([]string{"no-such-job"}, cancelled...)})
	s.must(err)
	resp, err := load.post("/jobs/cancel", string(data), http.Header{})
	s.must(err)
	s.must(json.NewDecoder(resp.Body).Decode(&result))
	s.must(resp.Body.Close())
	if got, want := len(result.Accepted), len(cancelled); got != want {
		t.Errorf("accepted cancellations: got %d, want %d", got, want)
	}
	if got, want := len(result.Unknown), 1; got != want {
		t.Errorf("unknown jobs: got %d, want %d", got, want)
	}
	s.eventually("the cancelled jobs' tasks have ended", func() bool { return s.runningTasks(0)+s.runningTasks(1) == 0 })
	starts := s.startCount(0) + s.startCount(1)
	load.submitWithRetry("after-the-wave", `{"class":"urgent","size":{"milli-cpu":2000,"memory-mb":64}}`)
	load.jobs = append(load.jobs[:before:before], load.jobs[len(load.jobs)-1])
	s.eventually("every other job succeeded", load.allSucceeded)
	if got, want := s.startCount(0)+s.startCount(1), starts+1; got != want {
		t.Errorf("starts after the cancellation: got %d, want %d", got-starts, want-starts)
	}
}

// submitWithRetry submits a job again under the same idempotency key until it is
// accepted, as a caller does whose entry may have been killed.
func (l *traffic) submitWithRetry(key, body string) {
	l.s.eventually("submission of "+key, func() bool {
		before := len(l.jobs)
		l.submit(key, body)
		return len(l.jobs) > before
	})
}

// kill ends a process by SIGKILL.
func (s *site) kill(p *process) {
	s.must(p.cmd.Process.Kill())
	_ = p.cmd.Wait()
	p.cmd = nil
}

// runningTasks returns the number of tasks that run on the worker with an index.
func (s *site) runningTasks(workerIndex int) int { return s.workers[workerIndex].Running() }

// checkStarts checks that every task was started at least once and at most
// maxStarts times, and that no worker was overcommitted.
func checkStarts(t *testing.T, s *site, load *traffic, maxStarts int) {
	t.Helper()
	runs := s.startsByTask()
	for i, id := range load.jobs {
		if got := runs[id+".0"]; got < 1 || got > maxStarts {
			t.Errorf("starts of job %d, %s: got %d, want 1 to %d", i, id, got, maxStarts)
		}
	}
	for _, w := range s.workers {
		if w.Overcommitted() {
			t.Error("a worker was given tasks that need more resources than it has")
		}
	}
}
