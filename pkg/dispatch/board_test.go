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

// scenario is a sequence of events, each with the orders that are wanted after it.
type scenario struct {
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
	// Runs are the runs that a worker lists: "task run percent reading".
	Runs []string `json:"runs"`
	// Ends are the ends that a worker lists: "number task run outcome checkpoint".
	Ends []string `json:"ends"`
	// Job, Queue, Old and Steps describe a job.
	Job   string          `json:"job"`
	Queue string          `json:"queue"`
	Old   bool            `json:"old"`
	Times int             `json:"times"`
	First int64           `json:"first-ms"`
	Every int64           `json:"every-ms"`
	Steps json.RawMessage `json:"steps"`
	// Start and Stop are the orders wanted: "task run worker", with * for any worker. The
	// ticket may follow in a start order.
	Start []string `json:"start"`
	Stop  []string `json:"stop"`
	// Lost are the runs wanted as lost with their workers: "task run worker"; not compared if
	// missing.
	Lost []string `json:"lost"`
	// Ask are the questions wanted: "step asker workers", with the workers separated by commas
	// and each written as worker/life.
	Ask []string `json:"ask"`
	// Question is the number of the question that Tickets answers, by worker/life; the tickets
	// are valid for ValidMS.
	Question uint64            `json:"question"`
	Tickets  map[string]string `json:"tickets"`
	ValidMS  int64             `json:"valid-ms"`
	// Noted are the acknowledgements wanted: "worker number", with the number of the last end
	// that the worker may forget; not compared if missing.
	Noted []string `json:"noted"`
	// Phase is the phase wanted of the job.
	Phase string `json:"phase"`
}

type scenarioStep struct {
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
	"fits":   {Service: "bench", Priority: 0, Attempts: 2, Stretch: 1.5, TargetLatency: 300 * time.Millisecond},
	"shapes": {Service: "bench", Priority: 2, Attempts: 2, Stretch: 2, TargetLatency: time.Second},
	"lasts":  {Service: "bench", Priority: 0, Attempts: 2, Stretch: 2, TargetLatency: time.Second},
	"advised": {
		Service: "bench", Priority: 0, Attempts: 2, Stretch: 2, TargetLatency: time.Second,
		Policy: &PlacementPolicy{Decision: 300 * time.Millisecond, PerWorker: 2 * time.Millisecond},
	},
}

func TestBoard(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in testdata: %v", err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		var scenarios []scenario
		if err := json.Unmarshal(data, &scenarios); err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		for i := range scenarios {
			s := &scenarios[i]
			t.Run(strings.TrimSuffix(filepath.Base(f), ".json")+"/"+s.Name, func(t *testing.T) { runScenario(t, s) })
		}
	}
}

func runScenario(t *testing.T, s *scenario) {
	t.Helper()
	var sc Scheduler
	sc.SetQueues(testQueues)
	sc.SetRemoteRackSlowdown(1.5)
	sc.BeginTerm(max(1, s.Term), s.Known)
	base := time.Unix(1000, 0)
	for i := range s.Events {
		e := &s.Events[i]
		now, wall := base.Add(time.Duration(e.AtMS)*time.Millisecond), 1_000_000+e.AtMS
		applyEvent(t, &sc, now, wall, e)
		orders := sc.Decide(now, wall)
		var starts, stops []string
		for _, o := range orders.Starts() {
			starts = append(starts, fmt.Sprintf("%s %d %s %s", o.Task, o.Run, o.Worker, o.Ticket))
		}
		for _, o := range orders.Stops() {
			stops = append(stops, fmt.Sprintf("%s %d %s", o.Task, o.Run, o.Worker))
		}
		compareLines(t, fmt.Sprintf("event %d (%s): starts", i, e.Do), starts, e.Start)
		compareLines(t, fmt.Sprintf("event %d (%s): stops", i, e.Do), stops, e.Stop)
		var asked []string
		for _, q := range orders.Questions() {
			slices.Sort(q.Instances)
			asked = append(asked, fmt.Sprintf("%s %s %s", q.Step, q.Asker, strings.Join(q.Instances, ",")))
		}
		compareLines(t, fmt.Sprintf("event %d (%s): questions", i, e.Do), asked, e.Ask)
		if e.Lost != nil {
			var lost []string
			for _, l := range sc.TakeLostRuns() {
				lost = append(lost, fmt.Sprintf("%s %d %s", l.Task, l.Run, l.Worker))
			}
			compareLines(t, fmt.Sprintf("event %d (%s): lost", i, e.Do), lost, e.Lost)
		}
		if e.Noted != nil {
			var acked []string
			sc.TakeChange().EachAck(func(worker string, _, end uint64) { acked = append(acked, fmt.Sprintf("%s %d ", worker, end)) })
			compareLines(t, fmt.Sprintf("event %d (%s): acknowledged ends", i, e.Do), acked, e.Noted)
		}
		if e.Phase != "" {
			got := "unknown"
			if p, ok := sc.Phase(e.Job); ok {
				got = p.String()
			}
			if got != e.Phase {
				t.Errorf("event %d: phase of %s: got %s, want %s", i, e.Job, got, e.Phase)
			}
		}
	}
}

func compareLines(t *testing.T, what string, got, want []string) {
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

func applyEvent(t *testing.T, sc *Scheduler, now time.Time, wall int64, e *event) {
	t.Helper()
	w := &Worker{Name: e.Worker, Life: e.Life, Service: "bench", Capacity: worker.Resources{MilliCPU: e.CPU, MemoryMB: e.MemMB}, Labels: e.Labels, Draining: e.Draining, PacePercent: 100, Instance: fmt.Sprintf("%s/%d", e.Worker, e.Life)}
	if e.CPU == 0 {
		w.Capacity = worker.Resources{MilliCPU: 16000, MemoryMB: 64000}
	}
	switch e.Do {
	case "report":
		sc.ApplyReport(now, wall, w, runsOf(t, e.Runs), endsOf(t, e.Ends))
	case "describe":
		sc.ApplyPing(now, w, runsOf(t, e.Runs))
	case "ended":
		sc.ApplyEnds(now, wall, e.Worker, e.Life, endsOf(t, e.Ends))
	case "refused":
		for _, r := range runsOf(t, e.Runs) {
			sc.OrderRefused(now, wall, e.Worker, e.Life, r.Task, r.Run)
		}
	case "admit":
		sc.Admit(now, wall, jobOf(t, e), nil, e.Old)
	case "cancel":
		sc.Cancel(now, wall, e.Job)
	case "advised":
		sc.PolicyAnswered(now, e.Question, e.Tickets, time.Duration(e.ValidMS)*time.Millisecond)
	case "not-advised":
		sc.PolicyUnanswered(now, e.Question)
	case "ticket-refused":
		for _, r := range runsOf(t, e.Runs) {
			sc.TicketRefused(e.Worker, r.Task)
			sc.OrderRefused(now, wall, e.Worker, e.Life, r.Task, r.Run)
		}
	case "silent":
		sc.MarkSilent(e.Worker)
	case "lapsed":
		sc.WorkerLeaseExpired(now, e.Worker)
	case "caught-up":
		sc.AllJobsKnown(now, now)
	case "settle":
		sc.ExpireEarlierTerms()
	case "wait":
	default:
		t.Fatalf("unknown event %q", e.Do)
	}
}

func jobOf(t *testing.T, e *event) *workflow.Submission {
	t.Helper()
	var steps []scenarioStep
	if err := json.Unmarshal(e.Steps, &steps); err != nil {
		t.Fatal(err)
	}
	sub := &workflow.Submission{ID: e.Job, Queue: e.Queue, AcceptedMS: 1_000_000 + e.AtMS, Spec: workflow.Spec{RepeatCount: e.Times, FirstDueMS: e.First, IntervalMS: e.Every}}
	for _, s := range steps {
		sub.Spec.Steps = append(sub.Spec.Steps, workflow.Step{
			Count: s.Count, Size: worker.Resources{MilliCPU: s.CPU, MemoryMB: s.MemMB}, EstimateMS: s.EstimateMS, After: s.After,
			Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, Rack: s.Rack, MaxPerWorker: s.MostPerWorker, Checkpointing: s.Saves,
			Speculative: s.Copies, LongRunning: s.Lasts, Image: s.Image, TargetMS: s.TargetMS, BestEffort: s.Fills,
		})
	}
	if err := sub.Spec.Validate(); err != nil {
		t.Fatal(err)
	}
	return sub
}

func taskOf(t *testing.T, name string) workflow.TaskID {
	t.Helper()
	id, ok := workflow.ParseTaskID(name)
	if !ok {
		t.Fatalf("invalid task ID %q", name)
	}
	return id
}

func runsOf(t *testing.T, lines []string) []RunStatus {
	t.Helper()
	var out []RunStatus
	for _, l := range lines {
		var name string
		var r RunStatus
		if _, err := fmt.Sscan(l+" 0 0", &name, &r.Run, &r.Percent, &r.Reading); err != nil {
			t.Fatalf("invalid run %q: %v", l, err)
		}
		r.Task = taskOf(t, name)
		out = append(out, r)
	}
	return out
}

func endsOf(t *testing.T, lines []string) []RunEnd {
	t.Helper()
	var out []RunEnd
	for _, l := range lines {
		f := strings.Fields(l + " ")
		var e RunEnd
		if _, err := fmt.Sscan(f[0]+" "+f[2], &e.Number, &e.Run); err != nil {
			t.Fatalf("invalid end %q: %v", l, err)
		}
		e.Task = taskOf(t, f[1])
		e.How = Outcome(slices.Index(outcomeNames[:], f[3]))
		if len(f) > 4 {
			e.Saved = f[4]
		}
		out = append(out, e)
	}
	return out
}
