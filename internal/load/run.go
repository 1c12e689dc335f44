package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// ErrNotReady means that no entry of a site is ready.
var ErrNotReady = errors.New("no entry is ready")

// Variant is one site under load. A run with a baseline has two variants, in this order: the
// baseline and the present version of the system.
type Variant struct {
	Name string
	// EntryURLs are the URLs of the site's entries.
	EntryURLs []string
	// StandinURL is the URL of the site's stand-ins; if empty, checks that need their counts are skipped.
	StandinURL string
}

// Settings configure a run.
type Settings struct {
	Plan     *Plan
	Seed     uint64
	Variants []Variant
	// ProgressWriter gets a line of progress every progressInterval.
	ProgressWriter io.Writer
}

// Run executes a plan once.
type Run struct {
	settings Settings
	client   *http.Client
	// balancers holds one balancer for each variant.
	balancers []*Balancer
	startedAt time.Time

	mu       sync.Mutex
	requests []RequestObservation
	jobs     []JobObservation
	errs     []error
}

// Limits and times of the load generator's own calls.
const (
	maxIdleConnsPerHost = 512
	// readyTimeout bounds the wait until each variant has a ready entry.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	progressInterval  = 2 * time.Second
	// responseTimeout is the longest wait for the response to any call. It also ends
	// requests that have no deadline.
	responseTimeout = 30 * time.Second
)

// NewRun returns a run that has not been started.
func NewRun(s Settings) *Run {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	r := &Run{settings: s, client: &http.Client{Transport: transport}}
	for _, v := range s.Variants {
		r.balancers = append(r.balancers, NewBalancer(r.client, v.EntryURLs))
	}
	return r
}

// Do sends the plan's load, waits until its jobs have ended or the settle time is
// over, and returns the observations of callers and stand-ins.
func (r *Run) Do(ctx context.Context) (*Observations, error) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, b := range r.balancers {
		group.Go(func() { b.Run(ctx) })
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.startedAt = time.Now()
	group.Go(func() { r.showProgress(ctx) })
	group.Go(func() { r.injectFaults(ctx) })
	sent := make(chan struct{})
	jobsEnded := make(chan struct{})
	group.Go(func() { r.watchJobs(ctx, sent, jobsEnded) })
	r.sendArrivals(ctx)
	close(sent)
	<-jobsEnded
	return r.collect(ctx)
}

// awaitReady waits until every variant has a ready entry, for at most readyTimeout.
func (r *Run) awaitReady(ctx context.Context) error {
	for waited := time.Duration(0); waited < readyTimeout; waited += readyPollInterval {
		ready := 0
		for _, b := range r.balancers {
			if b.Pick() != "" {
				ready++
			}
		}
		if ready == len(r.balancers) {
			return nil
		}
		if !delay.For(ctx, readyPollInterval) {
			return ctx.Err()
		}
	}
	return ErrNotReady
}

// sendArrivals starts every request and job when it is due, regardless of how
// many are still in progress (open loop).
func (r *Run) sendArrivals(ctx context.Context) {
	var group sync.WaitGroup
	for i, a := range r.settings.Plan.Schedule(r.settings.Seed, len(r.balancers)) {
		if !sleepUntil(ctx, r.startedAt.Add(a.due)) {
			break
		}
		id := fmt.Sprintf("%s-%d-%d", r.settings.Plan.Name, r.settings.Seed, i)
		if a.isJob {
			group.Go(func() { r.runJob(ctx, id, a) })
		} else {
			group.Go(func() { r.runRequest(ctx, id, a) })
		}
	}
	group.Wait()
}

// showProgress writes a line of progress every progressInterval until ctx ends.
func (r *Run) showProgress(ctx context.Context) {
	for delay.For(ctx, progressInterval) {
		r.mu.Lock()
		requests, jobs := len(r.requests), len(r.jobs)
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.settings.ProgressWriter, "%s: %s of %s, %d requests, %d jobs\n", r.settings.Plan.Name,
			time.Since(r.startedAt).Round(time.Second), r.settings.Plan.Duration, requests, jobs)
	}
}

// addError records an error of the load generator, which counts as a violation.
func (r *Run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// sleepUntil waits until t or the end of ctx, and reports whether t was reached first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return delay.For(ctx, d)
}
