package agent

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits on the entries that an agent sends heartbeats to.
const (
	// maxTargets is the most known entries that get a heartbeat in one round.
	maxTargets = 3
	// minEntryRetryDelay and maxEntryRetryDelay bound the delay until an entry that did not
	// answer is tried again.
	minEntryRetryDelay = time.Second
	maxEntryRetryDelay = 8 * time.Second
	// rediscoverInterval is how often a heartbeat is also sent to a configured address that is
	// not a known entry, to find entries that the others do not know.
	rediscoverInterval = 5 * time.Second
)

// entrySelector chooses the entries that an agent sends heartbeats to. It knows entries by
// their addresses.
type entrySelector struct {
	// name is the agent's name.
	name string
	// configured are the addresses in the agent's settings, of entries or of a load balancer.
	configured []string
	// known are the entries named in the newest replies.
	known []string
	// failures holds the entries that did not answer their last call.
	failures map[string]failure
	// busy entries have a call in progress.
	busy map[string]bool
	// lastRediscoveryAt is when a configured address was last added for discovery.
	lastRediscoveryAt time.Time
	rediscoverIndex   int
}

// failure says how many times in a row an entry has not answered and when to try it again.
type failure struct {
	count   int
	retryAt time.Time
}

// setKnown replaces the known entries by those named in replies; it ignores an empty list.
func (c *entrySelector) setKnown(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.known = slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// recordFailure records that an entry did not answer.
func (c *entrySelector) recordFailure(now time.Time, address string) {
	if c.failures == nil {
		c.failures = make(map[string]failure)
	}
	f := c.failures[address]
	delay := min(minEntryRetryDelay<<min(f.count, 8), maxEntryRetryDelay)
	c.failures[address] = failure{count: f.count + 1, retryAt: now.Add(delay)}
}

// recordSuccess records that an entry answered.
func (c *entrySelector) recordSuccess(address string) { delete(c.failures, address) }

// beginCalls records that calls to entries begin. An entry is no target until its call has ended.
func (c *entrySelector) beginCalls(addresses []string) {
	if c.busy == nil {
		c.busy = make(map[string]bool)
	}
	for _, a := range addresses {
		c.busy[a] = true
	}
}

// endCall records the end of a call to an entry.
func (c *entrySelector) endCall(address string) { delete(c.busy, address) }

// targets returns the entries to send a heartbeat to now: of the known entries that answer,
// those that rank first for this agent by rendezvous hashing, so that the agents spread over the
// entries, and every rediscoverInterval a configured address.
func (c *entrySelector) targets(now time.Time) []string {
	out := c.usable(now, c.known)
	slices.SortFunc(out, func(a, b string) int {
		if wa, wb := c.rendezvousWeight(a), c.rendezvousWeight(b); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return 0
	})
	out = out[:min(len(out), maxTargets)]
	if len(out) == 0 {
		return c.idle(c.fallback(now))
	}
	if extra := c.rediscover(now, out); extra != "" {
		out = append(out, extra)
	}
	return c.idle(out)
}

// idle returns the addresses without a call in progress.
func (c *entrySelector) idle(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(a string) bool { return c.busy[a] })
}

// fallback returns up to maxTargets configured addresses: those that may be tried now, or the
// first ones if there are none.
func (c *entrySelector) fallback(now time.Time) []string {
	if out := c.usable(now, c.configured); len(out) > 0 {
		return out[:min(len(out), maxTargets)]
	}
	return slices.Clone(c.configured[:min(len(c.configured), maxTargets)])
}

// rediscover returns a configured address that is neither in targets nor a known entry, to find
// entries that the known ones do not know, or "" if there is none or rediscoverInterval has not
// passed.
func (c *entrySelector) rediscover(now time.Time, targets []string) string {
	if now.Sub(c.lastRediscoveryAt) < rediscoverInterval {
		return ""
	}
	c.lastRediscoveryAt = now
	for range c.configured {
		c.rediscoverIndex++
		address := c.configured[c.rediscoverIndex%len(c.configured)]
		if !slices.Contains(targets, address) && !slices.Contains(c.known, address) {
			return address
		}
	}
	return ""
}

// usable returns the addresses whose last call did not fail, or that may be tried again now.
func (c *entrySelector) usable(now time.Time, addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if !now.Before(c.failures[a].retryAt) {
			out = append(out, a)
		}
	}
	return out
}

// rendezvousWeight returns the weight of an entry for this agent in rendezvous hashing.
func (c *entrySelector) rendezvousWeight(address string) uint64 {
	return xxhash.Sum64String(c.name + "/" + address)
}
