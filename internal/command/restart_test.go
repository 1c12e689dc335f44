package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/entry"
)

// traffic is steady load on a site, and what became of it.
type traffic struct {
	s    *site
	pick func() string

	mu       sync.Mutex
	requests int
	failures []string
	jobs     []string
}

// TestRestartEachProcess restarts every process in turn under steady requests
// and jobs: no request may fail, no job may be lost or run twice.
func TestRestartEachProcess(t *testing.T) {
	s := newSite(t, 2, 2)
	ctx, cancel := context.WithCancel(context.Background())
	balancer, stopBalancer := context.WithCancel(context.Background())
	defer stopBalancer()
	load := &traffic{s: s, pick: s.balancer(balancer)}
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { load.sendRequests(ctx, i) })
	}
	group.Go(func() { load.submitJobs(ctx) })
	for _, p := range s.processes {
		s.stop(p)
		s.start(p)
		s.awaitReady(p)
		time.Sleep(300 * time.Millisecond)
	}
	cancel()
	group.Wait()
	load.check(t)
}

func (l *traffic) sendRequests(ctx context.Context, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf("request %d of client %d", i, client)
		if err := l.sendOne(body); err != nil {
			l.fail("%s: %v", body, err)
		}
		l.mu.Lock()
		l.requests++
		l.mu.Unlock()
	}
}

func (l *traffic) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

func (l *traffic) sendOne(body string) error {
	return l.send(body, http.Header{"Standin-Work": {"5ms"}})
}

// send sends a request and wants its own body back.
func (l *traffic) send(body string, header http.Header) error {
	resp, err := l.post("/services/planner/preview", body, header)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(got) != body {
		return fmt.Errorf("status %d, answer %q", resp.StatusCode, got)
	}
	return nil
}

func (l *traffic) post(path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, l.pick()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set(entry.HeaderTeam, "nursery")
	return http.DefaultClient.Do(req)
}

func (l *traffic) submitJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("job-%d", i)
		const body = `{"class":"shaping","tasks":2,"size":{"milli-cpu":500,"memory-mb":256},"payload":{"run-ms":400}}`
		l.submit(key, body)
		time.Sleep(100 * time.Millisecond)
	}
}

// submit submits a job under an idempotency key and notes its id.
func (l *traffic) submit(key, body string) {
	resp, err := l.post("/jobs", body, http.Header{"Idempotency-Key": {key}})
	if err != nil {
		l.fail("submit %s: %v", key, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var v entry.JobView
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil || v.ID == "" {
		l.fail("submit %s: status %d: %v", key, resp.StatusCode, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, v.ID)
}

func (l *traffic) check(t *testing.T) {
	t.Helper()
	for _, f := range l.failures {
		t.Error(f)
	}
	l.s.eventually("every job succeeded", l.allSucceeded)
	runs := make(map[string]int)
	for _, w := range l.s.workers {
		if w.Overcommitted() {
			t.Error("a worker was given more than it has")
		}
		for _, r := range w.Runs() {
			task, _, _ := strings.Cut(r.Key, "@")
			runs[task]++
		}
	}
	for _, id := range l.jobs {
		for i := range 2 {
			if got, want := runs[fmt.Sprintf("%s.%d", id, i)], 1; got != want {
				t.Errorf("runs of task %s.%d: got %d, want %d", id, i, got, want)
			}
		}
	}
	t.Logf("%d requests, %d jobs, %d appends", l.requests, len(l.jobs), l.s.log.Appends())
}

func (l *traffic) allSucceeded() bool {
	req, _ := http.NewRequest(http.MethodGet, l.pick()+"/jobs", nil)
	req.Header.Set(entry.HeaderTeam, "nursery")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var views []entry.JobView
	if err := json.NewDecoder(resp.Body).Decode(&views); err != nil {
		return false
	}
	done := make(map[string]bool)
	for _, v := range views {
		done[v.ID] = v.Phase == "succeeded"
	}
	for _, id := range l.jobs {
		if !done[id] {
			return false
		}
	}
	return true
}
