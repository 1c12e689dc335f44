package worker

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by Place.
var (
	// ErrFleetFull means that no worker has room now.
	ErrFleetFull = errors.New("no worker has enough room now")
	// ErrTooLarge means that the task is larger than every worker known.
	ErrTooLarge = errors.New("the task asks for more than any known worker has")
)

// SilentAfter is how long a worker may be silent before it gets no new tasks.
const SilentAfter = 4 * time.Second

// candidates is the number of workers with room that are scored.
const candidates = 24

// Weights of the parts of a score; the lowest score wins. The unit is the
// pressure on a service: its tail latency divided by its objective.
const (
	weightFull        = 0.4
	weightAccelerator = 2.0
	weightRack        = 0.3
	weightAge         = 0.1 // per second
	weightFailing     = 2.0
	weightPressed     = 4.0
	weightFailedHere  = 8.0
)

// Task is what a placement decision needs to know of a task.
type Task struct {
	// Key names the task.
	Key TaskKey
	// Size is what the task declared; it decides where there is room.
	Size Resources
	// Expected is what the task is likely to use; zero means Size. It only
	// changes the score.
	Expected Resources
	// Class is the task's batch class.
	Class string
	// Racks counts the other tasks of the job by rack.
	Racks map[string]int
	// Failures names the workers where the job has failed before.
	Failures *JobFailures
}

// Choice is where a task should run and why.
type Choice struct {
	worker     string
	reason     string
	score      float64
	considered int
}

// Worker returns the worker chosen.
func (c *Choice) Worker() string { return c.worker }

// Reason says in words what spoke for the worker.
func (c *Choice) Reason() string { return c.reason }

// Score returns the worker's score; the lowest wins.
func (c *Choice) Score() float64 { return c.score }

// Considered returns the number of workers that were scored.
func (c *Choice) Considered() int { return c.considered }

// Place chooses a worker for a task. It looks at workers from a random one on,
// and scores the first of them that have room.
func (f *Fleet) Place(now time.Time, t *Task, random *rand.Rand) (Choice, error) {
	best := -1
	var c Choice
	n := len(f.views)
	start := 0
	if n > 0 {
		start = random.IntN(n)
	}
	for k := 0; k < n && c.considered < candidates; k++ {
		i := start + k
		if i >= n {
			i -= n
		}
		if !t.Size.Fits(f.free[i]) || !f.views[i].open(now, t.Key) {
			continue
		}
		c.considered++
		score := f.score(now, i, t)
		if best < 0 || score < c.score || (score == c.score && f.views[i].report.Name < f.views[best].report.Name) {
			best, c.score = i, score
		}
	}
	if best < 0 {
		if f.FitsNone(t.Size) {
			return c, ErrTooLarge
		}
		return c, ErrFleetFull
	}
	c.worker = f.views[best].report.Name
	c.reason = f.explain(best, t, c.considered)
	return c, nil
}

// open reports whether the worker takes the task called key now.
func (v *view) open(now time.Time, key TaskKey) bool {
	if !v.known || !v.report.Ready || v.report.Leaving || now.Sub(v.heard) > SilentAfter {
		return false
	}
	if v.reserved != key && now.Before(v.reservedUntil) {
		return false
	}
	if v.health.Suspect() {
		return len(v.tasks) == 0 && v.health.MayProbe(now)
	}
	return true
}

func (f *Fleet) score(now time.Time, i int, t *Task) float64 {
	v := &f.views[i]
	r := &v.report
	expected := t.Expected
	if expected == (Resources{}) {
		expected = t.Size
	}
	part := share(expected.MilliCPU, r.Total.MilliCPU)
	score := r.Load * part * f.interference.Slope(r.Service, t.Class)
	score += weightFull * v.used.Plus(expected).Dominant(Resources{MilliCPU: r.Total.MilliCPU, MemoryMB: r.Total.MemoryMB})
	if t.Size.Accelerators == 0 && f.free[i].Accelerators > 0 {
		score += weightAccelerator
	}
	if r.Pressure > 1 {
		score += weightPressed * (r.Pressure - 1)
	}
	score += weightAge * now.Sub(v.heard).Seconds()
	score += weightFailing * v.health.Failing()
	if len(t.Racks) > 0 {
		score += weightRack * float64(t.Racks[r.Rack])
	}
	if t.Failures != nil && t.Failures.On(r.Name) {
		score += weightFailedHere
	}
	return score
}

// The words for what spoke most for a choice.
const (
	reasonOnly    = "the only worker with room"
	reasonProbe   = "tests a worker whose last tasks failed"
	reasonQuiet   = "least interference with the service there"
	reasonSpread  = "least full and least crowded by the job"
	reasonAllPoor = "the least bad of pressed or doubtful workers"
)

func (f *Fleet) explain(i int, t *Task, considered int) string {
	v := &f.views[i]
	switch {
	case v.health.Suspect():
		return reasonProbe
	case considered == 1:
		return reasonOnly
	case v.report.Pressure > 1 || (t.Failures != nil && t.Failures.On(v.report.Name)):
		return reasonAllPoor
	case v.report.Service != "" && v.report.Load > 0:
		return reasonQuiet
	}
	return reasonSpread
}
