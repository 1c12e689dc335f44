package endpoint

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of a rate.
	rateWindow = 2 * time.Second
	// leastSpeed is the least part of all slots that a kind of work is
	// believed to be given.
	leastSpeed = 0.05
)

// rate is a decaying mean of work begun a second, in slots. The zero value is empty.
type rate struct {
	sum   float64
	first time.Time
	at    time.Time
}

// add notes work that begins.
func (r *rate) add(now time.Time, work time.Duration) {
	if r.first.IsZero() {
		r.first = now
	}
	r.sum = r.decayed(now) + work.Seconds()/rateWindow.Seconds()
	r.at = now
}

// value returns the rate; while it is young, as if it had always been so.
func (r *rate) value(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	return r.decayed(now) / max(weight(now.Sub(r.first), rateWindow), weight(rateWindow/10, rateWindow))
}

func (r *rate) decayed(now time.Time) float64 {
	if passed := now.Sub(r.at); passed > 0 {
		return r.sum * math.Exp(-passed.Seconds()/rateWindow.Seconds())
	}
	return r.sum
}
