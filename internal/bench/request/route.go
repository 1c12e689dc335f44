package request

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// routeRounds is the number of decisions measured, in several parts of which
// the fastest counts.
const (
	routeRounds = 200_000
	routeParts  = 5
)

// routeCost returns the time in ns and the allocations of one routing
// decision, its end included, among n endpoints under load.
func routeCost(w io.Writer, n int) (ns, allocs float64) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a bench needs fixed seeds
	now := time.Unix(1, 0)
	var r endpoint.Router
	for i := range n {
		r.Table().Observe(now, endpoint.Report{
			Name: fmt.Sprintf("worker-%d", i), Incarnation: 1, Slots: slots, Load: endpoint.Load{InFlight: random.IntN(slots)},
		})
	}
	t := r.NewTicket(now, "preview", "team", 9, now.Add(time.Second), time.Millisecond)
	best := time.Duration(1 << 62)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range routeParts {
		began := time.Now()
		for range routeRounds {
			if d := r.Offer(now, random, t, ""); d.Verdict == endpoint.Start {
				r.Done(d.Endpoint, t)
			}
		}
		best = min(best, time.Since(began))
	}
	runtime.ReadMemStats(&after)
	ns = float64(best.Nanoseconds()) / routeRounds
	allocs = float64((after.Mallocs - before.Mallocs) / (routeRounds * routeParts))
	_, _ = fmt.Fprintf(w, "routing decision among %d endpoints: %.0f ns, %.0f allocations\n", n, ns, allocs)
	return ns, allocs
}
