package term

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Times of the modelled processes, as those of the real ones.
const (
	pingEvery   = 400 * time.Millisecond
	lookEvery   = 60 * time.Millisecond
	answerAfter = time.Second
	silentAfter = 900 * time.Millisecond
	sureFor     = 250 * time.Millisecond
	// latestEffect is how long an order without an answer may still take effect.
	latestEffect = 13 * time.Second
	// shortestGrant is what must be left of a grant for a start.
	shortestGrant = 500 * time.Millisecond
	// driftShare is the part of a lease that is kept for a slow runner's clock.
	driftShare = 50
)

type runKey struct {
	task workflow.TaskID
	run  uint64
}

// agent models the agent beside a runner.
type agent struct {
	process
	name   string
	runner *standin.TaskRunner
	// sameName is set if all lives of the runner have one name, so that a call may reach another life.
	sameName bool
	// lateUntil is until when starts are not answered and take effect later.
	lateUntil time.Duration

	term    uint64
	conn    *conn
	life    uint64
	clockMS int64
	clockAt time.Time
	grant   leadership.WorkerLease
	rows    []dispatch.RunStatus
	ends    []dispatch.RunEnd
	told    uint64
	noted   uint64
	sure    time.Time
	orders  map[runKey]bool
	fencing map[runKey]time.Time
	// unanswered are starts that may still take effect, with the time until which they may.
	unanswered map[runKey]time.Time
	pings      map[uint64]time.Time
	seq        uint64
	pinged     time.Time
	ponged     time.Time
	looked     time.Time
}

func newAgent(w *world, i int) *agent {
	a := &agent{process: newProcess(w), name: fmt.Sprintf("w%d", i)}
	a.sameName = i%2 == 0
	a.runner = &standin.TaskRunner{Name: a.name, Work: 700 * time.Millisecond, History: &w.history, Slow: 50 + w.random.IntN(200)}
	a.runner.Begin(w.true())
	a.forget()
	return a
}

// forget drops what a process holds in memory.
func (a *agent) forget() {
	a.term, a.conn, a.life, a.clockMS, a.clockAt, a.grant = 0, nil, 0, 0, time.Time{}, leadership.WorkerLease{}
	a.rows, a.ends, a.told, a.noted, a.sure, a.seq = nil, nil, 0, 0, time.Time{}, 0
	a.unanswered = make(map[runKey]time.Time)
	a.orders, a.fencing, a.pings = make(map[runKey]bool), make(map[runKey]time.Time), make(map[uint64]time.Time)
}

func (a *agent) restart(down time.Duration) {
	a.generation++
	a.downUntil = a.w.now + down
	a.forget()
}

// until returns the lease's end on the runner's clock, or 0.
func (a *agent) until(now time.Time) int64 {
	left := a.w.rules.Left(&a.grant, now)
	if left <= 0 || a.clockAt.IsZero() {
		return 0
	}
	d := now.Add(left).Sub(a.clockAt)
	return a.clockMS + (d - d/driftShare).Milliseconds()
}

func (a *agent) tick() {
	now := a.clock()
	if a.conn != nil && (a.conn.broken && a.w.random.IntN(20) == 0 || now.Sub(a.ponged) > 3*time.Second) {
		a.conn.broken = true
		a.conn = nil
	}
	if a.conn == nil && a.w.random.IntN(5) == 0 {
		a.connect(now)
	}
	if a.term != 0 && now.Sub(a.looked) >= lookEvery {
		a.looked = now
		a.look(now)
	}
	a.fence(now)
	if a.conn != nil && now.Sub(a.pinged) >= pingEvery {
		a.ping(now)
	}
}

// connect asks a random entry whether it dispatches, and reports to it if so.
func (a *agent) connect(now time.Time) {
	e := a.w.entries[a.w.random.IntN(entries)]
	if a.cut() || e.cut() || a.w.now < e.frozenUntil || a.w.now < e.downUntil {
		return
	}
	e.yield(a.term)
	if e.term == nil || e.term.number < a.term {
		return
	}
	a.term = e.term.number
	if !a.look(now) {
		return
	}
	a.conn = &conn{w: a.w, a: a, e: e, atA: a.generation, atE: e.generation}
	a.ponged = now
	clear(a.pings)
	a.report()
	a.ping(now)
}

func (a *agent) worker() *dispatch.Worker {
	return &dispatch.Worker{Name: a.name, Life: a.life, Service: "s", Capacity: worker.Resources{MilliCPU: 4000}, PacePercent: 100}
}

// report sends the worker's whole state.
func (a *agent) report() {
	c, w, ends := a.conn, a.worker(), append([]dispatch.RunEnd(nil), a.ends...)
	rows := append([]dispatch.RunStatus(nil), a.rows...)
	for k := range a.orders {
		rows = append(rows, dispatch.RunStatus{Task: k.task, Run: k.run, Pending: true})
	}
	for _, e := range a.ends {
		a.told = max(a.told, e.Number)
	}
	c.send(&c.e.process, func() { c.e.reported(c, w, rows, ends) })
}

func (a *agent) ping(now time.Time) {
	a.pinged = now
	a.seq++
	a.pings[a.seq] = now
	c, w, rows, seq := a.conn, a.worker(), append([]dispatch.RunStatus(nil), a.rows...), a.seq
	c.send(&c.e.process, func() { c.e.pinged(c, w, rows, seq) })
}

// look extends the lease and takes in what the runner lists.
func (a *agent) look(now time.Time) bool {
	noted, until := uint64(0), int64(0)
	if now.Before(a.sure) || a.w.rules.AnyLife {
		noted, until = a.noted, a.until(now)
	}
	if !a.runner.Admit(a.w.true(), a.term, until) {
		return false
	}
	runs, ends := a.runner.List(noted)
	if born := a.runner.Born(); born != a.life {
		a.life, a.told, a.noted, a.sure = born, 0, 0, time.Time{}
		clear(a.fencing)
		if !a.w.rules.NoStrays {
			for k := range a.orders {
				a.runner.Stop(k.task.String(), k.run)
			}
			for k, until := range a.unanswered {
				if now.Before(until) {
					a.runner.Stop(k.task.String(), k.run)
				}
			}
			runs, ends = a.runner.List(0)
		}
		clear(a.orders)
		a.take(now, runs, ends)
		if a.conn != nil {
			a.report()
		}
		return true
	}
	a.take(now, runs, ends)
	a.tell()
	return true
}

// take replaces what is known of the runner.
func (a *agent) take(now time.Time, runs []standin.Listed, ends []standin.Finished) {
	a.clockMS, a.clockAt, a.sure = a.runner.Clock(a.w.true()), now, now.Add(sureFor)
	a.rows, a.ends = nil, nil
	for _, r := range runs {
		id, _ := workflow.ParseTaskID(r.Task)
		a.rows = append(a.rows, dispatch.RunStatus{Task: id, Run: r.Run, Percent: 50})
		delete(a.orders, runKey{id, r.Run})
	}
	hows := map[string]dispatch.Outcome{"done": dispatch.OutcomeDone, "stopped": dispatch.OutcomeStopped, "lapsed": dispatch.OutcomeLapsed}
	for _, e := range ends {
		id, _ := workflow.ParseTaskID(e.Task)
		delete(a.orders, runKey{id, e.Run})
		if e.Number > a.noted {
			a.ends = append(a.ends, dispatch.RunEnd{Number: e.Number, Task: id, Run: e.Run, How: hows[e.How]})
		}
	}
}

// tell sends the ends that the dispatcher has not been told.
func (a *agent) tell() {
	if a.conn == nil {
		return
	}
	var news []dispatch.RunEnd
	for _, e := range a.ends {
		if e.Number > a.told {
			news = append(news, e)
			a.told = e.Number
		}
	}
	if c, life := a.conn, a.life; len(news) > 0 {
		c.send(&c.e.process, func() { c.e.ended(c, life, news) })
	}
}

// ordered carries orders out.
func (a *agent) ordered(c *conn, term uint64, starts []dispatch.Start, stops []dispatch.Stop) {
	if a.conn != c || term != a.term {
		return
	}
	now := a.clock()
	for _, s := range starts {
		k := runKey{s.Task, s.Run}
		until := a.until(now)
		if s.Life != a.life || until == 0 || a.w.rules.Left(&a.grant, now) < shortestGrant {
			a.refuse(s.Life, k)
			continue
		}
		a.start(now, k, until)
	}
	for _, s := range stops {
		if s.Life != a.life {
			a.refuse(s.Life, runKey{s.Task, s.Run})
			continue
		}
		a.fencing[runKey{s.Task, s.Run}] = now
	}
}

// start orders the runner to start a task; the order may take effect unseen, seconds later.
func (a *agent) start(now time.Time, k runKey, until int64) {
	a.orders[k] = true
	term, life, generation := a.term, a.life, a.generation
	call := func() bool {
		// A limit of the protocol: nobody fences an order that takes effect in another
		// life of the runner under the same name before its agent, which must still be
		// the same, has seen that life.
		fenced := a.generation == generation && a.life == a.runner.Born()
		reached := a.runner.Born() == life || a.sameName && fenced
		return reached && a.runner.Admit(a.w.true(), term, until) &&
			a.runner.Start(a.w.true(), k.task.String(), k.run, until, standin.FateDone) == ""
	}
	if a.w.now >= a.lateUntil {
		if !call() {
			a.refuse(life, k)
		}
		return
	}
	a.w.after(2*time.Second+a.w.upTo(10*time.Second), func() { call() })
	a.unanswered[k] = now.Add(latestEffect)
	if a.w.rules.NoFence {
		a.refuse(life, k)
		return
	}
	a.fencing[k] = now.Add(answerAfter)
}

// fence stops runs that are due to be stopped, or makes sure that they never start.
func (a *agent) fence(now time.Time) {
	for _, k := range sortedKeys(a.fencing) {
		due := a.fencing[k]
		if now.Before(due) || a.runner.Born() != a.life || !a.runner.Admit(a.w.true(), a.term, 0) {
			continue
		}
		delete(a.fencing, k)
		a.runner.Stop(k.task.String(), k.run)
		if a.look(now) && !a.lists(k) {
			a.refuse(a.life, k)
		}
	}
}

// sortedKeys returns the runs in a fixed order, so that a seed always plays the same schedule.
func sortedKeys(runs map[runKey]time.Time) []runKey {
	return slices.SortedFunc(maps.Keys(runs), func(x, y runKey) int {
		return cmp.Or(strings.Compare(x.task.String(), y.task.String()), cmp.Compare(x.run, y.run))
	})
}

func (a *agent) lists(k runKey) bool {
	for _, e := range a.ends {
		if e.Task == k.task && e.Run == k.run {
			return true
		}
	}
	return false
}

func (a *agent) refuse(life uint64, k runKey) {
	delete(a.orders, k)
	if c := a.conn; c != nil {
		c.send(&c.e.process, func() { c.e.refused(c, life, k) })
	}
}

func (a *agent) pong(c *conn, term, seq uint64, granted bool) {
	if a.conn != c || term != a.term {
		return
	}
	a.ponged = a.clock()
	if sent, ok := a.pings[seq]; ok && granted {
		a.grant.Renew(sent)
	}
	delete(a.pings, seq)
}

func (a *agent) note(c *conn, life, end uint64) {
	if a.conn == c && life == a.life {
		a.noted = max(a.noted, end)
	}
}
