package dispatch

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// script is a scenario: events, each followed by the orders that are wanted.
type script struct {
	Name   string   `json:"name"`
	Term   uint64   `json:"term"`
	Known  []string `json:"known"`
	Events []event  `json:"events"`
}

type event struct {
	AtMS int64  `json:"at-ms"`
	Do   string `json:"do"`
	// Worker, Life, CPU, MemMB, Labels and Draining describe a worker.
	Worker   string   `json:"worker"`
	Life     uint64   `json:"life"`
	CPU      int64    `json:"cpu"`
	MemMB    int64    `json:"mem-mb"`
	Labels   []string `json:"labels"`
	Draining bool     `json:"draining"`
	// Runs are what a worker lists: "task run percent reading".
	Runs []string `json:"runs"`
	// Ends are "number task run how saved".
	Ends []string `json:"ends"`
	// Job, Queue, Old and Steps describe a job.
	Job   string          `json:"job"`
	Queue string          `json:"queue"`
	Old   bool            `json:"old"`
	Times int             `json:"times"`
	First int64           `json:"first-ms"`
	Every int64           `json:"every-ms"`
	Steps json.RawMessage `json:"steps"`
	// Start and Stop are the orders wanted: "task run worker"; a worker * is any.
	// A start may name its ticket after that.
	Start []string `json:"start"`
	Stop  []string `json:"stop"`
	// Lost are the runs lost with their workers: "task run worker"; not compared if missing.
	Lost []string `json:"lost"`
	// Ask are the questions wanted: "step asker workers", the workers joined by
	// commas; a worker is named with its life.
	Ask []string `json:"ask"`
	// Question is the one that Tickets answers, by worker and life, valid for ValidMS.
	Question uint64            `json:"question"`
	Tickets  map[string]string `json:"tickets"`
	ValidMS  int64             `json:"valid-ms"`
	// Noted are the ends wanted up to which workers may forget: "worker number"; not compared if missing.
	Noted []string `json:"noted"`
	// Phase is the phase wanted of the job.
	Phase string `json:"phase"`
}

type scriptStep struct {
	Count         int     `json:"count"`
	CPU           int64   `json:"cpu"`
	MemMB         int64   `json:"mem-mb"`
	EstimateMS    int64   `json:"estimate-ms"`
	After         []int   `json:"after"`
	Gang          bool    `json:"gang"`
	SameRack      bool    `json:"same-rack"`
	Label         string  `json:"label"`
	Rack          string  `json:"rack"`
	MostPerWorker int     `json:"most-per-worker"`
	Saves         bool    `json:"saves"`
	Copies        bool    `json:"copies"`
	Lasts         bool    `json:"lasts"`
	Image         string  `json:"image"`
	TargetMS      float64 `json:"target-ms"`
	Fills         bool    `json:"fills"`
}

var testQueues = map[string]Queue{
	"fits":   {Service: "bench", Priority: 0, Attempts: 2, Stretch: 1.5, Target: 300 * time.Millisecond},
	"shapes": {Service: "bench", Priority: 2, Attempts: 2, Stretch: 2, Target: time.Second},
	"lasts":  {Service: "bench", Priority: 0, Attempts: 2, Stretch: 2, Target: time.Second},
	"advised": {
		Service: "bench", Priority: 0, Attempts: 2, Stretch: 2, Target: time.Second,
		Advice: &Advice{Decision: 300 * time.Millisecond, PerWorker: 2 * time.Millisecond},
	},
}

func TestBoard(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		var scripts []script
		if err := json.Unmarshal(data, &scripts); err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		for i := range scripts {
			s := &scripts[i]
			t.Run(strings.TrimSuffix(filepath.Base(f), ".json")+"/"+s.Name, func(t *testing.T) { play(t, s) })
		}
	}
}

func play(t *testing.T, s *script) {
	t.Helper()
	var b Board
	b.SetQueues(testQueues)
	b.SetSpread(1.5)
	b.Begin(max(1, s.Term), s.Known)
	base := time.Unix(1000, 0)
	for i := range s.Events {
		e := &s.Events[i]
		now, wall := base.Add(time.Duration(e.AtMS)*time.Millisecond), 1_000_000+e.AtMS
		apply(t, &b, now, wall, e)
		orders := b.Decide(now, wall)
		var starts, stops []string
		for _, o := range orders.Starts() {
			starts = append(starts, fmt.Sprintf("%s %d %s %s", o.Task, o.Run, o.Worker, o.Ticket))
		}
		for _, o := range orders.Stops() {
			stops = append(stops, fmt.Sprintf("%s %d %s", o.Task, o.Run, o.Worker))
		}
		compare(t, fmt.Sprintf("event %d (%s): starts", i, e.Do), starts, e.Start)
		compare(t, fmt.Sprintf("event %d (%s): stops", i, e.Do), stops, e.Stop)
		var asked []string
		for _, q := range orders.Questions() {
			slices.Sort(q.Instances)
			asked = append(asked, fmt.Sprintf("%s %s %s", q.Step, q.Asker, strings.Join(q.Instances, ",")))
		}
		compare(t, fmt.Sprintf("event %d (%s): questions", i, e.Do), asked, e.Ask)
		if e.Lost != nil {
			var lost []string
			for _, l := range b.TakeLost() {
				lost = append(lost, fmt.Sprintf("%s %d %s", l.Task, l.Run, l.Worker))
			}
			compare(t, fmt.Sprintf("event %d (%s): lost", i, e.Do), lost, e.Lost)
		}
		if e.Noted != nil {
			var noted []string
			b.TakeChange().EachNote(func(worker string, _, end uint64) { noted = append(noted, fmt.Sprintf("%s %d ", worker, end)) })
			compare(t, fmt.Sprintf("event %d (%s): noted", i, e.Do), noted, e.Noted)
		}
		if e.Phase != "" {
			got := "unknown"
			if p, ok := b.Phase(e.Job); ok {
				got = p.String()
			}
			if got != e.Phase {
				t.Errorf("event %d: phase of %s: got %s, want %s", i, e.Job, got, e.Phase)
			}
		}
	}
}

func compare(t *testing.T, what string, got, want []string) {
	t.Helper()
	slices.Sort(got)
	slices.Sort(want)
	if len(got) != len(want) {
		t.Errorf("%s: got %q, want %q", what, got, want)
		return
	}
	for i := range got {
		g, w := strings.Fields(got[i]), strings.Fields(want[i])
		if len(w) < 3 {
			g, w = append(g, ""), append(w, "")
		}
		if g[0] != w[0] || g[1] != w[1] || w[2] != "*" && g[2] != w[2] || len(w) > 3 && (len(g) < 4 || g[3] != w[3]) {
			t.Errorf("%s: got %q, want %q", what, got, want)
			return
		}
	}
}

func apply(t *testing.T, b *Board, now time.Time, wall int64, e *event) {
	t.Helper()
	w := &Worker{Name: e.Worker, Life: e.Life, Service: "bench", Capacity: worker.Resources{MilliCPU: e.CPU, MemoryMB: e.MemMB}, Labels: e.Labels, Draining: e.Draining, Pace: 100, Instance: fmt.Sprintf("%s/%d", e.Worker, e.Life)}
	if e.CPU == 0 {
		w.Capacity = worker.Resources{MilliCPU: 16000, MemoryMB: 64000}
	}
	switch e.Do {
	case "report":
		b.Report(now, wall, w, rowsOf(t, e.Runs), endsOf(t, e.Ends))
	case "describe":
		b.Describe(now, w, rowsOf(t, e.Runs))
	case "ended":
		b.Ended(now, wall, e.Worker, e.Life, endsOf(t, e.Ends))
	case "refused":
		for _, r := range rowsOf(t, e.Runs) {
			b.Refused(now, wall, e.Worker, e.Life, r.Task, r.Run)
		}
	case "admit":
		b.Admit(now, wall, jobOf(t, e), nil, e.Old)
	case "cancel":
		b.Cancel(now, wall, e.Job)
	case "advised":
		b.Advised(now, e.Question, e.Tickets, time.Duration(e.ValidMS)*time.Millisecond)
	case "not-advised":
		b.NotAdvised(now, e.Question)
	case "ticket-refused":
		for _, r := range rowsOf(t, e.Runs) {
			b.Unticketed(e.Worker, r.Task)
			b.Refused(now, wall, e.Worker, e.Life, r.Task, r.Run)
		}
	case "silent":
		b.Silent(e.Worker)
	case "lapsed":
		b.Lapsed(now, e.Worker)
	case "caught-up":
		b.CaughtUp(now, now)
	case "settle":
		b.Settle()
	case "wait":
	default:
		t.Fatalf("unknown event %q", e.Do)
	}
}

func jobOf(t *testing.T, e *event) *workflow.Submission {
	t.Helper()
	var steps []scriptStep
	if err := json.Unmarshal(e.Steps, &steps); err != nil {
		t.Fatal(err)
	}
	sub := &workflow.Submission{ID: e.Job, Queue: e.Queue, AcceptedMS: 1_000_000 + e.AtMS, Spec: workflow.Spec{Times: e.Times, FirstMS: e.First, EveryMS: e.Every}}
	for _, s := range steps {
		sub.Spec.Steps = append(sub.Spec.Steps, workflow.Step{
			Count: s.Count, Size: worker.Resources{MilliCPU: s.CPU, MemoryMB: s.MemMB}, EstimateMS: s.EstimateMS, After: s.After,
			Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, Rack: s.Rack, MostPerWorker: s.MostPerWorker, Saves: s.Saves,
			Copies: s.Copies, Lasts: s.Lasts, Image: s.Image, TargetMS: s.TargetMS, Fills: s.Fills,
		})
	}
	if err := sub.Spec.Validate(); err != nil {
		t.Fatal(err)
	}
	return sub
}

func taskOf(t *testing.T, name string) workflow.TaskID {
	t.Helper()
	id, ok := workflow.ParseTask(name)
	if !ok {
		t.Fatalf("task %q", name)
	}
	return id
}

func rowsOf(t *testing.T, lines []string) []Row {
	t.Helper()
	var out []Row
	for _, l := range lines {
		var name string
		var r Row
		if _, err := fmt.Sscan(l+" 0 0", &name, &r.Run, &r.Percent, &r.Reading); err != nil {
			t.Fatalf("run %q: %v", l, err)
		}
		r.Task = taskOf(t, name)
		out = append(out, r)
	}
	return out
}

func endsOf(t *testing.T, lines []string) []End {
	t.Helper()
	var out []End
	for _, l := range lines {
		f := strings.Fields(l + " ")
		var e End
		if _, err := fmt.Sscan(f[0]+" "+f[2], &e.Number, &e.Run); err != nil {
			t.Fatalf("end %q: %v", l, err)
		}
		e.Task = taskOf(t, f[1])
		e.How = How(slices.Index(howNames[:], f[3]))
		if len(f) > 4 {
			e.Saved = f[4]
		}
		out = append(out, e)
	}
	return out
}
