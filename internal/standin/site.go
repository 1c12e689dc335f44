package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Parts of a site, as named in paths.
const (
	PartLog     = "log"
	PartWorkers = "workers"
	PartRunners = "runners"
)

// Site is one platform in one process: a log, and workers with a runner each.
type Site struct {
	log         Log
	workers     []*Worker
	runners     []*Runner
	connections map[string]*Connections
}

// NewSite returns a site of count workers of the given size; now is its clock.
func NewSite(count, slots int, size worker.Resources, now func() time.Time) *Site {
	s := &Site{connections: map[string]*Connections{PartLog: {}, PartWorkers: {}, PartRunners: {}}}
	for range count {
		s.workers = append(s.workers, NewWorker(size, now))
		s.runners = append(s.runners, NewRunner(slots))
	}
	return s
}

// Counts is what a site has seen; the load tool compares it with what callers saw.
type Counts struct {
	// Requests is how often each request was worked on, over all runners.
	Requests map[string]int `json:"requests"`
	// Tasks holds the runs of each task, over all workers.
	Tasks map[string][]Run `json:"tasks"`
	// Overfull names the workers that were given more than they have.
	Overfull []string `json:"overfull"`
	Appends  uint64   `json:"appends"`
}

// Counts returns what the site has seen so far.
func (s *Site) Counts() Counts {
	c := Counts{Requests: make(map[string]int), Tasks: make(map[string][]Run), Appends: s.log.Appends()}
	for i, w := range s.workers {
		for id, n := range s.runners[i].Requests() {
			c.Requests[id] += n
		}
		for _, r := range w.Runs() {
			task, _, _ := strings.Cut(r.Key, "@")
			r.Worker = fmt.Sprintf("worker-%d", i+1)
			c.Tasks[task] = append(c.Tasks[task], r)
		}
		if w.Overfull() {
			c.Overfull = append(c.Overfull, fmt.Sprintf("worker-%d", i+1))
		}
	}
	return c
}

// Handler serves the log under /log, workers and runners under /workers/<number>
// and /runners/<number>, counted from 1. Faults are switched by PUT
// /faults/<part> and /faults/<part>/<number>; PUT /silence/<part> makes the
// open connections of a part go silent.
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
	mux.HandleFunc("PUT /silence/{part}", s.serveSilence)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	return mux
}

func (s *Site) mount(mux *http.ServeMux, part, prefix string, h http.Handler) {
	mux.Handle(prefix+"/", http.StripPrefix(prefix, s.connections[part].Wrap(h)))
}

func (s *Site) serveSilence(w http.ResponseWriter, r *http.Request) {
	c, ok := s.connections[r.PathValue("part")]
	if !ok {
		http.Error(w, "part: want log, workers or runners", http.StatusNotFound)
		return
	}
	c.Silence()
}

// faultHandler reads faults of type F and hands them to set.
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
