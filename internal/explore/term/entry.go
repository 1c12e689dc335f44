package term

import (
	"context"
	"errors"
	"fmt"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Times of the modelled entries, as those of the real ones.
const (
	followEvery = 300 * time.Millisecond
	readEvery   = 500 * time.Millisecond
	proveEvery  = 2 * time.Second
)

// entry models an entry that may dispatch.
type entry struct {
	process
	index     int
	name      string
	candidate leadership.Candidate
	followed  time.Time
	term      *dispatching
	// apartUntil is until when it reaches neither the store nor other entries.
	apartUntil time.Duration
}

// dispatching is what an entry holds while it dispatches.
type dispatching struct {
	number      uint64
	board       dispatch.Scheduler
	holder      leadership.LeaderLease
	predecessor leadership.Predecessor
	before      leadership.Claim
	agents      map[string]*link
	known       map[string]bool
	settled     bool
	unproven    bool
	seq         uint64
	read        time.Time
	// change is being stored under the next sequence number.
	change  *dispatch.Change
	records []store.Record
}

// link is what a dispatcher knows of one agent.
type link struct {
	conn   *conn
	heard  time.Time
	lapsed bool
}

func newEntry(w *world, i int) *entry {
	return &entry{process: newProcess(w), index: i, name: fmt.Sprintf("e%d", i)}
}

func (e *entry) restart(down time.Duration) {
	e.generation++
	e.downUntil = e.w.now + down
	e.candidate, e.term, e.followed = leadership.Candidate{}, nil, time.Time{}
}

func (e *entry) tick() {
	now := e.clock()
	if e.term != nil {
		e.dispatch(now)
		return
	}
	if now.Sub(e.followed) >= followEvery {
		e.followed = now
		e.follow(now)
	}
	if claim, _ := e.candidate.ShouldClaim(now, e.index, 0); claim {
		e.claim(now)
	}
}

// yield ends the term if a peer knows a later one.
func (e *entry) yield(known uint64) {
	if e.term != nil && known > e.term.number {
		e.resign()
	}
}

// port returns the store as the entry reaches it.
func (e *entry) port() *store.Port {
	if e.w.now < e.apartUntil {
		return &e.w.away
	}
	return &e.w.port
}

func (e *entry) resign() {
	e.candidate.NoteResigned(e.term.number)
	e.term = nil
}

// reaches reports whether another entry answers now.
func (e *entry) reaches(o *entry) bool {
	if e.w.now < max(e.apartUntil, o.apartUntil) {
		return false
	}
	return !e.cut() && !o.cut() && e.w.now >= o.frozenUntil && e.w.now >= o.downUntil
}

// follow hears the dispatcher, and learns later claims from all entries.
func (e *entry) follow(now time.Time) {
	for _, o := range e.w.entries {
		if o == e || !e.reaches(o) {
			continue
		}
		o.yield(e.candidate.Claim().Term)
		e.candidate.ObserveClaim(now, o.candidate.Claim())
		claim := e.candidate.Claim()
		switch {
		case o.name != claim.Entry:
		case o.term != nil && o.term.number == claim.Term:
			e.candidate.NoteContact(now, claim.Term)
		case o.generation != claim.Incarnation:
			e.candidate.NoteResigned(claim.Term)
		}
	}
}

// claim takes the dispatch over through the store.
func (e *entry) claim(now time.Time) {
	found, end, _, err := e.port().NewestClaim(context.Background())
	if err != nil || e.candidate.ObserveClaim(now, found) {
		return
	}
	own := leadership.Claim{Entry: e.name, Incarnation: e.generation, Address: e.name}
	record, err := store.ClaimRecord(&own)
	if err != nil {
		return
	}
	a := store.Append{Topic: store.TopicDispatch, At: end, AtSet: true, Records: []store.Record{record}}
	if e.w.random.IntN(10) == 0 { // carried out late, and not answered
		e.w.after(e.w.upTo(4*time.Second), func() { _, _ = e.w.port.Append(context.Background(), a) })
		return
	}
	if _, err = e.port().Append(context.Background(), a); err != nil {
		return
	}
	own.Term = end + 1
	e.begin(now, own, found)
}

// begin reads the state and begins to dispatch.
func (e *entry) begin(now time.Time, own, before leadership.Claim) {
	e.candidate.ObserveClaim(now, own)
	t := &dispatching{number: own.Term, before: before, agents: make(map[string]*link), known: make(map[string]bool)}
	if _, err := e.port().Append(context.Background(), store.Append{Topic: store.TopicProgress, Term: t.number}); err != nil {
		e.candidate.NoteResigned(own.Term)
		return
	}
	t.holder.Renew(now)
	named, _, err := e.port().All(context.Background(), store.TopicWorkers)
	book, readErr := e.readBook()
	if err != nil || readErr != nil {
		e.candidate.NoteResigned(own.Term)
		return
	}
	if before.Term != 0 {
		t.predecessor.TermBegan(now)
		if before.Entry == e.name {
			t.predecessor.NoteDead(now)
		}
	}
	var workers []string
	for _, r := range named {
		workers = append(workers, r.Key)
		t.known[r.Key] = true
	}
	t.board.BeginTerm(t.number, workers)
	t.board.SetQueues(map[string]dispatch.Queue{"q": {Service: "s", Attempts: 3, Stretch: 2, TargetLatency: time.Second}})
	book.Each(func(_ string, j *workflow.Job) {
		if j.Submission() != nil {
			t.board.Admit(now, e.wall(), j.Submission(), j.Progress(), true)
		}
	})
	e.term = t
}

func (e *entry) wall() int64 { return e.w.true().UnixMilli() }

func (e *entry) readBook() (*workflow.JobTable, error) {
	book := new(workflow.JobTable)
	for _, topic := range []store.Topic{store.TopicIntake, store.TopicProgress} {
		records, _, err := e.port().All(context.Background(), topic)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			if _, err := book.Apply(r.Record); err != nil {
				return nil, err
			}
		}
	}
	return book, nil
}

// dispatch does what a dispatcher does again and again.
func (e *entry) dispatch(now time.Time) {
	t := e.term
	e.watch(now)
	if e.w.rules.Valid(&t.holder, now) {
		e.order(now)
	}
	if now.Sub(t.read) >= readEvery {
		t.read = now
		if book, err := e.readBook(); err == nil {
			book.Each(func(_ string, j *workflow.Job) {
				if j.Submission() != nil {
					e.admit(now, t, j)
				}
			})
			t.board.AllJobsKnown(now, now)
		}
	}
	if e.term == t {
		e.flush(now)
	}
}

// admit takes in a job that was accepted while this entry dispatches.
func (e *entry) admit(now time.Time, t *dispatching, j *workflow.Job) {
	known := j.Submission().Term
	if e.w.rules.AllNew {
		known = t.number
	}
	if known > t.number {
		e.yield(known)
		return
	}
	t.board.Admit(now, e.wall(), j.Submission(), j.Progress(), known < t.number)
}

// over reports whether what must have ended by a time has ended.
func (e *entry) over(now, by time.Time) bool {
	ended := e.w.rules.Ended(&e.term.holder, now, by)
	e.term.unproven = e.term.unproven || !ended && !now.Before(by)
	return ended
}

// watch looks at which workers are silent or have lapsed, and whether the
// earlier dispatcher's runs have ended.
func (e *entry) watch(now time.Time) {
	t := e.term
	for name, l := range t.agents {
		if now.Sub(l.heard) > silentAfter {
			t.board.MarkSilent(name)
		}
		if !l.lapsed && e.over(now, e.w.rules.LapsesAt(l.heard)) {
			l.lapsed = true
			t.board.WorkerLeaseExpired(now, name)
		}
	}
	for _, o := range e.w.entries {
		if o.name == t.before.Entry && e.reaches(o) && (o.generation != t.before.Incarnation || o.term == nil) {
			t.predecessor.NoteDead(now)
		}
	}
	if !t.settled && (t.board.UnreportedWorkers() == 0 || e.over(now, e.w.rules.EndsAt(&t.predecessor))) {
		t.settled = true
		t.board.ExpireEarlierTerms()
	}
}

// order sends the orders that are due.
func (e *entry) order(now time.Time) {
	t := e.term
	orders := t.board.Decide(now, e.wall())
	starts, stops := make(map[string][]dispatch.Start), make(map[string][]dispatch.Stop)
	for _, s := range orders.Starts() {
		starts[s.Worker] = append(starts[s.Worker], s)
	}
	for _, s := range orders.Stops() {
		stops[s.Worker] = append(stops[s.Worker], s)
	}
	for _, a := range e.w.agents {
		l := t.agents[a.name]
		if l == nil || l.conn == nil || len(starts[a.name])+len(stops[a.name]) == 0 {
			continue
		}
		c, number, some, others := l.conn, t.number, starts[a.name], stops[a.name]
		c.send(&a.process, func() { a.ordered(c, number, some, others) })
	}
}

// flush stores the board's changes; only then runners forget ends.
func (e *entry) flush(now time.Time) {
	t := e.term
	if t.change == nil && t.board.HasChange() {
		t.change = t.board.TakeChange()
		for id, p := range t.change.Jobs() {
			if r, err := workflow.ProgressRecord(id, p); err == nil {
				t.records = append(t.records, r)
			}
		}
		if e.w.rules.NoteFirst {
			e.noted(t.change)
		}
	}
	if t.change == nil && !t.unproven && now.Sub(t.holder.LastRenewal()) < proveEvery {
		return
	}
	t.unproven = false
	_, err := e.port().Append(context.Background(), store.Append{Topic: store.TopicProgress, Records: t.records, Term: t.number, Seq: t.seq + 1})
	switch {
	case err == nil:
		t.holder.Renew(now)
		if len(t.records) > 0 {
			t.seq++
		}
		if t.change != nil {
			e.noted(t.change)
		}
		t.change, t.records = nil, nil
	case errors.Is(err, store.ErrFenced):
		e.resign()
	}
}

func (e *entry) noted(change *dispatch.Change) {
	type note struct{ life, end uint64 }
	notes := make(map[string]note)
	change.EachAck(func(worker string, life, end uint64) { notes[worker] = note{life, end} })
	for _, a := range e.w.agents {
		n, ok := notes[a.name]
		if l := e.term.agents[a.name]; ok && l != nil && l.conn != nil {
			c := l.conn
			c.send(&a.process, func() { a.note(c, n.life, n.end) })
		}
	}
}
