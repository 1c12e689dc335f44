package dispatch

import (
	"reflect"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Guards against a setting of a queue that is lost with the configuration, as that of a field added later.
func TestQueueTermsHoldTheWholeQueue(t *testing.T) {
	q := Queue{
		Service: "bench", Priority: 2, FailedRunLimit: 4, Stretch: 1.5, TargetLatency: time.Second,
		Policy: &PlacementPolicy{Decision: 40 * time.Millisecond, PerWorker: 2 * time.Millisecond},
	}
	for _, v := range []reflect.Value{reflect.ValueOf(q), reflect.ValueOf(*q.Policy)} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s: got zero, want a value to be kept", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
	spec := workflow.Spec{Steps: []workflow.Step{{Count: 1}}}
	with, err := workflow.SubmissionRecord(&workflow.Submission{ID: "a", Queue: "plans", Spec: spec, QueueTerms: q.QueueTerms(7)})
	if err != nil {
		t.Fatal(err)
	}
	var table workflow.JobTable
	if _, err := table.Apply(with, 0); err != nil {
		t.Fatal(err)
	}
	j, _ := table.Job("a")
	terms := j.Submission().QueueTerms
	if got := QueueOf(terms); !reflect.DeepEqual(got, q) {
		t.Errorf("queue: got %+v, want %+v", got, q)
	}
	if got, want := terms.ConfigVersion, uint64(7); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	without, err := workflow.SubmissionRecord(&workflow.Submission{ID: "a", Queue: "plans", Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("bytes of the terms: %d", len(with.Value)-len(without.Value))
}
