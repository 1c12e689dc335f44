package dispatch

import (
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// candidate is a worker that may run the tasks of a step.
type candidate struct {
	worker *workerState
	// room is set if one more task of the step fits.
	room bool
	// score is the placement score without the terms that depend on the task; set if room is.
	score float64
	// overloaded is set if one more task of a best-effort step would overload the serving tasks of
	// the worker.
	overloaded bool
}

// candidates are the workers that may run the tasks of one step without a gang, in no particular order;
// workers without room for a task that reserves processor time may be left out. They are rated once for all tasks of the step, since the start of a task changes only the
// worker that gets it.
type candidates struct {
	sc    *Scheduler
	step  *stepState
	queue Queue
	all   []candidate
}

// candidates returns the workers that may run a step. It reuses the memory of the last call.
func (sc *Scheduler) candidates(now time.Time, s *stepState, q Queue) *candidates {
	c := &sc.stepCandidates
	c.sc, c.step, c.queue, c.all = sc, s, q, c.all[:0]
	sc.rooms.each(s.spec.Reserved().MilliCPU, func(w *workerState) {
		if sc.allowed(now, s, q, w) {
			c.all = append(c.all, c.rate(w))
		}
	})
	return c
}

// rate rates an allowed worker.
func (c *candidates) rate(w *workerState) candidate {
	s := c.step
	r := candidate{worker: w, room: c.sc.hasRoom(w, s, 0)}
	r.overloaded = s.spec.BestEffort && c.sc.wouldOverload(w, s.spec.Image, s.spec.Size.MilliCPU)
	if r.room {
		r.score = c.sc.score(s, w)
	}
	return r
}

// start starts the task of the step with the given index, and reports whether a worker has room for it.
// A nil receiver stands for a fleet without room.
func (c *candidates) start(now time.Time, index int, o *Orders) bool {
	if c == nil {
		return false
	}
	t := &c.step.tasks[index]
	at, ok := c.choose(now, t)
	if !ok {
		c.sc.noteFull(c.step, &c.queue)
		return false
	}
	w := c.all[at].worker
	c.sc.orderStart(now, c.step, index, w, t.lastRunNumber+1, c.step.placementReason(w), o)
	c.started(now, at)
	return true
}

// choose returns the position of the worker that a waiting task should run on, or false if no worker
// has room.
func (c *candidates) choose(now time.Time, t *taskState) (int, bool) {
	mayOverload := !c.step.spec.BestEffort || c.sc.mayOverload(now, c.step, t)
	best, lowestScore := -1, 0.0
	for i := range c.all {
		r := &c.all[i]
		if !r.room || r.overloaded && !mayOverload {
			continue
		}
		if score := r.score + t.penalty(now, r.worker); best < 0 || score < lowestScore || score == lowestScore && r.worker.name < c.all[best].worker.name {
			best, lowestScore = i, score
		}
	}
	return best, best >= 0
}

// started rates the worker at position i again after a task was started there, and removes it if it may
// not get another one.
func (c *candidates) started(now time.Time, i int) {
	if w := c.all[i].worker; c.sc.allowed(now, c.step, c.queue, w) {
		c.all[i] = c.rate(w)
		return
	}
	c.all = slices.Delete(c.all, i, i+1)
}

// roomClass names the workers that a step may run on, as far as their health and the placement policy
// allow.
type roomClass struct{ service, label string }

// fullFleet holds, for each class of workers, the amounts of resources for which no worker had room. An
// amount is forgotten once a worker may have room for it. With a long queue of wide jobs, most steps
// need no search for a worker then.
type fullFleet map[roomClass][]worker.Resources

// covers reports whether no worker of a class has room for an amount.
func (f fullFleet) covers(class roomClass, need worker.Resources) bool {
	return slices.ContainsFunc(f[class], func(full worker.Resources) bool { return full.Fits(need) })
}

// add records that no worker of a class has room for an amount, which replaces larger amounts.
func (f fullFleet) add(class roomClass, need worker.Resources) {
	f[class] = append(slices.DeleteFunc(f[class], need.Fits), need)
}

// release forgets the amounts for which a worker may have room.
func (f fullFleet) release(w *workerState) {
	free := w.free()
	for class, full := range f {
		if class.service == w.service {
			f[class] = slices.DeleteFunc(full, func(need worker.Resources) bool { return need.Fits(free) })
		}
	}
}

// noteChange records that a worker may have room for tasks that had none before.
func (sc *Scheduler) noteChange(w *workerState) {
	if !w.changed {
		w.changed = true
		sc.changedWorkers = append(sc.changedWorkers, w)
	}
}

// releaseRoom updates the record of what no worker has room for, after changes of workers.
func (sc *Scheduler) releaseRoom() {
	for _, w := range sc.changedWorkers {
		w.changed = false
		sc.full.release(w)
	}
	clear(sc.changedWorkers)
	sc.changedWorkers = sc.changedWorkers[:0]
	for w := range sc.suspects {
		sc.full.release(w)
	}
	for w := range sc.heldWorkers {
		sc.full.release(w)
	}
}

// knownFull reports whether a step is known to find no worker with room.
func (sc *Scheduler) knownFull(s *stepState, q *Queue) bool {
	return sc.full.covers(roomClass{q.Service, s.spec.Label}, s.spec.Reserved())
}

// noteFull records that a step has found no worker with room, unless something else may have kept it
// from one.
func (sc *Scheduler) noteFull(s *stepState, q *Queue) {
	if q.Policy == nil && s.spec.MaxPerWorker == 0 && !s.spec.BestEffort {
		sc.full.add(roomClass{q.Service, s.spec.Label}, s.spec.Reserved())
	}
}

// addWorker adds a worker to the fleet, which is sorted by name.
func (sc *Scheduler) addWorker(w *workerState) {
	sc.workers[w.name] = w
	at, _ := slices.BinarySearchFunc(sc.fleet, w.name, func(x *workerState, name string) int { return strings.Compare(x.name, name) })
	sc.fleet = slices.Insert(sc.fleet, at, w)
}
