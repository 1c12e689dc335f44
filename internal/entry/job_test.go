package entry

import (
	"testing"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

func TestCheckSubmission(t *testing.T) {
	size := worker.Resources{MilliCPU: 500}
	d := &bundle.Document{BatchClasses: []bundle.BatchClass{{Name: "sized", Size: size}, {Name: "bare"}}}
	cases := []struct {
		name      string
		in        Submission
		wantField string
		wantSize  worker.Resources
	}{
		{"size of the class", Submission{Class: "sized"}, "", size},
		{"size of its own", Submission{Class: "sized", Size: worker.Resources{MemoryMB: 1}}, "", worker.Resources{MemoryMB: 1}},
		{"no size at all", Submission{Class: "bare"}, "size", worker.Resources{}},
		{"negative size", Submission{Class: "sized", Size: worker.Resources{MilliCPU: -1}}, "size", worker.Resources{MilliCPU: -1}},
		{"unknown class", Submission{Class: "other", Size: size}, "class", size},
		{"too many tasks", Submission{Class: "sized", Tasks: maxTasks + 1}, "tasks", size},
		{"negative run time", Submission{Class: "sized", ExpectedMS: -1}, "expected-ms", size},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, field, _ := checkSubmission(d, &c.in)
			if field != c.wantField || c.in.Size != c.wantSize {
				t.Errorf("got field %q, size %+v, want %q, %+v", field, c.in.Size, c.wantField, c.wantSize)
			}
		})
	}
}
