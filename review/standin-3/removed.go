//go:build review3

package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	product "savoryhoist.example/savoryhoist/internal/standin"
)

// removalGap is the time between the removal of the worker's machine and that of the dispatcher's.
const removalGap = 1500 * time.Millisecond

// stopProcess stops a process of the deployment for good, so that it answers nobody, as a machine that was removed.
func stopProcess(dir, name string) error {
	data, err := os.ReadFile(filepath.Join(dir, name+".pid"))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return err
	}
	return syscall.Kill(pid, syscall.SIGSTOP)
}

// dispatcher returns the number of the entry that made the newest claim in the store.
func (c *caller) dispatcher(ctx context.Context) (int, bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/log-newest?topic=keyed.dispatch&part=0", storeIP(c.network), portStore), nil)
	if err != nil {
		return 0, false
	}
	response, err := c.client.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var page struct {
		Items []struct {
			Value string `json:"value"`
		} `json:"items"`
	}
	if json.NewDecoder(response.Body).Decode(&page) != nil || len(page.Items) != 1 {
		return 0, false
	}
	value, err := base64.StdEncoding.DecodeString(page.Items[0].Value)
	if err != nil {
		return 0, false
	}
	match := regexp.MustCompile(regexp.QuoteMeta(c.network) + `\.(\d+):`).FindSubmatch(value)
	if match == nil {
		return 0, false
	}
	n, err := strconv.Atoi(string(match[1]))
	return n - 1, err == nil
}

// playRemoved starts a task that lasts, removes the machine of its worker and then that of the dispatcher.
func playRemoved(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("removed", flag.ExitOnError)
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
	leader, known := c.dispatcher(ctx)
	if status/100 != 2 || !ok || !known {
		return exitNotRun
	}
	time.Sleep(5 * time.Second)
	if !*trouble {
		time.Sleep(lastingBound + removalGap)
		_, starts := runnerOf(*path, id)
		c.record.line("check: the lasting task has started %d times", starts)
		return c.verdict(starts != 1)
	}
	for _, name := range []string{fmt.Sprintf("agent-%d", runner), fmt.Sprintf("runner-%d", runner)} {
		if err := stopProcess(*dir, name); err != nil {
			c.record.line("verdict: not run: %v", err)
			return exitNotRun
		}
	}
	c.record.line("script: the machine of runner %d, on which the lasting task runs, is gone", runner)
	time.Sleep(removalGap)
	if err := stopProcess(*dir, fmt.Sprintf("entry-%d", leader)); err != nil {
		c.record.line("verdict: not run: %v", err)
		return exitNotRun
	}
	removed := time.Now()
	c.record.line("script: the machine of entry %d, the dispatcher, is gone", leader)
	_, ok = awaitStart(ctx, *path, id, 1, 40*time.Second)
	took := time.Since(removed).Round(time.Millisecond)
	c.record.line("check: the lasting task has started again: %t, %v after the last removal; bound %v", ok, took, lastingBound)
	return c.verdict(!ok || took > lastingBound)
}
