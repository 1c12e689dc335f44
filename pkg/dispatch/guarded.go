package dispatch

import "savoryhoist.example/savoryhoist/pkg/workflow"

// Guarded is what the latency guard of a worker has to know of a task.
type Guarded struct {
	_    struct{} `cbor:",toarray"`
	Task workflow.TaskID
	// TargetMS is the limit of the tail latency of a serving task, in milliseconds.
	TargetMS float64
	Fills    bool
	// Harm is the interference load that the image of a best-effort task is expected to cause
	// there, from 0 to 1.
	Harm float64
}

// Guarded returns the serving and best-effort tasks at a worker.
func (sc *Board) Guarded(name string) []Guarded {
	w := sc.workers[name]
	if w == nil {
		return nil
	}
	var out []Guarded
	for id, r := range w.runs {
		if s := r.step.spec; s.TargetMS > 0 || s.Fills {
			out = append(out, Guarded{Task: id, TargetMS: s.TargetMS, Fills: s.Fills, Harm: sc.imageInterference(w, s.Image)})
		}
	}
	return out
}
