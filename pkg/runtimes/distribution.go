package runtimes

import (
	"math"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of a distribution.
const (
	// priorWeight is how many estimates the assumption counts for that callers are right: with as many known
	// estimates, the correction goes half of the way.
	priorWeight = 4.0
	// priorVariance is the variance of the logarithm of the true run times of a key that is assumed at first. It is
	// that of estimates which are off by a factor of up to 1.9, so that these are trusted until they are known.
	priorVariance = 0.14
	// maxWeight bounds the weight of what is known, so that a change of a program's run time is learned.
	maxWeight = 100.0
	// ratioScale is the number of units of the histogram in a ratio of 1, and maxRatio the highest ratio that it
	// tells apart from higher ones.
	ratioScale  = 1000
	maxRatio    = 100
	ratioDigits = 1
	// histogramMargin is how far above a recorded value the histogram may put it.
	histogramMargin = 2
	// windowRuns is how many runs a window holds; quantiles cover the present window and the one before.
	windowRuns = 1000
	// minQuantileRuns is the number of runs from which quantiles are told, minRunsBeyond how many of them have to
	// lie beyond the quantile.
	minQuantileRuns = 30
	minRunsBeyond   = 1
	// mergeEvery is how many runs are taken in before the windows are merged again for a quantile.
	mergeEvery = 16
)

// distribution is what is known of the run times of one key. It fits a line to the logarithms of estimates and
// measured times: with a slope of 1 measured times differ from the estimates by a factor that is the same for all
// jobs, with a slope of 0 they do not depend on the estimate. The slope tells whether the estimates differ because the jobs do,
// or because callers are wrong.
type distribution struct {
	// weight is the weight of the observations; meanX and meanY are the means of the logarithms of estimates
	// and measured times, and sumXX and sumXY the weighted sums of squares and products of their deviations.
	weight, meanX, meanY, sumXX, sumXY float64
	// ratios holds the ratios of measured time to corrected estimate, in the present window and in the one before.
	ratios *hdrhistogram.WindowedHistogram
	// inWindow counts the runs of the present window, sinceMerge those since the windows were merged.
	inWindow, sinceMerge int
	merged               *hdrhistogram.Histogram
}

func newDistribution() *distribution {
	return &distribution{ratios: hdrhistogram.NewWindowed(2, 1, maxRatio*ratioScale, ratioDigits)}
}

// observe takes in the logarithms of an estimate and of a measured time.
func (d *distribution) observe(x, y, weight float64) {
	if over := d.weight + weight; over > maxWeight {
		keep := (maxWeight - weight) / d.weight
		d.weight, d.sumXX, d.sumXY = d.weight*keep, d.sumXX*keep, d.sumXY*keep
	}
	d.weight += weight
	dx, dy := x-d.meanX, y-d.meanY
	d.meanX += dx * weight / d.weight
	d.meanY += dy * weight / d.weight
	d.sumXX += weight * dx * (x - d.meanX)
	d.sumXY += weight * dx * (y - d.meanY)
	d.record(math.Exp(y - d.predict(x)))
}

// record takes in the ratio of a measured time to its corrected estimate.
func (d *distribution) record(ratio float64) {
	if d.inWindow >= windowRuns {
		d.ratios.Rotate()
		d.inWindow = 0
	}
	recordRatio(d.ratios.Current, int64(math.Round(min(ratio, maxRatio)*ratioScale)), 1)
	d.inWindow++
	d.sinceMerge++
}

// predict returns the logarithm of the time to expect for the logarithm x of an estimate.
func (d *distribution) predict(x float64) float64 {
	slope := (d.sumXY + priorWeight*priorVariance) / (d.sumXX + priorWeight*priorVariance)
	slope = min(max(slope, 0), 1)
	fitted := d.meanY + slope*(x-d.meanX)
	shift := (fitted - x) * d.weight / (d.weight + priorWeight)
	bound := math.Log(MaxCorrection)
	return x + min(max(shift, -bound), bound)
}

// quantile returns the quantile q of the ratios, or false while there are too few of them.
func (d *distribution) quantile(q float64) (float64, bool) {
	if d.merged == nil || d.sinceMerge >= mergeEvery {
		d.merged, d.sinceMerge = d.ratios.Merge(), 0
	}
	runs := float64(d.merged.TotalCount())
	if runs < minQuantileRuns || runs*(1-q) < minRunsBeyond {
		return 0, false
	}
	const percent = 100
	return float64(d.merged.ValueAtQuantile(q*percent)) / ratioScale, true
}
