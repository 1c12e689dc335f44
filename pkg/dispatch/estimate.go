package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Backlog is the work of one kind that waits without room: that of the queues of one service and one priority, either
// best-effort or not.
type Backlog struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Priority   int
	BestEffort bool
	// AheadMS is the waiting work that comes before any new job, in processor-milliseconds of the callers' estimates. What runs
	// does not count: a new job starts as tasks end, long before all that run now have ended.
	AheadMS int64
	// InTime is the further work that can meet its objective, and Late that which can still be of use. A new job comes
	// before the work of higher cost.
	InTime, Late ClassWork
	// MilliCPU is the rate at which the work is done, in thousandths of a processor.
	MilliCPU int64
	// Full holds sizes of tasks for which no worker has room.
	Full []worker.Resources
}

// ClassWork is the waiting work of a class.
type ClassWork struct {
	_ struct{} `cbor:",toarray"`
	// AllMS is the work of all costs, in processor-milliseconds.
	AllMS int64
	// Bounds are sums of the work up to several costs, by rising cost.
	Bounds []CostBound
}

// CostBound says how much work of a class has at most a cost.
type CostBound struct {
	_    struct{} `cbor:",toarray"`
	Cost float64
	// WorkMS is in processor-milliseconds.
	WorkMS int64
}

// before returns the work that certainly comes before a new job of a cost.
func (w *ClassWork) before(cost float64) int64 {
	ms := int64(0)
	for _, b := range w.Bounds {
		if cost < b.Cost {
			break
		}
		ms = b.WorkMS
	}
	return ms
}

// Estimate predicts when a job would end if it were handed in now.
type Estimate struct {
	// AheadMS is the waiting work that comes before the job's, in processor-milliseconds, and MilliCPU the rate at which work is done.
	AheadMS, MilliCPU int64
	// Wait is how long the job would wait, and Chain the estimated time of its longest chain of steps.
	Wait, Chain time.Duration
	// Objective is the latency objective of the job.
	Objective time.Duration
}

// optimism is the fraction of the estimated wait that PastUse assumes: estimates of run times are wrong by a factor of up to
// 1.9.
const optimism = 0.5

// PastUse reports whether the job would be past its use when it ended, even by an optimistic estimate.
func (e *Estimate) PastUse() bool { return e.Excess() > 0 }

// Excess returns by how much the wait has to fall before the job would be of use by an optimistic estimate; it is not above 0
// if the job would be of use now.
func (e *Estimate) Excess() time.Duration {
	bearable := time.Duration(float64(usefulObjectives*e.Objective-e.Chain) / optimism)
	return e.Wait - bearable
}

// EstimateJob predicts when a job of a queue would end, from the order of urgency. Without a backlog of its kind, with room for a task of one of its first
// steps, and for a job of steps of both kinds, the wait is 0.
func EstimateJob(backlogs []Backlog, id string, spec *workflow.Spec, q *Queue) Estimate {
	chain := time.Duration(chainMS(spec)) * time.Millisecond
	e := Estimate{Chain: chain, Objective: time.Duration(float64(chain)*q.Stretch) + q.TargetLatency}
	b := findBacklog(backlogs, spec, q)
	if b == nil || !b.full(spec) {
		return e
	}
	total := 0.0
	for i := range spec.Steps {
		total += taskWork(&spec.Steps[i]) * float64(spec.Steps[i].Count)
	}
	w := occurrenceWork{left: total, total: total, lot: lot(id, 0)}
	e.MilliCPU, e.AheadMS = b.MilliCPU, b.AheadMS+b.InTime.before(w.cost())
	e.Wait = e.wait()
	if inTime := e.Objective - chain; time.Duration(optimism*float64(e.Wait)) > inTime {
		// The job will be late before it starts: all that is not late then comes before it.
		e.AheadMS = b.AheadMS + b.InTime.AllMS + b.Late.before(w.cost())
		e.Wait = max(e.Wait, e.wait())
	}
	return e
}

// wait returns the time in which the work ahead is done.
func (e *Estimate) wait() time.Duration {
	const longest, milli = time.Hour, 1000
	ms := float64(max(0, e.AheadMS)) * milli / float64(max(1, e.MilliCPU))
	return time.Duration(min(ms, float64(longest.Milliseconds()))) * time.Millisecond
}

// findBacklog returns the backlog of the kind of a job, or nil.
func findBacklog(backlogs []Backlog, spec *workflow.Spec, q *Queue) *Backlog {
	if len(spec.Steps) == 0 {
		return nil
	}
	for i := range spec.Steps {
		if spec.Steps[i].BestEffort != spec.Steps[0].BestEffort {
			return nil
		}
	}
	for i := range backlogs {
		if b := &backlogs[i]; b.Service == q.Service && b.Priority == q.Priority && b.BestEffort == spec.Steps[0].BestEffort {
			return b
		}
	}
	return nil
}

// full reports whether no worker has room for a task of one of the job's first steps.
func (b *Backlog) full(spec *workflow.Spec) bool {
	for i := range spec.Steps {
		if s := &spec.Steps[i]; len(s.After) == 0 && !b.fullFor(s.Size) {
			return false
		}
	}
	return true
}

func (b *Backlog) fullFor(size worker.Resources) bool {
	for _, full := range b.Full {
		if full.Fits(size) {
			return true
		}
	}
	return false
}

// chainMS returns the estimated time of the longest chain of steps of a job, in milliseconds.
func chainMS(spec *workflow.Spec) int64 {
	longest := int64(0)
	ends := make([]int64, len(spec.Steps))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		for _, dependency := range s.After {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += s.EstimateMS
		longest = max(longest, ends[i])
	}
	return longest
}
