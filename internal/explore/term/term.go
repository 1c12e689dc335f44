// Package term simulates dispatch under leadership terms: entries that claim
// leadership, agents that run tasks for the time of a worker lease, and runners that
// end runs without a lease. Clocks drift; processes freeze and restart; connections
// break; responses of the store and of runners are lost, and calls take effect late.
package term

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Size and duration of a schedule.
const (
	tick    = 20 * time.Millisecond
	entries = 3
	workers = 4
	jobs    = 8
	// faultDuration is how long new faults are injected, and runFor the duration of
	// the schedule, at whose end all jobs must be completed. It leaves time for an
	// entry that is isolated for 22 s, and for the longest wait for a worker that has
	// not reported, 15.5 s.
	faultDuration = 20 * time.Second
	runFor        = 80 * time.Second
)

// clockBase is the true time, the simulation's global clock, at which it begins.
var clockBase = time.Unix(1_700_000_000, 0)

// Rules are the rules of the protocol that a test can replace. The zero value plays
// those of the product.
type Rules struct {
	// WorkerLeaseEndsBy returns when everything on a worker has ended because its lease has.
	WorkerLeaseEndsBy func(lastContact time.Time) time.Time
	// EarlierLeasesEndBy returns when everything that an earlier dispatcher ordered has ended.
	EarlierLeasesEndBy func(p *leadership.Predecessor) time.Time
	// ConfirmsEnd reports whether everything that must have ended by a time has ended, which
	// a dispatcher knows only after a later write under its term.
	ConfirmsEnd func(l *leadership.LeaderLease, now, by time.Time) bool
	// LeaderLeaseValid reports whether a dispatcher may still act.
	LeaderLeaseValid func(l *leadership.LeaderLease, now time.Time) bool
	// WorkerLeaseRemaining returns how long a worker lease still lasts.
	WorkerLeaseRemaining func(l *leadership.WorkerLease, now time.Time) time.Duration
	// AckBeforeStore acknowledges the ends of runs before they are stored.
	AckBeforeStore bool
	// SkipFencing assumes that a start whose call was not answered never takes effect.
	SkipFencing bool
	// IgnoreRunnerLife acknowledges ends and extends leases although the runner may have
	// restarted.
	IgnoreRunnerLife bool
	// SkipStopInNewLife reports a restarted runner before the starts sent to its earlier life
	// are fenced in the new one.
	SkipStopInNewLife bool
	// SkipStoringWorkers starts tasks on workers whose names are not stored, and
	// UnprovenWorkers on those whose names were stored without a later write under
	// the term.
	SkipStoringWorkers, SkipWriteUnderTerm bool
	// TreatAllJobsAsNew takes all jobs for new, also those whose entries did not know of the term,
	// which an earlier dispatcher may have read.
	TreatAllJobsAsNew bool
	// DropUnknownJobs drops reported runs of jobs that have not been read yet.
	DropUnknownJobs bool
	// SkipNewReport does not ask a worker whose lease has expired to report again when it
	// pings.
	SkipNewReport bool
}

// setDefaults sets the functions that are nil to those of the product.
func (r *Rules) setDefaults() {
	if r.WorkerLeaseEndsBy == nil {
		r.WorkerLeaseEndsBy = leadership.WorkerLeaseEndsBy
	}
	if r.EarlierLeasesEndBy == nil {
		r.EarlierLeasesEndBy = func(p *leadership.Predecessor) time.Time { return p.LeasesEndBy() }
	}
	if r.ConfirmsEnd == nil {
		r.ConfirmsEnd = func(l *leadership.LeaderLease, now, by time.Time) bool {
			ended, _ := l.ConfirmsEnd(now, by)
			return ended
		}
	}
	if r.LeaderLeaseValid == nil {
		r.LeaderLeaseValid = func(l *leadership.LeaderLease, now time.Time) bool { return l.Valid(now) }
	}
	if r.WorkerLeaseRemaining == nil {
		r.WorkerLeaseRemaining = func(l *leadership.WorkerLease, now time.Time) time.Duration { return l.Remaining(now) }
	}
}

// Run plays the schedule of a seed and returns the first violation found.
func Run(seed uint64) error { return run(seed, Rules{}) }

// world is the simulated cluster with the events that are scheduled.
type world struct {
	rules     Rules
	random    *rand.Rand
	now       time.Duration
	scheduled []event
	store     standin.Store
	port      store.Client
	// unreachable refuses every call, as the store seems to do to an isolated entry.
	unreachable store.Client
	history     standin.History
	entries     []*entry
	agents      []*agent
	faults      int
}

// event is a function that runs at a moment of true time.
type event struct {
	at time.Duration
	fn func()
}

func run(seed uint64, rules Rules) error {
	rules.setDefaults()
	w := &world{rules: rules, random: rand.New(rand.NewPCG(seed, 1))}
	w.port = w.store.Client()
	refusing := new(standin.Store)
	refusing.SetFault(store.ErrRefused, false)
	w.unreachable = refusing.Client()
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range workers {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for i := range jobs {
		w.schedule(w.randomUpTo(faultDuration), func() { w.submit(i) })
	}
	for w.now < runFor {
		w.now += tick
		w.runDue()
		if w.now < faultDuration && w.random.IntN(40) == 0 {
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
		if broken := w.history.Violations(); len(broken) > 0 {
			return errors.Newf("at %s: %s", w.now, broken[0])
		}
	}
	return w.checkJobs()
}

// trueTime returns the true time.
func (w *world) trueTime() time.Time { return clockBase.Add(w.now) }

// randomUpTo returns a random duration from 0 up to but not including d.
func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// schedule runs fn after d of true time.
func (w *world) schedule(d time.Duration, fn func()) {
	w.scheduled = append(w.scheduled, event{w.now + d, fn})
}

// runDue runs the events that are due, in the order in which they were scheduled.
func (w *world) runDue() {
	events := w.scheduled
	w.scheduled = nil
	for _, l := range events {
		if l.at > w.now {
			w.scheduled = append(w.scheduled, l)
			continue
		}
		l.fn()
	}
}

func jobName(i int) string { return fmt.Sprintf("job%d", i) }

// submit stores a job, as an entry does before it responds to its caller.
func (w *world) submit(i int) {
	sub := &workflow.Submission{ID: jobName(i), Queue: "q", AcceptedMS: w.trueTime().UnixMilli(), Term: w.knownTerm(), Spec: workflow.Spec{Steps: []workflow.Step{
		{Count: 2, Size: worker.Resources{MilliCPU: 1000}, EstimateMS: 1000},
		{Count: 1, Size: worker.Resources{MilliCPU: 1000}, EstimateMS: 1000, After: []int{0}},
	}}}
	record, err := workflow.SubmissionRecord(sub)
	if err == nil {
		_, err = w.port.Append(context.Background(), store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{record}})
	}
	if err != nil {
		w.schedule(tick, func() { w.submit(i) }) // the caller retries
	}
}

// knownTerm returns the newest term that a random entry knows.
func (w *world) knownTerm() uint64 { return w.entries[w.random.IntN(entries)].candidate.Claim().Term }

// checkJobs returns an error if a job is not completed, or is completed although no
// run of one of its tasks did its work.
func (w *world) checkJobs() error {
	records, _, err := w.port.AllNewest(context.Background(), store.TopicProgress)
	if err != nil {
		return err
	}
	var jobTable workflow.JobTable
	for _, r := range records {
		if _, err := jobTable.Apply(r.Record); err != nil {
			return err
		}
	}
	for i := range jobs {
		j, ok := jobTable.Job(jobName(i))
		if !ok || j.Phase() != workflow.PhaseCompleted {
			return errors.Newf("%s is not completed %s after the last fault", jobName(i), runFor-faultDuration)
		}
		for _, task := range []string{"0.0.0", "0.0.1", "0.1.0"} {
			if name := jobName(i) + "." + task; !w.history.Completed(name) {
				return errors.Newf("%s is completed, but no run of %s did its work", jobName(i), name)
			}
		}
	}
	return nil
}

// injectFault injects one fault.
func (w *world) injectFault() {
	w.faults++
	e, a := w.entries[w.random.IntN(entries)], w.agents[w.random.IntN(workers)]
	duration := 300*time.Millisecond + w.randomUpTo(7*time.Second)
	switch w.random.IntN(11) {
	case 0:
		e.restart(w.randomUpTo(2 * time.Second))
	case 1:
		e.frozenUntil = w.now + duration
	case 2:
		e.cutUntil = w.now + duration
	case 3:
		a.restart(w.randomUpTo(2 * time.Second))
	case 4:
		a.frozenUntil = w.now + duration
	case 5:
		a.cutUntil = w.now + duration
	case 6:
		a.runner.Restart(w.trueTime())
	case 7:
		w.store.SetFault(store.ErrRefused, false)
		w.schedule(duration, func() { w.store.SetFault(nil, false) })
	case 8:
		w.store.SetFault(store.ErrOutcomeUnknown, true)
		w.schedule(w.randomUpTo(time.Second), func() { w.store.SetFault(nil, false) })
	case 10:
		e.isolatedUntil = w.now + 3*duration
	case 9:
		a.startsDelayedUntil = w.now + w.randomUpTo(3*time.Second)
	}
}

// process is what entries and agents have in common: a drifting clock, which
// continues while they are frozen, and network links that can be cut.
type process struct {
	w *world
	// generation counts restarts; connections of an earlier generation are broken.
	generation  uint64
	rate        float64
	offset      time.Duration
	frozenUntil time.Duration
	downUntil   time.Duration
	cutUntil    time.Duration
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

// conn is a connection between an agent and an entry. Once it is broken nothing more
// arrives, and each end notices that later.
type conn struct {
	w      *world
	agent  *agent
	entry  *entry
	broken bool
	// lastArrival is when the message that was sent last arrives; messages arrive in
	// the order in which they were sent.
	lastArrival time.Duration
	// agentGeneration and entryGeneration are those at which it was opened.
	agentGeneration, entryGeneration uint64
}

// send delivers a message, which is fn, to one end after a random delay.
func (c *conn) send(to *process, fn func()) {
	c.lastArrival = max(c.lastArrival, c.w.now+tick+c.w.randomUpTo(100*time.Millisecond))
	c.deliver(to, c.lastArrival-c.w.now, fn)
}

// deliver runs fn at one end after d, or as soon as that end is no longer frozen or
// down, unless the connection is broken.
func (c *conn) deliver(to *process, d time.Duration, fn func()) {
	c.w.schedule(d, func() {
		if c.agent.isCut() || c.entry.isCut() || c.agent.generation != c.agentGeneration || c.entry.generation != c.entryGeneration {
			c.broken = true
		}
		switch {
		case c.broken:
		case c.w.now < to.frozenUntil || c.w.now < to.downUntil:
			c.deliver(to, tick, fn)
		default:
			fn()
		}
	})
}
