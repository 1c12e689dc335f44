package command

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestPlannedStopFinishesLongRequests stops an agent and then an entry while
// each has requests in flight that outlast the drain time.
func TestPlannedStopFinishesLongRequests(t *testing.T) {
	s := newSite(t, 2, 2)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := &traffic{s: s, pick: s.balancer(ctx)}
	for _, p := range []*process{s.processes[2], s.processes[0]} {
		var group sync.WaitGroup
		sent := make(chan struct{}, 8)
		for i := range 8 {
			group.Go(func() {
				body := fmt.Sprintf("long %d before %s stops", i, p.name)
				sent <- struct{}{}
				if err := load.sendWork(body, "3s"); err != nil {
					load.fail("%s: %v", body, err)
				}
			})
		}
		for range 8 {
			<-sent
		}
		s.eventually("requests in flight", func() bool { return s.working() == 8 })
		s.stop(p)
		group.Wait()
		s.start(p)
		s.awaitReady(p)
	}
	for _, f := range load.failures {
		t.Error(f)
	}
}

// working returns the number of requests on all runners.
func (s *site) working() int {
	n := 0
	for _, r := range s.runners {
		n += r.InFlight()
	}
	return n
}

func (l *traffic) sendWork(body, work string) error {
	return l.send(body, http.Header{"Standin-Work": {work}, "Savoryhoist-Deadline": {time.Minute.String()}})
}
