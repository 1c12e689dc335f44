package coordinator

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"sync"
	"testing"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// A worker that has left may have reported the ends of runs to a later dispatcher before. A dispatcher that does not know
// that it is superseded must not start their tasks again once it hears of the departure.
func TestDepartureDoesNotCountAtASupersededDispatcher(t *testing.T) {
	for _, superseded := range []bool{false, true} {
		t.Run(fmt.Sprint(superseded), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.report(reportOf("w2"))
			r.nextTerm(t)
			r.at.noteDeparture(clock.Steady(), &peer.Departure{Worker: "w2", Number: r.told["w2"]})
			if superseded {
				mustAppend(t, r.store, store.AppendRequest{Topic: store.TopicProgress, Term: r.at.term.number + 1})
			}
			current, want := r.at.term, 1
			r.write()
			if superseded {
				want = 0
			}
			r.at.mu.Lock()
			defer r.at.mu.Unlock()
			current.checkWorkers(clock.Steady(), r.at)
			if got := len(current.scheduler.Decide(clock.Steady(), clock.WallMS()).Starts()); got != want {
				t.Errorf("starts: got %d, want %d", got, want)
			}
		})
	}
}

// An entry confirms a departure, and tells the next dispatcher of it.
func TestDepartureReachesTheNextDispatcher(t *testing.T) {
	t.Parallel()
	c := newTestEntry(t, "entry-a", &standin.Store{})
	ctx, stop := context.WithCancel(context.Background())
	c.group.Go(func() { c.acceptPeers(ctx) })
	t.Cleanup(func() { stop(); c.group.Wait() })
	sent := peer.Departure{Worker: "w2", Number: 7, EndedLives: endedLife(1, workflow.TaskID{Job: "a"})}
	conn, err := peer.Dial(ctx, c.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	var confirmed *peer.Departure
	conn.Send(&peer.Message{Departure: &sent})
	_ = conn.Run(&group, func(m *peer.Message) {
		confirmed = m.Departure
		conn.Close()
	})
	if !reflect.DeepEqual(confirmed, &sent) {
		t.Errorf("confirmation: got %v, want %v", confirmed, sent)
	}
	here, there := net.Pipe()
	toDispatcher, dispatcher := peer.NewConn(here), peer.NewConn(there)
	group.Go(func() { _ = toDispatcher.Run(&group, func(*peer.Message) {}) })
	c.mu.Lock()
	c.passDeparturesOn(clock.Steady(), newCallConn(toDispatcher))
	c.mu.Unlock()
	var passedOn *peer.Departure
	_ = dispatcher.Run(&group, func(m *peer.Message) {
		passedOn = m.Departure
		dispatcher.Close()
	})
	group.Wait()
	if !reflect.DeepEqual(passedOn, &sent) {
		t.Errorf("passed on: got %v, want %v", passedOn, sent)
	}
}

// The task of a run that its worker's agent knew to be done was started again, as the agent had left before it met the next
// dispatcher.
func TestEndThatADepartureNamesCounts(t *testing.T) {
	for _, noted := range []string{"before the term", "in the term", "by the dispatcher that knew the run"} {
		t.Run(noted, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			report := reportOf("w2")
			report.Runs = []dispatch.RunStatus{{Task: workflow.TaskID{Job: "a"}, Run: 1}}
			r.report(report)
			d := &peer.Departure{Worker: "w2", Number: r.told["w2"], EndedLives: endedLife(1, workflow.TaskID{Job: "a"})}
			next := r.entries[0]
			switch noted {
			case "before the term":
				next.noteDeparture(clock.Steady(), d)
				r.nextTerm(t)
			case "in the term":
				r.nextTerm(t)
				r.at.noteDeparture(clock.Steady(), d)
			default:
				r.at.noteDeparture(clock.Steady(), d)
			}
			current := r.at.term
			r.write()
			r.at.mu.Lock()
			defer r.at.mu.Unlock()
			current.checkWorkers(clock.Steady(), r.at)
			if got, want := current.scheduler.UnreportedWorkers(), 0; got != want {
				t.Errorf("workers that are waited for: got %d, want %d", got, want)
			}
			if got := len(current.scheduler.Decide(clock.Steady(), clock.WallMS()).Starts()); got != 0 {
				t.Errorf("starts of a task that is done: got %d, want none", got)
			}
			if got, _ := current.scheduler.Phase("a"); got != workflow.PhaseCompleted {
				t.Errorf("phase: got %s, want %s", got, workflow.PhaseCompleted)
			}
		})
	}
}

func TestDepartureWithAnUnknownOutcomeIsNotConfirmed(t *testing.T) {
	t.Parallel()
	c := newTestEntry(t, "entry-a", &standin.Store{})
	d := &peer.Departure{Worker: "w2", Number: 7, EndedLives: endedLife(1, workflow.TaskID{Job: "a"})}
	d.EndedLives[0].Ends[0].How = 77
	conn := pipedConn(t)
	c.confirmDeparture(conn, d)
	if !isClosed(conn) || len(c.departures) != 0 {
		t.Errorf("connection closed, departures: got %v, %d, want true, 0", isClosed(conn), len(c.departures))
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	t.Parallel()
	c := newTestEntry(t, "entry-a", &standin.Store{})
	now := clock.Steady()
	for i := range maxDepartures + 10 {
		c.noteDeparture(now, &peer.Departure{Worker: fmt.Sprint("w", i), Number: 1})
	}
	if got, want := len(c.departures), maxDepartures; got != want {
		t.Errorf("departures: got %d, want %d", got, want)
	}
	c.noteDeparture(now.Add(2*departureMaxAge), &peer.Departure{Worker: "w", Number: 1})
	if got, want := len(c.departures), 1; got != want {
		t.Errorf("departures after their time: got %d, want %d", got, want)
	}
}
