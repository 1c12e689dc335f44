package runneragent

import (
	"context"
	"io"
	"net"
	"slices"
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
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// fakeRunner is a runner whose answers to starts can be lost.
type fakeRunner struct {
	mu      sync.Mutex
	listing Listing
	// startErr is returned by a start, which takes effect if startTakesEffect is set.
	startErr         error
	startTakesEffect bool
	// fenced are runs that were stopped without having started.
	fenced   []runKey
	renewals []RenewRequest
	percents map[runKey]int
	// gone is set while the runner does not listen.
	gone bool
	// stopErr is returned by a stop, which has no effect if it is set.
	stopErr error
	// beforeFailure is called, if set, before a renewal of a runner that is gone returns.
	beforeFailure func()
}

// functions returns the functions that call f.
func (f *fakeRunner) functions() Runner {
	return Runner{Start: f.start, Stop: f.stop, Renew: f.renew, SetPace: f.pace}
}

func (f *fakeRunner) start(_ context.Context, _ Call, s *dispatch.Start, _ int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startTakesEffect {
		f.listing.Runs = append(f.listing.Runs, dispatch.RunStatus{Task: s.Task, Run: s.Run})
	}
	return f.listing.ClockMS, f.startErr
}

func (f *fakeRunner) stop(_ context.Context, _ Call, task workflow.TaskID, run uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopErr != nil {
		return f.stopErr
	}
	for i, r := range f.listing.Runs {
		if r.Task == task && r.Run == run {
			f.listing.Runs = slices.Delete(f.listing.Runs, i, i+1)
			f.listing.RunEnds = append(f.listing.RunEnds, dispatch.RunEnd{Number: uint64(len(f.listing.RunEnds) + 1), Task: task, Run: run, How: dispatch.OutcomeStopped})
			return nil
		}
	}
	f.fenced = append(f.fenced, runKey{task, run})
	return nil
}

func (f *fakeRunner) renew(_ context.Context, h RenewRequest) (*Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewals = append(f.renewals, h)
	if f.gone {
		if hook := f.beforeFailure; hook != nil {
			f.mu.Unlock()
			hook()
			f.mu.Lock()
		}
		return nil, errors.Mark(errors.New("refused"), ErrNotListening)
	}
	f.listing.ClockMS++
	l := f.listing
	l.Runs, l.RunEnds = slices.Clone(l.Runs), slices.Clone(l.RunEnds)
	return &l, nil
}

func (f *fakeRunner) pace(_ context.Context, _ Call, task workflow.TaskID, run uint64, percent int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.percents == nil {
		f.percents = make(map[runKey]int)
	}
	f.percents[runKey{task, run}] = percent
	return nil
}

// fixture is an agent that is connected to a dispatcher.
type fixture struct {
	agent    *Agent
	runner   *fakeRunner
	store    *standin.Store
	received chan *peer.Message
}

// newFixture returns an agent that is connected to the dispatcher of term 3, has a worker lease,
// and has polled life 7 of its runner and renewed its leases.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{runner: &fakeRunner{listing: Listing{ClockMS: 1000, StartedAtMS: 7}}, store: &standin.Store{}, received: make(chan *peer.Message, 64)}
	for range 3 {
		s.claim(t, "entry-a")
	}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	s.agent = New(Settings{Name: "w1"}, s.runner.functions(), s.store.Client(), logger, gometrics.NewRegistry())
	here, there := net.Pipe()
	conn, dispatcher := peer.NewConn(here), peer.NewConn(there)
	var group sync.WaitGroup
	group.Go(func() { _ = conn.Run(&group, func(*peer.Message) {}) })
	group.Go(func() { _ = dispatcher.Run(&group, func(m *peer.Message) { s.received <- m }) })
	t.Cleanup(func() {
		conn.Close()
		dispatcher.Close()
		group.Wait()
		s.agent.group.Wait()
	})
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 7, Seq: 1, Service: "bench"})
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	s.agent.mu.Lock()
	s.agent.term, s.agent.conn = 3, conn
	s.agent.workerLease.Renew(clock.Steady())
	s.agent.connReportedAt = clock.Steady()
	s.agent.mu.Unlock()
	s.poll(t)
	return s
}

// claim stores the claim of an entry to the next term.
func (s *fixture) claim(t *testing.T, entry string) {
	t.Helper()
	r, err := store.ClaimRecord(&leadership.Claim{Entry: entry, Address: entry})
	if err == nil {
		_, err = s.store.Client().Append(t.Context(), store.AppendRequest{Topic: store.TopicLeadership, Records: []store.Record{r}})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// next returns the next message of the wanted kind.
func (s *fixture) next(t *testing.T, wanted func(*peer.Message) bool) *peer.Message {
	t.Helper()
	for {
		select {
		case m := <-s.received:
			if wanted(m) {
				return m
			}
		case <-time.After(20 * time.Second):
			t.Fatal("got no such message, want one")
		}
	}
}

var task = workflow.TaskID{Job: "5c", Step: 1}

// startOrders returns orders of a term that start run 2 of task in life 7 of the runner, as
// newFixture sets it up.
func startOrders(term uint64) *peer.Orders {
	return &peer.Orders{Term: term, Starts: []dispatch.Start{{Worker: "w1", Life: 7, Task: task, Run: 2}}}
}

// A start without an answer that the runner does not list is fenced at the runner
// before the agent tells the dispatcher that the order is refused.
func TestUnansweredStartIsFenced(t *testing.T) {
	s := newFixture(t)
	s.runner.startErr = ErrNoAnswer
	s.agent.handleOrders(context.Background(), startOrders(3))
	m := s.next(t, func(m *peer.Message) bool { return m.OrderRefused != nil })
	if m.OrderRefused.Task != task || m.OrderRefused.Run != 2 {
		t.Errorf("refused: got %+v, want run 2 of %s", m.OrderRefused, task)
	}
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	if !slices.Contains(s.runner.fenced, runKey{task, 2}) {
		t.Errorf("fenced: got %v, want run 2 of %s", s.runner.fenced, task)
	}
}

// An agent that stops before the runner has confirmed that a run never starts does not say that it does
// not: the start may still take effect.
func TestStoppingAgentDoesNotRefuse(t *testing.T) {
	s := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.agent.fence(ctx, 7, runKey{task, 2}, "the runner did not answer the start")
	s.agent.mu.Lock()
	s.agent.conn.Send(&peer.Message{Ping: &peer.Ping{Seq: 99}})
	s.agent.mu.Unlock()
	for {
		m := s.next(t, func(*peer.Message) bool { return true })
		if m.OrderRefused != nil {
			t.Errorf("refused: got %+v, want nothing", m.OrderRefused)
		}
		if m.Ping != nil && m.Ping.Seq == 99 {
			return
		}
	}
}

// A start without an answer that took effect is not fenced.
func TestUnansweredStartRuns(t *testing.T) {
	s := newFixture(t)
	s.runner.startErr, s.runner.startTakesEffect = ErrNoAnswer, true
	s.agent.handleOrders(context.Background(), startOrders(3))
	s.agent.group.Wait()
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	if len(s.agent.unlistedStarts) != 0 || len(s.agent.runs) != 1 || len(s.runner.fenced) != 0 {
		t.Errorf("got starts not listed %v, runs %v, fenced %v; want one run and nothing else", s.agent.unlistedStarts, s.agent.runs, s.runner.fenced)
	}
}

func TestRefusedOrders(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *fixture, o *peer.Orders)
	}{
		{"the runner did not carry it out", func(s *fixture, _ *peer.Orders) { s.runner.startErr = ErrNotRun }},
		{"the order is for another life", func(_ *fixture, o *peer.Orders) { o.Starts[0].Life = 6 }},
		{"no worker lease", func(s *fixture, _ *peer.Orders) { s.agent.workerLease = leadership.WorkerLease{} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			o := startOrders(3)
			tc.change(s, o)
			s.agent.handleOrders(context.Background(), o)
			s.next(t, func(m *peer.Message) bool { return m.OrderRefused != nil })
			s.agent.group.Wait()
			if len(s.runner.listing.Runs) != 0 {
				t.Errorf("runs: got %v, want none", s.runner.listing.Runs)
			}
		})
	}
}

// Orders of an earlier term are not carried out.
func TestOrdersOfEarlierTerm(t *testing.T) {
	s := newFixture(t)
	s.runner.startTakesEffect = true
	s.agent.handleOrders(context.Background(), startOrders(2))
	s.agent.group.Wait()
	if len(s.runner.listing.Runs) != 0 {
		t.Errorf("runs: got %v, want none", s.runner.listing.Runs)
	}
}

// An agent without a runner must report to a new dispatcher all the same: the
// dispatcher waits for the reports of all workers before it starts tasks of earlier terms again.
func TestJoinWithoutRunner(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.mu.Unlock()
	s.agent.mu.Lock()
	conn := s.agent.conn
	s.agent.conn = nil
	s.agent.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !s.agent.joinTerm(ctx, conn, 4) {
		t.Fatal("join: got false, want true")
	}
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if m.Report.Worker.Name != "w1" || m.Report.Worker.Life != 0 {
		t.Errorf("report: got %+v, want an empty one of w1", m.Report)
	}
}

// A runner that does not answer may still have runs until the last run lease, which
// an earlier agent process may have renewed, has expired.
func TestSilentRunnerIsNotEmpty(t *testing.T) {
	s := newFixture(t)
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	if s.agent.leasesExpired(clock.Steady()) {
		t.Error("within the lease: got ended, want not")
	}
	s.agent.lastRunLeaseEnd = clock.Steady().Add(-time.Second)
	if !s.agent.leasesExpired(clock.Steady()) {
		t.Error("after the lease: got not ended, want ended")
	}
}

// A life of the runner whose heartbeat arrives before the first poll in that life is
// reported as not draining.
func TestLifeWithEarlyHeartbeatIsReported(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.gone = true
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); !errors.Is(err, ErrNotListening) {
		t.Fatalf("got %v, want %v", err, ErrNotListening)
	}
	s.next(t, func(m *peer.Message) bool { return m.Report != nil && m.Report.Worker.Life == 0 })
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-2", StartedAtMS: 8, Seq: 1, Service: "bench"})
	s.runner.mu.Lock()
	s.runner.gone, s.runner.listing = false, Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if m.Report.Worker.Life != 8 || m.Report.Worker.Draining {
		t.Errorf("got %+v, want life 8, ready", m.Report.Worker)
	}
}

// Run leases end no later than the worker lease on the slowest clock allowed.
func TestRunLeaseStaysWithinWorkerLease(t *testing.T) {
	s := newFixture(t)
	a := s.agent
	now := clock.Steady()
	a.workerLease.Renew(now)
	a.runnerClockMS, a.runnerClockReadAt = 50_000, now.Add(-time.Second)
	left := a.workerLease.Remaining(now)
	leaseEndMS := a.runLeaseEndMS(now)
	slowest := time.Duration(leaseEndMS-a.runnerClockMS) * time.Millisecond * 102 / 100
	if end := a.runnerClockReadAt.Add(slowest); end.After(now.Add(left)) {
		t.Errorf("the run lease ends %v after the worker lease, want no later", end.Sub(now.Add(left)))
	}
	if got := a.runLeaseEndMS(now.Add(left)); got != 0 {
		t.Errorf("after the worker lease: got a run lease until %d, want none", got)
	}
}

// Once no runner listens, an empty worker is reported. Once the runner listens again and the dispatcher
// has read that report, the runner's life is reported again.
func TestGoneRunnerIsReported(t *testing.T) {
	s := newFixture(t)
	s.runner.gone = true
	if err := s.agent.poll(context.Background(), 0); !errors.Is(err, ErrNotListening) {
		t.Fatalf("got %v, want %v", err, ErrNotListening)
	}
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if m.Report.Worker.Life != 0 {
		t.Errorf("life: got %d, want 0", m.Report.Worker.Life)
	}
	s.answerPing(t)
	s.runner.gone = false
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	m = s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if m.Report.Worker.Life != 7 {
		t.Errorf("life after its return: got %d, want 7", m.Report.Worker.Life)
	}
}

// Delayed heartbeats and heartbeats of an earlier life are ignored.
func TestOldHeartbeat(t *testing.T) {
	s := newFixture(t)
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 7, Seq: 5, Service: "bench", Draining: true})
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 7, Seq: 4, Service: "bench"})
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-0", StartedAtMS: 6, Seq: 9, Service: "bench"})
	if got := s.agent.describeWorker(); !got.Draining {
		t.Errorf("got %+v, want it draining", got)
	}
}

// The dispatcher learns at once of another capacity that the runner reports, and keeps it when an older
// heartbeat arrives late.
func TestAnotherCapacityIsSentAtOnce(t *testing.T) {
	s := newFixture(t)
	for i, cpu := range []int64{16000, 4000, 8000} {
		want := worker.Resources{MilliCPU: cpu, MemoryMB: 64000}
		s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 7, Seq: uint64(i + 2), Service: "bench", Capacity: want})
		m := s.next(t, func(m *peer.Message) bool { return m.Ping != nil })
		if got := m.Ping.Worker.Capacity; got != want {
			t.Errorf("ping %d: got capacity %+v, want %+v", i, got, want)
		}
	}
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 7, Seq: 3, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000}})
	if got, want := s.agent.describeWorker().Capacity.MilliCPU, int64(8000); got != want {
		t.Errorf("after an outdated heartbeat: got %d, want %d", got, want)
	}
}

// A life that the runner lists before its first heartbeat of it has no capacity of the earlier life.
func TestListedLifeHasNoEarlierCapacity(t *testing.T) {
	s := newFixture(t)
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 7, Seq: 2, Service: "bench", Capacity: worker.Resources{MilliCPU: 16000}})
	s.runner.mu.Lock()
	s.runner.listing = Listing{ClockMS: 1, StartedAtMS: 8}
	s.runner.mu.Unlock()
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	m := s.next(t, func(m *peer.Message) bool { return m.Report != nil })
	if w := m.Report.Worker; w.Life != 8 || !w.Draining || w.Capacity != (worker.Resources{}) {
		t.Errorf("got %+v, want life 8, draining, without capacity", w)
	}
	want := worker.Resources{MilliCPU: 4000}
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 8, Seq: 1, Service: "bench", Capacity: want})
	m = s.next(t, func(m *peer.Message) bool { return m.Ping != nil && m.Ping.Worker.Life == 8 })
	if w := m.Ping.Worker; w.Draining || w.Capacity != want {
		t.Errorf("after its heartbeat: got %+v, want it ready with %+v", w, want)
	}
}

// Run ends are sent once, and acknowledged to the runner once the dispatcher has stored them.
func TestRunEndsAreReportedOnce(t *testing.T) {
	s := newFixture(t)
	s.runner.mu.Lock()
	s.runner.listing.RunEnds = []dispatch.RunEnd{{Number: 1, Task: task, Run: 1, How: dispatch.OutcomeDone}}
	s.runner.mu.Unlock()
	for range 3 {
		if err := s.agent.poll(context.Background(), 0); err != nil {
			t.Fatal(err)
		}
	}
	m := s.next(t, func(m *peer.Message) bool { return m.RunEnds != nil })
	if len(m.RunEnds.Ends) != 1 {
		t.Errorf("ends: got %v, want one", m.RunEnds.Ends)
	}
	s.agent.handleAck(&peer.RunEndsAck{Life: 6, LastAckedEnd: 9})
	s.agent.handleAck(&peer.RunEndsAck{Life: 7, LastAckedEnd: 1})
	if err := s.agent.poll(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	if got := s.runner.renewals[len(s.runner.renewals)-1].LastAckedEnd; got != 1 {
		t.Errorf("acknowledged: got %d, want 1", got)
	}
	select {
	case m := <-s.received:
		if m.RunEnds != nil {
			t.Errorf("got %v again, want it sent once", m.RunEnds)
		}
	default:
	}
}

// A best-effort run with high interference is slowed down, also the first time it is seen.
func TestGuardPacesNewRuns(t *testing.T) {
	var g guard
	fill := workflow.TaskID{Job: "f"}
	g.addTasks([]dispatch.GuardedTask{{Task: task, TargetMS: 10}, {Task: fill, Fills: true, Harm: 0.9}})
	now := clock.Steady()
	rows := []dispatch.RunStatus{{Task: task, Run: 1, Reading: 50}, {Task: fill, Run: 1, Reading: 1000}}
	var last []paceChange
	for i := range 8 {
		if changes, _ := g.decide(now.Add(time.Duration(i)*400*time.Millisecond), rows); len(changes) > 0 {
			last = changes
		}
	}
	if len(last) != 1 || last[0].percent != 0 {
		t.Fatalf("changes: got %v, want the best-effort run paced to 0", last)
	}
	g.pacePercents[runKey{fill, 1}] = 0
	rows[1].Run = 2
	changes, _ := g.decide(now.Add(3300*time.Millisecond), rows)
	if len(changes) != 1 || changes[0].key.run != 2 || changes[0].percent != 0 {
		t.Errorf("changes: got %v, want run 2 paced to 0", changes)
	}
}
