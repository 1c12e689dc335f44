package queue

import (
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
	share   float64
	buckets map[shape]*bucket
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

// head returns the team's next item among the urgent or the others.
func (t *team) head(urgent bool) *Item {
	var best *Item
	for _, b := range t.buckets {
		if b.shape.shape.urgent != urgent {
			continue
		}
		if h := b.head(); h != nil && (best == nil || before(h, best)) {
			best = h
		}
	}
	return best
}

// standing orders teams: the lowest goes first. A team's share of its quota
// counts for it less the longer its next item is overdue.
func (t *team) standing(nowMS int64, head *Item) float64 {
	overdue := max(nowMS-head.due, 0)
	return t.share - float64(overdue)/float64(overduePerShare.Milliseconds())
}
