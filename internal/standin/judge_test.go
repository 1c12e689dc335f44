package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// judgeCase is a case of testdata/judge.json. A line of the script has the milliseconds since its beginning, a runner, what
// happens there and its numbers. Runs take 100 ms unless the case says otherwise.
type judgeCase struct {
	Name        string        `json:"name"`
	Speculative bool          `json:"speculative"`
	Gang        bool          `json:"gang"`
	After       bool          `json:"after"`
	Behaviour   TaskBehaviour `json:"behaviour"`
	DurationMS  int64         `json:"duration-ms"`
	StopMS      int64         `json:"stop-ms"`
	// Disrupted holds the first and the last millisecond of each disruption.
	Disrupted  [][2]int64 `json:"disrupted"`
	Script     []string   `json:"script"`
	Want       []string   `json:"want"`
	Cancelled  []string   `json:"cancelled"`
	NearMisses []string   `json:"near-misses"`
}

func TestJudge(t *testing.T) {
	data, err := os.ReadFile("testdata/judge.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []judgeCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			h, end := c.play(t)
			for _, l := range []struct {
				name      string
				got, want []string
			}{{"violations", h.Violations(), c.Want}, {"cancelled", h.CancelledViolations(end), c.Cancelled}, {"near misses", h.NearMisses(), c.NearMisses}} {
				if got := shorten(l.got); !slices.Equal(got, l.want) {
					t.Errorf("%s: got %q, want %q\n%s", l.name, got, l.want, h.Report(end))
				}
			}
		})
	}
}

// shorten returns the lines without the day of the month.
func shorten(lines []string) []string {
	var out []string
	for _, l := range lines {
		out = append(out, strings.ReplaceAll(l, "Jan  1 ", ""))
	}
	return out
}

// play plays the script of a case, and returns its history and the time of its end.
func (c *judgeCase) play(t *testing.T) (*History, time.Time) {
	t.Helper()
	begin := time.UnixMilli(0).UTC()
	now := begin
	h, gangs := &History{Disrupted: c.disrupted}, &Gangs{}
	plan := &JobPlan{Job: "j", Steps: []StepPlan{{Count: 1, DurationMS: max(c.DurationMS, 0), Speculative: c.Speculative, Gang: c.Gang, Behaviour: c.Behaviour}}}
	if plan.Steps[0].DurationMS == 0 {
		plan.Steps[0].DurationMS = 100
	}
	if c.Gang {
		plan.Steps[0].Count = 2
	}
	if c.After {
		plan.Steps = append(plan.Steps, StepPlan{Count: 1, DurationMS: 100})
		plan.Steps[0].After = []int{1}
	}
	runners := make(map[string]*TaskRunner)
	for _, name := range []string{"x", "y"} {
		runners[name] = &TaskRunner{Name: name, History: h, Gangs: gangs, StopTime: time.Duration(c.StopMS) * time.Millisecond, LongestGrant: 5 * time.Second}
		runners[name].Restart(now)
	}
	for _, line := range c.Script {
		var ms, number, index int64
		var name, event string
		if n, err := fmt.Sscan(line, &ms, &name, &event, &number, &index); n < 3 {
			t.Fatalf("line %q: %v", line, err)
		}
		for ; now.Before(begin.Add(time.Duration(ms) * time.Millisecond)); now = now.Add(time.Millisecond) {
			for _, r := range runners {
				r.EndDueRuns(now)
			}
		}
		c.step(t, now, h, runners[name], plan, event, number, index)
	}
	return h, now
}

// step lets one event of a script happen at a runner.
func (c *judgeCase) step(t *testing.T, now time.Time, h *History, r *TaskRunner, plan *JobPlan, event string, number, index int64) {
	t.Helper()
	leaseMS := r.ClockMS(now) + 3000
	switch event {
	case "start", "late-start":
		r.Admit(now, 1, leaseMS)
		o := &Order{Task: fmt.Sprintf("j.0.0.%d", index), Run: uint64(number), LeaseEndMS: leaseMS, Plan: plan, Late: event == "late-start"}
		if reason := r.CarryOut(now, o); reason != "" {
			t.Errorf("%s: refused: %s", event, reason)
		}
	case "stop":
		r.Stop(now, fmt.Sprintf("j.0.0.%d", index), uint64(number))
	case "hold":
		if number > 0 {
			leaseMS = number
		}
		r.Admit(now, 1, leaseMS)
	case "list":
		_, ends := r.List(now, 0)
		r.NoteListed(now, ends)
	case "ack":
		r.List(now, uint64(number))
	case "restart":
		r.Restart(now)
	case "completed":
		h.NoteCompleted(now, "j", plan)
	case "cancelled":
		h.NoteCancelled(now, "j")
	default:
		t.Fatalf("no event %q", event)
	}
}

// disrupted reports whether a disruption of the case falls between two times.
func (c *judgeCase) disrupted(from, to time.Time) bool {
	return slices.ContainsFunc(c.Disrupted, func(d [2]int64) bool { return d[0] <= to.UnixMilli() && d[1] >= from.UnixMilli() })
}
