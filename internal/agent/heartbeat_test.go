package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
)

// TestRoundDoesNotWaitForHungEntry checks how long a round waits for answers.
func TestRoundDoesNotWaitForHungEntry(t *testing.T) {
	cases := []struct {
		name string
		// after is when each entry answers; negative ones fail at once, 0 hangs.
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
				replies := make(chan answer, len(c.after))
				for _, after := range c.after {
					switch {
					case after < 0:
						replies <- answer{}
					case after > 0:
						time.AfterFunc(after, func() { replies <- answer{reading: new(link.Reading)} })
					}
				}
				began := time.Now()
				if got := len(collect(ctx, replies, len(c.after))); got != c.want {
					t.Errorf("answers: got %d, want %d", got, c.want)
				}
				if got, want := time.Since(began), c.waits+answerGrace; got > want {
					t.Errorf("round: got %s, want at most %s", got, want)
				}
			})
		})
	}
}
