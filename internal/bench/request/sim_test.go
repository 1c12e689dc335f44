package request

import (
	"testing"
	"time"
)

// TestSimulateRepeats checks that two simulations with the same seed give the
// same results.
func TestSimulateRepeats(t *testing.T) {
	for _, c := range comparedPolicies {
		first := simulate(&deployments[0], c.newPolicy, steadyLoad(0.9), time.Second, 3)
		second := simulate(&deployments[0], c.newPolicy, steadyLoad(0.9), time.Second, 3)
		if got, want := second.goodRequests, first.goodRequests; got != want || got == 0 {
			t.Errorf("%s, good requests: got %d, want %d and some", c.name, got, want)
		}
		if got, want := second.goodWork, first.goodWork; got != want {
			t.Errorf("%s, good work: got %v, want %v", c.name, got, want)
		}
	}
}

// TestSimulateCountsEveryRequest checks that every request has an outcome, also
// under overload.
func TestSimulateCountsEveryRequest(t *testing.T) {
	for _, c := range comparedPolicies {
		r := simulate(&deployments[1], c.newPolicy, steadyLoad(1.5), 2*time.Second, 5)
		for i := range r.classes {
			k := &r.classes[i]
			if got, want := k.answered+k.refused+k.late, len(k.latencies); got != want || got == 0 {
				t.Errorf("%s, class %d, ends: got %d, want %d and some", c.name, i, got, want)
			}
		}
	}
}
