package standin

import (
	"io"
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
)

// Runner is a stand-in of a service's runner: it works on at most slots
// requests at once and echoes their bodies.
type Runner struct {
	slots chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// NewRunner returns a runner with the given number of slots.
func NewRunner(slots int) *Runner {
	return &Runner{slots: make(chan struct{}, slots), runs: make(map[string]int)}
}

// Runs returns how often each request id was worked on.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.runs))
	for k, v := range r.runs {
		out[k] = v
	}
	return out
}

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
	if id := req.Header.Get("Savoryhoist-Request-Id"); id != "" {
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
	}
	if req.Header.Get(HeaderSilent) != "" {
		<-req.Context().Done()
		return
	}
	if d, err := time.ParseDuration(req.Header.Get(HeaderWork)); err == nil {
		time.Sleep(d)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
