package load

import (
	"fmt"
	"math"
	"slices"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"savoryhoist.example/savoryhoist/internal/problem"
)

// Range and precision of latency histograms, in microseconds.
const (
	minLatencyUS             = 1
	maxLatencyUS             = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// Result is the measured result of a run, in its JSON form.
type Result struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	Passed   bool           `json:"passed"`
	Requests []StreamResult `json:"requests"`
	Jobs     []JobResult    `json:"jobs"`
	// Appends is the number of appends to the log.
	Appends    uint64   `json:"appends"`
	Ratios     []Ratio  `json:"ratios,omitempty"`
	Violations []string `json:"violations"`
}

// StreamResult is the result of one stream of requests at one variant.
type StreamResult struct {
	Stream   string  `json:"stream"`
	Variant  string  `json:"variant"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	P50MS    float64 `json:"p50-ms"`
	P99MS    float64 `json:"p99-ms"`
	P999MS   float64 `json:"p999-ms"`
	MaxMS    float64 `json:"max-ms"`
	// Quantiles and Series are the points of the plots: latency by quantile, and
	// the 99th percentile of latency by time of arrival.
	Quantiles []Point `json:"quantiles,omitempty"`
	Series    []Point `json:"series,omitempty"`
}

// Point is a point of a plot. Y is in milliseconds; X is the number of nines of a
// quantile (2 is 99 %), or the seconds since the start.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// JobResult is the result of one stream of jobs at one variant.
type JobResult struct {
	Stream    string `json:"stream"`
	Variant   string `json:"variant"`
	Submitted int    `json:"submitted"`
	Accepted  int    `json:"accepted"`
	Succeeded int    `json:"succeeded"`
	Cancelled int    `json:"cancelled"`
	Failed    int    `json:"failed"`
	// CancelMisses counts cancellations of accepted jobs that were answered with 404.
	CancelMisses int `json:"cancel-misses"`
	// Starts counts the starts of the jobs' tasks.
	Starts int     `json:"starts"`
	P50MS  float64 `json:"p50-ms"`
	MaxMS  float64 `json:"max-ms"`
}

// Ratio is the latency of a stream of requests at the last variant of a run,
// divided by its latency at the first variant, the baseline.
type Ratio struct {
	Stream string  `json:"stream"`
	P50    float64 `json:"p50"`
	P99    float64 `json:"p99"`
}

// maxReportedViolations is how many violations a result lists.
const maxReportedViolations = 20

// Result computes the result of a run from its observations.
func (s *Observations) Result() *Result {
	violations := s.Violations()
	r := &Result{Name: s.plan.Name, Seed: s.seed, Passed: len(violations) == 0, Violations: violations}
	if n := len(violations); n > maxReportedViolations {
		r.Violations = append(slices.Clone(violations[:maxReportedViolations]), fmt.Sprintf("and %d more", n-maxReportedViolations))
	}
	for _, c := range s.counts {
		r.Appends += c.Appends
	}
	for v, variant := range s.variants {
		for i := range s.plan.Requests {
			r.Requests = append(r.Requests, s.streamResult(i, v, variant))
		}
		for i := range s.plan.Jobs {
			r.Jobs = append(r.Jobs, s.jobResult(i, v, variant))
		}
	}
	r.Ratios = s.ratios(r)
	return r
}

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencySignificantDigits)
}

// recordLatency adds a latency to h; one out of range counts as the nearest
// value in range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyUS), maxLatencyUS))
}

// percentileMS returns a percentile of a histogram's latencies in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// streamResult returns the result of the stream of requests and the variant with these indexes.
func (s *Observations) streamResult(stream, variant int, variantName string) StreamResult {
	out := StreamResult{Stream: s.plan.Requests[stream].Name, Variant: variantName}
	histogram := newHistogram()
	for i := range s.requests {
		q := &s.requests[i]
		if q.stream != stream || q.variant != variant {
			continue
		}
		out.Sent++
		switch q.outcome {
		case problem.Run:
			out.Answered++
			recordLatency(histogram, q.latency)
		case problem.NotRun:
			out.Refused++
		default:
			out.Unknown++
		}
	}
	out.P50MS, out.P99MS = percentileMS(histogram, 50), percentileMS(histogram, 99)
	out.P999MS, out.MaxMS = percentileMS(histogram, 99.9), percentileMS(histogram, 100)
	for _, nines := range []float64{0, 1, 2, 3} {
		percentile := 100 * (1 - math.Pow(10, -nines))
		out.Quantiles = append(out.Quantiles, Point{X: nines, Y: percentileMS(histogram, percentile)})
	}
	out.Series = s.series(stream, variant)
	return out
}

// jobResult returns the result of the stream of jobs and the variant with these indexes.
func (s *Observations) jobResult(stream, variant int, variantName string) JobResult {
	out := JobResult{Stream: s.plan.Jobs[stream].Name, Variant: variantName}
	histogram := newHistogram()
	for i := range s.jobs {
		j := &s.jobs[i]
		if j.stream != stream || j.variant != variant {
			continue
		}
		out.Submitted++
		if !j.accepted {
			continue
		}
		out.Accepted++
		out.CancelMisses += j.cancelMisses
		for t := range j.tasks {
			out.Starts += len(s.counts[variant].Tasks[fmt.Sprintf("%s.%d", j.id, t)])
		}
		switch j.phase {
		case "succeeded":
			out.Succeeded++
			recordLatency(histogram, j.latency)
		case "cancelled":
			out.Cancelled++
		case "failed", "parked":
			out.Failed++
		}
	}
	out.P50MS, out.MaxMS = percentileMS(histogram, 50), percentileMS(histogram, 100)
	return out
}

// ratios returns the ratios of r's results to those of the baseline, or nil without a baseline.
func (s *Observations) ratios(r *Result) []Ratio {
	if len(s.variants) < 2 {
		return nil
	}
	var out []Ratio
	n := len(s.plan.Requests)
	for i := range n {
		first, last := &r.Requests[i], &r.Requests[(len(s.variants)-1)*n+i]
		if first.P50MS == 0 || first.P99MS == 0 {
			continue
		}
		out = append(out, Ratio{Stream: first.Stream, P50: last.P50MS / first.P50MS, P99: last.P99MS / first.P99MS})
	}
	return out
}

// seriesInterval is the span of arrival times that one point of a series covers.
const seriesInterval = 500 * time.Millisecond

// series returns the 99th percentile of the latency by time of arrival, for the stream of requests
// and the variant with these indexes.
func (s *Observations) series(stream, variant int) []Point {
	intervals := make([]*hdrhistogram.Histogram, int(s.plan.Duration/seriesInterval)+1)
	for i := range s.requests {
		q := &s.requests[i]
		if q.stream != stream || q.variant != variant || q.outcome != problem.Run {
			continue
		}
		interval := int(q.due / seriesInterval)
		if intervals[interval] == nil {
			intervals[interval] = newHistogram()
		}
		recordLatency(intervals[interval], q.latency)
	}
	var out []Point
	for i, h := range intervals {
		if h != nil {
			out = append(out, Point{X: (time.Duration(i) * seriesInterval).Seconds(), Y: percentileMS(h, 99)})
		}
	}
	return out
}
