// Package runtimes learns how long tasks run: for each key, such as an image, how the measured run times relate to
// the callers' estimates, and how they are spread around the corrected estimate.
//
// The package does no I/O and reads no clock: the run times are arguments.
package runtimes

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of a table.
const (
	// MaxKeys bounds the keys of a table; the key that was not used for longest is evicted.
	MaxKeys = 256
	// maxKeyBytes is the length of a key from which nothing is learned for it: callers choose the names of images.
	maxKeyBytes = 100
	// MaxCorrection bounds the factor by which an estimate is corrected, either way. Callers are off by a factor of
	// up to 1.9; a job whose estimate is far from those of its key is one of another length.
	MaxCorrection = 2.0
	// minPercent is the progress from which the run time of a run that was stopped is extrapolated.
	minPercent = 25
	// fullPercent is the progress of a run that is done.
	fullPercent = 100
)

// Observation is the run time of one run and the caller's estimate of it, both in milliseconds.
type Observation struct {
	EstimateMS, MeasuredMS int64
	// Percent is the progress of the run at the end of the measured time. The run time of a run that was stopped is
	// extrapolated from it; a run with little progress is ignored.
	Percent int
	// Weight is the part of a whole estimate that the run stands for: the tasks of a step share one estimate, whose
	// error they do not tell more about than one task does. 0 means 1.
	Weight float64
}

// Table holds the distributions of run times by key. The zero value is empty and ready to use. A table is not
// safe for concurrent use.
type Table struct {
	byKey *simplelru.LRU[string, *distribution]
	// observations counts the observations that were taken in.
	observations uint64
}

// Observe takes in the run time of a run. It ignores observations without an estimate, without a measured time or
// with too little progress.
func (t *Table) Observe(key string, o Observation) {
	if o.EstimateMS <= 0 || o.MeasuredMS <= 0 || o.Percent < minPercent || !storable(key) {
		return
	}
	if o.Weight <= 0 || o.Weight > 1 {
		o.Weight = 1
	}
	t.observations++
	measured := float64(o.MeasuredMS) * fullPercent / float64(min(o.Percent, fullPercent))
	t.distribution(key).observe(math.Log(float64(o.EstimateMS)), math.Log(measured), o.Weight)
}

// storable reports whether anything is learned for a key.
func storable(key string) bool { return key != "" && len(key) <= maxKeyBytes }

// distribution returns the distribution of a key, which it creates if there is none.
func (t *Table) distribution(key string) *distribution {
	if t.byKey == nil {
		byKey, err := simplelru.NewLRU[string, *distribution](MaxKeys, nil)
		if err != nil {
			panic(err) // only a size that is not positive is refused
		}
		t.byKey = byKey
	}
	d, ok := t.byKey.Get(key)
	if !ok {
		d = newDistribution()
		t.byKey.Add(key, d)
	}
	return d
}

// known returns the distribution of a key, or nil if there is none.
func (t *Table) known(key string) *distribution {
	if t.byKey == nil {
		return nil
	}
	d, _ := t.byKey.Get(key)
	return d
}

// Correct returns the run time to expect of a task of a key that its caller estimates at estimateMS, without the tail
// of runs that take far longer. It returns the estimate itself while nothing is known of the key, and for tasks
// without an estimate.
func (t *Table) Correct(key string, estimateMS int64) int64 {
	d := t.known(key)
	if d == nil || estimateMS <= 0 {
		return estimateMS
	}
	x := math.Log(float64(estimateMS))
	return max(1, int64(math.Round(math.Exp(d.predict(x)))))
}

// Quantile returns the quantile q, from 0 to 1, of the ratio of measured run time to corrected estimate. It returns
// false while too few runs of the key are known to tell the quantile.
func (t *Table) Quantile(key string, q float64) (ratio float64, ok bool) {
	if d := t.known(key); d != nil {
		return d.quantile(q)
	}
	return 0, false
}

// Known reports whether anything has been learned of a key.
func (t *Table) Known(key string) bool { return t.known(key) != nil }

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	if t.byKey == nil {
		return 0
	}
	return t.byKey.Len()
}
