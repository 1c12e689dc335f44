package worker

import (
	"slices"
	"time"
)

// Parameters of a LatencyWindow.
const (
	// latencyWindow is the largest age of a sample that is counted.
	latencyWindow = 5 * time.Second
	// maxLatencySamples is the capacity of the ring buffer.
	maxLatencySamples = 1024
	// minLatencySamples is the number of samples below which no tail latency is
	// reported.
	minLatencySamples = 20
	// tailFraction is the fraction of samples at or above the tail latency: the
	// tail is the 99th percentile.
	tailFraction = 0.01
	// minSamplesInTail is the least number of samples at or above the tail
	// latency. With only one, a single slow request would set the result.
	minSamplesInTail = 2
)

type latencySample struct {
	endedAt time.Time
	latency time.Duration
}

// LatencyWindow keeps the latest request latencies of the service beside a worker in
// a ring buffer. The zero value is empty.
type LatencyWindow struct {
	ring []latencySample
	// next is the index of the oldest sample once the ring is full.
	next int
}

// Add records the latency of a request that ended at now.
func (t *LatencyWindow) Add(now time.Time, latency time.Duration) {
	l := latencySample{endedAt: now, latency: latency}
	if len(t.ring) < maxLatencySamples {
		t.ring = append(t.ring, l)
		return
	}
	t.ring[t.next] = l
	t.next = (t.next + 1) % maxLatencySamples
}

// TailLatency returns the 99th percentile of the samples of the last 5 s, or false if
// these are fewer than minLatencySamples. With fewer than 200 samples it returns the
// second largest.
func (t *LatencyWindow) TailLatency(now time.Time) (time.Duration, bool) {
	latencies := make([]time.Duration, 0, len(t.ring))
	for _, l := range t.ring {
		if now.Sub(l.endedAt) <= latencyWindow {
			latencies = append(latencies, l.latency)
		}
	}
	if len(latencies) < minLatencySamples {
		return 0, false
	}
	slices.Sort(latencies)
	samplesInTail := max(minSamplesInTail, int(float64(len(latencies))*tailFraction))
	return latencies[len(latencies)-samplesInTail], true
}
