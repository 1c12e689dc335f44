package dispatch

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// urgencyClass is the first criterion of the order of the steps of one priority.
type urgencyClass uint8

const (
	// classOverdue is a step that has waited for longer than its bound, see waitBound.
	classOverdue urgencyClass = iota
	// classInTime is a step whose job can meet its latency objective.
	classInTime
	// classLate is a step whose job can end within usefulObjectives times its objective.
	classLate
	// classPastUse is a step whose job is no longer of use to its caller when it ends.
	classPastUse
)

const (
	// usefulObjectives is the multiple of its objective within which a job has to end to be of some use.
	usefulObjectives = 3
	// minWaitBound and waitBoundObjectives bound how long a step may be passed over. The bound lies far above
	// the time for which work is of use, since in a long overload all work past its use reaches it.
	minWaitBound        = 2 * time.Minute
	waitBoundObjectives = 20
)

// Constants of the order within a class, and of the share of steps that have waited for long.
const (
	// workExponent weights the work that is left in urgency.cost. 0 serves jobs of all sizes alike. 1 serves the
	// most jobs but the largest ones rarely: in a played burst of ten times the load, the largest tenth of short
	// jobs then earned 0.39 times as much as all, with 0.33 it was 0.62 times. See TestShortage.
	workExponent = 0.3
	// Overdue steps come first for overdueTime in each overduePeriod, so that they take about a tenth of the room:
	// in a long overload, work that is past its use would otherwise take all of it.
	overduePeriod = 10 * time.Second
	overdueTime   = time.Second
)

// urgency is what determines a step's place among the steps of its priority.
type urgency struct {
	longRunning bool
	// slack is how much later the step could start and still meet its latency objective.
	slack time.Duration
	// objective is the latency objective of the occurrence, and waited the time since the occurrence began.
	objective, waited time.Duration
	// overdueFirst is set while overdue steps come first.
	overdueFirst bool
	occurrenceWork
}

// occurrenceWork is the work of an occurrence, and its lot in the order.
type occurrenceWork struct {
	// left is the estimated processor time that the tasks without a run need, and total that of all tasks, in
	// processor-milliseconds.
	left, total float64
	// lot is a number above 0 and up to 1, derived from the job's ID and the occurrence.
	lot float64
	// countedAt is when left was counted.
	countedAt time.Time
}

// placementRank is what determines a step's place in the placement order.
type placementRank struct {
	step        *stepState
	longRunning bool
	priority    int
	class       urgencyClass
	// cost determines the order within a class, the lowest first.
	cost  float64
	slack time.Duration
}

// sortByUrgency sorts steps in place and returns them: long-running steps first, then by the queue's
// priority, then by class, then by cost.
func (sc *Scheduler) sortByUrgency(now time.Time, steps []*stepState) []*stepState {
	all := sc.ranks[:0]
	for _, s := range steps {
		all = append(all, sc.rank(now, s))
	}
	slices.SortFunc(all, comparePlacementRanks)
	for i := range all {
		steps[i] = all[i].step
	}
	clear(all)
	sc.ranks = all
	return steps
}

// rank returns the rank of a step.
func (sc *Scheduler) rank(now time.Time, s *stepState) placementRank {
	q := sc.queues[s.occurrence.job.submission.Queue]
	u := sc.urgency(now, s, q)
	class := u.class()
	cost := u.cost(class)
	if sc.replaceUrgency != nil && !u.longRunning {
		replaced := u // on the heap; u is not
		class, cost = sc.replaceUrgency(&replaced)
	}
	return placementRank{step: s, longRunning: u.longRunning, priority: q.Priority, class: class, cost: cost, slack: u.slack}
}

// comparePlacementRanks compares two ranks; the IDs make the order complete.
func comparePlacementRanks(x, y placementRank) int {
	if x.longRunning != y.longRunning {
		return -compareBool(x.longRunning, y.longRunning)
	}
	if c := cmp.Compare(x.priority, y.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(x.class, y.class); c != 0 {
		return c
	}
	if c := cmp.Compare(x.cost, y.cost); c != 0 {
		return c
	}
	xo, yo := x.step.occurrence, y.step.occurrence
	return cmp.Or(cmp.Compare(x.slack, y.slack), strings.Compare(xo.job.submission.ID, yo.job.submission.ID), cmp.Compare(xo.index, yo.index), cmp.Compare(x.step.index, y.step.index))
}

// urgency returns what determines the place of a step.
func (sc *Scheduler) urgency(now time.Time, s *stepState, q Queue) urgency {
	o := s.occurrence
	o.countWork(now)
	end := sc.deadline(o, q)
	return urgency{
		longRunning: s.spec.LongRunning, slack: end.Sub(now) - time.Duration(s.criticalPathMS)*time.Millisecond, objective: end.Sub(o.startedAt),
		waited: now.Sub(o.startedAt), overdueFirst: now.UnixMilli()%overduePeriod.Milliseconds() < overdueTime.Milliseconds(), occurrenceWork: o.work,
	}
}

// countWork counts the work that is left, once for all steps of the occurrence that are ranked at a time.
func (o *occurrence) countWork(now time.Time) {
	w := &o.work
	if w.lot == 0 {
		w.lot = lot(o.job.submission.ID, o.index)
	}
	if w.countedAt.Equal(now) {
		return
	}
	w.countedAt, w.left, w.total = now, 0, 0
	for _, s := range o.steps {
		perTask := taskWork(s.spec)
		w.total += perTask * float64(len(s.tasks))
		w.left += perTask * float64(s.waitingTasks)
	}
}

// taskWork returns the estimated processor time of a task of a step in processor-milliseconds, at least 1.
func taskWork(s *workflow.Step) float64 {
	const milli = 1000
	return max(1, float64(s.Size.MilliCPU)/milli*float64(s.EstimateMS))
}

// lot returns a number above 0 and up to 1 that is derived from a job's ID and an occurrence.
func lot(id string, occurrence int) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(id), uint64(occurrence))) // never fails
	// The multiplication spreads the differences of similar IDs over all bits.
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x ^= x >> 33
	const bits = 53
	return (float64(x>>(64-bits)) + 1) / (1 << bits)
}

// waitBound returns how long a step of the occurrence may be passed over by others of its priority.
func (u *urgency) waitBound() time.Duration {
	return max(minWaitBound, waitBoundObjectives*u.objective)
}

// class returns the class of the step. Long-running steps are never past their use.
func (u *urgency) class() urgencyClass {
	switch {
	case u.longRunning && u.slack < 0:
		return classLate
	case u.overdueFirst && !u.longRunning && u.waited >= u.waitBound():
		return classOverdue
	case u.slack >= 0:
		return classInTime
	case u.slack+(usefulObjectives-1)*u.objective >= 0:
		return classLate
	}
	return classPastUse
}

// cost returns the place of the step within a class, the lowest first. Under shortage a lottery decides in which the
// chance of a job falls with the work that it still needs. A job keeps its lot, so that the room goes to the same jobs
// until they end rather than to a part of each, and gains on new ones with each step that is done.
func (u *urgency) cost(class urgencyClass) float64 {
	switch {
	case u.longRunning:
		return u.slack.Seconds()
	case class == classOverdue || class == classPastUse:
		return -u.waited.Seconds()
	}
	return u.occurrenceWork.cost()
}

// cost returns the cost of an occurrence of which work is left, see urgency.cost.
func (w *occurrenceWork) cost() float64 {
	return w.lot * math.Pow(w.left, workExponent) * w.left / w.total
}

// compareBool compares two values, with false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
