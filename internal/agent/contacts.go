package agent

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of whom an agent tells.
const (
	// maxTold is the most entries that an agent tells in one round.
	maxTold = 3
	// retryEntryMin and retryEntryMax bound the delay until an entry that did
	// not answer is asked again.
	retryEntryMin = time.Second
	retryEntryMax = 8 * time.Second
	// rediscoverEvery is how often a configured address is asked that is not
	// among the entries told, to find entries that the others do not know.
	rediscoverEvery = 5 * time.Second
)

// contacts chooses the entries that an agent tells. The zero value knows none.
type contacts struct {
	name       string
	configured []string
	known      []string
	failures   map[string]failure
	// busy entries have a call under way.
	busy map[string]bool
	// rediscovered is when a configured address was asked as an extra.
	rediscovered time.Time
	extra        int
}

// failure says how often in a row an entry has not answered and when to ask again.
type failure struct {
	count   int
	retryAt time.Time
}

// learned replaces the known entries by those that answers named.
func (c *contacts) learned(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.known = slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// failed notes that an entry did not answer.
func (c *contacts) failed(now time.Time, address string) {
	if c.failures == nil {
		c.failures = make(map[string]failure)
	}
	f := c.failures[address]
	delay := min(retryEntryMin<<min(f.count, 8), retryEntryMax)
	c.failures[address] = failure{count: f.count + 1, retryAt: now.Add(delay)}
}

// answered notes that an entry answered.
func (c *contacts) answered(address string) { delete(c.failures, address) }

// begun notes calls to entries; they are not told again until the calls end.
func (c *contacts) begun(addresses []string) {
	if c.busy == nil {
		c.busy = make(map[string]bool)
	}
	for _, a := range addresses {
		c.busy[a] = true
	}
}

// ended notes the end of a call.
func (c *contacts) ended(address string) { delete(c.busy, address) }

// targets returns the entries to tell now: of the known ones that answer, those
// ranked first for this agent, so that the load spreads over the entries, and
// from time to time a configured address.
func (c *contacts) targets(now time.Time) []string {
	out := c.usable(now, c.known)
	slices.SortFunc(out, func(a, b string) int {
		if wa, wb := c.weight(a), c.weight(b); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return 0
	})
	out = out[:min(len(out), maxTold)]
	if len(out) == 0 {
		return c.idle(c.fallback(now))
	}
	if extra := c.rediscover(now, out); extra != "" {
		out = append(out, extra)
	}
	return c.idle(out)
}

// idle returns those without a call under way.
func (c *contacts) idle(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(a string) bool { return c.busy[a] })
}

// fallback returns configured addresses; if none answers it tries them all.
func (c *contacts) fallback(now time.Time) []string {
	if out := c.usable(now, c.configured); len(out) > 0 {
		return out[:min(len(out), maxTold)]
	}
	return slices.Clone(c.configured[:min(len(c.configured), maxTold)])
}

// rediscover returns a configured address that is due to be asked, or "".
func (c *contacts) rediscover(now time.Time, told []string) string {
	if now.Sub(c.rediscovered) < rediscoverEvery {
		return ""
	}
	c.rediscovered = now
	for range c.configured {
		c.extra++
		address := c.configured[c.extra%len(c.configured)]
		if !slices.Contains(told, address) && !slices.Contains(c.known, address) {
			return address
		}
	}
	return ""
}

func (c *contacts) usable(now time.Time, addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if !now.Before(c.failures[a].retryAt) {
			out = append(out, a)
		}
	}
	return out
}

func (c *contacts) weight(address string) uint64 {
	return xxhash.Sum64String(c.name + "/" + address)
}
