package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// The kinds of processes that made a claim in testdata/predecessors.json.
const (
	processSilent  = "silent"  // accepts connections and answers nothing
	processRefuses = "refuses" // its address refuses connections: it has ended, or is behind a cut
	processOwn     = "own"     // an earlier process of the claiming entry
	processOther   = "another" // another process runs at its address
)

// claimAddress returns the address of a process of a kind that made a claim.
func claimAddress(t *testing.T, kind string) string {
	t.Helper()
	e := newTestEntry(t, "at-"+kind, &standin.Store{})
	switch kind {
	case processRefuses:
		_ = e.listener.Close()
	case processOther:
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		e.group.Go(func() { defer close(stopped); e.acceptPeers(ctx) })
		t.Cleanup(func() { cancel(); <-stopped })
	}
	return e.listener.Addr().String()
}

// restart has another process run at the address of an entry in place of its own.
func restart(t *testing.T, c *Coordinator) {
	t.Helper()
	_ = c.listener.Close()
	s := c.settings
	s.Incarnation++
	next, err := New(s, c.store, c.log, gometrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { next.acceptPeers(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
}

// stopped reports whether all earlier dispatchers are known to have stopped.
func stopped(c *Coordinator, t *term) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.predecessor.Stopped()
}

// appendClaim stores a claim.
func appendClaim(t *testing.T, s *standin.Store, claim leadership.Claim) {
	t.Helper()
	r, err := store.ClaimRecord(&claim)
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicLeadership, Records: []store.Record{r}})
}

// storeStoppedBefore stores that all dispatchers of terms before term have stopped.
func storeStoppedBefore(t *testing.T, s *standin.Store, term uint64) {
	t.Helper()
	value, err := cbor.Marshal(term)
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicProgress, Records: []store.Record{{Key: stoppedBeforeKey, Value: value}}})
}

// takeOver has an entry that knows no claim become the dispatcher, and returns its term and whether all
// earlier dispatchers became known to have stopped within a second.
func takeOver(t *testing.T, c *Coordinator) (*term, bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	becomeDispatcher(ctx, t, c)
	for deadline := clock.Steady().Add(time.Second); !stopped(c, c.term) && clock.Steady().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	return c.term, stopped(c, c.term)
}

// becomeDispatcher has an entry that knows no claim become the dispatcher.
func becomeDispatcher(ctx context.Context, t *testing.T, c *Coordinator) {
	t.Helper()
	for !c.Status().Dispatching { // the first attempt only records the newest claim
		if err := c.claim(ctx, "test"); err != nil {
			t.Fatal(err)
		}
	}
}

// A claim that never became a term must not stand for the dispatcher of the term before, which may still renew leases. Nor
// does a refused connection show that a dispatcher has stopped: a cut of the network may refuse it, while the dispatcher
// still serves workers on its side.
func TestEveryEarlierDispatcherMustHaveStopped(t *testing.T) {
	var cases []struct {
		Name string `json:"name"`
		// Claims holds the kinds of the processes that made the earlier claims, in order.
		Claims []string `json:"claims"`
		// StoppedBefore, if set, is the stored term before which all dispatchers have stopped.
		StoppedBefore uint64 `json:"stopped-before"`
		// Trimmed is set if the store no longer has the claims but the newest one.
		Trimmed bool `json:"trimmed"`
		Stopped bool `json:"stopped"`
	}
	readCases(t, "testdata/predecessors.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			s := &standin.Store{}
			c := newTestEntry(t, "entry-a", s)
			for i, kind := range tc.Claims {
				claim := leadership.Claim{Entry: string('b' + rune(i)), Incarnation: 7, Address: claimAddress(t, kind)}
				if kind == processOwn {
					claim.Entry = "entry-a"
				}
				appendClaim(t, s, claim)
			}
			if tc.StoppedBefore > 0 {
				storeStoppedBefore(t, s, tc.StoppedBefore)
			}
			if tc.Trimmed {
				s.Trim()
			}
			current, got := takeOver(t, c)
			if got != tc.Stopped {
				t.Errorf("all earlier dispatchers are known to have stopped: got %v, want %v", got, tc.Stopped)
			}
			early := current.predecessor.LeasesEndBy().Before(current.began.Add(leadership.LeaderLeaseDuration))
			if early != tc.Stopped {
				t.Errorf("unreported workers are given up before the leadership leases end: got %v, want %v", early, tc.Stopped)
			}
		})
	}
}

// A dispatcher that was lost with its machine must not delay later takeovers once its leases have ended.
func TestLostDispatcherDelaysOneTakeover(t *testing.T) {
	s := &standin.Store{}
	a, b := newTestEntry(t, "entry-a", s), newTestEntry(t, "entry-b", s)
	a.settings.Listen = a.listener.Addr().String()
	appendClaim(t, s, leadership.Claim{Entry: "lost", Incarnation: 7, Address: claimAddress(t, processSilent)})
	current, known := takeOver(t, a)
	if known {
		t.Fatal("the lost dispatcher is known to have stopped: got true, want false")
	}
	for _, tc := range []struct {
		name string
		// termAge is how long ago the term began.
		termAge time.Duration
		want    uint64
	}{{"its leadership lease may last", 10 * time.Second, 0}, {"its leadership lease has expired", 11 * time.Second, current.number}} {
		a.mu.Lock()
		current.predecessor.TermBegan(clock.Steady().Add(-tc.termAge))
		current.renewalDue = true
		a.mu.Unlock()
		a.flush(context.Background(), current)
		if err := b.catchUp(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := b.stoppedBefore; got != tc.want {
			t.Errorf("%s: the term before which all dispatchers have stopped: got %d, want %d", tc.name, got, tc.want)
		}
	}
	restart(t, a)
	if _, got := takeOver(t, b); !got {
		t.Error("the next takeover: all earlier dispatchers are known to have stopped: got false, want true")
	}
}
