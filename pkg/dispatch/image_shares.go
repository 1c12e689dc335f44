package dispatch

import (
	"slices"
	"strings"
)

// imageShares are the fractions of a worker's processors that images use, sorted by image: sums over them
// come out the same at every dispatcher.
type imageShares []imageShare

type imageShare struct {
	image string
	share float64
}

// minShare is the share below which an image is no longer counted: what rounding leaves of a sum of 0.
const minShare = 1e-9

// add adds a share, which may be negative, to that of an image.
func (s *imageShares) add(image string, share float64) {
	at, found := s.find(image)
	if !found {
		*s = slices.Insert(*s, at, imageShare{image: image})
	}
	if (*s)[at].share += share; (*s)[at].share < minShare {
		*s = slices.Delete(*s, at, at+1)
	}
}

// of returns the share of an image.
func (s imageShares) of(image string) float64 {
	if at, found := s.find(image); found {
		return s[at].share
	}
	return 0
}

func (s imageShares) find(image string) (int, bool) {
	return slices.BinarySearchFunc(s, image, func(x imageShare, image string) int { return strings.Compare(x.image, image) })
}
