package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Parts of a site, as they appear in URL paths.
const (
	PartLog     = "log"
	PartWorkers = "workers"
	PartRunners = "runners"
)

// Site simulates a platform in one process: a log, and workers with one runner each.
type Site struct {
	log         Log
	workers     []*Worker
	runners     []*Runner
	connections map[string]*Connections
}

// NewSite returns a site with a number of workers of the given size, each with a runner
// with slotsPerRunner slots. now is the clock of the workers.
func NewSite(workers, slotsPerRunner int, size worker.Resources, now func() time.Time) *Site {
	s := &Site{connections: map[string]*Connections{PartLog: {}, PartWorkers: {}, PartRunners: {}}}
	for range workers {
		s.workers = append(s.workers, NewWorker(size, now))
		s.runners = append(s.runners, NewRunner(slotsPerRunner))
	}
	return s
}

// Counts records the activity of a site. The load tool compares it with what
// callers saw.
type Counts struct {
	// Requests holds, by request, how often it was run at all runners together.
	Requests map[string]int `json:"requests"`
	// Tasks holds the runs of each task, over all workers.
	Tasks map[string][]Run `json:"tasks"`
	// Overcommitted holds the names of the workers whose running tasks exceeded their
	// capacity at any time.
	Overcommitted []string `json:"overfull"`
	// Appends is the number of batches written to the log.
	Appends uint64 `json:"appends"`
}

// Counts returns the activity of the site so far.
func (s *Site) Counts() Counts {
	c := Counts{Requests: make(map[string]int), Tasks: make(map[string][]Run), Appends: s.log.Appends()}
	for i, w := range s.workers {
		for id, n := range s.runners[i].RequestCounts() {
			c.Requests[id] += n
		}
		for _, r := range w.Runs() {
			task, _, _ := strings.Cut(r.Key, "@")
			r.Worker = fmt.Sprintf("worker-%d", i+1)
			c.Tasks[task] = append(c.Tasks[task], r)
		}
		if w.Overcommitted() {
			c.Overcommitted = append(c.Overcommitted, fmt.Sprintf("worker-%d", i+1))
		}
	}
	return c
}

// Handler serves the log under /log, and workers and runners under
// /workers/<number> and /runners/<number>, counted from 1. PUT /faults/log,
// /faults/workers/<number> and /faults/runners/<number> set the faults of a part.
// PUT /silence/<part> stalls the open connections of a part.
func (s *Site) Handler() http.Handler {
	mux := http.NewServeMux()
	s.mount(mux, PartLog, "/log", s.log.Handler())
	for i := range s.workers {
		number := fmt.Sprintf("/%d", i+1)
		s.mount(mux, PartWorkers, "/workers"+number, s.workers[i].Handler())
		s.mount(mux, PartRunners, "/runners"+number, s.runners[i].Handler())
		mux.HandleFunc("PUT /faults/workers"+number, faultHandler(s.workers[i].SetFaults))
		mux.HandleFunc("PUT /faults/runners"+number, faultHandler(s.runners[i].SetFaults))
	}
	mux.HandleFunc("PUT /faults/log", faultHandler(s.log.SetFaults))
	mux.HandleFunc("PUT /silence/{part}", s.serveStall)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	return mux
}

// mount serves a handler of a part under a path prefix.
func (s *Site) mount(mux *http.ServeMux, part, prefix string, h http.Handler) {
	mux.Handle(prefix+"/", http.StripPrefix(prefix, s.connections[part].Wrap(h)))
}

func (s *Site) serveStall(w http.ResponseWriter, r *http.Request) {
	c, ok := s.connections[r.PathValue("part")]
	if !ok {
		http.Error(w, "part: want log, workers or runners", http.StatusNotFound)
		return
	}
	c.Stall()
}

// faultHandler returns a handler that decodes faults of type F and passes them to set.
func faultHandler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		in := json.NewDecoder(r.Body)
		in.DisallowUnknownFields()
		if err := in.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	}
}
