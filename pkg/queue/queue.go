// Package queue orders waiting batch work and schedules it onto workers. Urgent
// work goes first, then the work of the team with the smallest share of its
// quota, and within a team the work that is due first. Work that fits no worker
// now, or is too large for every worker, does not block other work.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Queue holds the waiting work of one entry. The zero value is an empty queue.
type Queue struct {
	items             map[Key]*Item
	teams             map[string]*teamQueue
	teamList          []*teamQueue
	shapes            map[shape]*shapeState
	blocked           []*shapeState
	recentlyUnblocked []*shapeState
	delayed           itemHeap
	parked            map[Key]*Item
}

// Len returns the number of items in the queue.
func (q *Queue) Len() int { return len(q.items) }

// ParkedCount returns the number of items that exceed every known worker.
func (q *Queue) ParkedCount() int { return len(q.parked) }

// Add adds an item to the queue or replaces the item with the same key. If
// until is after now, the item is delayed until then for the given reason.
func (q *Queue) Add(now time.Time, key Key, d Demand, until time.Time, reason Reason) {
	q.Remove(key)
	if q.items == nil {
		q.items = make(map[Key]*Item)
		q.shapes = make(map[shape]*shapeState)
		q.parked = make(map[Key]*Item)
		q.delayed.byDelay = true
	}
	item := &Item{key: key, demand: d, dueMS: d.dueMS(), eligibleMS: now.UnixMilli(), bucket: q.bucket(&d)}
	item.bucket.shape.items++
	q.items[key] = item
	if until.After(now) {
		item.eligibleMS = until.UnixMilli()
		q.pushDelayed(item, until, reason)
		return
	}
	item.bucket.push(item)
}

// Remove removes the item identified by key, if there is one.
func (q *Queue) Remove(key Key) {
	item, ok := q.items[key]
	if !ok {
		return
	}
	q.detach(item)
	delete(q.items, key)
	s := item.bucket.shape
	s.items--
	if s.items > 0 {
		return
	}
	delete(q.shapes, s.shape)
	q.blocked = slices.DeleteFunc(q.blocked, func(o *shapeState) bool { return o == s })
	q.recentlyUnblocked = slices.DeleteFunc(q.recentlyUnblocked, func(o *shapeState) bool { return o == s })
	for _, b := range s.buckets {
		b.team.removeBucket(b)
	}
}

// Item returns the item identified by key.
func (q *Queue) Item(key Key) (*Item, bool) {
	item, ok := q.items[key]
	return item, ok
}

// Reason returns why the item identified by key waits, and whether the item is in the
// queue.
func (q *Queue) Reason(key Key) (Reason, bool) {
	item, ok := q.items[key]
	if !ok {
		return ReasonQueued, false
	}
	if item.state == ready && item.bucket.shape.blocked {
		return ReasonNoRoom, true
	}
	return item.reason, true
}

// Next returns the item to place next. The caller must then call Delay, Block,
// Park or Remove for it; otherwise Next returns the same item again.
func (q *Queue) Next(now time.Time) (*Item, bool) {
	nowMS := now.UnixMilli()
	q.endDelays(nowMS)
	for i := range tiers {
		if item := q.nextOfTier(nowMS, i); item != nil {
			return item, true
		}
	}
	return nil, false
}

// nextOfTier returns the item of a tier to place next, or nil: the first item of the
// team with the lowest effective share.
func (q *Queue) nextOfTier(nowMS int64, tierIndex int) *Item {
	var best *Item
	var bestShare float64
	for _, t := range q.teamList {
		head := t.head(tierIndex)
		if head == nil {
			continue
		}
		share := t.effectiveShare(nowMS, head)
		if best == nil || share < bestShare || (share == bestShare && dueBefore(head, best)) {
			best, bestShare = head, share
		}
	}
	return best
}

// Delay keeps the item from being placed before until.
func (q *Queue) Delay(key Key, until time.Time, reason Reason) {
	if item, ok := q.items[key]; ok {
		q.detach(item)
		q.pushDelayed(item, until, reason)
	}
}

// Block records that no worker has enough free capacity for the item now, and
// blocks the item's shape, and all shapes of the same urgency that ask for at least as
// much, until a worker gains enough free capacity or UnblockAll is called.
func (q *Queue) Block(key Key) {
	item, ok := q.items[key]
	if !ok {
		return
	}
	itemShape := item.bucket.shape
	q.blockShape(itemShape, item.demand.Size)
	for _, s := range q.shapes {
		if !s.blocked && s.shape.urgent == itemShape.shape.urgent && s.shape.count >= itemShape.shape.count && item.demand.Size.Fits(s.shape.size) {
			q.blockShape(s, s.shape.size)
		}
	}
}

// blockShape blocks a shape because no worker has room for the given size.
func (q *Queue) blockShape(s *shapeState, size worker.Resources) {
	s.blockedSize = size
	if !s.blocked {
		s.blocked = true
		q.blocked = append(q.blocked, s)
	}
}

// Starving returns the blocked item that is overdue the longest, if it is
// overdue by at least minOverdue. The caller should reserve a worker for it.
func (q *Queue) Starving(now time.Time, minOverdue time.Duration) (*Item, bool) {
	limit := now.Add(-minOverdue).UnixMilli()
	var worst *Item
	for _, s := range q.blocked {
		for _, b := range s.buckets {
			if len(b.ready.items) == 0 {
				continue
			}
			head := b.ready.items[0]
			if head.dueMS <= limit && (worst == nil || dueBefore(head, worst)) {
				worst = head
			}
		}
	}
	return worst, worst != nil
}

// Park records that the item exceeds every known worker. The item waits until
// Reexamine is called.
func (q *Queue) Park(key Key) {
	item, ok := q.items[key]
	if !ok {
		return
	}
	q.detach(item)
	item.state = parked
	item.reason = ReasonTooLarge
	q.parked[key] = item
}

// UnblockFitting records that a worker now has the given free capacity, and unblocks
// the shapes that may fit into it.
func (q *Queue) UnblockFitting(free worker.Resources) {
	remaining := q.blocked[:0]
	for _, s := range q.blocked {
		if s.blockedSize.Fits(free) {
			s.unblock()
			q.markUnblocked(s)
			continue
		}
		remaining = append(remaining, s)
	}
	clear(q.blocked[len(remaining):])
	q.blocked = remaining
}

func (q *Queue) markUnblocked(s *shapeState) {
	if !s.recentlyUnblocked {
		s.recentlyUnblocked = true
		q.recentlyUnblocked = append(q.recentlyUnblocked, s)
	}
}

// Reblock blocks those recently unblocked shapes again that, according to fits,
// no longer find room because the freed capacity has been taken.
func (q *Queue) Reblock(fits func(size worker.Resources) bool) {
	remaining := q.recentlyUnblocked[:0]
	for _, s := range q.recentlyUnblocked {
		switch {
		case s.blocked:
			s.recentlyUnblocked = false
		case fits(s.blockedSize):
			remaining = append(remaining, s)
		default:
			s.recentlyUnblocked = false
			q.blockShape(s, s.blockedSize)
		}
	}
	clear(q.recentlyUnblocked[len(remaining):])
	q.recentlyUnblocked = remaining
}

// UnblockAll unblocks all blocked items.
func (q *Queue) UnblockAll() {
	for _, s := range q.recentlyUnblocked {
		s.recentlyUnblocked = false
	}
	clear(q.recentlyUnblocked)
	q.recentlyUnblocked = q.recentlyUnblocked[:0]
	for _, s := range q.blocked {
		s.unblock()
	}
	clear(q.blocked)
	q.blocked = q.blocked[:0]
}

// Reexamine makes all parked and blocked items ready, after a change of the
// workers or of the configuration bundle.
func (q *Queue) Reexamine() {
	for key, item := range q.parked {
		delete(q.parked, key)
		item.reason = ReasonQueued
		item.bucket.push(item)
	}
	q.UnblockAll()
}

// SetQuota sets a team's quota.
func (q *Queue) SetQuota(name string, quota worker.Resources) {
	t := q.team(name)
	t.quota = quota
	t.updateShare()
}

// Charge adds size to the resources that a team uses.
func (q *Queue) Charge(name string, size worker.Resources) { q.team(name).charge(size) }

// Refund subtracts size from the resources that a team uses.
func (q *Queue) Refund(name string, size worker.Resources) { q.team(name).refund(size) }

// Share returns a team's dominant share of its quota: the largest ratio of use
// to quota over all resources.
func (q *Queue) Share(name string) float64 { return q.team(name).share }

func (q *Queue) team(name string) *teamQueue {
	t, ok := q.teams[name]
	if !ok {
		if q.teams == nil {
			q.teams = make(map[string]*teamQueue)
		}
		t = new(teamQueue)
		q.teamList = append(q.teamList, t)
		q.teams[name] = t
	}
	return t
}

func (q *Queue) bucket(d *Demand) *bucket {
	key := shapeOf(d)
	s, ok := q.shapes[key]
	if !ok {
		s = &shapeState{shape: key}
		q.shapes[key] = s
	}
	return q.team(d.Team).bucket(s)
}

// pushDelayed adds an item to the delayed items.
func (q *Queue) pushDelayed(item *Item, until time.Time, reason Reason) {
	item.state = delayed
	item.delayedUntilMS = until.UnixMilli()
	item.reason = reason
	heap.Push(&q.delayed, item)
}

// endDelays makes the items ready whose delay has ended.
func (q *Queue) endDelays(nowMS int64) {
	for len(q.delayed.items) > 0 && q.delayed.items[0].delayedUntilMS <= nowMS {
		item := heap.Pop(&q.delayed).(*Item)
		item.reason = ReasonQueued
		item.bucket.push(item)
	}
}

// detach removes an item from the list that it is in according to its state.
func (q *Queue) detach(item *Item) {
	switch item.state {
	case ready:
		item.bucket.remove(item)
	case delayed:
		heap.Remove(&q.delayed, item.heapIndex)
	case parked:
		delete(q.parked, item.key)
	}
}
