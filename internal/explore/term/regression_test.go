package term

import "testing"

// regressionSeeds is the number of simulated runs that each of the tests below performs.
const regressionSeeds = 40

// expectNoViolation performs simulated runs from each of the seeds on that showed a violation before a rule was mended, or show one
// without it.
func expectNoViolation(t *testing.T, kinds Kinds, firstSeeds ...uint64) {
	t.Helper()
	t.Parallel()
	for _, firstSeed := range firstSeeds {
		for seed := firstSeed; seed < firstSeed+regressionSeeds; seed++ {
			if err := run(seed, Rules{}, kinds); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
	}
}

func TestEarlierDispatcherIsWaitedFor(t *testing.T) { expectNoViolation(t, SlowCalls, 60) }

func TestToldJobIsNotStartedTwice(t *testing.T) { expectNoViolation(t, Resubmissions, 100) }

func TestNewAgentJoinsNewestTerm(t *testing.T) { expectNoViolation(t, JointRestarts, 450) }

func TestNewestJobRecordIsKept(t *testing.T) { expectNoViolation(t, OverlappingReads, 20530) }

func TestRepeatedAppendRenewsNoLease(t *testing.T) { expectNoViolation(t, allKinds, 2340, 1640) }

func TestProgressOfALaterTermIsKept(t *testing.T) {
	expectNoViolation(t, Occurrences|LateRepeats|Departures, 50240)
}

func TestEndsOutliveTheLifeOfTheirRunner(t *testing.T) { expectNoViolation(t, SlowCalls, 0) }

func TestRefusedPollDoesNotOvertakeAnAnswer(t *testing.T) { expectNoViolation(t, SlowCalls, 840) }

func TestOccurrenceThatIsNotDueHereRunsOnce(t *testing.T) { expectNoViolation(t, Occurrences, 20) }

func TestRegainedDispatcherReadsCancellationsFirst(t *testing.T) {
	expectNoViolation(t, PartialViews|Cancellations, 1300, 0)
}

func TestNewestClaimOfAnEarlierDispatcherCounts(t *testing.T) {
	expectNoViolation(t, longCutsAndDepartures, 2420)
}
