//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
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
	// uneven is set if the tasks of a step take different times, see spreadWork.
	uneven bool
}

func (h *runnerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	if h.uneven && r.URL.Path == "/v1/run-start" {
		spreadWork(r)
	}
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

// spreadWork changes the work of a task that a start names by up to half, by its name: tasks of one step are not alike.
func spreadWork(r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return // the runner finds no call
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	var call map[string]any
	if json.Unmarshal(data, &call) != nil {
		return
	}
	text, _ := call["task-spec"].(string)
	task, _ := call["task"].(string)
	plan, ok := product.ParseJobPlan(text)
	if !ok {
		return
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(task)) // never fails
	for i := range plan.Steps {
		s := &plan.Steps[i]
		s.DurationMS += s.DurationMS * (int64(sum.Sum32()%1000) - 500) / 1000
	}
	changed, _ := json.Marshal(plan)
	call["task-spec"] = string(changed)
	data, _ = json.Marshal(call)
	r.Body = io.NopCloser(bytes.NewReader(data))
}

// runRunner plays one runner until ctx ends. A crash is a SIGKILL of its process.
func runRunner(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	network, path := f.String("network", "", "loopback network"), f.String("record", "", "file for the record")
	index, milliCPU := f.Int("index", 0, "number of the runner"), f.Int64("cpu", 16000, "thousandths of a processor")
	uneven := f.Bool("uneven", false, "tasks of one step take different times")
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
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	r.Rename("i-" + name)
	var last time.Time
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { close(done) })
	server := make(chan int, 1)
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	serveLater := func() { server <- serve(ctx, fmt.Sprintf("%s:%d", ip, portApp), &runnerHandler{r, offsetMS, *uneven}) }
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
