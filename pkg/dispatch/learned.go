package dispatch

import (
	"cmp"
	"slices"
)

// Learned is what was learned about one pair of images.
type Learned struct {
	_       struct{} `cbor:",toarray"`
	Serving string
	Filling string
	// Share is the part of a worker's processors that the filling image may use
	// beside the serving one.
	Share float64
}

// mostLearned bounds what is kept of pairs of images; a site has some fifty.
const mostLearned = 1000

// Learned returns what was learned about pairs of images, in order of their names.
func (b *Board) Learned() []Learned {
	out := make([]Learned, 0, len(b.shares))
	for p, share := range b.shares {
		out = append(out, Learned{Serving: p.serving, Filling: p.filling, Share: share})
	}
	slices.SortFunc(out, func(x, y Learned) int {
		return cmp.Or(cmp.Compare(x.Serving, y.Serving), cmp.Compare(x.Filling, y.Filling))
	})
	return out[:min(len(out), mostLearned)]
}

// Teach takes in what another dispatcher had learned.
func (b *Board) Teach(learned []Learned) {
	for _, l := range learned {
		b.shares[pair{l.Serving, l.Filling}] = min(max(l.Share, leastShare), mostShare)
	}
}
