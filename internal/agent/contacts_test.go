package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestContactsSpreadLoad checks that each agent tells few entries and that all
// entries hear about as many agents.
func TestContactsSpreadLoad(t *testing.T) {
	var entries []string
	for i := range 9 {
		entries = append(entries, fmt.Sprintf("10.0.0.%d:8443", i))
	}
	now := time.Unix(1000, 0)
	heard := make(map[string]int)
	for i := range 200 {
		c := contacts{name: fmt.Sprintf("worker-%d", i), configured: []string{"10.0.0.100:8443"}, rediscovered: now}
		c.learned(entries)
		targets := c.targets(now)
		if got, want := len(targets), maxTold; got != want {
			t.Fatalf("entries told: got %d, want %d", got, want)
		}
		for _, a := range targets {
			heard[a]++
		}
	}
	for _, e := range entries {
		if got := heard[e]; got < 33 || got > 134 {
			t.Errorf("agents heard by %s: got %d, want about 67", e, got)
		}
	}
}

// TestContactsGoOnWithoutAnEntry checks that an entry that does not answer is
// replaced at once, asked ever less often, and taken back.
func TestContactsGoOnWithoutAnEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	c := contacts{name: "worker-1", configured: []string{"balancer"}, rediscovered: now}
	c.learned([]string{"a", "b", "c", "d"})
	first := c.targets(now)[0]
	asked := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(500 * time.Millisecond) {
		targets := c.targets(now)
		if slices.Contains(targets, first) {
			asked++
			c.failed(now, first)
		}
		if got, want := len(targets), maxTold; got < want {
			t.Fatalf("entries told: got %d, want %d", got, want)
		}
	}
	if got, want := asked, 12; got > want {
		t.Errorf("times asked in a minute of silence: got %d, want at most %d", got, want)
	}
	c.answered(first)
	if !slices.Contains(c.targets(now), first) {
		t.Errorf("entry that answers again: got %v, want %s among them", c.targets(now), first)
	}
}

// TestContactsFallBack checks that configured addresses are asked when no known
// entry answers, and now and then to find new entries.
func TestContactsFallBack(t *testing.T) {
	now := time.Unix(1000, 0)
	c := contacts{name: "worker-1", configured: []string{"balancer"}}
	if got := c.targets(now); !slices.Equal(got, []string{"balancer"}) {
		t.Errorf("at the start: got %v, want the balancer", got)
	}
	c.learned([]string{"a", "b"})
	if got := c.targets(now); !slices.Contains(got, "balancer") {
		t.Errorf("rediscovery: got %v, want the balancer among them", got)
	}
	if got := c.targets(now.Add(time.Second)); slices.Contains(got, "balancer") {
		t.Errorf("soon after: got %v, want no balancer", got)
	}
	c.failed(now, "a")
	c.failed(now, "b")
	if got := c.targets(now); !slices.Equal(got, []string{"balancer"}) {
		t.Errorf("nobody answers: got %v, want the balancer", got)
	}
	c.failed(now, "balancer")
	if got := c.targets(now); !slices.Equal(got, []string{"balancer"}) {
		t.Errorf("nor the balancer: got %v, want it all the same", got)
	}
}
