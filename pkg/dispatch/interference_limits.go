package dispatch

import (
	"cmp"
	"slices"
)

// InterferenceLimit is the learned limit of interference between the images of a serving and of a
// best-effort task.
type InterferenceLimit struct {
	_       struct{} `cbor:",toarray"`
	Serving string
	Filling string
	// Share is the fraction of a worker's processors that the best-effort image may use before
	// the serving image misses its latency target.
	Share float64
}

// maxInterferenceLimits bounds the number of image pairs that are stored; a site has about
// fifty.
const maxInterferenceLimits = 1000

// InterferenceLimits returns the learned limits, ordered by the names of the images.
func (sc *Scheduler) InterferenceLimits() []InterferenceLimit {
	out := make([]InterferenceLimit, 0, len(sc.shareLimits))
	for p, share := range sc.shareLimits {
		out = append(out, InterferenceLimit{Serving: p.serving, Filling: p.bestEffort, Share: share})
	}
	slices.SortFunc(out, func(x, y InterferenceLimit) int {
		return cmp.Or(cmp.Compare(x.Serving, y.Serving), cmp.Compare(x.Filling, y.Filling))
	})
	return out[:min(len(out), maxInterferenceLimits)]
}

// MergeInterferenceLimits adds the limits that another dispatcher has learned.
func (sc *Scheduler) MergeInterferenceLimits(learned []InterferenceLimit) {
	for _, l := range learned {
		sc.shareLimits[imagePair{l.Serving, l.Filling}] = min(max(l.Share, minShareLimit), maxShareLimit)
	}
}
