package worker

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by Place.
var (
	// ErrFleetFull means that no worker has enough free capacity now.
	ErrFleetFull = errors.New("no worker has enough room now")
	// ErrTooLarge means that the task exceeds the total capacity of every known
	// worker.
	ErrTooLarge = errors.New("the task asks for more than any known worker has")
)

// MaxReportAge is the age of a worker's last report above which it gets no new
// tasks.
const MaxReportAge = 4 * time.Second

// maxScored limits how many workers with enough free capacity are scored for
// one task.
const maxScored = 24

// Weights of the terms of a worker's score; the worker with the lowest score is
// chosen. The unit is pressure: a service's tail latency divided by its
// objective.
const (
	weightUtilisation   = 0.4
	weightAccelerator   = 2.0
	weightRack          = 0.3
	weightReportAge     = 0.1 // per second
	weightFailureRate   = 2.0
	weightOverObjective = 4.0
	weightJobFailedHere = 8.0
)

// Task is the input of a placement decision.
type Task struct {
	// Key identifies the task.
	Key TaskKey
	// Size is the declared size; the worker must have this much free capacity.
	Size Resources
	// ExpectedUse is the predicted resource use, or zero to use Size. It affects
	// only the score.
	ExpectedUse Resources
	// Class is the task's batch class.
	Class string
	// TasksPerRack is the number of the job's other tasks in each rack.
	TasksPerRack map[string]int
	// Failures are the workers on which the job has failed; may be nil.
	Failures *JobFailures
}

// Choice is the worker chosen for a task, and why.
type Choice struct {
	worker        string
	reason        string
	score         float64
	workersScored int
}

// Worker returns the name of the chosen worker.
func (c *Choice) Worker() string { return c.worker }

// Reason returns the main reason for the choice, in words, for logs.
func (c *Choice) Reason() string { return c.reason }

// Score returns the score of the chosen worker; lower is better.
func (c *Choice) Score() float64 { return c.score }

// WorkersScored returns the number of workers that were scored.
func (c *Choice) WorkersScored() int { return c.workersScored }

// Place chooses a worker for a task. Beginning at a random worker, it scores
// the first maxScored workers that accept the task and have enough free
// capacity.
func (f *Fleet) Place(now time.Time, t *Task, random *rand.Rand) (Choice, error) {
	best := -1
	var c Choice
	n := len(f.workers)
	start := 0
	if n > 0 {
		start = random.IntN(n)
	}
	for k := 0; k < n && c.workersScored < maxScored; k++ {
		i := start + k
		if i >= n {
			i -= n
		}
		if !t.Size.Fits(f.free[i]) || !f.workers[i].accepts(now, t.Key) {
			continue
		}
		c.workersScored++
		score := f.score(now, i, t)
		if best < 0 || score < c.score || (score == c.score && f.workers[i].report.Name < f.workers[best].report.Name) {
			best, c.score = i, score
		}
	}
	if best < 0 {
		if f.ExceedsAllWorkers(t.Size) {
			return c, ErrTooLarge
		}
		return c, ErrFleetFull
	}
	c.worker = f.workers[best].report.Name
	c.reason = f.choiceReason(best, t, c.workersScored)
	return c, nil
}

// accepts reports whether the worker takes new tasks now, and in particular the
// task identified by key.
func (w *workerState) accepts(now time.Time, key TaskKey) bool {
	if !w.hasReport || !w.report.Ready || w.report.Draining || now.Sub(w.lastContact) > MaxReportAge {
		return false
	}
	if w.reservedFor != key && now.Before(w.reservedUntil) {
		return false
	}
	if w.health.Suspect() {
		return len(w.tasks) == 0 && w.health.MayProbe(now)
	}
	return true
}

// score returns the score of the worker at index i for a task; lower is better.
func (f *Fleet) score(now time.Time, i int, t *Task) float64 {
	w := &f.workers[i]
	r := &w.report
	expected := t.ExpectedUse
	if expected == (Resources{}) {
		expected = t.Size
	}
	cpuShare := share(expected.MilliCPU, r.Total.MilliCPU)
	score := r.Load * cpuShare * f.interference.Slope(r.Service, t.Class)
	score += weightUtilisation * w.allocated.Plus(expected).DominantShare(Resources{MilliCPU: r.Total.MilliCPU, MemoryMB: r.Total.MemoryMB})
	if t.Size.Accelerators == 0 && f.free[i].Accelerators > 0 {
		score += weightAccelerator
	}
	if r.Pressure > 1 {
		score += weightOverObjective * (r.Pressure - 1)
	}
	score += weightReportAge * now.Sub(w.lastContact).Seconds()
	score += weightFailureRate * w.health.FailureRate()
	if len(t.TasksPerRack) > 0 {
		score += weightRack * float64(t.TasksPerRack[r.Rack])
	}
	if t.Failures != nil && t.Failures.FailedOn(r.Name) {
		score += weightJobFailedHere
	}
	return score
}

// Reasons for a choice, as written to the log.
const (
	reasonOnly         = "the only worker with enough free capacity"
	reasonProbe        = "probe of a worker whose recent tasks failed"
	reasonInterference = "least interference with the service on the worker"
	reasonSpread       = "least utilised, and fewest tasks of the job in its rack"
	reasonLeastBad     = "least bad of workers with high service latency or earlier failures of the job"
)

// choiceReason returns the reason for the choice of the worker at index i out of the
// given number of scored workers.
func (f *Fleet) choiceReason(i int, t *Task, workersScored int) string {
	w := &f.workers[i]
	switch {
	case w.health.Suspect():
		return reasonProbe
	case workersScored == 1:
		return reasonOnly
	case w.report.Pressure > 1 || (t.Failures != nil && t.Failures.FailedOn(w.report.Name)):
		return reasonLeastBad
	case w.report.Service != "" && w.report.Load > 0:
		return reasonInterference
	}
	return reasonSpread
}
