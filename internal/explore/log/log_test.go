package log

import "testing"

// seeds is the number of simulated runs that the test performs.
const seeds = 40

// TestRun performs simulated runs and expects no violation.
func TestRun(t *testing.T) {
	for seed := range uint64(seeds) {
		if err := Run(seed); err != nil {
			t.Errorf("seed %d: got %v, want no violation", seed, err)
		}
	}
}
