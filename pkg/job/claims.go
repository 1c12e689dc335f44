package job

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// claimFor is how long a task is left alone after a record about it was queued.
const claimFor = 2 * time.Second

type claimKey struct {
	hold record.Hold
	kind record.Kind
}

// claims remembers which records were queued lately, so that none is queued
// again while it is on its way.
type claims struct {
	queued map[claimKey]time.Time
	pruned time.Time
}

// take reports whether no record of kind about hold was queued lately, and
// notes that one is.
func (c *claims) take(now time.Time, hold record.Hold, kind record.Kind) bool {
	if c.queued == nil {
		c.queued = make(map[claimKey]time.Time)
	}
	c.prune(now)
	k := claimKey{hold: hold, kind: kind}
	if at, ok := c.queued[k]; ok && now.Sub(at) < claimFor {
		return false
	}
	c.queued[k] = now
	return true
}

func (c *claims) prune(now time.Time) {
	if now.Sub(c.pruned) < claimFor {
		return
	}
	c.pruned = now
	for k, at := range c.queued {
		if now.Sub(at) >= claimFor {
			delete(c.queued, k)
		}
	}
}
