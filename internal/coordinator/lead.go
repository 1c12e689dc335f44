package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// resignAfter is how long the store must have failed the dispatcher before the dispatcher
// resigns in favour of an entry that reaches the store. While the store fails, callers do not
// see that jobs have ended, since the ends cannot be stored. A call with a single lost answer
// is repeated within 0.2 s.
const resignAfter = 700 * time.Millisecond

// minServedAfterFailure is the minimum time from the dispatcher's first failed call to the last
// answer of the store to another entry from which the dispatcher concludes that only its own
// access to the store has failed, rather than the store for all entries.
const minServedAfterFailure = 300 * time.Millisecond

// relayMaxStoreContactAge is the maximum age of an entry's last answer from the store for
// the dispatcher to store records through that entry. Each entry reads the store every
// second.
const relayMaxStoreContactAge = 2 * time.Second

// minDecisionInterval is the minimum time between two scheduling decisions, so that one
// decision takes into account all messages that arrive together.
const minDecisionInterval = 4 * time.Millisecond

// lead claims leadership when no entry holds it, and makes scheduling decisions while
// this entry is the dispatcher.
func (c *Coordinator) lead(ctx context.Context) {
	for clock.WaitForWake(ctx, c.wakeLead, tickEvery) {
		now := clock.Steady()
		c.mu.Lock()
		t := c.term
		if t != nil {
			t.checkWorkers(now, c)
			c.sendOrders(now, t)
		}
		c.mu.Unlock()
		if t == nil {
			c.considerClaim(ctx, now)
			continue
		}
		c.considerResigning(now, t)
		clock.WaitForWake(ctx, nil, minDecisionInterval)
	}
}

// sendOrders sends the agents the orders and the policy questions that are due,
// while the leadership lease is valid. The caller holds mu.
func (c *Coordinator) sendOrders(now time.Time, t *term) {
	for _, l := range t.scheduler.TakeLostRuns() {
		c.count("runs-lost", 1)
		c.log.Warn().Str("task", l.Task.String()).Uint64("run", l.Run).Str("worker", l.Worker).Bool("crashed", l.Crashed).
			Bool("sent", l.Sent).Bool("proven", l.Proven).Int("crashes", l.Crashes).Msg("run lost with its worker")
	}
	for _, x := range t.scheduler.TakeContradictions() {
		c.count("contradictions", 1)
		c.log.Warn().Str("task", x.Task.String()).Uint64("run", x.Run).Str("worker", x.Worker).Str("how", listedAs(&x)).Str("concluded", string(x.Conclusion)).
			Bool("restarted", x.Restarted).Uint64("term", t.number).Msg("worker lists a run that was taken for ended")
	}
	for _, a := range t.scheduler.TakeAbandonedTasks() {
		c.count("tasks-abandoned", 1)
		c.log.Warn().Str("task", a.Task.String()).Int("crashes", a.Crashes).Str("worker", a.Worker).Msg("task abandoned: runners crash when they start it")
	}
	if !c.leaseValid(now, t) || c.holdsUnconfirmed(now, t) || c.holdsStarts(now, t) {
		t.backlog.oldest = time.Time{} // no decision is due before the store has answered
		return
	}
	orders := t.scheduler.Decide(now, clock.WallMS())
	c.noteDecision(now, t)
	c.countSpeculation(t)
	c.logTargets(now, t)
	c.logHealth(now, t)
	c.logWaiting(now, t)
	c.logEvacuations(now, t)
	c.logBacklogs(now, t)
	out := make(map[string]*peer.Orders)
	ordersTo := func(worker string) *peer.Orders {
		if out[worker] == nil {
			out[worker] = c.newOrders(now, t, worker)
		}
		return out[worker]
	}
	c.count("starts-ordered", len(orders.Starts()))
	c.count("stops-ordered", len(orders.Stops()))
	c.count("questions-asked", len(orders.Questions()))
	for _, s := range orders.Starts() {
		c.logStart(t, &s)
		o := ordersTo(s.Worker)
		o.Starts = append(o.Starts, s)
	}
	for _, s := range orders.Stops() {
		c.log.Info().Str("task", s.Task.String()).Uint64("run", s.Run).Str("worker", s.Worker).Str("reason", s.Reason).Msg("stop ordered")
		o := ordersTo(s.Worker)
		o.Stops = append(o.Stops, s)
	}
	for _, q := range orders.Questions() {
		c.log.Info().Str("step", q.Step.String()).Uint64("question", q.Seq).Str("asker", q.Asker).Int("workers", len(q.Instances)).Msg("placement policy question sent")
		o := ordersTo(q.Asker)
		o.PolicyQuestions = append(o.PolicyQuestions, q)
	}
	for w, o := range out {
		if a := t.agents[w]; a != nil && a.conn != nil {
			a.conn.Send(&peer.Message{Orders: o})
		}
	}
	if t.scheduler.HasChange() {
		notify(c.wakeWriter)
	}
}

// leaseValid reports whether the leadership lease of t is valid, and logs when that changes. The caller holds mu.
func (c *Coordinator) leaseValid(now time.Time, t *term) bool {
	valid := t.leaderLease.Valid(now)
	if valid == t.leaseLost {
		t.leaseLost = !valid
		c.log.Warn().Uint64("term", t.number).Bool("valid", valid).Dur("age", now.Sub(t.leaderLease.LastRenewal())).Bool("followers-in-contact", t.leaderLease.Followers().InContact(now)).
			Msg("validity of the leadership lease has changed")
	}
	return valid
}

// logStart logs a start order and, if the task ran before in this term, how its last run ended.
func (c *Coordinator) logStart(t *term, s *dispatch.Start) {
	line := c.log.Info().Str("task", s.Task.String()).Uint64("run", s.Run).Str("worker", s.Worker).Str("reason", s.Reason)
	if p, ok := t.scheduler.PreviousRun(s.Task); ok {
		line = line.Uint64("previous-run", p.Run).Str("previous-worker", p.Worker).Str("previous-how", p.How.String())
	}
	line.Msg("start ordered")
}

// listedAs says how a worker lists a run that was taken for ended: as running, pending, or with an outcome.
func listedAs(x *dispatch.Contradiction) string {
	switch {
	case x.How != 0:
		return x.How.String()
	case x.Pending:
		return "pending"
	}
	return "running"
}

// considerClaim claims leadership if neither this entry nor any other one has had contact
// with a dispatcher lately. An entry that shuts down, has no configuration, or does not know
// the evacuated data centres of a deployment that has evacuations does not claim.
func (c *Coordinator) considerClaim(ctx context.Context, now time.Time) {
	if !c.discover(ctx, now) {
		return
	}
	c.mu.Lock()
	claim, reason := c.candidate.ShouldClaim(now, c.standing(), 0)
	if c.draining || c.config == nil || c.settings.EvacuationBound > 0 && !c.evacuations.known() {
		claim = false
	}
	if claim && now.Before(c.claimNotBefore) && c.candidate.Claim().Term != 0 {
		claim = false // the successor that was named claims first
	}
	known := c.candidate.Claim()
	c.mu.Unlock()
	if !claim {
		return
	}
	if others := c.probeForDispatcher(ctx, known); others > 0 {
		return
	}
	if err := c.claim(ctx, reason); err != nil {
		c.log.Warn().Err(err).Str("reason", reason).Msg("claiming leadership failed")
		clock.WaitForWake(ctx, nil, tickEvery)
	}
}

// claim claims leadership by appending a record to the store, on the condition that
// no claim has been appended since the newest one was read. If this entry did not know the
// newest claim yet, it only records that claim and does not append its own. reason is logged.
func (c *Coordinator) claim(ctx context.Context, reason string) error {
	found, end, err := c.newestClaim(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	if found.Term > c.candidate.Claim().Term {
		c.candidate.ObserveClaim(clock.Steady(), found)
		c.mu.Unlock()
		c.log.Info().Uint64("term", found.Term).Str("dispatcher", found.Entry).Msg("another entry is the dispatcher")
		return nil
	}
	c.candidate.BeginClaim()
	c.mu.Unlock()
	own := leadership.Claim{Entry: c.settings.Name, Incarnation: c.settings.Incarnation, Address: c.settings.Listen}
	record, err := store.ClaimRecord(&own)
	if err != nil {
		return err
	}
	_, err = callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicLeadership, ExpectedEnd: end, CheckEnd: true, Records: []store.Record{record}})
	})
	if err != nil {
		return errors.Wrap(err, "append the claim") // if the claim was stored all the same, the next attempt reads it
	}
	own.Term = end + 1
	return c.beginTerm(ctx, own, found, reason)
}

// newestClaim returns the newest claim and the end offset of store.TopicLeadership.
func (c *Coordinator) newestClaim(ctx context.Context) (leadership.Claim, uint64, error) {
	type found struct {
		claim leadership.Claim
		end   uint64
	}
	got, err := callStore(ctx, c, 0, func(ctx context.Context) (found, error) {
		claim, end, skipped, err := c.store.NewestClaim(ctx)
		if skipped > 0 {
			c.log.Warn().Int("records", skipped).Msg("skipped records of the dispatch topic that are not claims")
		}
		return found{claim, end}, err
	})
	return got.claim, got.end, err
}

// beginTerm makes this entry the dispatcher after its claim own was stored: it has the store
// reject writes of earlier terms, and reads the workers and jobs. previous is the claim before
// own, with term 0 if there was none.
func (c *Coordinator) beginTerm(ctx context.Context, own, previous leadership.Claim, reason string) error {
	t := &term{number: own.Term, began: clock.Steady(), agents: make(map[string]*agentLink), heldReports: make(map[string]*peer.Report)}
	sent := clock.Steady()
	c.mu.Lock()
	c.candidate.ObserveClaim(sent, own)
	c.mu.Unlock()
	var err error
	if t.fencedAt, err = callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicProgress, Term: t.number})
	}); err != nil {
		c.abandonClaim(own.Term)
		return errors.Wrap(err, "fence earlier terms")
	}
	t.leaderLease.Renew(sent)
	names, err := c.readNames(ctx)
	if err == nil {
		err = c.catchUp(ctx)
	}
	if err != nil {
		c.abandonClaim(own.Term)
		return errors.Wrap(err, "read the state")
	}
	now := clock.Steady()
	if previous.Term != 0 {
		t.predecessor.TermBegan(now)
	}
	c.mu.Lock()
	if mayBegin := c.candidate.MayBegin(own.Term); !mayBegin || c.draining {
		c.candidate.NoteResigned(clock.Steady(), own.Term)
		c.mu.Unlock()
		c.log.Warn().Uint64("term", own.Term).Bool("superseded", !mayBegin).Msg("claim given up before its term began")
		return nil
	}
	t.loadScheduler(now, c, names)
	c.term = t
	known := knownPredecessors{stoppedBefore: c.stoppedBefore, followed: c.followed.Terms(now)}
	workers := t.scheduler.UnreportedWorkers()
	c.mu.Unlock()
	c.count("terms-begun", 1)
	c.gauge("term", int64(t.number))
	c.log.Info().Uint64("term", t.number).Str("reason", reason).Str("before", previous.Entry).Uint64("previous-term", previous.Term).Int("workers", workers).
		Int("jobs", c.Status().Jobs).Dur("took", now.Sub(sent)).Msg("this entry is the dispatcher")
	if previous.Term != 0 {
		c.group.Go(func() { c.watchPredecessors(ctx, t, own, previous, known) })
	}
	return nil
}

// abandonClaim marks this entry's claim of a term as resigned, since the term could not begin.
func (c *Coordinator) abandonClaim(term uint64) {
	c.mu.Lock()
	c.candidate.NoteResigned(clock.Steady(), term)
	c.mu.Unlock()
}

// resign ends the term t in favour of the entry that chooseSuccessor returns, if any.
func (c *Coordinator) resign(t *term, reason string) {
	c.endTerm(t, reason, func(now time.Time) (name, address string) {
		l := c.chooseSuccessor(now)
		if l == nil {
			return "", ""
		}
		return l.name, l.address
	})
}

// resignSuperseded ends the term t in favour of the entry that has claimed a later one, if that claim is
// known.
func (c *Coordinator) resignSuperseded(t *term, reason string) {
	c.endTerm(t, reason, func(time.Time) (name, address string) {
		claim := c.candidate.Claim()
		if claim.Term <= t.number {
			return "", ""
		}
		return claim.Entry, claim.Address
	})
}

// endTerm ends the term t and tells all peers which entry follows, as next returns it.
func (c *Coordinator) endTerm(t *term, reason string, next func(now time.Time) (name, address string)) {
	c.mu.Lock()
	if c.term != t {
		c.mu.Unlock()
		return
	}
	now := clock.Steady()
	r := &peer.Resigned{Term: t.number}
	r.Successor, r.SuccessorAddress = next(now)
	c.term = nil
	c.candidate.NoteResigned(now, t.number)
	c.claimNotBefore = now.Add(leadership.ElectionTimeout)
	m := &peer.Message{Resigned: r}
	for _, a := range t.agents {
		if a.conn != nil {
			a.conn.Send(m)
		}
	}
	for _, l := range c.links {
		l.conn.Send(m)
	}
	c.mu.Unlock()
	c.count("terms-resigned", 1)
	c.log.Warn().Uint64("term", t.number).Str("reason", reason).Str("heir", r.Successor).Msg("term resigned")
}

// onlyStoreAccessLost reports whether the store fails this entry while it serves another
// entry. The caller holds mu.
func (c *Coordinator) onlyStoreAccessLost(now time.Time) bool {
	since, _ := c.health.failingSince(now)
	if !c.health.unavailable(now) || now.Sub(since) < resignAfter {
		return false
	}
	for _, l := range c.links {
		if now.Sub(l.lastContact) < silentAfter && l.servedSince(since) {
			return true
		}
	}
	return false
}

// servedSince reports whether the store serves another entry that it has begun to fail this one at a time.
func (l *entryLink) servedSince(failingSince time.Time) bool {
	return l.servedAt().Sub(failingSince) > minServedAfterFailure
}

// considerResigning ends the term if a later one has begun, if this entry shuts
// down and has a successor, if only this entry cannot reach the store, or if another
// entry is much stronger.
func (c *Coordinator) considerResigning(now time.Time, t *term) {
	c.mu.Lock()
	accessLost := c.onlyStoreAccessLost(now)
	newer := c.candidate.Claim().Term > t.number
	shutdownReady := c.draining && c.chooseSuccessor(now) != nil
	outclassed := c.outclassed(now, t)
	c.mu.Unlock()
	switch {
	case newer:
		c.resignSuperseded(t, "a later term has begun")
	case shutdownReady:
		c.resign(t, "the entry is shutting down")
	case accessLost:
		c.resign(t, "another entry reaches the store and this one does not")
	case outclassed:
		c.resign(t, "another entry is much stronger")
	}
}
