package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// workerEvent is something that happens to the worker w2 in a script of testdata/left_workers.json.
type workerEvent string

// The events of testdata/left_workers.json.
const (
	eventDrains        workerEvent = "drains"
	eventLeaves        workerEvent = "leaves"          // its agent reports that its runner has ended
	eventLeavesPending workerEvent = "leaves, pending" // ... and that a start may still take effect
	eventSilent        workerEvent = "silent"          // its agent has been silent for a second
	eventLeaseOver     workerEvent = "lease over"      // its agent has been silent until its lease has certainly expired
	eventReturns       workerEvent = "returns"         // its agent reports the next life of its runner
	eventStoreDown     workerEvent = "store down"      // the store refuses everything
	eventStoreUp       workerEvent = "store up"
	eventStoreBack     workerEvent = "store back"         // the store is up, and the dispatcher is lost before its next call
	eventDeparts       workerEvent = "departs"            // its agent tells the other entries that it has left in order
	eventDepartsLate   workerEvent = "departs late"       // ... and the dispatcher
	eventNewAgent      workerEvent = "returns, new agent" // a new agent process reports the next life of its runner
	eventSameLife      workerEvent = "new agent"          // a new agent process reports the present life of its runner
	eventStops         workerEvent = "stops"              // its agent stops and tells the other entries by when the leases of its runs end
	eventStopsLate     workerEvent = "stops late"         // ... and the dispatcher
	eventStopOver      workerEvent = "stopped, over"      // the leases of the runs of an agent that has stopped have ended
	eventNextTerm      workerEvent = "next term"          // another entry becomes the dispatcher
	eventEarlierOver   workerEvent = "earlier runs over"  // the leases of earlier terms have certainly expired
)

// rig is a site with three entries, of which at is the dispatcher, and the workers w1 and w2.
type rig struct {
	store   *standin.Store
	entries []*Coordinator
	at      *Coordinator
	life    uint64
	// told holds the registrations that the agents were told of.
	told map[string]uint64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{store: &standin.Store{}, life: 1, told: make(map[string]uint64)}
	for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
		c := newTestEntry(t, name, r.store)
		c.settings.Listen = c.listener.Addr().String() // it accepts connections and answers nothing
		configureQueue(c)
		r.entries = append(r.entries, c)
	}
	mustAppend(t, r.store, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, submission("a"))}})
	r.nextTerm(t)
	return r
}

// nextTerm has the next entry become the dispatcher. w1 reports to it.
func (r *rig) nextTerm(t *testing.T) {
	t.Helper()
	r.at, r.entries = r.entries[0], r.entries[1:]
	becomeDispatcher(t.Context(), t, r.at)
	r.report(reportOf("w1"))
}

// report passes the dispatcher a report of a worker and has it write what is due.
func (r *rig) report(report *peer.Report) {
	r.at.mu.Lock()
	name := report.Worker.Name
	a := r.at.term.agents[name]
	if a == nil {
		a = &agentLink{name: name}
		r.at.term.agents[name] = a
	}
	a.lastContact, a.leaseExpired = clock.Steady(), false
	report.Registration = r.told[name]
	if r.at.term.mustHold(r.at, report) {
		r.at.term.heldReports[name] = report
	} else {
		r.at.term.applyReport(clock.Steady(), r.at, report)
	}
	r.at.mu.Unlock()
	r.write()
	r.at.mu.Lock()
	defer r.at.mu.Unlock()
	if number := r.at.term.roster.Number(name); number != 0 && r.at.term.heldReports[name] == nil {
		r.told[name] = number
	}
}

// write has the dispatcher store what is due. The term ends if that takes long, as when the store is down.
func (r *rig) write() {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r.at.registerWorkers(ctx, r.at.term)
	r.at.mu.Lock()
	r.at.term.renewalDue = true
	r.at.mu.Unlock()
	r.at.flush(ctx, r.at.term)
}

// check has the dispatcher look for leases that have expired, as if the worker w2 had been silent and the term had lasted
// for the given times.
func (r *rig) check(silent, lasted time.Duration) {
	r.at.mu.Lock()
	now := clock.Steady()
	if a := r.at.term.agents["w2"]; a != nil {
		a.lastContact = now.Add(-silent)
	}
	if lasted > 0 {
		r.at.term.predecessor.TermBegan(now.Add(-lasted))
	}
	r.at.term.leaderLease.Renew(now)
	r.at.term.checkWorkers(now, r.at)
	r.at.mu.Unlock()
	r.write()
}

// depart has the agent of w2 tell the other entries that it leaves. Its runs may have leases if it only stops.
func (r *rig) depart(stops bool) *peer.Departure {
	d := &peer.Departure{Worker: "w2", Number: r.told["w2"]}
	if stops {
		d.LeasesEndMS = leadership.WorkerLeaseDuration.Milliseconds()
	}
	delete(r.told, "w2")
	for _, c := range r.entries {
		c.noteDeparture(clock.Steady(), d)
	}
	return d
}

// endStoppedLeases has the time pass at the dispatcher until the leases of the runs at w2 have ended after its agent had
// stopped.
func (r *rig) endStoppedLeases() {
	r.at.mu.Lock()
	defer r.at.mu.Unlock()
	if d, ok := r.at.term.departed["w2"]; ok {
		d.endsBy = clock.Steady()
		r.at.term.departed["w2"] = d
	}
}

func (r *rig) play(t *testing.T, e workerEvent) {
	t.Helper()
	worker := reportOf("w2")
	worker.Worker.Life = r.life
	switch e {
	case eventDrains:
		worker.Worker.Draining, worker.Worker.EndAnnounced = true, true
		r.report(worker)
	case eventLeaves, eventLeavesPending:
		gone := &peer.Report{Worker: dispatch.Worker{Name: "w2"}, RunnerEnded: true}
		if e == eventLeavesPending {
			gone.Runs = []dispatch.RunStatus{{Task: workflow.TaskID{Job: "a"}, Run: 1, Pending: true}}
		}
		r.report(gone)
	case eventSilent:
		r.check(time.Second, 0)
	case eventLeaseOver:
		r.check(time.Minute, 0)
	case eventReturns:
		r.life++
		worker.Worker.Life = r.life
		r.report(worker)
	case eventStoreDown:
		r.store.SetFault(store.ErrRefused, false)
	case eventNewAgent:
		delete(r.told, "w2")
		r.play(t, eventReturns)
	case eventSameLife:
		delete(r.told, "w2")
		r.report(worker)
	case eventDeparts, eventStops:
		r.depart(e == eventStops)
	case eventDepartsLate, eventStopsLate:
		r.at.noteDeparture(clock.Steady(), r.depart(e == eventStopsLate))
		r.check(0, 0)
	case eventStopOver:
		r.endStoppedLeases()
		r.check(0, 0)
	case eventStoreBack:
		r.store.SetFault(nil, false)
	case eventStoreUp:
		r.store.SetFault(nil, false)
		r.write()
	case eventNextTerm:
		r.nextTerm(t)
	case eventEarlierOver:
		r.check(0, time.Minute)
	default:
		t.Fatalf("unknown event %q", e)
	}
}

// A worker that is certainly gone must not hold back the jobs of earlier terms when the next dispatcher takes over from one
// that may still be alive, while one that may run a task must.
func TestWorkerThatLeftDoesNotHoldJobsBack(t *testing.T) {
	var cases []struct {
		Name   string        `json:"name"`
		Events []workerEvent `json:"events"`
		// After holds what happens once the next dispatcher has taken over.
		After []workerEvent `json:"after"`
		// Starts is the number of tasks that the next dispatcher starts at once.
		Starts int `json:"starts"`
	}
	readCases(t, "testdata/left_workers.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.report(reportOf("w2"))
			for _, e := range tc.Events {
				r.play(t, e)
			}
			r.nextTerm(t)
			for _, e := range tc.After {
				r.play(t, e)
			}
			r.at.mu.Lock()
			defer r.at.mu.Unlock()
			r.at.term.checkWorkers(clock.Steady(), r.at)
			if got := len(r.at.term.scheduler.Decide(clock.Steady(), clock.WallMS()).Starts()); got != tc.Starts {
				t.Errorf("starts: got %d, want %d", got, tc.Starts)
			}
		})
	}
}

// A deletion of a name that the store carries out late must not delete the name of a worker that has returned meanwhile:
// the next dispatcher would start tasks that run there.
func TestLateDeletionOfANameSparesAWorkerThatReturned(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.report(reportOf("w2"))
	appendTo, late := r.at.store.Append, []store.AppendRequest(nil)
	r.at.store.Append = func(ctx context.Context, a store.AppendRequest) (uint64, error) {
		if a.Topic == store.TopicWorkers && len(a.Records[0].Value) == 0 {
			late = append(late, a)
			return 0, store.ErrOutcomeUnknown
		}
		return appendTo(ctx, a)
	}
	r.play(t, eventDrains)
	r.play(t, eventLeaves)
	r.at.deleteNames(context.Background(), clock.Steady())
	if len(late) != 1 {
		t.Fatalf("deletions: got %d, want 1", len(late))
	}
	r.play(t, eventReturns)
	if _, err := appendTo(context.Background(), late[0]); err == nil {
		t.Error("late deletion: got it carried out, want it refused")
	}
	r.nextTerm(t)
	if got := r.at.term.roster.Workers(); len(got) != 2 {
		t.Errorf("workers that the next dispatcher waits for: got %v, want both", got)
	}
}

// A dispatcher that does not know that it is superseded must not take a worker off that serves a later one.
func TestSupersededDispatcherTakesNoWorkerOff(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.report(reportOf("w2"))
	superseded, its := r.at, r.at.term
	r.nextTerm(t)
	r.report(reportOf("w2"))
	superseded.mu.Lock()
	its.takeOff(superseded, "w2", "test")
	superseded.mu.Unlock()
	superseded.flush(context.Background(), its)
	superseded.deleteNames(context.Background(), clock.Steady())
	r.nextTerm(t)
	if got := r.at.term.roster.Workers(); len(got) != 2 {
		t.Errorf("workers that the next dispatcher waits for: got %v, want both", got)
	}
}

// The next dispatcher takes the runs of an agent that has stopped for ended at the time that the agent named. A new agent
// process at the worker must not extend their leases under an earlier registration.
func TestLeaseOfAnUnregisteredWorkerIsNotRenewed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.report(reportOf("w2"))
	renewed := func() bool {
		now := clock.Steady()
		r.at.mu.Lock()
		defer r.at.mu.Unlock()
		return r.at.term.renewsLease(now, "w2")
	}
	if !renewed() {
		t.Error("registered worker: got no renewal, want one")
	}
	r.play(t, eventStops)
	r.play(t, eventStoreDown)
	r.play(t, eventSameLife)
	if renewed() {
		t.Error("new agent process whose registration is not stored: got a renewal, want none")
	}
	r.play(t, eventStoreUp)
	if !renewed() {
		t.Error("worker that is registered anew: got no renewal, want one")
	}
}

// Nothing of a worker that has left must stay in the store for good.
func TestWorkerThatLeftLeavesNothing(t *testing.T) {
	for _, tc := range []struct {
		name string
		// takenOver is set if the dispatcher is gone once it has marked the worker.
		takenOver bool
	}{{"the same dispatcher", false}, {"the next dispatcher", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.report(reportOf("w2"))
			r.play(t, eventDrains)
			r.play(t, eventLeaves)
			if tc.takenOver {
				r.nextTerm(t)
			}
			r.at.deleteNames(context.Background(), clock.Steady())
			r.write()
			client := r.store.Client()
			for topic, unwanted := range map[store.Topic]string{store.TopicWorkers: "w2", store.TopicProgress: goneWorkerPrefix + "w2"} {
				records, _, err := client.AllNewest(context.Background(), topic)
				if err != nil {
					t.Fatal(err)
				}
				for _, rec := range records {
					if rec.Key == unwanted {
						t.Errorf("left in the topic %s: got %q, want nothing of the worker", topic, rec.Key)
					}
				}
			}
		})
	}
}

// A worker whose runner has ended, and that no dispatcher has registered, needs no name: its agent may stay for long.
func TestWorkerWithoutARunnerIsNotRegistered(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.play(t, eventLeaves)
	if got := r.at.term.roster.Registered("w2"); got {
		t.Error("registered: got true, want false")
	}
	r.play(t, eventReturns)
	if got := r.at.term.roster.Registered("w2"); !got {
		t.Error("registered with a runner: got false, want true")
	}
}

// A rolling replacement must not let the names grow, nor cost more than two appends of names for each worker.
func TestRollingReplacementKeepsTheRosterSmall(t *testing.T) {
	t.Parallel()
	const workers, replaced = 20, 200
	r := newRig(t)
	appends, appendTo := 0, r.at.store.Append
	r.at.store.Append = func(ctx context.Context, a store.AppendRequest) (uint64, error) {
		if a.Topic == store.TopicWorkers {
			appends++
		}
		return appendTo(ctx, a)
	}
	name := func(i int) string { return fmt.Sprintf("rolling-%03d", i) }
	now := clock.Steady()
	for i := range workers + replaced {
		joining := reportOf(name(i))
		r.report(joining)
		if i < workers {
			continue
		}
		leaving := reportOf(name(i - workers))
		leaving.Worker.EndAnnounced = true
		r.report(leaving)
		r.report(&peer.Report{Worker: dispatch.Worker{Name: name(i - workers)}, RunnerEnded: true})
		now = now.Add(nameDeletionInterval)
		r.at.deleteNames(context.Background(), now)
		r.write()
	}
	names, err := r.at.readNames(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(names.registrations), workers+1; got != want { // w1, too
		t.Errorf("names: got %d, want %d", got, want)
	}
	if got, limit := appends, workers+2*replaced; got > limit {
		t.Errorf("appends of names: got %d, want at most %d", got, limit)
	}
}
