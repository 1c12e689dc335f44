package coordinator

import (
	"context"
	"net"
	"testing"

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
