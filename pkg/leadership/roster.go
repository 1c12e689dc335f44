package leadership

import (
	"maps"
	"slices"
)

// Roster holds the workers that may run tasks, as far as a dispatcher has stored their names: a later dispatcher waits for
// these. The zero value is empty.
//
// A name is stored by a record, its registration, in a topic that every dispatcher may write to. A worker that is
// certainly gone is taken off in three steps, each of which begins once the one before is stored: a mark, under the
// term, says that the registration at an offset does not count any more; the name is deleted; the mark is deleted. A mark
// stays true whoever reads it and however late: after it, the worker gets tasks only under a later registration.
//
// A registration has a number, from 1 on. The agent of a worker is told the number before it gets tasks, and says that
// its worker has left by that number. Such a departure, too, stays true: a new agent process was told of no registration,
// and its worker is registered anew.
type Roster struct {
	// registrations holds the offsets of the registrations that count, by worker.
	registrations map[string]uint64
	// leaving holds the workers that are being taken off.
	leaving map[string]leavingWorker
	// end is the offset at which the topic of names ended when it was last read or written to; outdated is set if it is
	// known to have grown since.
	end      uint64
	outdated bool
}

// leavingWorker is a registration that does not count any more.
type leavingWorker struct {
	offset uint64
	// marked is set once the mark is stored, deleted once the name or at least this registration of it is gone.
	marked, deleted bool
}

// Mark says that the registration of a worker at an offset, and all before it, do not count any more.
type Mark struct {
	Worker string
	Offset uint64
}

// Load replaces the roster by what was read from the store: the registrations by worker, the marks, and the offset at
// which the topic of names ends. Names and marks must have been read after the store rejects writes of earlier terms.
func (r *Roster) Load(registrations, marks map[string]uint64, end uint64) {
	*r = Roster{registrations: maps.Clone(registrations), leaving: make(map[string]leavingWorker), end: end}
	if r.registrations == nil {
		r.registrations = make(map[string]uint64)
	}
	for worker, marked := range marks {
		offset, stored := registrations[worker]
		stands := stored && offset > marked
		r.leaving[worker] = leavingWorker{offset: marked, marked: true, deleted: !stored || stands}
		if !stands {
			delete(r.registrations, worker)
		}
	}
}

// Workers returns the workers that may run tasks, sorted by name.
func (r *Roster) Workers() []string { return slices.Sorted(maps.Keys(r.registrations)) }

// Registered reports whether a worker is on the roster, so that it may get tasks.
func (r *Roster) Registered(worker string) bool {
	_, ok := r.registrations[worker]
	return ok
}

// Number returns the number of the registration of a worker; 0 if the worker is not on the roster.
func (r *Roster) Number(worker string) uint64 {
	if offset, ok := r.registrations[worker]; ok {
		return offset + 1
	}
	return 0
}

// Departed reports whether a departure under the registration with a number concerns the worker's present one.
func (r *Roster) Departed(worker string, number uint64) bool {
	return r.Registered(worker) && r.Number(worker) <= number
}

// Register records that the names of workers have been stored, in this order, by an append after which the topic ended
// at end.
func (r *Roster) Register(workers []string, end uint64) {
	if r.registrations == nil {
		r.registrations = make(map[string]uint64)
	}
	for i, worker := range workers {
		r.registrations[worker] = end - uint64(len(workers)-i)
		l, leaving := r.leaving[worker]
		switch {
		case leaving && l.marked:
			l.deleted = true // its mark says nothing of this registration
			r.leaving[worker] = l
		case leaving:
			delete(r.leaving, worker)
		}
	}
	r.end = max(r.end, end)
}

// TakeOff begins to take a worker off that certainly runs nothing, and can get no task before it is registered again. It
// reports whether the worker was on the roster.
func (r *Roster) TakeOff(worker string) bool {
	offset, ok := r.registrations[worker]
	if !ok {
		return false
	}
	delete(r.registrations, worker)
	if r.leaving == nil {
		r.leaving = make(map[string]leavingWorker)
	}
	r.leaving[worker] = leavingWorker{offset: offset}
	return true
}

// Due returns up to limit marks to store and up to limit marks to delete, all under the term.
func (r *Roster) Due(limit int) (store, remove []Mark) {
	for _, worker := range slices.Sorted(maps.Keys(r.leaving)) {
		l := r.leaving[worker]
		m := Mark{Worker: worker, Offset: l.offset}
		switch {
		case !l.marked && len(store) < limit:
			store = append(store, m)
		case l.marked && l.deleted && len(remove) < limit:
			remove = append(remove, m)
		}
	}
	return store, remove
}

// Stored records that marks were stored and others removed.
func (r *Roster) Stored(stored, removed []Mark) {
	for _, m := range stored {
		if l, ok := r.leaving[m.Worker]; ok && l.offset == m.Offset {
			l.marked = true
			_, again := r.registrations[m.Worker]
			l.deleted = l.deleted || again
			r.leaving[m.Worker] = l
		}
	}
	for _, m := range removed {
		if l := r.leaving[m.Worker]; l.offset == m.Offset && l.deleted {
			delete(r.leaving, m.Worker)
		}
	}
}

// Deletions returns up to limit workers whose names are to be deleted, provided that the topic of names ends at end:
// otherwise a deletion that is carried out late could delete a later registration. outdated is set if the topic has to be
// read first.
func (r *Roster) Deletions(limit int) (workers []string, end uint64, outdated bool) {
	for _, worker := range slices.Sorted(maps.Keys(r.leaving)) {
		if l := r.leaving[worker]; l.marked && !l.deleted && len(workers) < limit {
			workers = append(workers, worker)
		}
	}
	return workers, r.end, r.outdated
}

// Deleted records that names were deleted by an append after which the topic ended at end.
func (r *Roster) Deleted(workers []string, end uint64) {
	for _, worker := range workers {
		if l, ok := r.leaving[worker]; ok && l.marked {
			l.deleted = true
			r.leaving[worker] = l
		}
	}
	r.end = max(r.end, end)
}

// NoteOutdated records that the topic of names has grown, or may have, by writes that are not known here.
func (r *Roster) NoteOutdated() { r.outdated = true }

// Refresh takes in the newest registrations and the end of the topic of names. A registration of a leaving worker that is
// later than its mark is not one of this term: a late or repeated write has made it. It is marked, too.
func (r *Roster) Refresh(registrations map[string]uint64, end uint64) {
	r.end, r.outdated = max(r.end, end), false
	for worker, l := range r.leaving {
		if r.Registered(worker) {
			continue
		}
		offset, stored := registrations[worker]
		switch {
		case !stored:
			l.deleted = l.marked
		case offset > l.offset:
			l = leavingWorker{offset: offset}
		}
		r.leaving[worker] = l
	}
	for worker := range r.registrations {
		r.registrations[worker] = max(r.registrations[worker], registrations[worker])
	}
}
