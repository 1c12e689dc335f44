package coordinator

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/tenure"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// newTest returns an entry that is not running.
func newTest(t *testing.T, name string, s *standin.Store) *Coordinator {
	t.Helper()
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	c, err := New(Settings{Name: name, Listen: "127.0.0.1:0", Incarnation: 1}, s.Port(), logger, gometrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.listener.Close() })
	return c
}

func submission(id string) *workflow.Submission {
	return &workflow.Submission{ID: id, Queue: "plans", Spec: workflow.Spec{Steps: []workflow.Step{{Count: 1, Size: worker.Resources{MilliCPU: 100}}}}}
}

func mustAppend(t *testing.T, s *standin.Store, a store.Append) {
	t.Helper()
	if _, err := s.Port().Append(context.Background(), a); err != nil {
		t.Fatal(err)
	}
}

// A job that is stored while the newest records are read page by page must not
// be missed: it may sort before the page that is read next.
func TestRereadMissesNothing(t *testing.T) {
	s := &standin.Store{PageSize: 2}
	for i := range 6 {
		r, err := workflow.SubmissionRecord(submission(fmt.Sprintf("c%d", i)))
		if err != nil {
			t.Fatal(err)
		}
		mustAppend(t, s, store.Append{Topic: store.TopicIntake, Records: []store.Record{r}})
	}
	pages := 0
	s.OnPage = func() {
		if pages++; pages > 2 {
			return
		}
		// The first sorts before what has been read, the second after it.
		for _, id := range []string{fmt.Sprintf("a%d", pages), fmt.Sprintf("z%d", pages)} {
			r, err := workflow.SubmissionRecord(submission(id))
			if err != nil {
				t.Error(err)
			}
			mustAppend(t, s, store.Append{Topic: store.TopicIntake, Records: []store.Record{r}})
		}
	}
	c := newTest(t, "entry-a", s)
	for range 2 {
		if err := c.catchUp(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := c.book.Len(), 10; got != want {
		t.Errorf("jobs known: got %d, want %d", got, want)
	}
}

func TestSubmit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault error
		done  bool
		want  error
	}{
		{"stored", nil, false, nil},
		{"a call that the store refused never runs", store.ErrRefused, false, ErrRefused},
		{"a lost answer leaves the outcome unknown", store.ErrUnknown, true, ErrUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			s.Fail(tc.fault, tc.done)
			c := newTest(t, "entry-a", s)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			writing := make(chan struct{})
			c.group.Go(func() {
				defer close(writing)
				for i := range c.intake {
					_, err := c.store.Append(ctx, store.Append{Topic: store.TopicIntake, Records: []store.Record{i.record}})
					if tc.done {
						cancel() // no time is left for another attempt
					}
					i.done <- err
				}
			})
			defer func() { close(c.intake); <-writing }()
			if got := c.Submit(ctx, submission("a")); !errors.Is(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// An entry that has not read the store lately must not say that a job does not exist.
func TestPhaseOfUnknownJob(t *testing.T) {
	s := &standin.Store{}
	c := newTest(t, "entry-a", s)
	if _, got := c.Phase(context.Background(), "a"); !errors.Is(got, ErrUnsure) {
		t.Errorf("before the first reading: got %v, want %v", got, ErrUnsure)
	}
	if err := c.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, got := c.Phase(context.Background(), "a"); !errors.Is(got, ErrNoJob) {
		t.Errorf("after a reading: got %v, want %v", got, ErrNoJob)
	}
}

// A claim is void once another entry has claimed, and the earlier dispatcher
// cannot store anything any more.
func TestClaim(t *testing.T) {
	s := &standin.Store{}
	a, b := newTest(t, "entry-a", s), newTest(t, "entry-b", s)
	ctx := context.Background()
	if err := a.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	first := a.term
	if first == nil {
		t.Fatal("the first claim: got no term, want one")
	}
	if err := b.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	if b.term != nil {
		t.Error("a claim that was just learned: got a term, want none")
	}
	if err := b.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	if b.term == nil || b.term.number <= first.number {
		t.Fatal("the second claim: got no later term, want one")
	}
	if got := a.storeRecords(ctx, first, []store.Record{workflow.CancellationRecord("x")}, false); got {
		t.Error("a write of the earlier term: got stored, want fenced")
	}
	if a.term != nil {
		t.Error("the fenced entry: got a term, want none")
	}
}

// While the store is away, callers learn at once that their job never runs, and
// nothing is sent that could still take effect.
func TestSubmitWhileStoreIsAway(t *testing.T) {
	s := &standin.Store{}
	s.Fail(store.ErrUnknown, true)
	c := newTest(t, "entry-a", s)
	ctx := context.Background()
	for range failsInRow {
		if err := c.catchUp(ctx); err == nil {
			t.Fatal("reading: got no error, want one")
		}
	}
	if got := c.Submit(ctx, submission("a")); !errors.Is(got, ErrRefused) {
		t.Errorf("got %v, want %v", got, ErrRefused)
	}
	s.Fail(nil, false)
	if err := c.catchUp(ctx); err != nil {
		t.Fatal(err)
	}
	if got := c.book.Len(); got != 0 {
		t.Errorf("jobs stored: got %d, want 0", got)
	}
	if c.storeAway(clock.Steady()) {
		t.Error("after an answer: got the store away, want it back")
	}
}

// A dispatcher that the store refuses lets another entry store what callers hand in.
func TestDispatcherStoresThroughAnotherEntry(t *testing.T) {
	s := &standin.Store{}
	c := newTest(t, "entry-a", s)
	ctx := context.Background()
	if err := c.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	here, there := net.Pipe()
	conn, other := peer.NewConn(here), peer.NewConn(there)
	hello := &peer.Hello{Role: peer.RoleEntry, Name: "entry-b", Address: "b", Stays: true}
	var group sync.WaitGroup
	group.Go(func() { _ = conn.Run(&group, func(m *peer.Message) { c.fromEntry(ctx, conn, hello, m) }) })
	stored := make(chan store.Record, 1)
	group.Go(func() {
		_ = other.Run(&group, func(m *peer.Message) {
			if m.Relay != nil {
				stored <- m.Relay.Record
				other.Send(&peer.Message{Relayed: &peer.Relayed{Seq: m.Relay.Seq, Stored: true}})
			}
		})
	})
	t.Cleanup(func() {
		conn.Close()
		other.Close()
		group.Wait()
	})
	c.welcome(conn, hello)
	c.mu.Lock()
	c.links["b"].storeAge = 0
	c.storeSeen = clock.Steady().Add(-2 * awayAfter)
	c.mu.Unlock()
	s.Fail(store.ErrRefused, false)
	for range failsInRow {
		_ = c.catchUp(ctx) // each failure is counted
	}
	if err := c.Submit(ctx, submission("a")); err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	if got, want := (<-stored).Key, "s/a"; got != want {
		t.Errorf("stored: got %s, want %s", got, want)
	}
	if !c.term.board.Known("a") {
		t.Error("the board: got no job, want it")
	}
}

// What a dispatcher learned about images is known to the next one.
func TestLearnedOutlivesDispatcher(t *testing.T) {
	s := &standin.Store{}
	a, b := newTest(t, "entry-a", s), newTest(t, "entry-b", s)
	ctx := context.Background()
	if err := a.claim(ctx, "test"); err != nil {
		t.Fatal(err)
	}
	want := dispatch.Learned{Serving: "serve", Filling: "press", Share: 0.07}
	a.term.board.Teach([]dispatch.Learned{want})
	a.term.holder = tenure.Holder{} // a proof is due
	a.flush(ctx, a.term)
	for range 2 { // the first attempt learns of the other claim
		if err := b.claim(ctx, "test"); err != nil {
			t.Fatal(err)
		}
	}
	got := b.term.board.Learned()
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A worker that was taken for lost while its agent stayed connected, as in an
// outage of the store that outlasts the dispatcher's proof, has to report anew;
// without a report it would never be granted time again.
func TestLostWorkerReportsAnew(t *testing.T) {
	c := newTest(t, "entry-a", &standin.Store{})
	here, there := net.Pipe()
	conn, agent := peer.NewConn(here), peer.NewConn(there)
	defer agent.Close()
	var group sync.WaitGroup
	group.Go(func() { _ = conn.Run(&group, func(*peer.Message) {}) })
	defer group.Wait()
	now := clock.Steady()
	held := &term{number: 1, agents: make(map[string]*agentLink)}
	held.board.Begin(1, nil)
	held.holder.Prove(now)
	link := &agentLink{name: "w1", conn: conn, heard: now, lapsed: true}
	held.agents["w1"] = link
	c.mu.Lock()
	c.pingOfAgent(now, held, link, &peer.Ping{Seq: 1})
	c.mu.Unlock()
	select {
	case <-conn.Done():
	default:
		t.Error("connection of a lost worker that pings: got open, want closed")
	}
}

// The dispatch is handed over when the store fails the dispatcher alone, and
// not in an outage for all, when nobody could take it.
func TestFailedAlone(t *testing.T) {
	now := clock.Steady()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name          string
		fails         int
		failed, heard int64
		// age is how old the other entry's last answer was when it was heard.
		age  int64
		want bool
	}{
		{"the other entry was served after the first failure", 5, 1000, 100, 200, true},
		{"an outage for all", 5, 1000, 100, 950, false},
		{"the other entry was served just before", 5, 1000, 100, 700, false},
		{"too early", 5, 600, 50, 0, false},
		{"single lost answers", 2, 1000, 100, 100, false},
		{"the other entry is silent", 5, 2000, 1000, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTest(t, "entry-a", &standin.Store{})
			c.storeFails, c.storeFailed, c.storeSeen = tc.fails, ago(tc.failed), ago(tc.failed+50)
			c.links["b"] = &entryLink{name: "entry-b", heard: ago(tc.heard), storeAge: time.Duration(tc.age) * time.Millisecond}
			if got := c.failedAlone(now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
