package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// pipedConn returns a connection whose other side nobody reads.
func pipedConn(t *testing.T) *peer.Conn {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() { _ = here.Close(); _ = there.Close() })
	return peer.NewConn(here)
}

// admitSingle has the scheduler admit a job with one task.
func admitSingle(current *term, id string) workflow.TaskID {
	current.scheduler.Admit(clock.Steady(), clock.WallMS(), submission(id), nil, true)
	return workflow.TaskID{Job: id}
}

// acknowledgedEnd returns the number of the last end that is to be acknowledged to a worker.
func acknowledgedEnd(current *term, worker string) uint64 {
	var last uint64
	current.scheduler.TakeChange().EachAck(func(w string, _, end uint64) {
		if w == worker {
			last = end
		}
	})
	return last
}

// done returns a message with the end of a run as done, the end after the one with number after.
func done(after uint64, task workflow.TaskID) *peer.Message {
	return &peer.Message{RunEnds: &peer.RunEnds{Life: 1, After: after, Ends: []dispatch.RunEnd{{Number: after + 1, Task: task, Run: 1, How: dispatch.OutcomeDone}}}}
}

func TestEndThatArrivesWhileTheReportIsHeldIsNotAcknowledgedUnseen(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	a, b := admitSingle(current, "a"), admitSingle(current, "b")
	conn, hello := pipedConn(t), &peer.Hello{Role: peer.RoleAgent, Name: "w1"}
	c.handleAgentMessage(conn, hello, &peer.Message{Report: reportOf("w1")})
	c.handleAgentMessage(conn, hello, done(0, a))
	c.registerWorkers(context.Background(), current)
	c.handleAgentMessage(conn, hello, done(1, b))
	c.mu.Lock()
	defer c.mu.Unlock()
	phase, _ := current.scheduler.Phase("a")
	if got := acknowledgedEnd(current, "w1"); got > 0 && phase != workflow.PhaseCompleted {
		t.Errorf("with job a in phase %s: got ends up to %d acknowledged, want none", phase, got)
	}
}

// startsAfter returns the tasks that the scheduler starts, given that no run of an earlier term is left.
func startsAfter(current *term) []workflow.TaskID {
	current.scheduler.ExpireEarlierTerms(nil)
	var out []workflow.TaskID
	for _, s := range current.scheduler.Decide(clock.Steady(), clock.WallMS()).Starts() {
		out = append(out, s.Task)
	}
	return out
}

func TestHeldReportFollowsWhatArrivesMeanwhile(t *testing.T) {
	task := workflow.TaskID{Job: "a"}
	for _, tc := range []struct {
		name    string
		arrives *peer.Message
		// starts is the number of starts of the task, phase that of its job afterwards.
		starts int
		phase  workflow.Phase
	}{
		{"nothing", &peer.Message{Ping: &peer.Ping{Seq: 1}}, 0, workflow.PhaseRunning},
		{"the run ends as done", done(0, task), 0, workflow.PhaseCompleted},
		{"the run is refused", &peer.Message{OrderRefused: &peer.OrderRefused{Life: 1, Task: task, Run: 1}}, 1, workflow.PhaseRunning},
		{"a run of another life is refused", &peer.Message{OrderRefused: &peer.OrderRefused{Life: 2, Task: task, Run: 1}}, 0, workflow.PhaseRunning},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, current := newDispatcher(t, &standin.Store{})
			admitSingle(current, "a")
			conn, hello := pipedConn(t), &peer.Hello{Role: peer.RoleAgent, Name: "w1"}
			r := reportOf("w1")
			r.Runs = []dispatch.RunStatus{{Task: task, Run: 1}}
			c.handleAgentMessage(conn, hello, &peer.Message{Report: r})
			c.handleAgentMessage(conn, hello, tc.arrives)
			c.registerWorkers(context.Background(), current)
			c.mu.Lock()
			defer c.mu.Unlock()
			if got := len(startsAfter(current)); got != tc.starts {
				t.Errorf("starts: got %d, want %d", got, tc.starts)
			}
			if got, _ := current.scheduler.Phase("a"); got != tc.phase {
				t.Errorf("phase: got %s, want %s", got, tc.phase)
			}
		})
	}
}

func TestHeldReportIsDroppedWithTheLease(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	task := admitSingle(current, "a")
	conn, hello := pipedConn(t), &peer.Hello{Role: peer.RoleAgent, Name: "w1"}
	r := reportOf("w1")
	r.Runs = []dispatch.RunStatus{{Task: task, Run: 1}}
	c.handleAgentMessage(conn, hello, &peer.Message{Report: r})
	c.mu.Lock()
	now := clock.Steady()
	current.agents["w1"].lastContact = now.Add(-time.Minute)
	current.leaderLease.Renew(now)
	current.checkWorkers(now, c)
	c.mu.Unlock()
	c.registerWorkers(context.Background(), current)
	c.mu.Lock()
	defer c.mu.Unlock()
	current.applyReport(now, c, reportOf("w2"))
	if got, want := len(startsAfter(current)), 1; got != want {
		t.Errorf("starts of the task whose run has ended with its lease: got %d, want %d", got, want)
	}
}

// A task that the dispatcher had been told is done was started again, as the report that said so was dropped.
func TestEndsInAHeldReportCountWhenItIsDropped(t *testing.T) {
	task := workflow.TaskID{Job: "a"}
	for _, tc := range []struct {
		name string
		// drop makes the dispatcher drop the held report that arrived on conn.
		drop func(c *Coordinator, current *term, conn *peer.Conn, hello *peer.Hello)
	}{
		{"with the lease", func(c *Coordinator, current *term, _ *peer.Conn, _ *peer.Hello) {
			c.mu.Lock()
			defer c.mu.Unlock()
			now := clock.Steady()
			current.agents["w1"].lastContact = now.Add(-time.Minute)
			current.leaderLease.Renew(now)
			current.checkWorkers(now, c)
		}},
		{"a new agent process reports a runner that has gone", func(c *Coordinator, _ *term, conn *peer.Conn, hello *peer.Hello) {
			c.handleAgentMessage(conn, hello, &peer.Message{Report: lifeOf(0)})
		}},
		{"a new agent process reports another life", func(c *Coordinator, _ *term, conn *peer.Conn, hello *peer.Hello) {
			c.handleAgentMessage(conn, hello, &peer.Message{Report: lifeOf(2)})
		}},
		{"ends arrive after a gap, and the runner is gone", func(c *Coordinator, _ *term, conn *peer.Conn, hello *peer.Hello) {
			c.handleAgentMessage(conn, hello, done(7, workflow.TaskID{Job: "b"}))
			c.handleAgentMessage(conn, hello, &peer.Message{Report: lifeOf(0)})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, current := newDispatcher(t, &standin.Store{})
			admitSingle(current, "a")
			conn, hello := pipedConn(t), &peer.Hello{Role: peer.RoleAgent, Name: "w1"}
			r := reportOf("w1")
			r.Runs = []dispatch.RunStatus{{Task: task, Run: 1}}
			c.handleAgentMessage(conn, hello, &peer.Message{Report: r})
			c.handleAgentMessage(conn, hello, done(0, task))
			tc.drop(c, current, conn, hello)
			c.registerWorkers(context.Background(), current)
			c.mu.Lock()
			defer c.mu.Unlock()
			current.applyReport(clock.Steady(), c, reportOf("w2"))
			if got := startsAfter(current); len(got) != 0 {
				t.Errorf("starts of a task that is done: got %v, want none", got)
			}
			if got, _ := current.scheduler.Phase("a"); got != workflow.PhaseCompleted {
				t.Errorf("phase: got %s, want %s", got, workflow.PhaseCompleted)
			}
		})
	}
}

// A ping describes the worker as it is now, not what the held report shows.
func TestPingAddsNoEndsToAHeldReport(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	a, b := admitSingle(current, "a"), admitSingle(current, "b")
	conn, hello := pipedConn(t), &peer.Hello{Role: peer.RoleAgent, Name: "w1"}
	r := reportOf("w1")
	r.Worker.MoreEnds = true
	r.Runs = []dispatch.RunStatus{{Task: a, Run: 1}}
	c.handleAgentMessage(conn, hello, &peer.Message{Report: r})
	w := reportOf("w1").Worker
	w.LastSentEnd = 1
	c.handleAgentMessage(conn, hello, &peer.Message{Ping: &peer.Ping{Seq: 1, Worker: &w}})
	c.registerWorkers(context.Background(), current)
	c.handleAgentMessage(conn, hello, done(1, b))
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := acknowledgedEnd(current, "w1"); got != 0 {
		t.Errorf("acknowledged after a gap: got %d, want 0", got)
	}
}
