package request

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// contender is a policy under comparison.
type contender struct {
	name string
	make func(*sim) policy
}

// contenders holds the policy of pkg/endpoint first.
var contenders = [...]contender{
	{"savoryhoist", newRouted},
	{"random", newRandom},
	{"round-robin", newRoundRobin},
	{"least-in-flight", newLeastInFlight},
	{"one-fifo-queue", newOneLine},
}

const roundRobin = 2

// scenario is a load under which policies are compared.
type scenario struct {
	name  string
	load  load
	crest bool
}

var scenarios = [...]scenario{
	{name: "0.3", load: steady(0.3)},
	{name: "0.6", load: steady(0.6)},
	{name: "0.8", load: steady(0.8)},
	{name: "1.0", load: steady(1.0)},
	{name: "1.2", load: steady(1.2)},
	{name: "1.5", load: steady(1.5)},
	{name: "swing", load: swing},
	{name: "crest", crest: true},
}

const (
	atCapacity = 3
	atOverload = 5
	atSwing    = 6
	atCrest    = 7
)

// comparison holds the results of every policy under every scenario.
type comparison [len(scenarios)][len(contenders)]*result

// workers is the number of runs at once.
const workers = 3

// compare runs all policies of a deployment with several seeds.
func compare(d *deployment, length time.Duration, seeds int) *comparison {
	var out comparison
	var group sync.WaitGroup
	var mu sync.Mutex
	jobs := make(chan func())
	for range workers {
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
		for k := range contenders {
			out[i][k] = &result{}
			for seed := range seeds {
				jobs <- func() {
					r := simulate(d, contenders[k].make, scenarios[i].load, length, uint64(seed))
					mu.Lock()
					defer mu.Unlock()
					out[i][k].merge(r)
				}
			}
		}
	}
	close(jobs)
	group.Wait()
	out[atCrest] = out[atSwing]
	return &out
}

// shortTimes returns the times of the short class that count in a scenario.
func shortTimes(i int, r *result) []time.Duration {
	if scenarios[i].crest {
		return r.classes[0].crest
	}
	return r.classes[0].times
}

// ratios are the figures of a comparison that have an aim.
type ratios struct {
	crestToRoundRobin, worstToBest, overloadGoodput, overloadWork float64
}

func (c *comparison) ratios() ratios {
	var out ratios
	for i := range scenarios {
		own := quantile(shortTimes(i, c[i][0]), 0.99)
		best := time.Duration(0)
		for k := 1; k < len(contenders); k++ {
			v := quantile(shortTimes(i, c[i][k]), 0.99)
			if best == 0 || v < best {
				best = v
			}
		}
		out.worstToBest = max(out.worstToBest, own.Seconds()/best.Seconds())
	}
	own := quantile(c[atCrest][0].classes[0].crest, 0.99)
	other := quantile(c[atCrest][roundRobin].classes[0].crest, 0.99)
	out.crestToRoundRobin = own.Seconds() / other.Seconds()
	full, over := c[atCapacity][0], c[atOverload][0]
	out.overloadGoodput = over.goodput() / full.goodput()
	out.overloadWork = over.usefulSlots() / full.usefulSlots()
	return out
}

// print writes the table of a comparison.
func (c *comparison) print(w io.Writer, d *deployment) {
	_, _ = fmt.Fprintf(w, "\n%s: milliseconds; a request without an answer in time counts as its whole deadline\n", d.name)
	_, _ = fmt.Fprintf(w, "%-6s %-16s %8s %8s %8s %9s %9s %9s %9s %8s %8s %8s\n", "load", "policy",
		"p50", "p99", "p99.9", "hol-p99", "long-p50", "long-p99", "goodput/s", "slots", "refused", "late")
	for i := range scenarios {
		for k := range contenders {
			r := c[i][k]
			times := shortTimes(i, r)
			_, _ = fmt.Fprintf(w, "%-6s %-16s %8.1f %8.1f %8.1f %9.1f %9.1f %9.1f %9.0f %8.1f %8d %8d\n",
				scenarios[i].name, contenders[k].name, ms(quantile(times, 0.5)), ms(quantile(times, 0.99)), ms(quantile(times, 0.999)),
				ms(quantile(r.classes[0].waits, 0.99)), ms(quantile(r.classes[1].times, 0.5)), ms(quantile(r.classes[1].times, 0.99)),
				r.goodput(), r.usefulSlots(), r.classes[0].refused+r.classes[1].refused, r.classes[0].late+r.classes[1].late)
		}
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1e3 }
