package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Limits of what is learned about a worker's speed.
const (
	// paceWeight is the weight of the newest run in a worker's pace.
	paceWeight = 0.25
	// shortestPaced is the estimate below which a run says nothing about the pace.
	shortestPaced = 50
)

// health is what runs tell about a worker.
type health struct {
	outcomes worker.Health
	// pace is the weighted quotient of measured and estimated running time; 0 while nothing is known.
	pace float64
	// probing is set while a suspect worker is tested.
	probing bool
}

// learn takes in how a run ended.
func (b *Board) learn(now time.Time, r *run, how How) {
	h := &r.host.health
	switch how {
	case HowDone:
		h.outcomes.Succeeded()
		if est := r.step.spec.EstimateMS; est >= shortestPaced && !r.step.spec.Fills && r.saved == "" {
			ratio := float64(now.Sub(r.since).Milliseconds()) / float64(est)
			if h.pace == 0 {
				h.pace = 1
			}
			h.pace += (ratio - h.pace) * paceWeight
		}
	case HowFailed:
		h.outcomes.Failed(now, r.id.Job)
	}
	h.probing = false
}

// usable reports whether a worker should get a task, given what its runs told.
func (h *health) usable(now time.Time) bool {
	if !h.outcomes.Suspect() {
		return true
	}
	return h.outcomes.MayProbe(now) && !h.probing
}
