package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// QueueTerms returns the terms of a queue in a version of the configuration, to be stored with a job.
func (q *Queue) QueueTerms(configVersion uint64) *workflow.QueueTerms {
	t := &workflow.QueueTerms{
		ConfigVersion: configVersion, Service: q.Service, Priority: q.Priority, FailedRunLimit: q.FailedRunLimit, Stretch: q.Stretch,
		TargetLatencyMS: q.TargetLatency.Milliseconds(),
	}
	if q.Policy != nil {
		t.Policy = &workflow.QueuePolicyTerm{DecisionMS: q.Policy.Decision.Milliseconds(), PerWorkerMS: q.Policy.PerWorker.Milliseconds()}
	}
	return t
}

// QueueOf returns the queue with the given terms.
func QueueOf(t *workflow.QueueTerms) Queue {
	q := Queue{Service: t.Service, Priority: t.Priority, FailedRunLimit: t.FailedRunLimit, Stretch: t.Stretch, TargetLatency: time.Duration(t.TargetLatencyMS) * time.Millisecond}
	if t.Policy != nil {
		q.Policy = &PlacementPolicy{Decision: time.Duration(t.Policy.DecisionMS) * time.Millisecond, PerWorker: time.Duration(t.Policy.PerWorkerMS) * time.Millisecond}
	}
	return q
}
