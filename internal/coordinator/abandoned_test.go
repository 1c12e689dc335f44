package coordinator

import (
	"io"
	"net"
	"testing"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
)

// agentConnections returns n connections that have not sent a Hello.
func agentConnections(t *testing.T, n int) []*peer.Conn {
	t.Helper()
	var conns []*peer.Conn
	for range n {
		here, there := net.Pipe()
		t.Cleanup(func() { _ = here.Close(); _ = there.Close() })
		conns = append(conns, peer.NewConn(here))
	}
	return conns
}

func TestReportOnAnAbandonedConnectionIsSkippedOnceTheNextOneHasEnded(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	current.registered["w1"] = true
	hello := &peer.Hello{Role: peer.RoleAgent, Name: "w1", Incarnation: 1, NewestTerm: ownTerm}
	conns := agentConnections(t, 2)
	c.handleHello(conns[0], hello)
	c.handleHello(conns[1], hello)
	newer, older := reportOf("w1"), reportOf("w1")
	newer.Worker.Life = 2
	c.handleAgentMessage(conns[1], hello, &peer.Message{Report: newer})
	c.handleDisconnect(conns[1], hello, io.EOF)
	c.handleAgentMessage(conns[0], hello, &peer.Message{Report: older})
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, want := current.scheduler.RunnerLife("w1"), uint64(2); got != want {
		t.Errorf("life: got %d, want %d", got, want)
	}
}

func TestLateHelloDoesNotReplaceTheNextConnection(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	current.registered["w1"] = true
	hello := &peer.Hello{Role: peer.RoleAgent, Name: "w1", Incarnation: 1, NewestTerm: ownTerm}
	conns := agentConnections(t, 2)
	c.handleHello(conns[1], hello)
	c.handleAgentMessage(conns[1], hello, &peer.Message{Report: reportOf("w1")})
	c.handleHello(conns[0], hello)
	c.handleAgentMessage(conns[1], hello, &peer.Message{Ping: &peer.Ping{Seq: 1}})
	select {
	case <-conns[1].Done():
		t.Error("the newer connection was closed")
	default:
	}
}
