package batch

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
)

// ciSeeds is the number of schedules that every test run plays.
const ciSeeds = 300

func TestNoViolation(t *testing.T) {
	for seed := range uint64(ciSeeds) {
		if err := Run(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestTakeoverTimeBoundsIdleAndOutage(t *testing.T) {
	const after = 10 * time.Second
	idle, err := MeasureTakeoverCost(after, 10)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := idle.MaxIdle, after+2*job.LostAfter; got > want {
		t.Errorf("longest idle: got %s, want at most %s", got, want)
	}
	if got, want := idle.MinOutageRun, after/2; got < want {
		t.Errorf("shortest run through an outage: got %s, want at least %s", got, want)
	}
}
