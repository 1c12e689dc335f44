package dispatch

import "time"

// EndedLife is a life of a worker's runner that has ended, with the run ends that its agent has read and no dispatcher has
// acknowledged.
type EndedLife struct {
	// Life identifies the life.
	Life uint64   `cbor:"1,keyasint"`
	Ends []RunEnd `cbor:"2,keyasint"`
}

// ApplyEndedLives takes in the run ends of lives of a worker's runner that have ended, known to this scheduler or not. It
// has to be called before the runs of such a life are regarded as lost. It returns how many ends belong to no task.
func (sc *Scheduler) ApplyEndedLives(now time.Time, wallMS int64, name string, lives []EndedLife) (ignored int) {
	for i := range lives {
		ignored += sc.applyEnds(now, wallMS, sc.workerState(name), lives[i].Life, lives[i].Ends)
	}
	return ignored
}

// noteEnd records that a run end of a life of the worker's runner is taken in.
func (w *workerState) noteEnd(life, number uint64) {
	if life == w.life {
		w.lastEndNumber = max(w.lastEndNumber, number)
		return
	}
	if w.endedLives == nil {
		w.endedLives = make(map[uint64]uint64)
	}
	w.endedLives[life] = max(w.endedLives[life], number)
}

// endLife ends the present life of the worker's runner. Its held ends are acknowledged once their jobs are known.
func (w *workerState) endLife() {
	if life, last := w.life, w.lastEndNumber; life != 0 && w.unknownJobs.firstEndNumber(life) <= last {
		w.life = 0
		w.noteEnd(life, last)
	}
	w.lastEndNumber = 0
}
