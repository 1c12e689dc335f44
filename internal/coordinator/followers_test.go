package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// Jobs must not wait for a worker that was lost just before its dispatcher until the whole leadership lease is over, unless the
// lost dispatcher may not have known an entry that the next one reaches.
func TestWorkerLostBeforeItsDispatcherDoesNotHoldJobsBack(t *testing.T) {
	for _, tc := range []struct {
		name     string
		follower string
		early    bool
	}{
		{"the next dispatcher was connected to the lost one", "entry-b", true},
		{"the next dispatcher is new, and another entry was connected", "entry-c", true},
		{"no entry was connected", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := &standin.Store{}
			lost, next, third := newTestEntry(t, "entry-a", s), newTestEntry(t, "entry-b", s), newTestEntry(t, "entry-c", s)
			for _, c := range []*Coordinator{lost, next, third} {
				c.settings.Listen = c.listener.Addr().String()
			}
			next.AddEntries([]string{third.settings.Listen})
			becomeDispatcher(t.Context(), t, lost)
			for _, c := range []*Coordinator{next, third} {
				if c.settings.Name == tc.follower {
					connectFor(t, lost, c)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			third.group.Go(func() { third.acceptPeers(ctx) })
			defer third.group.Wait()
			defer cancel()
			current, stopped := takeOver(t, next)
			if stopped {
				t.Error("the lost dispatcher is known to have stopped: got true, want false")
			}
			next.mu.Lock()
			defer next.mu.Unlock()
			wait := current.predecessor.LeasesEndBy().Sub(current.began)
			if got := wait < leadership.LeaderLeaseDuration; got != tc.early {
				t.Errorf("unreported workers are given up before a whole leadership lease is over: got %v, after %v, want %v", got, wait, tc.early)
			}
		})
	}
}

// connectFor has an entry follow a dispatcher until it is one of its followers. Then the dispatcher is gone.
func connectFor(t *testing.T, dispatcher, follower *Coordinator) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	claim := dispatcher.candidate.Claim()
	follower.candidate.ObserveClaim(clock.Steady(), claim)
	dispatcher.group.Go(func() { dispatcher.acceptPeers(ctx) })
	follower.group.Go(func() { follower.follow(ctx) })
	waitFor(t, follower, "the dispatcher counts the entry among its followers", func() bool { return follower.followed.Terms(clock.Steady())[claim.Term] })
	cancel()
	dispatcher.group.Wait()
	follower.group.Wait()
}

// A dispatcher that does not hear its followers, but pings that a cut has held back, must not go on for a whole leadership lease: a
// later one may wait for less.
func TestLatePingsOfFollowersRenewNothing(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	conn := peer.NewConn(here)
	hello := &peer.Hello{Role: peer.RoleEntry, Name: "entry-b", PeerAddress: "10.0.0.2:7000", Persistent: true}
	c.handleHello(conn, hello)
	now := clock.Steady()
	for _, tc := range []struct {
		name    string
		after   time.Duration
		ping    peer.Ping
		contact bool
	}{
		{"the first ping names no answer", 0, peer.Ping{Seq: 1}, false},
		{"the next one names the answer to the first", 300 * time.Millisecond, peer.Ping{Seq: 2, LastPong: 1}, true},
		{"a ping that was held back", 5 * time.Second, peer.Ping{Seq: 3, LastPong: 2}, false},
		{"one that was sent after it", 5300 * time.Millisecond, peer.Ping{Seq: 4, LastPong: 3}, true},
		{"one that names a later term", 9 * time.Second, peer.Ping{Seq: 5, LastPong: 4, NewestTerm: ownTerm + 1}, false},
	} {
		c.handleEntryPing(now.Add(tc.after), conn, hello, &tc.ping)
		if got := current.leaderLease.Followers().InContact(now.Add(tc.after)); got != tc.contact {
			t.Errorf("%s: in contact: got %v, want %v", tc.name, got, tc.contact)
		}
	}
}

// An entry that has told a later dispatcher that it follows an earlier one must not be taken for one that knows no later term, even
// if its own claim fails meanwhile.
func TestFollowerThatHasHeardOfALaterTermNamesIt(t *testing.T) {
	c := newTestEntry(t, "entry-b", &standin.Store{})
	c.candidate.ObserveClaim(clock.Steady(), leadership.Claim{Term: 3, Entry: "entry-a"})
	c.followed.NoteAnswer(3, clock.Steady())
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	c.handleHello(peer.NewConn(here), &peer.Hello{Role: peer.RoleEntry, Name: "entry-c", PeerAddress: "10.0.0.3:7000", NewestTerm: 4})
	c.candidate.BeginClaim()
	if got, want := c.candidate.NewestTerm(), uint64(4); got != want {
		t.Errorf("term that its pings name: got %d, want %d", got, want)
	}
}
