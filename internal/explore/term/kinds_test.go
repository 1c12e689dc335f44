package term

import "testing"

// kindSeeds is the number of simulated runs with each set of kinds that every run of the tests performs.
const kindSeeds = 6

const allKinds = SlowCalls | OverlappingReads | JointRestarts | Resubmissions | LateRepeats

// stricter are all the rules that the product doesn't keep.
var stricter = StricterRules{DistrustPredecessor: true, ReadTold: true, ConfirmTerm: true, OrderReads: true, RenewFromFirst: true}

// TestNoViolationWithKinds checks the product's rules, with the stricter ones, under the kinds of faults beyond the
// basic ones.
func TestNoViolationWithKinds(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds Kinds
	}{
		{"calls take time", SlowCalls},
		{"job records are read twice at a time", OverlappingReads},
		{"agents restart with their runners", JointRestarts},
		{"jobs are submitted again", Resubmissions},
		{"repeated appends are answered", LateRepeats},
		{"all of these", allKinds},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(kindSeeds) {
				if err := run(seed, Rules{StricterRules: stricter}, c.kinds); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// TestFindsLooserRules leaves out one stricter rule at a time and expects a violation in a simulated run that has
// none with all of them.
func TestFindsLooserRules(t *testing.T) {
	for _, m := range looserRules {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			rules := stricter
			m.leaveOut(&rules)
			for seed := m.firstSeed; seed < m.firstSeed+mutantSeeds; seed++ {
				if err := run(seed, Rules{StricterRules: rules}, m.kinds); err != nil && run(seed, Rules{StricterRules: stricter}, m.kinds) == nil {
					t.Logf("found by seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no violation in %d schedules from %d on, want one", mutantSeeds, m.firstSeed)
		})
	}
}

// looserRules are the stricter rules without one of them each.
var looserRules = []struct {
	name      string
	kinds     Kinds
	leaveOut  func(r *StricterRules)
	firstSeed uint64
}{
	{"only the maker of the claim before is watched", SlowCalls, func(r *StricterRules) { r.DistrustPredecessor = false }, 60},
	{"a job that an entry tells of is taken for new", Resubmissions, func(r *StricterRules) { r.ReadTold = false }, 15},
	{"a new agent joins the dispatcher of any term", JointRestarts, func(r *StricterRules) { r.ConfirmTerm = false }, 720},
	{"job records are applied in any order", OverlappingReads, func(r *StricterRules) { r.OrderReads = false }, 2945},
	{"a lease is renewed from the repetition of an append", allKinds, func(r *StricterRules) { r.RenewFromFirst = false }, 225},
}
