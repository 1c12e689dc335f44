package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxBundle bounds a signed bundle, in bytes.
const maxBundle = 4 << 20

// Status is the JSON form of what an entry knows.
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
	e.jobs.fold.Each(func(j *job.Job) bool {
		for i := range j.Tasks() {
			s.Tasks[j.Task(i).Phase().String()]++
		}
		return true
	})
	for name, v := range e.jobs.workers {
		s.Workers = append(s.Workers, WorkerStatus{
			Name: name, Ready: v.heartbeat.Ready, Leaving: v.heartbeat.Leaving,
			SilentMS: now.Sub(v.heard).Milliseconds(), Bundle: v.heartbeat.Bundle,
		})
	}
	e.jobs.mu.Unlock()
	e.routes.mu.Lock()
	for service, p := range e.routes.routers {
		p.Table().Each(func(p *endpoint.Endpoint) {
			s.Endpoints = append(s.Endpoints, EndpointStatus{Name: p.Name(), Service: service, InFlight: p.InFlight(), Leaving: p.Leaving()})
		})
	}
	e.routes.mu.Unlock()
	e.bundleMu.Lock()
	s.BundleVersion, s.BundleDigest = e.chain.Version(), e.chain.Digest()
	e.bundleMu.Unlock()
	for _, m := range e.neighbours(now) {
		s.Entries = append(s.Entries, m.Name)
	}
	return s
}

// BundleResult is the JSON form of what became of a published bundle.
type BundleResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version-in-force"`
	Digest   string `json:"digest-in-force"`
	Detail   string `json:"detail,omitempty"`
}

// publishWait bounds the wait until the bundle was read back from the log.
const publishWait = 10 * time.Second

// publishPoll is how often the chain is looked at meanwhile.
const publishPoll = 50 * time.Millisecond

func (e *Entry) servePublish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBundle))
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body", "the bundle is too large").Write(w)
		return
	}
	signed, err := bundle.DecodeSigned(data)
	if err == nil {
		err = e.precheck(signed)
	}
	if err != nil && !errors.Is(err, bundle.ErrInForce) {
		problem.New(http.StatusConflict, "bundle", err.Error()).Write(w)
		return
	}
	if err := e.bundles.Append(r.Context(), &record.Bundle{Signed: data}); err != nil {
		p := problem.New(http.StatusServiceUnavailable, "", "the log is slow; publishing the same bundle again is safe")
		p.Outcome = problem.Unknown
		p.Write(w)
		return
	}
	e.awaitVersion(w, r, signed)
}

// precheck refuses a bundle that could not come in force now.
func (e *Entry) precheck(s *bundle.Signed) error {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	trial := *e.chain
	return trial.Offer(s)
}

// awaitVersion answers with what became of the bundle.
func (e *Entry) awaitVersion(w http.ResponseWriter, r *http.Request, s *bundle.Signed) {
	digest := bundle.Digest(s.Content())
	d, err := bundle.Parse(s.Content())
	if err != nil {
		problem.New(http.StatusBadRequest, "bundle", err.Error()).Write(w)
		return
	}
	for waited := time.Duration(0); waited < publishWait; waited += publishPoll {
		e.bundleMu.Lock()
		result := BundleResult{Version: e.chain.Version(), Digest: e.chain.Digest()}
		e.bundleMu.Unlock()
		if result.Digest == digest {
			result.Accepted = true
			writeJSON(w, http.StatusOK, result)
			return
		}
		if result.Version >= d.Version {
			result.Detail = "another bundle with the same parent came first"
			writeJSON(w, http.StatusConflict, result)
			return
		}
		if !pause(r.Context(), publishPoll) {
			return
		}
	}
	p := problem.New(http.StatusGatewayTimeout, "", "the bundle has not been read back from the log yet")
	p.Outcome = problem.Unknown
	p.Write(w)
}

func (e *Entry) serveBundle(w http.ResponseWriter, _ *http.Request) {
	e.bundleMu.Lock()
	signed := e.chain.Signed()
	e.bundleMu.Unlock()
	if signed == nil {
		problem.New(http.StatusNotFound, "bundle", "no bundle is in force yet").Write(w)
		return
	}
	data, err := signed.Encode()
	if err != nil {
		problem.New(http.StatusInternalServerError, "", err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}
