package term

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// following is what an entry knows of the dispatchers that it follows.
type following struct {
	followed leadership.Followed
	// answeredAt holds, by term, when the dispatcher sent its newest answer, on the dispatcher's clock.
	answeredAt map[uint64]time.Time
}

// pingDispatcher has the dispatcher o answer a ping.
func (e *entry) pingDispatcher(now time.Time, o *entry) {
	o.noteFollower(e.name, e.answeredAt[o.term.number])
	e.followed.NoteAnswer(o.term.number, now)
	if e.answeredAt == nil {
		e.answeredAt = make(map[uint64]time.Time)
	}
	e.answeredAt[o.term.number] = o.clock()
}

// holdPing sends a ping to the dispatcher of a term over a link that is cut. It arrives late on a connection that lasts, as new
// ones need more packets to get through.
func (e *entry) holdPing(o *entry, term uint64) {
	c := e.w.cutOf(e.name, o.name)
	if c.until == 0 || c.mode == cutReset || c.mode == cutRefused || c.mode == cutOneWay && c.from != e.name {
		return
	}
	sentAfter, named := e.answeredAt[term], e.candidate.NewestTerm()
	o.later(e.w.randomUpTo(c.until-e.w.now+time.Second), func() {
		o.resignIfOutdated(named)
		if o.term != nil && o.term.number == term {
			o.noteFollower(e.name, sentAfter)
		}
	})
}

// noteFollower records that the dispatcher answers the ping of an entry, which was sent after a time on the dispatcher's clock.
func (e *entry) noteFollower(name string, sentAfter time.Time) {
	if e.w.rules.TrustLatePings {
		sentAfter = e.clock()
	}
	e.term.leaderLease.Followers().NoteAnswer(e.clock(), name, sentAfter)
}

// findFollowers notes once each earlier dispatcher that may still serve counts this entry, or another one that has heard of its term,
// among its followers.
func (e *entry) findFollowers(now time.Time, t *dispatcherState) {
	earlier, from := t.earlier, now
	if e.w.rules.TrustFirstClaim {
		earlier = nil
	}
	if !leadership.AllFollowed(t.mayServe, earlier, t.followed) {
		e.askFollowers(t)
		from = leadership.UnheardFrom(now)
	}
	if e.w.rules.TrustUnknownDispatchers || leadership.AllFollowed(t.mayServe, earlier, t.followed) {
		t.predecessor.NoteFollowed(from)
	}
}

// askFollowers probes the other entries and adds the terms whose dispatchers count them among their followers.
func (e *entry) askFollowers(t *dispatcherState) {
	for _, o := range e.w.entries {
		if o == e || !e.reaches(o) || slices.ContainsFunc(t.mayServe, func(c leadership.Claim) bool { return c.Entry == o.name }) {
			continue
		}
		o.candidate.HearOf(t.number)
		o.candidate.NoteHello(t.number)
		for term := range o.followed.Terms(o.clock()) {
			t.followed[term] = true
		}
	}
}
