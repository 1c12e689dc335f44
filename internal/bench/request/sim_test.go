package request

import (
	"testing"
	"time"
)

// TestSimulateRepeats runs one seed twice: the figures must not differ.
func TestSimulateRepeats(t *testing.T) {
	for _, c := range contenders {
		first := simulate(&deployments[0], c.make, steady(0.9), time.Second, 3)
		second := simulate(&deployments[0], c.make, steady(0.9), time.Second, 3)
		if got, want := second.goodInTime, first.goodInTime; got != want || got == 0 {
			t.Errorf("%s, good requests: got %d, want %d and some", c.name, got, want)
		}
		if got, want := second.goodWork, first.goodWork; got != want {
			t.Errorf("%s, good work: got %v, want %v", c.name, got, want)
		}
	}
}

// TestSimulateCountsEveryRequest checks that no request is left without an end.
func TestSimulateCountsEveryRequest(t *testing.T) {
	for _, c := range contenders {
		r := simulate(&deployments[1], c.make, steady(1.5), 2*time.Second, 5)
		for i := range r.classes {
			k := &r.classes[i]
			if got, want := k.good+k.refused+k.late, len(k.times); got != want || got == 0 {
				t.Errorf("%s, class %d, ends: got %d, want %d and some", c.name, i, got, want)
			}
		}
	}
}
