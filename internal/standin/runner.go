package standin

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers by which a test tells the stand-in runner how to behave.
const (
	// HeaderWork is how long the request takes, as a Go duration.
	HeaderWork = "Standin-Work"
	// HeaderSilent makes the runner never answer.
	HeaderSilent = "Standin-Silent"
	// HeaderRequest is the caller's own name of a request, to count its runs by.
	HeaderRequest = "Standin-Request"
)

// RunnerFaults says how a runner misbehaves.
type RunnerFaults struct {
	// FailAll answers every request at once with an error of the service.
	FailAll bool `json:"fail-all"`
	// Silent never answers a request that arrives while it is set.
	Silent bool `json:"silent"`
	// DelayMS is added to the work of every request.
	DelayMS int64 `json:"delay-ms"`
}

// Runner is a stand-in of a service's runner: it works on at most slots
// requests at once and echoes their bodies.
type Runner struct {
	slots chan struct{}

	mu       sync.Mutex
	runs     map[string]int
	requests map[string]int
	faults   RunnerFaults
}

// NewRunner returns a runner with the given number of slots.
func NewRunner(slots int) *Runner {
	return &Runner{slots: make(chan struct{}, slots), runs: make(map[string]int), requests: make(map[string]int)}
}

// SetFaults switches the runner's faults.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Requests returns how often each request was worked on, by the caller's name of it.
func (r *Runner) Requests() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.requests)
}

// Runs returns how often each request id was worked on.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// Working returns the number of requests being worked on.
func (r *Runner) Working() int { return len(r.slots) }

// Handler serves the runner over HTTP.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runner/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, r.Runs()) })
	mux.HandleFunc("/", r.serve)
	return mux
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	faults := r.count(req)
	if faults.FailAll {
		http.Error(w, "the runner fails everything", http.StatusInternalServerError)
		return
	}
	if faults.Silent || req.Header.Get(HeaderSilent) != "" {
		<-req.Context().Done()
		return
	}
	work, _ := time.ParseDuration(req.Header.Get(HeaderWork))
	time.Sleep(work + time.Duration(faults.DelayMS)*time.Millisecond)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// count notes that the request is worked on and returns the present faults.
func (r *Runner) count(req *http.Request) RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id := req.Header.Get("Savoryhoist-Request-Id"); id != "" {
		r.runs[id]++
	}
	if id := req.Header.Get(HeaderRequest); id != "" {
		r.requests[id]++
	}
	return r.faults
}
