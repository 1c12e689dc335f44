// Package job folds the records of a data centre's stream into the state of
// its jobs. The state after a record depends only on the records up to it, so
// every reader of the stream agrees on it.
package job

import (
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Phase is where a task is in its life.
type Phase uint8

// The phases of a task.
const (
	// Pending tasks wait for a worker.
	Pending Phase = iota
	// Assigned tasks were given to a worker that has not yet reported a start.
	Assigned
	// Running tasks were reported as started.
	Running
	// Revoked tasks were withdrawn from a worker that may still run them.
	Revoked
	// Succeeded tasks ended well.
	Succeeded
	// Failed tasks used up their attempts.
	Failed
	// Cancelled tasks were ended by their team.
	Cancelled
	// Moved tasks go on in another stream.
	Moved
)

var phaseNames = [...]string{
	"pending", "assigned", "running", "revoked", "succeeded", "failed", "cancelled", "moved",
}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Ended reports whether a task in this phase never runs again in this stream.
func (p Phase) Ended() bool { return p >= Succeeded }

// Held reports whether a worker may run a task in this phase.
func (p Phase) Held() bool { return p == Assigned || p == Running || p == Revoked }

// Task is the state of one task.
type Task struct {
	phase      Phase
	attempt    uint32
	failures   uint32
	epoch      record.Position
	revoked    record.Position
	worker     string
	checkpoint string
	detail     string
}

// Phase returns where the task is in its life.
func (t *Task) Phase() Phase { return t.phase }

// Attempt counts the assignments that took effect.
func (t *Task) Attempt() uint32 { return t.attempt }

// Failures counts the runs that ended in failure.
func (t *Task) Failures() uint32 { return t.failures }

// Epoch returns the position of the assignment in effect.
func (t *Task) Epoch() record.Position { return t.epoch }

// RevokedAt returns the position of the revocation in effect, or 0.
func (t *Task) RevokedAt() record.Position { return t.revoked }

// Worker returns the worker of the assignment in effect.
func (t *Task) Worker() string { return t.worker }

// Checkpoint returns the reference of the last saved progress, or "".
func (t *Task) Checkpoint() string { return t.checkpoint }

// Detail returns what was reported last about the task.
func (t *Task) Detail() string { return t.detail }

// Job is the state of one job.
type Job struct {
	spec      record.Spec
	submitted record.Position
	cancelled bool
	tasks     []Task
	open      int
	hops      uint32
	ended     record.Position
	endedMS   int64
}

// Spec returns what the team asked for.
func (j *Job) Spec() *record.Spec { return &j.spec }

// Submitted returns the position of the submission.
func (j *Job) Submitted() record.Position { return j.submitted }

// Cancelled reports whether the job's team has ended it.
func (j *Job) Cancelled() bool { return j.cancelled }

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Task returns the task at index.
func (j *Job) Task(index int) *Task { return &j.tasks[index] }

// Ended reports whether every task has ended.
func (j *Job) Ended() bool { return j.open == 0 }

// EndedMS returns when the job ended, in Unix milliseconds on the clock of the
// entry that recorded it; 0 if that is not known.
func (j *Job) EndedMS() int64 { return max(j.endedMS, j.spec.SubmittedAt) }

// Phase returns the job's phase: the least advanced of its tasks, with failures first.
func (j *Job) Phase() Phase {
	if j.cancelled && j.Ended() {
		return Cancelled
	}
	phase := Succeeded
	for i := range j.tasks {
		p := j.tasks[i].phase
		if p == Failed || p == Moved {
			return p
		}
		if p < phase {
			phase = p
		}
	}
	return phase
}

// Hops counts the moves of the job between streams before this one.
func (j *Job) Hops() uint32 { return j.hops }

// MovedTo returns the data centre in whose stream the job goes on, or "".
func (j *Job) MovedTo() string {
	for i := range j.tasks {
		if j.tasks[i].phase == Moved {
			return j.tasks[i].detail
		}
	}
	return ""
}
