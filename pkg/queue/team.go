package queue

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// maxShare limits a team's dominant share of its quota. It is also the share of a team
// with running work but no quota in the configuration bundle. Such a team gets its turn
// when the other teams leave room, or when its work is overdue for long enough.
const maxShare = 24

// overduePerQuota is how long a team's next item must be overdue to lower the
// team's effective share by 1, that is, by its whole quota.
const overduePerQuota = 10 * time.Minute

// teamQueue is one team's part of the queue.
type teamQueue struct {
	quota worker.Resources
	used  worker.Resources
	// share is the dominant share of used in quota: the largest ratio over all
	// resources.
	share float64
	tiers [tiers]tier
}

// The tiers of a team's work; lower tiers go first.
const (
	tierUrgent = iota
	tierOther
	tiers
)

// tier holds a team's buckets of one tier and the first of all their items.
type tier struct {
	buckets []*bucket
	first   *Item
	// stale is set while first is out of date and must be searched for again.
	stale bool
}

func tierOf(urgent bool) int {
	if urgent {
		return tierUrgent
	}
	return tierOther
}

// bucket returns the team's bucket of a shape, which it creates if there is none.
func (t *teamQueue) bucket(s *shapeState) *bucket {
	for _, b := range s.buckets {
		if b.team == t {
			return b
		}
	}
	b := &bucket{team: t, shape: s}
	s.buckets = append(s.buckets, b)
	queueTier := &t.tiers[tierOf(s.shape.urgent)]
	queueTier.buckets = append(queueTier.buckets, b)
	return b
}

// removeBucket removes an empty bucket.
func (t *teamQueue) removeBucket(b *bucket) {
	queueTier := &t.tiers[tierOf(b.shape.shape.urgent)]
	queueTier.buckets = slices.DeleteFunc(queueTier.buckets, func(o *bucket) bool { return o == b })
}

// headChanged updates the first item of the tier after a bucket got a new head.
func (t *teamQueue) headChanged(head *Item) {
	if head == nil {
		return
	}
	queueTier := &t.tiers[tierOf(head.demand.Urgent)]
	if !queueTier.stale && (queueTier.first == nil || dueBefore(head, queueTier.first)) {
		queueTier.first = head
	}
}

// itemRemoved marks the tier as stale if item, which is no longer ready, was its
// first.
func (t *teamQueue) itemRemoved(item *Item) {
	queueTier := &t.tiers[tierOf(item.demand.Urgent)]
	if queueTier.first == item {
		queueTier.stale = true
	}
}

func (t *teamQueue) charge(size worker.Resources) {
	t.used = t.used.Plus(size)
	t.updateShare()
}

func (t *teamQueue) refund(size worker.Resources) {
	t.used = t.used.Minus(size)
	t.updateShare()
}

func (t *teamQueue) updateShare() {
	t.share = max(
		quotaRatio(t.used.MilliCPU, t.quota.MilliCPU),
		quotaRatio(t.used.MemoryMB, t.quota.MemoryMB),
		quotaRatio(t.used.Accelerators, t.quota.Accelerators),
	)
}

// quotaRatio returns used as a fraction of quota, at most maxShare. Without a quota,
// any use counts as maxShare.
func quotaRatio(used, quota int64) float64 {
	if used <= 0 {
		return 0
	}
	if quota <= 0 {
		return maxShare
	}
	return min(float64(used)/float64(quota), maxShare)
}

// head returns the team's first ready item of a tier, or nil.
func (t *teamQueue) head(tierIndex int) *Item {
	queueTier := &t.tiers[tierIndex]
	if !queueTier.stale && (queueTier.first == nil || !queueTier.first.bucket.shape.blocked) {
		return queueTier.first
	}
	queueTier.first, queueTier.stale = nil, false
	for _, b := range queueTier.buckets {
		if h := b.head(); h != nil && (queueTier.first == nil || dueBefore(h, queueTier.first)) {
			queueTier.first = h
		}
	}
	return queueTier.first
}

// effectiveShare is the value by which teams are ordered; the lowest goes
// first. It is the team's share of its quota, reduced in proportion to how long
// its next item is overdue.
func (t *teamQueue) effectiveShare(nowMS int64, head *Item) float64 {
	overdue := max(nowMS-head.dueMS, 0)
	return t.share - float64(overdue)/float64(overduePerQuota.Milliseconds())
}
