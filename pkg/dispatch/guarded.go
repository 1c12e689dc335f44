package dispatch

import "savoryhoist.example/savoryhoist/pkg/workflow"

// GuardedTask is what the latency guard of a worker has to know of a task.
type GuardedTask struct {
	_    struct{} `cbor:",toarray"`
	Task workflow.TaskID
	// TargetMS is the limit of the tail latency of a serving task, in milliseconds.
	TargetMS float64
	// Fills is set for a best-effort task.
	Fills bool
	// Harm is the interference load that the image of a best-effort task is expected to cause
	// at the worker, from 0 to 1.
	Harm float64
}

// GuardedTasks returns the serving and best-effort tasks at a worker.
func (sc *Scheduler) GuardedTasks(name string) []GuardedTask {
	w := sc.workers[name]
	if w == nil {
		return nil
	}
	var out []GuardedTask
	for id, r := range w.runs {
		if s := r.step.spec; s.TargetMS > 0 || s.BestEffort {
			out = append(out, GuardedTask{Task: id, TargetMS: s.TargetMS, Fills: s.BestEffort, Harm: sc.imageInterference(w, s.Image)})
		}
	}
	return out
}
