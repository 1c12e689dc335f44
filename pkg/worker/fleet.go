package worker

import "time"

// TaskKey names a task in a Fleet.
type TaskKey struct {
	// Job is the job's id.
	Job string
	// Index is the task's index.
	Index uint32
}

// Report is what a worker's agent said last.
type Report struct {
	// Name is the worker's name.
	Name string
	// Rack is where the worker stands.
	Rack string
	// Service is the latency-critical service beside it.
	Service string
	// Total is the worker's size.
	Total Resources
	// Free is what its ledger has left.
	Free Resources
	// Ready is false while the ledger admits nothing.
	Ready bool
	// Leaving workers take no new tasks.
	Leaving bool
	// Load is the part of the service's slots in use, from 0 to 1.
	Load float64
	// Pressure is the service's tail latency divided by its objective.
	Pressure float64
}

// Hold is what one task holds of a worker.
type Hold struct {
	// Worker is the worker's name.
	Worker string
	// Team pays for the task.
	Team string
	// Size is what the task asked for.
	Size Resources
	// Class is the task's batch class.
	Class string
	// Urgent tasks are not preempted.
	Urgent bool
	// Epoch is the position of the record that began the hold.
	Epoch uint64
	// Since is when the hold began; zero if that is not known.
	Since time.Time
	// Tentative holds are decisions that the log does not show yet.
	Tentative bool
	// Ending tasks have been told to stop.
	Ending bool
}

// view is what an entry knows about one worker.
type view struct {
	report Report
	heard  time.Time
	// used is the sum of the holds.
	used Resources
	// foreign is what the ledger has granted to tasks that no hold explains.
	foreign Resources
	tasks   map[TaskKey]struct{}
	health  Health
	// reserved is the task that room is kept for until reservedUntil.
	reserved      TaskKey
	reservedUntil time.Time
	// known is false for workers that were never heard of or are lost.
	known bool
	// grown is set while the worker is in Fleet.grown.
	grown bool
}

// Fleet is an entry's view of all workers of its data centre. Free room is
// kept up with every hold and report, never counted anew. The zero value is an
// empty fleet.
type Fleet struct {
	index map[string]int
	views []view
	// free is what each worker has left; it is apart so that a scan is short.
	free []Resources
	// grown are the workers that got more room since ForgetGrown.
	grown        []int
	holds        map[TaskKey]Hold
	interference Interference
	// largest is the largest amount of each resource that one worker has.
	largest Resources
	// known is the number of workers that are not lost.
	known int
	// version counts changes of the workers known and their sizes.
	version uint64
}

// Len returns the number of workers known.
func (f *Fleet) Len() int { return len(f.views) }

// Knows reports whether anything is kept of a worker.
func (f *Fleet) Knows(name string) bool {
	_, ok := f.index[name]
	return ok
}

// Version changes when a worker comes in or changes its size.
func (f *Fleet) Version() uint64 { return f.version }

// Interference returns the learned model of interference.
func (f *Fleet) Interference() *Interference { return &f.interference }

// Heard takes in a worker's report and returns what the worker has left now.
func (f *Fleet) Heard(now time.Time, r *Report) Resources {
	i := f.at(r.Name)
	v := &f.views[i]
	changed := !v.known || v.report.Total != r.Total
	v.known = true
	v.report = *r
	if changed {
		f.version++
		f.measure()
	}
	v.heard = now
	v.foreign = Resources{}
	if r.Ready {
		v.foreign = r.Total.Minus(r.Free).Minus(v.used).Max(Resources{})
	}
	f.recount(i)
	return f.free[i]
}

// Lost drops what a silent worker reported. Its holds stay until the log ends
// them; once it has none, the worker is forgotten.
func (f *Fleet) Lost(name string) {
	i, ok := f.index[name]
	if !ok {
		return
	}
	if f.views[i].known {
		f.views[i].known = false
		f.version++
		f.measure()
	}
	if len(f.views[i].tasks) == 0 {
		f.remove(i)
	}
}

// measure finds the largest amounts of the workers known.
func (f *Fleet) measure() {
	f.largest = Resources{}
	f.known = 0
	for k := range f.views {
		if f.views[k].known {
			f.known++
			f.largest = f.largest.Max(f.views[k].report.Total)
		}
	}
}

// remove forgets the worker at i; the last one takes its place.
func (f *Fleet) remove(i int) {
	f.ForgetGrown()
	last := len(f.views) - 1
	delete(f.index, f.views[i].report.Name)
	if i != last {
		f.views[i], f.free[i] = f.views[last], f.free[last]
		f.index[f.views[i].report.Name] = i
	}
	f.views[last] = view{}
	f.views, f.free = f.views[:last], f.free[:last]
}

// Hold notes that a task holds part of a worker, in place of what it held before.
func (f *Fleet) Hold(key TaskKey, h Hold) {
	f.Drop(key)
	if f.holds == nil {
		f.holds = make(map[TaskKey]Hold)
	}
	i := f.at(h.Worker)
	v := &f.views[i]
	f.holds[key] = h
	v.tasks[key] = struct{}{}
	v.used = v.used.Plus(h.Size)
	if v.reserved == key {
		v.reservedUntil = time.Time{}
	}
	f.recount(i)
}

// Drop ends a task's hold and returns it.
func (f *Fleet) Drop(key TaskKey) (Hold, bool) {
	h, ok := f.holds[key]
	if !ok {
		return Hold{}, false
	}
	delete(f.holds, key)
	i := f.index[h.Worker]
	v := &f.views[i]
	delete(v.tasks, key)
	v.used = v.used.Minus(h.Size)
	f.recount(i)
	return h, true
}

// Held returns a task's hold.
func (f *Fleet) Held(key TaskKey) (Hold, bool) {
	h, ok := f.holds[key]
	return h, ok
}

// Holds returns the number of holds.
func (f *Fleet) Holds() int { return len(f.holds) }

// Free returns what a worker has left.
func (f *Fleet) Free(name string) Resources {
	i, ok := f.index[name]
	if !ok {
		return Resources{}
	}
	return f.free[i]
}

// Health returns a worker's health, to be read or told of outcomes.
func (f *Fleet) Health(name string) *Health { return &f.views[f.at(name)].health }

// Rack returns a worker's rack.
func (f *Fleet) Rack(name string) string {
	i, ok := f.index[name]
	if !ok {
		return ""
	}
	return f.views[i].report.Rack
}

// FitsNone reports whether size is larger than every worker known. As long as
// no worker is known, that cannot be said.
func (f *Fleet) FitsNone(size Resources) bool {
	if f.known == 0 {
		return false
	}
	if !size.Fits(f.largest) {
		return true
	}
	for i := range f.views {
		if f.views[i].known && size.Fits(f.views[i].report.Total) {
			return false
		}
	}
	return true
}

// Reserve keeps a worker's room for one task until a moment.
func (f *Fleet) Reserve(name string, key TaskKey, until time.Time) {
	v := &f.views[f.at(name)]
	v.reserved = key
	v.reservedUntil = until
}

func (f *Fleet) at(name string) int {
	if i, ok := f.index[name]; ok {
		return i
	}
	if f.index == nil {
		f.index = make(map[string]int)
	}
	i := len(f.views)
	f.index[name] = i
	f.views = append(f.views, view{tasks: make(map[TaskKey]struct{})})
	f.views[i].report.Name = name
	f.free = append(f.free, Resources{})
	return i
}

func (f *Fleet) recount(i int) {
	v := &f.views[i]
	before := f.free[i]
	f.free[i] = v.report.Total.Minus(v.used).Minus(v.foreign)
	if !v.grown && !f.free[i].Fits(before) {
		v.grown = true
		f.grown = append(f.grown, i)
	}
}

// FitsGrown reports whether size fits a worker that got more room since the
// last ForgetGrown.
func (f *Fleet) FitsGrown(size Resources) bool {
	for _, i := range f.grown {
		if size.Fits(f.free[i]) {
			return true
		}
	}
	return false
}

// ForgetGrown notes that all work has been looked at with the present room.
func (f *Fleet) ForgetGrown() {
	for _, i := range f.grown {
		f.views[i].grown = false
	}
	f.grown = f.grown[:0]
}
