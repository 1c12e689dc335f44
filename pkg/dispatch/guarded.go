package dispatch

import "savoryhoist.example/savoryhoist/pkg/workflow"

// Guarded is what a worker's guard needs to know of a task.
type Guarded struct {
	_    struct{} `cbor:",toarray"`
	Task workflow.TaskID
	// TargetMS bounds the tail latency of a task that serves, in milliseconds.
	TargetMS float64
	Fills    bool
	// Harm is how much a filling task is expected to harm the serving ones there, from 0 to 1.
	Harm float64
}

// Guarded returns the tasks at a worker that serve or fill.
func (b *Board) Guarded(name string) []Guarded {
	h := b.workers[name]
	if h == nil {
		return nil
	}
	var out []Guarded
	for id, r := range h.runs {
		if s := r.step.spec; s.TargetMS > 0 || s.Fills {
			out = append(out, Guarded{Task: id, TargetMS: s.TargetMS, Fills: s.Fills, Harm: b.blameOf(h, s.Image)})
		}
	}
	return out
}
