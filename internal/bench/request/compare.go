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

// scenario is a load under which policies are compared. If crest is set, the scenario is
// not run: its results are those of the requests of the swing scenario that arrived at
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

// compare simulates a deployment under every scenario and policy, with a number of seeds
// each. duration is the measured virtual time of each simulation.
func compare(d *deployment, duration time.Duration, seeds int) *comparison {
	var out comparison
	var group sync.WaitGroup
	var mu sync.Mutex
	simulations := make(chan func())
	for range maxParallelRuns {
		group.Go(func() {
			for run := range simulations {
				run()
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
				simulations <- func() {
					r := simulate(d, comparedPolicies[k].newPolicy, scenarios[i].load, duration, uint64(seed))
					mu.Lock()
					defer mu.Unlock()
					out[i][k].merge(r)
				}
			}
		}
	}
	close(simulations)
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

// targetRatios are the figures of a comparison for which there is a target: the 99th
// percentile of the short class's latency at the crest, divided by that of round-robin;
// the worst ratio, over all scenarios, of this percentile to that of the best baseline;
// and the goodput and the useful work under overload, divided by those at full capacity.
type targetRatios struct {
	crestP99ToRoundRobin, worstP99ToBest, overloadGoodput, overloadUsefulWork float64
}

func (c *comparison) ratios() targetRatios {
	var out targetRatios
	for i := range scenarios {
		own := quantile(shortClassLatencies(i, c[i][0]), 0.99)
		best := time.Duration(0)
		for k := 1; k < len(comparedPolicies); k++ {
			p99 := quantile(shortClassLatencies(i, c[i][k]), 0.99)
			if best == 0 || p99 < best {
				best = p99
			}
		}
		out.worstP99ToBest = max(out.worstP99ToBest, own.Seconds()/best.Seconds())
	}
	own := quantile(c[crestScenario][0].classes[0].crestLatencies, 0.99)
	roundRobin := quantile(c[crestScenario][roundRobinIndex].classes[0].crestLatencies, 0.99)
	out.crestP99ToRoundRobin = own.Seconds() / roundRobin.Seconds()
	atCapacity, overloaded := c[capacityScenario][0], c[overloadScenario][0]
	out.overloadGoodput = overloaded.goodput() / atCapacity.goodput()
	out.overloadUsefulWork = overloaded.usefulSlots() / atCapacity.usefulSlots()
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
			latencies := shortClassLatencies(i, r)
			_, _ = fmt.Fprintf(w, "%-6s %-16s %8.1f %8.1f %8.1f %9.1f %9.1f %9.1f %9.0f %8.1f %8d %8d\n",
				scenarios[i].name, comparedPolicies[k].name, toMilliseconds(quantile(latencies, 0.5)), toMilliseconds(quantile(latencies, 0.99)), toMilliseconds(quantile(latencies, 0.999)),
				toMilliseconds(quantile(r.classes[0].queueTimes, 0.99)), toMilliseconds(quantile(r.classes[1].latencies, 0.5)), toMilliseconds(quantile(r.classes[1].latencies, 0.99)),
				r.goodput(), r.usefulSlots(), r.classes[0].refused+r.classes[1].refused, r.classes[0].late+r.classes[1].late)
		}
	}
}

func toMilliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
