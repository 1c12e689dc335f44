package queue

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ClassUse is what the tasks of one class use on one worker, some time ago.
type ClassUse struct {
	// Class is the name of the batch class.
	Class string
	// Granted is the sum of what its tasks asked for.
	Granted worker.Resources
	// Used is the sum of what they used.
	Used worker.Resources
}

type kind struct{ team, class string }

// learned is what past runs say about run times and sizes. It changes how work
// is ordered and scored, never what is granted.
type learned struct {
	runs map[kind]*worker.Estimate
	cpu  map[string]*worker.Estimate
}

func (l *learned) run(team, class string, took time.Duration) {
	if l.runs == nil {
		l.runs = make(map[kind]*worker.Estimate)
	}
	k := kind{team: team, class: class}
	if l.runs[k] == nil {
		l.runs[k] = new(worker.Estimate)
	}
	l.runs[k].Add(took.Seconds())
}

func (l *learned) runTime(team, class string, declared time.Duration) time.Duration {
	e, ok := l.runs[kind{team: team, class: class}]
	if !ok {
		return declared
	}
	return time.Duration(e.Mean(declared.Seconds()) * float64(time.Second))
}

func (l *learned) sized(u *ClassUse) {
	if u.Granted.MilliCPU <= 0 {
		return
	}
	if l.cpu == nil {
		l.cpu = make(map[string]*worker.Estimate)
	}
	if l.cpu[u.Class] == nil {
		l.cpu[u.Class] = new(worker.Estimate)
	}
	l.cpu[u.Class].Add(float64(u.Used.MilliCPU) / float64(u.Granted.MilliCPU))
}

// use returns what a task of class that asked for size is likely to use.
func (l *learned) use(class string, size worker.Resources) worker.Resources {
	if e, ok := l.cpu[class]; ok {
		size.MilliCPU = int64(float64(size.MilliCPU) * e.Mean(1))
	}
	return size
}

// observe learns from what a worker's classes use beside its service.
func (s *Scheduler) observe(r *worker.Report, uses []ClassUse) {
	parts := make([]worker.Part, 0, len(uses))
	for i := range uses {
		s.learned.sized(&uses[i])
		if r.Total.MilliCPU > 0 {
			parts = append(parts, worker.Part{
				Class: uses[i].Class, Share: float64(uses[i].Used.MilliCPU) / float64(r.Total.MilliCPU),
			})
		}
	}
	if r.Service != "" && r.Pressure > 0 {
		s.fleet.Interference().Observe(r.Service, r.Load, parts, r.Pressure)
	}
}
