package request

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// The routing decisions are timed in several rounds, of which the fastest counts.
const (
	decisionsPerRound = 200_000
	decisionRounds    = 5
)

// measureRouteCost returns the time in ns and the allocations of one routing decision
// among a number of loaded endpoints, including the release of the chosen endpoint, and
// prints them to w.
func measureRouteCost(w io.Writer, endpoints int) (ns, allocs float64) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // fixed seed for repeatable results
	now := time.Unix(1, 0)
	var r endpoint.Router
	for i := range endpoints {
		r.Table().Observe(now, endpoint.Report{
			Name: fmt.Sprintf("worker-%d", i), Incarnation: 1, Slots: slotsPerEndpoint, Load: endpoint.Load{InFlight: random.IntN(slotsPerEndpoint)},
		})
	}
	t := r.NewSlotRequest(now, "preview", "team", 9, now.Add(time.Second), time.Millisecond)
	fastest := time.Duration(1 << 62)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range decisionRounds {
		began := time.Now()
		for range decisionsPerRound {
			if d := r.Offer(now, random, t, ""); d.Verdict == endpoint.Start {
				r.Done(d.Endpoint, t)
			}
		}
		fastest = min(fastest, time.Since(began))
	}
	runtime.ReadMemStats(&after)
	ns = float64(fastest.Nanoseconds()) / decisionsPerRound
	allocs = float64((after.Mallocs - before.Mallocs) / (decisionsPerRound * decisionRounds))
	_, _ = fmt.Fprintf(w, "routing decision among %d endpoints: %.0f ns, %.0f allocations\n", endpoints, ns, allocs)
	return ns, allocs
}
