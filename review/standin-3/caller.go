//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// group holds the goroutines of the process.
var group sync.WaitGroup

// goRun runs fn in the group.
func goRun(fn func()) { group.Go(fn) }

// caller is a client of the entries of a deployment.
type caller struct {
	network string
	record  *record
	client  http.Client
}

func newCaller(network string, rec *record) *caller {
	return &caller{network: network, record: rec, client: http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// newID returns the ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a call about a job to an entry, and returns the status, 0 without an answer, and the phase of the job.
func (c *caller) call(ctx context.Context, method string, entry int, path, body string, deadlineMS int) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entryIP(c.network, entry), portFront, path), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "review.example"
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMS))
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var state struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(data, &state) // not every answer has a phase
	return response.StatusCode, state.Phase
}

// awaitReady runs a first job, and reports whether it was completed in time.
func (c *caller) awaitReady(ctx context.Context) bool {
	path, end := "/batch/"+newID(), time.Now().Add(20*time.Second)
	for time.Now().Before(end) && ctx.Err() == nil {
		c.call(ctx, http.MethodPost, 0, path, `{"task-spec":"ready","steps":[{"count":1,"cpu":100,"mem-mb":10,"est-runtime-ms":150}]}`, 1500)
		if _, phase := c.call(ctx, http.MethodGet, 0, path, "", 1500); phase == "completed" {
			c.record.line("caller: the deployment is ready")
			time.Sleep(3 * time.Second) // from here on all machines are in touch
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.record.line("caller: the deployment did not get ready")
	return false
}
