//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often a runner sends a heartbeat, as in the users' settings.
	heartbeatInterval = 1100 * time.Millisecond
	// maxLeaseMS bounds a lease, from the call that grants it.
	maxLeaseMS = 6000
	// startupTime is how long a lasting task takes until it is at work.
	startupTime = 300 * time.Millisecond
	// leaseCheckInterval is how often a runner looks whether its lease has expired.
	leaseCheckInterval = 20 * time.Millisecond
)

// runner is a stand-in for one runner. Its tasks last until they are stopped, their lease expires or the runner crashes.
type runner struct {
	name, ip             string
	appPort, controlPort int
	record               *record
	life                 int
	server               *http.Server
	mu                   sync.Mutex
	id                   string
	born                 uint64
	began                time.Time
	token                uint64
	leaseEndMS           int64
	lastEnd              uint64
	running              map[string]*taskRun
	ends                 [][]any
	highestRun           map[string]uint64
	changed              chan struct{}
	seq                  uint64
	up                   bool
}

type taskRun struct {
	run   uint64
	since time.Time
}

// begin starts a life of the runner: it knows nothing of earlier ones.
func (r *runner) begin(group *sync.WaitGroup) error {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", r.ip, r.appPort))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.life++
	r.id, r.born, r.began = fmt.Sprintf("i-%s-%d", r.name, r.life), uint64(time.Now().UnixMilli()), time.Now()
	r.token, r.leaseEndMS, r.lastEnd, r.seq, r.ends, r.up = 0, 0, 0, 0, nil, true
	r.running, r.highestRun, r.changed = make(map[string]*taskRun), make(map[string]uint64), make(chan struct{})
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.server = server
	r.mu.Unlock()
	group.Go(func() { _ = server.Serve(ln) }) // it ends when the runner crashes
	return nil
}

// crash ends the life of the runner: all that runs there ends, and its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	for task, t := range r.running {
		r.record.note("run %s %d ended: runner %s crashed", task, t.run, r.id)
	}
	r.running, r.up = make(map[string]*taskRun), false
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

func (r *runner) clockMS() int64 { return time.Since(r.began).Milliseconds() + 1 }

// finish ends a run and lists its end. The caller holds mu.
func (r *runner) finish(task string, t *taskRun, how string) {
	delete(r.running, task)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, task, t.run, how, ""})
	r.record.note("run %s %d ended: %s at %s", task, t.run, how, r.id)
	close(r.changed)
	r.changed = make(chan struct{})
}

type call struct {
	Task    string `json:"task"`
	Run     uint64 `json:"run"`
	UntilMS int64  `json:"until-ms"`
	Token   uint64 `json:"fencing-token"`
	Acked   uint64 `json:"last-seen"`
	WaitMS  int64  `json:"wait-ms"`
}

// ServeHTTP carries out a call of the agent.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c call
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := req.Header.Get("Expected-Instance")
	switch {
	case !r.up || expected != "" && expected != r.id:
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	case c.Token < r.token:
		answer(w, http.StatusConflict, map[string]any{"clock-ms": r.clockMS(), "reason": "fence"})
		return
	}
	r.token = c.Token
	r.leaseEndMS = max(r.leaseEndMS, min(c.UntilMS, r.clockMS()+maxLeaseMS))
	switch req.URL.Path {
	case "/v1/run-start":
		if reason := r.start(&c); reason != "" {
			answer(w, http.StatusConflict, map[string]any{"clock-ms": r.clockMS(), "reason": reason})
			return
		}
	case "/v1/run-stop":
		r.highestRun[c.Task] = max(r.highestRun[c.Task], c.Run)
		if t := r.running[c.Task]; t != nil && t.run <= c.Run {
			r.finish(c.Task, t, "stopped")
		}
	case "/v1/hold":
		r.hold(w, req, &c)
		return
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clockMS()})
}

// start starts a run, or returns why not. The caller holds mu.
func (r *runner) start(c *call) string {
	t := r.running[c.Task]
	switch {
	case t != nil && t.run == c.Run:
		return ""
	case t != nil || c.Run <= r.highestRun[c.Task]:
		return "old"
	case r.leaseEndMS <= r.clockMS():
		return "late"
	}
	r.running[c.Task], r.highestRun[c.Task] = &taskRun{c.Run, time.Now()}, c.Run
	r.record.started(c.Task, c.Run, r.id)
	return ""
}

// hold lists the runs and the ends, once a run has ended or the call has waited. The caller holds mu.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, c *call) {
	var left [][]any
	for _, e := range r.ends {
		if n, ok := e[0].(uint64); ok && n > c.Acked {
			left = append(left, e)
		}
	}
	r.ends = left
	if life := r.life; c.WaitMS > 0 && len(r.ends) == 0 {
		changed := r.changed
		r.mu.Unlock()
		timer := time.NewTimer(time.Duration(c.WaitMS) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-req.Context().Done():
		}
		timer.Stop()
		r.mu.Lock()
		if !r.up || r.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, t := range r.running {
		percent := 0
		if time.Since(t.since) >= startupTime {
			percent = 100
		}
		running = append(running, []any{task, t.run, "", percent, 0})
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clockMS(), "born": r.born, "running": running, "finished": append([][]any{}, r.ends...)})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // it fails only if the caller has gone
}

// drive ends runs whose lease has expired, and sends heartbeats, until ctx ends.
func (r *runner) drive(ctx context.Context) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var sentAt time.Time
	sentLife := 0
	for ctx.Err() == nil {
		r.mu.Lock()
		if r.clockMS() > r.leaseEndMS {
			for task, t := range r.running {
				r.finish(task, t, "lapsed")
			}
		}
		due := r.up && (r.life != sentLife || time.Since(sentAt) >= heartbeatInterval)
		if due {
			r.seq++
			sentAt, sentLife = time.Now(), r.life
		}
		body, _ := json.Marshal(map[string]any{ // these values can always be encoded
			"service": "lastbench", "address": fmt.Sprintf("%s:%d", r.ip, r.appPort), "zone": "a", "version": "v1", "slots": 8, "phase": "ready", "cold-left-ms": 0,
			"seq": r.seq, "born": r.born, "labels": []string{"a", "r1-1"}, "clock-ms": r.clockMS(), "capacity": map[string]int{"cpu": 16000, "mem-mb": 64000, "gpu": 0},
		})
		url := fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", r.ip, r.controlPort, r.id)
		r.mu.Unlock()
		if due {
			if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close()
			} else {
				sentAt = time.Time{}
			}
		}
		time.Sleep(leaseCheckInterval)
	}
}
