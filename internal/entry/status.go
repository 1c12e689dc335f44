package entry

import (
	"net/http"
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
	"savoryhoist.example/savoryhoist/pkg/job"
)

// Status is the JSON form of an entry's view of its data centre.
type Status struct {
	Entry         string           `json:"entry"`
	DataCentre    string           `json:"data-centre"`
	BundleVersion uint64           `json:"bundle-version"`
	BundleDigest  string           `json:"bundle-digest"`
	Entries       []string         `json:"entries"`
	Endpoints     []EndpointStatus `json:"endpoints"`
	Workers       []WorkerStatus   `json:"workers"`
	Tasks         map[string]int   `json:"tasks"`
}

// EndpointStatus is the JSON form of an entry's view of an endpoint.
type EndpointStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	InFlight int    `json:"in-flight"`
	Leaving  bool   `json:"leaving"`
}

// WorkerStatus is the JSON form of an entry's view of a worker.
type WorkerStatus struct {
	Name     string `json:"name"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	SilentMS int64  `json:"silent-ms"`
	Bundle   string `json:"bundle"`
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.status(time.Now()))
}

func (e *Entry) status(now time.Time) Status {
	s := Status{Entry: e.settings.Name, DataCentre: e.settings.DataCentre, Tasks: make(map[string]int)}
	e.jobs.mu.Lock()
	e.jobs.state.Each(func(j *job.Job) bool {
		for i := range j.TaskCount() {
			s.Tasks[j.Task(i).Phase().String()]++
		}
		return true
	})
	for name, v := range e.jobs.workers {
		s.Workers = append(s.Workers, WorkerStatus{
			Name: name, Ready: v.heartbeat.Ready, Leaving: v.heartbeat.Draining,
			SilentMS: now.Sub(v.lastContact).Milliseconds(), Bundle: v.heartbeat.BundleDigest,
		})
	}
	e.jobs.mu.Unlock()
	e.routes.mu.Lock()
	for service, p := range e.routes.routers {
		p.Table().Each(func(p *endpoint.Endpoint) {
			s.Endpoints = append(s.Endpoints, EndpointStatus{Name: p.Name(), Service: service, InFlight: p.InFlight(), Leaving: p.Draining()})
		})
	}
	e.routes.mu.Unlock()
	e.bundleMu.Lock()
	s.BundleVersion, s.BundleDigest = e.bundle.chain.Version(), e.bundle.chain.Digest()
	e.bundleMu.Unlock()
	for _, m := range e.localEntries(now) {
		s.Entries = append(s.Entries, m.Name)
	}
	return s
}
