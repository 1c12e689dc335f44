// Package queue orders the batch work that waits for a worker: urgent work
// first, then the team with the smallest share of its quota, and within a team
// the work that is needed earliest. Work that finds no room or can never run
// steps aside and blocks nobody.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Queue is the work waiting at one entry. The zero value is an empty queue.
type Queue struct {
	items   map[Key]*Item
	teams   map[string]*team
	order   []*team
	shapes  map[shape]*shapeState
	blocked []*shapeState
	woken   []*shapeState
	delayed itemHeap
	parked  map[Key]*Item
}

// Len returns the number of items that wait.
func (q *Queue) Len() int { return len(q.items) }

// Parked returns the number of items that fit no worker known.
func (q *Queue) Parked() int { return len(q.parked) }

// Add puts key in the queue from the moment until on, or replaces its entry.
func (q *Queue) Add(now time.Time, key Key, d Demand, until time.Time, reason Reason) {
	q.Remove(key)
	if q.items == nil {
		q.items = make(map[Key]*Item)
		q.shapes = make(map[shape]*shapeState)
		q.parked = make(map[Key]*Item)
		q.delayed.byUntil = true
	}
	item := &Item{key: key, demand: d, due: d.due(), since: now.UnixMilli(), bucket: q.bucket(&d)}
	item.bucket.shape.items++
	q.items[key] = item
	if until.After(now) {
		item.since = until.UnixMilli()
		q.delay(item, until, reason)
		return
	}
	item.bucket.push(item)
}

// Remove drops key from the queue.
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
	q.woken = slices.DeleteFunc(q.woken, func(o *shapeState) bool { return o == s })
	for _, b := range s.buckets {
		b.team.drop(b)
	}
}

// Item returns the item called key.
func (q *Queue) Item(key Key) (*Item, bool) {
	item, ok := q.items[key]
	return item, ok
}

// Reason returns why key waits.
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

// Next returns the item that should be placed now. The caller then calls
// Delay, Block, Park or Remove for it, or gets it again.
func (q *Queue) Next(now time.Time) (*Item, bool) {
	nowMS := now.UnixMilli()
	q.wake(nowMS)
	for i := range tiers {
		if item := q.next(nowMS, i); item != nil {
			return item, true
		}
	}
	return nil, false
}

func (q *Queue) next(nowMS int64, tierIndex int) *Item {
	var best *Item
	var standing float64
	for _, t := range q.order {
		head := t.head(tierIndex)
		if head == nil {
			continue
		}
		own := t.standing(nowMS, head)
		if best == nil || own < standing || (own == standing && before(head, best)) {
			best, standing = head, own
		}
	}
	return best
}

// Delay leaves key alone until the moment until.
func (q *Queue) Delay(key Key, until time.Time, reason Reason) {
	if item, ok := q.items[key]; ok {
		q.detach(item)
		q.delay(item, until, reason)
	}
}

// Block notes that no worker has room for key now. All work of about its size
// or larger waits until RoomFor or UnblockAll.
func (q *Queue) Block(key Key) {
	item, ok := q.items[key]
	if !ok {
		return
	}
	own := item.bucket.shape
	q.block(own, item.demand.Size)
	for _, s := range q.shapes {
		if !s.blocked && s.shape.urgent == own.shape.urgent && s.shape.count >= own.shape.count && item.demand.Size.Fits(s.shape.size) {
			q.block(s, s.shape.size)
		}
	}
}

func (q *Queue) block(s *shapeState, need worker.Resources) {
	s.need = need
	if !s.blocked {
		s.blocked = true
		q.blocked = append(q.blocked, s)
	}
}

// Starving returns the blocked item that is overdue the longest, if any is
// overdue by at least after. Room should be kept free for it.
func (q *Queue) Starving(now time.Time, after time.Duration) (*Item, bool) {
	limit := now.Add(-after).UnixMilli()
	var worst *Item
	for _, s := range q.blocked {
		for _, b := range s.buckets {
			if len(b.ready.items) == 0 {
				continue
			}
			head := b.ready.items[0]
			if head.due <= limit && (worst == nil || before(head, worst)) {
				worst = head
			}
		}
	}
	return worst, worst != nil
}

// Park notes that key fits no worker known. It waits for Reexamine.
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

// RoomFor notes that some worker now has free left: blocked work that may fit
// there is looked at again.
func (q *Queue) RoomFor(free worker.Resources) {
	still := q.blocked[:0]
	for _, s := range q.blocked {
		if s.need.Fits(free) {
			s.unblock()
			q.wakeShape(s)
			continue
		}
		still = append(still, s)
	}
	clear(q.blocked[len(still):])
	q.blocked = still
}

func (q *Queue) wakeShape(s *shapeState) {
	if !s.woken {
		s.woken = true
		q.woken = append(q.woken, s)
	}
}

// Reblock has work step aside again that was woken by RoomFor, if fits says
// that the room has been taken since.
func (q *Queue) Reblock(fits func(size worker.Resources) bool) {
	still := q.woken[:0]
	for _, s := range q.woken {
		switch {
		case s.blocked:
			s.woken = false
		case fits(s.need):
			still = append(still, s)
		default:
			s.woken = false
			q.block(s, s.need)
		}
	}
	clear(q.woken[len(still):])
	q.woken = still
}

// UnblockAll has all blocked work looked at again.
func (q *Queue) UnblockAll() {
	for _, s := range q.woken {
		s.woken = false
	}
	clear(q.woken)
	q.woken = q.woken[:0]
	for _, s := range q.blocked {
		s.unblock()
	}
	clear(q.blocked)
	q.blocked = q.blocked[:0]
}

// Reexamine has all parked and blocked work looked at again, as after a change
// of the workers or of the bundle.
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
	t.weigh()
}

// Charge counts size as used by a team.
func (q *Queue) Charge(name string, size worker.Resources) { q.team(name).charge(size) }

// Refund ends a charge.
func (q *Queue) Refund(name string, size worker.Resources) { q.team(name).refund(size) }

// Share returns a team's dominant share of its quota.
func (q *Queue) Share(name string) float64 { return q.team(name).share }

func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		if q.teams == nil {
			q.teams = make(map[string]*team)
		}
		t = new(team)
		q.order = append(q.order, t)
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

func (q *Queue) delay(item *Item, until time.Time, reason Reason) {
	item.state = delayed
	item.until = until.UnixMilli()
	item.reason = reason
	heap.Push(&q.delayed, item)
}

// wake makes the items ready whose delay has ended.
func (q *Queue) wake(nowMS int64) {
	for len(q.delayed.items) > 0 && q.delayed.items[0].until <= nowMS {
		item := heap.Pop(&q.delayed).(*Item)
		item.reason = ReasonQueued
		item.bucket.push(item)
	}
}

// detach takes an item out of the list that its state names.
func (q *Queue) detach(item *Item) {
	switch item.state {
	case ready:
		item.bucket.remove(item)
	case delayed:
		heap.Remove(&q.delayed, item.index)
	case parked:
		delete(q.parked, item.key)
	}
}
