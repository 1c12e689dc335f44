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

// traffic sends requests and jobs to a site and records their results.
type traffic struct {
	s *site
	// pickEntry returns the URL of the entry to call next.
	pickEntry func() string

	mu sync.Mutex
	// requests is the number of requests that have ended.
	requests int
	// failures describes every request or submission that failed.
	failures []string
	// jobs are the IDs of the accepted jobs, in the order of submission.
	jobs []string
}

// TestRollingRestartLosesNothing restarts every process in turn while requests
// and jobs keep coming: no request may fail, no job may be lost or run twice.
func TestRollingRestartLosesNothing(t *testing.T) {
	s := newSite(t, 2, 2)
	ctx, cancel := context.WithCancel(context.Background())
	balancer, stopBalancer := context.WithCancel(context.Background())
	defer stopBalancer()
	load := &traffic{s: s, pickEntry: s.balancer(balancer)}
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
	load.checkJobs(t)
}

// sendRequests sends one request after the other until ctx ends, as the client with this number.
func (l *traffic) sendRequests(ctx context.Context, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf("request %d of client %d", i, client)
		if err := l.sendShortRequest(body); err != nil {
			l.addFailure("%s: %v", body, err)
		}
		l.mu.Lock()
		l.requests++
		l.mu.Unlock()
	}
}

func (l *traffic) addFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

func (l *traffic) sendShortRequest(body string) error {
	return l.send(body, http.Header{"Standin-Work": {"5ms"}})
}

// send sends a request, whose response must have the same body, because the
// stand-in runner returns the body that it gets.
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
		return fmt.Errorf("status %d, response %q", resp.StatusCode, got)
	}
	return nil
}

// post sends a POST to the next entry on behalf of the test's team.
func (l *traffic) post(path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, l.pickEntry()+path, strings.NewReader(body))
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

// submit submits a job under an idempotency key and records its ID.
func (l *traffic) submit(key, body string) {
	resp, err := l.post("/jobs", body, http.Header{"Idempotency-Key": {key}})
	if err != nil {
		l.addFailure("submit %s: %v", key, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var v entry.JobView
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil || v.ID == "" {
		l.addFailure("submit %s: status %d: %v", key, resp.StatusCode, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, v.ID)
}

// checkJobs waits until every job has succeeded and checks that no request failed,
// every task ran once and no worker was overcommitted.
func (l *traffic) checkJobs(t *testing.T) {
	t.Helper()
	for _, f := range l.failures {
		t.Error(f)
	}
	l.s.eventually("every job succeeded", l.allSucceeded)
	runs := make(map[string]int)
	for _, w := range l.s.workers {
		if w.Overcommitted() {
			t.Error("a worker was given tasks that need more resources than it has")
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

// allSucceeded reports whether an entry knows every job of l as succeeded.
func (l *traffic) allSucceeded() bool {
	req, _ := http.NewRequest(http.MethodGet, l.pickEntry()+"/jobs", nil)
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
