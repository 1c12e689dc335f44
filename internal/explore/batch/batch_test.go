package batch

import "testing"

// ciSeeds is the number of schedules that every test run explores.
const ciSeeds = 300

func TestNoViolation(t *testing.T) {
	for seed := range uint64(ciSeeds) {
		if err := Run(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
