// Package request explores schedules of interactive requests: it drives the
// code that decides about attempts and their fate through seeded interleavings
// of losses, delays, duplicates, crossed answers and restarts, and checks what
// callers are told against what ran.
package request

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// Broken promises.
var (
	// ErrDoubleRun means that a request that must not be repeated ran twice.
	ErrDoubleRun = errors.New("a request that must not be repeated ran more than once")
	// ErrFalseNotRun means that a caller was told "not run" of a request that ran.
	ErrFalseNotRun = errors.New("a request that was called not run did run")
	// ErrCrossed means that a caller got the answer to another request.
	ErrCrossed = errors.New("a caller got the answer to another request")
	// ErrOverfull means that an endpoint worked on more than it has slots.
	ErrOverfull = errors.New("an endpoint worked on more requests than it has slots")
	// ErrNoAnswer means that a caller was told nothing although its entry lived.
	ErrNoAnswer = errors.New("a caller was never told anything")
)

// Sizes of a world.
const (
	agents      = 2
	entries     = 2
	requests    = 24
	slots       = 2
	connections = 4
	bookSize    = 6
)

// Times of a world.
const (
	horizon      = 4 * time.Second
	beatEvery    = 50 * time.Millisecond
	mostDelay    = 60 * time.Millisecond
	lateDelay    = 900 * time.Millisecond
	mostWork     = 200 * time.Millisecond
	giveUpAfter  = 300 * time.Millisecond
	questionTime = 150 * time.Millisecond
	deadline     = 1500 * time.Millisecond
)

// rules are the decisions under test; a test replaces one by a wrong one.
type rules struct {
	ask     func(b *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, mark uint64) endpoint.AttemptState
	admit   func(b *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, mark uint64) endpoint.Admission
	again   func(c *endpoint.AttemptTracker, over bool) bool
	same    func(a, b endpoint.AttemptID) bool
	current func(query, own uint64) bool
}

func trueRules() rules {
	return rules{
		ask:     (*endpoint.DedupTable).QueryOrFence,
		admit:   (*endpoint.DedupTable).Admit,
		again:   (*endpoint.AttemptTracker).MayRetry,
		same:    func(a, b endpoint.AttemptID) bool { return a == b },
		current: func(query, own uint64) bool { return query == own },
	}
}

// Run explores the schedule of a seed and returns the first broken promise.
func Run(seed uint64) error { return run(seed, trueRules()) }

func run(seed uint64, r rules) error {
	w := newWorld(seed, r)
	for len(w.events) > 0 && w.err == nil {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.do()
	}
	return w.verdict()
}

// event is something that happens at a time; ties go in order of creation.
type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an element for package heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop removes the last element for package heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// world is one seeded schedule.
type world struct {
	rules   rules
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  eventHeap
	order   int
	agents  []*agent
	entries []*entry
	callers []*caller
	err     error
	// loss and chaos are the parts of messages lost and of those that are
	// late, doubled or crossed.
	loss, chaos float64
}

// caller is one request and what became of it.
type caller struct {
	name   string
	repeat bool
	entry  *entry
	life   int
	runs   int
	told   bool
	notRun bool
}

func newWorld(seed uint64, r rules) *world {
	w := &world{rules: r, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1, 0)}
	w.now = w.start
	w.loss = w.random.Float64() * 0.3
	w.chaos = w.random.Float64() * 0.3
	for i := range agents {
		a := &agent{w: w, name: string(rune('a' + i))}
		a.restart()
		w.agents = append(w.agents, a)
		w.at(0, a.beat)
	}
	for range entries {
		w.entries = append(w.entries, &entry{w: w, marks: make(map[*agent]known)})
	}
	for i := range requests {
		c := &caller{name: "request-" + string(rune('a'+i)), repeat: w.random.IntN(3) == 0}
		w.callers = append(w.callers, c)
		w.at(w.span(beatEvery, horizon/2), func() { w.entries[w.random.IntN(entries)].begin(c) })
	}
	for _, a := range w.agents {
		for range w.random.IntN(3) {
			w.at(w.span(0, horizon/2), a.restart)
		}
	}
	if w.random.IntN(2) == 0 {
		w.at(w.span(0, horizon/2), w.entries[0].restart)
	}
	return w
}

// at schedules fn after d.
func (w *world) at(d time.Duration, fn func()) {
	w.order++
	heap.Push(&w.events, &event{at: w.now.Add(d), order: w.order, do: fn})
}

// span returns a random time from least to most.
func (w *world) span(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// send delivers a message by fn once, several times, late or never.
func (w *world) send(fn func()) {
	if w.random.Float64() < w.loss {
		return
	}
	most := mostDelay
	if w.random.Float64() < w.chaos {
		most = lateDelay
	}
	w.at(w.span(0, most), fn)
	if w.random.Float64() < w.chaos/2 {
		w.at(w.span(0, lateDelay), fn)
	}
}

func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// verdict checks the callers when everything has come to rest.
func (w *world) verdict() error {
	for _, c := range w.callers {
		switch {
		case w.err != nil:
		case !c.repeat && c.runs > 1:
			w.fail(errors.Wrapf(ErrDoubleRun, "%s", c.name))
		case c.notRun && c.runs > 0:
			w.fail(errors.Wrapf(ErrFalseNotRun, "%s", c.name))
		case !c.told && c.entry != nil && c.life == c.entry.life:
			w.fail(errors.Wrapf(ErrNoAnswer, "%s", c.name))
		}
	}
	return w.err
}
