// Package term explores schedules of the dispatch by terms: entries that claim,
// agents that go on for the time of a grant, and runners that end what has no
// lease. Clocks drift; processes freeze and restart; connections break; answers
// of the store and of runners get lost or take effect late.
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

// Size of a schedule.
const (
	tick    = 20 * time.Millisecond
	entries = 3
	workers = 4
	jobs    = 8
	// faultsFor is how long faults begin, endAfter when all jobs must be done:
	// long after an entry that was apart for 22 s, and the longest wait for an unheard
	// worker, 15.5 s.
	faultsFor = 20 * time.Second
	endAfter  = 80 * time.Second
)

// epoch is where true time begins.
var epoch = time.Unix(1_700_000_000, 0)

// Rules are the rules of the protocol that a schedule plays. The zero value
// plays those of the product.
type Rules struct {
	// LapsesAt returns when everything on a worker has ended.
	LapsesAt func(heard time.Time) time.Time
	// EndsAt returns when what an earlier dispatcher ordered has ended.
	EndsAt func(p *leadership.Predecessor) time.Time
	// Ended reports whether what must have ended by a time has ended.
	Ended func(h *leadership.LeaderLease, now, by time.Time) bool
	// Valid reports whether a dispatcher may go on.
	Valid func(h *leadership.LeaderLease, now time.Time) bool
	// Left returns how long a worker may go on.
	Left func(g *leadership.WorkerLease, now time.Time) time.Duration
	// NoteFirst lets runners forget ends before they are stored.
	NoteFirst bool
	// NoFence takes a start that was not answered for one that never runs.
	NoFence bool
	// AnyLife notes ends and extends leases without knowing that the runner is in the same life.
	AnyLife bool
	// NoStrays reports another life of a runner before what was sent to the earlier one cannot start in it.
	NoStrays bool
	// NoWorkers starts tasks at workers that the store does not name,
	// UnprovenWorkers at those named without a write under the term.
	NoWorkers, UnprovenWorkers bool
	// AllNew takes jobs whose entries did not know of the term for new.
	AllNew bool
	// DropUnknown drops what workers list of jobs that have not been read.
	DropUnknown bool
	// KeepLost does not have a lost worker that is heard again report anew.
	KeepLost bool
}

func (r *Rules) fill() {
	if r.LapsesAt == nil {
		r.LapsesAt = leadership.WorkerLeaseEndsBy
	}
	if r.EndsAt == nil {
		r.EndsAt = func(p *leadership.Predecessor) time.Time { return p.LeasesEndBy() }
	}
	if r.Ended == nil {
		r.Ended = func(h *leadership.LeaderLease, now, by time.Time) bool {
			ended, _ := h.ConfirmsEnd(now, by)
			return ended
		}
	}
	if r.Valid == nil {
		r.Valid = func(h *leadership.LeaderLease, now time.Time) bool { return h.Valid(now) }
	}
	if r.Left == nil {
		r.Left = func(g *leadership.WorkerLease, now time.Time) time.Duration { return g.Remaining(now) }
	}
}

// Run plays the schedule of a seed and returns what went against a promise.
func Run(seed uint64) error { return run(seed, Rules{}) }

type world struct {
	rules  Rules
	random *rand.Rand
	now    time.Duration
	later  []later
	store  standin.Store
	port   store.Port
	// away is the store as a process sees it that does not reach it.
	away    store.Port
	history standin.History
	entries []*entry
	agents  []*agent
	faults  int
}

// later is something that happens at a moment of true time.
type later struct {
	at time.Duration
	fn func()
}

func run(seed uint64, rules Rules) error {
	rules.fill()
	w := &world{rules: rules, random: rand.New(rand.NewPCG(seed, 1))}
	w.port = w.store.Port()
	gone := new(standin.Store)
	gone.Fail(store.ErrRefused, false)
	w.away = gone.Port()
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range workers {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for i := range jobs {
		w.after(w.upTo(faultsFor), func() { w.submit(i) })
	}
	for w.now < endAfter {
		w.now += tick
		w.due()
		if w.now < faultsFor && w.random.IntN(40) == 0 {
			w.fault()
		}
		for _, a := range w.agents {
			a.runner.Step(w.true())
		}
		for _, e := range w.entries {
			e.live(e.tick)
		}
		for _, a := range w.agents {
			a.live(a.tick)
		}
		if broken := w.history.Broken(); len(broken) > 0 {
			return errors.Newf("at %s: %s", w.now, broken[0])
		}
	}
	return w.checkJobs()
}

// true returns the true time.
func (w *world) true() time.Time { return epoch.Add(w.now) }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

// after runs fn after d of true time.
func (w *world) after(d time.Duration, fn func()) { w.later = append(w.later, later{w.now + d, fn}) }

// due runs what is due, in the order in which it was planned.
func (w *world) due() {
	planned := w.later
	w.later = nil
	for _, l := range planned {
		if l.at > w.now {
			w.later = append(w.later, l)
			continue
		}
		l.fn()
	}
}

func jobName(i int) string { return fmt.Sprintf("job%d", i) }

// submit stores a job, as an entry does before it answers its caller.
func (w *world) submit(i int) {
	sub := &workflow.Submission{ID: jobName(i), Queue: "q", AcceptedMS: w.true().UnixMilli(), Term: w.knownTerm(), Spec: workflow.Spec{Steps: []workflow.Step{
		{Count: 2, Size: worker.Resources{MilliCPU: 1000}, EstimateMS: 1000},
		{Count: 1, Size: worker.Resources{MilliCPU: 1000}, EstimateMS: 1000, After: []int{0}},
	}}}
	record, err := workflow.SubmissionRecord(sub)
	if err == nil {
		_, err = w.port.Append(context.Background(), store.Append{Topic: store.TopicIntake, Records: []store.Record{record}})
	}
	if err != nil {
		w.after(tick, func() { w.submit(i) }) // the caller hands it in again
	}
}

// knownTerm returns the newest term that some entry knows.
func (w *world) knownTerm() uint64 { return w.entries[w.random.IntN(entries)].candidate.Claim().Term }

// checkJobs reports a job that is not completed, or completed without its work.
func (w *world) checkJobs() error {
	records, _, err := w.port.All(context.Background(), store.TopicProgress)
	if err != nil {
		return err
	}
	var book workflow.JobTable
	for _, r := range records {
		if _, err := book.Apply(r.Record); err != nil {
			return err
		}
	}
	for i := range jobs {
		e, ok := book.Job(jobName(i))
		if !ok || e.Phase() != workflow.PhaseCompleted {
			return errors.Newf("%s is not completed %s after the last fault", jobName(i), endAfter-faultsFor)
		}
		for _, task := range []string{"0.0.0", "0.0.1", "0.1.0"} {
			if name := jobName(i) + "." + task; !w.history.Worked(name) {
				return errors.Newf("%s is completed, but no run of %s did its work", jobName(i), name)
			}
		}
	}
	return nil
}

// fault begins one fault.
func (w *world) fault() {
	w.faults++
	e, a := w.entries[w.random.IntN(entries)], w.agents[w.random.IntN(workers)]
	long := 300*time.Millisecond + w.upTo(7*time.Second)
	switch w.random.IntN(11) {
	case 0:
		e.restart(w.upTo(2 * time.Second))
	case 1:
		e.frozenUntil = w.now + long
	case 2:
		e.cutUntil = w.now + long
	case 3:
		a.restart(w.upTo(2 * time.Second))
	case 4:
		a.frozenUntil = w.now + long
	case 5:
		a.cutUntil = w.now + long
	case 6:
		a.runner.Begin(w.true())
	case 7:
		w.store.Fail(store.ErrRefused, false)
		w.after(long, func() { w.store.Fail(nil, false) })
	case 8:
		w.store.Fail(store.ErrUnknown, true)
		w.after(w.upTo(time.Second), func() { w.store.Fail(nil, false) })
	case 10:
		e.apartUntil = w.now + 3*long
	case 9:
		a.lateUntil = w.now + w.upTo(3*time.Second)
	}
}

// process is what entries and agents have in common: a clock of their own that
// goes on while they are frozen, and links that can be cut.
type process struct {
	w *world
	// generation counts restarts; what an earlier one began is dropped.
	generation  uint64
	rate        float64
	offset      time.Duration
	frozenUntil time.Duration
	downUntil   time.Duration
	cutUntil    time.Duration
}

// clockError bounds the relative error of a process's clock.
const clockError = 0.01

func newProcess(w *world) process {
	return process{w: w, generation: 1, rate: 1 + (2*w.random.Float64()-1)*clockError, offset: w.upTo(time.Hour)}
}

// clock returns the process's steady clock.
func (p *process) clock() time.Time {
	return epoch.Add(p.offset + time.Duration(float64(p.w.now)*p.rate))
}

// live runs fn if the process runs.
func (p *process) live(fn func()) {
	if p.w.now >= p.frozenUntil && p.w.now >= p.downUntil {
		fn()
	}
}

func (p *process) cut() bool { return p.w.now < p.cutUntil }

// conn is a connection between an agent and an entry. Once it is broken nothing
// more arrives; each end notices later.
type conn struct {
	w      *world
	a      *agent
	e      *entry
	broken bool
	// last is when the newest message arrives; none overtakes another.
	last time.Duration
	// at are the ends' generations when it was opened.
	atA, atE uint64
}

// send delivers a message to one end, which runs fn when it is awake.
func (c *conn) send(to *process, fn func()) {
	c.last = max(c.last, c.w.now+tick+c.w.upTo(100*time.Millisecond))
	c.deliver(to, c.last-c.w.now, fn)
}

func (c *conn) deliver(to *process, d time.Duration, fn func()) {
	c.w.after(d, func() {
		if c.a.cut() || c.e.cut() || c.a.generation != c.atA || c.e.generation != c.atE {
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
