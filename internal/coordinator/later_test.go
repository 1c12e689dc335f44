package coordinator

import (
	"context"
	"testing"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// laterTerm is later than each term that a test's entry claims or holds.
const laterTerm = 9

// waysToHear are the ways in which an entry hears of a term.
var waysToHear = []struct {
	name string
	hear func(t *testing.T, c *Coordinator, term uint64)
}{
	{"the Hello of a probe", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		c.handleHello(pipedConn(t), &peer.Hello{Role: peer.RoleEntry, Name: "entry-b", NewestTerm: term})
	}},
	{"the ping of an entry", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		c.handleEntryPing(clock.Steady(), pipedConn(t), &peer.Hello{Role: peer.RoleEntry, Name: "entry-b"}, &peer.Ping{NewestTerm: term})
	}},
	{"a dispatcher's answer to a ping", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		cc := newCallConn(pipedConn(t))
		c.handleDispatcherMessage(context.Background(), cc, leadership.Claim{Term: 1, Entry: "entry-b"}, &peer.Message{Pong: &peer.Pong{DispatcherTerm: term}})
	}},
	{"the Welcome of a dispatcher", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		c.handleWelcome(clock.Steady(), newCallConn(pipedConn(t)), leadership.Claim{Term: 1, Entry: "entry-b"}, &peer.Welcome{NewestTerm: term, IsDispatcher: true})
	}},
	{"the answer to a probe", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		other := newTestEntry(t, "entry-b", &standin.Store{})
		other.candidate.ObserveClaim(clock.Steady(), leadership.Claim{Term: term, Entry: "entry-c"})
		ctx, cancel := context.WithCancel(context.Background())
		accepted := make(chan struct{})
		other.group.Go(func() { defer close(accepted); other.acceptPeers(ctx) })
		defer func() { cancel(); <-accepted }()
		if stopped, why := c.hasStopped(ctx, leadership.Claim{Term: 1, Entry: "entry-b", Incarnation: 1, Address: other.listener.Addr().String()}); !stopped {
			t.Errorf("probe of an entry that is not the dispatcher: got %v (%s), want stopped", stopped, why)
		}
	}},
	{"a resignation", func(_ *testing.T, c *Coordinator, term uint64) {
		c.handleResigned(&peer.Resigned{Term: term})
	}},
	{"the record of a job", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		sub := submission("a")
		sub.Term = term
		r, err := workflow.SubmissionRecord(sub)
		if err != nil {
			t.Fatal(err)
		}
		c.applyRecords([]store.StoredRecord{{Record: r}})
	}},
	{"a job that a peer has stored", func(t *testing.T, c *Coordinator, term uint64) {
		t.Helper()
		sub := submission("a")
		sub.Term = term
		c.handleEntryMessage(context.Background(), pipedConn(t), &peer.Hello{Role: peer.RoleEntry, Name: "entry-b"}, &peer.Message{SubmissionStored: &peer.SubmissionStored{Submission: *sub}})
	}},
}

// claimWhileHearing has an entry claim term 3 and calls hear between the fence and the beginning of the term.
// It reports whether the term begins.
func claimWhileHearing(t *testing.T, c *Coordinator, s *standin.Store, hear func()) bool {
	t.Helper()
	for range 2 {
		appendClaim(t, s, leadership.Claim{Entry: "entry-b", Incarnation: 7})
	}
	c.candidate.ObserveClaim(clock.Steady(), leadership.Claim{Term: 2, Entry: "entry-b"})
	read := c.store.ReadNewest
	c.store.ReadNewest = func(ctx context.Context, topic store.Topic, after string) (*store.Page, error) {
		if topic == store.TopicWorkers {
			hear()
		}
		return read(ctx, topic, after)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := c.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	return c.Status().Dispatching
}

// An entry must not begin the term of its claim once it has told a later dispatcher that it is none.
func TestNoTermBeginsAfterALaterOneWasHeardOf(t *testing.T) {
	for _, way := range waysToHear {
		for _, tc := range []struct {
			name   string
			term   uint64
			begins bool
		}{{"a later term", laterTerm, false}, {"the term itself", 3, true}, {"an earlier term", 2, true}} {
			t.Run(way.name+", "+tc.name, func(t *testing.T) {
				s := &standin.Store{}
				c := newTestEntry(t, "entry-a", s)
				if got := claimWhileHearing(t, c, s, func() { way.hear(t, c, tc.term) }); got != tc.begins {
					t.Errorf("begins its term: got %v, want %v", got, tc.begins)
				}
			})
		}
	}
}

// A term that was named before the claim and is not earlier cannot be real, and must not keep an entry from beginning one.
func TestTermNamedBeforeClaimDoesNotCount(t *testing.T) {
	s := &standin.Store{}
	c := newTestEntry(t, "entry-a", s)
	c.handleHello(pipedConn(t), &peer.Hello{Role: peer.RoleEntry, Name: "entry-b", NewestTerm: laterTerm})
	if got := claimWhileHearing(t, c, s, func() {}); !got {
		t.Errorf("begins its term: got %v, want true", got)
	}
}

// A dispatcher that hears of a later term ends its own.
func TestLaterTermEndsTerm(t *testing.T) {
	for _, way := range waysToHear {
		for _, tc := range []struct {
			name       string
			term       uint64
			dispatches bool
		}{{"a later term", laterTerm, false}, {"its own term", ownTerm, true}, {"an earlier term", ownTerm - 1, true}} {
			t.Run(way.name+", "+tc.name, func(t *testing.T) {
				c, current := newDispatcher(t, &standin.Store{})
				way.hear(t, c, tc.term)
				c.considerResigning(clock.Steady(), current)
				if got := c.Status().Dispatching; got != tc.dispatches {
					t.Errorf("dispatches: got %v, want %v", got, tc.dispatches)
				}
			})
		}
	}
}
