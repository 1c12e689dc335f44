package lease

import (
	"testing"
	"time"
)

func TestHeartbeatInterval(t *testing.T) {
	for _, test := range []struct {
		agents int
		want   time.Duration
	}{
		{0, 0},
		{16, 500 * time.Millisecond},
		{60, 1875 * time.Millisecond},
		{1400, MaxHeartbeatInterval},
	} {
		if got := HeartbeatInterval(test.agents); got != test.want {
			t.Errorf("heartbeat interval of %d agents: got %s, want %s", test.agents, got, test.want)
		}
	}
}
