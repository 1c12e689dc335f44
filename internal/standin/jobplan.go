package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// JobPlan says how the tasks of a job behave. Callers send it, encoded in JSON, as the text of the job.
type JobPlan struct {
	Job   string     `json:"job"`
	Steps []StepPlan `json:"steps"`
	// Occurrences is how often the steps run; 0 stands for once. Occurrence k is due k times IntervalMS after FirstDueMS, a
	// Unix time; 0 stands for at once.
	Occurrences int   `json:"occurrences,omitempty"`
	FirstDueMS  int64 `json:"first-due-ms,omitempty"`
	IntervalMS  int64 `json:"interval-ms,omitempty"`
	// Note is not interpreted.
	Note string `json:"note,omitempty"`
}

// StepPlan says how the tasks of a step behave.
type StepPlan struct {
	Count      int   `json:"count"`
	DurationMS int64 `json:"duration-ms"`
	// MilliCPU and MemoryMB are what each task takes of the runner's capacity.
	MilliCPU int64 `json:"milli-cpu,omitempty"`
	MemoryMB int64 `json:"memory-mb,omitempty"`
	// Rack is where the tasks are as fast as DurationMS says; empty stands for everywhere.
	Rack          string        `json:"rack,omitempty"`
	After         []int         `json:"after,omitempty"`
	Gang          bool          `json:"gang,omitempty"`
	Speculative   bool          `json:"speculative,omitempty"`
	Checkpointing bool          `json:"checkpointing,omitempty"`
	Behaviour     TaskBehaviour `json:"behaviour,omitempty"`
	// FailedRuns is the highest number of a run that fails whatever Behaviour says.
	FailedRuns uint64 `json:"failed-runs,omitempty"`
}

// ParseJobPlan returns the plan that a job's text holds, and whether it holds one.
func ParseJobPlan(text string) (*JobPlan, bool) {
	var p JobPlan
	if !strings.HasPrefix(text, "{") || json.Unmarshal([]byte(text), &p) != nil {
		return nil, false
	}
	return &p, true
}

// occurrenceAndStep returns the occurrence and the step of a task with a name of the form JOB.OCCURRENCE.STEP.INDEX.
func occurrenceAndStep(task string) (occurrence, step int, ok bool) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return 0, 0, false
	}
	occurrence, err := strconv.Atoi(f[1])
	step, err2 := strconv.Atoi(f[2])
	return occurrence, step, err == nil && err2 == nil
}

// step returns the plan of a task's step.
func (p *JobPlan) step(task string) (StepPlan, bool) {
	_, i, ok := occurrenceAndStep(task)
	if p == nil || !ok || i < 0 || i >= len(p.Steps) {
		return StepPlan{}, false
	}
	return p.Steps[i], true
}

// dueAt returns when a task is due.
func (p *JobPlan) dueAt(task string) time.Time {
	occurrence, _, _ := occurrenceAndStep(task)
	if p.FirstDueMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.FirstDueMS + int64(occurrence)*p.IntervalMS)
}

// stepKeys returns the keys of the successes of one step.
func (p *JobPlan) stepKeys(occurrence, step int) []string {
	prefix := fmt.Sprintf("%s.%d.%d", p.Job, occurrence, step)
	if p.Steps[step].Gang {
		return []string{prefix}
	}
	var out []string
	for i := range p.Steps[step].Count {
		out = append(out, fmt.Sprintf("%s.%d", prefix, i))
	}
	return out
}

// predecessors returns the keys of the successes that must precede a task.
func (p *JobPlan) predecessors(task string) []string {
	var out []string
	occurrence, _, _ := occurrenceAndStep(task)
	if s, ok := p.step(task); ok {
		for _, i := range s.After {
			out = append(out, p.stepKeys(occurrence, i)...)
		}
	}
	return out
}

// successKeys returns the keys of the successes of all tasks of the job.
func (p *JobPlan) successKeys() []string {
	var out []string
	for k := range max(p.Occurrences, 1) {
		for i := range p.Steps {
			out = append(out, p.stepKeys(k, i)...)
		}
	}
	return out
}
