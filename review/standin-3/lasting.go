//go:build review3

package main

import (
	"context"
	"flag"
	"net/http"
	"time"

	product "savoryhoist.example/savoryhoist/internal/standin"
)

const (
	// lastingBound is 6 s after the last run and the 4 s before that have to be calm, and 3 s without a run.
	lastingBound = 13 * time.Second
	// smallSteps steps of smallTasks tasks fill the service. A task takes smallWork, give or take half.
	smallSteps, smallTasks, smallWork = 10, 480, 1000
)

// playLasting starts a task that lasts, fills the service with small tasks of the same priority, and has the runner of the
// lasting task crash for good.
func playLasting(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("lasting", flag.ExitOnError)
	network, path, trouble := f.String("network", "", "loopback network"), f.String("record", "", "file for the record"), f.Bool("trouble", true, "with the disruption")
	dir := f.String("dir", "", "folder with the process IDs")
	_ = f.Parse(args) // exits on an error
	c := newCaller(*network, newRecord(*path))
	if !c.awaitReady(ctx) {
		return exitNotRun
	}
	id := newID()
	body := jobBody(id, []map[string]any{{"count": 1, "cpu": 3200, "mem-mb": 6400, "est-runtime-ms": 420, "long-running": true}},
		[]product.StepPlan{{Count: 1, MilliCPU: 3200, MemoryMB: 6400, Behaviour: product.TaskNeverEnds}})
	status, _ := c.call(ctx, http.MethodPost, 0, "/lasting/"+id, body, 3000)
	c.record.line("caller: POST of the lasting job %s at entry 0: status %d", id, status)
	runner, ok := awaitStart(ctx, *path, id, 0, 10*time.Second)
	if status/100 != 2 || !ok {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	var steps []map[string]any
	var plan []product.StepPlan
	for range smallSteps {
		steps = append(steps, map[string]any{"count": smallTasks, "cpu": 240, "mem-mb": 480, "est-runtime-ms": smallWork})
		plan = append(plan, product.StepPlan{Count: smallTasks, DurationMS: smallWork, MilliCPU: 240, MemoryMB: 480})
	}
	fill := newID()
	status, _ = c.call(ctx, http.MethodPost, 1, "/batch/"+fill, jobBody(fill, steps, plan), 3000)
	c.record.line("caller: POST of job %s with %d small tasks at entry 1: status %d", fill, smallSteps*smallTasks, status)
	if status/100 != 2 {
		return exitNotRun
	}
	time.Sleep(4 * time.Second)
	if !*trouble {
		time.Sleep(lastingBound + 3*time.Second)
		_, starts := runnerOf(*path, id)
		_, phase := c.call(ctx, http.MethodGet, 2, "/lasting/"+id, "", 1500)
		c.record.line("check: the lasting task has started %d times, its job is %s", starts, phase)
		return c.verdict(starts != 1 || phase != "running")
	}
	if err := crash(*dir, runner, true); err != nil {
		c.record.line("verdict: not run: %v", err)
		return exitNotRun
	}
	crashed := time.Now()
	c.record.line("script: runner %d, on which the lasting task runs, crashes and is lost for good", runner)
	_, ok = awaitStart(ctx, *path, id, 1, 45*time.Second)
	took := time.Since(crashed).Round(time.Millisecond)
	_, phase := c.call(ctx, http.MethodGet, 2, "/lasting/"+id, "", 1500)
	if !ok {
		c.record.line("check: the lasting task has not started again within %v, bound %v; its job is shown as %s", took, lastingBound, phase)
		return c.verdict(true)
	}
	c.record.line("check: the lasting task has started again after %v, bound %v; its job is shown as %s", took, lastingBound, phase)
	return c.verdict(took > lastingBound)
}
