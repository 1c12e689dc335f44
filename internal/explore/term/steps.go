package term

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Intervals and time-outs of entries whose calls take time, the same as for real entries.
const (
	storeTimeout       = 1200 * time.Millisecond
	claimRetryDelay    = 100 * time.Millisecond
	progressRetryDelay = 100 * time.Millisecond
	tailInterval       = time.Second
	tailRetryInterval  = 200 * time.Millisecond
	flushInterval      = 150 * time.Millisecond
	probeInterval      = 300 * time.Millisecond
	// maxLateCall is how long after its sending a call without an answer may take effect.
	maxLateCall = 4 * time.Second
)

// jobTopics are the topics whose records make up the job table.
var jobTopics = [...]store.Topic{store.TopicIntake, store.TopicProgress}

// steps is the state of an entry whose calls to the store take time.
type steps struct {
	// claiming is set while a claim or the beginning of a term is under way, and tailing while
	// job records are read in turn.
	claiming, tailing bool
	lastTail          time.Time
	jobs              workflow.JobTable
	unmatched         workflow.UnmatchedCancellations
	// nextOffset and caughtUpAt are the read positions in jobTopics.
	nextOffset [len(jobTopics)]uint64
	caughtUpAt [len(jobTopics)]time.Time
	// applied counts the records that were applied.
	applied uint64
	// goneWorkers holds the marks of gone workers.
	goneWorkers map[string]uint64
	// departures holds the numbers of the registrations under which workers have left in order.
	departures map[string]departure
	// lastStoreContact is when the store last answered the entry, contactBefore when it did so before it gave no answer for
	// longer than maxContactGap, and gapEndedAt when it answered again. The latter are zero once the intake was read since.
	lastStoreContact, contactBefore, gapEndedAt time.Time
	// lastProbe is when the predecessor was last probed, claimNotBefore when the next claim may be made.
	lastProbe, claimNotBefore time.Time
	following
}

// heldReport is the report of a worker whose name is not stored yet.
type heldReport struct {
	worker *dispatch.Worker
	runs   []dispatch.RunStatus
	ends   []dispatch.RunEnd
	ended  bool
	// lives are ended lives with unacknowledged ends, doneTasks the tasks that the agent knew to be done.
	lives     []dispatch.EndedLife
	doneTasks []workflow.TaskID
	// registration is the number of the registration that the agent was told of.
	registration uint64
	// newSince is the time on the dispatcher's clock at which the agent, which knew no term, said Hello; zero if it knew one.
	newSince time.Time
}

// later runs fn at a process after a delay, once the process is not frozen, unless it has restarted
// since.
func (p *process) later(delay time.Duration, fn func()) { p.laterIn(p.generation, delay, fn) }

// laterIn is later for a process that has to be of the given generation.
func (p *process) laterIn(generation uint64, delay time.Duration, fn func()) {
	p.w.schedule(delay, func() {
		switch {
		case p.generation != generation:
		case p.w.now < p.frozenUntil || p.w.now < p.downUntil:
			p.laterIn(generation, tickInterval, fn)
		default:
			fn()
		}
	})
}

// latency returns how long one way of a call takes: most are fast, some are slow.
func (w *world) latency() time.Duration {
	if w.kinds&PartialViews != 0 {
		return w.randomUpTo(30 * time.Millisecond) // the rules with a time bound hold for a store that is not slow
	}
	if w.random.IntN(5) == 0 {
		return w.randomUpTo(400 * time.Millisecond)
	}
	return w.randomUpTo(30 * time.Millisecond)
}

// leave runs fn, the arrival of a call that the process sends now. If the process freezes, the call may
// leave only afterwards.
func (p *process) leave(delay time.Duration, fn func()) {
	if p.w.random.IntN(2) == 0 {
		p.later(delay, fn)
		return
	}
	p.w.schedule(delay, fn)
}

// callStore carries out op, a call to the store, and then calls then with the time at which the call was
// sent. The call takes time, may fail, and may be carried out without an answer.
func (e *entry) callStore(op func(c *store.Client) error, then func(sent time.Time, err error)) {
	w, sent, generation := e.w, e.clock(), e.generation
	answer := func(delay time.Duration, err error) { e.laterIn(generation, delay, func() { then(sent, err) }) }
	if w.kinds&PartialViews != 0 {
		e.callStoreOverLink(op, func(err error) { then(sent, err) })
		return
	}
	switch w.random.IntN(25) {
	case 0:
		answer(w.latency(), store.ErrRefused)
	case 1:
		if w.random.IntN(3) > 0 {
			w.schedule(w.randomUpTo(maxLateCall), func() { _ = op(&w.storeClient) }) // nobody hears the answer
		}
		answer(storeTimeout, store.ErrOutcomeUnknown)
	default:
		e.leave(w.latency(), func() { answer(w.answerLatency(), op(e.reachableStore())) })
	}
}

// callStoreOverLink is callStore over a link that may be cut.
func (e *entry) callStoreOverLink(op func(c *store.Client) error, then func(err error)) {
	w, generation, answered := e.w, e.generation, false
	answer := func(err error) {
		if answered {
			return
		}
		answered = true
		if !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrOutcomeUnknown) {
			e.noteStoreContact(e.clock())
		}
		then(err)
	}
	e.later(storeTimeout, func() { answer(store.ErrOutcomeUnknown) })
	e.leave(w.latency(), func() {
		reached, err := w.reachStore(e.name, func() error { return op(e.reachableStore()) })
		if reached {
			e.laterIn(generation, w.answerLatency(), func() { answer(err) })
		}
	})
}

// answerLatency returns how long an answer of the store takes. Answers to calls that overlap may overtake each
// other by much.
func (w *world) answerLatency() time.Duration {
	if w.kinds&OverlappingReads != 0 && w.random.IntN(4) == 0 {
		return w.randomUpTo(storeTimeout)
	}
	return w.latency()
}

// tickInSteps is tick for an entry whose calls take time.
func (e *entry) tickInSteps(now time.Time) {
	if !e.tailing && now.Sub(e.lastTail) >= e.tailDelay() && (e.w.kinds&OverlappingReads != 0 || !e.claiming) {
		e.tailing, e.lastTail = true, now
		done := func() { e.tailing, e.lastTail = false, e.clock() }
		e.catchUp(0, func(err error) {
			if err != nil {
				done()
				return
			}
			e.deleteForgottenIntake(func() { e.deleteNames(done) })
		})
	}
	if t := e.term; t != nil {
		if e.candidate.Claim().Term > t.number {
			e.resign()
			return
		}
		e.probePredecessor(now)
		e.checkLeases(now)
		if e.w.rules.LeaderLeaseValid(&t.leaderLease, now) {
			e.sendOrders(now)
		}
		e.writeInSteps(now)
		return
	}
	if now.Sub(e.lastObserved) >= observeInterval {
		e.lastObserved = now
		e.follow(now)
	}
	if claim, _ := e.candidate.ShouldClaim(now, leadership.Standing{Rank: e.index}, 0); claim && !e.claiming && !now.Before(e.claimNotBefore) {
		if e.othersInContact(now) {
			e.claimNotBefore = now.Add(claimRetryDelay)
			return
		}
		e.claimInSteps(now)
	}
}

// tailDelay returns the delay between reads of job records: shorter with overlapping reads, as it is after a call
// has failed.
func (e *entry) tailDelay() time.Duration {
	if e.w.kinds&OverlappingReads != 0 {
		return tailRetryInterval
	}
	return tailInterval
}

// entryNamed returns the entry with a name, or nil.
func (w *world) entryNamed(name string) *entry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// catchUp applies the job records up to the end of their topics, from jobTopics[i] on.
func (e *entry) catchUp(i int, then func(err error)) {
	if i == len(jobTopics) {
		if e.term != nil {
			e.term.scheduler.AllJobsKnown(e.clock(), slices.MinFunc(e.caughtUpAt[:], time.Time.Compare))
		}
		then(nil)
		return
	}
	began, from, known := e.clock(), e.nextOffset[i], !e.caughtUpAt[i].IsZero()
	var records []store.StoredRecord
	var end uint64
	e.callStore(func(c *store.Client) (err error) {
		if !known {
			records, end, err = c.AllNewest(context.Background(), jobTopics[i])
			return err
		}
		page, err := c.Read(context.Background(), jobTopics[i], from, 0)
		if err == nil {
			records, end = page.Records, page.End
		}
		return err
	}, func(_ time.Time, err error) {
		if err != nil {
			then(err)
			return
		}
		e.applyRecords(records)
		e.nextOffset[i] = max(e.nextOffset[i], end)
		e.caughtUpAt[i] = began
		if jobTopics[i] == store.TopicIntake {
			e.noteIntakeRead(began)
		}
		e.catchUp(i+1, then)
	})
}

// applyRecords applies records to the job table, and passes new jobs to the scheduler.
func (e *entry) applyRecords(records []store.StoredRecord) {
	for _, r := range records {
		e.w.note("%s reads offset %d, %s", e.name, r.Offset, r.Key)
		if e.applyMark(r.Record) {
			continue
		}
		id, err := e.applyRecord(r.Record, r.Offset)
		if err != nil {
			panic(err)
		}
		e.noteJob(id)
		if j, _ := e.jobs.Job(id); e.term != nil && j != nil && j.Submission() != nil && !e.term.scheduler.HasJob(id) {
			e.admit(e.clock(), e.term, j)
			if e.term != nil {
				e.syncCancellation(e.term, id, j)
			}
		}
	}
}

// noteJob notes what the entry shows of a job after a record of it, and passes its cancellation to the scheduler.
func (e *entry) noteJob(id string) {
	j, _ := e.jobs.Job(id)
	e.w.noteShown(id, j)
	if e.term != nil && j != nil && e.term.scheduler.HasJob(id) {
		e.syncCancellation(e.term, id, j)
	}
}

// applyRecord applies the record at an offset to the job table.
func (e *entry) applyRecord(r store.Record, offset uint64) (string, error) {
	if e.applied++; e.w.rules.ApplyInAnyOrder {
		offset = e.applied
	}
	return e.jobs.Apply(r, offset)
}

// writeInSteps stores the names of new workers, and else the scheduler's changes.
func (e *entry) writeInSteps(now time.Time) {
	t := e.term
	if t.writing {
		return
	}
	if len(t.held) > 0 {
		e.registerInSteps(t)
		return
	}
	renew := t.needsWrite || now.Sub(t.leaderLease.LastRenewal()) >= renewInterval
	due := t.scheduler.HasChange() && (t.scheduler.HasUrgentChange() || now.Sub(t.lastFlush) >= flushInterval)
	if !renew && !due {
		return
	}
	change := t.scheduler.TakeChange()
	t.lastFlush = now
	var records []store.Record
	for _, id := range sortedJobs(change) {
		if r, err := workflow.ProgressRecord(id, change.Jobs()[id]); err == nil {
			records = append(records, r)
		}
	}
	if len(records) == 0 && !renew {
		e.sendAcks(change)
		return
	}
	forgetting, forgotten := e.takeForgetting(now, t, change)
	marks, marked, unmarked := e.takeMarks(t)
	records = slices.Concat(records, forgetting, marks)
	t.needsWrite, t.writing = false, true
	e.appendProgress(t, records, t.seq+1, func(stored bool, end uint64) {
		t.writing = false
		if !stored {
			return
		}
		for i, r := range records {
			e.w.note("%s has stored %s in term %d", e.name, r.Key, t.number)
			if e.applyMark(r) {
				continue
			}
			id, err := e.applyRecord(r, end-uint64(len(records)-i))
			if err != nil {
				panic(err)
			}
			e.noteJob(id)
		}
		t.roster.Stored(marked, unmarked)
		e.dropForgotten(t, forgotten)
		if e.term == t {
			e.sendAcks(change)
		}
	})
}

func sortedJobs(change *dispatch.Change) []string {
	var ids []string
	for id := range change.Jobs() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// registerInSteps stores the names of new workers and then writes under the term, before it applies the
// workers' reports.
func (e *entry) registerInSteps(t *dispatcherState) {
	var names []string
	var records []store.Record
	for name := range t.held {
		names = append(names, name)
	}
	slices.Sort(names)
	named := maps.Clone(t.held)
	for _, name := range names {
		records = append(records, store.Record{Key: name, Value: []byte{1}})
	}
	t.writing = true
	end := uint64(0)
	e.callStore(func(c *store.Client) (err error) {
		end, err = c.Append(context.Background(), store.AppendRequest{Topic: store.TopicWorkers, Records: records})
		return err
	}, func(_ time.Time, err error) {
		if err != nil {
			t.roster.NoteOutdated()
			t.writing = false
			return
		}
		e.appendProgress(t, nil, t.seq+1, func(stored bool, _ uint64) {
			t.writing = false
			if !stored || e.term != t {
				return
			}
			t.roster.Register(names, end)
			for _, name := range names {
				h := t.held[name]
				if h != named[name] && e.w.kinds&OrderlyDepartures != 0 {
					continue // it came after the name was sent to the store
				}
				if h != nil {
					e.applyReport(h)
				}
				delete(t.held, name)
			}
		})
	})
}

// appendProgress appends records under the term, and repeats that until it succeeds or the term has ended. end is
// the end offset after the append.
func (e *entry) appendProgress(t *dispatcherState, records []store.Record, seq uint64, then func(stored bool, end uint64)) {
	e.appendAgain(t, records, seq, time.Time{}, then)
}

// appendAgain is appendProgress for an append of which an attempt was first sent at the given time, zero if there
// was none.
func (e *entry) appendAgain(t *dispatcherState, records []store.Record, seq uint64, first time.Time, then func(stored bool, end uint64)) {
	end := uint64(0)
	e.callStore(func(c *store.Client) (err error) {
		end, err = c.Append(context.Background(), store.AppendRequest{Topic: store.TopicProgress, Records: records, Term: t.number, Seq: seq})
		return err
	}, func(sent time.Time, err error) {
		if first.IsZero() || e.w.rules.RenewFromRepetition {
			first = sent
		}
		var wrong *store.SequenceError
		switch {
		case err == nil:
			if len(records) > 0 {
				t.seq = seq
			}
			t.leaderLease.Renew(first)
			then(true, end)
		case errors.As(err, &wrong):
			e.appendAgain(t, records, wrong.Want, first, then)
		case errors.Is(err, store.ErrFenced):
			if e.term == t {
				e.resign()
			}
			then(false, 0)
		case e.term != t:
			then(false, 0)
		default:
			e.later(progressRetryDelay, func() { e.appendAgain(t, records, seq, first, then) })
		}
	})
}

// handleReportInSteps applies a worker's report, or holds it until the worker's name is stored.
func (e *entry) handleReportInSteps(c *conn, h *heldReport) {
	t := e.term
	if t == nil || t.number != c.term { // an agent that was welcomed in another term serves that one
		c.broken = true
		return
	}
	e.w.note("%s in term %d gets a report of %s life %d runs %v ends %v", e.name, t.number, h.worker.Name, h.worker.Life, h.runs, h.ends)
	t.agents[h.worker.Name] = &agentLink{conn: c, lastContact: e.clock()}
	if e.needsName(h) || !e.isConfirmed(h) {
		t.held[h.worker.Name] = h
		return
	}
	e.applyReport(h)
}

// applyReport applies a worker's report. A worker of life 0 has no runner.
func (e *entry) applyReport(h *heldReport) {
	e.term.scheduler.ApplyEndedLives(e.clock(), e.wallMS(), h.worker.Name, h.lives)
	e.term.noteKnownDone(h.doneTasks)
	if h.worker.Life == 0 {
		e.term.scheduler.RunnerGone(e.clock(), e.wallMS(), h.worker.Name, h.ended)
		if h.ended && e.term.scheduler.LeftInOrder(h.worker.Name) {
			e.takeOff(e.term, h.worker.Name)
		}
		return
	}
	e.term.scheduler.ApplyReport(e.clock(), e.wallMS(), h.worker, h.runs, h.ends)
	e.tellRegistration(h.worker.Name)
}
