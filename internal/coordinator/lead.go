package coordinator

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/tenure"
)

// resignAfter is how long the store fails the dispatcher before another entry
// that reaches it takes over: ends that are not stored are not shown to callers,
// and a single lost answer is repeated within 0.2 s.
const resignAfter = 700 * time.Millisecond

// servedAfter is how much later than the dispatcher's first failure the store
// must have answered another entry, to tell a refusal of one from an outage for all.
const servedAfter = 300 * time.Millisecond

// heirAge is how old an entry's last answer from the store may be for it to
// store records of another one; it reads the store every second.
const heirAge = 2 * time.Second

// decideGap bounds how often the board decides, to batch what arrives together.
const decideGap = 4 * time.Millisecond

// lead claims the dispatch when it should, and decides while this entry holds it.
func (c *Coordinator) lead(ctx context.Context) {
	for clock.Pause(ctx, c.wake, tickEvery) {
		now := clock.Steady()
		c.mu.Lock()
		t := c.term
		if t != nil {
			t.watch(now, c)
			c.decide(now, t)
		}
		c.mu.Unlock()
		if t == nil {
			c.considerClaim(ctx, now)
			continue
		}
		c.considerResigning(now, t)
		clock.Pause(ctx, nil, decideGap)
	}
}

// decide sends the orders that are due. The caller holds mu.
func (c *Coordinator) decide(now time.Time, t *term) {
	for _, l := range t.board.TakeLost() {
		c.count("runs-lost", 1)
		c.log.Warn().Str("task", l.Task.String()).Uint64("run", l.Run).Str("worker", l.Worker).Msg("run lost with its worker")
	}
	if !t.holder.Valid(now) {
		return
	}
	orders := t.board.Decide(now, clock.WallMS())
	out := make(map[string]*peer.Orders)
	of := func(worker string) *peer.Orders {
		if out[worker] == nil {
			out[worker] = &peer.Orders{Term: t.number}
		}
		return out[worker]
	}
	c.count("starts-ordered", len(orders.Starts()))
	c.count("stops-ordered", len(orders.Stops()))
	c.count("questions-asked", len(orders.Questions()))
	for _, s := range orders.Starts() {
		c.log.Info().Str("task", s.Task.String()).Uint64("run", s.Run).Str("worker", s.Worker).Str("reason", s.Reason).Msg("start ordered")
		o := of(s.Worker)
		o.Starts = append(o.Starts, s)
	}
	for _, s := range orders.Stops() {
		c.log.Info().Str("task", s.Task.String()).Uint64("run", s.Run).Str("worker", s.Worker).Str("reason", s.Reason).Msg("stop ordered")
		o := of(s.Worker)
		o.Stops = append(o.Stops, s)
	}
	for _, q := range orders.Questions() {
		c.log.Info().Str("step", q.Step.String()).Uint64("question", q.Seq).Str("asker", q.Asker).Int("workers", len(q.Instances)).Msg("advice asked for")
		o := of(q.Asker)
		o.Questions = append(o.Questions, q)
	}
	for w, o := range out {
		if a := t.agents[w]; a != nil && a.conn != nil {
			a.conn.Send(&peer.Message{Orders: o})
		}
	}
	if t.board.Changed() {
		kick(c.persist)
	}
}

// considerClaim claims the dispatch if no entry seems to hold it.
func (c *Coordinator) considerClaim(ctx context.Context, now time.Time) {
	c.mu.Lock()
	claim, reason := c.candidate.Decide(now, c.rank(), 0)
	if c.leaving || c.config == nil {
		claim = false
	}
	if claim && now.Before(c.heirUntil) && c.candidate.Claim().Term != 0 {
		claim = false // the entry that was named as heir claims first
	}
	known := c.candidate.Claim()
	c.mu.Unlock()
	if !claim {
		return
	}
	if others := c.othersHear(ctx, known); others > 0 {
		return
	}
	if err := c.claim(ctx, reason); err != nil {
		c.log.Warn().Err(err).Str("reason", reason).Msg("claiming the dispatch failed")
		clock.Pause(ctx, nil, tickEvery)
	}
}

// rank orders the entries that may claim, by address. The caller holds mu.
func (c *Coordinator) rank() int {
	n := 0
	for a := range c.entries {
		if a < c.settings.Listen {
			n++
		}
	}
	return n
}

// claim takes the dispatch over through the store.
func (c *Coordinator) claim(ctx context.Context, reason string) error {
	found, end, err := c.newestClaim(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	if found.Term > c.candidate.Claim().Term {
		c.candidate.Learn(clock.Steady(), found)
		c.mu.Unlock()
		c.log.Info().Uint64("term", found.Term).Str("dispatcher", found.Entry).Msg("another entry dispatches")
		return nil
	}
	c.mu.Unlock()
	own := tenure.Claim{Entry: c.settings.Name, Incarnation: c.settings.Incarnation, Address: c.settings.Listen}
	record, err := store.ClaimRecord(&own)
	if err != nil {
		return err
	}
	_, err = call(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.Append{Topic: store.TopicDispatch, At: end, AtSet: true, Records: []store.Record{record}})
	})
	if err != nil {
		return errors.Wrap(err, "append the claim") // whether it took effect shows when the claims are read again
	}
	own.Term = end + 1
	return c.beginTerm(ctx, own, found, reason)
}

// newestClaim returns the newest claim and the end of its topic.
func (c *Coordinator) newestClaim(ctx context.Context) (tenure.Claim, uint64, error) {
	type found struct {
		claim tenure.Claim
		end   uint64
	}
	got, err := call(ctx, c, 0, func(ctx context.Context) (found, error) {
		claim, end, skipped, err := c.store.NewestClaim(ctx)
		if skipped > 0 {
			c.log.Warn().Int("records", skipped).Msg("records of the dispatch topic that are no claims are skipped")
		}
		return found{claim, end}, err
	})
	return got.claim, got.end, err
}

// beginTerm reads the state and begins to dispatch.
func (c *Coordinator) beginTerm(ctx context.Context, own, before tenure.Claim, reason string) error {
	t := &term{number: own.Term, agents: make(map[string]*agentLink), known: make(map[string]bool), begins: make(map[string]*peer.Report)}
	sent := clock.Steady()
	c.mu.Lock()
	c.candidate.Learn(sent, own)
	c.mu.Unlock()
	if _, err := call(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.Append{Topic: store.TopicProgress, Term: t.number})
	}); err != nil {
		c.abandon(own.Term)
		return errors.Wrap(err, "fence earlier terms")
	}
	t.holder.Prove(sent)
	workers, err := c.workers(ctx)
	if err == nil {
		err = c.catchUp(ctx)
	}
	if err != nil {
		c.abandon(own.Term)
		return errors.Wrap(err, "read the state")
	}
	now := clock.Steady()
	if before.Term != 0 {
		t.predecessor.Follow(now)
		if before.Entry == c.settings.Name {
			t.predecessor.Dead(now) // an earlier process on this machine, or an earlier term of this one
		}
	}
	c.mu.Lock()
	if c.candidate.Claim().Term != own.Term || c.leaving {
		c.candidate.Resigned(own.Term)
		c.mu.Unlock()
		return nil
	}
	t.begin(now, c, workers)
	c.term = t
	c.mu.Unlock()
	c.count("terms-begun", 1)
	c.gauge("term", int64(t.number))
	c.log.Info().Uint64("term", t.number).Str("reason", reason).Str("before", before.Entry).Int("workers", len(workers)).
		Int("jobs", c.Status().Jobs).Dur("took", now.Sub(sent)).Msg("this entry dispatches")
	if before.Term != 0 && before.Entry != c.settings.Name {
		c.group.Go(func() { c.findDead(ctx, t, before) })
	}
	return nil
}

// abandon gives a claim up that could not be followed by a term.
func (c *Coordinator) abandon(term uint64) {
	c.mu.Lock()
	c.candidate.Resigned(term)
	c.mu.Unlock()
}

// workers returns the names of the workers that may run tasks.
func (c *Coordinator) workers(ctx context.Context) ([]string, error) {
	records, err := call(ctx, c, 0, func(ctx context.Context) ([]store.Stored, error) {
		records, _, err := c.store.All(ctx, store.TopicWorkers)
		return records, err
	})
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range records {
		out = append(out, r.Key)
	}
	sort.Strings(out)
	return out, nil
}

// findDead asks the earlier dispatcher until it is known not to act any more.
func (c *Coordinator) findDead(ctx context.Context, t *term, before tenure.Claim) {
	for ctx.Err() == nil {
		c.mu.Lock()
		current := c.term == t && !t.settled
		c.mu.Unlock()
		if !current {
			return
		}
		dead, why := c.isDead(ctx, before)
		if dead {
			c.mu.Lock()
			t.predecessor.Dead(clock.Steady())
			c.mu.Unlock()
			c.log.Info().Uint64("term", before.Term).Str("entry", before.Entry).Str("reason", why).Msg("the earlier dispatcher does not act any more")
			return
		}
		clock.Pause(ctx, nil, pingEvery)
	}
}

// resign gives the term up and names an heir.
func (c *Coordinator) resign(t *term, reason string) {
	c.mu.Lock()
	if c.term != t {
		c.mu.Unlock()
		return
	}
	c.term = nil
	c.candidate.Resigned(t.number)
	c.heirUntil = clock.Steady().Add(tenure.ClaimAfter)
	heir := c.chooseHeir(clock.Steady())
	m := &peer.Message{Resigned: &peer.Resigned{Term: t.number, Heir: heir}}
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
	c.log.Warn().Uint64("term", t.number).Str("reason", reason).Str("heir", heir).Msg("term resigned")
}

// chooseHeir names the entry that reached the store last, or "". The caller holds mu.
func (c *Coordinator) chooseHeir(now time.Time) string {
	var best *entryLink
	for _, l := range c.links {
		if l.leaving || l.name == "" || now.Sub(l.heard) > silentAfter {
			continue
		}
		if best == nil || l.storeAge < best.storeAge || l.storeAge == best.storeAge && l.name < best.name {
			best = l
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

// failedAlone reports whether the store fails this entry while it serves
// another one. The caller holds mu.
func (c *Coordinator) failedAlone(now time.Time) bool {
	if !c.storeAway(now) || now.Sub(c.storeFailed) < resignAfter {
		return false
	}
	for _, l := range c.links {
		if now.Sub(l.heard) < silentAfter && l.heard.Add(-l.storeAge).Sub(c.storeFailed) > servedAfter {
			return true
		}
	}
	return false
}

// considerResigning gives the term up if this entry cannot reach the store and another can.
func (c *Coordinator) considerResigning(now time.Time, t *term) {
	c.mu.Lock()
	alone := c.failedAlone(now)
	newer := c.candidate.Claim().Term > t.number
	leaving := c.leaving && c.chooseHeir(now) != ""
	c.mu.Unlock()
	switch {
	case newer:
		c.resign(t, "a later term has begun")
	case leaving:
		c.resign(t, "the entry is leaving")
	case alone:
		c.resign(t, "another entry reaches the store, this one does not")
	}
}
