package coordinator

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// refusalHold is how long a dispatcher sends no starts after an agent has refused one because only the dispatcher has lost
// the store: the others would refuse them, too.
const refusalHold = 500 * time.Millisecond

// newOrders returns empty orders to the agent of a worker, with what it has to know of the evacuations and of this entry's
// contact with the store. The caller holds mu.
func (c *Coordinator) newOrders(now time.Time, t *term, worker string) *peer.Orders {
	o := &peer.Orders{Term: t.number, Evacuated: c.evacuations.applied, StoreContactAgeMS: c.storeContactAgeMS(now), ConfirmedAgeMS: now.Sub(t.leaderLease.LastRenewal()).Milliseconds() + 1}
	if a := t.agents[worker]; a != nil {
		o.LastPing, o.PingAgeMS = a.lastPing, now.Sub(a.lastPingAt).Milliseconds()
	}
	return o
}

// storeContactAgeMS returns how old the answer of the store is that the cancellations known here go with, in milliseconds,
// rounded up. The caller holds mu.
func (c *Coordinator) storeContactAgeMS(now time.Time) int64 {
	return now.Sub(c.health.contactAt()).Milliseconds() + 1
}

// noteUnconfirmed records that an agent has refused a start since the store serves the agent and not the dispatcher. The
// caller holds mu.
func (t *term) noteUnconfirmed(now time.Time, c *Coordinator, worker string) {
	c.count("starts-refused-unconfirmed", 1)
	if t.unconfirmedSince.IsZero() {
		t.unconfirmedSince = now
		c.count("orders-held", 1)
		c.log.Warn().Str("worker", worker).Uint64("term", t.number).Int64("store-contact-age-ms", c.storeContactAgeMS(now)).
			Msg("starts are held: the store serves a worker and not this dispatcher")
	}
	t.unconfirmedAt = now
}

// holdsUnconfirmed reports whether the dispatcher must send no starts, since agents would refuse them. The caller holds mu.
func (c *Coordinator) holdsUnconfirmed(now time.Time, t *term) bool {
	if t.unconfirmedSince.IsZero() {
		return false
	}
	regained := now.Sub(c.health.contactAt()) < leadership.MaxStoreContactAge
	if !regained && now.Sub(t.unconfirmedAt) < refusalHold {
		return true
	}
	if regained {
		held := now.Sub(t.unconfirmedSince)
		t.longestHold = max(t.longestHold, held)
		c.gauge("orders-held-longest-ms", t.longestHold.Milliseconds())
		c.log.Warn().Uint64("term", t.number).Dur("held", held).Int64("store-contact-age-ms", c.storeContactAgeMS(now)).Msg("starts go on: the store answers this dispatcher again")
		t.unconfirmedSince = time.Time{}
	}
	return false
}
