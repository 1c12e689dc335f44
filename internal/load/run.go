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

// ErrNotReady means that no entry became ready.
var ErrNotReady = errors.New("no entry became ready")

// Variant is one site under load.
type Variant struct {
	Name string
	// Entries are the URLs of the site's entries.
	Entries []string
	// Standin is the URL of the site's stand-ins, or "" to skip checks against them.
	Standin string
}

// Settings configure a run.
type Settings struct {
	Plan     *Plan
	Seed     uint64
	Variants []Variant
	// Progress gets a line every few seconds.
	Progress io.Writer
}

// Run is one run of a plan.
type Run struct {
	settings  Settings
	client    *http.Client
	balancers []*Balancer
	start     time.Time

	mu       sync.Mutex
	requests []RequestSeen
	jobs     []JobSeen
	errs     []error
}

// Limits of the tool's own connections and waits.
const (
	maxIdle      = 512
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	progressTime = 2 * time.Second
	// answerTimeout ends a request that was given no deadline.
	answerTimeout = 30 * time.Second
)

// NewRun returns a run that has not begun.
func NewRun(s Settings) *Run {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	r := &Run{settings: s, client: &http.Client{Transport: transport}}
	for _, v := range s.Variants {
		r.balancers = append(r.balancers, NewBalancer(r.client, v.Entries))
	}
	return r
}

// Do sends the plan's load, waits for its jobs, and returns what was seen.
func (r *Run) Do(ctx context.Context) (*Seen, error) {
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
	r.start = time.Now()
	group.Go(func() { r.showProgress(ctx) })
	group.Go(func() { r.switchFaults(ctx) })
	sent := make(chan struct{})
	watched := make(chan struct{})
	group.Go(func() { r.watchJobs(ctx, sent, watched) })
	r.send(ctx)
	close(sent)
	<-watched
	return r.collect(ctx)
}

func (r *Run) awaitReady(ctx context.Context) error {
	for waited := time.Duration(0); waited < readyTimeout; waited += readyPoll {
		ready := 0
		for _, b := range r.balancers {
			if b.Pick() != "" {
				ready++
			}
		}
		if ready == len(r.balancers) {
			return nil
		}
		if !delay.For(ctx, readyPoll) {
			return ctx.Err()
		}
	}
	return ErrNotReady
}

// send starts every arrival when it is due, however many are still under way.
func (r *Run) send(ctx context.Context) {
	var group sync.WaitGroup
	for i, a := range r.settings.Plan.Schedule(r.settings.Seed, len(r.balancers)) {
		if !pauseUntil(ctx, r.start.Add(a.at)) {
			break
		}
		id := fmt.Sprintf("%s-%d-%d", r.settings.Plan.Name, r.settings.Seed, i)
		if a.job {
			group.Go(func() { r.submit(ctx, id, a) })
		} else {
			group.Go(func() { r.request(ctx, id, a) })
		}
	}
	group.Wait()
}

func (r *Run) showProgress(ctx context.Context) {
	for delay.For(ctx, progressTime) {
		r.mu.Lock()
		requests, jobs := len(r.requests), len(r.jobs)
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.settings.Progress, "%s: %s of %s, %d requests, %d jobs\n", r.settings.Plan.Name,
			time.Since(r.start).Round(time.Second), r.settings.Plan.Duration, requests, jobs)
	}
}

func (r *Run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func pauseUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return delay.For(ctx, d)
}
