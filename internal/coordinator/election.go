package coordinator

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

const (
	// discoveryTime is how long an entry that has just started looks for others, and for the
	// dispatcher, before it may claim leadership. Entries that start together are all up by then.
	discoveryTime = 600 * time.Millisecond
	// discoveryInterval is the time between two such looks.
	discoveryInterval = 200 * time.Millisecond
	// handOverAfter is how long a stronger entry must have been connected, and the term must have
	// lasted, before the dispatcher hands its term over to that entry.
	handOverAfter = time.Second
	// successorStoreContactAge is the maximum age of the last answer from the store of an entry that is
	// chosen as the successor for its strength. Each entry reads the store every second.
	successorStoreContactAge = 1500 * time.Millisecond
)

// entryInfo is what an entry knows of another one.
type entryInfo struct {
	// name is empty while it is not known.
	name string
	// strength is the entry's Settings.Strength; 0 while it is not known.
	strength int
}

// noteEntry records the address, and unless they are empty the name and the strength, of another entry.
// The caller holds mu.
func (c *Coordinator) noteEntry(address, name string, strength int) {
	if address == "" || address == c.settings.Listen {
		return
	}
	old, known := c.entries[address]
	e := old
	if name != "" {
		e.name = name
	}
	if strength > 0 {
		e.strength = strength
	}
	if !known || e.strength != old.strength {
		c.entriesVersion++
	}
	c.entries[address] = e
}

// addEntries records entries by their addresses and, as far as they are known, their strengths. The
// caller holds mu.
func (c *Coordinator) addEntries(addresses []string, strengths []int) {
	for i, a := range addresses {
		strength := 0
		if i < len(strengths) {
			strength = strengths[i]
		}
		c.noteEntry(a, "", strength)
	}
}

// knownEntries returns the peer addresses and the strengths of all known entries, with this one. The
// caller holds mu.
func (c *Coordinator) knownEntries() (addresses []string, strengths []int) {
	addresses, strengths = append(addresses, c.settings.Listen), append(strengths, c.settings.Strength)
	for a, e := range c.entries {
		addresses, strengths = append(addresses, a), append(strengths, e.strength)
	}
	return addresses, strengths
}

// newEntries returns knownEntries if they have changed since the version in sent, which it updates. The
// caller holds mu.
func (c *Coordinator) newEntries(sent *uint64) (addresses []string, strengths []int) {
	if *sent == c.entriesVersion {
		return nil, nil
	}
	*sent = c.entriesVersion
	return c.knownEntries()
}

// standing returns the place of this entry among those that may claim leadership: stronger entries come
// first, and equal ones in the order of their addresses. The process of the newest claim has no place,
// since entries claim once it has ended. The caller holds mu.
func (c *Coordinator) standing() leadership.Standing {
	var s leadership.Standing
	if c.candidate.Claim().Term != 0 && c.succeeds == c.candidate.Claim().Term {
		return s
	}
	for a, e := range c.entries {
		if a == c.candidate.Claim().Address {
			continue
		}
		if e.strength > c.settings.Strength || e.strength == c.settings.Strength && a < c.settings.Listen {
			s.Rank++
		}
		s.Outclassed = s.Outclassed || leadership.Outclasses(e.strength, c.settings.Strength)
	}
	return s
}

// discover looks for other entries and for the newest claim, and reports whether this entry has looked
// for long enough. Entries that start together learn of each other from those in their settings.
func (c *Coordinator) discover(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	if c.discoveryBegan.IsZero() {
		c.discoveryBegan = now
	}
	over := now.Sub(c.discoveryBegan) >= discoveryTime
	known := c.candidate.Claim()
	c.mu.Unlock()
	if over || known.Term != 0 {
		return over
	}
	c.probeForDispatcher(ctx, known)
	if claim, _, err := c.newestClaim(ctx); err != nil {
		c.log.Warn().Err(err).Msg("reading the newest claim failed")
	} else {
		c.mu.Lock()
		c.candidate.ObserveClaim(clock.Steady(), claim)
		c.mu.Unlock()
	}
	clock.WaitForWake(ctx, nil, discoveryInterval)
	return false
}

// chooseSuccessor returns the connection to the entry that should claim leadership after this one, or
// nil if no entry is suitable: the strongest of those that reach the store, or else the one whose last
// answer from the store is the most recent. The caller holds mu.
func (c *Coordinator) chooseSuccessor(now time.Time) *entryLink {
	var best *entryLink
	for _, l := range c.links {
		if l.draining || l.name == "" || now.Sub(l.lastContact) > silentAfter {
			continue
		}
		if best == nil || c.succeedsBefore(now, l, best) {
			best = l
		}
	}
	return best
}

// servedAt returns when the store last answered the entry, as far as the entry has said.
func (l *entryLink) servedAt() time.Time { return l.lastContact.Add(-l.storeContactAge) }

// isServed reports whether the store certainly serves an entry: it has answered lately and, if it fails this
// entry, since it began to. The caller holds mu.
func (c *Coordinator) isServed(now time.Time, l *entryLink) bool {
	if since, failing := c.health.failingSince(now); failing && l.servedAt().Before(since) {
		return false
	}
	return now.Sub(l.servedAt()) < successorStoreContactAge
}

// succeedsBefore reports whether chooseSuccessor prefers entry x to y. The caller holds mu.
func (c *Coordinator) succeedsBefore(now time.Time, x, y *entryLink) bool {
	xServed, yServed := c.isServed(now, x), c.isServed(now, y)
	xStrength, yStrength := c.entries[x.address].strength, c.entries[y.address].strength
	switch {
	case xServed != yServed:
		return xServed
	case xServed && xStrength != yStrength:
		return xStrength > yStrength
	case !x.servedAt().Equal(y.servedAt()):
		return x.servedAt().After(y.servedAt())
	}
	return x.name < y.name
}

// outclassed reports whether a connected entry that reaches the store is so much stronger than this one
// that the dispatcher should hand over its term. A term is handed over to stronger entries only, so that
// it does not go to and fro. Decisions come more often than entries connect, so that it looks for one at each
// tick only. The caller holds mu.
func (c *Coordinator) outclassed(now time.Time, t *term) bool {
	if now.Sub(t.began) < handOverAfter || c.health.failing() || c.health.unavailable(now) || now.Sub(t.strongerSoughtAt) < tickEvery {
		return false
	}
	t.strongerSoughtAt = now
	l := c.chooseSuccessor(now)
	return l != nil && now.Sub(l.connectedAt) >= handOverAfter && c.isServed(now, l) &&
		leadership.Outclasses(c.entries[l.address].strength, c.settings.Strength)
}
