package bundle

import (
	"fmt"
	"testing"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// TestDiffNamesItems checks that changes give list items by name, not by index.
func TestDiffNamesItems(t *testing.T) {
	from := testDocument(1, 8, testOperators(1, "alice"))
	from.Teams = []Team{{Name: "clinics", Quota: worker.Resources{MilliCPU: 1000}}, {Name: "nursery"}}
	to := testDocument(2, 9, testOperators(1, "alice"))
	to.Parent = "digest"
	to.Teams = []Team{{Name: "nursery"}, {Name: "households"}}
	changes, err := Diff(from, to)
	if err != nil {
		t.Fatal(err)
	}
	want := "[~ services[planner].slots: 8 -> 9 - teams[clinics].name: clinics" +
		" - teams[clinics].quota.milli-cpu: 1000 + teams[households].name: households]"
	if got := fmt.Sprint(changes); got != want {
		t.Errorf("changes: got %s, want %s", got, want)
	}
}
