package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newShortRequest(now time.Time, priority int) *SlotRequest {
	return NewSlotRequest("short", "team", priority, now.Add(time.Second), time.Millisecond)
}

// TestGateKeepsLimits offers and ends requests in a random order.
func TestGateKeepsLimits(t *testing.T) {
	const limit, connections = 8, 12
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var g Gate
		g.SetLimits(limit, connections)
		now := time.Unix(1, 0)
		var running []*SlotRequest
		for range 500 {
			now = now.Add(time.Duration(random.IntN(5)) * time.Millisecond)
			if random.IntN(2) == 0 {
				request := newShortRequest(now, random.IntN(10))
				request.SetLong(random.IntN(3) == 0)
				if v, _, _ := g.Offer(now, request); v == Start {
					running = append(running, request)
				}
			} else if len(running) > 0 {
				i := random.IntN(len(running))
				g.Release(now, running[i])
				running = append(running[:i], running[i+1:]...)
			}
			for {
				request, v := g.Next(now)
				if request == nil {
					break
				}
				if v == Start {
					running = append(running, request)
				}
			}
			if got := len(running); got > limit || got != g.RunningCount() {
				t.Fatalf("seed %d: running: got %d, want %d and at most %d", seed, got, g.RunningCount(), limit)
			}
			if got := g.RunningCount() + g.WaitingCount(); got > connections {
				t.Fatalf("seed %d: requests: got %d, want at most %d", seed, got, connections)
			}
		}
	}
}

func TestGateShedsLeastImportant(t *testing.T) {
	var g Gate
	g.SetLimits(1, 2)
	now := time.Unix(1, 0)
	low, high := newShortRequest(now, 1), newShortRequest(now, 9)
	g.Offer(now, newShortRequest(now, 5))
	g.Offer(now, low)
	verdict, victim, _ := g.Offer(now, high)
	if got, want := verdict, Wait; got != want {
		t.Errorf("important request: got %v, want %v", got, want)
	}
	if got, want := victim, low; got != want {
		t.Errorf("victim: got %v, want %v", got, want)
	}
	verdict, _, _ = g.Offer(now, newShortRequest(now, 1))
	if got, want := verdict, Shed; got != want {
		t.Errorf("unimportant request at a full gate: got %v, want %v", got, want)
	}
}

func TestGateServesShortBeforeLong(t *testing.T) {
	var g Gate
	g.SetLimits(8, 64)
	now := time.Unix(1, 0)
	started := 0
	for range 20 {
		long := NewSlotRequest("long", "team", 5, now.Add(time.Minute), time.Second)
		long.SetLong(true)
		if v, _, _ := g.Offer(now, long); v == Start {
			started++
		}
	}
	if got, want := started, 7; got != want {
		t.Errorf("long requests started: got %d, want %d", got, want)
	}
	if got, _, _ := g.Offer(now, newShortRequest(now, 5)); got != Start {
		t.Errorf("short request behind long ones: got %v, want %v", got, Start)
	}
}

func TestQueueSharesAmongTeams(t *testing.T) {
	var q Queue
	now := time.Unix(1, 0)
	for i := range 30 {
		q.Push(NewSlotRequest("short", "greedy", 5, now.Add(time.Duration(i)), time.Millisecond))
	}
	for i := range 5 {
		q.Push(NewSlotRequest("short", "modest", 5, now.Add(time.Hour+time.Duration(i)), time.Millisecond))
	}
	got := make(map[string]int)
	for range 10 {
		request := q.Peek(false)
		q.Take(request)
		got[request.team]++
	}
	if want := 5; got["modest"] != want {
		t.Errorf("requests of the modest team among the first ten: got %d, want %d", got["modest"], want)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b RetryBudget
	now := time.Unix(1, 0)
	allowed := 0
	for range 10000 {
		b.RecordFirstAttempt()
		if b.Take(now) {
			allowed++
		}
	}
	if want := 10000*retriesPerFirst + maxSavedRetries + 1; float64(allowed) > want {
		t.Errorf("retries of 10000 requests at once: got %d, want at most %.0f", allowed, want)
	}
}

func TestSpillOnlyIfTheWaitExceedsTheLinkCost(t *testing.T) {
	now := time.Unix(1, 0)
	random := rand.New(rand.NewPCG(1, 2))
	var n RemoteDataCentres
	n.Observe(now, DataCentreLoad{DataCentre: "dc-2", Slots: 88, InFlight: 80, Entries: 4, RoundTrip: 10 * time.Millisecond})
	if got, _ := n.Spill(now, random, 15*time.Millisecond); got != "" {
		t.Errorf("wait shorter than two round trips: got %q, want none", got)
	}
	for i := range 3 {
		got, _ := n.Spill(now, random, time.Second)
		if want := i < 2; (got == "dc-2") != want {
			t.Errorf("spilled request %d: got %q, want spilled %v", i, got, want)
		}
	}
	if got, _ := n.Spill(now.Add(loadStaleAfter+1), random, time.Second); got != "" {
		t.Errorf("stale load: got %q, want none", got)
	}
}
