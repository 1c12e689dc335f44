package queue

import (
	"container/heap"
	"math/bits"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// shape is a range of sizes that find room or not together: every amount is
// rounded down to a quarter of a power of two.
type shape struct {
	size   worker.Resources
	count  int
	urgent bool
}

// shapeState is shared by the buckets of all teams with the same shape.
type shapeState struct {
	shape shape
	// blocked shapes found no room and wait for some worker to get more.
	blocked bool
	// woken shapes were blocked: only workers that got more room since may have enough.
	woken bool
	// need is the size that found no room.
	need    worker.Resources
	buckets []*bucket
	// items counts the items of the shape, so that unused shapes are dropped.
	items int
}

// bucket holds the ready items of one team and shape, earliest due first.
type bucket struct {
	team  *team
	shape *shapeState
	ready itemHeap
}

// roundingBits is the number of leading binary digits kept, after the first.
const roundingBits = 2

func roundDown(n int64) int64 {
	drop := bits.Len64(uint64(max(n, 0))) - 1 - roundingBits
	if drop <= 0 {
		return max(n, 0)
	}
	return n >> drop << drop
}

func shapeOf(d *Demand) shape {
	return shape{
		size: worker.Resources{
			MilliCPU: roundDown(d.Size.MilliCPU), MemoryMB: roundDown(d.Size.MemoryMB), Accelerators: d.Size.Accelerators,
		},
		count:  d.Count,
		urgent: d.Urgent,
	}
}

func (b *bucket) push(item *Item) {
	item.state = ready
	heap.Push(&b.ready, item)
	b.team.offer(b.head())
}

func (b *bucket) remove(item *Item) {
	heap.Remove(&b.ready, item.index)
	b.team.dropped(item)
}

// head returns the bucket's first item, or nil if the shape is blocked or the bucket empty.
func (b *bucket) head() *Item {
	if b.shape.blocked || len(b.ready.items) == 0 {
		return nil
	}
	return b.ready.items[0]
}

func (s *shapeState) unblock() {
	s.blocked = false
	for _, b := range s.buckets {
		b.team.offer(b.head())
	}
}
