package queue

// itemHeap implements heap.Interface for items ordered by a time. It keeps
// Item.heapIndex up to date.
type itemHeap struct {
	items []*Item
	// byDelay orders items by delayedUntilMS instead of by dueMS.
	byDelay bool
}

func (h *itemHeap) Len() int { return len(h.items) }

func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byDelay {
		return a.delayedUntilMS < b.delayedUntilMS
	}
	return dueBefore(a, b)
}

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex, h.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return item
}

// dueBefore reports whether a is due before b. Ties are broken by key, so that
// every entry uses the same order.
func dueBefore(a, b *Item) bool {
	if a.dueMS != b.dueMS {
		return a.dueMS < b.dueMS
	}
	if a.key.Job != b.key.Job {
		return a.key.Job < b.key.Job
	}
	return a.key.Task < b.key.Task
}
