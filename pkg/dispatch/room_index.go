package dispatch

// roomStepMilliCPU is the width of a class of free processor time, in thousandths of a processor. Tasks of
// the sites reserve 200 to 10,000.
const roomStepMilliCPU = 500

// lastRoomClass is the class of all that is free from 128 processors on, since a worker may report any capacity.
const lastRoomClass = 255

// roomIndex holds the workers by their free processor time, so that a step that reserves some looks only at
// workers that may have as much. The zero value is empty.
type roomIndex struct {
	classes [][]*workerState
}

// roomPlace is the place of a worker in a roomIndex; it is valid if indexed is set.
type roomPlace struct {
	indexed   bool
	class, at int
}

// roomClassOf returns the class of an amount of free processor time. Less than nothing, as after a worker has
// shrunk, counts as nothing.
func roomClassOf(milliCPU int64) int {
	return int(min(max(0, milliCPU)/roomStepMilliCPU, lastRoomClass))
}

// update puts a worker where its free processor time belongs.
func (x *roomIndex) update(w *workerState) {
	class := roomClassOf(w.free().MilliCPU)
	if w.room.indexed {
		if w.room.class == class {
			return
		}
		x.remove(w)
	}
	for len(x.classes) <= class {
		x.classes = append(x.classes, nil)
	}
	w.room = roomPlace{indexed: true, class: class, at: len(x.classes[class])}
	x.classes[class] = append(x.classes[class], w)
}

// remove takes an indexed worker out; the last one of its class takes its place.
func (x *roomIndex) remove(w *workerState) {
	members := x.classes[w.room.class]
	last := members[len(members)-1]
	members[w.room.at], last.room.at = last, w.room.at
	members[len(members)-1] = nil
	x.classes[w.room.class] = members[:len(members)-1]
	w.room = roomPlace{}
}

// each calls fn for the workers that may have an amount of free processor time, in no particular order.
func (x *roomIndex) each(milliCPU int64, fn func(w *workerState)) {
	for class := roomClassOf(milliCPU); class < len(x.classes); class++ {
		for _, w := range x.classes[class] {
			fn(w)
		}
	}
}
