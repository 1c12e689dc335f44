package lease

import (
	"testing"
	"time"
)

func TestPace(t *testing.T) {
	for _, test := range []struct {
		agents int
		want   time.Duration
	}{
		{0, 0},
		{11, 275 * time.Millisecond},
		{75, 1875 * time.Millisecond},
		{1400, MaxPace},
	} {
		if got := Pace(test.agents); got != test.want {
			t.Errorf("pace of %d agents: got %s, want %s", test.agents, got, test.want)
		}
	}
}
