package dispatch

import "time"

// SetEvacuated replaces the names of the evacuated data centres, whose workers get no more tasks. Runs there continue until
// they end. Empty names are ignored, since workers whose data centre is not known have one.
func (sc *Scheduler) SetEvacuated(names []string) {
	sc.evacuated = make(map[string]struct{}, len(names))
	for _, name := range names {
		if name != "" {
			sc.evacuated[name] = struct{}{}
		}
	}
	for _, w := range sc.fleet {
		sc.updateEvacuated(w)
	}
}

// setDataCentre records the data centre of a worker.
func (sc *Scheduler) setDataCentre(w *workerState, name string) {
	if w.dataCentre != name {
		w.dataCentre = name
		sc.updateEvacuated(w)
	}
}

// updateEvacuated updates whether a worker's data centre is evacuated. A worker that is available again may have room
// for waiting tasks, also for suspicious ones, whose last search for a worker may have been in vain.
func (sc *Scheduler) updateEvacuated(w *workerState) {
	was := w.evacuated
	if _, w.evacuated = sc.evacuated[w.dataCentre]; was && !w.evacuated {
		sc.noteChange(w)
		for t := range sc.suspiciousTasks {
			t.nextTrial = time.Time{}
		}
	}
}

// DataCentreWorkers returns the number of workers with a live runner by data centre, without those whose lease has
// expired.
func (sc *Scheduler) DataCentreWorkers() map[string]int {
	out := make(map[string]int)
	for _, w := range sc.fleet {
		if w.life != 0 && !w.leaseExpired {
			out[w.dataCentre]++
		}
	}
	return out
}
