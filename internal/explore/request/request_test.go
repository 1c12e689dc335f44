package request

import (
	"errors"
	"math"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// testSeeds is the number of simulated runs that each test performs.
const testSeeds = 1500

func TestNoViolation(t *testing.T) {
	for seed := range uint64(testSeeds) {
		if err := Run(seed); err != nil {
			t.Fatalf("seed %d: got %v, want nil", seed, err)
		}
	}
}

// TestRunFindsMutants replaces one rule at a time by a wrong one and expects the
// violation that the rule prevents.
func TestRunFindsMutants(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(r *rules)
		want   error
	}{
		{"an evicted attempt counts as never seen", func(r *rules) {
			r.query = func(table *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, _ uint64) endpoint.AttemptState {
				return table.QueryOrFence(now, id, math.MaxUint64)
			}
		}, ErrFalseNotRun},
		{"an attempt that may be evicted is run", func(r *rules) {
			r.admit = func(table *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, _ uint64) endpoint.Admission {
				return table.Admit(now, id, math.MaxUint64)
			}
		}, ErrDoubleRun},
		{"a query does not fence", func(r *rules) {
			r.query = func(table *endpoint.DedupTable, now time.Time, id endpoint.AttemptID, mark uint64) endpoint.AttemptState {
				known := *table
				return known.QueryOrFence(now, endpoint.AttemptID{Request: id.Request + "?", Attempt: id.Attempt}, mark)
			}
		}, ErrFalseNotRun},
		{"unknown attempts are tried again", func(r *rules) {
			r.mayRetry = func(tracker *endpoint.AttemptTracker, pastDeadline bool) bool {
				repeatable := endpoint.NewAttemptTracker(true)
				for range tracker.Attempt() {
					repeatable.BeginAttempt()
				}
				return repeatable.MayRetry(pastDeadline)
			}
		}, ErrDoubleRun},
		{"replies are not matched with attempts", func(r *rules) {
			r.sameAttempt = func(endpoint.AttemptID, endpoint.AttemptID) bool { return true }
		}, ErrWrongResponse},
		{"a restarted agent answers for its predecessor", func(r *rules) {
			r.sameIncarnation = func(uint64, uint64) bool { return true }
		}, ErrFalseNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := productRules()
			tt.mutate(&r)
			for seed := range uint64(testSeeds) {
				if errors.Is(run(seed, r), tt.want) {
					return
				}
			}
			t.Errorf("got no violation in %d schedules, want one with %v", testSeeds, tt.want)
		})
	}
}
