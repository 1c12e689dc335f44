package endpoint

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of a rate's moving average.
	rateTimeConstant = 2 * time.Second
	// minSlotShare is the least share of all slots that the work of one level of the
	// queue is assumed to get.
	minSlotShare = 0.05
)

// workRate is a moving average of the service time of the requests started per
// second, which is the number of slots that they keep busy. The zero value is
// empty.
type workRate struct {
	sum       float64
	firstAt   time.Time
	updatedAt time.Time
}

// add records the expected service time of a request that starts.
func (r *workRate) add(now time.Time, serviceTime time.Duration) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.sum = r.decayed(now) + serviceTime.Seconds()/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// value returns the rate. A rate that was first used less than its time constant
// ago is scaled up to what it would be if work had always been started at this rate.
func (r *workRate) value(now time.Time) float64 {
	if r.firstAt.IsZero() {
		return 0
	}
	return r.decayed(now) / max(decayWeight(now.Sub(r.firstAt), rateTimeConstant), decayWeight(rateTimeConstant/10, rateTimeConstant))
}

// decayed returns the sum after its exponential decay since the last update.
func (r *workRate) decayed(now time.Time) float64 {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		return r.sum * math.Exp(-passed.Seconds()/rateTimeConstant.Seconds())
	}
	return r.sum
}
