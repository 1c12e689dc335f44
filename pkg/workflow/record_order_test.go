package workflow

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
)

// recordOrderCase applies records that are not in the order of their offsets, and says what the table then has of the job.
type recordOrderCase struct {
	Name    string
	Records []struct {
		Kind   string
		Offset uint64
		Term   uint64
		Phase  Phase
		// Done is the number of done tasks.
		Done int
	}
	Known bool
	Phase Phase
	Term  uint64
	Done  int
}

// A record that is applied after a later one of its key takes nothing back.
func TestJobTableIgnoresOlderRecords(t *testing.T) {
	data, err := os.ReadFile("testdata/record_order.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []recordOrderCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	must := mustRecord(t)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			var table JobTable
			for _, s := range tc.Records {
				var records []Record
				switch s.Kind {
				case "submission":
					records = append(records, must(SubmissionRecord(&Submission{ID: "a", Queue: "q", Spec: *validSpec(), Term: s.Term})))
				case "progress":
					records = append(records, must(ProgressRecord("a", &Progress{Phase: s.Phase, Done: doneTasks(s.Done)})))
				case "cancellation":
					records = append(records, CancellationRecord("a"))
				case "deletion":
					progress, intake := TombstoneRecords("a")
					records = slices.Concat(progress, intake)
				case "all older records applied":
					table.ForgetDeleted()
				default:
					t.Fatalf("unknown kind of record %q", s.Kind)
				}
				for _, r := range records {
					if _, err := table.Apply(r, s.Offset); err != nil {
						t.Fatal(err)
					}
				}
			}
			j, ok := table.Job("a")
			if known := ok && j.Submission() != nil; known != tc.Known {
				t.Fatalf("known: got %v, want %v", known, tc.Known)
			}
			if !tc.Known {
				return
			}
			if got, want := j.Phase(), tc.Phase; got != want {
				t.Errorf("phase: got %s, want %s", got, want)
			}
			if got, want := j.Submission().Term, tc.Term; got != want {
				t.Errorf("term: got %d, want %d", got, want)
			}
			if got, want := countDone(j.Progress()), tc.Done; got != want {
				t.Errorf("done tasks: got %d, want %d", got, want)
			}
		})
	}
}

// doneTasks returns the set of the first n tasks of the first step.
func doneTasks(n int) []DoneTasks {
	if n == 0 {
		return nil
	}
	d := DoneTasks{}
	for i := range n {
		d.Mark(i)
	}
	return []DoneTasks{d}
}

// countDone returns the number of tasks of the first step that p says are done.
func countDone(p *Progress) int {
	n := 0
	for i := range p.Done {
		for task := range 8 {
			if p.Done[i].Has(task) {
				n++
			}
		}
	}
	return n
}
