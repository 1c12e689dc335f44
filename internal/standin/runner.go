package standin

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers that control how the simulated runner handles a request.
const (
	// HeaderWork is the service time of the request, as a Go duration.
	HeaderWork = "Standin-Work"
	// HeaderSilent, if not empty, makes the runner never respond.
	HeaderSilent = "Standin-Silent"
	// HeaderRequest is the caller's own identifier of a request; see RequestCounts.
	HeaderRequest = "Standin-Request"
)

// RunnerFaults selects the faults that a runner simulates.
type RunnerFaults struct {
	// FailAll makes every request fail at once with status 500.
	FailAll bool `json:"fail-all"`
	// Silent makes the runner never respond to the requests that it starts while Silent is
	// set.
	Silent bool `json:"silent"`
	// DelayMS is added to the service time of every request, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
}

// Runner simulates the runner of a service: it runs at most slots requests at once
// and echoes their bodies.
type Runner struct {
	slots chan struct{}

	mu sync.Mutex
	// runCounts holds how often each request was run by its Savoryhoist-Request-Id,
	// requestCounts by its identifier in HeaderRequest.
	runCounts     map[string]int
	requestCounts map[string]int
	faults        RunnerFaults
}

// NewRunner returns a runner with the given number of slots.
func NewRunner(slots int) *Runner {
	return &Runner{slots: make(chan struct{}, slots), runCounts: make(map[string]int), requestCounts: make(map[string]int)}
}

// SetFaults replaces the faults that the runner simulates.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// RequestCounts returns how often each request was run, by the identifier in HeaderRequest.
func (r *Runner) RequestCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.requestCounts)
}

// RunCounts returns how often each request was run, by its Savoryhoist-Request-Id.
func (r *Runner) RunCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runCounts)
}

// InFlight returns the number of requests that are being run.
func (r *Runner) InFlight() int { return len(r.slots) }

// Handler serves the runner over HTTP.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runner/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, r.RunCounts()) })
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
	faults := r.countRequest(req)
	if faults.FailAll {
		http.Error(w, "the runner is set to fail every request", http.StatusInternalServerError)
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

// countRequest counts one run of a request and returns the present faults.
func (r *Runner) countRequest(req *http.Request) RunnerFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id := req.Header.Get("Savoryhoist-Request-Id"); id != "" {
		r.runCounts[id]++
	}
	if id := req.Header.Get(HeaderRequest); id != "" {
		r.requestCounts[id]++
	}
	return r.faults
}
