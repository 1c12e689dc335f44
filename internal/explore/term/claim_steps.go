package term

import (
	"context"
	"maps"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// refuses reports whether another entry's address refuses connections: its process has ended, or it is isolated by a
// cut that refuses them.
func (e *entry) refuses(o *entry) bool {
	if c := e.w.cutOf(e.name, o.name); c.until != 0 {
		return c.mode == cutRefused
	}
	if o.isolationRefuses && e.w.now < o.isolatedUntil {
		return e.w.now >= e.isolatedUntil && !e.isCut()
	}
	return e.w.now < o.downUntil && e.w.now >= max(e.isolatedUntil, o.isolatedUntil) && !e.isCut() && !o.isCut()
}

// follow pings the entry that made the newest known claim.
func (e *entry) follow(now time.Time) {
	claim := e.candidate.Claim()
	o := e.w.entryNamed(claim.Entry)
	if o == nil || o == e {
		return
	}
	if e.refuses(o) {
		e.candidate.NoteResigned(now, claim.Term)
		return
	}
	if !e.reaches(o) {
		e.holdPing(o, claim.Term)
		return
	}
	named := e.candidate.NewestTerm()
	o.candidate.HearOf(named)
	o.resignIfOutdated(named)
	switch {
	case o.term != nil && o.term.number == claim.Term:
		e.candidate.NoteContact(now, claim.Term)
		e.passDeparturesOn(o)
		e.pingDispatcher(now, o)
	case o.candidate.Claim().Term > claim.Term:
		e.candidate.ObserveClaim(now, o.candidate.Claim())
	case o.generation != claim.Incarnation:
		e.candidate.NoteResigned(now, claim.Term)
	}
}

// othersInContact probes the other entries and reports whether one of them had contact with the
// dispatcher lately or knows a later claim. A probe may fail.
func (e *entry) othersInContact(now time.Time) bool {
	claim, found := e.candidate.Claim(), false
	for _, o := range e.w.entries {
		if o == e || o.name == claim.Entry || !e.reaches(o) || e.w.kinds&PartialViews == 0 && e.w.random.IntN(4) == 0 {
			continue
		}
		o.resignIfOutdated(claim.Term)
		known := o.candidate.Claim()
		switch {
		case known.Term > claim.Term:
			e.candidate.ObserveClaim(now, known)
			found = true
		case known.Term == claim.Term && !o.candidate.NoDispatcher() && o.clock().Sub(o.candidate.LastContact()) < leadership.ElectionTimeout:
			found = true
		}
	}
	return found
}

// claimInSteps writes a claim to the store, and begins a term if that succeeds.
func (e *entry) claimInSteps(time.Time) {
	e.claiming = true
	giveUp := func() { e.claiming, e.claimNotBefore = false, e.clock().Add(claimRetryDelay) }
	var found leadership.Claim
	var end uint64
	e.callStore(func(c *store.Client) (err error) {
		found, end, _, err = c.NewestClaim(context.Background())
		return err
	}, func(_ time.Time, err error) {
		if err != nil || e.candidate.ObserveClaim(e.clock(), found) {
			giveUp()
			return
		}
		e.candidate.BeginClaim()
		previous, expected := found, end
		own := leadership.Claim{Entry: e.name, Incarnation: e.generation, Address: e.name}
		record, err := store.ClaimRecord(&own)
		if err != nil {
			panic(err)
		}
		e.callStore(func(c *store.Client) error {
			_, err := c.Append(context.Background(), store.AppendRequest{Topic: store.TopicLeadership, ExpectedEnd: expected, CheckEnd: true, Records: []store.Record{record}})
			return err
		}, func(_ time.Time, err error) {
			if err != nil {
				giveUp()
				return
			}
			own.Term = expected + 1
			e.beginInSteps(own, previous, giveUp)
		})
	})
}

// beginInSteps begins a term after its claim was stored: it fences the earlier terms, reads the workers and
// then the jobs. It calls done at the end.
func (e *entry) beginInSteps(own, previous leadership.Claim, done func()) {
	e.candidate.ObserveClaim(e.clock(), own)
	e.w.note("%s has claimed term %d", e.name, own.Term)
	t := &dispatcherState{number: own.Term, previousClaim: previous, agents: make(map[string]*agentLink), held: make(map[string]*heldReport)}
	abandon := func() {
		e.w.note("%s abandons its claim of term %d", e.name, own.Term)
		e.candidate.NoteResigned(e.clock(), own.Term)
		done()
	}
	e.callStore(func(c *store.Client) (err error) {
		t.fencedAt, err = c.Append(context.Background(), store.AppendRequest{Topic: store.TopicProgress, Term: t.number})
		return err
	}, func(sent time.Time, err error) {
		if err != nil {
			abandon()
			return
		}
		t.leaderLease.Renew(sent)
		t.followed = e.followed.Terms(sent)
		var stored []store.StoredRecord
		var end uint64
		e.callStore(func(c *store.Client) (err error) {
			stored, end, err = c.AllNewest(context.Background(), store.TopicWorkers)
			return err
		}, func(_ time.Time, err error) {
			if err != nil {
				abandon()
				return
			}
			e.catchUp(0, func(err error) {
				if err != nil || e.candidate.Claim().Term != own.Term {
					abandon()
					return
				}
				if e.w.kinds&PartialViews != 0 && !e.candidate.MayBegin(own.Term) {
					abandon()
					return
				}
				e.load(t, stored, end)
				if e.w.kinds&PartialViews != 0 && previous.Term != 0 {
					e.findPredecessors(t, own)
				}
				done()
			})
		})
	})
}

// load begins the term t with the workers and the jobs that were read from the store.
func (e *entry) load(t *dispatcherState, workers []store.StoredRecord, end uint64) {
	now := e.clock()
	if t.previousClaim.Term != 0 {
		t.predecessor.TermBegan(now)
		if t.previousClaim.Entry == e.name && e.w.rules.TrustNewestClaim {
			t.predecessor.NoteDead(now)
		}
	}
	t.roster.Load(registrations(workers), e.goneWorkers, end)
	names := t.roster.Workers()
	for _, worker := range slices.Sorted(maps.Keys(e.departures)) {
		e.applyDeparture(t, worker)
	}
	t.scheduler.BeginTerm(t.number, names)
	t.scheduler.SetQueues(map[string]dispatch.Queue{"q": {Service: "s", FailedRunLimit: 3, Stretch: 2, TargetLatency: time.Second}})
	e.jobs.ForgetOrphans(e.nextOffset[0], t.fencedAt)
	for _, id := range e.jobIDs() {
		if j, _ := e.jobs.Job(id); j.Submission() != nil {
			t.scheduler.Admit(now, e.wallMS(), j.Submission(), j.Progress(), true)
			e.syncCancellation(t, id, j)
		}
	}
	e.term = t
	e.w.note("%s begins term %d after %d of %s; workers %v", e.name, t.number, t.previousClaim.Term, t.previousClaim.Entry, names)
}

func (e *entry) jobIDs() []string {
	var ids []string
	e.jobs.Each(func(id string, _ *workflow.Job) { ids = append(ids, id) })
	slices.Sort(ids)
	return ids
}

// probePredecessor probes the process of the claim before that of the present term.
func (e *entry) probePredecessor(now time.Time) {
	t := e.term
	if e.w.kinds&PartialViews != 0 {
		e.watchPredecessors(now)
		return
	}
	o := e.w.entryNamed(t.previousClaim.Entry)
	if o == nil || o == e || t.earlierRunsOver || !e.w.rules.TrustNewestClaim && !e.w.rules.TrustRefusal || now.Sub(e.lastProbe) < probeInterval {
		return
	}
	e.lastProbe = now
	if e.refuses(o) {
		if e.w.rules.TrustRefusal {
			e.noteDead(now)
		}
		return
	}
	if !e.reaches(o) || !e.w.rules.TrustNewestClaim {
		return
	}
	o.resignIfOutdated(t.number)
	if o.generation != t.previousClaim.Incarnation || o.term == nil {
		e.noteDead(now)
	}
}

// noteDead notes that the predecessor is taken for stopped.
func (e *entry) noteDead(now time.Time) {
	if !e.term.predecessor.Stopped() {
		e.w.note("%s in term %d takes the dispatcher of term %d, %s, for stopped", e.name, e.term.number, e.term.previousClaim.Term, e.term.previousClaim.Entry)
	}
	e.term.predecessor.NoteDead(now)
}
