package batch

import (
	"container/heap"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
)

// clockBase is what a local clock without an offset shows when the simulation starts.
var clockBase = time.Unix(1_700_000_000, 0)

// event is a function that runs at a point of true time, the simulation's global clock.
// Events of the same time run in the order of seq, that of their creation.
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

// schedule runs fn after the given delay in true time.
func (w *world) schedule(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + delay, seq: w.seq, fn: fn})
}

// runUntil runs the events up to end in the order of their times.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// process is a simulated process. It has a drifting clock of its own, and can be
// paused and replaced.
type process struct {
	w *world
	// generation counts restarts; callbacks of an earlier generation are dropped.
	generation int
	// rate is how fast the process's clock runs, 1 being exact.
	rate        float64
	pausedUntil time.Duration
	// pausedFor is the total time of all pauses.
	pausedFor time.Duration
	// offset is what the clock shows beyond clockBase at the start.
	offset time.Duration
}

func newProcess(w *world) process {
	return process{w: w, rate: w.drift(), offset: w.randomUpTo(time.Hour)}
}

// drift returns a random clock rate within the protocol's bound.
func (w *world) drift() float64 {
	return 1 + (2*w.random.Float64()-1)*lease.MaxClockDrift
}

// clock returns the process's monotonic clock, which stands still during a pause.
func (p *process) clock() time.Time {
	return clockBase.Add(p.offset + time.Duration(float64(p.w.now-p.pausedFor)*p.rate))
}

// pause stops the process and its clock for a while.
func (p *process) pause(duration time.Duration) {
	until := p.w.now + duration
	if until <= p.pausedUntil {
		return
	}
	p.pausedFor += until - max(p.w.now, p.pausedUntil)
	p.pausedUntil = until
}

// processGeneration is one generation of a process.
type processGeneration struct {
	process    *process
	generation int
}

// generationRef returns the process's present generation.
func (p *process) generationRef() processGeneration {
	return processGeneration{process: p, generation: p.generation}
}

// after runs fn in the process after the given delay, unless the process is replaced
// before.
func (p *process) after(delay time.Duration, fn func()) { p.generationRef().after(delay, fn) }

func (p processGeneration) after(delay time.Duration, fn func()) {
	p.process.w.schedule(delay, func() { p.process.run(p.generation, fn) })
}

// run calls fn, at the end of the pause if the process is paused, unless the process was
// replaced since the given generation.
func (p *process) run(generation int, fn func()) {
	if p.generation != generation {
		return
	}
	if p.w.now < p.pausedUntil {
		p.w.schedule(p.pausedUntil-p.w.now, func() { p.run(generation, fn) })
		return
	}
	fn()
}
