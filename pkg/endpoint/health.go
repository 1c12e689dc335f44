package endpoint

import (
	"math/rand/v2"
	"time"
)

// Parameters of ejection, which takes failing endpoints out of use for a while.
const (
	// failureWeight is the weight of a new sample in an endpoint's failure rate.
	failureWeight = 0.2
	// ejectFailureRate is the failure rate at which an endpoint is ejected.
	ejectFailureRate = 0.6
	// minEjectSamples is the least number of results before an ejection.
	minEjectSamples = 5
	// failingServiceRate is the mean failure rate of the other endpoints above
	// which the service itself counts as failing and nothing is ejected.
	failingServiceRate = 0.3
	// maxEjectedDivisor bounds the ejected endpoints to this fraction of all: one
	// in so many.
	maxEjectedDivisor = 3
	// minEjection is the least duration of a first ejection. It doubles with each
	// ejection, up to maxEjection, and up to half of it is added at random.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probeSuccesses is how many probes must succeed before an ejected endpoint
	// gets its share of requests again.
	probeSuccesses = 3
)

// health is an endpoint's failure record.
type health struct {
	failureRate float64
	samples     int
	// ejections is the number of ejections less the number of probations passed.
	ejections    int
	ejectedUntil time.Time
	// probesLeft is the number of probes that must still succeed before the endpoint
	// gets its share of requests again; 0 means that the endpoint is neither ejected
	// nor on probation.
	probesLeft int
}

// Ejected reports whether the endpoint currently gets no requests because earlier
// requests to it failed.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.health.ejectedUntil) }

// Probing reports whether the endpoint is on probation after an ejection: it
// gets one request at a time until enough have succeeded.
func (e *Endpoint) Probing() bool { return e.health.probesLeft > 0 }

// RecordSuccess records that the endpoint has responded.
func (t *Table) RecordSuccess(now time.Time, e *Endpoint) {
	h := &e.health
	h.samples++
	h.failureRate -= failureWeight * h.failureRate
	if h.probesLeft == 0 || now.Before(h.ejectedUntil) {
		return
	}
	h.probesLeft--
	if h.probesLeft == 0 {
		h.ejections = max(h.ejections-1, 0)
		e.slowStartBegan = now
		e.cold = true
	}
}

// RecordFailure records a failed request of the endpoint, and reports whether the
// endpoint was ejected for it. No endpoint is ejected while the service as a whole
// fails, or while too many other endpoints are ejected or on probation.
func (t *Table) RecordFailure(now time.Time, random *rand.Rand, e *Endpoint) bool {
	h := &e.health
	h.samples++
	h.failureRate += failureWeight * (1 - h.failureRate)
	if now.Before(h.ejectedUntil) {
		return false
	}
	if h.probesLeft == 0 && (h.samples < minEjectSamples || h.failureRate < ejectFailureRate) {
		return false
	}
	out, others := 0, 0.0
	for _, o := range t.list {
		if o == e {
			continue
		}
		others += o.health.failureRate
		if o.Ejected(now) || o.Probing() {
			out++
			others -= o.health.failureRate
		}
	}
	healthy := len(t.list) - 1 - out
	if healthy < 1 || out+1 > max(1, len(t.list)/maxEjectedDivisor) || others/float64(healthy) > failingServiceRate {
		return false
	}
	d := min(minEjection<<min(h.ejections, 8), maxEjection)
	h.ejectedUntil = now.Add(d + time.Duration(random.Int64N(int64(d)/2)))
	h.ejections++
	h.probesLeft = probeSuccesses
	return true
}
