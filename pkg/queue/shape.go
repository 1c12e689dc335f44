package queue

import (
	"container/heap"
	"math/bits"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// shape identifies items of nearly the same demand: the same number of tasks to start
// together, the same urgency, and the same size after CPU and memory are rounded down
// to a multiple of a quarter of a power of two. If one item finds no room, all items of
// its shape are blocked together.
type shape struct {
	size   worker.Resources
	count  int
	urgent bool
}

// shapeState is the state of one shape, shared by the buckets of all teams.
type shapeState struct {
	shape shape
	// blocked is set after no worker had room for an item of the shape, or for a
	// smaller item, until a worker gains enough free capacity or all shapes are
	// unblocked.
	blocked bool
	// recentlyUnblocked is set after the shape was unblocked because a worker
	// gained free capacity: only workers whose free capacity has grown since the
	// scheduler last tried all waiting work may have room.
	recentlyUnblocked bool
	// blockedSize is the size that found no room.
	blockedSize worker.Resources
	buckets     []*bucket
	// items is the number of items of the shape in the queue; at zero the shape
	// is dropped.
	items int
}

// bucket holds the ready items of one team and shape, earliest due first.
type bucket struct {
	team  *teamQueue
	shape *shapeState
	ready itemHeap
}

// roundingBits is the number of leading binary digits that rounding keeps after
// the first one.
const roundingBits = 2

// roundDown keeps the first binary digit of n and the roundingBits digits after it,
// and sets the others to 0; it returns 0 for a negative n.
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
	b.team.headChanged(b.head())
}

func (b *bucket) remove(item *Item) {
	heap.Remove(&b.ready, item.heapIndex)
	b.team.itemRemoved(item)
}

// head returns the bucket's first item, or nil if the shape is blocked or the
// bucket is empty.
func (b *bucket) head() *Item {
	if b.shape.blocked || len(b.ready.items) == 0 {
		return nil
	}
	return b.ready.items[0]
}

func (s *shapeState) unblock() {
	s.blocked = false
	for _, b := range s.buckets {
		b.team.headChanged(b.head())
	}
}
