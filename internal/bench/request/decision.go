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

// routeCost returns the time in ns and the allocations of one routing decision
// among n loaded endpoints, including the release of the chosen endpoint.
func routeCost(w io.Writer, n int) (ns, allocs float64) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // fixed seed for repeatable results
	now := time.Unix(1, 0)
	var r endpoint.Router
	for i := range n {
		r.Table().Observe(now, endpoint.Report{
			Name: fmt.Sprintf("worker-%d", i), Incarnation: 1, Slots: slotsPerEndpoint, Load: endpoint.Load{InFlight: random.IntN(slotsPerEndpoint)},
		})
	}
	t := r.NewTicket(now, "preview", "team", 9, now.Add(time.Second), time.Millisecond)
	best := time.Duration(1 << 62)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range decisionRounds {
		began := time.Now()
		for range decisionsPerRound {
			if d := r.Offer(now, random, t, ""); d.Verdict == endpoint.Start {
				r.Done(d.Endpoint, t)
			}
		}
		best = min(best, time.Since(began))
	}
	runtime.ReadMemStats(&after)
	ns = float64(best.Nanoseconds()) / decisionsPerRound
	allocs = float64((after.Mallocs - before.Mallocs) / (decisionsPerRound * decisionRounds))
	_, _ = fmt.Fprintf(w, "routing decision among %d endpoints: %.0f ns, %.0f allocations\n", n, ns, allocs)
	return ns, allocs
}
