package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// vacate ends every run at a worker.
func (b *Board) vacate(now time.Time, h *host) {
	h.unknown = unknown{}
	delete(b.unknowns, h)
	for _, r := range h.runs {
		b.lost = append(b.lost, Lost{Task: r.id, Run: r.number, Worker: h.name})
		b.finish(now, 0, h, &End{Task: r.id, Run: r.number, How: HowGone})
	}
}

// Lost is a run that ended with its worker.
type Lost struct {
	Task   workflow.TaskID
	Run    uint64
	Worker string
}

// TakeLost returns the runs that were lost since the last call.
func (b *Board) TakeLost() []Lost {
	out := b.lost
	b.lost = nil
	return out
}

// Silent notes that a worker is not heard; it gets no further orders.
func (b *Board) Silent(name string) {
	if h := b.workers[name]; h != nil {
		h.silent = true
	}
}

// Lapsed notes that everything at a worker has ended.
func (b *Board) Lapsed(now time.Time, name string) int {
	delete(b.unheard, name)
	h := b.workers[name]
	if h == nil {
		return 0
	}
	n := len(h.runs)
	b.vacate(now, h)
	h.silent = true
	h.lapsed = true
	return n
}

// Vacated notes that a worker has no runner; everything at it has ended.
func (b *Board) Vacated(now time.Time, name string) int {
	n := b.Lapsed(now, name)
	if h := b.workers[name]; h != nil {
		h.life = 0
	}
	return n
}
