package batch

import (
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// mutantSeeds is the number of simulated runs within which a wrong rule must cause a
// violation.
const mutantSeeds = 600

// TestFindsBrokenRules replaces one rule of the protocol at a time by a wrong one and
// expects a violation.
func TestFindsBrokenRules(t *testing.T) {
	mutants := map[string]func(*Rules){
		"takeover does not wait": func(r *Rules) {
			r.Reclaimer.TakeoverAt = func(_ lease.Terms, _, seen time.Time) time.Time { return seen }
		},
		"takeover counts from before the append": func(r *Rules) {
			r.Reclaimer.TakeoverAt = func(t lease.Terms, decided, seen time.Time) time.Time {
				if decided.IsZero() {
					return t.TakeoverAt(seen)
				}
				return t.TakeoverAt(decided)
			}
		},
		"renewal ignores the age of the log reading": func(r *Rules) {
			r.Holder.LeaseEnd = func(t lease.Terms, _, now time.Duration) time.Duration { return t.LeaseEnd(now) }
		},
		"entry claims a newer log reading": func(r *Rules) {
			r.Responder.HeartbeatRound = func(h *lease.HeartbeatTracker, began time.Time) uint64 {
				return h.NewestRoundBefore(began.Add(time.Hour))
			}
		},
		"agent starts a settled task on an old log reading": func(r *Rules) {
			r.Holder.Outdated = func(uint64, uint64) bool { return false }
		},
		"agent forgets what its predecessor refused": func(r *Rules) {
			r.Holder.Predates = func(record.Position, record.Position) bool { return false }
		},
		"ended task is removed at once": func(r *Rules) {
			r.Holder.Removable = func(time.Duration, time.Duration) bool { return true }
		},
		"silence about an unreported task renews it": func(r *Rules) {
			r.Holder.ImplicitlyConfirmed = func(bool) bool { return true }
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var rules Rules
			mutate(&rules)
			for seed := range uint64(mutantSeeds) {
				if err := run(seed, rules); err != nil {
					t.Logf("found by seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no violation in %d schedules, want one", mutantSeeds)
		})
	}
}
