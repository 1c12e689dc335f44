package batch

import (
	"container/heap"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
)

// epochStart is where every local clock begins, apart from its offset.
var epochStart = time.Unix(1_700_000_000, 0)

// event is something that happens at a moment of true time.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if e[i].at != e[k].at {
		return e[i].at < e[k].at
	}
	return e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// schedule runs fn after d of true time.
func (w *world) schedule(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, fn: fn})
}

// runUntil plays the events up to end.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// host is a process with a clock of its own that can be paused and replaced.
type host struct {
	w *world
	// generation counts restarts; what an earlier one began is dropped.
	generation  int
	rate        float64
	pausedUntil time.Duration
	lost        time.Duration
	offset      time.Duration
}

func newHost(w *world) host {
	return host{w: w, rate: w.drift(), offset: w.upTo(time.Hour)}
}

// drift returns a random clock rate within the protocol's bound.
func (w *world) drift() float64 {
	return 1 + (2*w.random.Float64()-1)*lease.MaxClockDrift
}

// clock returns the host's monotonic clock; it stands still during a pause.
func (h *host) clock() time.Time {
	return epochStart.Add(h.offset + time.Duration(float64(h.w.now-h.lost)*h.rate))
}

// pause stops the host and its clock for d.
func (h *host) pause(d time.Duration) {
	until := h.w.now + d
	if until <= h.pausedUntil {
		return
	}
	h.lost += until - max(h.w.now, h.pausedUntil)
	h.pausedUntil = until
}

// process is one generation of a host.
type process struct {
	host       *host
	generation int
}

// process returns the host's present generation.
func (h *host) process() process { return process{host: h, generation: h.generation} }

// after runs fn on the host after d, unless it was replaced meanwhile.
func (h *host) after(d time.Duration, fn func()) { h.process().after(d, fn) }

func (p process) after(d time.Duration, fn func()) {
	p.host.w.schedule(d, func() { p.host.run(p.generation, fn) })
}

func (h *host) run(generation int, fn func()) {
	if h.generation != generation {
		return
	}
	if h.w.now < h.pausedUntil {
		h.w.schedule(h.pausedUntil-h.w.now, func() { h.run(generation, fn) })
		return
	}
	fn()
}
