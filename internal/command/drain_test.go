package command

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestGracefulStopFinishesLongRequests stops an agent and then an entry by
// SIGTERM while requests are in flight that take longer than the drain time.
// None of them may fail.
func TestGracefulStopFinishesLongRequests(t *testing.T) {
	s := newSite(t, 2, 2)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := &traffic{s: s, pickEntry: s.balancer(ctx)}
	for _, p := range []*process{s.processes[2], s.processes[0]} {
		var group sync.WaitGroup
		sent := make(chan struct{}, 8)
		for i := range 8 {
			group.Go(func() {
				body := fmt.Sprintf("long %d before %s stops", i, p.name)
				sent <- struct{}{}
				if err := load.sendRequestWithWork(body, "3s"); err != nil {
					load.addFailure("%s: %v", body, err)
				}
			})
		}
		for range 8 {
			<-sent
		}
		s.eventually("requests in flight", func() bool { return s.requestsInFlight() == 8 })
		s.stop(p)
		group.Wait()
		s.start(p)
		s.awaitReady(p)
	}
	for _, f := range load.failures {
		t.Error(f)
	}
}

// requestsInFlight returns the number of requests that all runners work on.
func (s *site) requestsInFlight() int {
	n := 0
	for _, r := range s.runners {
		n += r.InFlight()
	}
	return n
}

// sendRequestWithWork sends a request on which the stand-in runner works for the duration work.
func (l *traffic) sendRequestWithWork(body, work string) error {
	return l.send(body, http.Header{"Standin-Work": {work}, "Savoryhoist-Deadline": {time.Minute.String()}})
}
