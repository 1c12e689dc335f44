package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Times of the readiness checks.
const (
	readinessCheckInterval = 50 * time.Millisecond
	readinessCheckTimeout  = 500 * time.Millisecond
)

// Balancer simulates the platform's load balancer: it checks which entries are
// ready and returns the ready ones in turn.
type Balancer struct {
	client *http.Client
	urls   []string

	mu    sync.Mutex
	ready []string
	next  int
}

// NewBalancer returns a balancer for the entries at urls.
func NewBalancer(client *http.Client, urls []string) *Balancer {
	return &Balancer{client: client, urls: urls}
}

// Run checks the entries' readiness regularly until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(readinessCheckInterval)
	defer tick.Stop()
	for {
		b.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	states := make([]bool, len(b.urls))
	var group sync.WaitGroup
	for i, url := range b.urls {
		group.Go(func() { states[i] = b.isReady(ctx, url) })
	}
	group.Wait()
	var ready []string
	for i, ok := range states {
		if ok {
			ready = append(ready, b.urls[i])
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *Balancer) isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Pick returns the URL of the next ready entry, or "" if none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}
