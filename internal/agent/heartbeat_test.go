package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
)

// TestRoundDoesNotWaitForHungEntry checks that a round ends at most replyGrace after the first
// reply, or at callTimeout if there is none.
func TestRoundDoesNotWaitForHungEntry(t *testing.T) {
	cases := []struct {
		name string
		// after is the delay of each entry's reply: a negative one fails at once, 0 hangs.
		after []time.Duration
		want  int
		waits time.Duration
	}{
		{"all answer", []time.Duration{5, 6, 7}, 3, 7},
		{"one hangs", []time.Duration{5, 0, 7}, 2, 5 * time.Millisecond},
		{"one fails, one hangs", []time.Duration{-1, 0, 7}, 1, 7},
		{"the only answer is late", []time.Duration{0, -1, time.Second}, 1, time.Second},
		{"all fail", []time.Duration{-1, -1, -1}, 0, 0},
		{"all hang", []time.Duration{0, 0, 0}, 0, callTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				replies := make(chan entryReply, len(c.after))
				for _, after := range c.after {
					switch {
					case after < 0:
						replies <- entryReply{}
					case after > 0:
						time.AfterFunc(after, func() { replies <- entryReply{reply: new(link.HeartbeatReply)} })
					}
				}
				began := time.Now()
				if got := len(collectReplies(ctx, replies, len(c.after))); got != c.want {
					t.Errorf("replies: got %d, want %d", got, c.want)
				}
				if got, want := time.Since(began), c.waits+replyGrace; got > want {
					t.Errorf("round: got %s, want at most %s", got, want)
				}
			})
		})
	}
}
