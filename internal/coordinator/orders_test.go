package coordinator

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
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

// Guards against ages that are not kept up to date, so that old orders seem new, or that agents are not told of, and against
// refusals that go unnoticed.
func TestDispatcherTellsAgentsOfItsStoreContact(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	here, there := net.Pipe()
	conn, agent := peer.NewConn(here), peer.NewConn(there)
	received := make(chan *peer.Message, 16)
	var group sync.WaitGroup
	group.Go(func() { _ = conn.Run(&group, func(*peer.Message) {}) })
	group.Go(func() { _ = agent.Run(&group, func(m *peer.Message) { received <- m }) })
	t.Cleanup(func() { conn.Close(); agent.Close(); group.Wait() })
	c.health.lastSuccess = clock.Steady().Add(-3 * time.Second)
	h := &peer.Hello{Role: peer.RoleAgent, Name: "w1", NewestTerm: ownTerm, Connection: 1}
	c.handleHello(conn, h)
	pingAge := func() int64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.newOrders(clock.Steady().Add(time.Second), current, "w1").PingAgeMS
	}
	for _, m := range []*peer.Message{{Report: reportOf("w1")}, {Ping: &peer.Ping{Seq: 1, Worker: &reportOf("w1").Worker}}} {
		before := clock.Steady()
		c.handleAgentMessage(conn, h, m)
		if got, most := pingAge(), (clock.Steady().Sub(before) + time.Second).Milliseconds(); got < 1000 || got > most {
			t.Errorf("age of the last message: got %d ms, want 1000 to %d", got, most)
		}
	}
	for m := range received {
		if m.Pong != nil {
			if got := m.Pong.StoreContactAgeMS; got < 3000 {
				t.Errorf("age of the store contact in the answer to a ping: got %d ms, want 3000 or more", got)
			}
			break
		}
	}
	c.handleAgentMessage(conn, h, &peer.Message{OrderRefused: &peer.OrderRefused{Life: 1, Task: workflow.TaskID{Job: "a"}, Run: 1, Unconfirmed: true}})
	if current.unconfirmedSince.IsZero() {
		t.Error("starts held after a refusal: got false, want true")
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

// Guards against starts of cancelled jobs: others acknowledge cancellations while the store does not answer the dispatcher.
func TestOrdersStayOldUntilCancellationsAreRead(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	lost := clock.Steady().Add(-4 * time.Second)
	c.health.lastSuccess = lost
	for i := range c.tails {
		c.tails[i].caughtUpAt = lost
	}
	contactAge := func() int64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.newOrders(clock.Steady(), current, "w1").StoreContactAgeMS
	}
	for range 2 {
		if _, err := callStore(t.Context(), c, 0, func(ctx context.Context) (uint64, error) {
			return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicProgress, Term: ownTerm})
		}); err != nil {
			t.Fatal(err)
		}
		if got := contactAge(); got < 4000 {
			t.Errorf("store contact before the intake is read: got %d ms ago, want 4000 or more", got)
		}
	}
	if err := c.catchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := contactAge(); got >= 4000 {
		t.Errorf("store contact once the intake is read: got %d ms ago, want less than 4000", got)
	}
}
