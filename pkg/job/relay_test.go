package job

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

var relayBegan = time.Unix(1_700_000_000, 0)

// assigned returns a fold in which worker-1 holds the one task of a job.
func assigned(t *testing.T) (*Fold, record.Hold) {
	t.Helper()
	f := new(Fold)
	id := record.TaskID{Job: "job"}
	messages := []record.Message{
		&record.Submit{Spec: record.Spec{ID: "job", Tasks: 1, MaxFailures: 2, TakeoverMS: 5000}},
		&record.Assign{Placements: []record.Placement{{Task: id, Worker: "worker-1"}}},
	}
	for i, m := range messages {
		if err := f.Apply(record.New(record.At(uint64(i), 0), "entry", uint64(i+1), m)); err != nil {
			t.Fatal(err)
		}
		f.Advance(uint64(i) + 1)
	}
	return f, record.Hold{Task: id, Epoch: record.At(1, 0)}
}

func TestAnswerFollowsAReplacedAgentWhoseClockWentBack(t *testing.T) {
	f, _ := assigned(t)
	var r Relay
	r.Read(relayBegan)
	beat := func(after time.Duration, incarnation, round uint64) int {
		now := relayBegan.Add(after)
		reading, _ := r.Answer(now, f, &Beat{Worker: "worker-1", Incarnation: incarnation, Round: round, Ready: true})
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
		{"older number after silence", 10 * time.Second, 40, 1},
		{"newer agent", 11 * time.Second, 60, 1},
	}
	for i, c := range cases {
		if got := beat(c.after, c.incarnation, uint64(i+1)); got != c.want {
			t.Errorf("%s: got %d orders, want %d", c.what, got, c.want)
		}
	}
}

func TestAnswerStopsWhatTheLogHasEnded(t *testing.T) {
	f, h := assigned(t)
	if err := f.Apply(record.New(record.At(2, 0), "entry", 3, &record.Cancel{Jobs: []string{"job"}})); err != nil {
		t.Fatal(err)
	}
	f.Advance(3)
	var r Relay
	r.Read(relayBegan)
	unreported := &Beat{Worker: "worker-1", Incarnation: 1, Round: 1, Ready: true}
	reading, _ := r.Answer(relayBegan, f, unreported)
	if got, want := len(reading.Stop), 1; got != want || len(reading.Start) != 0 {
		t.Fatalf("cancelled before the start: got %d stops and %d orders, want %d and none", got, len(reading.Start), want)
	}
	stopped := *unreported
	stopped.Primary = true
	stopped.Reports = []lease.Report{{Hold: h, State: lease.Stopped}}
	_, records := r.Answer(relayBegan, f, &stopped)
	if got, want := len(records), 1; got != want {
		t.Fatalf("records of a stop: got %d, want %d", got, want)
	}
	if err := f.Apply(record.New(record.At(3, 0), "entry", 4, records[0])); err != nil {
		t.Fatal(err)
	}
	j, _ := f.Job("job")
	if got, want := j.Phase(), Cancelled; got != want {
		t.Errorf("phase: got %s, want %s", got, want)
	}
}

func TestTakerWaitsFromWhenItSawTheRevocation(t *testing.T) {
	f, h := assigned(t)
	var taker Taker
	now := relayBegan
	taker.Heard("worker-1", now)
	now = now.Add(LostAfter + time.Second)
	if got, want := len(taker.Suspects(now, f)), 1; got != want {
		t.Fatalf("suspects: got %d, want %d", got, want)
	}
	if got := taker.Decide(now, f); len(got) != 0 {
		t.Fatalf("before any other entry was asked: got %v, want nothing", got)
	}
	taker.Confirm(now, "worker-1")
	if got := taker.Decide(now, f); len(got) != 1 {
		t.Fatalf("lost worker: got %v, want a revocation", got)
	}
	// The append takes ten seconds.
	now = now.Add(10 * time.Second)
	if err := f.Apply(record.New(record.At(2, 0), "entry", 3, &record.Revoke{Holds: []record.Hold{h}})); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {5 * time.Second, 0}, {5051 * time.Millisecond, 1}} {
		if got := len(taker.Decide(now.Add(c.after), f)); got != c.want {
			t.Errorf("%s after it was seen: got %d records, want %d", c.after, got, c.want)
		}
	}
}
