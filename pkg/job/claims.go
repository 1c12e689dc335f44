package job

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// claimFor is how long a task is left alone after a record about it was queued.
const claimFor = 2 * time.Second

// keepClaim is how long it is remembered that a record was queued.
const keepClaim = 10 * claimFor

type claimKey struct {
	hold record.Hold
	kind record.Kind
}

// claim is when a record was queued first and last.
type claim struct {
	first, last time.Time
}

// claims remembers which records were queued lately, so that none is queued
// again while it is on its way.
type claims struct {
	queued map[claimKey]claim
	pruned time.Time
}

// take reports whether no record of kind about hold was queued lately, and
// notes that one is.
func (c *claims) take(now time.Time, hold record.Hold, kind record.Kind) bool {
	if c.queued == nil {
		c.queued = make(map[claimKey]claim)
	}
	c.prune(now)
	k := claimKey{hold: hold, kind: kind}
	old, ok := c.queued[k]
	if !ok {
		c.queued[k] = claim{first: now, last: now}
		return true
	}
	if now.Sub(old.last) < claimFor {
		return false
	}
	c.queued[k] = claim{first: old.first, last: now}
	return true
}

// first returns when a record of kind about hold was queued first; zero if none was.
func (c *claims) first(hold record.Hold, kind record.Kind) time.Time {
	return c.queued[claimKey{hold: hold, kind: kind}].first
}

func (c *claims) prune(now time.Time) {
	if now.Sub(c.pruned) < keepClaim {
		return
	}
	c.pruned = now
	for k, old := range c.queued {
		if now.Sub(old.last) >= keepClaim {
			delete(c.queued, k)
		}
	}
}
