package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// evacuationScript is a sequence of events at one entry, with what must be in force after each.
type evacuationScript struct {
	Name   string `json:"name"`
	Events []struct {
		AtMS   int64  `json:"at-ms"`
		Do     string `json:"do"`
		TookMS int64  `json:"took-ms"`
		// All, Partial, Records ("offset key value") and End describe a read.
		All     bool     `json:"all"`
		Partial bool     `json:"partial"`
		Records []string `json:"records"`
		End     uint64   `json:"end"`
		// NamesSent, AgeMS and End describe the set of another entry.
		NamesSent []string `json:"names-sent"`
		AgeMS     int64    `json:"age-ms"`
		WantNames []string `json:"names"`
		WantStart bool     `json:"start"`
	} `json:"events"`
}

// Guards against a dispatcher that starts tasks with a set of evacuated data centres that it does not know to be recent,
// that replaces a newer set by an older one, or that holds starts back in an outage of the store.
func TestEvacuations(t *testing.T) {
	data, err := os.ReadFile("testdata/evacuations.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []evacuationScript
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	base := time.Unix(1000, 0)
	for i := range scripts {
		t.Run(scripts[i].Name, func(t *testing.T) {
			var v evacuations
			for j := range scripts[i].Events {
				e := &scripts[i].Events[j]
				now := base.Add(time.Duration(e.AtMS) * time.Millisecond)
				began := now.Add(-time.Duration(e.TookMS) * time.Millisecond)
				switch e.Do {
				case "read":
					v.noteRead(began, storedRecords(t, e.Records), e.End, e.All, !e.Partial)
				case "failed":
					v.noteFailure(began, now, storeTimeout+evacuationReadWait)
				case "peer":
					v.notePeer(evacuationSet{names: e.NamesSent, end: e.End, asOf: now.Add(-time.Duration(e.AgeMS) * time.Millisecond)})
				case "wait":
				default:
					t.Fatalf("unknown event %q", e.Do)
				}
				if got := v.inForce().names; !slices.Equal(got, e.WantNames) {
					t.Errorf("event %d: evacuated: got %v, want %v", j, got, e.WantNames)
				}
				if got := v.mayStart(now, maxEvacuationAge); got != e.WantStart {
					t.Errorf("event %d: may start: got %v, want %v", j, got, e.WantStart)
				}
			}
		})
	}
}

// storedRecords parses records in the form of evacuationScript.
func storedRecords(t *testing.T, lines []string) []store.StoredRecord {
	t.Helper()
	var out []store.StoredRecord
	for _, l := range lines {
		f := strings.Fields(l)
		r := store.StoredRecord{Record: store.Record{Key: f[1]}}
		if _, err := fmt.Sscan(f[0], &r.Offset); err != nil {
			t.Fatal(err)
		}
		if len(f) > 2 {
			r.Value = []byte(f[2])
		}
		out = append(out, r)
	}
	return out
}

// operate appends a record of the operator.
func operate(t *testing.T, s *standin.Store, key, value string) {
	t.Helper()
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicConfig, Records: []store.Record{{Key: key, Value: []byte(value)}}})
}

// Guards against records of evacuations that are missed: new ones, those from before the entry started, and the end of an
// evacuation whose record the store has deleted.
func TestReadEvacuations(t *testing.T) {
	s := &standin.Store{}
	operate(t, s, "evacuate/a", "{}")
	c := newTestEntry(t, "entry-a", s)
	next, known := uint64(0), false
	read := func() []string {
		t.Helper()
		for {
			end, err := c.readConfig(t.Context(), next, known)
			if errors.Is(err, store.ErrTrimmed) {
				known = false
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			next, known = end, true
			return c.evacuations.applied
		}
	}
	if got, want := read(), []string{"a"}; !slices.Equal(got, want) {
		t.Errorf("at the start: got %v, want %v", got, want)
	}
	operate(t, s, "evacuate/b", "{}")
	if got, want := read(), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("after another evacuation: got %v, want %v", got, want)
	}
	operate(t, s, "evacuate/a", "")
	if got, want := read(), []string{"b"}; !slices.Equal(got, want) {
		t.Errorf("after a restoration: got %v, want %v", got, want)
	}
	operate(t, s, "evacuate/b", "")
	s.Trim()
	if got := read(); len(got) != 0 {
		t.Errorf("after a restoration whose record was deleted: got %v, want none", got)
	}
	if got := gometrics.GetOrRegisterGauge("data-centres-evacuated", c.registry).Value(); got != 0 {
		t.Errorf("gauge: got %d, want 0", got)
	}
}

// dispatcherWithWorkers returns a dispatcher of a deployment with evacuations, with one waiting job and workers of the
// data centres a and b, whose set of evacuated data centres is as old as given.
func dispatcherWithWorkers(t *testing.T, s *standin.Store, age time.Duration) *Coordinator {
	t.Helper()
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, submission("a"))}})
	c := newTestEntry(t, "entry-a", s)
	c.settings.EvacuationBound = 5 * time.Second
	configureQueue(c)
	becomeDispatcher(t.Context(), t, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	for name, zone := range map[string]string{"w1": "a", "w2": "b"} {
		r := reportOf(name)
		r.Worker.DataCentre = zone
		c.term.applyReport(now, c, r)
	}
	c.evacuations.noteRead(now.Add(-age), nil, 0, true, true)
	return c
}

// startsOrdered has a dispatcher decide, and returns how many starts it has ordered so far.
func startsOrdered(c *Coordinator) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	c.term.leaderLease.Renew(now)
	c.sendOrders(now, c.term)
	return gometrics.GetOrRegisterCounter("starts-ordered", c.registry).Count()
}

// Guards against starts of a dispatcher that was suspended and has not read which data centres were evacuated meanwhile,
// and against starts in a data centre whose evacuation it has read.
func TestStartsWaitForTheEvacuations(t *testing.T) {
	s := &standin.Store{}
	c := dispatcherWithWorkers(t, s, maxEvacuationAge+time.Second)
	operate(t, s, "evacuate/a", "{}")
	operate(t, s, "evacuate/b", "{}")
	if got := startsOrdered(c); got != 0 {
		t.Errorf("starts with an old set: got %d, want 0", got)
	}
	if _, err := c.readConfig(t.Context(), 0, true); err != nil {
		t.Fatal(err)
	}
	if got := startsOrdered(c); got != 0 {
		t.Errorf("starts with both data centres evacuated: got %d, want 0", got)
	}
	operate(t, s, "evacuate/b", "")
	if _, err := c.readConfig(t.Context(), 2, true); err != nil {
		t.Fatal(err)
	}
	if got := startsOrdered(c); got != 1 {
		t.Errorf("starts after a restoration: got %d, want 1", got)
	}
}

// Guards against a new dispatcher that forgets what its entry has read before the term.
func TestNewDispatcherKnowsTheEvacuations(t *testing.T) {
	s := &standin.Store{}
	operate(t, s, "evacuate/a", "{}")
	mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, submission("a"))}})
	c := newTestEntry(t, "entry-a", s)
	configureQueue(c)
	if _, err := c.readConfig(t.Context(), 0, false); err != nil {
		t.Fatal(err)
	}
	becomeDispatcher(t.Context(), t, c)
	for i, name := range []string{"a", "b"} {
		r := reportOf("in-" + name)
		r.Worker.DataCentre = name
		c.mu.Lock()
		c.term.applyReport(clock.Steady(), c, r)
		c.mu.Unlock()
		if got, want := startsOrdered(c), int64(i); got != want {
			t.Errorf("starts after the report of a worker in %s: got %d, want %d", name, got, want)
		}
	}
}

// Guards against starts that are held although the store fails, or in a deployment without evacuations.
func TestStartsAreNotHeld(t *testing.T) {
	for _, tc := range []struct {
		name  string
		bound time.Duration
		fault error
		want  int64
	}{
		{"the store gives no answer", 5 * time.Second, store.ErrOutcomeUnknown, 1},
		{"the store refuses", 5 * time.Second, store.ErrRefused, 1},
		{"the deployment has no evacuations", 0, nil, 1},
		{"the store answers, but has not been read", 5 * time.Second, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			c := dispatcherWithWorkers(t, s, time.Minute)
			c.settings.EvacuationBound = tc.bound
			if tc.fault != nil {
				s.SetFault(tc.fault, false)
				if _, err := c.readConfig(t.Context(), 0, true); !errors.Is(err, tc.fault) {
					t.Fatalf("read: got %v, want %v", err, tc.fault)
				}
			}
			if got := startsOrdered(c); got != tc.want {
				t.Errorf("starts: got %d, want %d", got, tc.want)
			}
		})
	}
}

// Guards against a term that begins before its entry knows which data centres are evacuated, and against a claim that is
// held back for that in a deployment without evacuations.
func TestClaimWaitsForTheEvacuations(t *testing.T) {
	for _, tc := range []struct {
		name  string
		bound time.Duration
		know  func(c *Coordinator)
		want  bool
	}{
		{"nothing known", 5 * time.Second, func(*Coordinator) {}, false},
		{"no evacuations", 0, func(*Coordinator) {}, true},
		{"read", 5 * time.Second, func(c *Coordinator) {
			if _, err := c.readConfig(context.Background(), 0, false); err != nil {
				panic(err)
			}
		}, true},
		{"set of another entry", 5 * time.Second, func(c *Coordinator) {
			c.notePeerEvacuation(clock.Steady(), clock.Steady(), &peer.Evacuation{Names: []string{"a"}, End: 4}, "entry-b")
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestEntry(t, "entry-a", &standin.Store{})
			c.settings.EvacuationBound = tc.bound
			configureQueue(c)
			c.discoveryBegan = clock.Steady().Add(-time.Minute)
			tc.know(c)
			for range 3 { // the first attempts may only start the wait of the election
				c.considerClaim(t.Context(), clock.Steady().Add(time.Minute))
			}
			if got := c.term != nil; got != tc.want {
				t.Errorf("dispatcher: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against an entry without access to the store that does not learn the set of the dispatcher, and a dispatcher that
// does not learn that of an entry, or takes one that may have been sent long ago for a recent one.
func TestEntriesExchangeEvacuations(t *testing.T) {
	s := &standin.Store{}
	c := dispatcherWithWorkers(t, s, maxEvacuationAge+time.Second)
	here, there := net.Pipe()
	conn, other := peer.NewConn(here), peer.NewConn(there)
	hello := &peer.Hello{Role: peer.RoleEntry, Name: "entry-b", PeerAddress: "b", Persistent: true}
	b := newTestEntry(t, "entry-b", s)
	b.settings.EvacuationBound = 5 * time.Second
	cc := newCallConn(other)
	pongs := make(chan *peer.Pong, 4)
	var group sync.WaitGroup
	group.Go(func() { _ = conn.Run(&group, func(*peer.Message) {}) })
	group.Go(func() {
		_ = other.Run(&group, func(m *peer.Message) {
			if m.Pong != nil {
				b.handleDispatcherMessage(context.Background(), cc, leadership.Claim{Term: 1, Entry: "entry-a"}, m)
				pongs <- m.Pong
			}
		})
	})
	t.Cleanup(func() {
		conn.Close()
		other.Close()
		group.Wait()
	})
	c.handleHello(conn, hello)
	ping := func(seq uint64, lastPong uint64) {
		t.Helper()
		b.mu.Lock()
		now := clock.Steady()
		p := &peer.Ping{Seq: seq, Evacuation: b.evacuationMessage(now), LastPong: cc.notePing(seq, now)}
		b.mu.Unlock()
		if p.LastPong != lastPong {
			t.Errorf("last pong: got %d, want %d", p.LastPong, lastPong)
		}
		c.handleEntryPing(clock.Steady(), conn, hello, p)
		<-pongs
	}
	ping(1, 0)
	if !b.evacuations.known() || len(b.evacuations.applied) != 0 {
		t.Errorf("set of the dispatcher: got %v, %v, want known and empty", b.evacuations.known(), b.evacuations.applied)
	}
	operate(t, s, "evacuate/a", "{}")
	operate(t, s, "evacuate/b", "{}")
	if _, err := b.readConfig(t.Context(), 0, true); err != nil {
		t.Fatal(err)
	}
	if got := startsOrdered(c); got != 0 {
		t.Errorf("starts before the exchange: got %d, want 0", got)
	}
	ping(2, 1)
	if got, want := c.evacuations.applied, []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("at the dispatcher: got %v, want %v", got, want)
	}
	if c.holdsStarts(clock.Steady(), c.term) {
		t.Error("starts with the fresh set of another entry: got held, want not held")
	}
	c.mu.Lock()
	asOf := c.evacuations.asOf()
	c.notePeerEvacuation(clock.Steady(), clock.Steady(), &peer.Evacuation{End: 1, AgeMS: 1 << 62}, "entry-b")
	c.notePeerEvacuation(clock.Steady(), clock.Steady(), &peer.Evacuation{End: 1, AgeMS: -1 << 62}, "entry-b")
	if got := c.evacuations.asOf(); !got.Equal(asOf) {
		t.Errorf("after sets of impossible ages: got complete as of %v, want %v", got, asOf)
	}
	c.mu.Unlock()
	c.handleEntryPing(clock.Steady(), conn, hello, &peer.Ping{Seq: 3, LastPong: 0, Evacuation: &peer.Evacuation{End: 9}})
	if got, want := c.evacuations.applied, []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("after a ping that may be old: got %v, want %v", got, want)
	}
}

// Guards against messages to agents that leave the evacuated data centres out, which an agent takes for a restoration, and
// against a data centre that the dispatcher does not take from the agent's Hello.
func TestAgentsAreToldOfEvacuations(t *testing.T) {
	c := dispatcherWithWorkers(t, &standin.Store{}, 0)
	c.mu.Lock()
	c.evacuations.noteRead(clock.Steady(), storedRecords(t, []string{"0 evacuate/a {}", "1 evacuate/b {}", "2 evacuate/c {}"}), 3, true, true)
	c.applyEvacuations(clock.Steady())
	c.mu.Unlock()
	here, there := net.Pipe()
	conn, agent := peer.NewConn(here), peer.NewConn(there)
	received := make(chan *peer.Message, 16)
	var group sync.WaitGroup
	group.Go(func() { _ = conn.Run(&group, func(*peer.Message) {}) })
	group.Go(func() { _ = agent.Run(&group, func(m *peer.Message) { received <- m }) })
	t.Cleanup(func() {
		conn.Close()
		agent.Close()
		group.Wait()
	})
	hello := &peer.Hello{Role: peer.RoleAgent, Name: "w1", Zone: "c", NewestTerm: c.term.number, Connection: 1}
	c.handleHello(conn, hello)
	r := reportOf("w1")
	c.handleAgentMessage(conn, hello, &peer.Message{Report: r})
	c.handleAgentMessage(conn, hello, &peer.Message{Ping: &peer.Ping{Seq: 7, Worker: &reportOf("w1").Worker}})
	var pong *peer.Pong
	for pong == nil {
		pong = (<-received).Pong
	}
	want := []string{"a", "b", "c"}
	if !slices.Equal(pong.Evacuated, want) {
		t.Errorf("answer to a ping: got %v, want %v", pong.Evacuated, want)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.newOrders(clock.Steady(), c.term, "w1"); !slices.Equal(o.Evacuated, want) || o.LastPing != 7 {
		t.Errorf("orders: got %v after ping %d, want %v after ping 7", o.Evacuated, o.LastPing, want)
	}
	if got := c.term.scheduler.DataCentreWorkers(); got["c"] != 1 || got["b"] != 1 || got["a"] != 0 {
		t.Errorf("workers by data centre: got %v, want one in b and c", got)
	}
}

// Guards against an evacuation of a data centre without workers, or of all data centres, that nobody is told of.
func TestEvacuationsAreCompared(t *testing.T) {
	c := dispatcherWithWorkers(t, &standin.Store{}, 0)
	now := clock.Steady().Add(evacuationLogDelay + time.Second)
	compare := func(at time.Duration, names ...string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.evacuations.applied = names
		c.logEvacuations(now.Add(at), c.term)
	}
	all := func() int64 { return gometrics.GetOrRegisterGauge("all-data-centres-evacuated", c.registry).Value() }
	compare(0, "a", "x")
	if _, unknown := c.term.unknownEvacuations["x"]; !unknown || len(c.term.unknownEvacuations) != 1 || all() != 0 {
		t.Errorf("a and x: got %v without a worker and all %d, want x and 0", c.term.unknownEvacuations, all())
	}
	compare(2*time.Second, "a", "b")
	if len(c.term.unknownEvacuations) != 0 || all() != 1 {
		t.Errorf("a and b: got %v without a worker and all %d, want none and 1", c.term.unknownEvacuations, all())
	}
	compare(4 * time.Second)
	if all() != 0 {
		t.Errorf("none: got all %d, want 0", all())
	}
}
