package runneragent

import (
	"testing"

	"savoryhoist.example/savoryhoist/internal/peer"
)

// The heartbeat of a next life says that the earlier one has ended, not that its end was announced: the
// dispatcher counts no crash of a worker that is draining.
func TestHeartbeatOfNextLifeDoesNotAnnounceTheEnd(t *testing.T) {
	s := newFixture(t)
	s.agent.HandleHeartbeat(&Heartbeat{Instance: "i-1", StartedAtMS: 8, Seq: 1, Service: "bench"})
	m := s.next(t, func(m *peer.Message) bool { return m.Ping != nil })
	if m.Ping.Worker.Life == 7 && m.Ping.Worker.Draining {
		t.Error("ping after the heartbeat of life 8: got life 7 draining, want no announcement of its end")
	}
}
