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

// TestKilledProcesses kills an entry, then an agent, and then loses a worker's
// VM, each while jobs run. No job is lost. Only tasks that were on the lost VM,
// or assigned to it, are started again, and only once.
func TestKilledProcesses(t *testing.T) {
	s := newSite(t, 2, 2)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := &traffic{s: s, pick: s.balancer(ctx)}
	const body = `{"class":"urgent","size":{"milli-cpu":200,"memory-mb":64},"payload":{"run-ms":3000}}`
	submit := func(stage string) {
		for i := range 10 {
			load.submitRepeated(fmt.Sprintf("%s-%d", stage, i), body)
		}
	}
	submit("entry")
	s.eventually("tasks run", func() bool { return s.runs(0)+s.runs(1) > 3 })
	s.kill(s.processes[0])
	killed := time.Now()
	submit("agent")
	s.eventually("urgent work of the killed entry starts", func() bool {
		runs := s.startsByTask()
		for _, id := range load.jobs {
			if runs[id+".0"] == 0 {
				return false
			}
		}
		return true
	})
	t.Logf("all urgent work started within %v of the entry's death", time.Since(killed))
	s.start(s.processes[0])
	s.kill(s.processes[2])
	submit("vm")
	s.start(s.processes[2])
	s.awaitReady(s.processes[2])
	s.eventually("every job succeeded", load.allSucceeded)
	checkStarts(t, s, load, 1)

	submit("lost")
	s.eventually("tasks run on the first worker", func() bool { return s.running(0) > 0 })
	s.workers[0].LoseVM()
	s.eventually("every job succeeded", load.allSucceeded)
	checkStarts(t, s, load, 2)
	cancelWave(t, s, load)
}

// cancelWave cancels many jobs at once, some of which run and some of which
// wait for room. None may start afterwards.
func cancelWave(t *testing.T, s *site, load *traffic) {
	t.Helper()
	const body = `{"class":"shaping","size":{"milli-cpu":2000,"memory-mb":64},"payload":{"run-ms":600000}}`
	before := len(load.jobs)
	for i := range 40 {
		load.submitRepeated(fmt.Sprintf("wave-%d", i), body)
	}
	s.eventually("some of the wave run", func() bool { return s.running(0)+s.running(1) > 3 })
	wave := load.jobs[before:]
	var result entry.CancellationResult
	data, err := json.Marshal(entry.Cancellation{Jobs: append([]string{"no-such-job"}, wave...)})
	s.must(err)
	resp, err := load.post("/jobs/cancel", string(data), http.Header{})
	s.must(err)
	s.must(json.NewDecoder(resp.Body).Decode(&result))
	s.must(resp.Body.Close())
	if got, want := len(result.Accepted), len(wave); got != want {
		t.Errorf("accepted cancellations: got %d, want %d", got, want)
	}
	if got, want := len(result.Unknown), 1; got != want {
		t.Errorf("unknown jobs: got %d, want %d", got, want)
	}
	s.eventually("the wave's tasks have ended", func() bool { return s.running(0)+s.running(1) == 0 })
	starts := s.runs(0) + s.runs(1)
	load.submitRepeated("after-the-wave", `{"class":"urgent","size":{"milli-cpu":2000,"memory-mb":64}}`)
	load.jobs = append(load.jobs[:before:before], load.jobs[len(load.jobs)-1])
	s.eventually("every other job succeeded", load.allSucceeded)
	if got, want := s.runs(0)+s.runs(1), starts+1; got != want {
		t.Errorf("starts after the cancellation: got %d, want %d", got-starts, want-starts)
	}
}

// submitRepeated submits a job as a caller does whose entry may just have been
// killed: again under the same key until it is accepted.
func (l *traffic) submitRepeated(key, body string) {
	l.s.eventually("submission of "+key, func() bool {
		before := len(l.jobs)
		l.submit(key, body)
		return len(l.jobs) > before
	})
}

// kill ends a process without notice.
func (s *site) kill(p *process) {
	s.must(p.cmd.Process.Kill())
	_ = p.cmd.Wait()
	p.cmd = nil
}

// running counts the tasks that a worker has started and that still run.
func (s *site) running(worker int) int { return s.workers[worker].Running() }

// checkStarts checks that every task was started, and at most most times.
func checkStarts(t *testing.T, s *site, load *traffic, most int) {
	t.Helper()
	runs := s.startsByTask()
	for i, id := range load.jobs {
		if got := runs[id+".0"]; got < 1 || got > most {
			t.Errorf("starts of job %d, %s: got %d, want 1 to %d", i, id, got, most)
		}
	}
	for _, w := range s.workers {
		if w.Overcommitted() {
			t.Error("a worker was given more than it has")
		}
	}
}
