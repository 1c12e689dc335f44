package runneragent

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// standinRunner lets an agent call a simulated runner, and can delay calls and answers as a frozen agent process does.
type standinRunner struct {
	standin.TaskRunner
	// beforeSending is called, if set, between the building of the next renewal and its sending, beforeHandling between
	// the runner's next answer to a renewal and its handling.
	beforeSending, beforeHandling func()
	// late is set while the runner carries out starts that reached its earlier life.
	late bool
	// beforeStart is called, if set, before the runner handles a start.
	beforeStart func()
	renewals    []RenewRequest
}

// completeRun has the agent start a run in the life that it knows, which the runner carries out in its present life, and lets
// it end as done.
func (r *standinRunner) completeRun(s *fixture) {
	r.late = true
	defer func() { r.late = false }()
	s.agent.handleOrders(context.Background(), &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: s.agent.life, Task: task, Run: 2}}})
	s.agent.group.Wait()
	r.EndDueRuns(clock.Steady().Add(time.Millisecond))
}

// newStandinFixture returns a fixture whose agent has polled the first life of a simulated runner, in which the end of a
// run was acknowledged.
func newStandinFixture(t *testing.T) (*fixture, *standinRunner) {
	t.Helper()
	s := newFixture(t)
	r := &standinRunner{TaskRunner: standin.TaskRunner{Name: "w1", History: new(standin.History)}}
	r.Restart(clock.Steady())
	s.agent.runner = Runner{Start: r.start, Stop: r.stop, Renew: r.renew}
	s.poll(t)
	s.poll(t) // renews the leases
	s.agent.handleAck(&peer.RunEndsAck{Life: r.StartedAtMS(), LastAckedEnd: 1})
	return s, r
}

func (r *standinRunner) start(_ context.Context, c Call, s *dispatch.Start, leaseEndMS int64) (int64, error) {
	if hold := r.beforeStart; hold != nil {
		hold()
	}
	if c.Life != r.StartedAtMS() && !r.late {
		return 0, errors.Mark(ErrNotSent, ErrNotRun)
	}
	now := clock.Steady()
	if !r.Admit(now, c.Term, leaseEndMS) || r.Start(now, s.Task.String(), s.Run, leaseEndMS, "") != "" {
		return 0, ErrNotRun
	}
	return r.ClockMS(now), nil
}

func (r *standinRunner) stop(_ context.Context, _ Call, task workflow.TaskID, run uint64) error {
	r.Stop(clock.Steady(), task.String(), run)
	return nil
}

func (r *standinRunner) renew(_ context.Context, q RenewRequest) (*Listing, error) {
	if freeze := r.beforeSending; freeze != nil {
		r.beforeSending = nil
		freeze()
	}
	if !q.SendBefore.IsZero() && !clock.Steady().Before(q.SendBefore) || q.Life != 0 && q.Life != r.StartedAtMS() {
		return nil, errors.Mark(ErrNotSent, ErrNotRun)
	}
	now := clock.Steady()
	r.renewals = append(r.renewals, q)
	r.Admit(now, q.Term, q.LeaseEndMS)
	runs, ends := r.List(now, q.LastAckedEnd)
	l := &Listing{ClockMS: r.ClockMS(now), StartedAtMS: r.StartedAtMS()}
	for _, s := range runs {
		id, _ := workflow.ParseTaskID(s.Task)
		l.Runs = append(l.Runs, dispatch.RunStatus{Task: id, Run: s.Run})
	}
	for _, e := range ends {
		id, _ := workflow.ParseTaskID(e.Task)
		l.RunEnds = append(l.RunEnds, dispatch.RunEnd{Number: e.Number, Task: id, Run: e.Run, How: dispatch.OutcomeDone})
	}
	if freeze := r.beforeHandling; freeze != nil {
		r.beforeHandling = nil
		freeze()
	}
	return l, nil
}

// restartDuringFreeze begins another life of the runner during a freeze that is longer than a listing proves a life.
func (r *standinRunner) restartDuringFreeze() {
	time.Sleep(sameLifeFor + 50*time.Millisecond)
	r.Restart(clock.Steady())
}

// restartAtOnce begins another life of the runner, as a supervisor does within milliseconds.
func (r *standinRunner) restartAtOnce() {
	time.Sleep(2 * time.Millisecond)
	r.Restart(clock.Steady())
}

// A runner that restarted while its agent was frozen keeps the ends of its new life until they were reported.
func TestEndOfANewLifeIsNotAcknowledgedFromAStaleListing(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(t *testing.T, s *fixture, r *standinRunner)
	}{
		{"the agent freezes before it handles a listing", func(t *testing.T, s *fixture, r *standinRunner) {
			t.Helper()
			r.beforeHandling = r.restartDuringFreeze
			s.poll(t)
			r.completeRun(s)
			s.poll(t)
		}},
		{"the agent freezes before it sends a renewal", func(t *testing.T, s *fixture, r *standinRunner) {
			t.Helper()
			r.beforeSending = func() {
				r.restartDuringFreeze()
				r.completeRun(s)
			}
			s.poll(t)
		}},
		{"the runner restarts at once before a renewal is sent", func(t *testing.T, s *fixture, r *standinRunner) {
			t.Helper()
			s.agent.mu.Lock()
			s.agent.oldestListedEnd = 1 // the earlier life lists an end that is acknowledged
			s.agent.mu.Unlock()
			r.beforeSending = func() {
				r.restartAtOnce()
				r.Admit(clock.Steady(), 3, 1<<40)
				r.Start(clock.Steady(), task.String(), 2, 1<<40, "") // a start of the earlier life, carried out late
				r.EndDueRuns(clock.Steady().Add(time.Millisecond))
			}
			s.agent.mu.Lock()
			s.agent.unlistedStarts[runKey{task, 2}] = &dispatch.Start{Task: task, Run: 2}
			s.agent.mu.Unlock()
			s.poll(t)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, r := newStandinFixture(t)
			tc.play(t, s, r)
			s.agent.group.Wait()
			if got, want := s.agent.lastEndNumber(), uint64(1); got != want {
				t.Errorf("last end of the new life: got %d, want %d", got, want)
			}
			for _, m := range s.sentSoFar(t, isRefusal) { // the dispatcher starts the task again
				k := m.OrderRefused
				r.Start(clock.Steady(), k.Task.String(), k.Run+1, 1<<40, "")
			}
			for _, v := range r.History.Violations() {
				t.Error(v)
			}
		})
	}
}

// A runner that restarted while its agent was frozen gets no lease that was computed for its earlier life.
func TestLeaseOfAnEarlierLifeIsNotGrantedToTheNext(t *testing.T) {
	for name, restart := range map[string]func(*standinRunner){"during a freeze": (*standinRunner).restartDuringFreeze, "at once": (*standinRunner).restartAtOnce} {
		s, r := newStandinFixture(t)
		r.beforeHandling = func() { restart(r) }
		s.poll(t)
		s.poll(t)
		last := r.renewals[len(r.renewals)-1]
		if got, want := last.LeaseEndMS, int64(0); got != want {
			t.Errorf("%s: lease end sent to the new life: got %d, want %d", name, got, want)
		}
	}
}

// A start that was meant for the life before took effect, with the longest lease that the new life grants.
func TestStartDoesNotReachTheNextLife(t *testing.T) {
	s, r := newStandinFixture(t)
	life := r.StartedAtMS()
	r.beforeStart = r.restartAtOnce
	s.agent.handleOrders(t.Context(), &peer.Orders{Term: 3, Starts: []dispatch.Start{{Worker: "w1", Life: life, Task: task, Run: 2}}})
	s.agent.group.Wait()
	if runs, _ := r.List(clock.Steady(), 0); len(runs) != 0 {
		t.Errorf("runs of the next life: got %v, want none", runs)
	}
	if got := s.next(t, isRefusal).OrderRefused; got.Life != life || got.Run != 2 {
		t.Errorf("refused: got %+v, want run 2 of life %d", got, life)
	}
}

// A listing is never dated later than the runner sent it, and on a slow machine, too, leases are renewed in time.
func TestListingIsNotDatedAfterItsAnswer(t *testing.T) {
	for _, tc := range []struct {
		clockPercent int
		// handledAfter is how long after its answer each listing is handled.
		handledAfter time.Duration
		// wantRenewingPercent is how many of the polls must renew leases.
		wantRenewingPercent int
	}{
		{100, 0, 90}, {98, 0, 80}, {102, 0, 90}, {100, 100 * time.Millisecond, 80}, {98, 150 * time.Millisecond, 60}, {100, 230 * time.Millisecond, 50},
	} {
		a := New(Settings{}, Runner{}, store.Client{}, nil, nil)
		begin := clock.Steady()
		now, lastRenewal := begin, begin
		polls, renewing := 0, 0
		for now.Sub(begin) < 5*time.Minute {
			answered, fresh := now, now.Before(a.sameLifeUntil)
			polls++
			if fresh {
				answered, lastRenewal = now.Add(pollWait), now
				renewing++
			} else if got := now.Sub(lastRenewal); got > leadership.WorkerLeaseDuration/2 {
				t.Fatalf("%+v: no renewal for %s, want one in half of the lease at least", tc, got)
			}
			l := &Listing{StartedAtMS: 1, ClockMS: answered.Sub(begin).Milliseconds() * int64(tc.clockPercent) / 100}
			a.applyListing(answered.Add(tc.handledAfter), now, l)
			if got := a.answeredAfter; got.After(answered) {
				t.Fatalf("%+v: listing dated %s after its answer, want not after it", tc, got.Sub(answered))
			}
			now = answered.Add(tc.handledAfter)
			if !fresh {
				now = now.Add(max(0, minPollInterval-tc.handledAfter))
			}
		}
		if got := renewing * 100 / polls; got < tc.wantRenewingPercent {
			t.Errorf("%+v: polls that renew leases: got %d%%, want at least %d%%", tc, got, tc.wantRenewingPercent)
		}
	}
}
