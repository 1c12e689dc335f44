package term

import "testing"

// productSeeds is the number of simulated runs that each of the tests below performs.
const productSeeds = 40

// keepsRules expects no violation with the product's rules and some of the stricter ones.
func keepsRules(t *testing.T, kinds Kinds, firstSeed uint64, leaveOut func(r *StricterRules)) {
	t.Helper()
	t.Parallel()
	rules := stricter
	leaveOut(&rules)
	for seed := firstSeed; seed < firstSeed+productSeeds; seed++ {
		if err := run(seed, Rules{StricterRules: rules}, kinds); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestEarlierDispatcherIsWaitedFor(t *testing.T) {
	keepsRules(t, SlowCalls, 60, func(r *StricterRules) { r.DistrustPredecessor = false })
}

func TestToldJobIsNotStartedTwice(t *testing.T) {
	keepsRules(t, Resubmissions, 100, func(r *StricterRules) { r.ReadTold = false })
}

func TestNewAgentJoinsNewestTerm(t *testing.T) {
	keepsRules(t, JointRestarts, 720, func(r *StricterRules) { r.ConfirmTerm = false })
}

func TestNewestJobRecordIsKept(t *testing.T) {
	keepsRules(t, OverlappingReads, 2945, func(r *StricterRules) { r.OrderReads = false })
}

func TestRepeatedAppendRenewsNoLease(t *testing.T) {
	keepsRules(t, allKinds, 225, func(r *StricterRules) { r.RenewFromFirst = false })
}

func TestOccurrenceThatIsNotDueHereRunsOnce(t *testing.T) {
	keepsRules(t, Occurrences, 20, func(*StricterRules) {})
}
