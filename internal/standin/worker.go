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

// TaskPayload tells the stand-in worker how a task behaves. It is the JSON
// form of a job's payload.
type TaskPayload struct {
	RunMS int64 `json:"run-ms"`
	Fail  bool  `json:"fail"`
}

// defaultRun is how long a task without a payload runs.
const defaultRun = 100 * time.Millisecond

// WorkerFaults says how a worker misbehaves.
type WorkerFaults struct {
	// FailAll makes every task that starts from now on fail at once.
	FailAll bool `json:"fail-all"`
	// LoseVM drops every task once, as when the VM is replaced.
	LoseVM bool `json:"lose-vm"`
	// UsageLagMS is how old usage reports are.
	UsageLagMS int64 `json:"usage-lag-ms"`
}

// Run is one start of a task, for checks after a test.
type Run struct {
	Key   string             `json:"key"`
	Epoch uint64             `json:"epoch"`
	Ended services.TaskState `json:"ended,omitempty"`
	// Worker is filled in by Site.Counts.
	Worker string `json:"worker,omitempty"`
	// Spans are when the task made progress.
	Spans []Span `json:"spans,omitempty"`
}

// Span is a stretch of time in Unix microseconds.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// Worker is an in-memory worker that runs tasks under leases. Progress is
// computed from the clock when the worker is asked.
type Worker struct {
	total worker.Resources
	now   func() time.Time

	mu       sync.Mutex
	born     time.Time
	restarts int
	tasks    map[string]*task
	runs     []Run
	overfull bool
	faults   WorkerFaults
	usage    []timedUsage
}

// timedUsage is what the worker used at a moment.
type timedUsage struct {
	at    time.Time
	usage services.Usage
}

type task struct {
	run     int
	order   services.StartOrder
	state   services.TaskState
	need    time.Duration
	done    time.Duration
	saved   time.Duration
	seen    time.Time
	percent int64
	fail    bool
}

// NewWorker returns a worker of size total; now is its clock.
func NewWorker(total worker.Resources, now func() time.Time) *Worker {
	return &Worker{total: total, now: now, born: now(), tasks: make(map[string]*task)}
}

// LoseVM drops every task, as when the VM is replaced.
func (w *Worker) LoseVM() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseVM()
}

func (w *Worker) loseVM() {
	w.progress()
	w.restarts++
	w.born = w.now()
	w.tasks = make(map[string]*task)
}

// FailAll makes every task that starts from now on fail at once.
func (w *Worker) FailAll(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.FailAll = on
}

// SetFaults switches the worker's faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.LoseVM {
		w.loseVM()
	}
	w.faults = f
}

// Runs returns every start so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress()
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
	w.progress()
	n := 0
	for _, t := range w.tasks {
		if !t.state.Ended() {
			n++
		}
	}
	return n
}

// Overfull reports whether running tasks ever exceeded the worker's size.
func (w *Worker) Overfull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overfull
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
	w.progress()
	out := services.Listing{
		Incarnation: fmt.Sprintf("%d", w.restarts),
		UptimeMS:    w.uptime().Milliseconds(),
		Total:       w.total,
	}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, t.view())
	}
	writeJSON(rw, http.StatusOK, out)
}

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
	w.progress()
	key := services.TaskKey(order.Hold())
	if _, ok := w.tasks[key]; ok {
		return
	}
	if order.UntilMS <= w.uptime().Milliseconds() {
		http.Error(rw, "the lease has ended", http.StatusConflict)
		return
	}
	w.tasks[key] = w.newTask(order)
	w.runs = append(w.runs, Run{Key: key, Epoch: order.Epoch})
	w.checkSize()
}

func (w *Worker) newTask(order services.StartOrder) *task {
	p := TaskPayload{RunMS: defaultRun.Milliseconds()}
	if len(order.Payload) > 0 {
		_ = json.Unmarshal(order.Payload, &p)
	}
	t := &task{
		run: len(w.runs), order: order, state: services.TaskRunning, seen: w.now(), percent: 100,
		need: time.Duration(p.RunMS) * time.Millisecond, fail: p.Fail || w.faults.FailAll,
	}
	var ms int64
	if _, err := fmt.Sscanf(order.Ref, "done-ms=%d", &ms); err == nil {
		t.done = time.Duration(ms) * time.Millisecond
	}
	if w.faults.FailAll {
		t.need = 0
	}
	return t
}

func (w *Worker) checkSize() {
	var sum worker.Resources
	for _, t := range w.tasks {
		if !t.state.Ended() {
			sum = sum.Plus(t.order.Size)
		}
	}
	if !sum.Fits(w.total) {
		w.overfull = true
	}
}

func (w *Worker) uptime() time.Duration { return w.now().Sub(w.born) }

// progress brings every task up to the present, leases included.
func (w *Worker) progress() {
	now := w.now()
	for _, t := range w.tasks {
		if t.state.Ended() {
			continue
		}
		until := w.born.Add(time.Duration(t.order.UntilMS) * time.Millisecond)
		end := now
		t.state = services.TaskRunning
		if until.Before(now) {
			end = until
			t.state = services.TaskHeld
		}
		w.run(t, end)
		t.seen = now
	}
}

// run lets a task make progress until end.
func (w *Worker) run(t *task, end time.Time) {
	if end.After(t.seen) && t.percent > 0 {
		t.done += end.Sub(t.seen) * time.Duration(t.percent) / 100
		if over := t.done - t.need; over > 0 {
			end = end.Add(-over * 100 / time.Duration(t.percent))
		}
		w.runs[t.run].extend(t.seen, end)
	}
	if t.done < t.need {
		return
	}
	t.state = services.TaskSucceeded
	if t.fail {
		t.state = services.TaskFailed
		t.order.Detail = "the task failed"
	}
	w.runs[t.run].Ended = t.state
}

// extend notes that the task made progress from one moment to another.
func (r *Run) extend(from, to time.Time) {
	if n := len(r.Spans); n > 0 && r.Spans[n-1].To == from.UnixMicro() {
		r.Spans[n-1].To = to.UnixMicro()
		return
	}
	r.Spans = append(r.Spans, Span{From: from.UnixMicro(), To: to.UnixMicro()})
}

func (w *Worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var renewals []services.Renewal
	if err := json.NewDecoder(r.Body).Decode(&renewals); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress()
	for _, n := range renewals {
		if t, ok := w.tasks[n.Key]; ok && n.UntilMS > t.order.UntilMS {
			t.order.UntilMS = n.UntilMS
		}
	}
}

func (w *Worker) withTask(rw http.ResponseWriter, r *http.Request, fn func(key string, t *task)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress()
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
		t.saved = t.done
		t.order.Ref = fmt.Sprintf("done-ms=%d", t.saved.Milliseconds())
		writeJSON(rw, http.StatusOK, t.view())
	})
}

func (w *Worker) serveThrottle(rw http.ResponseWriter, r *http.Request) {
	var percent int64
	if err := json.NewDecoder(r.Body).Decode(&percent); err != nil || percent < 0 || percent > 100 {
		http.Error(rw, "want a percentage", http.StatusBadRequest)
		return
	}
	w.withTask(rw, r, func(_ string, t *task) { t.percent = percent })
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(_ string, t *task) {
		if !t.state.Ended() {
			t.state = services.TaskStopped
			w.runs[t.run].Ended = t.state
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

// usageKeep is the most usage reports that are remembered for the lag.
const usageKeep = 1024

func (w *Worker) serveUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress()
	w.usage = append(w.usage, timedUsage{at: w.now(), usage: w.used()})
	if len(w.usage) > usageKeep {
		w.usage = slices.Clone(w.usage[len(w.usage)-usageKeep:])
	}
	writeJSON(rw, http.StatusOK, w.laggingUsage())
}

// laggingUsage returns the newest report that is as old as the lag.
func (w *Worker) laggingUsage() services.Usage {
	until := w.now().Add(-time.Duration(w.faults.UsageLagMS) * time.Millisecond)
	out := services.Usage{Tasks: make(map[string]worker.Resources)}
	for _, u := range w.usage {
		if !u.at.After(until) {
			out = u.usage
		}
	}
	return out
}

func (w *Worker) used() services.Usage {
	out := services.Usage{Tasks: make(map[string]worker.Resources)}
	for k, t := range w.tasks {
		if t.state == services.TaskRunning {
			out.Tasks[k] = t.order.Size
			out.Used = out.Used.Plus(t.order.Size)
		}
	}
	return out
}
