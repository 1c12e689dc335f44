// Package workflow defines jobs that consist of steps: their specifications, the IDs of their
// tasks, their stored progress, and the table of all jobs that a reader of the store builds.
package workflow

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ErrInvalidSpec means that the specification of a job is not valid.
var ErrInvalidSpec = errors.New("the job specification is not valid")

// Limits of a job's specification.
const (
	// MaxTextBytes is the largest size of the text that a job passes to its tasks; the platform
	// accepts no more.
	MaxTextBytes = 4000
	// MaxSteps and MaxTasks bound the memory that one job takes at an entry.
	MaxSteps = 256
	MaxTasks = 20000
	// MaxOccurrences bounds how many times one job runs.
	MaxOccurrences = 100000
	// MaxTasksInAll bounds the tasks of all occurrences of one job, which may all be due at once: a
	// task takes 160 bytes at the dispatcher.
	MaxTasksInAll = 200000
)

// Step is one step of a job: a number of identical tasks.
type Step struct {
	// Count is the number of tasks, and Size the resources that each requests.
	Count int              `cbor:"1,keyasint"`
	Size  worker.Resources `cbor:"2,keyasint"`
	// EstimateMS is the caller's rough estimate of a task's run time, in milliseconds.
	EstimateMS int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps that have to be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang means that the tasks only run together; they share one run number.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack means that a gang is placed on one rack if it fits on one, else on any workers.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `cbor:"7,keyasint,omitempty"`
	// Rack is the rack of the step's data; tasks run slower on other racks.
	Rack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker is how many tasks of the step may run on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Checkpointing means that the tasks write checkpoints.
	Checkpointing bool `cbor:"10,keyasint,omitempty"`
	// Speculative means that several runs of one task may run at a time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; interference is learned for each pair of images.
	Image string `cbor:"13,keyasint,omitempty"`
	// TargetMS is the limit of the tail latency of a serving task, one that serves its own
	// users, in milliseconds; 0 for other tasks.
	TargetMS float64 `cbor:"14,keyasint,omitempty"`
	// BestEffort means that the tasks use processor time that other tasks leave, and reserve none.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may stop at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on a worker: its size, without
// the processor time if it is a best-effort task.
func (s *Step) Reserved() worker.Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Spec is the specification of a job.
type Spec struct {
	// Text is passed to each task unchanged.
	Text  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// RepeatCount is how many times a job with a schedule runs; 0 means that the job has no
	// schedule and runs once, immediately.
	RepeatCount int `cbor:"3,keyasint,omitempty"`
	// FirstDueMS is when the first occurrence is due, in Unix milliseconds.
	FirstDueMS int64 `cbor:"4,keyasint,omitempty"`
	// IntervalMS is the time between the due times of two occurrences, in milliseconds.
	IntervalMS int64 `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the job runs; a job without a schedule runs once.
func (s *Spec) Occurrences() int { return max(1, s.RepeatCount) }

// DueMS returns when an occurrence is due, in Unix milliseconds; 0 means immediately.
func (s *Spec) DueMS(occurrence int) int64 {
	if s.RepeatCount == 0 {
		return 0
	}
	return s.FirstDueMS + int64(occurrence)*s.IntervalMS
}

// LongRunning reports whether a step of the job is long-running.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// invalid returns a formatted error that is marked with ErrInvalidSpec.
func invalid(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalidSpec)
}

// Validate returns an error, marked with ErrInvalidSpec, that names the first invalid field.
func (s *Spec) Validate() error {
	if len(s.Text) > MaxTextBytes {
		return invalid("text: want at most %d bytes, got %d", MaxTextBytes, len(s.Text))
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("steps: want 1 to %d, got %d", MaxSteps, len(s.Steps))
	}
	if s.RepeatCount < 0 || s.RepeatCount > MaxOccurrences {
		return invalid("occurrences: want 0 to %d, got %d", MaxOccurrences, s.RepeatCount)
	}
	if s.RepeatCount > 0 && (s.FirstDueMS <= 0 || s.IntervalMS < 0) {
		return invalid("occurrences: want a first time after 1970 and no negative interval")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return errors.Mark(errors.Wrapf(err, "step %d", i), ErrInvalidSpec)
		}
		if tasks += s.Steps[i].Count; tasks > MaxTasks {
			return invalid("steps: want at most %d tasks", MaxTasks)
		}
	}
	if tasks*s.Occurrences() > MaxTasksInAll {
		return invalid("occurrences: want at most %d tasks in all of them, got %d", MaxTasksInAll, tasks*s.Occurrences())
	}
	return nil
}

// validate checks a step; index is its index in the job.
func (s *Step) validate(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return errors.Newf("count: want 1 to %d, got %d", MaxTasks, s.Count)
	case !s.Size.Valid():
		return errors.New("size: amounts must not be negative")
	case s.EstimateMS < 0:
		return errors.New("estimate: must not be negative")
	case s.MaxPerWorker < 0:
		return errors.New("tasks per worker: must not be negative")
	case s.MaxUnavailable < 0:
		return errors.New("may miss: must not be negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Newf("after: want an earlier step, got %d", a)
		}
	}
	return nil
}

// TaskID identifies a task.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name under which workers list the task: job.occurrence.step.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
}

// String returns the name by which other programs know the step: job.occurrence.step.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }
