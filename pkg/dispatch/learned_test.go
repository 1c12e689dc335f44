package dispatch

import "testing"

// What one dispatcher learned is known to the next.
func TestLearned(t *testing.T) {
	var first, second Board
	first.Begin(1, nil)
	second.Begin(2, nil)
	first.learnPair("serve", map[string]float64{"press": 0.2, "other": 0.1}, 3)
	second.Teach(first.Learned())
	for _, image := range []string{"press", "other"} {
		got, want := second.shareOf("serve", image), first.shareOf("serve", image)
		if got != want || got >= unknownShare {
			t.Errorf("%s: got %v, want %v, below %v", image, got, want, unknownShare)
		}
	}
	second.Teach([]Learned{{Serving: "serve", Filling: "press", Share: -1}})
	if got := second.shareOf("serve", "press"); got != leastShare {
		t.Errorf("a share out of bounds: got %v, want %v", got, leastShare)
	}
}
