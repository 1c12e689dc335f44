package dispatch

import "slices"

// keptFailedRuns is how many numbers of failed runs of a task are kept, to tell a run whose end is reported again. A job
// whose queue limits failed runs fails after fewer, as a rule; a long-running task may fail again and again.
const keptFailedRuns = 16

// hasFailed reports whether the failure of a run has been counted. A run before the kept ones has: its end is
// acknowledged long before as many later runs have failed.
func (t *taskState) hasFailed(runNumber uint64) bool {
	return slices.Contains(t.failedRuns, runNumber) || len(t.failedRuns) == keptFailedRuns && runNumber < slices.Min(t.failedRuns)
}

// addFailure counts the failure of a run.
func (t *taskState) addFailure(runNumber uint64) {
	t.failures++
	t.failedRuns = append(t.failedRuns, runNumber)
	if len(t.failedRuns) > keptFailedRuns {
		lowest := slices.Index(t.failedRuns, slices.Min(t.failedRuns))
		t.failedRuns = slices.Delete(slices.Clone(t.failedRuns), lowest, lowest+1)
	}
}
