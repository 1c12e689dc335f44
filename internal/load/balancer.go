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
	// urls are the URLs of all entries.
	urls []string

	mu sync.Mutex
	// ready are the URLs of the entries that were ready at the last check.
	ready []string
	// next counts the calls of Pick.
	next int
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
		b.checkReadiness(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// checkReadiness checks the readiness of all entries once, in parallel.
func (b *Balancer) checkReadiness(ctx context.Context) {
	isReady := make([]bool, len(b.urls))
	var group sync.WaitGroup
	for i, url := range b.urls {
		group.Go(func() { isReady[i] = b.isReady(ctx, url) })
	}
	group.Wait()
	var ready []string
	for i, ok := range isReady {
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
