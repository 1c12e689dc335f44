//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	product "savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/platform/standin"
)

const (
	// heartbeatEvery is the interval of the runner's heartbeats, and stepEvery that at which due runs end.
	heartbeatEvery = 1100 * time.Millisecond
	stepEvery      = 20 * time.Millisecond
)

// runnerHandler serves a runner's calls with the start of its life in Unix milliseconds: the stand-in counts on the steady
// clock.
type runnerHandler struct {
	runner   *standin.Runner
	offsetMS uint64
}

func (h *runnerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	h.runner.ServeHTTP(answer, r)
	data := answer.Body.Bytes()
	var body map[string]json.RawMessage
	if json.Unmarshal(data, &body) == nil && body["born"] != nil {
		body["born"] = json.RawMessage(fmt.Sprint(h.runner.StartedAtMS() + h.offsetMS))
		data, _ = json.Marshal(body) // it was decoded from JSON
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(data)
}

// runRunner plays one runner until ctx ends. A crash is a SIGKILL of its process.
func runRunner(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	network, path := f.String("network", "", "loopback network"), f.String("record", "", "file for the record")
	index, milliCPU := f.Int("index", 0, "number of the runner"), f.Int64("cpu", 16000, "thousandths of a processor")
	_ = f.Parse(args) // exits on an error
	rec, name := newRecord(*path), fmt.Sprintf("runner-%d", *index)
	history := &product.History{OnStart: func(runner, task string, run uint64) { rec.line("%s: starts %s run %d", runner, task, run) }}
	r := &standin.Runner{TaskRunner: product.TaskRunner{
		Name: name, TaskDuration: 150 * time.Millisecond, History: history, MilliCPU: *milliCPU, MemoryMB: 64000, StopTime: 200 * time.Millisecond,
	}}
	steady := clock.Steady()
	offsetMS := uint64(time.Now().UnixMilli() - steady.UnixMilli())
	r.Restart(steady)
	rec.line("%s: begins a life", name)
	ip := runnerIP(*network, *index)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	seq := 0
	beat := func() {
		seq++
		body, _ := json.Marshal(map[string]any{
			"service": "bench", "address": fmt.Sprintf("%s:%d", ip, portApp), "zone": "za", "version": "v1", "slots": 8, "phase": "ready", "cold-left-ms": 0,
			"seq": seq, "born": r.StartedAtMS() + offsetMS, "labels": []string{"a", fmt.Sprintf("r1-%d", *index/3)},
			"capacity": map[string]int64{"cpu": *milliCPU, "mem-mb": 64000, "gpu": 0}, "clock-ms": r.ClockMS(clock.Steady()),
		})
		url := fmt.Sprintf("http://%s:%d/v1/instances/i-%s/heartbeat", ip, portControl, name)
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
	}
	r.Rename("i-" + name)
	history.OnSuccess = nil
	var last time.Time
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { close(done) })
	server := make(chan int, 1)
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	serveLater := func() { server <- serve(ctx, fmt.Sprintf("%s:%d", ip, portApp), &runnerHandler{r, offsetMS}) }
	goRun(serveLater)
	for {
		select {
		case <-done:
			return exitHeld
		case status := <-server:
			return status
		case now := <-tick.C:
			r.EndDueRuns(clock.Steady())
			if now.Sub(last) >= heartbeatEvery {
				last = now
				goRun(beat)
			}
		}
	}
}
