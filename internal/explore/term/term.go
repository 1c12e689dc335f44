// Package term simulates dispatch under leadership terms: entries that claim
// leadership, agents that run tasks for the time of a worker lease, and runners that
// end runs without a lease. Clocks drift; processes freeze and restart; connections
// break; responses of the store and of runners are lost, and calls take effect late.
package term

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Size and duration of a simulated run.
const (
	tickInterval = 20 * time.Millisecond
	entryCount   = 3
	workerCount  = 4
	jobCount     = 8
	// occurrenceCount is how often jobs that repeat run.
	occurrenceCount = 3
	// faultDuration is how long new faults are injected.
	faultDuration = 20 * time.Second
	// totalDuration is the duration of the whole run, at whose end all jobs must be
	// completed. It leaves time for an entry that is isolated for 22 s, and for the longest
	// wait for a worker that has not reported, 15.5 s.
	totalDuration = 80 * time.Second
)

// clockBase is the true time, the simulation's global clock, at which it begins.
var clockBase = time.Unix(1_700_000_000, 0)

// Run performs the simulated run of a seed and returns the first violation found.
func Run(seed uint64) error { return run(seed, Rules{}, 0) }

// Kinds is a set of kinds of faults beyond the basic ones. If it is not empty, the calls of entries to the
// store and of agents to their runners take time and have outcomes of their own, a term begins in steps,
// and runners stay away for a while after a crash.
type Kinds uint

// The kinds of faults.
const (
	// SlowCalls adds nothing to what every set of kinds does.
	SlowCalls Kinds = 1 << iota
	// OverlappingReads lets an entry read job records in turn while it begins a term.
	OverlappingReads
	// JointRestarts restarts an agent together with its runner, at times while an entry is isolated.
	JointRestarts
	// Resubmissions submits jobs again at other entries, which tell the dispatcher of them directly.
	Resubmissions
	// LateRepeats makes the store answer the repetition of an append although a later term has begun.
	LateRepeats
	// Occurrences makes jobs repeat, and the wall clocks of entries differ by up to three seconds.
	Occurrences
	// Retention makes dispatchers forget jobs some time after their end, and parts of the store fail.
	Retention
	// Departures makes dispatchers take workers off the roster that are certainly gone.
	Departures
	// OrderlyDepartures ends runners in order. Their agents tell the entries so, and agents that have told nobody of
	// their registration are registered anew.
	OrderlyDepartures
	// AgentStops ends agents in order, with the runs at their runners left over. They tell the entries by when the leases
	// of these end. It needs OrderlyDepartures.
	AgentStops
	// Refusals makes half of the cuts that isolate an entry refuse connections to it.
	Refusals
	// PartialViews cuts links between single processes, and between processes and the store. Agents judge orders by what
	// they prove, and the rules with a time bound are checked.
	PartialViews
	// SecondRuns lets several runs of the tasks of some jobs run at a time. Some runs fail or stand still.
	SecondRuns
	// Cancellations cancels some jobs, which have more steps.
	Cancellations
	// Pauses makes processes stand still at single points for a few milliseconds to seconds.
	Pauses
	// QuickRestarts has runners return within milliseconds of a crash.
	QuickRestarts
	// LongCuts adds cuts that last for longer than all leases. Tasks take longer. It needs PartialViews.
	LongCuts
	// LateSubmissions has the store carry out some submissions late and without an answer, and jobs cancelled that are not
	// known. It needs PartialViews and Cancellations.
	LateSubmissions
)

// world is the simulated cluster with its scheduled events. Times given as durations
// are true time since the start of the simulated run.
type world struct {
	rules       Rules
	kinds       Kinds
	random      *rand.Rand
	now         time.Duration
	scheduled   []event
	lastOrder   uint64
	store       standin.Store
	storeClient store.Client
	// unreachable is the store client of an isolated entry: it refuses every call.
	unreachable store.Client
	// violation is the first violation that the processes have found themselves.
	violation error
	// history records the starts and ends of runs at all runners, and the violations
	// found.
	history standin.History
	entries []*entry
	agents  []*agent
	judge   judge
	// cuts holds the faults of links. Until lossyUntil the store loses answers and requests, and until coreDisturbedUntil it
	// is disrupted.
	cuts                           map[link]cut
	lossyUntil, coreDisturbedUntil time.Duration
	// misbehaved holds the tasks of which a run has failed or stood still.
	misbehaved map[string]bool
	// faults counts the injected faults.
	faults int
	// trace, if set, is told what happens.
	trace func(line string)
}

// note traces an event.
func (w *world) note(format string, args ...any) {
	if w.trace != nil {
		w.trace(w.now.String() + " " + fmt.Sprintf(format, args...))
	}
}

// event is a function that runs at a point of true time.
type event struct {
	at time.Duration
	// order is the place of the event among those that are due at the same time.
	order uint64
	fn    func()
}

func run(seed uint64, rules Rules, kinds Kinds) error { return runTraced(seed, rules, kinds, nil) }

func runTraced(seed uint64, rules Rules, kinds Kinds, trace func(line string)) error {
	rules.setDefaults()
	w := &world{rules: rules, kinds: kinds, random: rand.New(rand.NewPCG(seed, 1)), trace: trace}
	w.storeClient = w.store.Client()
	w.store.FenceRepeats = kinds&LateRepeats == 0
	refusing := new(standin.Store)
	refusing.SetFault(store.ErrRefused, false)
	w.unreachable = refusing.Client()
	w.cuts = make(map[link]cut)
	w.watchHistory()
	for i := range entryCount {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range workerCount {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for i := range jobCount {
		submitAt := w.randomUpTo(faultDuration)
		w.schedule(submitAt, func() { w.submit(i) })
		if w.isCancelled(i) {
			w.schedule(submitAt+w.randomUpTo(4*time.Second), func() { w.cancel(i) })
		}
	}
	for w.now < totalDuration {
		w.now += tickInterval
		w.breakConnections()
		w.runDue()
		if w.now < faultDuration && w.random.IntN(w.faultSpacing()) == 0 {
			w.injectFault()
		}
		for _, a := range w.agents {
			a.runner.EndDueRuns(w.trueTime())
		}
		for _, e := range w.entries {
			e.runIfUp(e.tick)
		}
		for _, a := range w.agents {
			a.runIfUp(a.tick)
		}
		if w.violation != nil {
			return w.violation
		}
		if violations := w.history.Violations(); len(violations) > 0 {
			return errors.Newf("at %s: %s", w.now, violations[0])
		}
		if len(w.judge.violations) > 0 {
			return errors.Newf("at %s: %s", w.now, w.judge.violations[0])
		}
	}
	return w.checkJobs()
}

// trueTime returns the true time.
func (w *world) trueTime() time.Time { return clockBase.Add(w.now) }

// randomUpTo returns a random duration from 0 up to but not including limit.
func (w *world) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// schedule runs fn after the given delay in true time.
func (w *world) schedule(delay time.Duration, fn func()) {
	w.lastOrder++
	w.scheduleAs(w.lastOrder, delay, fn)
}

// scheduleAs is schedule for an event that keeps the place of an earlier one.
func (w *world) scheduleAs(order uint64, delay time.Duration, fn func()) {
	w.scheduled = append(w.scheduled, event{w.now + delay, order, fn})
}

// runDue runs the events that are due, in the order in which they were scheduled. With an empty set of kinds,
// events that others schedule meanwhile may come before those that are not due yet, so that messages of a
// connection may overtake each other.
func (w *world) runDue() {
	events := w.scheduled
	w.scheduled = nil
	var due []event
	for _, e := range events {
		switch {
		case e.at > w.now:
			w.scheduled = append(w.scheduled, e)
		case w.kinds == 0:
			e.fn()
		default:
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(x, y event) int { return cmp.Compare(x.order, y.order) })
	for _, e := range due {
		e.fn()
	}
}

func jobName(index int) string { return fmt.Sprintf("job%d", index) }

// submit stores the job with an index, as an entry does before it responds to its caller.
func (w *world) submit(index int) {
	submission := &workflow.Submission{ID: jobName(index), Queue: "q", AcceptedMS: w.trueTime().UnixMilli(), Term: w.knownTerm(), Spec: workflow.Spec{Steps: w.jobSteps(index)}}
	if w.kinds&Occurrences != 0 {
		submission.Spec.RepeatCount, submission.Spec.FirstDueMS, submission.Spec.IntervalMS = occurrenceCount, w.trueTime().UnixMilli(), 1500
	}
	if w.kinds&Resubmissions != 0 {
		w.submitInSteps(submission)
		w.schedule(w.randomUpTo(4*time.Second), func() { w.submitInSteps(submission) })
		return
	}
	record, err := workflow.SubmissionRecord(submission)
	if err != nil {
		panic(err)
	}
	attempt := func() {
		_, err := w.storeClient.Append(context.Background(), store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{record}})
		if err != nil {
			w.schedule(tickInterval, func() { w.submit(index) }) // the caller retries
		}
	}
	if w.kinds&LateSubmissions != 0 && w.random.IntN(2) == 0 {
		w.schedule(w.randomUpTo(maxLateCall), attempt)
		return
	}
	attempt()
}

// knownTerm returns the newest term that a random entry knows.
func (w *world) knownTerm() uint64 {
	return w.entries[w.random.IntN(entryCount)].candidate.Claim().Term
}

// checkJobs returns an error if a job is not completed, or is completed although no
// run of one of its tasks did its work.
func (w *world) checkJobs() error {
	records, _, err := w.storeClient.AllNewest(context.Background(), store.TopicProgress)
	if err != nil {
		return err
	}
	var jobTable workflow.JobTable
	for _, r := range records {
		if _, ok := workflow.JobOfRecord(r.Record); !ok {
			continue
		}
		if _, err := jobTable.Apply(r.Record, r.Offset); err != nil {
			return err
		}
	}
	for i := range jobCount {
		j, ok := jobTable.Job(jobName(i))
		forgotten := w.kinds&Retention != 0 && (!ok || j.Phase() == workflow.PhaseQueued)
		if w.isCancelled(i) && (forgotten || ok && j.Phase() == workflow.PhaseCancelled) {
			continue
		}
		if !forgotten && (!ok || j.Phase() != workflow.PhaseCompleted) {
			phase := workflow.PhaseQueued
			if ok {
				phase = j.Phase()
			}
			return errors.Newf("%s is %s, not completed, %s after the last fault", jobName(i), phase, totalDuration-faultDuration)
		}
		for _, name := range w.taskNames(i) {
			if !w.history.Completed(name) {
				return errors.Newf("%s is completed, but no run of %s did its work", jobName(i), name)
			}
		}
	}
	return nil
}

// taskNames returns the names of the tasks of the job with an index.
func (w *world) taskNames(index int) []string {
	count := 1
	if w.kinds&Occurrences != 0 {
		count = occurrenceCount
	}
	var names []string
	for k := range count {
		for step, s := range w.jobSteps(index) {
			for task := range s.Count {
				names = append(names, fmt.Sprintf("%s.%d.%d.%d", jobName(index), k, step, task))
			}
		}
	}
	return names
}

// injectFault injects one random fault.
func (w *world) injectFault() {
	w.faults++
	before := w.faultState()
	defer func() { w.noteFaults(before) }()
	e, a := w.entries[w.random.IntN(entryCount)], w.agents[w.random.IntN(workerCount)]
	duration := 300*time.Millisecond + w.randomUpTo(7*time.Second)
	if w.kinds&PartialViews != 0 && w.random.IntN(4) > 0 {
		w.cutLinks(duration)
		return
	}
	if w.kinds&QuickRestarts != 0 && w.random.IntN(4) == 0 {
		a.crash(time.Millisecond + w.randomUpTo(30*time.Millisecond))
		return
	}
	if w.kinds&Retention != 0 && w.random.IntN(3) == 0 {
		w.failPartOfStore(duration)
		return
	}
	if w.kinds != 0 && w.random.IntN(4) == 0 {
		w.injectFurtherFault(e, a, duration)
		return
	}
	switch w.random.IntN(11) {
	case 0: // an entry restarts
		e.restart(w.randomUpTo(2 * time.Second))
	case 1: // an entry freezes
		e.frozenUntil = w.now + duration
	case 2: // an entry is cut off from agents and other entries, but not from the store
		e.cutUntil = w.now + duration
	case 3: // an agent restarts
		if w.kinds&AgentStops != 0 && w.random.IntN(3) > 0 {
			a.stop(duration)
			return
		}
		a.restart(w.randomUpTo(2 * time.Second))
	case 4: // an agent freezes
		a.frozenUntil = w.now + duration
		a.disturbedUntil = max(a.disturbedUntil, a.frozenUntil)
	case 5: // an agent is cut off from all entries
		a.cutUntil = w.now + duration
	case 6: // a runner restarts
		if w.kinds != 0 {
			a.crash(300*time.Millisecond + w.randomUpTo(3*time.Second))
			return
		}
		a.runner.Restart(w.trueTime())
	case 7: // the store refuses calls
		w.store.SetFault(store.ErrRefused, false)
		w.disturbCore(duration)
		w.schedule(duration, func() { w.store.SetFault(nil, false) })
	case 8: // the store carries out appends, but no call learns its outcome
		w.store.SetFault(store.ErrOutcomeUnknown, true)
		w.disturbCore(time.Second)
		w.schedule(w.randomUpTo(time.Second), func() { w.store.SetFault(nil, false) })
	case 10: // an entry reaches neither the store nor other entries, but still its agents
		e.isolatedUntil = w.now + 3*duration
		if w.kinds&Refusals != 0 {
			e.isolationRefuses = w.random.IntN(2) == 0
		}
	case 9: // starts at an agent's runner are not answered and take effect later
		a.startsDelayedUntil = w.now + w.randomUpTo(3*time.Second)
	}
}

// process is what entries and agents have in common: a drifting clock, which
// continues while they are frozen, and network connections that can be cut off. Its
// times are true time.
type process struct {
	w *world
	// generation counts restarts; connections of an earlier generation are broken.
	generation uint64
	// rate is how fast the process's clock runs, 1 being exact, and offset what the clock
	// shows beyond clockBase at the start.
	rate   float64
	offset time.Duration
	// Until frozenUntil the process does nothing but keeps its state and connections.
	frozenUntil time.Duration
	// Until downUntil the process is down after a restart.
	downUntil time.Duration
	// Until cutUntil every message that is due at or from the process breaks its
	// connection.
	cutUntil time.Duration
	// disturbedUntil is the end of the last disruption of the process that excuses it from the rules with a time bound.
	disturbedUntil time.Duration
}

// maxClockDrift bounds the relative error of a process's clock.
const maxClockDrift = 0.01

func newProcess(w *world) process {
	return process{w: w, generation: 1, rate: 1 + (2*w.random.Float64()-1)*maxClockDrift, offset: w.randomUpTo(time.Hour)}
}

// clock returns the process's monotonic clock.
func (p *process) clock() time.Time {
	return clockBase.Add(p.offset + time.Duration(float64(p.w.now)*p.rate))
}

// runIfUp runs fn if the process is neither frozen nor down.
func (p *process) runIfUp(fn func()) {
	if p.w.now >= p.frozenUntil && p.w.now >= p.downUntil {
		fn()
	}
}

func (p *process) isCut() bool { return p.w.now < p.cutUntil }

// conn is a connection between an agent and an entry. Once it is broken, no message
// arrives any more. The agent notices that some time later, and reconnects.
type conn struct {
	w      *world
	agent  *agent
	entry  *entry
	broken bool
	// term is the term of the entry when the connection was opened, if calls take time.
	term uint64
	// lastArrival is when the message that was sent last arrives; messages arrive in
	// the order in which they were sent.
	lastArrival time.Duration
	// agentGeneration and entryGeneration are the generations of the agent and of the entry
	// when the connection was opened.
	agentGeneration, entryGeneration uint64
	// newSince is the time on the entry's clock at which an agent that knew no term said Hello; zero if it knew one.
	newSince time.Time
}

// send delivers a message to one end of the connection after a random delay. fn is how
// that end handles the message.
func (c *conn) send(to *process, fn func()) {
	c.lastArrival = max(c.lastArrival, c.w.now+tickInterval+c.w.randomUpTo(100*time.Millisecond))
	c.w.lastOrder++
	c.deliverAs(c.w.lastOrder, to, c.lastArrival-c.w.now, fn)
}

// deliver runs fn, the handling of a message, at one end of the connection after the
// given delay, or as soon as that end is no longer frozen or down, unless the
// connection is broken.
func (c *conn) deliver(to *process, delay time.Duration, fn func()) {
	c.w.lastOrder++
	c.deliverAs(c.w.lastOrder, to, delay, fn)
}

// deliverAs is deliver for a message that keeps its place among those of the connection.
func (c *conn) deliverAs(order uint64, to *process, delay time.Duration, fn func()) {
	c.w.scheduleAs(order, delay, func() {
		if c.agent.isCut() || c.entry.isCut() || c.agent.generation != c.agentGeneration || c.entry.generation != c.entryGeneration {
			c.broken = true
		}
		switch {
		case c.broken:
		case !c.throughLink(order, to, fn):
		case c.w.now < to.frozenUntil || c.w.now < to.downUntil:
			c.deliverAs(order, to, tickInterval, fn)
		default:
			fn()
		}
	})
}
