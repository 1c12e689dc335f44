package job

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

var readBegan = time.Unix(1_700_000_000, 0)

// assigned returns a state in which the only task of a job is assigned to worker-1.
func assigned(t *testing.T) (*StateMachine, record.AssignmentID) {
	t.Helper()
	sm := new(StateMachine)
	id := record.TaskID{Job: "job"}
	messages := []record.Message{
		&record.Submit{Spec: record.Spec{ID: "job", Tasks: 1, MaxFailures: 2, TakeoverMS: 5000}},
		&record.Assign{Placements: []record.Placement{{Task: id, Worker: "worker-1"}}},
	}
	for i, m := range messages {
		if err := sm.Apply(record.New(record.NewPosition(uint64(i), 0), "entry", uint64(i+1), m)); err != nil {
			t.Fatal(err)
		}
		sm.Advance(uint64(i) + 1)
	}
	return sm, record.AssignmentID{Task: id, Epoch: record.NewPosition(1, 0)}
}

func TestRespondAcceptsReplacedAgentWhoseClockWentBack(t *testing.T) {
	sm, _ := assigned(t)
	var r HeartbeatResponder
	r.NoteRead(readBegan)
	startOrders := func(after time.Duration, incarnation, round uint64) int {
		now := readBegan.Add(after)
		reading, _ := r.Respond(now, sm, &Heartbeat{Worker: "worker-1", Incarnation: incarnation, Round: round, Ready: true})
		return len(reading.Start)
	}
	cases := []struct {
		what        string
		after       time.Duration
		incarnation uint64
		want        int
	}{
		{"first agent", time.Second, 50, 1},
		{"late heartbeat of an older agent", 2 * time.Second, 40, 0},
		{"lower incarnation after silence", 10 * time.Second, 40, 1},
		{"newer agent", 11 * time.Second, 60, 1},
	}
	for i, c := range cases {
		if got := startOrders(c.after, c.incarnation, uint64(i+1)); got != c.want {
			t.Errorf("%s: got %d orders, want %d", c.what, got, c.want)
		}
	}
}

func TestRespondStopsCancelledTask(t *testing.T) {
	sm, assignment := assigned(t)
	if err := sm.Apply(record.New(record.NewPosition(2, 0), "entry", 3, &record.Cancel{Jobs: []string{"job"}})); err != nil {
		t.Fatal(err)
	}
	sm.Advance(3)
	var r HeartbeatResponder
	r.NoteRead(readBegan)
	unreported := &Heartbeat{Worker: "worker-1", Incarnation: 1, Round: 1, Ready: true}
	reading, _ := r.Respond(readBegan, sm, unreported)
	if got, want := len(reading.Stop), 1; got != want || len(reading.Start) != 0 {
		t.Fatalf("cancelled before the start: got %d stops and %d orders, want %d and none", got, len(reading.Start), want)
	}
	stopped := *unreported
	stopped.Primary = true
	stopped.Reports = []lease.Report{{Hold: assignment, State: lease.Stopped}}
	_, records := r.Respond(readBegan, sm, &stopped)
	if got, want := len(records), 1; got != want {
		t.Fatalf("records of a stop: got %d, want %d", got, want)
	}
	if err := sm.Apply(record.New(record.NewPosition(3, 0), "entry", 4, records[0])); err != nil {
		t.Fatal(err)
	}
	j, _ := sm.Job("job")
	if got, want := j.Phase(), Cancelled; got != want {
		t.Errorf("phase: got %s, want %s", got, want)
	}
}

func TestReclaimerWaitsFromFirstSeenRevocation(t *testing.T) {
	sm, assignment := assigned(t)
	var reclaimer Reclaimer
	now := readBegan
	reclaimer.NoteContact("worker-1", now)
	now = now.Add(LostAfter + time.Second)
	if got, want := len(reclaimer.Suspects(now, sm)), 1; got != want {
		t.Fatalf("suspects: got %d, want %d", got, want)
	}
	if got := reclaimer.Decide(now, sm); len(got) != 0 {
		t.Fatalf("before any other entry was asked: got %v, want nothing", got)
	}
	reclaimer.ConfirmLost(now, "worker-1")
	if got := reclaimer.Decide(now, sm); len(got) != 1 {
		t.Fatalf("lost worker: got %v, want a revocation", got)
	}
	// The append of the revocation takes ten seconds.
	now = now.Add(10 * time.Second)
	if err := sm.Apply(record.New(record.NewPosition(2, 0), "entry", 3, &record.Revoke{Assignments: []record.AssignmentID{assignment}})); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {5 * time.Second, 0}, {5051 * time.Millisecond, 1}} {
		if got := len(reclaimer.Decide(now.Add(c.after), sm)); got != c.want {
			t.Errorf("%s after it was seen: got %d records, want %d", c.after, got, c.want)
		}
	}
}
