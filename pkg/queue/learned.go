package queue

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ClassUse is the resource use of the tasks of one batch class on one worker,
// as of its last report.
type ClassUse struct {
	// Class is the name of the batch class.
	Class string
	// Granted is the sum of the declared sizes of the tasks.
	Granted worker.Resources
	// Used is the sum of the resources that the tasks actually use.
	Used worker.Resources
}

type teamClass struct{ team, class string }

// usageStats estimates run times and CPU use from past runs. The estimates
// affect the order of the queue and placement scores, never the amounts
// granted.
type usageStats struct {
	// runSeconds is the mean run time in seconds by team and class.
	runSeconds map[teamClass]*worker.RunningMean
	// cpuRatio is the mean ratio of CPU used to CPU granted, by class.
	cpuRatio map[string]*worker.RunningMean
}

// addRun adds the run time of a task of the team and class.
func (s *usageStats) addRun(team, class string, runTime time.Duration) {
	if s.runSeconds == nil {
		s.runSeconds = make(map[teamClass]*worker.RunningMean)
	}
	k := teamClass{team: team, class: class}
	if s.runSeconds[k] == nil {
		s.runSeconds[k] = new(worker.RunningMean)
	}
	s.runSeconds[k].Add(runTime.Seconds())
}

// runTime returns the expected run time of a task of the team and class: the mean of
// past runs, or the declared run time if there were none.
func (s *usageStats) runTime(team, class string, declared time.Duration) time.Duration {
	e, ok := s.runSeconds[teamClass{team: team, class: class}]
	if !ok {
		return declared
	}
	return time.Duration(e.Mean(declared.Seconds()) * float64(time.Second))
}

// addUsage adds the CPU use of a class on one worker.
func (s *usageStats) addUsage(u *ClassUse) {
	if u.Granted.MilliCPU <= 0 {
		return
	}
	if s.cpuRatio == nil {
		s.cpuRatio = make(map[string]*worker.RunningMean)
	}
	if s.cpuRatio[u.Class] == nil {
		s.cpuRatio[u.Class] = new(worker.RunningMean)
	}
	s.cpuRatio[u.Class].Add(float64(u.Used.MilliCPU) / float64(u.Granted.MilliCPU))
}

// expectedUse returns the predicted resource use of a task of class that
// declared size.
func (s *usageStats) expectedUse(class string, size worker.Resources) worker.Resources {
	if e, ok := s.cpuRatio[class]; ok {
		size.MilliCPU = int64(float64(size.MilliCPU) * e.Mean(1))
	}
	return size
}

// learnFromReport updates the estimates of CPU use and the interference model
// from a worker's report.
func (s *Scheduler) learnFromReport(r *worker.Report, uses []ClassUse) {
	parts := make([]worker.ClassShare, 0, len(uses))
	for i := range uses {
		s.stats.addUsage(&uses[i])
		if r.Total.MilliCPU > 0 {
			parts = append(parts, worker.ClassShare{
				Class: uses[i].Class, Share: float64(uses[i].Used.MilliCPU) / float64(r.Total.MilliCPU),
			})
		}
	}
	if r.Service != "" && r.Pressure > 0 {
		s.fleet.Interference().Observe(r.Service, r.Load, parts, r.Pressure)
	}
}
