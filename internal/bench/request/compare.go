package request

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// comparedPolicy is one of the routing policies to compare.
type comparedPolicy struct {
	name      string
	newPolicy func(*sim) policy
}

// comparedPolicies begins with the policy of pkg/endpoint; the others are
// baselines.
var comparedPolicies = [...]comparedPolicy{
	{"savoryhoist", newRouterPolicy},
	{"random", newRandom},
	{"round-robin", newRoundRobin},
	{"least-in-flight", newLeastInFlight},
	{"one-fifo-queue", newCentralQueue},
}

// roundRobinIndex is the index of round-robin in comparedPolicies.
const roundRobinIndex = 2

// scenario is a load under which policies are compared. If crest is set, it is
// not run: its results are the requests of the swing scenario that arrived at
// the crest.
type scenario struct {
	name  string
	load  loadProfile
	crest bool
}

var scenarios = [...]scenario{
	{name: "0.3", load: steadyLoad(0.3)},
	{name: "0.6", load: steadyLoad(0.6)},
	{name: "0.8", load: steadyLoad(0.8)},
	{name: "1.0", load: steadyLoad(1.0)},
	{name: "1.2", load: steadyLoad(1.2)},
	{name: "1.5", load: steadyLoad(1.5)},
	{name: "swing", load: swingLoad},
	{name: "crest", crest: true},
}

// Indexes in scenarios.
const (
	capacityScenario = 3
	overloadScenario = 5
	swingScenario    = 6
	crestScenario    = 7
)

// comparison holds the results by scenario and policy.
type comparison [len(scenarios)][len(comparedPolicies)]*result

// maxParallelRuns is the number of simulations that run at the same time.
const maxParallelRuns = 3

// compare simulates a deployment under every scenario and policy, with several
// seeds each.
func compare(d *deployment, length time.Duration, seeds int) *comparison {
	var out comparison
	var group sync.WaitGroup
	var mu sync.Mutex
	jobs := make(chan func())
	for range maxParallelRuns {
		group.Go(func() {
			for job := range jobs {
				job()
			}
		})
	}
	for i := range scenarios {
		if scenarios[i].crest {
			continue
		}
		for k := range comparedPolicies {
			out[i][k] = &result{}
			for seed := range seeds {
				jobs <- func() {
					r := simulate(d, comparedPolicies[k].newPolicy, scenarios[i].load, length, uint64(seed))
					mu.Lock()
					defer mu.Unlock()
					out[i][k].merge(r)
				}
			}
		}
	}
	close(jobs)
	group.Wait()
	out[crestScenario] = out[swingScenario]
	return &out
}

// shortClassLatencies returns the latencies of the short class in scenario i.
func shortClassLatencies(i int, r *result) []time.Duration {
	if scenarios[i].crest {
		return r.classes[0].crestLatencies
	}
	return r.classes[0].latencies
}

// ratios are the figures of a comparison for which there is a target.
type ratios struct {
	crestToRoundRobin, worstToBest, overloadGoodput, overloadWork float64
}

func (c *comparison) ratios() ratios {
	var out ratios
	for i := range scenarios {
		own := quantile(shortClassLatencies(i, c[i][0]), 0.99)
		best := time.Duration(0)
		for k := 1; k < len(comparedPolicies); k++ {
			v := quantile(shortClassLatencies(i, c[i][k]), 0.99)
			if best == 0 || v < best {
				best = v
			}
		}
		out.worstToBest = max(out.worstToBest, own.Seconds()/best.Seconds())
	}
	own := quantile(c[crestScenario][0].classes[0].crestLatencies, 0.99)
	other := quantile(c[crestScenario][roundRobinIndex].classes[0].crestLatencies, 0.99)
	out.crestToRoundRobin = own.Seconds() / other.Seconds()
	full, over := c[capacityScenario][0], c[overloadScenario][0]
	out.overloadGoodput = over.goodput() / full.goodput()
	out.overloadWork = over.usefulSlots() / full.usefulSlots()
	return out
}

// print writes a comparison as a table.
func (c *comparison) print(w io.Writer, d *deployment) {
	_, _ = fmt.Fprintf(w, "\n%s: milliseconds; a request without an answer in time counts as its whole deadline\n", d.name)
	_, _ = fmt.Fprintf(w, "%-6s %-16s %8s %8s %8s %9s %9s %9s %9s %8s %8s %8s\n", "load", "policy",
		"p50", "p99", "p99.9", "hol-p99", "long-p50", "long-p99", "goodput/s", "slots", "refused", "late")
	for i := range scenarios {
		for k := range comparedPolicies {
			r := c[i][k]
			times := shortClassLatencies(i, r)
			_, _ = fmt.Fprintf(w, "%-6s %-16s %8.1f %8.1f %8.1f %9.1f %9.1f %9.1f %9.0f %8.1f %8d %8d\n",
				scenarios[i].name, comparedPolicies[k].name, ms(quantile(times, 0.5)), ms(quantile(times, 0.99)), ms(quantile(times, 0.999)),
				ms(quantile(r.classes[0].queueTimes, 0.99)), ms(quantile(r.classes[1].latencies, 0.5)), ms(quantile(r.classes[1].latencies, 0.99)),
				r.goodput(), r.usefulSlots(), r.classes[0].refused+r.classes[1].refused, r.classes[0].late+r.classes[1].late)
		}
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1e3 }
