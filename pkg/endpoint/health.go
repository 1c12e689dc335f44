package endpoint

import (
	"math/rand/v2"
	"time"
)

// Limits of ejection.
const (
	// failureWeight is the weight of a new sample in an endpoint's failure rate.
	failureWeight = 0.2
	// ejectRate is the failure rate at which an endpoint is ejected.
	ejectRate = 0.6
	// ejectSamples is the least number of results before an ejection.
	ejectSamples = 5
	// sickRate is the failure rate of the others from which on nothing is ejected.
	sickRate = 0.3
	// outPart is the part of the endpoints that may be out at most, as a divisor.
	outPart = 3
	// ejectFor is the first ejection's time; it doubles up to ejectMost.
	ejectFor  = time.Second
	ejectMost = 30 * time.Second
	// probeSuccesses is how many probes must succeed before an endpoint is back.
	probeSuccesses = 3
)

// health is what is known of an endpoint's failures.
type health struct {
	rate    float64
	samples int
	strikes int
	until   time.Time
	// probes counts down to re-admission; 0 means that the endpoint is in.
	probes int
}

// Ejected reports whether the endpoint gets nothing for now because it failed.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.health.until) }

// Probing reports whether the endpoint gets one request at a time until enough have succeeded.
func (e *Endpoint) Probing() bool { return e.health.probes > 0 }

// Succeed notes that the endpoint has answered.
func (t *Table) Succeed(now time.Time, e *Endpoint) {
	h := &e.health
	h.samples++
	h.rate -= failureWeight * h.rate
	if h.probes == 0 || now.Before(h.until) {
		return
	}
	h.probes--
	if h.probes == 0 {
		h.strikes = max(h.strikes-1, 0)
		e.started = now
		e.cold = true
	}
}

// Fail notes that the endpoint has failed a request, and reports whether it
// was ejected for that. It is not while the service as a whole fails, nor if
// too many are out.
func (t *Table) Fail(now time.Time, random *rand.Rand, e *Endpoint) bool {
	h := &e.health
	h.samples++
	h.rate += failureWeight * (1 - h.rate)
	if now.Before(h.until) {
		return false
	}
	if h.probes == 0 && (h.samples < ejectSamples || h.rate < ejectRate) {
		return false
	}
	out, others := 0, 0.0
	for _, o := range t.list {
		if o == e {
			continue
		}
		others += o.health.rate
		if o.Ejected(now) || o.Probing() {
			out++
			others -= o.health.rate
		}
	}
	healthy := len(t.list) - 1 - out
	if healthy < 1 || out+1 > max(1, len(t.list)/outPart) || others/float64(healthy) > sickRate {
		return false
	}
	d := min(ejectFor<<min(h.strikes, 8), ejectMost)
	h.until = now.Add(d + time.Duration(random.Int64N(int64(d)/2)))
	h.strikes++
	h.probes = probeSuccesses
	return true
}
