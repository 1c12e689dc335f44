package coordinator

import (
	"net"
	"testing"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/standin"
)

func TestReportOnAnAbandonedConnectionDoesNotReplaceTheNextOne(t *testing.T) {
	c, current := newDispatcher(t, &standin.Store{})
	current.registered["w1"] = true
	var conns []*peer.Conn
	hello := &peer.Hello{Role: peer.RoleAgent, Name: "w1", Incarnation: 1, NewestTerm: ownTerm}
	for range 2 {
		here, there := net.Pipe()
		t.Cleanup(func() { _ = here.Close(); _ = there.Close() })
		conns = append(conns, peer.NewConn(here))
		c.handleHello(conns[len(conns)-1], hello)
	}
	newer, older := reportOf("w1"), reportOf("w1")
	newer.Worker.Life = 2
	c.handleAgentMessage(conns[1], hello, &peer.Message{Report: newer})
	c.handleAgentMessage(conns[0], hello, &peer.Message{Report: older})
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, want := current.scheduler.RunnerLife("w1"), uint64(2); got != want {
		t.Errorf("life: got %d, want %d", got, want)
	}
	if got, want := current.agents["w1"].conn, conns[1]; got != want {
		t.Errorf("connection: got the abandoned one, want the newer one")
	}
}
