package request

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"
)

// Settings configure the benchmark.
type Settings struct {
	// Length is the measured virtual time of each simulation, after the warm-up.
	Length time.Duration
	// Seeds is the number of seeds with which each simulation runs.
	Seeds int
	// Calls is the number of requests with which the latency of each path to a
	// runner, and of each link, is measured.
	Calls int
}

// Summary is the benchmark's last line of output.
type Summary struct {
	Target                    string             `json:"target"`
	CrestP99RatioToRoundRobin float64            `json:"crest-p99-ratio-to-round-robin"`
	WorstP99RatioToBest       float64            `json:"worst-p99-ratio-to-best-baseline"`
	OverloadGoodputRatio      float64            `json:"overload-goodput-ratio"`
	OverloadUsefulWorkRatio   float64            `json:"overload-useful-work-ratio"`
	RouteNS11                 float64            `json:"route-ns-11"`
	RouteNS200                float64            `json:"route-ns-200"`
	RouteNS1400               float64            `json:"route-ns-1400"`
	RouteAllocs200            float64            `json:"route-allocs-200"`
	HopP50Ratio               float64            `json:"hop-p50-ratio"`
	HopCPURatio               float64            `json:"hop-cpu-ratio"`
	LinkP50US                 map[string]float64 `json:"link-p50-us"`
	LinkP99US                 map[string]float64 `json:"link-p99-us"`
	Seeds                     int                `json:"seeds"`
}

// Run writes all results to w as tables and text lines, and a Summary in JSON as
// the last line.
func Run(ctx context.Context, w io.Writer, s Settings) error {
	sum := Summary{Target: "bench-request", Seeds: s.Seeds, LinkP50US: map[string]float64{}, LinkP99US: map[string]float64{}}
	sum.OverloadGoodputRatio, sum.OverloadUsefulWorkRatio = math.Inf(1), math.Inf(1)
	for i := range deployments {
		c := compare(&deployments[i], s.Length, s.Seeds)
		c.print(w, &deployments[i])
		r := c.ratios()
		sum.CrestP99RatioToRoundRobin = max(sum.CrestP99RatioToRoundRobin, r.crestP99ToRoundRobin)
		sum.WorstP99RatioToBest = max(sum.WorstP99RatioToBest, r.worstP99ToBest)
		sum.OverloadGoodputRatio = min(sum.OverloadGoodputRatio, r.overloadGoodput)
		sum.OverloadUsefulWorkRatio = min(sum.OverloadUsefulWorkRatio, r.overloadUsefulWork)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintln(w)
	sum.RouteNS11, _ = measureRouteCost(w, 11)
	sum.RouteNS200, sum.RouteAllocs200 = measureRouteCost(w, 200)
	sum.RouteNS1400, _ = measureRouteCost(w, 1400)
	if err := sum.measureHops(ctx, w, s.Calls); err != nil {
		return err
	}
	if err := sum.measureLinks(ctx, w, s.Calls); err != nil {
		return err
	}
	line, err := json.Marshal(sum)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", line)
	return err
}
