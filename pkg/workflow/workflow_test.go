package workflow

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

func validSpec() *Spec {
	return &Spec{Text: "t", Steps: []Step{{Count: 2, Size: worker.Resources{MilliCPU: 100}}, {Count: 1, After: []int{0}}}}
}

func TestValidate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *Spec)
		want   string
	}{
		{"valid", func(*Spec) {}, ""},
		{"no steps", func(s *Spec) { s.Steps = nil }, "steps"},
		{"text too long", func(s *Spec) { s.Text = strings.Repeat("x", MaxTextBytes+1) }, "text"},
		{"no tasks", func(s *Spec) { s.Steps[1].Count = 0 }, "step 1: count"},
		{"too many tasks", func(s *Spec) { s.Steps[0].Count = MaxTasks }, "steps"},
		{"too many tasks in all occurrences", func(s *Spec) {
			s.RepeatCount, s.FirstDueMS, s.IntervalMS, s.Steps[0].Count = MaxOccurrences, 1, 1, 10
		}, "occurrences"},
		{"a later step", func(s *Spec) { s.Steps[0].After = []int{1} }, "step 0: after"},
		{"negative size", func(s *Spec) { s.Steps[0].Size.MemoryMB = -1 }, "step 0: size"},
		{"negative estimate", func(s *Spec) { s.Steps[0].EstimateMS = -1 }, "step 0: estimate"},
		{"negative repetition", func(s *Spec) { s.RepeatCount = -1 }, "occurrences"},
		{"no first time", func(s *Spec) { s.RepeatCount = 2 }, "occurrences"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := validSpec()
			tc.change(s)
			err := s.Validate()
			if tc.want == "" {
				if err != nil {
					t.Errorf("got %v, want no error", err)
				}
				return
			}
			if !errors.Is(err, ErrInvalidSpec) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want an ErrInvalidSpec that names %q", err, tc.want)
			}
		})
	}
}

func TestParseTask(t *testing.T) {
	id := TaskID{Job: "5c0e", Occurrence: 3, Step: 1, Index: 17}
	if got, ok := ParseTaskID(id.String()); !ok || got != id {
		t.Errorf("got %v %v, want %v", got, ok, id)
	}
	for _, name := range []string{"", "a", "a.0.0", "a.0.0.x", "a.0.0.-1", ".0.0.0", "a.0.0.0.0"} {
		if got, ok := ParseTaskID(name); ok {
			t.Errorf("%q: got %v, want it refused", name, got)
		}
	}
}

func mustRecord(t *testing.T) func(Record, error) Record {
	t.Helper()
	return func(r Record, err error) Record {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
}

func TestJobTable(t *testing.T) {
	must := mustRecord(t)
	sub := &Submission{ID: "a", Queue: "q", Spec: *validSpec()}
	var table JobTable
	for i, r := range []Record{
		must(ProgressRecord("a", &Progress{Phase: PhaseRunning})), // may be read before the submission
		must(SubmissionRecord(sub)),
		must(SubmissionRecord(&Submission{ID: "a", Queue: "other", Spec: *validSpec()})),
	} {
		if _, err := table.Apply(r, uint64(i)); err != nil {
			t.Fatal(err)
		}
	}
	job, ok := table.Job("a")
	if !ok || job.Submission().Queue != "q" || job.Phase() != PhaseRunning {
		t.Fatalf("got %+v, want the first submission and phase running", job)
	}
	if _, err := table.Apply(CancellationRecord("a"), 3); err != nil || job.Phase() != PhaseCancelled {
		t.Errorf("phase after the cancellation: got %v %v, want %v", job.Phase(), err, PhaseCancelled)
	}
	if _, err := table.Apply(must(ProgressRecord("a", &Progress{Phase: PhaseCompleted})), 4); err != nil || job.Phase() != PhaseCompleted {
		t.Errorf("phase after a cancellation and a stored end: got %v %v, want %v", job.Phase(), err, PhaseCompleted)
	}
	progress, intake := TombstoneRecords("a")
	for _, r := range append(progress, intake...) {
		if _, err := table.Apply(r, 5); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := table.Job("a"); ok {
		t.Error("after its records were deleted: got the job, want none")
	}
}

// Records that cannot be decoded, such as those of another writer, change nothing.
func TestJobTableSkipsInvalidRecords(t *testing.T) {
	must := mustRecord(t)
	var table JobTable
	if _, err := table.Apply(must(SubmissionRecord(&Submission{ID: "a", Queue: "q", Spec: *validSpec()})), 0); err != nil {
		t.Fatal(err)
	}
	for _, r := range []Record{
		{Key: "", Value: []byte("x")},
		{Key: "x/a", Value: []byte("x")},
		{Key: "s/", Value: []byte("x")},
		{Key: "s/b", Value: []byte("not a record")},
		{Key: "p/a", Value: []byte{0xff}},
		must(ProgressRecord("a", &Progress{Phase: PhaseCancelled + 1})),
		{Key: "s/c", Value: must(SubmissionRecord(&Submission{ID: "d", Spec: *validSpec()})).Value},
		must(SubmissionRecord(&Submission{ID: "e"})),
		must(SubmissionRecord(&Submission{ID: "f", Spec: Spec{Steps: []Step{{Count: -1}}}})),
		must(SubmissionRecord(&Submission{ID: "g", Spec: Spec{Steps: []Step{{Count: 1, After: []int{3}}}}})),
	} {
		if _, err := table.Apply(r, 1); !errors.Is(err, ErrUnreadableRecord) {
			t.Errorf("%q: got %v, want %v", r.Key, err, ErrUnreadableRecord)
		}
	}
	if got := table.Len(); got != 1 {
		t.Errorf("number of jobs: got %d, want 1", got)
	}
}

func TestDoneTasks(t *testing.T) {
	var d DoneTasks
	for _, i := range []int{0, 9, 30} {
		d.Mark(i)
	}
	for i := range 40 {
		if got, want := d.Has(i), i == 0 || i == 9 || i == 30; got != want {
			t.Errorf("task %d done: got %v, want %v", i, got, want)
		}
	}
}
