package term

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Intervals of the simulated entries, the same as for real entries.
const (
	observeInterval = 300 * time.Millisecond
	readInterval    = 500 * time.Millisecond
	// renewInterval is how often the dispatcher renews its leadership lease by a write.
	renewInterval = 2 * time.Second
)

// entry simulates an entry, which may become the dispatcher. term is nil while the entry
// is not the dispatcher.
type entry struct {
	process
	index        int
	name         string
	candidate    leadership.Candidate
	lastObserved time.Time
	term         *dispatcherState
	// Until isolatedUntil the entry reaches neither the store nor other entries.
	isolatedUntil time.Duration
	// isolationRefuses is set if connections to the entry are refused meanwhile.
	isolationRefuses bool
	// wallOffset is how far the entry's wall clock is ahead of the true time.
	wallOffset time.Duration
	steps
}

// dispatcherState is the state of an entry in a term in which it is the dispatcher.
type dispatcherState struct {
	number      uint64
	scheduler   dispatch.Scheduler
	leaderLease leadership.LeaderLease
	// fencedAt is the end of the topic of progress when the term fenced earlier ones.
	fencedAt    uint64
	predecessor leadership.Predecessor
	// previousClaim is the claim of the dispatcher of the term before.
	previousClaim leadership.Claim
	agents        map[string]*agentLink
	// storedWorkers are the workers whose names are in the store. If calls take time, roster holds them.
	storedWorkers map[string]bool
	roster        leadership.Roster
	// earlierRunsOver is set once nothing that an earlier dispatcher ordered can run.
	earlierRunsOver bool
	// needsWrite is set if a write must confirm that the term is still the newest.
	needsWrite bool
	// seq is the sequence number of the newest append with records under the term.
	seq      uint64
	lastRead time.Time
	// change is the scheduler's change that is being stored as records under the next
	// sequence number; nil if there is none.
	change  *dispatch.Change
	records []store.Record
	// departed holds the departures of workers that have left and may still be waited for.
	departed map[string]departure
	// held holds the reports of workers whose names are being stored, and writing is set during a
	// write, if calls take time.
	held map[string]*heldReport
	// knownDone holds the tasks that agents knew to be done when they sent a report that was applied.
	knownDone map[workflow.TaskID]bool
	writing   bool
	lastFlush time.Time
	// mayServe holds the earlier claims whose processes may still serve, once watching is set.
	mayServe []leadership.Claim
	watching bool
	// earlier holds all earlier claims that were read.
	earlier []leadership.Claim
	// followed holds the terms whose dispatchers counted this entry among their followers when the term began.
	followed map[uint64]bool
	// unconfirmedAt is when an agent last refused a start since the store serves the agent and not the dispatcher.
	unconfirmedAt time.Time
	// lastForgetting is when jobs were last forgotten.
	lastForgetting time.Time
}

// agentLink is what the dispatcher knows of one agent.
type agentLink struct {
	conn         *conn
	lastContact  time.Time
	leaseExpired bool
	// lastPing is the number of the last ping that has arrived, at lastPingAt; 0 if only the report has.
	lastPing   uint64
	lastPingAt time.Time
}

// newEntry returns the entry with an index.
func newEntry(w *world, index int) *entry {
	e := &entry{process: newProcess(w), index: index, name: fmt.Sprintf("e%d", index)}
	if w.kinds&Occurrences != 0 {
		e.wallOffset = w.randomUpTo(6*time.Second) - 3*time.Second
	}
	return e
}

// restart drops the entry's state and keeps the entry down for a while.
func (e *entry) restart(downtime time.Duration) {
	e.generation++
	e.downUntil = e.w.now + downtime
	e.candidate, e.term, e.lastObserved = leadership.Candidate{}, nil, time.Time{}
	e.steps = steps{}
}

func (e *entry) tick() {
	now := e.clock()
	if e.w.kinds != 0 {
		e.tickInSteps(now)
		return
	}
	if e.term != nil {
		e.dispatch(now)
		return
	}
	if now.Sub(e.lastObserved) >= observeInterval {
		e.lastObserved = now
		e.observePeers(now)
	}
	if claim, _ := e.candidate.ShouldClaim(now, leadership.Standing{Rank: e.index}, 0); claim {
		e.claimLeadership(now)
	}
}

// resignIfOutdated resigns if knownTerm, the newest term that a peer knows, is later than
// the entry's own.
func (e *entry) resignIfOutdated(knownTerm uint64) {
	if e.term != nil && knownTerm > e.term.number {
		e.resign()
	}
}

// reachableStore returns the store, or one that refuses every call while the entry is
// isolated.
func (e *entry) reachableStore() *store.Client {
	if e.w.now < e.isolatedUntil {
		return &e.w.unreachable
	}
	return &e.w.storeClient
}

func (e *entry) resign() {
	e.w.note("%s resigns term %d", e.name, e.term.number)
	e.candidate.NoteResigned(e.clock(), e.term.number)
	e.term = nil
}

// reaches reports whether another entry would answer a call now.
func (e *entry) reaches(other *entry) bool {
	w := e.w
	if w.now < max(e.isolatedUntil, other.isolatedUntil) {
		return false
	}
	return w.connects(e.name, other.name) && !e.isCut() && !other.isCut() && e.w.now >= other.frozenUntil && e.w.now >= other.downUntil
}

// observePeers exchanges the newest claims with all other entries, and notes whether the
// dispatcher answered or has restarted.
func (e *entry) observePeers(now time.Time) {
	for _, o := range e.w.entries {
		if o == e || !e.reaches(o) {
			continue
		}
		o.resignIfOutdated(e.candidate.Claim().Term)
		e.candidate.ObserveClaim(now, o.candidate.Claim())
		claim := e.candidate.Claim()
		switch {
		case o.name != claim.Entry:
		case o.term != nil && o.term.number == claim.Term:
			e.candidate.NoteContact(now, claim.Term)
		case o.generation != claim.Incarnation:
			e.candidate.NoteResigned(now, claim.Term)
		}
	}
}

// claimLeadership writes a claim to the store, and begins a term if that succeeds.
func (e *entry) claimLeadership(now time.Time) {
	found, end, _, err := e.reachableStore().NewestClaim(context.Background())
	if err != nil || e.candidate.ObserveClaim(now, found) {
		return
	}
	own := leadership.Claim{Entry: e.name, Incarnation: e.generation, Address: e.name}
	record, err := store.ClaimRecord(&own)
	if err != nil {
		return
	}
	a := store.AppendRequest{Topic: store.TopicLeadership, ExpectedEnd: end, CheckEnd: true, Records: []store.Record{record}}
	if e.w.random.IntN(10) == 0 { // the write takes effect late and is not answered
		e.w.schedule(e.w.randomUpTo(4*time.Second), func() { _, _ = e.w.storeClient.Append(context.Background(), a) })
		return
	}
	if _, err = e.reachableStore().Append(context.Background(), a); err != nil {
		return
	}
	own.Term = end + 1
	e.beginTerm(now, own, found)
}

// beginTerm writes under the new term, which fences the earlier ones, reads the state
// from the store and begins the term as dispatcher.
func (e *entry) beginTerm(now time.Time, own, previous leadership.Claim) {
	e.candidate.ObserveClaim(now, own)
	t := &dispatcherState{number: own.Term, previousClaim: previous, agents: make(map[string]*agentLink), storedWorkers: make(map[string]bool)}
	if _, err := e.reachableStore().Append(context.Background(), store.AppendRequest{Topic: store.TopicProgress, Term: t.number}); err != nil {
		e.candidate.NoteResigned(now, own.Term)
		return
	}
	t.leaderLease.Renew(now)
	stored, _, err := e.reachableStore().AllNewest(context.Background(), store.TopicWorkers)
	jobTable, readErr := e.readJobTable()
	if err != nil || readErr != nil {
		e.candidate.NoteResigned(now, own.Term)
		return
	}
	if previous.Term != 0 {
		t.predecessor.TermBegan(now)
		if previous.Entry == e.name {
			t.predecessor.NoteDead(now)
		}
	}
	var workerNames []string
	for _, r := range stored {
		workerNames = append(workerNames, r.Key)
		t.storedWorkers[r.Key] = true
	}
	t.scheduler.BeginTerm(t.number, workerNames)
	t.scheduler.SetQueues(map[string]dispatch.Queue{"q": {Service: "s", FailedRunLimit: 3, Stretch: 2, TargetLatency: time.Second}})
	jobTable.Each(func(_ string, j *workflow.Job) {
		if j.Submission() != nil {
			t.scheduler.Admit(now, e.wallMS(), j.Submission(), j.Progress(), true)
		}
	})
	e.term = t
}

// wallMS returns the entry's wall clock.
func (e *entry) wallMS() int64 { return e.w.trueTime().Add(e.wallOffset).UnixMilli() }

func (e *entry) readJobTable() (*workflow.JobTable, error) {
	jobTable := new(workflow.JobTable)
	for _, topic := range []store.Topic{store.TopicIntake, store.TopicProgress} {
		records, _, err := e.reachableStore().AllNewest(context.Background(), topic)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			if _, err := jobTable.Apply(r.Record, r.Offset); err != nil {
				return nil, err
			}
		}
	}
	return jobTable, nil
}

// dispatch performs one round of the dispatcher's work.
func (e *entry) dispatch(now time.Time) {
	t := e.term
	e.checkLeases(now)
	if e.w.rules.LeaderLeaseValid(&t.leaderLease, now) {
		e.sendOrders(now)
	}
	if now.Sub(t.lastRead) >= readInterval {
		t.lastRead = now
		if jobTable, err := e.readJobTable(); err == nil {
			jobTable.Each(func(_ string, j *workflow.Job) {
				if j.Submission() != nil {
					e.admit(now, t, j)
				}
			})
			t.scheduler.AllJobsKnown(now, now)
		}
	}
	if e.term == t {
		e.storeChange(now)
	}
}

// admit passes a job to the scheduler: as a new one if the entry that accepted it knew of
// this term. If the accepting entry knew of a later term, this entry resigns.
func (e *entry) admit(now time.Time, t *dispatcherState, j *workflow.Job) {
	knownTerm := j.Submission().Term
	if e.w.rules.TreatAllJobsAsNew {
		knownTerm = t.number
	}
	if knownTerm > t.number {
		e.resignIfOutdated(knownTerm)
		return
	}
	t.scheduler.Admit(now, e.wallMS(), j.Submission(), j.Progress(), knownTerm < t.number)
}

// confirmsEnd reports whether a lease that expires by expiresBy at the latest has certainly
// expired. If only a write can confirm that, it requests one by needsWrite.
func (e *entry) confirmsEnd(now, expiresBy time.Time) bool {
	ended := e.w.rules.ConfirmsEnd(&e.term.leaderLease, now, expiresBy)
	e.term.needsWrite = e.term.needsWrite || !ended && !now.Before(expiresBy)
	return ended
}

// checkLeases checks which workers are silent, whose leases have expired, and whether
// the runs of earlier terms are over.
func (e *entry) checkLeases(now time.Time) {
	t := e.term
	for _, name := range slices.Sorted(maps.Keys(t.agents)) {
		l := t.agents[name]
		if now.Sub(l.lastContact) > silentAfter {
			t.scheduler.MarkSilent(name)
		}
		if !l.leaseExpired && e.confirmsEnd(now, e.w.rules.WorkerLeaseEndsBy(l.lastContact)) {
			l.leaseExpired = true
			if e.w.kinds&PartialViews != 0 {
				delete(t.held, name) // the runs that it shows have ended
			}
			e.w.note("%s in term %d: the lease of %s has expired", e.name, t.number, name)
			t.scheduler.WorkerLeaseExpired(now, name)
			e.takeOff(t, name)
		}
	}
	e.checkDeparted(now, t)
	for _, o := range e.w.entries {
		if e.w.kinds == 0 && o.name == t.previousClaim.Entry && e.reaches(o) && (o.generation != t.previousClaim.Incarnation || o.term == nil) {
			t.predecessor.NoteDead(now)
		}
	}
	if !t.earlierRunsOver && (t.scheduler.UnreportedWorkers() == 0 || e.confirmsEnd(now, e.w.rules.EarlierLeasesEndBy(&t.predecessor))) {
		t.earlierRunsOver = true
		e.w.note("%s in term %d: the runs of earlier terms are over; %d workers unreported", e.name, t.number, t.scheduler.UnreportedWorkers())
		for _, name := range t.scheduler.ExpireEarlierTerms(func(worker string) bool { return t.held[worker] != nil }) {
			if t.agents[name] == nil {
				e.takeOff(t, name)
			}
		}
	}
}

// sendOrders lets the scheduler decide, and sends the resulting orders to the agents.
func (e *entry) sendOrders(now time.Time) {
	t := e.term
	if e.holdsStarts(now) {
		return
	}
	orders := t.scheduler.Decide(now, e.wallMS())
	starts, stops := make(map[string][]dispatch.Start), make(map[string][]dispatch.Stop)
	e.checkStarts(orders.Starts())
	for _, s := range orders.Starts() {
		e.w.note("%s in term %d starts run %d of %s at %s", e.name, t.number, s.Run, s.Task, s.Worker)
		starts[s.Worker] = append(starts[s.Worker], s)
	}
	for _, s := range orders.Stops() {
		stops[s.Worker] = append(stops[s.Worker], s)
	}
	for _, s := range stops { // the scheduler gives stops in any order
		slices.SortFunc(s, func(x, y dispatch.Stop) int {
			return cmp.Or(strings.Compare(x.Task.String(), y.Task.String()), cmp.Compare(x.Run, y.Run))
		})
	}
	for _, a := range e.w.agents {
		l := t.agents[a.name]
		if l == nil || l.conn == nil || len(starts[a.name])+len(stops[a.name]) == 0 {
			continue
		}
		c, number, agentStarts, agentStops, header := l.conn, t.number, starts[a.name], stops[a.name], e.newHeader(l)
		e.pauseThen(func() {
			c.send(&a.process, func() { a.handleOrders(c, number, header, agentStarts, agentStops) })
		})
	}
}

// storeChange stores the scheduler's changes, and only then acknowledges the ends of
// runs that they contain. It also writes when the leadership lease must be renewed or
// the term be confirmed as the newest.
func (e *entry) storeChange(now time.Time) {
	t := e.term
	if t.change == nil && t.scheduler.HasChange() {
		t.change = t.scheduler.TakeChange()
		for id, p := range t.change.Jobs() {
			if r, err := workflow.ProgressRecord(id, p); err == nil {
				t.records = append(t.records, r)
			}
		}
		if e.w.rules.AckBeforeStore {
			e.sendAcks(t.change)
		}
	}
	if t.change == nil && !t.needsWrite && now.Sub(t.leaderLease.LastRenewal()) < renewInterval {
		return
	}
	t.needsWrite = false
	_, err := e.reachableStore().Append(context.Background(), store.AppendRequest{Topic: store.TopicProgress, Records: t.records, Term: t.number, Seq: t.seq + 1})
	switch {
	case err == nil:
		t.leaderLease.Renew(now)
		if len(t.records) > 0 {
			t.seq++
		}
		if t.change != nil {
			e.sendAcks(t.change)
		}
		t.change, t.records = nil, nil
	case errors.Is(err, store.ErrFenced):
		e.resign()
	}
}

// sendAcks tells the agents which ends of runs are acknowledged by a change.
func (e *entry) sendAcks(change *dispatch.Change) {
	type ack struct{ life, end uint64 }
	acks := make(map[string][]ack)
	change.EachAck(func(worker string, life, end uint64) { acks[worker] = append(acks[worker], ack{life, end}) })
	for _, a := range e.w.agents {
		l := e.term.agents[a.name]
		if l == nil || l.conn == nil || len(acks[a.name]) == 0 {
			continue
		}
		c := l.conn
		c.send(&a.process, func() {
			for _, acked := range acks[a.name] {
				a.handleAck(c, acked.life, acked.end)
			}
		})
	}
}
