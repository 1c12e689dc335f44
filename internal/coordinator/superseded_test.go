package coordinator

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/tenure"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// ownTerm is the term that a test's entry holds.
const ownTerm = 5

// dispatching makes an entry hold a term, with one worker that has not reported.
func dispatching(t *testing.T, s *standin.Store) (*Coordinator, *term) {
	t.Helper()
	c := newTest(t, "entry-a", s)
	held := &term{number: ownTerm, agents: make(map[string]*agentLink), known: make(map[string]bool), begins: make(map[string]*peer.Report)}
	held.board.SetQueues(map[string]dispatch.Queue{"plans": {Service: "bench", Attempts: 2}})
	held.board.Begin(ownTerm, []string{"unheard"})
	held.holder.Prove(clock.Steady())
	c.candidate.Learn(clock.Steady(), tenure.Claim{Term: ownTerm, Entry: "entry-a"})
	c.term = held
	return c, held
}

func reportOf(name string, ends ...dispatch.End) *peer.Report {
	return &peer.Report{Worker: dispatch.Worker{Name: name, Life: 1, Service: "bench", Capacity: worker.Resources{MilliCPU: 1000}}, Ends: ends}
}

func TestSubmissionNamesTheTermKnown(t *testing.T) {
	c, _ := dispatching(t, &standin.Store{})
	stored := make(chan struct{})
	c.group.Go(func() {
		defer close(stored)
		i := <-c.intake
		i.done <- nil
	})
	sub := submission("a")
	if err := c.Submit(context.Background(), sub); err != nil {
		t.Fatal(err)
	}
	<-stored
	if got, want := sub.Term, uint64(ownTerm); got != want {
		t.Errorf("term: got %d, want %d", got, want)
	}
}

// An earlier dispatcher may have started a job whose entry did not know of this
// term; a job whose entry knew a later one ends this term.
func TestJobsOfOtherTerms(t *testing.T) {
	for _, tc := range []struct {
		name       string
		term       uint64
		starts     int
		dispatches bool
	}{{"of this term", 5, 1, true}, {"of an earlier term", 4, 0, true}, {"of a later term", 6, 0, false}} {
		t.Run(tc.name, func(t *testing.T) {
			c, held := dispatching(t, &standin.Store{})
			now := clock.Steady()
			c.mu.Lock()
			held.report(now, c, reportOf("w1"))
			c.mu.Unlock()
			sub := submission("a")
			sub.Term = tc.term
			r, err := workflow.SubmissionRecord(sub)
			if err != nil {
				t.Fatal(err)
			}
			c.takeIn([]store.Stored{{Record: r}})
			if got := len(held.board.Decide(now, clock.WallMS()).Starts()); got != tc.starts {
				t.Errorf("starts: got %d, want %d", got, tc.starts)
			}
			if got := c.term != nil; got != tc.dispatches {
				t.Errorf("dispatches: got %v, want %v", got, tc.dispatches)
			}
		})
	}
}

// A worker gets no task if a later dispatcher may have read the names before.
func TestWorkerIsNamedUnderTheTerm(t *testing.T) {
	for _, tc := range []struct {
		name  string
		later uint64
		want  bool
	}{{"the term is the newest", 0, true}, {"a later term has written", 6, false}} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			c, held := dispatching(t, s)
			mustAppend(t, s, store.Append{Topic: store.TopicProgress, Term: max(ownTerm, tc.later)})
			held.begins["w1"] = reportOf("w1")
			c.nameWorkers(context.Background(), held)
			if got := held.known["w1"]; got != tc.want {
				t.Errorf("named: got %v, want %v", got, tc.want)
			}
		})
	}
}

// An end of no job is noted once every job that was stored before it is read.
func TestEndsOfNoJobAreNotedOnceCaughtUp(t *testing.T) {
	c, held := dispatching(t, &standin.Store{})
	c.mu.Lock()
	held.report(clock.Steady().Add(-time.Second), c, reportOf("w1", dispatch.End{Number: 1, Task: workflow.TaskID{Job: "x"}, Run: 1, How: dispatch.HowDone}))
	before := held.board.Changed()
	c.mu.Unlock()
	if err := c.catchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	if after := held.board.Changed(); before || !after {
		t.Errorf("noted: got %v before and %v after the reading, want false and true", before, after)
	}
}
