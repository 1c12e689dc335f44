// Package batch simulates batch jobs under faults. It runs the decision code of
// entries and agents through seeded simulated runs with pauses, drifting clocks, log
// outages, lost, late and duplicated messages, partitions, crashes and waves of
// cancellations, and checks invariants on the history that results.
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

// Size and duration of a simulated run.
const (
	entryCount  = 3
	workerCount = 3
	// faultDuration is how long faults are injected, and maxSettleTime how long jobs
	// may take to end after the last fault.
	faultDuration = 60 * time.Second
	maxSettleTime = 150 * time.Second
	// maxFaultGap is the longest time from one fault to the next.
	maxFaultGap = 4 * time.Second
	// settleCheckInterval is how often the simulation checks whether all jobs have ended,
	// and runAfterSettled how long it continues after that.
	settleCheckInterval = 5 * time.Second
	runAfterSettled     = 10 * time.Second
)

// Probabilities of faults of single messages and calls while faults are injected.
const (
	messageLossRate = 0.03
	replyLossRate   = 0.04
	duplicateRate   = 0.02
	lateMessageRate = 0.04
	shortPageRate   = 0.2
)

// Upper bounds of message delays.
const (
	maxUsualMessageDelay = 40 * time.Millisecond
	maxLateMessageDelay  = 6 * time.Second
)

// Rules are the rules of the protocol that a test can replace by wrong ones. The zero
// value stands for the product's own rules.
type Rules struct {
	Holder    lease.Rules
	Reclaimer job.ReclaimerRules
	Responder job.HeartbeatResponderRules
}

// world is the simulated cluster with its queue of events. Its times are true time.
type world struct {
	random *rand.Rand
	rules  Rules
	now    time.Duration
	events events
	seq    int
	// faultless is set once no more faults are injected, and from the start of a run that
	// has none.
	faultless bool
	log       logService
	entries   []*entry
	agents    []*agent
	workers   []*machine
	// cutUntil holds, by sender and receiver, until when messages are dropped.
	cutUntil map[[2]string]time.Duration
	history  history
}

// Run performs the simulated run of a seed and returns the first violation found.
func Run(seed uint64) error { return run(seed, Rules{}) }

func newWorld(random *rand.Rand, rules Rules) *world {
	w := &world{random: random, rules: rules, cutUntil: make(map[[2]string]time.Duration)}
	w.log.w = w
	w.history.init()
	for i := range entryCount {
		w.entries = append(w.entries, newEntry(w, fmt.Sprintf("entry-%d", i)))
	}
	for i := range workerCount {
		name := fmt.Sprintf("worker-%d", i)
		m := newMachine(w, name)
		w.workers = append(w.workers, m)
		w.agents = append(w.agents, newAgent(w, name, m))
	}
	return w
}

func run(seed uint64, rules Rules) error {
	w := newWorld(rand.New(rand.NewPCG(seed, 5)), rules)
	w.scheduleJobs()
	w.schedule(maxFaultGap, w.injectFault)
	w.runUntil(faultDuration)
	w.endFaults()
	for end := faultDuration + maxSettleTime; w.now < end && !w.settled(); {
		w.runUntil(w.now + settleCheckInterval)
	}
	w.runUntil(w.now + runAfterSettled)
	return w.check()
}

// settled reports whether every job has ended and no entry has records to append.
func (w *world) settled() bool {
	for _, e := range w.entries {
		if e.sending || len(e.queued) > 0 {
			return false
		}
	}
	return w.history.allJobsEnded()
}

// randomUpTo returns a random duration from 0 to limit, limit included.
func (w *world) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

// chance returns true with the probability rate while faults are injected, and false
// afterwards.
func (w *world) chance(rate float64) bool { return !w.faultless && w.random.Float64() < rate }

// delay returns a random delay for a message.
func (w *world) delay() time.Duration {
	if w.chance(lateMessageRate) {
		return w.randomUpTo(maxLateMessageDelay)
	}
	return time.Millisecond + w.randomUpTo(maxUsualMessageDelay)
}

// send delivers a message once, twice or never, each time after a random delay. fn is how
// its receiver handles the message.
func (w *world) send(fn func()) {
	if w.chance(messageLossRate) {
		return
	}
	w.schedule(w.delay(), fn)
	if w.chance(duplicateRate) {
		w.schedule(w.delay(), fn)
	}
}

// reply runs fn, the caller's handling of a response, after a random delay. It does not
// run fn if the response is lost, or if the calling process has been replaced meanwhile.
func (w *world) reply(caller processGeneration, fn func()) {
	if w.chance(replyLossRate) {
		return
	}
	caller.after(w.delay(), fn)
}

// isCut reports whether messages from one process to another are dropped. sender and
// receiver are the names of the processes.
func (w *world) isCut(sender, receiver string) bool {
	return w.now < w.cutUntil[[2]string{sender, receiver}]
}

// scheduleJobs schedules submissions and waves of cancellations.
func (w *world) scheduleJobs() {
	const jobCount = 10
	var ids []string
	for i := range jobCount {
		id := fmt.Sprintf("job-%d", i)
		ids = append(ids, id)
		spec := record.Spec{
			ID: id, Team: "nursery", Class: "shaping", Tasks: 1 + w.random.Uint32N(3), Gang: w.random.IntN(3) == 0,
			Size:        worker.Resources{MilliCPU: 1000 + w.random.Int64N(2000), MemoryMB: 1024},
			ExpectedMS:  200 + w.random.Int64N(6000),
			MaxFailures: 1000, TakeoverMS: 2000 + w.random.Int64N(9000),
		}
		w.schedule(w.randomUpTo(faultDuration*2/3), func() { w.randomEntry().queue(&record.Submit{Spec: spec}) })
	}
	for range w.random.IntN(3) {
		w.random.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
		wave := append([]string(nil), ids[:1+w.random.IntN(4)]...)
		w.schedule(w.randomUpTo(faultDuration), func() { w.randomEntry().queue(&record.Cancel{Jobs: wave}) })
	}
}

func (w *world) randomEntry() *entry { return w.entries[w.random.IntN(len(w.entries))] }

// injectFault injects one random fault and schedules the next.
func (w *world) injectFault() {
	if w.faultless {
		return
	}
	duration := w.randomUpTo(12 * time.Second)
	e, a, m := w.randomEntry(), w.agents[w.random.IntN(workerCount)], w.workers[w.random.IntN(workerCount)]
	switch w.random.IntN(15) {
	case 0: // an entry is paused
		e.process.pause(duration)
	case 1: // an agent is paused
		a.process.pause(duration)
	case 2, 3: // an entry restarts
		e.restart()
	case 4, 5: // an agent restarts
		a.restart()
	case 6: // a worker's VM is replaced
		w.replaceVM(m)
	case 7: // the log is down
		w.log.downUntil = w.now + duration
	case 8, 9: // an agent is partitioned from one entry
		w.partition(e.name, a.name, duration)
	case 10: // an agent is partitioned from all entries
		for _, other := range w.entries {
			w.partition(other.name, a.name, duration)
		}
	case 11: // two entries are partitioned from each other
		w.partition(e.name, w.randomEntry().name, duration)
	case 12: // appends to the log are slow
		w.log.slowUntil = w.now + duration
	case 13, 14: // an agent is partitioned twice in short succession
		w.flap(a)
	}
	w.schedule(w.randomUpTo(maxFaultGap), w.injectFault)
}

// partition drops the messages between two processes for a while, in one direction, both
// or none. process and other are the names of the processes.
func (w *world) partition(process, other string, duration time.Duration) {
	if w.random.IntN(3) > 0 {
		w.cutUntil[[2]string{process, other}] = w.now + duration
	}
	if w.random.IntN(3) > 0 {
		w.cutUntil[[2]string{other, process}] = w.now + duration
	}
}

// flap partitions an agent from all entries, reconnects it briefly, and partitions it
// again. Until shortly before the second partition, the log fails appends.
func (w *world) flap(a *agent) {
	firstCut := job.LostAfter + w.randomUpTo(3*time.Second)
	secondCutAt := firstCut + time.Second + w.randomUpTo(4*time.Second)
	cut := func(duration time.Duration) {
		for _, e := range w.entries {
			w.cutUntil[[2]string{e.name, a.name}] = w.now + duration
			w.cutUntil[[2]string{a.name, e.name}] = w.now + duration
		}
	}
	cut(firstCut)
	w.log.readOnlyUntil = w.now + secondCutAt - w.randomUpTo(time.Second)
	w.schedule(secondCutAt, func() {
		if !w.faultless {
			cut(secondCutAt)
		}
	})
}

// replaceVM replaces a worker's VM, and half of the time restarts its agent too.
func (w *world) replaceVM(m *machine) {
	m.replaceVM()
	if w.random.IntN(2) == 0 {
		w.agents[m.index()].restart()
	}
}

// endFaults ends all faults and injects no more.
func (w *world) endFaults() {
	w.faultless = true
	clear(w.cutUntil)
	w.log.downUntil, w.log.slowUntil, w.log.readOnlyUntil = 0, 0, 0
}
