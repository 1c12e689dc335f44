package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/entry"
)

// TestUrgentTaskPreemptsLongTask fills the only worker with one long task and
// submits an urgent job. The urgent task must preempt the long one and run once,
// and the long one must be started once more, from its checkpoint.
func TestUrgentTaskPreemptsLongTask(t *testing.T) {
	s := newSite(t, 1, 1)
	load := &traffic{s: s, pickEntry: func() string { return s.entryURLs[0] }}
	load.submit("long", `{"class":"archive","size":{"milli-cpu":16000,"memory-mb":1000},"payload":{"run-ms":6000}}`)
	s.eventually("the long task runs", func() bool { return len(s.workers[0].Runs()) == 1 })
	submitted := time.Now()
	load.submit("quick", `{"class":"urgent","size":{"milli-cpu":1000,"memory-mb":1000},"payload":{"run-ms":100}}`)
	quick := load.jobs[1]
	s.eventually("the urgent task runs", func() bool {
		runs := s.workers[0].Runs()
		return strings.HasPrefix(runs[len(runs)-1].Key, quick)
	})
	t.Logf("the urgent task started after %v", time.Since(submitted))
	s.eventually("every job succeeded", load.allSucceeded)
	runs := make(map[string]int)
	for _, r := range s.workers[0].Runs() {
		task, _, _ := strings.Cut(r.Key, "@")
		runs[task]++
	}
	if got, want := fmt.Sprint(runs[load.jobs[0]+".0"], runs[quick+".0"]), "2 1"; got != want {
		t.Errorf("got runs of the long and the urgent task %s, want %s", got, want)
	}
	if s.workers[0].Overcommitted() {
		t.Error("the worker was given tasks that need more resources than it has")
	}
}

// TestJobThatFitsNoWorkerReportsReason submits a job that is too big for every
// worker and a small one. The small job must run, and the big one must report
// why it waits.
func TestJobThatFitsNoWorkerReportsReason(t *testing.T) {
	s := newSite(t, 1, 1)
	load := &traffic{s: s, pickEntry: func() string { return s.entryURLs[0] }}
	load.submit("huge", `{"class":"shaping","size":{"milli-cpu":1000000},"payload":{"run-ms":1}}`)
	load.submit("small", `{"class":"shaping","size":{"milli-cpu":100},"payload":{"run-ms":1}}`)
	view := func(i int) (v entry.JobView) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, s.entryURLs[0]+"/jobs/"+load.jobs[i], nil)
		s.must(err)
		req.Header.Set(entry.HeaderTeam, "nursery")
		resp, err := http.DefaultClient.Do(req)
		s.must(err)
		defer func() { _ = resp.Body.Close() }()
		s.must(json.NewDecoder(resp.Body).Decode(&v))
		return v
	}
	s.eventually("the job queued after it succeeded", func() bool { return view(1).Phase == "succeeded" })
	if got, want := view(0).Tasks[0].Waiting, "asks for more than any known worker has"; got != want {
		t.Errorf("got reason %q, want %q", got, want)
	}
	if got, want := len(s.workers[0].Runs()), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// TestFailingWorkerGetsFewTasks lets one of two workers fail every task that it
// starts. Every job must succeed on the other one, and at most half as many runs
// as there are jobs may be tried on the failing one.
func TestFailingWorkerGetsFewTasks(t *testing.T) {
	s := newSite(t, 1, 2)
	load := &traffic{s: s, pickEntry: func() string { return s.entryURLs[0] }}
	s.workers[0].FailAll(true)
	const jobs = 40
	for i := range jobs {
		load.submit(fmt.Sprint("job-", i), `{"class":"shaping","size":{"milli-cpu":4000,"memory-mb":100},"payload":{"run-ms":300}}`)
	}
	s.eventually("every job succeeded", load.allSucceeded)
	if got, want := len(s.workers[0].Runs()), jobs/2; got > want {
		t.Errorf("got %d runs on the failing worker, want at most %d", got, want)
	}
	if got, want := len(s.workers[1].Runs()), jobs; got != want {
		t.Errorf("got %d runs on the healthy worker, want %d", got, want)
	}
}
