// Package job computes the state of a data centre's jobs from the records in its
// stream. The state after a record depends only on the records up to it, so all
// readers of the stream agree on it. Based on this state, the package decides
// what agents are told, when the tasks of lost workers are started elsewhere, and
// how the jobs of a lost data centre continue in another one.
package job

import (
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Phase is the phase of a task's life cycle.
type Phase uint8

// The phases of a task.
const (
	// Pending means that the task waits for a worker.
	Pending Phase = iota
	// Assigned means that the task was assigned to a worker that has not yet
	// reported its start.
	Assigned
	// Running means that the worker has reported the task's start.
	Running
	// Revoked means that the assignment was withdrawn, but the worker may still
	// run the task.
	Revoked
	// Succeeded means that a run of the task has succeeded.
	Succeeded
	// Failed means that as many runs have failed as the job allows.
	Failed
	// Cancelled means that the team has cancelled the job.
	Cancelled
	// Moved means that the task continues in the stream of another data centre.
	Moved
)

var phaseNames = [...]string{
	"pending", "assigned", "running", "revoked", "succeeded", "failed", "cancelled", "moved",
}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Ended reports whether a task in this phase will never run again in this stream.
func (p Phase) Ended() bool { return p >= Succeeded }

// Active reports whether a worker may be running a task in this phase.
func (p Phase) Active() bool { return p == Assigned || p == Running || p == Revoked }

// Task is the state of one task.
type Task struct {
	phase          Phase
	attempt        uint32
	failures       uint32
	epoch          record.Position
	revokePosition record.Position
	worker         string
	checkpoint     string
	detail         string
}

// Phase returns the task's phase.
func (t *Task) Phase() Phase { return t.phase }

// Attempt returns the number of assignments that took effect.
func (t *Task) Attempt() uint32 { return t.attempt }

// Failures returns the number of runs that ended in failure.
func (t *Task) Failures() uint32 { return t.failures }

// Epoch returns the position of the last Assign record that took effect.
func (t *Task) Epoch() record.Position { return t.epoch }

// RevokePosition returns the position of the Revoke or Cancel record that has withdrawn
// the assignment in effect, or 0.
func (t *Task) RevokePosition() record.Position { return t.revokePosition }

// Worker returns the worker that the task was last assigned to.
func (t *Task) Worker() string { return t.worker }

// Checkpoint returns the reference of the task's newest checkpoint, or "".
func (t *Task) Checkpoint() string { return t.checkpoint }

// Detail returns the newest detail or reason recorded about the task. For a moved
// task, the detail is the data centre where the job continues.
func (t *Task) Detail() string { return t.detail }

// Job is the state of one job.
type Job struct {
	spec record.Spec
	// submitPosition is the position of the Submit record.
	submitPosition record.Position
	cancelled      bool
	tasks          []Task
	// openTasks is the number of tasks that have not ended.
	openTasks int
	// moves is how often the job was moved between data centres before.
	moves uint32
	// endPosition is the position of the record that ended the job's last task.
	endPosition record.Position
	endedMS     int64
}

// Spec returns the specification that the team submitted.
func (j *Job) Spec() *record.Spec { return &j.spec }

// SubmitPosition returns the position of the Submit record.
func (j *Job) SubmitPosition() record.Position { return j.submitPosition }

// Cancelled reports whether the job's team has cancelled it.
func (j *Job) Cancelled() bool { return j.cancelled }

// TaskCount returns the number of the job's tasks.
func (j *Job) TaskCount() int { return len(j.tasks) }

// Task returns the task at index.
func (j *Job) Task(index int) *Task { return &j.tasks[index] }

// Ended reports whether every task has ended.
func (j *Job) Ended() bool { return j.openTasks == 0 }

// EndedMS returns when the job ended, in Unix milliseconds on the clock of the
// entry that recorded the end. If that time was not recorded, EndedMS returns the time
// of the submission, or 0 if this is not known either.
func (j *Job) EndedMS() int64 { return max(j.endedMS, j.spec.SubmittedAtMS) }

// Phase returns the job's phase: Cancelled if the job was cancelled and has ended,
// else Failed or Moved if a task is in that phase, else the phase of its least
// advanced task.
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

// Moves returns how often the job was moved between data centres before it came
// to this stream.
func (j *Job) Moves() uint32 { return j.moves }

// MovedTo returns the data centre in whose stream the job continues, or "".
func (j *Job) MovedTo() string {
	for i := range j.tasks {
		if j.tasks[i].phase == Moved {
			return j.tasks[i].detail
		}
	}
	return ""
}
