package lease

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

var (
	testStart = time.Unix(1_700_000_000, 0)
	testSize  = worker.Resources{MilliCPU: 1000}
)

// testBench runs a Holder round by round.
type testBench struct {
	holder  Holder
	now     time.Time
	listing Listing
}

func newTestBench() *testBench {
	return &testBench{now: testStart, listing: Listing{Incarnation: "1", Total: worker.Resources{MilliCPU: 2000}}}
}

// round lets a second pass, lists the tasks, applies one log reading, and returns the
// round's reports and actions.
func (b *testBench) round(r *LogReading) ([]Report, []Action) {
	b.now = b.now.Add(time.Second)
	b.listing.Uptime += time.Second
	b.holder.Observe(b.now, &b.listing)
	reports := b.holder.Reports(&b.listing)
	b.holder.Apply(b.now, r, false)
	return reports, b.holder.Actions()
}

// assignment returns the assignment of a job's task that the log has at position epoch.
func assignment(job string, epoch uint64) record.AssignmentID {
	return record.AssignmentID{Task: record.TaskID{Job: job}, Epoch: record.NewPosition(epoch, 0)}
}

// order returns a start order for an assignment, with a takeover time of 10 s.
func order(h record.AssignmentID) StartOrder {
	return StartOrder{Hold: h, Spec: record.Spec{ID: h.Task.Job, Size: testSize, TakeoverMS: 10_000}}
}

// addTask adds a task to the worker's listing; its lease ends at leaseEnd on the worker's clock.
func (b *testBench) addTask(h record.AssignmentID, s State, leaseEnd time.Duration) {
	b.listing.Tasks = append(b.listing.Tasks, Task{Hold: h, Size: testSize, State: s, Until: leaseEnd, Terms: NewTerms(10 * time.Second)})
}

func kindsOf(actions []Action) []ActionKind {
	var out []ActionKind
	for _, a := range actions {
		out = append(out, a.Kind())
	}
	return out
}

// wantKinds fails the test unless the actions are of the kinds wanted, in this order.
func wantKinds(t *testing.T, what string, actions []Action, want ...ActionKind) {
	t.Helper()
	got := kindsOf(actions)
	if len(got) != len(want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("%s: got %v, want %v", what, got, want)
		}
	}
}

func TestStartNeedsAReadBegunAfterTheHeartbeat(t *testing.T) {
	b, h := newTestBench(), assignment("job", 9)
	_, actions := b.round(&LogReading{NextPosition: record.NewPosition(10, 0), Start: []StartOrder{order(h)}})
	wantKinds(t, "log reading without a heartbeat round", actions)
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(9, 0)})
	_, actions = b.round(&LogReading{HeartbeatRound: 2, NextPosition: record.NewPosition(10, 0), Start: []StartOrder{order(h)}})
	wantKinds(t, "log reading of heartbeat round 2", actions, ActionStart)
	if got, want := actions[0].LeaseEnd(), 2*time.Second+9900*time.Millisecond; got != want {
		t.Errorf("lease: got %s, want %s", got, want)
	}
}

func TestLostStartKeepsItsRoom(t *testing.T) {
	b, h := newTestBench(), assignment("job", 9)
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(9, 0)})
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(10, 0), Start: []StartOrder{order(h)}})
	if got, want := b.holder.Ledger().Free(), testSize; got != want {
		t.Errorf("free resources after a start without reply: got %v, want %v", got, want)
	}
	reports, _ := b.round(&LogReading{})
	if len(reports) != 0 {
		t.Errorf("reports while the start may still arrive: got %v, want none", reports)
	}
	b.listing.Uptime += 10 * time.Second
	reports, _ = b.round(&LogReading{})
	if len(reports) != 1 || reports[0].State != Stopped {
		t.Errorf("reports after the lease: got %v, want one that says stopped", reports)
	}
}

func TestPredecessorsOrdersAreNotFollowed(t *testing.T) {
	b, old, fresh := newTestBench(), assignment("old", 8), assignment("new", 11)
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(10, 0)})
	_, actions := b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(12, 0), Start: []StartOrder{order(fresh), order(old), order(assignment("old", 7))}})
	wantKinds(t, "resources reserved for two starts that may arrive", actions)
	b.listing.Uptime += 10 * time.Second
	reports, _ := b.round(&LogReading{})
	if got, want := len(reports), 3; got != want {
		t.Errorf("reports after the predecessor's leases: got %v, want %d", reports, want)
	}
}

func TestLostVMKeepsAReportedEnd(t *testing.T) {
	b, h := newTestBench(), assignment("job", 8)
	b.addTask(h, Succeeded, 5*time.Second)
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(9, 0)})
	b.listing = Listing{Incarnation: "2", Total: b.listing.Total}
	reports, actions := b.round(&LogReading{HeartbeatRound: 2, NextPosition: record.NewPosition(9, 0), Start: []StartOrder{order(h)}})
	wantKinds(t, "order for a task that has ended", actions)
	if len(reports) != 1 || reports[0].State != Succeeded {
		t.Errorf("reports: got %v, want one that says succeeded", reports)
	}
}

func TestEndedTaskStaysUntilItsLeaseHasEnded(t *testing.T) {
	b, h := newTestBench(), assignment("job", 8)
	b.addTask(h, Succeeded, 3*time.Second)
	settled := &LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(9, 0), Stop: []StopOrder{{Hold: h, Settled: true}}}
	_, actions := b.round(settled)
	wantKinds(t, "settled before the lease's end", actions)
	b.listing.Uptime += 12 * time.Second
	_, actions = b.round(settled)
	wantKinds(t, "settled after the lease's end", actions, ActionRemove)
}

func TestOnlyReportedTasksAreRenewed(t *testing.T) {
	b, h := newTestBench(), assignment("job", 9)
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(9, 0)})
	b.round(&LogReading{HeartbeatRound: 1, NextPosition: record.NewPosition(10, 0), Start: []StartOrder{order(h)}})
	// Another entry's log reading in the same round does not name the task.
	b.holder.Apply(b.now, &LogReading{HeartbeatRound: 2, NextPosition: record.NewPosition(12, 0)}, false)
	if got, want := b.holder.tasks[h].confirmedRound, uint64(1); got != want {
		t.Errorf("newest round that confirms the task: got %d, want %d", got, want)
	}
}

func TestHeartbeatTrackerCountsOnlyHeartbeatsBeforeTheRead(t *testing.T) {
	var h HeartbeatTracker
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	h.Record(1, at(1))
	h.Record(3, at(3))
	h.Record(2, at(4))
	cases := []struct {
		read time.Time
		want uint64
	}{{at(1), 0}, {at(2), 1}, {at(3), 1}, {at(5), 3}, {at(6), 3}}
	for _, c := range cases {
		if got := h.NewestRoundBefore(c.read); got != c.want {
			t.Errorf("read at %s: got round %d, want %d", c.read.Sub(testStart), got, c.want)
		}
	}
}
