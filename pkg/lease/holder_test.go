package lease

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

var (
	began    = time.Unix(1_700_000_000, 0)
	testSize = worker.Resources{MilliCPU: 1000}
)

// bed drives a holder round by round.
type bed struct {
	holder Holder
	now    time.Time
	list   Listing
}

func newBed() *bed {
	return &bed{now: began, list: Listing{Incarnation: "1", Total: worker.Resources{MilliCPU: 2000}}}
}

// round lists the worker a second later, follows one reading, and returns the
// reports and actions.
func (b *bed) round(r *Reading) ([]Report, []Action) {
	b.now = b.now.Add(time.Second)
	b.list.Uptime += time.Second
	b.holder.Observe(b.now, &b.list)
	reports := b.holder.Reports(&b.list)
	b.holder.Follow(b.now, r, false)
	return reports, b.holder.Actions()
}

func hold(job string, epoch uint64) record.Hold {
	return record.Hold{Task: record.TaskID{Job: job}, Epoch: record.At(epoch, 0)}
}

func order(h record.Hold) Order {
	return Order{Hold: h, Spec: record.Spec{ID: h.Task.Job, Size: testSize, TakeoverMS: 10_000}}
}

// runs lists a task that the worker runs with a lease up to until.
func (b *bed) runs(h record.Hold, s State, until time.Duration) {
	b.list.Tasks = append(b.list.Tasks, Task{Hold: h, Size: testSize, State: s, Until: until, Terms: New(10 * time.Second)})
}

func acts(actions []Action) []Act {
	var out []Act
	for _, a := range actions {
		out = append(out, a.Act())
	}
	return out
}

func wantActs(t *testing.T, what string, actions []Action, want ...Act) {
	t.Helper()
	got := acts(actions)
	if len(got) != len(want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("%s: got %v, want %v", what, got, want)
		}
	}
}

func TestStartNeedsAReadingThatHeardTheAgent(t *testing.T) {
	b, h := newBed(), hold("job", 9)
	_, actions := b.round(&Reading{Next: record.At(10, 0), Start: []Order{order(h)}})
	wantActs(t, "reading that heard nothing", actions)
	b.round(&Reading{Heard: 1, Next: record.At(9, 0)})
	_, actions = b.round(&Reading{Heard: 2, Next: record.At(10, 0), Start: []Order{order(h)}})
	wantActs(t, "reading that heard round 2", actions, ActStart)
	if got, want := actions[0].Until(), 2*time.Second+9900*time.Millisecond; got != want {
		t.Errorf("lease: got %s, want %s", got, want)
	}
}

func TestLostStartKeepsItsRoom(t *testing.T) {
	b, h := newBed(), hold("job", 9)
	b.round(&Reading{Heard: 1, Next: record.At(9, 0)})
	b.round(&Reading{Heard: 1, Next: record.At(10, 0), Start: []Order{order(h)}})
	if got, want := b.holder.Ledger().Free(), testSize; got != want {
		t.Errorf("free after a start without reply: got %v, want %v", got, want)
	}
	reports, _ := b.round(&Reading{})
	if len(reports) != 0 {
		t.Errorf("reports while the start may arrive: got %v, want none", reports)
	}
	b.list.Uptime += 10 * time.Second
	reports, _ = b.round(&Reading{})
	if len(reports) != 1 || reports[0].State != Stopped {
		t.Errorf("reports after the lease: got %v, want one that says stopped", reports)
	}
}

func TestPredecessorsOrdersAreNotFollowed(t *testing.T) {
	b, old, fresh := newBed(), hold("old", 8), hold("new", 11)
	b.round(&Reading{Heard: 1, Next: record.At(10, 0)})
	_, actions := b.round(&Reading{Heard: 1, Next: record.At(12, 0), Start: []Order{order(fresh), order(old), order(hold("old", 7))}})
	wantActs(t, "no room beside two starts that may arrive", actions)
	b.list.Uptime += 10 * time.Second
	reports, _ := b.round(&Reading{})
	if got, want := len(reports), 3; got != want {
		t.Errorf("reports after the predecessor's leases: got %v, want %d", reports, want)
	}
}

func TestLostVMKeepsAReportedEnd(t *testing.T) {
	b, h := newBed(), hold("job", 8)
	b.runs(h, Succeeded, 5*time.Second)
	b.round(&Reading{Heard: 1, Next: record.At(9, 0)})
	b.list = Listing{Incarnation: "2", Total: b.list.Total}
	reports, actions := b.round(&Reading{Heard: 2, Next: record.At(9, 0), Start: []Order{order(h)}})
	wantActs(t, "order for a task that has ended", actions)
	if len(reports) != 1 || reports[0].State != Succeeded {
		t.Errorf("reports: got %v, want one that says succeeded", reports)
	}
}

func TestEndedTaskStaysUntilItsLeaseHasEnded(t *testing.T) {
	b, h := newBed(), hold("job", 8)
	b.runs(h, Succeeded, 3*time.Second)
	settled := &Reading{Heard: 1, Next: record.At(9, 0), Stop: []Stop{{Hold: h, Settled: true}}}
	_, actions := b.round(settled)
	wantActs(t, "settled before the lease's end", actions)
	b.list.Uptime += 12 * time.Second
	_, actions = b.round(settled)
	wantActs(t, "settled after it", actions, ActRemove)
}

func TestOnlyReportedTasksAreRenewed(t *testing.T) {
	b, h := newBed(), hold("job", 9)
	b.round(&Reading{Heard: 1, Next: record.At(9, 0)})
	b.round(&Reading{Heard: 1, Next: record.At(10, 0), Start: []Order{order(h)}})
	// Another entry's reading in the same round does not name the task.
	b.holder.Follow(b.now, &Reading{Heard: 2, Next: record.At(12, 0)}, false)
	if got, want := b.holder.tasks[h].fresh, uint64(1); got != want {
		t.Errorf("newest round that covers the task: got %d, want %d", got, want)
	}
}

func TestHeardCountsOnlyWhatCameBeforeTheRead(t *testing.T) {
	var h Heard
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
	h.Note(1, at(1))
	h.Note(3, at(3))
	h.Note(2, at(4))
	cases := []struct {
		read time.Time
		want uint64
	}{{at(1), 0}, {at(2), 1}, {at(3), 1}, {at(5), 3}, {at(6), 3}}
	for _, c := range cases {
		if got := h.Before(c.read); got != c.want {
			t.Errorf("read at %s: got round %d, want %d", c.read.Sub(began), got, c.want)
		}
	}
}
