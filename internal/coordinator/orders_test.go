package coordinator

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Guards against starts that are ordered again and again while all agents refuse them, and against starts that stay held
// once the store answers the dispatcher again.
func TestDispatcherHoldsStartsThatAgentsRefuse(t *testing.T) {
	for _, tc := range []struct {
		name string
		// contactAge is the age of the store's last answer, and refusedAgo how long ago an agent refused a start.
		contactAge, refusedAgo time.Duration
		want                   int64
	}{
		{"refused a moment ago", 3 * time.Second, 100 * time.Millisecond, 0},
		{"refused a while ago", 3 * time.Second, refusalHold, 1},
		{"the store has answered since", 50 * time.Millisecond, 100 * time.Millisecond, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, current := newDispatcher(t, &standin.Store{})
			now := clock.Steady()
			r, err := workflow.SubmissionRecord(&workflow.Submission{ID: "a", Queue: "plans", Term: ownTerm, Spec: submission("a").Spec})
			if err != nil {
				t.Fatal(err)
			}
			c.applyRecords([]store.StoredRecord{{Record: r}})
			c.mu.Lock()
			defer c.mu.Unlock()
			current.applyReport(now, c, reportOf("w1"))
			c.health.lastSuccess = now.Add(-tc.contactAge)
			current.noteUnconfirmed(now.Add(-tc.refusedAgo), c, "w1")
			c.sendOrders(now, current)
			if got := gometrics.GetOrRegisterCounter("starts-ordered", c.registry).Count(); got != tc.want {
				t.Errorf("starts ordered: got %d, want %d", got, tc.want)
			}
		})
	}
}

// Guards against agents that take the store's answers to a dispatcher, or its newest write, for newer than they are.
func TestDispatcherSaysHowOldItsStoreContactIs(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	now := clock.Steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	current.agents["w1"] = &agentLink{name: "w1", lastPing: 4, lastPingAt: now.Add(-300 * time.Millisecond)}
	c.health.lastSuccess = now.Add(-1500 * time.Millisecond)
	current.leaderLease = leadership.LeaderLease{}
	current.leaderLease.Renew(now.Add(-1700 * time.Millisecond))
	o := c.newOrders(now, current, "w1")
	if got, want := o.StoreContactAgeMS, int64(1501); got != want {
		t.Errorf("orders: got a contact %d ms ago, want %d", got, want)
	}
	if got, want := o.PingAgeMS, int64(300); got != want || o.LastPing != 4 {
		t.Errorf("orders: got ping %d, %d ms ago, want 4, %d ms ago", o.LastPing, got, want)
	}
	if got, want := o.ConfirmedAgeMS, int64(1701); got != want {
		t.Errorf("orders: got a write %d ms ago, want %d", got, want)
	}
}
