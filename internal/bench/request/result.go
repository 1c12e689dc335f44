package request

import (
	"slices"
	"time"
)

// ending says how a request ended.
type ending uint8

const (
	answered ending = iota
	refused
	late
)

// result holds the figures of a run.
type result struct {
	length  time.Duration
	end     time.Time
	classes [2]classResult
	// goodInTime and goodWork are the requests answered before the end of the
	// run and before their deadlines, and their work.
	goodInTime int
	goodWork   time.Duration
}

// classResult holds the figures of one class. A request without an answer in
// time counts as one that took its whole deadline.
type classResult struct {
	times, crest, waits []time.Duration
	good, refused, late int
}

func (r *result) add(now time.Time, c *call, end ending) {
	k := &r.classes[c.class]
	spent := now.Sub(c.at)
	switch end {
	case answered:
		k.good++
		if !now.After(r.end) {
			r.goodInTime++
			r.goodWork += c.work
		}
	case refused:
		k.refused++
		spent = c.deadline.Sub(c.at)
	case late:
		k.late++
	}
	k.times = append(k.times, spent)
	if c.crest {
		k.crest = append(k.crest, spent)
	}
	if c.began {
		k.waits = append(k.waits, c.wait)
	}
}

// merge adds another run of the same kind.
func (r *result) merge(o *result) {
	r.length += o.length
	r.goodWork += o.goodWork
	r.goodInTime += o.goodInTime
	for i := range r.classes {
		k, ok := &r.classes[i], &o.classes[i]
		k.times = append(k.times, ok.times...)
		k.crest = append(k.crest, ok.crest...)
		k.waits = append(k.waits, ok.waits...)
		k.good += ok.good
		k.refused += ok.refused
		k.late += ok.late
	}
}

// goodput returns the requests answered in time, a second.
func (r *result) goodput() float64 {
	return float64(r.goodInTime) / r.length.Seconds()
}

// usefulSlots returns the mean number of slots at work for answers in time.
func (r *result) usefulSlots() float64 { return r.goodWork.Seconds() / r.length.Seconds() }

// quantile returns the part q of values, which it sorts.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
