package request

import (
	"slices"
	"time"
)

// outcome is how a request ended; late means that its deadline passed first.
type outcome uint8

const (
	answered outcome = iota
	refused
	late
)

// result holds the figures of one simulation.
type result struct {
	// length is the measured virtual time, end the virtual time at which it ended.
	length  time.Duration
	end     time.Time
	classes [2]classResult
	// goodRequests counts the requests answered before the end of the simulation
	// and before their deadlines, and goodWork is the sum of their service times.
	goodRequests int
	goodWork     time.Duration
}

// classResult holds the figures of one class of requests. A request that was not answered
// before its deadline counts with the whole time to its deadline as latency.
type classResult struct {
	latencies, crestLatencies, queueTimes []time.Duration
	answered, refused, late               int
}

// add records that a request ended at the virtual time now with an outcome.
func (r *result) add(now time.Time, c *call, end outcome) {
	k := &r.classes[c.class]
	latency := now.Sub(c.arrivedAt)
	switch end {
	case answered:
		k.answered++
		if !now.After(r.end) {
			r.goodRequests++
			r.goodWork += c.serviceTime
		}
	case refused:
		k.refused++
		latency = c.deadline.Sub(c.arrivedAt)
	case late:
		k.late++
	}
	k.latencies = append(k.latencies, latency)
	if c.atCrest {
		k.crestLatencies = append(k.crestLatencies, latency)
	}
	if c.started {
		k.queueTimes = append(k.queueTimes, c.queueTime)
	}
}

// merge adds the figures of another simulation of the same scenario and policy.
func (r *result) merge(other *result) {
	r.length += other.length
	r.goodWork += other.goodWork
	r.goodRequests += other.goodRequests
	for i := range r.classes {
		k, otherClass := &r.classes[i], &other.classes[i]
		k.latencies = append(k.latencies, otherClass.latencies...)
		k.crestLatencies = append(k.crestLatencies, otherClass.crestLatencies...)
		k.queueTimes = append(k.queueTimes, otherClass.queueTimes...)
		k.answered += otherClass.answered
		k.refused += otherClass.refused
		k.late += otherClass.late
	}
}

// goodput returns the requests answered in time per second.
func (r *result) goodput() float64 {
	return float64(r.goodRequests) / r.length.Seconds()
}

// usefulSlots returns the mean number of slots busy with requests that were
// answered in time.
func (r *result) usefulSlots() float64 { return r.goodWork.Seconds() / r.length.Seconds() }

// quantile sorts values in place and returns their q-quantile.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
