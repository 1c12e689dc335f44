package worker

import "time"

// TaskKey identifies a task in a Fleet.
type TaskKey struct {
	// Job is the job's id.
	Job string
	// Index is the task's index.
	Index uint32
}

// Report is the latest state that a worker's agent reported.
type Report struct {
	// Name is the worker's name.
	Name string
	// Rack is the rack that the worker is in.
	Rack string
	// Service is the latency-critical service that shares the machine with the
	// worker; empty if there is none.
	Service string
	// Total is the worker's capacity.
	Total Resources
	// Free is the capacity that the worker's Ledger has not granted.
	Free Resources
	// Ready is false while the worker's Ledger refuses all grants.
	Ready bool
	// Draining is set while the worker is being drained; the worker gets no new
	// tasks.
	Draining bool
	// Load is the fraction of the service's request slots in use, from 0 to 1.
	Load float64
	// Pressure is the service's tail latency divided by its latency objective.
	Pressure float64
}

// Allocation is the resources that one task occupies on a worker.
type Allocation struct {
	// Worker is the worker's name.
	Worker string
	// Team is the team whose quota is charged.
	Team string
	// Size is the amount that the task declared.
	Size Resources
	// Class is the task's batch class.
	Class string
	// Urgent is set for tasks that must not be preempted.
	Urgent bool
	// Epoch is the log position of the record that assigned the task.
	Epoch uint64
	// AssignedAt is when the task was assigned; zero if unknown.
	AssignedAt time.Time
	// Tentative is set while the assignment has been decided but has not yet
	// been read back from the log.
	Tentative bool
	// Ending is set once the task has been told to stop.
	Ending bool
}

// workerState is what the scheduler knows about one worker.
type workerState struct {
	report Report
	// lastContact is when the newest report was received.
	lastContact time.Time
	// allocated is the sum of the sizes of the worker's tasks.
	allocated Resources
	// unaccounted is what the worker's ledger has granted beyond allocated, to
	// tasks that the scheduler knows no allocation for.
	unaccounted Resources
	tasks       map[TaskKey]struct{}
	health      Health
	// reservedFor is the only task that the worker accepts until reservedUntil.
	reservedFor   TaskKey
	reservedUntil time.Time
	// hasReport is false for workers that have not reported yet or were marked
	// lost.
	hasReport bool
	// inRecentlyFreed is set while the worker is in Fleet.recentlyFreed.
	inRecentlyFreed bool
}

// Fleet is the scheduler's view of all workers of its data centre. Free
// capacity is updated incrementally with every allocation and report. The zero
// value is an empty fleet.
type Fleet struct {
	index   map[string]int
	workers []workerState
	// free is each worker's free capacity. It is not part of workerState so
	// that a scan for free capacity reads little memory.
	free []Resources
	// recentlyFreed holds the indexes of the workers whose free capacity has
	// grown since the scheduler last tried all waiting work.
	recentlyFreed []int
	allocations   map[TaskKey]Allocation
	interference  Interference
	// largestAmounts is, for each resource, the largest amount that any one
	// reporting worker has. The amounts may come from different workers.
	largestAmounts Resources
	// reportingCount is the number of workers with hasReport set.
	reportingCount int
	// version is incremented when the set of reporting workers or a worker's
	// capacity changes.
	version uint64
}

// Len returns the number of known workers, including lost ones that still have
// tasks.
func (f *Fleet) Len() int { return len(f.workers) }

// Knows reports whether the fleet has any state of the named worker.
func (f *Fleet) Knows(name string) bool {
	_, ok := f.index[name]
	return ok
}

// Version returns a number that changes when a worker is added, is lost or
// changes its capacity.
func (f *Fleet) Version() uint64 { return f.version }

// Interference returns the learned model of how batch classes slow down
// services.
func (f *Fleet) Interference() *Interference { return &f.interference }

// ApplyReport updates a worker from its report and returns the worker's free
// capacity.
func (f *Fleet) ApplyReport(now time.Time, r *Report) Resources {
	i := f.ensureIndex(r.Name)
	w := &f.workers[i]
	capacityChanged := !w.hasReport || w.report.Total != r.Total
	w.hasReport = true
	w.report = *r
	if capacityChanged {
		f.version++
		f.updateCapacity()
	}
	w.lastContact = now
	w.unaccounted = Resources{}
	if r.Ready {
		w.unaccounted = r.Total.Minus(r.Free).Minus(w.allocated).Max(Resources{})
	}
	f.updateFree(i)
	return f.free[i]
}

// MarkLost discards the report of a worker that no longer reports. The worker's
// allocations remain until the log records their end; a worker without allocations is
// removed from the fleet.
func (f *Fleet) MarkLost(name string) {
	i, ok := f.index[name]
	if !ok {
		return
	}
	if f.workers[i].hasReport {
		f.workers[i].hasReport = false
		f.version++
		f.updateCapacity()
	}
	if len(f.workers[i].tasks) == 0 {
		f.remove(i)
	}
}

// updateCapacity recomputes largestAmounts and reportingCount.
func (f *Fleet) updateCapacity() {
	f.largestAmounts = Resources{}
	f.reportingCount = 0
	for k := range f.workers {
		if f.workers[k].hasReport {
			f.reportingCount++
			f.largestAmounts = f.largestAmounts.Max(f.workers[k].report.Total)
		}
	}
}

// remove deletes the worker at index i and moves the last worker to i.
func (f *Fleet) remove(i int) {
	f.ResetRecentlyFreed()
	last := len(f.workers) - 1
	delete(f.index, f.workers[i].report.Name)
	if i != last {
		f.workers[i], f.free[i] = f.workers[last], f.free[last]
		f.index[f.workers[i].report.Name] = i
	}
	f.workers[last] = workerState{}
	f.workers, f.free = f.workers[:last], f.free[:last]
}

// Allocate records the allocation of a task and replaces the task's previous one,
// if any.
func (f *Fleet) Allocate(key TaskKey, allocation Allocation) {
	f.Release(key)
	if f.allocations == nil {
		f.allocations = make(map[TaskKey]Allocation)
	}
	i := f.ensureIndex(allocation.Worker)
	w := &f.workers[i]
	f.allocations[key] = allocation
	w.tasks[key] = struct{}{}
	w.allocated = w.allocated.Plus(allocation.Size)
	if w.reservedFor == key {
		w.reservedUntil = time.Time{}
	}
	f.updateFree(i)
}

// Release removes and returns a task's allocation.
func (f *Fleet) Release(key TaskKey) (Allocation, bool) {
	allocation, ok := f.allocations[key]
	if !ok {
		return Allocation{}, false
	}
	delete(f.allocations, key)
	i := f.index[allocation.Worker]
	w := &f.workers[i]
	delete(w.tasks, key)
	w.allocated = w.allocated.Minus(allocation.Size)
	f.updateFree(i)
	return allocation, true
}

// Allocation returns a task's allocation.
func (f *Fleet) Allocation(key TaskKey) (Allocation, bool) {
	allocation, ok := f.allocations[key]
	return allocation, ok
}

// AllocationCount returns the number of allocations.
func (f *Fleet) AllocationCount() int { return len(f.allocations) }

// Free returns a worker's free capacity, or zero for an unknown worker.
func (f *Fleet) Free(name string) Resources {
	i, ok := f.index[name]
	if !ok {
		return Resources{}
	}
	return f.free[i]
}

// Health returns a worker's health record; the caller may update it. An unknown
// worker is added to the fleet.
func (f *Fleet) Health(name string) *Health { return &f.workers[f.ensureIndex(name)].health }

// Rack returns a worker's rack, or an empty string for an unknown worker.
func (f *Fleet) Rack(name string) string {
	i, ok := f.index[name]
	if !ok {
		return ""
	}
	return f.workers[i].report.Rack
}

// ExceedsAllWorkers reports whether size exceeds the total capacity of every reporting
// worker. It returns false while no worker has reported.
func (f *Fleet) ExceedsAllWorkers(size Resources) bool {
	if f.reportingCount == 0 {
		return false
	}
	if !size.Fits(f.largestAmounts) {
		return true
	}
	for i := range f.workers {
		if f.workers[i].hasReport && size.Fits(f.workers[i].report.Total) {
			return false
		}
	}
	return true
}

// Reserve makes a worker accept only the given task until the given time.
func (f *Fleet) Reserve(name string, key TaskKey, until time.Time) {
	w := &f.workers[f.ensureIndex(name)]
	w.reservedFor = key
	w.reservedUntil = until
}

// ensureIndex returns the index of the named worker, which it adds if it is unknown.
func (f *Fleet) ensureIndex(name string) int {
	if i, ok := f.index[name]; ok {
		return i
	}
	if f.index == nil {
		f.index = make(map[string]int)
	}
	i := len(f.workers)
	f.index[name] = i
	f.workers = append(f.workers, workerState{tasks: make(map[TaskKey]struct{})})
	f.workers[i].report.Name = name
	f.free = append(f.free, Resources{})
	return i
}

// updateFree recomputes the free capacity of the worker at index i. If any amount has
// grown, it adds the worker to recentlyFreed.
func (f *Fleet) updateFree(i int) {
	w := &f.workers[i]
	before := f.free[i]
	f.free[i] = w.report.Total.Minus(w.allocated).Minus(w.unaccounted)
	if !w.inRecentlyFreed && !f.free[i].Fits(before) {
		w.inRecentlyFreed = true
		f.recentlyFreed = append(f.recentlyFreed, i)
	}
}

// FitsRecentlyFreed reports whether size fits any worker whose free capacity has grown
// since the scheduler last tried all waiting work.
func (f *Fleet) FitsRecentlyFreed(size Resources) bool {
	for _, i := range f.recentlyFreed {
		if size.Fits(f.free[i]) {
			return true
		}
	}
	return false
}

// ResetRecentlyFreed clears the set of workers whose free capacity has grown. It is
// called once all waiting work has been tried against the current free
// capacity.
func (f *Fleet) ResetRecentlyFreed() {
	for _, i := range f.recentlyFreed {
		f.workers[i].inRecentlyFreed = false
	}
	f.recentlyFreed = f.recentlyFreed[:0]
}
