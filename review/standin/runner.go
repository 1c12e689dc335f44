//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
)

const (
	// maxHoldMS is the longest lease, heartbeatEvery the time between two heartbeats, checkpointEvery the
	// work after which a run has a new checkpoint; all as on the pages of the deployment.
	maxHoldMS       = 6000
	heartbeatEvery  = 1100 * time.Millisecond
	checkpointEvery = time.Second
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 400 * time.Millisecond
	// runnerTick is how often the runner looks for runs that are due to end.
	runnerTick = 10 * time.Millisecond
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
	// drainTime is how long a runner that leaves serves on.
	drainTime = 2 * time.Second
	// maxWait bounds how long a hold call may wait.
	maxWait = 2000 * time.Millisecond
)

// runnerSettings configure one runner process.
type runnerSettings struct {
	Name    string `json:"name"`
	IP      string `json:"ip"`
	Service string `json:"service"`
	Rack    string `json:"rack"`
	// Log is the file to which all runners append what they start and end.
	Log string `json:"log"`
	// ClockFile holds how far the time of day of the runner's machine has jumped, in milliseconds. The runner
	// reads it when it starts.
	ClockFile string `json:"clock-file"`
	// ShedFile exists while the runner is unhealthy and answers 503 to each start.
	ShedFile string `json:"shed-file"`
}

// taskRun is a run in progress.
type taskRun struct {
	number    uint64
	startedAt time.Time
	// work is how long the run takes; 0 for a task that lasts.
	work time.Duration
}

// runEnd is an end that is listed until it is acknowledged.
type runEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
}

// runner is one life of a runner.
type runner struct {
	settings runnerSettings
	id       string
	born     int64
	beganAt  time.Time
	log      *os.File

	mu       sync.Mutex
	fence    uint64
	untilMS  int64
	running  map[string]*taskRun
	finished []runEnd
	lastEnd  uint64
	// highest is the highest run of a task that was stopped or has ended.
	highest map[string]uint64
	changed chan struct{}
	// draining is set once the runner is about to leave.
	draining bool
	// seq is the number of the last heartbeat.
	seq int
}

// runRunner runs a runner until its process is killed.
func runRunner(settingsFile string) error {
	var s runnerSettings
	data, err := os.ReadFile(settingsFile)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	log, err := os.OpenFile(s.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	jumped := int64(0)
	if data, err := os.ReadFile(s.ClockFile); err == nil {
		if jumped, err = strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err != nil {
			return err
		}
	}
	r := &runner{
		settings: s, id: "i-" + s.Name, born: clock.WallMS() + jumped, beganAt: clock.Steady(), log: log,
		running: make(map[string]*taskRun), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	r.note("up", "", 0, "")
	ctx := context.Background()
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", fmt.Sprintf("%s:%d", s.IP, portApp))
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	group.Go(func() {
		for clock.WaitForWake(ctx, nil, runnerTick) {
			r.endDueRuns(clock.Steady())
		}
	})
	group.Go(func() { r.sendHeartbeats(ctx) })
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	group.Go(func() {
		<-terminated
		r.leave(ctx)
	})
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	return server.Serve(ln)
}

// note appends a line about the runner or one of its runs to the log of all runners.
func (r *runner) note(event, task string, run uint64, how string) {
	data, err := json.Marshal(map[string]any{"at-ms": clock.WallMS(), "runner": r.settings.Name, "born": r.born, "event": event, "task": task, "run": run, "how": how})
	if err == nil {
		_, err = r.log.Write(append(data, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "runner log:", err)
	}
}

// clockMS returns the runner's clock: the milliseconds since it started, and 1 more.
func (r *runner) clockMS(now time.Time) int64 { return now.Sub(r.beganAt).Milliseconds() + 1 }

// parseWork returns how long a task takes, from a task specification like "work-ms=1500"; 0 for "lasts".
func parseWork(spec string) time.Duration {
	if v, ok := strings.CutPrefix(spec, "work-ms="); ok {
		if ms, err := strconv.Atoi(v); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// saved returns the newest checkpoint of a run.
func (t *taskRun) saved(now time.Time) string {
	n := int64(now.Sub(t.startedAt) / checkpointEvery)
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", n, t.number)
}

// percent returns the progress of a run; 100 for a task that lasts and is at work.
func (t *taskRun) percent(now time.Time) int {
	elapsed := now.Sub(t.startedAt)
	switch {
	case t.work > 0:
		return int(min(99, 100*elapsed/t.work))
	case elapsed >= startupTime:
		return 100
	}
	return 0
}

// endDueRuns ends the runs that are done, or all if the lease has expired.
func (r *runner) endDueRuns(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lapsed := r.clockMS(now) > r.untilMS
	tasks := make([]string, 0, len(r.running))
	for task := range r.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		t := r.running[task]
		switch {
		case lapsed:
			r.end(now, task, t, "lapsed")
		case t.work > 0 && now.Sub(t.startedAt) >= t.work:
			r.end(now, task, t, "done")
		}
	}
}

// end ends a run and lists its end. The caller holds mu.
func (r *runner) end(now time.Time, task string, t *taskRun, how string) {
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], t.number)
	r.lastEnd++
	r.finished = append(r.finished, runEnd{r.lastEnd, task, t.number, how, t.saved(now)})
	r.note("end", task, t.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// runnerCall is the body of a call to the runner.
type runnerCall struct {
	Task     string  `json:"task"`
	Run      uint64  `json:"run"`
	Spec     string  `json:"task-spec"`
	UntilMS  int64   `json:"until-ms"`
	Fence    uint64  `json:"fencing-token"`
	LastSeen uint64  `json:"last-seen"`
	WaitMS   float64 `json:"wait-ms"`
}

// ServeHTTP carries out a call of the agent.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c runnerCall
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := clock.Steady()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Fence < r.fence {
		r.answer(w, now, http.StatusConflict, "fence")
		return
	}
	r.fence = c.Fence
	r.untilMS = max(r.untilMS, min(c.UntilMS, r.clockMS(now)+maxHoldMS))
	switch req.URL.Path {
	case "/v1/run-start":
		if _, err := os.Stat(r.settings.ShedFile); err == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if reason := r.start(now, &c); reason != "" {
			r.answer(w, now, http.StatusConflict, reason)
			return
		}
	case "/v1/run-stop":
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if t := r.running[c.Task]; t != nil && t.number <= c.Run {
			r.end(now, c.Task, t, "stopped")
		}
	case "/v1/hold":
		r.hold(w, req, &c)
		return
	case "/v1/pace": // tasks of the cases share no machine, so that the pace changes nothing
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.answer(w, now, http.StatusOK, "")
}

// start starts a run, or returns why it does not. The caller holds mu.
func (r *runner) start(now time.Time, c *runnerCall) string {
	t := r.running[c.Task]
	switch {
	case t != nil && t.number == c.Run:
		return ""
	case t != nil || c.Run <= r.highest[c.Task]:
		return "old"
	case c.UntilMS <= r.clockMS(now):
		return "late"
	}
	r.running[c.Task] = &taskRun{number: c.Run, startedAt: now, work: parseWork(c.Spec)}
	r.note("start", c.Task, c.Run, "")
	return ""
}

// answer responds with the runner's clock and, if it refuses the call, the reason. The caller holds mu.
func (r *runner) answer(w http.ResponseWriter, now time.Time, status int, reason string) {
	body := map[string]any{"clock-ms": r.clockMS(now)}
	if reason != "" {
		body["reason"] = reason
	}
	r.write(w, status, body)
}

func (r *runner) write(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the agent has closed the connection
}

// hold drops the ends up to the acknowledged one and lists runs and ends. If there are no ends, it waits for
// one as long as the call allows. The caller holds mu.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, c *runnerCall) {
	kept := r.finished[:0]
	for _, e := range r.finished {
		if e.number > c.LastSeen {
			kept = append(kept, e)
		}
	}
	r.finished = kept
	if wait := min(time.Duration(c.WaitMS)*time.Millisecond, maxWait); wait > 0 && len(r.finished) == 0 {
		changed := r.changed
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(req.Context(), wait)
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
		r.mu.Lock()
	}
	now := clock.Steady()
	running, finished := [][]any{}, [][]any{}
	for task, t := range r.running {
		running = append(running, []any{task, t.number, t.saved(now), t.percent(now), 0})
	}
	for _, e := range r.finished[:min(len(r.finished), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	r.write(w, http.StatusOK, map[string]any{"clock-ms": r.clockMS(now), "born": r.born, "running": running, "finished": finished})
}

// sendHeartbeats sends a heartbeat to the agent on the runner's machine at regular intervals.
func (r *runner) sendHeartbeats(ctx context.Context) {
	for {
		r.sendHeartbeat(ctx)
		if !clock.WaitForWake(ctx, nil, heartbeatEvery) {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat.
func (r *runner) sendHeartbeat(ctx context.Context) {
	r.mu.Lock()
	r.seq++
	heartbeat := map[string]any{
		"service": r.settings.Service, "address": fmt.Sprintf("%s:%d", r.settings.IP, portApp), "zone": "a", "version": "v1", "slots": 8, "phase": "ready",
		"cold-left-ms": 0, "capacity": map[string]int{"cpu": 16000, "mem-mb": 64000, "gpu": 0}, "labels": []string{"a", r.settings.Rack},
		"clock-ms": r.clockMS(clock.Steady()), "seq": r.seq, "born": r.born,
	}
	if r.draining {
		heartbeat["phase"], heartbeat["remaining-ms"] = "draining", drainTime.Milliseconds()
	}
	r.mu.Unlock()
	r.callAgent(ctx, "heartbeat", heartbeat)
}

// callAgent sends a call about the runner to its agent.
func (r *runner) callAgent(ctx context.Context, verb string, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		fmt.Fprintln(os.Stderr, "runner:", err)
		return
	}
	url := fmt.Sprintf("http://%s:%d/v1/instances/%s/%s", r.settings.IP, portControl, r.id, verb)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		fmt.Fprintln(os.Stderr, "runner:", err)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// leave says that the runner drains, serves on for the time that the pages give, deregisters and ends.
func (r *runner) leave(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.sendHeartbeat(ctx)
	clock.WaitForWake(ctx, nil, drainTime)
	r.callAgent(ctx, "deregister", map[string]any{"born": r.born})
	r.note("left", "", 0, "")
	os.Exit(0)
}
