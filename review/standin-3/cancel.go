//go:build review3

package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// cancelBound is cancel_ms, and appendDelay how late the store carries out the append whose answer it loses.
const (
	cancelBound = 3 * time.Second
	appendDelay = 5 * time.Second
)

// startsOf returns the times at which tasks of a job started, according to the record.
func startsOf(path, id string) []time.Time {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	today := time.Now().UTC().Truncate(24 * time.Hour)
	var out []time.Time
	for _, line := range strings.Split(string(data), "\n") {
		at, text, _ := strings.Cut(line, " ")
		if t, err := time.Parse("15:04:05.000", at); err == nil && strings.Contains(text, ": starts "+id+".") {
			out = append(out, today.Add(t.Sub(t.Truncate(24*time.Hour))))
		}
	}
	return out
}

// playCancel hands in a job, gets no answer in time, and cancels it.
func playCancel(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("cancel", flag.ExitOnError)
	network, path, trouble := f.String("network", "", "loopback network"), f.String("record", "", "file for the record"), f.Bool("trouble", true, "with the disruption")
	_ = f.Parse(args) // exits on an error
	c := newCaller(*network, newRecord(*path))
	if !c.awaitReady(ctx) {
		return exitNotRun
	}
	id := newID()
	if *trouble {
		url := fmt.Sprintf("http://%s:%d/review/late?count=1&ms=%d", storeIP(*network), portStore, appendDelay.Milliseconds())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
		if err != nil {
			return exitNotRun
		}
		response, err := c.client.Do(r)
		if err != nil {
			return exitNotRun
		}
		_ = response.Body.Close()
	}
	status, _ := c.call(ctx, http.MethodPost, 0, "/batch/"+id, `{"task-spec":"x","steps":[{"count":2,"cpu":500,"mem-mb":100,"est-runtime-ms":150}]}`, 1000)
	c.record.line("caller: POST of job %s at entry 0, Deadline-Ms 1000: status %d", id, status)
	status, _ = c.call(ctx, http.MethodDelete, 1, "/batch/"+id, "", 1500)
	cancelled := time.Now().UTC()
	c.record.line("caller: DELETE of job %s at entry 1: status %d", id, status)
	if status != http.StatusGone && status/100 != 2 {
		c.record.line("verdict: not run, the cancellation was not acknowledged")
		return exitNotRun
	}
	time.Sleep(appendDelay + 7*time.Second)
	_, phase := c.call(ctx, http.MethodGet, 1, "/batch/"+id, "", 1500)
	c.record.line("caller: GET of job %s at entry 1: phase %q", id, phase)
	broken := false
	for _, at := range startsOf(*path, id) {
		late := at.Sub(cancelled)
		c.record.line("check: a task of job %s started %v after the cancellation was acknowledged, bound %v", id, late.Round(time.Millisecond), cancelBound)
		broken = broken || late > cancelBound
	}
	return c.verdict(broken)
}

// verdict records whether the rule was broken and returns the exit status.
func (c *caller) verdict(broken bool) int {
	if broken {
		c.record.line("verdict: broken")
		return exitBroken
	}
	c.record.line("verdict: held")
	return exitHeld
}
