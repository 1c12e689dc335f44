package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestEntrySelectorSpreadsLoad checks that each agent chooses few entries and that the agents
// spread evenly over all entries.
func TestEntrySelectorSpreadsLoad(t *testing.T) {
	var entries []string
	for i := range 9 {
		entries = append(entries, fmt.Sprintf("10.0.0.%d:8443", i))
	}
	now := time.Unix(1000, 0)
	agents := make(map[string]int)
	for i := range 200 {
		c := entrySelector{name: fmt.Sprintf("worker-%d", i), configured: []string{"10.0.0.100:8443"}, lastRediscoveryAt: now}
		c.setKnown(entries)
		targets := c.targets(now)
		if got, want := len(targets), maxTargets; got != want {
			t.Fatalf("entries chosen: got %d, want %d", got, want)
		}
		for _, a := range targets {
			agents[a]++
		}
	}
	for _, e := range entries {
		if got := agents[e]; got < 33 || got > 134 {
			t.Errorf("agents of %s: got %d, want about 67", e, got)
		}
	}
}

// TestEntrySelectorReplacesSilentEntry checks that an entry that does not answer is replaced
// at once, tried with increasing delay, and chosen again once it answers.
func TestEntrySelectorReplacesSilentEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	c := entrySelector{name: "worker-1", configured: []string{"balancer"}, lastRediscoveryAt: now}
	c.setKnown([]string{"a", "b", "c", "d"})
	first := c.targets(now)[0]
	tries := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(500 * time.Millisecond) {
		targets := c.targets(now)
		if slices.Contains(targets, first) {
			tries++
			c.recordFailure(now, first)
		}
		if got, want := len(targets), maxTargets; got < want {
			t.Fatalf("entries chosen: got %d, want %d", got, want)
		}
	}
	if got, want := tries, 12; got > want {
		t.Errorf("tries in a minute of silence: got %d, want at most %d", got, want)
	}
	c.recordSuccess(first)
	if !slices.Contains(c.targets(now), first) {
		t.Errorf("entry that answers again: got %v, want %s among them", c.targets(now), first)
	}
}

// TestEntrySelectorFallsBack checks that configured addresses are chosen when no known entry
// answers, and every rediscoverInterval to find new entries.
func TestEntrySelectorFallsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	c := entrySelector{name: "worker-1", configured: []string{"balancer"}}
	if got := c.targets(now); !slices.Equal(got, []string{"balancer"}) {
		t.Errorf("at the start: got %v, want the balancer", got)
	}
	c.setKnown([]string{"a", "b"})
	if got := c.targets(now); !slices.Contains(got, "balancer") {
		t.Errorf("rediscovery: got %v, want the balancer among them", got)
	}
	if got := c.targets(now.Add(time.Second)); slices.Contains(got, "balancer") {
		t.Errorf("soon after: got %v, want no balancer", got)
	}
	c.recordFailure(now, "a")
	c.recordFailure(now, "b")
	if got := c.targets(now); !slices.Equal(got, []string{"balancer"}) {
		t.Errorf("no known entry answers: got %v, want the balancer", got)
	}
	c.recordFailure(now, "balancer")
	if got := c.targets(now); !slices.Equal(got, []string{"balancer"}) {
		t.Errorf("the balancer does not answer either: got %v, want it nevertheless", got)
	}
}
