package batch

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
)

// ciSeeds is the number of simulated runs that every run of the tests performs.
const ciSeeds = 300

func TestNoViolation(t *testing.T) {
	for seed := range uint64(ciSeeds) {
		if err := Run(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestTakeoverTimeBoundsIdleAndOutage(t *testing.T) {
	const takeoverAfter = 10 * time.Second
	cost, err := MeasureTakeoverCost(takeoverAfter, 10)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := cost.MaxIdle, takeoverAfter+2*job.LostAfter; got > want {
		t.Errorf("longest idle: got %s, want at most %s", got, want)
	}
	if got, want := cost.MinOutageRun, takeoverAfter/2; got < want {
		t.Errorf("shortest run through an outage: got %s, want at least %s", got, want)
	}
}
