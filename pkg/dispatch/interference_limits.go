package dispatch

import (
	"cmp"
	"slices"
)

// InterferenceLimit is the learned share limit of a best-effort image next to a serving image.
type InterferenceLimit struct {
	_ struct{} `cbor:",toarray"`
	// Serving and Filling are the images of the serving and of the best-effort task.
	Serving string
	Filling string
	// Share is the fraction of a worker's processors that the best-effort image may use before
	// the serving image misses its latency target.
	Share float64
}

// maxInterferenceLimits bounds the number of image pairs that are stored; a site has about fifty
// pairs.
const maxInterferenceLimits = 1000

// InterferenceLimits returns the learned share limits: the share of a worker's processors that each
// best-effort image may use next to each serving image. It returns at most maxInterferenceLimits,
// the first in the order of the images' names.
func (sc *Scheduler) InterferenceLimits() []InterferenceLimit {
	out := make([]InterferenceLimit, 0, len(sc.shareLimits))
	for p, limit := range sc.shareLimits {
		out = append(out, InterferenceLimit{Serving: p.serving, Filling: p.bestEffort, Share: limit.share})
	}
	slices.SortFunc(out, func(x, y InterferenceLimit) int {
		return cmp.Or(cmp.Compare(x.Serving, y.Serving), cmp.Compare(x.Filling, y.Filling))
	})
	return out[:min(len(out), maxInterferenceLimits)]
}

// MergeInterferenceLimits takes over the share limits that another dispatcher has learned; they
// replace own limits for the same pairs of images.
func (sc *Scheduler) MergeInterferenceLimits(learned []InterferenceLimit) {
	for _, l := range learned {
		sc.shareLimits[imagePair{l.Serving, l.Filling}] = pairLimit{share: min(max(l.Share, minShareLimit), maxShareLimit), rateVariance: learnedRateVariance}
	}
}
