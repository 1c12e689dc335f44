package dispatch

import (
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// rackPrefix starts the label that names a worker's rack.
const rackPrefix = "r"

// How says how a run ended.
type How uint8

// The ways in which a run ends.
const (
	// HowDone is a run that finished its work.
	HowDone How = iota + 1
	// HowFailed is a run that failed by its own fault or its worker's.
	HowFailed
	// HowStopped is a run that was told to stop.
	HowStopped
	// HowLapsed is a run whose lease ended.
	HowLapsed
	// HowBroken is a run of a gang of which another member ended.
	HowBroken
	// HowAlone is a run of a gang that waited for the others in vain.
	HowAlone
	// HowRefused is an order that is known never to run.
	HowRefused
	// HowGone is a run whose worker ended or lapsed.
	HowGone
)

var howNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "refused", "gone"}

// String returns the name used in logs and between processes.
func (h How) String() string { return howNames[h] }

// End is the end of one run.
type End struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Task   workflow.TaskID
	Run    uint64
	How    How
	Saved  string
}

// Row is one run that a worker lists.
type Row struct {
	_    struct{} `cbor:",toarray"`
	Task workflow.TaskID
	Run  uint64
	// Saved is the newest checkpoint.
	Saved string
	// Percent is how much of the work is done.
	Percent int
	// Reading is the tail latency in milliseconds of a task that serves, else the thousandths of a processor in use.
	Reading float64
	// Pending marks an order that may still take effect.
	Pending bool
}

// Worker is what a worker says about itself.
type Worker struct {
	Name string `cbor:"1,keyasint"`
	// Life tells one life of the runner from the next; 0 while none is known.
	Life     uint64           `cbor:"2,keyasint"`
	Service  string           `cbor:"3,keyasint"`
	Capacity worker.Resources `cbor:"4,keyasint"`
	Labels   []string         `cbor:"5,keyasint"`
	Draining bool             `cbor:"6,keyasint,omitempty"`
	// Pace is the percentage at which filling tasks work there.
	Pace int `cbor:"7,keyasint,omitempty"`
	// Instance is the runner's name of its present life.
	Instance string `cbor:"8,keyasint,omitempty"`
}

// Report takes in a worker's whole state: what it runs, and the ends that it
// lists. Runs that it does not list are fenced.
func (b *Board) Report(now time.Time, wallMS int64, w *Worker, rows []Row, ends []End) {
	h := b.host(w.Name)
	if h.life != w.Life {
		b.vacate(now, h)
		h.life = w.Life
		h.health = health{}
		h.lastEnd = 0
	}
	h.unknown = unknown{}
	delete(b.unknowns, h)
	b.describe(now, h, w)
	b.Ended(now, wallMS, w.Name, w.Life, ends)
	listed := make(map[workflow.TaskID]uint64, len(rows))
	for i := range rows {
		listed[rows[i].Task] = rows[i].Run
		if b.jobs[rows[i].Task.Job] == nil {
			b.keepRow(now, h, &rows[i])
			continue
		}
		b.adopt(now, h, &rows[i])
	}
	for id, r := range h.runs {
		if listed[id] != r.number && r.phase != runStopping {
			b.stop(now, r, "the worker does not list the run")
		}
	}
	delete(b.unheard, w.Name)
}

// Describe takes in what a worker says about itself between two reports.
func (b *Board) Describe(now time.Time, w *Worker, rows []Row) {
	h := b.host(w.Name)
	if h.life != w.Life {
		return
	}
	b.describe(now, h, w)
	for i := range rows {
		if r := h.runs[rows[i].Task]; r != nil && r.number == rows[i].Run {
			b.observe(now, r, &rows[i])
		}
	}
	b.learnHarm(now, h)
}

func (b *Board) host(name string) *host {
	h := b.workers[name]
	if h == nil {
		h = &host{name: name, runs: make(map[workflow.TaskID]*run), servingImages: make(map[string]int), fillShares: make(map[string]float64)}
		b.workers[name] = h
	}
	return h
}

func (b *Board) describe(now time.Time, h *host, w *Worker) {
	h.heard, h.silent, h.lapsed = now, false, false
	h.service, h.capacity, h.draining, h.pace, h.instance = w.Service, w.Capacity, w.Draining, w.Pace, w.Instance
	if h.pace < fullPace {
		h.paced = now
	}
	h.labels = make(map[string]bool, len(w.Labels))
	h.rack = ""
	for _, l := range w.Labels {
		h.labels[l] = true
		if strings.HasPrefix(l, rackPrefix) && strings.Contains(l, "-") {
			h.rack = l
		}
	}
}

// observe takes in a row of a run that the board knows.
func (b *Board) observe(now time.Time, r *run, row *Row) {
	if row.Pending {
		return
	}
	if r.phase == runOrdered {
		r.phase = runWorking
	}
	if row.Percent != r.percent {
		r.percent, r.moved = row.Percent, now
	}
	r.reading = row.Reading
	if row.Saved != "" {
		r.saved = row.Saved
	}
}

// adopt takes in a row of a report; the run may have been ordered in an earlier term.
func (b *Board) adopt(now time.Time, h *host, row *Row) {
	if r := h.runs[row.Task]; r != nil && r.number == row.Run {
		b.observe(now, r, row)
		return
	}
	s, t := b.task(row.Task)
	if t == nil || t.done || s.occ.job.phase.Ended() || (len(t.runs) > 0 && !s.spec.Copies) {
		b.stops = append(b.stops, Stop{Worker: h.name, Life: h.life, Task: row.Task, Run: row.Run, Reason: "the run is not wanted"})
		return
	}
	r := b.place(now, s, t, row.Task, h, row.Run)
	r.phase = runOrdered
	b.observe(now, r, row)
	s.occ.job.begun = true
}

// place notes that a run of a task is at a worker.
func (b *Board) place(now time.Time, s *stepState, t *taskState, id workflow.TaskID, h *host, number uint64) *run {
	r := &run{step: s, id: id, number: number, host: h, since: now, moved: now}
	if len(t.runs) == 0 && !t.done {
		b.wait(s, -1)
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	if s.perWorker != nil {
		s.perWorker[h.name]++
	}
	h.add(r)
	return r
}

func (b *Board) wait(s *stepState, by int) {
	s.waiting += by
	if s.waiting > 0 && s.open && !s.occ.job.phase.Ended() {
		b.ready[s] = struct{}{}
	} else {
		delete(b.ready, s)
	}
}

// Ended takes in the ends that a worker lists.
func (b *Board) Ended(now time.Time, wallMS int64, name string, life uint64, ends []End) {
	h := b.host(name)
	if h.life != life {
		return
	}
	for i := range ends {
		e := &ends[i]
		h.lastEnd = max(h.lastEnd, e.Number)
		if b.jobs[e.Task.Job] == nil {
			b.keepEnd(now, h, e)
			continue
		}
		b.finish(now, wallMS, h, e)
	}
	if len(ends) > 0 {
		b.note(h)
	}
}

// Refused notes that an order is known never to run at a worker.
func (b *Board) Refused(now time.Time, wallMS int64, name string, life uint64, id workflow.TaskID, number uint64) {
	h := b.host(name)
	if h.life == life {
		b.finish(now, wallMS, h, &End{Task: id, Run: number, How: HowRefused})
	}
}

// finish takes in one end.
func (b *Board) finish(now time.Time, wallMS int64, h *host, e *End) {
	s, t := b.task(e.Task)
	r := h.runs[e.Task]
	if r != nil && r.number == e.Run {
		b.learn(now, r, e.How)
		b.release(now, r)
	} else if t == nil {
		return
	}
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Saved != "" {
		t.saved = e.Saved
	} else if r != nil && r.saved != "" {
		t.saved = r.saved
	}
	j := s.occ.job
	switch e.How {
	case HowDone:
		b.complete(now, wallMS, s, t)
	case HowFailed:
		b.failed(now, wallMS, s, t, h, e.Run)
	case HowRefused:
		t.after = now.Add(refusedDelay)
	}
	if !t.done && len(t.runs) == 0 && !j.phase.Ended() {
		t.freed = now
	}
}

// release removes a run from its task and worker.
func (b *Board) release(now time.Time, r *run) {
	r.host.remove(r)
	s := r.step
	if s.spec.Fills {
		r.host.fillEnded = now
	}
	t := &s.tasks[r.id.Index]
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if s.perWorker != nil {
		s.perWorker[r.host.name]--
	}
	if len(t.runs) == 0 && !t.done {
		t.freed = now
		b.wait(s, 1)
	}
}

func (b *Board) complete(now time.Time, wallMS int64, s *stepState, t *taskState) {
	j := s.occ.job
	if s.spec.Lasts || j.phase.Ended() {
		return
	}
	b.begin(j)
	if s.spec.Gang {
		for i := range s.tasks {
			b.markDone(now, s, &s.tasks[i])
		}
	} else {
		b.markDone(now, s, t)
	}
	b.dirty[j] = struct{}{}
	if s.done == len(s.tasks) && !s.closed {
		s.closed = true
		s.occ.done++
		b.openSteps(s.occ)
		b.checkOccurrence(now, wallMS, s.occ)
	}
}

func (b *Board) markDone(now time.Time, s *stepState, t *taskState) {
	if t.done {
		return
	}
	t.done = true
	s.done++
	if len(t.runs) == 0 {
		b.wait(s, -1)
	}
	for _, r := range t.runs {
		if !s.spec.Gang {
			b.stop(now, r, "another copy is done")
		}
	}
}

func (b *Board) failed(now time.Time, wallMS int64, s *stepState, t *taskState, h *host, number uint64) {
	j := s.occ.job
	if t.done || j.phase.Ended() || slices.Contains(t.failed, number) {
		return
	}
	b.begin(j)
	t.failed = append(t.failed, number)
	t.avoid = h.name
	b.dirty[j] = struct{}{}
	if q := b.queues[j.sub.Queue]; !s.spec.Lasts && q.Attempts > 0 && len(t.failed) >= q.Attempts {
		b.end(now, wallMS, j, workflow.PhaseFailed)
		return
	}
	if s.spec.Lasts {
		t.after = now.Add(lastingDelay(len(t.failed)))
	}
}

func (b *Board) begin(j *jobState) {
	if !j.begun {
		j.begun = true
		b.dirty[j] = struct{}{}
	}
}
