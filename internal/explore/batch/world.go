// Package batch explores jobs under faults: it drives the deciding code of
// entries and agents over seeded schedules of pauses, drifting clocks, log
// outages, lost, late and doubled messages, partitions, deaths and cancellation
// waves, and checks the history that results.
package batch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Size and length of an exploration.
const (
	entries = 3
	workers = 3
	// faultsFor is how long faults go on, and settleFor the quiet time after.
	faultsFor = 60 * time.Second
	settleFor = 150 * time.Second
	faultGap  = 4 * time.Second
	// settleStep is how often the end of all jobs is looked for, and lastLook
	// how long the world goes on after it.
	settleStep = 5 * time.Second
	lastLook   = 10 * time.Second
)

// Probabilities of single faults while they go on.
const (
	lostMessage   = 0.03
	lostReply     = 0.04
	doubleMessage = 0.02
	lateMessage   = 0.04
	shortPage     = 0.2
)

// Delays of messages.
const (
	usualDelay = 40 * time.Millisecond
	lateDelay  = 6 * time.Second
)

// Rules are the rules of the protocol that an exploration replaces.
type Rules struct {
	Holder lease.Rules
	Taker  job.ReclaimerRules
	Relay  job.HeartbeatResponderRules
}

// world is everything that takes part, in true time.
type world struct {
	random  *rand.Rand
	rules   Rules
	now     time.Duration
	events  events
	seq     int
	calm    bool
	log     logService
	entries []*entry
	agents  []*agent
	workers []*machine
	cut     map[[2]string]time.Duration
	history history
}

// Run explores one schedule and returns the first violation found.
func Run(seed uint64) error { return run(seed, Rules{}) }

func newWorld(random *rand.Rand, rules Rules) *world {
	w := &world{random: random, rules: rules, cut: make(map[[2]string]time.Duration)}
	w.log.w = w
	w.history.init()
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, fmt.Sprintf("entry-%d", i)))
	}
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		m := newMachine(w, name)
		w.workers = append(w.workers, m)
		w.agents = append(w.agents, newAgent(w, name, m))
	}
	return w
}

func run(seed uint64, rules Rules) error {
	w := newWorld(rand.New(rand.NewPCG(seed, 5)), rules)
	w.submitJobs()
	w.schedule(faultGap, w.fault)
	w.runUntil(faultsFor)
	w.heal()
	for end := faultsFor + settleFor; w.now < end && !w.settled(); {
		w.runUntil(w.now + settleStep)
	}
	w.runUntil(w.now + lastLook)
	return w.check()
}

// settled reports whether every job has ended and no record waits for the log.
func (w *world) settled() bool {
	for _, e := range w.entries {
		if e.sending || len(e.waiting) > 0 {
			return false
		}
	}
	return w.history.ended()
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) chance(p float64) bool { return !w.calm && w.random.Float64() < p }

// delay returns how long a message is on its way.
func (w *world) delay() time.Duration {
	if w.chance(lateMessage) {
		return w.upTo(lateDelay)
	}
	return time.Millisecond + w.upTo(usualDelay)
}

// send delivers a message once, twice or never.
func (w *world) send(fn func()) {
	if w.chance(lostMessage) {
		return
	}
	w.schedule(w.delay(), fn)
	if w.chance(doubleMessage) {
		w.schedule(w.delay(), fn)
	}
}

// reply delivers an answer to the process that asked, unless it has ended.
func (w *world) reply(to process, fn func()) {
	if w.chance(lostReply) {
		return
	}
	to.after(w.delay(), fn)
}

// isCut reports whether messages from one name to another are dropped.
func (w *world) isCut(from, to string) bool { return w.now < w.cut[[2]string{from, to}] }

// submitJobs plans submissions and waves of cancellations.
func (w *world) submitJobs() {
	const jobs = 10
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		ids = append(ids, id)
		spec := record.Spec{
			ID: id, Team: "nursery", Class: "shaping", Tasks: 1 + w.random.Uint32N(3), Gang: w.random.IntN(3) == 0,
			Size:        worker.Resources{MilliCPU: 1000 + w.random.Int64N(2000), MemoryMB: 1024},
			ExpectedMS:  200 + w.random.Int64N(6000),
			MaxFailures: 1000, TakeoverMS: 2000 + w.random.Int64N(9000),
		}
		w.schedule(w.upTo(faultsFor*2/3), func() { w.anyEntry().queue(&record.Submit{Spec: spec}) })
	}
	for range w.random.IntN(3) {
		w.random.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
		wave := append([]string(nil), ids[:1+w.random.IntN(4)]...)
		w.schedule(w.upTo(faultsFor), func() { w.anyEntry().queue(&record.Cancel{Jobs: wave}) })
	}
}

func (w *world) anyEntry() *entry { return w.entries[w.random.IntN(len(w.entries))] }

// fault brings about one fault and plans the next.
func (w *world) fault() {
	if w.calm {
		return
	}
	long := w.upTo(12 * time.Second)
	e, a, m := w.anyEntry(), w.agents[w.random.IntN(workers)], w.workers[w.random.IntN(workers)]
	switch w.random.IntN(15) {
	case 0:
		e.host.pause(long)
	case 1:
		a.host.pause(long)
	case 2, 3:
		e.restart()
	case 4, 5:
		a.restart()
	case 6:
		w.replaceVM(m)
	case 7:
		w.log.down = w.now + long
	case 8, 9:
		w.partition(e.name, a.name, long)
	case 10:
		for _, other := range w.entries {
			w.partition(other.name, a.name, long)
		}
	case 11:
		w.partition(e.name, w.anyEntry().name, long)
	case 12:
		w.log.slow = w.now + long
	case 13, 14:
		w.flap(a)
	}
	w.schedule(w.upTo(faultGap), w.fault)
}

// partition cuts one way or both.
func (w *world) partition(a, b string, d time.Duration) {
	if w.random.IntN(3) > 0 {
		w.cut[[2]string{a, b}] = w.now + d
	}
	if w.random.IntN(3) > 0 {
		w.cut[[2]string{b, a}] = w.now + d
	}
}

// flap cuts an agent off from all entries, lets it back for a moment, and cuts
// it off again, while the log takes no appends.
func (w *world) flap(a *agent) {
	first := job.LostAfter + w.upTo(3*time.Second)
	second := first + time.Second + w.upTo(4*time.Second)
	cut := func(d time.Duration) {
		for _, e := range w.entries {
			w.cut[[2]string{e.name, a.name}] = w.now + d
			w.cut[[2]string{a.name, e.name}] = w.now + d
		}
	}
	cut(first)
	w.log.readOnly = w.now + second - w.upTo(time.Second)
	w.schedule(second, func() {
		if !w.calm {
			cut(second)
		}
	})
}

// replaceVM loses a worker's tasks, and half of the time its agent too.
func (w *world) replaceVM(m *machine) {
	m.lose()
	if w.random.IntN(2) == 0 {
		w.agents[m.index()].restart()
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.calm = true
	clear(w.cut)
	w.log.down, w.log.slow, w.log.readOnly = 0, 0, 0
}
