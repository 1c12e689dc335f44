package queue

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// largestShare bounds what a team's use counts against it, and stands for a
// team that the bundle gives no quota: its work runs when the others leave
// room, and by age.
const largestShare = 24

// overduePerShare is how long a team's work must be overdue to weigh as much
// as one whole quota.
const overduePerShare = 10 * time.Minute

// team is one team's part of the queue.
type team struct {
	quota worker.Resources
	used  worker.Resources
	// share is the dominant share of used in quota.
	share float64
	tiers [tiers]tier
}

// The tiers of a team's work; the first goes first.
const (
	tierUrgent = iota
	tierOther
	tiers
)

// tier holds a team's buckets of one tier and the first item of them all.
type tier struct {
	buckets []*bucket
	first   *Item
	// stale is set while first has to be looked for.
	stale bool
}

func tierOf(urgent bool) int {
	if urgent {
		return tierUrgent
	}
	return tierOther
}

// bucket returns the team's bucket of a shape.
func (t *team) bucket(s *shapeState) *bucket {
	for _, b := range s.buckets {
		if b.team == t {
			return b
		}
	}
	b := &bucket{team: t, shape: s}
	s.buckets = append(s.buckets, b)
	own := &t.tiers[tierOf(s.shape.urgent)]
	own.buckets = append(own.buckets, b)
	return b
}

// drop forgets an empty bucket.
func (t *team) drop(b *bucket) {
	own := &t.tiers[tierOf(b.shape.shape.urgent)]
	own.buckets = slices.DeleteFunc(own.buckets, func(o *bucket) bool { return o == b })
}

// offer takes the head of a bucket that has changed into account.
func (t *team) offer(head *Item) {
	if head == nil {
		return
	}
	own := &t.tiers[tierOf(head.demand.Urgent)]
	if !own.stale && (own.first == nil || before(head, own.first)) {
		own.first = head
	}
}

// dropped notes that an item is ready no more.
func (t *team) dropped(item *Item) {
	own := &t.tiers[tierOf(item.demand.Urgent)]
	if own.first == item {
		own.stale = true
	}
}

func (t *team) charge(size worker.Resources) {
	t.used = t.used.Plus(size)
	t.weigh()
}

func (t *team) refund(size worker.Resources) {
	t.used = t.used.Minus(size)
	t.weigh()
}

func (t *team) weigh() {
	t.share = max(
		ratio(t.used.MilliCPU, t.quota.MilliCPU),
		ratio(t.used.MemoryMB, t.quota.MemoryMB),
		ratio(t.used.Accelerators, t.quota.Accelerators),
	)
}

func ratio(used, quota int64) float64 {
	if used <= 0 {
		return 0
	}
	if quota <= 0 {
		return largestShare
	}
	return min(float64(used)/float64(quota), largestShare)
}

// head returns the team's next item of a tier.
func (t *team) head(tierIndex int) *Item {
	own := &t.tiers[tierIndex]
	if !own.stale && (own.first == nil || !own.first.bucket.shape.blocked) {
		return own.first
	}
	own.first, own.stale = nil, false
	for _, b := range own.buckets {
		if h := b.head(); h != nil && (own.first == nil || before(h, own.first)) {
			own.first = h
		}
	}
	return own.first
}

// standing orders teams: the lowest goes first. A team's share of its quota
// counts for it less the longer its next item is overdue.
func (t *team) standing(nowMS int64, head *Item) float64 {
	overdue := max(nowMS-head.due, 0)
	return t.share - float64(overdue)/float64(overduePerShare.Milliseconds())
}
