// Package request simulates interactive requests under faults. It runs the code that
// decides on attempts through seeded interleavings of lost, late, duplicated and
// misdelivered messages and of restarts. It compares what callers are told about their
// requests with what ran.
package request

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// Violations that Run returns.
var (
	// ErrDoubleRun means that a request that must not be repeated ran twice.
	ErrDoubleRun = errors.New("request that must not be repeated ran more than once")
	// ErrFalseNotRun means that a caller was told that a request did not run, and it did.
	ErrFalseNotRun = errors.New("request reported as not run did run")
	// ErrWrongResponse means that a caller got the response to another request.
	ErrWrongResponse = errors.New("caller got the response to another request")
	// ErrTooManyRunning means that an endpoint ran more requests at a time than it has slots.
	ErrTooManyRunning = errors.New("endpoint ran more requests than it has slots")
	// ErrNoResponse means that a caller got no response although its entry did not restart.
	ErrNoResponse = errors.New("caller never got a response")
)

// Sizes of a simulated run.
const (
	agentCount          = 2
	entryCount          = 2
	requestCount        = 24
	slotsPerAgent       = 2
	connectionsPerAgent = 4
	maxEndedAttempts    = 6
)

// Times of a simulated run.
const (
	// horizon is how long agents send heartbeats. Requests and restarts take place in the
	// first half of this time.
	horizon              = 4 * time.Second
	heartbeatInterval    = 50 * time.Millisecond
	maxUsualMessageDelay = 60 * time.Millisecond
	maxLateMessageDelay  = 900 * time.Millisecond
	maxRunDuration       = 200 * time.Millisecond
	responseTimeout      = 300 * time.Millisecond
	queryTimeout         = 150 * time.Millisecond
	requestTimeout       = 1500 * time.Millisecond
)

// rules are the decisions of the product under test. The mutant test replaces one at a
// time by a wrong one.
type rules struct {
	query           func(table *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, mark uint64) endpoint.AttemptState
	admit           func(table *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, mark uint64) endpoint.Admission
	mayRetry        func(tracker *endpoint.AttemptTracker, pastDeadline bool) bool
	sameAttempt     func(a, b endpoint.AttemptID) bool
	sameIncarnation func(query, own uint64) bool
}

// productRules returns the rules of the product.
func productRules() rules {
	return rules{
		query:           (*endpoint.DedupTable).QueryOrFence,
		admit:           (*endpoint.DedupTable).Admit,
		mayRetry:        (*endpoint.AttemptTracker).MayRetry,
		sameAttempt:     func(a, b endpoint.AttemptID) bool { return a == b },
		sameIncarnation: func(query, own uint64) bool { return query == own },
	}
}

// Run performs the simulated run of a seed and returns the first violation found.
func Run(seed uint64) error { return run(seed, productRules()) }

func run(seed uint64, r rules) error {
	w := newWorld(seed, r)
	for len(w.events) > 0 && w.err == nil {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.fn()
	}
	return w.check()
}

// event is a function that runs at a time. Events of the same time run in the order
// of seq, that of their creation.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
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

// world is the simulated cluster with its queue of events.
type world struct {
	rules   rules
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  eventHeap
	seq     int
	agents  []*agent
	entries []*entry
	callers []*caller
	err     error
	// lossRate is the probability that a message is lost. disorderRate is the probability
	// that a message is late; half of disorderRate is the probability that a message is
	// duplicated, and a quarter of it the probability that a reply is misdelivered or that
	// a run of a request ends with an unknown outcome.
	lossRate, disorderRate float64
}

// caller is the caller of one request. runs counts how often the request was run, and
// entryLife is the life of the entry that received it.
type caller struct {
	name       string
	mayRepeat  bool
	entry      *entry
	entryLife  int
	runs       int
	responded  bool
	toldNotRun bool
}

func newWorld(seed uint64, r rules) *world {
	w := &world{rules: r, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1, 0)}
	w.now = w.start
	w.lossRate = w.random.Float64() * 0.3
	w.disorderRate = w.random.Float64() * 0.3
	for i := range agentCount {
		a := &agent{w: w, name: string(rune('a' + i))}
		a.restart()
		w.agents = append(w.agents, a)
		w.schedule(0, a.sendHeartbeats)
	}
	for range entryCount {
		w.entries = append(w.entries, &entry{w: w, marks: make(map[*agent]agentMark)})
	}
	for i := range requestCount {
		c := &caller{name: "request-" + string(rune('a'+i)), mayRepeat: w.random.IntN(3) == 0}
		w.callers = append(w.callers, c)
		w.schedule(w.randomBetween(heartbeatInterval, horizon/2), func() { w.entries[w.random.IntN(entryCount)].handleRequest(c) })
	}
	for _, a := range w.agents {
		for range w.random.IntN(3) {
			w.schedule(w.randomBetween(0, horizon/2), a.restart)
		}
	}
	if w.random.IntN(2) == 0 {
		w.schedule(w.randomBetween(0, horizon/2), w.entries[0].restart)
	}
	return w
}

// schedule runs fn after the given delay.
func (w *world) schedule(delay time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, &event{at: w.now.Add(delay), seq: w.seq, fn: fn})
}

// randomBetween returns a random duration from lowest to highest.
func (w *world) randomBetween(lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(w.random.Int64N(int64(highest-lowest)+1))
}

// send delivers a message once, twice or never, sometimes late. fn is how its receiver
// handles the message.
func (w *world) send(fn func()) {
	if w.random.Float64() < w.lossRate {
		return
	}
	maxDelay := maxUsualMessageDelay
	if w.random.Float64() < w.disorderRate {
		maxDelay = maxLateMessageDelay
	}
	w.schedule(w.randomBetween(0, maxDelay), fn)
	if w.random.Float64() < w.disorderRate/2 {
		w.schedule(w.randomBetween(0, maxLateMessageDelay), fn)
	}
}

// fail notes a violation. Only the first one is kept.
func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// check checks what the callers were told after the last event, and returns the first
// violation.
func (w *world) check() error {
	for _, c := range w.callers {
		switch {
		case w.err != nil:
		case !c.mayRepeat && c.runs > 1:
			w.fail(errors.Wrapf(ErrDoubleRun, "%s", c.name))
		case c.toldNotRun && c.runs > 0:
			w.fail(errors.Wrapf(ErrFalseNotRun, "%s", c.name))
		case !c.responded && c.entry != nil && c.entryLife == c.entry.life:
			w.fail(errors.Wrapf(ErrNoResponse, "%s", c.name))
		}
	}
	return w.err
}
