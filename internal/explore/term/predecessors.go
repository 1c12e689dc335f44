package term

import (
	"context"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// findPredecessors reads the claims before that of the term t, and keeps those whose processes may still serve.
func (e *entry) findPredecessors(t *dispatcherState, own leadership.Claim) {
	var claims []leadership.Claim
	e.callStore(func(c *store.Client) (err error) {
		claims, err = c.Claims(context.Background(), 1, t.previousClaim.Term)
		return err
	}, func(_ time.Time, err error) {
		switch {
		case e.term != t:
		case err != nil:
			e.later(claimRetryDelay, func() { e.findPredecessors(t, own) })
		default:
			if e.w.rules.TrustNewestClaim {
				claims = nil
			}
			t.earlier = slices.Concat(claims, []leadership.Claim{t.previousClaim})
			t.mayServe, t.watching = leadership.MayServe(t.earlier, own), true
		}
	})
}

// watchPredecessors probes the processes of earlier claims until all are known to have stopped.
func (e *entry) watchPredecessors(now time.Time) {
	t := e.term
	if !t.watching || t.predecessor.LeadershipOver(now) || now.Sub(e.lastProbe) < probeInterval {
		return
	}
	e.lastProbe = now
	t.mayServe = slices.DeleteFunc(t.mayServe, e.hasStopped)
	if len(t.mayServe) == 0 {
		e.noteDead(now)
	}
	if !t.predecessor.Followed() {
		e.findFollowers(now, t)
	}
}

// hasStopped probes the process that made a claim of an earlier term, and reports whether it certainly does not act as the
// dispatcher from now on.
func (e *entry) hasStopped(claim leadership.Claim) bool {
	o := e.w.entryNamed(claim.Entry)
	if e.refuses(o) {
		return e.w.rules.TrustRefusal
	}
	if !e.reaches(o) {
		return false
	}
	o.candidate.HearOf(e.term.number)
	o.resignIfOutdated(e.term.number)
	return o.generation != claim.Incarnation || o.term == nil
}
