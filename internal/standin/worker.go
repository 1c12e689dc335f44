package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// TaskPayload tells the simulated worker how a task behaves. A job's payload holds
// it in JSON.
type TaskPayload struct {
	// RunMS is how long the task runs in total at full speed, in milliseconds.
	RunMS int64 `json:"run-ms"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail"`
}

// defaultTaskWork is how long a task without a payload runs at full speed.
const defaultTaskWork = 100 * time.Millisecond

// WorkerFaults selects the faults that a worker simulates.
type WorkerFaults struct {
	// FailAll makes every task that starts from now on fail at once.
	FailAll bool `json:"fail-all"`
	// LoseVM drops every task when the faults are set, as the replacement of the VM does.
	LoseVM bool `json:"lose-vm"`
	// UsageLagMS is how far usage reports lag behind, in milliseconds.
	UsageLagMS int64 `json:"usage-lag-ms"`
}

// Run is one run of a task, recorded for checks after a test.
type Run struct {
	Key   string `json:"key"`
	Epoch uint64 `json:"epoch"`
	// EndState is the state in which the run ended, or "" if it has not.
	EndState services.TaskState `json:"ended,omitempty"`
	// Worker is filled in by Site.Counts.
	Worker string `json:"worker,omitempty"`
	// Spans holds the periods in which the task made progress.
	Spans []Span `json:"spans,omitempty"`
}

// Span is a period of time, with its bounds in Unix microseconds.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// Worker is an in-memory worker that runs tasks under leases. It computes their
// progress up to the present at each call.
type Worker struct {
	total worker.Resources
	now   func() time.Time

	mu        sync.Mutex
	startedAt time.Time
	// incarnation counts the replacements of the VM.
	incarnation   int
	tasks         map[string]*task
	runs          []Run
	overcommitted bool
	faults        WorkerFaults
	usageReports  []timedUsage
}

// timedUsage is the resource use of the worker at a point in time.
type timedUsage struct {
	at    time.Time
	usage services.Usage
}

// task is a task at the worker. Its work is measured in running time at full speed;
// doneWork is the work done up to advancedTo.
type task struct {
	// runIndex is the index of the task's run in Worker.runs.
	runIndex         int
	order            services.StartOrder
	state            services.TaskState
	requiredWork     time.Duration
	doneWork         time.Duration
	checkpointedWork time.Duration
	advancedTo       time.Time
	cpuPercent       int64
	fail             bool
}

// NewWorker returns a worker with the capacity total; now is its clock.
func NewWorker(total worker.Resources, now func() time.Time) *Worker {
	return &Worker{total: total, now: now, startedAt: now(), tasks: make(map[string]*task)}
}

// LoseVM drops every task, as when the VM is replaced.
func (w *Worker) LoseVM() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseVM()
}

func (w *Worker) loseVM() {
	w.advance()
	w.incarnation++
	w.startedAt = w.now()
	w.tasks = make(map[string]*task)
}

// FailAll sets whether every task that starts from now on fails at once.
func (w *Worker) FailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.FailAll = fail
}

// SetFaults replaces the faults that the worker simulates.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.LoseVM {
		w.loseVM()
	}
	w.faults = f
}

// Runs returns all runs so far, in the order of their starts.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		r.Spans = slices.Clone(r.Spans)
		out[i] = r
	}
	return out
}

// Running returns the number of tasks that have not ended.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	n := 0
	for _, t := range w.tasks {
		if !t.state.Ended() {
			n++
		}
	}
	return n
}

// Overcommitted reports whether the running tasks exceeded the worker's capacity at any time.
func (w *Worker) Overcommitted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommitted
}

// Handler serves the worker over HTTP.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tasks", w.serveList)
	mux.HandleFunc("POST /tasks", w.serveStart)
	mux.HandleFunc("POST /renew", w.serveRenew)
	mux.HandleFunc("POST /tasks/{key}/checkpoint", w.serveCheckpoint)
	mux.HandleFunc("POST /tasks/{key}/throttle", w.serveThrottle)
	mux.HandleFunc("POST /tasks/{key}/stop", w.serveStop)
	mux.HandleFunc("DELETE /tasks/{key}", w.serveRemove)
	mux.HandleFunc("GET /usage", w.serveUsage)
	mux.HandleFunc("GET /runs", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.Runs()) })
	return mux
}

func (w *Worker) serveList(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	out := services.TaskList{
		Incarnation: fmt.Sprintf("%d", w.incarnation),
		UptimeMS:    w.uptime().Milliseconds(),
		Total:       w.total,
	}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, t.view())
	}
	writeJSON(rw, http.StatusOK, out)
}

// view returns the task as the worker lists it.
func (t *task) view() services.WorkerTask {
	v := t.order.WorkerTask
	v.State = t.state
	return v
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var order services.StartOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	key := services.TaskKey(order.Assignment())
	if _, ok := w.tasks[key]; ok {
		return
	}
	if order.LeaseEndMS <= w.uptime().Milliseconds() {
		http.Error(rw, "the task's lease has already ended", http.StatusConflict)
		return
	}
	w.tasks[key] = w.newTask(order)
	w.runs = append(w.runs, Run{Key: key, Epoch: order.Epoch})
	w.checkOvercommit()
}

func (w *Worker) newTask(order services.StartOrder) *task {
	p := TaskPayload{RunMS: defaultTaskWork.Milliseconds()}
	if len(order.Payload) > 0 {
		_ = json.Unmarshal(order.Payload, &p)
	}
	t := &task{
		runIndex: len(w.runs), order: order, state: services.TaskRunning, advancedTo: w.now(), cpuPercent: 100,
		requiredWork: time.Duration(p.RunMS) * time.Millisecond, fail: p.Fail || w.faults.FailAll,
	}
	var ms int64
	if _, err := fmt.Sscanf(order.CheckpointRef, "done-ms=%d", &ms); err == nil {
		t.doneWork = time.Duration(ms) * time.Millisecond
	}
	if w.faults.FailAll {
		t.requiredWork = 0
	}
	return t
}

func (w *Worker) checkOvercommit() {
	var sum worker.Resources
	for _, t := range w.tasks {
		if !t.state.Ended() {
			sum = sum.Plus(t.order.Size)
		}
	}
	if !sum.Fits(w.total) {
		w.overcommitted = true
	}
}

func (w *Worker) uptime() time.Duration { return w.now().Sub(w.startedAt) }

// advance updates the progress and the state of every task to the present time, as
// far as its lease allows.
func (w *Worker) advance() {
	now := w.now()
	for _, t := range w.tasks {
		if t.state.Ended() {
			continue
		}
		leaseEnd := w.startedAt.Add(time.Duration(t.order.LeaseEndMS) * time.Millisecond)
		end := now
		t.state = services.TaskRunning
		if leaseEnd.Before(now) {
			end = leaseEnd
			t.state = services.TaskSuspended
		}
		w.advanceTask(t, end)
		t.advancedTo = now
	}
}

// advanceTask adds the progress of a task until end, and ends the task if its work is
// done.
func (w *Worker) advanceTask(t *task, end time.Time) {
	if end.After(t.advancedTo) && t.cpuPercent > 0 {
		t.doneWork += end.Sub(t.advancedTo) * time.Duration(t.cpuPercent) / 100
		if excess := t.doneWork - t.requiredWork; excess > 0 {
			end = end.Add(-excess * 100 / time.Duration(t.cpuPercent))
		}
		w.runs[t.runIndex].addProgress(t.advancedTo, end)
	}
	if t.doneWork < t.requiredWork {
		return
	}
	t.state = services.TaskSucceeded
	if t.fail {
		t.state = services.TaskFailed
		t.order.Detail = "the task failed"
	}
	w.runs[t.runIndex].EndState = t.state
}

// addProgress records that the task made progress between two points in time.
func (r *Run) addProgress(from, to time.Time) {
	if n := len(r.Spans); n > 0 && r.Spans[n-1].To == from.UnixMicro() {
		r.Spans[n-1].To = to.UnixMicro()
		return
	}
	r.Spans = append(r.Spans, Span{From: from.UnixMicro(), To: to.UnixMicro()})
}

func (w *Worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var renewals []services.LeaseRenewal
	if err := json.NewDecoder(r.Body).Decode(&renewals); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, renewal := range renewals {
		if t, ok := w.tasks[renewal.Key]; ok && renewal.LeaseEndMS > t.order.LeaseEndMS {
			t.order.LeaseEndMS = renewal.LeaseEndMS
		}
	}
}

// withTask calls fn with the task that the request's path names, or responds that there
// is none.
func (w *Worker) withTask(rw http.ResponseWriter, r *http.Request, fn func(key string, t *task)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	key := r.PathValue("key")
	t, ok := w.tasks[key]
	if !ok {
		http.Error(rw, "no such task", http.StatusNotFound)
		return
	}
	fn(key, t)
}

func (w *Worker) serveCheckpoint(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(_ string, t *task) {
		t.checkpointedWork = t.doneWork
		t.order.CheckpointRef = fmt.Sprintf("done-ms=%d", t.checkpointedWork.Milliseconds())
		writeJSON(rw, http.StatusOK, t.view())
	})
}

func (w *Worker) serveThrottle(rw http.ResponseWriter, r *http.Request) {
	var percent int64
	if err := json.NewDecoder(r.Body).Decode(&percent); err != nil || percent < 0 || percent > 100 {
		http.Error(rw, "want a percentage from 0 to 100", http.StatusBadRequest)
		return
	}
	w.withTask(rw, r, func(_ string, t *task) { t.cpuPercent = percent })
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(_ string, t *task) {
		if !t.state.Ended() {
			t.state = services.TaskStopped
			w.runs[t.runIndex].EndState = t.state
		}
	})
}

func (w *Worker) serveRemove(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(key string, t *task) {
		if !t.state.Ended() {
			http.Error(rw, "the task has not ended", http.StatusConflict)
			return
		}
		delete(w.tasks, key)
	})
}

// maxUsageReports is the number of usage reports that are stored to simulate the lag.
const maxUsageReports = 1024

func (w *Worker) serveUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.usageReports = append(w.usageReports, timedUsage{at: w.now(), usage: w.currentUsage()})
	if len(w.usageReports) > maxUsageReports {
		w.usageReports = slices.Clone(w.usageReports[len(w.usageReports)-maxUsageReports:])
	}
	writeJSON(rw, http.StatusOK, w.laggingUsage())
}

// laggingUsage returns the newest report that is at least as old as the lag.
func (w *Worker) laggingUsage() services.Usage {
	newestVisible := w.now().Add(-time.Duration(w.faults.UsageLagMS) * time.Millisecond)
	out := services.Usage{Tasks: make(map[string]worker.Resources)}
	for _, u := range w.usageReports {
		if !u.at.After(newestVisible) {
			out = u.usage
		}
	}
	return out
}

// currentUsage returns the usage of the running tasks, each of which uses all resources
// that it requested.
func (w *Worker) currentUsage() services.Usage {
	out := services.Usage{Tasks: make(map[string]worker.Resources)}
	for k, t := range w.tasks {
		if t.state == services.TaskRunning {
			out.Tasks[k] = t.order.Size
			out.Used = out.Used.Plus(t.order.Size)
		}
	}
	return out
}
