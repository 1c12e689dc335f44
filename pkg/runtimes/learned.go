package runtimes

import (
	"math"
	"slices"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// storedQuantiles are the quantiles in percent that stand for a distribution in the store. They are denser where
// decisions are made.
var storedQuantiles = [...]float64{5, 25, 50, 75, 90, 95, 97, 99, 99.5}

// maxStoredMean bounds the means of logarithms that are taken over; that of the longest run time in milliseconds is 44.
const maxStoredMean = 50

// Learned is what is known of one key, as it is stored for the next dispatcher.
type Learned struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// Weight, MeanX, MeanY, SumXX and SumXY describe the line that is fitted to the logarithms of estimates (X) and
	// measured times (Y) in milliseconds: the weight of the observations, the means, and the sums of squares and
	// products of the deviations.
	Weight, MeanX, MeanY, SumXX, SumXY float32
	// Runs is the number of runs that Ratios is from: storedQuantiles of the ratio of measured time to corrected
	// estimate, in thousandths.
	Runs   int64
	Ratios []int64
}

// Learned returns what is known of the keys that were used last, at most limit of them, the latest one first.
func (t *Table) Learned(limit int) []Learned {
	if t.byKey == nil {
		return nil
	}
	keys := t.byKey.Keys() // the one that was not used for longest first
	slices.Reverse(keys)
	keys = keys[:min(len(keys), limit)]
	out := make([]Learned, 0, len(keys))
	for _, key := range keys {
		d, _ := t.byKey.Peek(key)
		out = append(out, d.learned(key))
	}
	return out
}

// Merge takes over what another dispatcher has learned, of keys of which nothing is known yet. Entries with values that
// no dispatcher stores are ignored.
func (t *Table) Merge(learned []Learned) {
	for i := range slices.Backward(learned) { // so that the key that was used last is evicted last
		l := &learned[i]
		if !storable(l.Key) || !l.valid() || t.known(l.Key) != nil {
			continue
		}
		*t.distribution(l.Key) = *l.distribution()
	}
}

// Observations returns the number of observations that were taken in.
func (t *Table) Observations() uint64 { return t.observations }

// learned returns what is known, to be stored under a key.
func (d *distribution) learned(key string) Learned {
	l := Learned{Key: key, Weight: float32(d.weight), MeanX: float32(d.meanX), MeanY: float32(d.meanY), SumXX: float32(d.sumXX), SumXY: float32(d.sumXY)}
	h := d.ratios.Merge()
	if l.Runs = h.TotalCount(); l.Runs == 0 {
		return l
	}
	for _, q := range storedQuantiles {
		l.Ratios = append(l.Ratios, h.ValueAtQuantile(q))
	}
	return l
}

// valid reports whether a dispatcher may have stored l.
func (l *Learned) valid() bool {
	finite := true
	for _, f := range []float32{l.MeanX, l.MeanY, l.SumXX, l.SumXY} {
		finite = finite && !math.IsNaN(float64(f)) && !math.IsInf(float64(f), 0)
	}
	// The weight is rounded when it is stored.
	const maxStoredWeight = maxWeight + 1
	if !finite || !(l.Weight > 0 && l.Weight <= maxStoredWeight) || math.Abs(float64(l.MeanX)) > maxStoredMean || math.Abs(float64(l.MeanY)) > maxStoredMean || l.SumXX < 0 {
		return false
	}
	if l.Runs == 0 {
		return len(l.Ratios) == 0
	}
	bounded := !slices.ContainsFunc(l.Ratios, func(r int64) bool { return r < 1 || r > histogramMargin*maxRatio*ratioScale })
	return l.Runs > 0 && l.Runs <= 2*windowRuns && len(l.Ratios) == len(storedQuantiles) && slices.IsSorted(l.Ratios) && bounded
}

// distribution returns the distribution that l describes. Between two stored quantiles all runs count as those of the
// higher one, and above the highest one as those of that.
func (l *Learned) distribution() *distribution {
	d := newDistribution()
	d.weight, d.meanX, d.meanY, d.sumXX, d.sumXY = float64(l.Weight), float64(l.MeanX), float64(l.MeanY), float64(l.SumXX), float64(l.SumXY)
	if l.Runs == 0 {
		return d
	}
	const percent = 100
	counted := int64(0)
	for i, q := range storedQuantiles {
		upTo := int64(math.Round(float64(l.Runs) * q / percent))
		if i == len(storedQuantiles)-1 {
			upTo = l.Runs
		}
		recordRatio(d.ratios.Current, l.Ratios[i], upTo-counted)
		counted = upTo
	}
	d.ratios.Rotate() // present runs replace it within one window
	return d
}

// recordRatio records a ratio n times, within the bounds of the histogram.
func recordRatio(h *hdrhistogram.Histogram, ratio, n int64) {
	if err := h.RecordValues(min(max(ratio, 1), maxRatio*ratioScale), n); err != nil {
		panic(err) // only values beyond the bounds are refused
	}
}
