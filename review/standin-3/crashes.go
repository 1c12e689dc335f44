//go:build review3

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	product "savoryhoist.example/savoryhoist/internal/standin"
)

// runnerOf returns the number of the runner on which a task of a job started last, and how often its tasks have started.
func runnerOf(path, id string) (runner, starts int) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		_, text, _ := strings.Cut(line, " ")
		name, rest, found := strings.Cut(text, ": starts ")
		if !found || !strings.HasPrefix(rest, id+".") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(name, "runner-")); err == nil {
			runner, starts = n, starts+1
		}
	}
	return runner, starts
}

// awaitStart waits until tasks of a job have started more often than a number of times, and returns the runner of the last one.
func awaitStart(ctx context.Context, path, id string, more int, atMost time.Duration) (runner int, ok bool) {
	for end := time.Now().Add(atMost); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if runner, starts := runnerOf(path, id); starts > more {
			return runner, true
		}
	}
	return 0, false
}

// crash kills a runner's process, which the script starts again a second later unless forGood is set.
func crash(dir string, runner int, forGood bool) error {
	if forGood {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("gone-%d", runner)), nil, 0o600); err != nil {
			return err
		}
	}
	data, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("runner-%d.pid", runner)))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return err
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// jobBody returns the body that hands in a job with the given steps, and the plan that says how its tasks behave.
func jobBody(id string, steps []map[string]any, plan []product.StepPlan) string {
	text, _ := json.Marshal(product.JobPlan{Job: id, Steps: plan})
	body, _ := json.Marshal(map[string]any{"task-spec": string(text), "steps": steps})
	return string(body)
}

const (
	// crashCount is how many runners crash, crashAfter how long after the start of the task there.
	crashCount = 4
	crashAfter = 4 * time.Second
	// longWork is how long the task works.
	longWork = 30 * time.Second
)

// playCrashes hands in a job with one long task that saves its progress, and crashes the runner of the task now and then.
func playCrashes(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("crashes", flag.ExitOnError)
	network, path, trouble := f.String("network", "", "loopback network"), f.String("record", "", "file for the record"), f.Bool("trouble", true, "with the disruption")
	dir := f.String("dir", "", "folder with the process IDs")
	_ = f.Parse(args) // exits on an error
	c := newCaller(*network, newRecord(*path))
	if !c.awaitReady(ctx) {
		return exitNotRun
	}
	id := newID()
	body := jobBody(id, []map[string]any{{"count": 1, "cpu": 1000, "mem-mb": 100, "est-runtime-ms": longWork.Milliseconds(), "checkpointing": true}},
		[]product.StepPlan{{Count: 1, DurationMS: longWork.Milliseconds(), MilliCPU: 1000, MemoryMB: 100, Checkpointing: true}})
	status, _ := c.call(ctx, http.MethodPost, 0, "/batch/"+id, body, 3000)
	c.record.line("caller: POST of job %s at entry 0: status %d", id, status)
	if status/100 != 2 {
		return exitNotRun
	}
	for i := range crashCount {
		runner, ok := awaitStart(ctx, *path, id, i, 20*time.Second)
		if !ok {
			c.record.line("verdict: not run, the task did not start")
			return exitNotRun
		}
		if !*trouble {
			break
		}
		time.Sleep(crashAfter)
		if err := crash(*dir, runner, false); err != nil {
			c.record.line("verdict: not run: %v", err)
			return exitNotRun
		}
		c.record.line("script: crash %d of %d: runner %d, on which the task runs", i+1, crashCount, runner)
	}
	for end := time.Now().Add(longWork + 10*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, phase := c.call(ctx, http.MethodGet, 1, "/batch/"+id, "", 1500)
		switch phase {
		case "failed":
			time.Sleep(5 * time.Second)
			_, starts := runnerOf(*path, id)
			_, phase = c.call(ctx, http.MethodGet, 2, "/batch/"+id, "", 1500)
			c.record.line("caller: job %s is shown as failed, 5 s later as %s; its task has started %d times and no run has ended failed", id, phase, starts)
			return c.verdict(true)
		case "completed":
			c.record.line("caller: job %s is shown as completed", id)
			return c.verdict(false)
		case "":
			c.record.line("caller: GET of job %s: status %d", id, status)
		}
	}
	c.record.line("verdict: not run, the job did not end in time")
	return exitNotRun
}
