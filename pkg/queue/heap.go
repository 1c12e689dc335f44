package queue

// itemHeap orders items by a moment; it keeps each item's index.
type itemHeap struct {
	items []*Item
	// byUntil orders by when a delay ends, otherwise by when the work is due.
	byUntil bool
}

func (h *itemHeap) Len() int { return len(h.items) }

func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byUntil {
		return a.until < b.until
	}
	return before(a, b)
}

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(h.items)
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

// before reports whether a is due before b; ties go to the lower key, so that
// every entry has the same order.
func before(a, b *Item) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	if a.key.Job != b.key.Job {
		return a.key.Job < b.key.Job
	}
	return a.key.Task < b.key.Task
}
