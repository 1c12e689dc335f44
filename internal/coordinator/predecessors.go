package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

const (
	// stoppedBeforeKey is the key of the record in store.TopicProgress that holds a term before which
	// all dispatchers have stopped. A later dispatcher need not watch the processes of those claims.
	stoppedBeforeKey = "stopped-before"
	// maxWatchedPredecessors is the maximum number of processes that a dispatcher probes at a time to
	// find out whether they have stopped. With more, it waits for their leases.
	maxWatchedPredecessors = 32
)

// applyStoppedBefore applies the value of a record with the key stoppedBeforeKey. The caller holds mu.
func (c *Coordinator) applyStoppedBefore(value []byte) {
	var term uint64
	if err := cbor.Unmarshal(value, &term); err != nil {
		c.log.Warn().Err(err).Msg("skipped a record of stopped dispatchers that cannot be decoded")
		return
	}
	c.stoppedBefore = max(c.stoppedBefore, term)
}

// takeStoppedBefore returns the record that all dispatchers of earlier terms have stopped, once they
// have and unless it was taken before. The caller holds mu.
func (c *Coordinator) takeStoppedBefore(now time.Time, t *term) []store.Record {
	if t.stoppedBeforeTaken || !t.predecessor.LeadershipOver(now) {
		return nil
	}
	t.stoppedBeforeTaken = true
	value, err := cbor.Marshal(t.number)
	if err != nil {
		c.log.Error().Err(err).Msg("encoding the record of stopped dispatchers failed")
		return nil
	}
	return []store.Record{{Key: stoppedBeforeKey, Value: value}}
}

// knownPredecessors is what an entry knows of earlier dispatchers when its term begins.
type knownPredecessors struct {
	// stoppedBefore is a term before which all dispatchers have stopped.
	stoppedBefore uint64
	// followed holds the terms whose dispatchers count this entry, or others that have heard of its term, among their followers.
	followed map[uint64]bool
}

// watchPredecessors probes the processes of the claims before own until all of them are known to have
// stopped, t is over, or no earlier dispatcher can act any more. previous is the newest of these claims.
func (c *Coordinator) watchPredecessors(ctx context.Context, t *term, own, previous leadership.Claim, known knownPredecessors) {
	claims, err := c.earlierClaims(ctx, t, previous, known.stoppedBefore)
	watched := leadership.MayServe(claims, own)
	if err == nil && len(watched) > maxWatchedPredecessors {
		err = errors.Newf("%d processes have claimed leadership", len(watched))
	}
	if err != nil {
		c.log.Warn().Err(err).Uint64("term", t.number).Uint64("stopped-before", known.stoppedBefore).Msg("cannot find out whether all earlier dispatchers have stopped; waiting for their leases")
		return
	}
	c.log.Info().Uint64("term", t.number).Uint64("stopped-before", known.stoppedBefore).Int("processes", len(watched)).Msg("watching the earlier dispatchers")
	for c.watchesPredecessors(t) {
		c.findFollowers(ctx, t, &known, watched, claims)
		if watched = c.notStopped(ctx, watched); len(watched) == 0 {
			c.mu.Lock()
			t.predecessor.NoteDead(clock.Steady())
			c.mu.Unlock()
			c.log.Info().Uint64("term", t.number).Msg("all earlier dispatchers have stopped")
			return
		}
		if !clock.WaitForWake(ctx, nil, pingEvery) {
			return
		}
	}
}

// findFollowers notes once each earlier dispatcher that may still serve counts this entry, or another one that has heard of the term
// t, among its followers. It probes the other entries if it has to.
func (c *Coordinator) findFollowers(ctx context.Context, t *term, known *knownPredecessors, watched, claims []leadership.Claim) {
	c.mu.Lock()
	from, done := t.began, t.predecessor.Followed()
	c.mu.Unlock()
	if done {
		return
	}
	if !leadership.AllFollowed(watched, claims, known.followed) {
		c.askFollowers(ctx, known, watched)
		if !leadership.AllFollowed(watched, claims, known.followed) {
			return
		}
		from = leadership.UnheardFrom(clock.Steady())
	}
	c.mu.Lock()
	t.predecessor.NoteFollowed(from)
	c.mu.Unlock()
	c.log.Info().Uint64("term", t.number).Int("processes", len(watched)).Msg("no follower is left to the earlier dispatchers")
}

// askFollowers probes the other entries and adds the terms whose dispatchers count them among their followers. An entry that is probed
// hears of this entry's term.
func (c *Coordinator) askFollowers(ctx context.Context, known *knownPredecessors, watched []leadership.Claim) {
	c.mu.Lock()
	var addresses []string
	for a := range c.entries {
		if !slices.ContainsFunc(watched, func(w leadership.Claim) bool { return w.Address == a }) {
			addresses = append(addresses, a)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, a := range addresses {
		group.Go(func() {
			w, err := c.probe(ctx, a)
			if err != nil {
				return // an entry that does not answer may still be heard by an earlier dispatcher
			}
			mu.Lock()
			defer mu.Unlock()
			for _, term := range w.FollowedTerms {
				known.followed[term] = true
			}
		})
	}
	group.Wait()
}

// watchesPredecessors reports whether it still matters in the term t when earlier dispatchers stop.
func (c *Coordinator) watchesPredecessors(t *term) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term == t && !t.predecessor.LeadershipOver(clock.Steady())
}

// earlierClaims returns the claims up to previous that have not been made before the term
// stoppedBefore. Claims between these two may have become terms, while previous may not.
func (c *Coordinator) earlierClaims(ctx context.Context, t *term, previous leadership.Claim, stoppedBefore uint64) ([]leadership.Claim, error) {
	first := max(stoppedBefore, 1)
	for {
		if first >= previous.Term {
			return []leadership.Claim{previous}, nil
		}
		claims, err := callStore(ctx, c, 0, func(ctx context.Context) ([]leadership.Claim, error) {
			return c.store.Claims(ctx, first, previous.Term)
		})
		if err == nil {
			return append(claims, previous), nil
		}
		answered := !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrOutcomeUnknown)
		if answered || !c.watchesPredecessors(t) {
			return nil, err
		}
		c.log.Warn().Err(err).Msg("reading the claims of earlier dispatchers failed")
		if !clock.WaitForWake(ctx, nil, storeRetryEvery) {
			return nil, ctx.Err()
		}
	}
}

// notStopped probes the processes that made claims, and returns the claims of those that are not known to
// have stopped.
func (c *Coordinator) notStopped(ctx context.Context, claims []leadership.Claim) []leadership.Claim {
	var group sync.WaitGroup
	var mu sync.Mutex
	var left []leadership.Claim
	for _, claim := range claims {
		group.Go(func() {
			stopped, why := c.hasStopped(ctx, claim)
			if stopped {
				c.log.Info().Uint64("term", claim.Term).Str("entry", claim.Entry).Str("reason", why).Msg("an earlier dispatcher has stopped")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			left = append(left, claim)
		})
	}
	group.Wait()
	return left
}
