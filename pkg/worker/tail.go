package worker

import (
	"slices"
	"time"
)

// Limits of a Tail.
const (
	// tailWindow is how old a latency may be to count.
	tailWindow = 5 * time.Second
	// tailSamples is the most latencies that are kept.
	tailSamples = 1024
	// leastSamples is the number of latencies below which nothing is said.
	leastSamples = 20
	// tailPart is the part of latencies that may be above the tail.
	tailPart = 0.01
	// leastAbove is the number of latencies above the tail below which one slow
	// request would decide.
	leastAbove = 2
)

type latency struct {
	at   time.Time
	took time.Duration
}

// Tail keeps the latest latencies of a service beside a worker. The zero value
// has none.
type Tail struct {
	ring []latency
	next int
}

// Add takes in one latency, seen at now.
func (t *Tail) Add(now time.Time, took time.Duration) {
	l := latency{at: now, took: took}
	if len(t.ring) < tailSamples {
		t.ring = append(t.ring, l)
		return
	}
	t.ring[t.next] = l
	t.next = (t.next + 1) % tailSamples
}

// Read returns the tail latency, or false if there are too few samples.
func (t *Tail) Read(now time.Time) (time.Duration, bool) {
	took := make([]time.Duration, 0, len(t.ring))
	for _, l := range t.ring {
		if now.Sub(l.at) <= tailWindow {
			took = append(took, l.took)
		}
	}
	if len(took) < leastSamples {
		return 0, false
	}
	slices.Sort(took)
	above := max(leastAbove, int(float64(len(took))*tailPart))
	return took[len(took)-above], true
}
