package batch

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// ErrViolation means that a history breaks what must always hold.
var ErrViolation = errors.New("the history breaks what must always hold")

// stretch is a time in which a task made progress.
type stretch struct {
	epoch    record.Position
	machine  string
	from, to time.Duration
}

// startKey is one start of a task on one incarnation of a worker.
type startKey struct {
	hold        record.AssignmentID
	machine     string
	incarnation int
}

// history is what has really happened, in true time.
type history struct {
	fold       job.StateMachine
	stretches  map[record.TaskID][]stretch
	starts     map[startKey]int
	done       map[record.TaskID]time.Duration
	revoked    map[record.AssignmentID]time.Duration
	cancelled  map[string]time.Duration
	violations []string
}

func (h *history) init() {
	h.stretches = make(map[record.TaskID][]stretch)
	h.starts = make(map[startKey]int)
	h.done = make(map[record.TaskID]time.Duration)
	h.revoked = make(map[record.AssignmentID]time.Duration)
	h.cancelled = make(map[string]time.Duration)
}

func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// appended folds a batch and notes when ends and revocations took effect.
func (h *history) appended(now time.Duration, records []record.Record) {
	for _, r := range records {
		if h.fold.Apply(r) != nil {
			continue
		}
		switch m := r.Message().(type) {
		case *record.Finished:
			h.done[m.Assignment.Task] = now
		case *record.Revoke:
			for _, hold := range m.Assignments {
				h.noteRevoked(now, hold)
			}
		case *record.Cancel:
			h.noteCancelled(now, m.Jobs)
		}
	}
	h.fold.Advance(records[0].Position().Offset() + 1)
}

func (h *history) noteRevoked(now time.Duration, hold record.AssignmentID) {
	if _, ok := h.revoked[hold]; !ok {
		h.revoked[hold] = now
	}
}

func (h *history) noteCancelled(now time.Duration, jobs []string) {
	for _, id := range jobs {
		j, ok := h.fold.Job(id)
		if _, before := h.cancelled[id]; ok && !before && j.Cancelled() {
			h.cancelled[id] = now
		}
	}
}

func (h *history) started(hold record.AssignmentID, m *machine) {
	k := startKey{hold: hold, machine: m.name, incarnation: m.incarnation}
	h.starts[k]++
	if h.starts[k] > 1 {
		h.violate("%s started %d times on %s", hold, h.starts[k], m.name)
	}
}

func (h *history) ran(hold record.AssignmentID, m *machine, from, to time.Duration) {
	s := stretch{epoch: hold.Epoch, machine: m.name, from: from, to: to}
	h.stretches[hold.Task] = append(h.stretches[hold.Task], s)
	h.checkTerms(hold, to)
	if at, ok := h.done[hold.Task]; ok && from > at {
		h.violate("%s ran at %s after its end was recorded at %s", hold, to, at)
	}
}

// checkTerms checks that a withdrawn task has stopped within its takeover time.
func (h *history) checkTerms(hold record.AssignmentID, to time.Duration) {
	j, ok := h.fold.Job(hold.Task.Job)
	if !ok {
		return
	}
	terms := time.Duration(j.Spec().TakeoverMS) * time.Millisecond
	if at, ok := h.revoked[hold]; ok && to > at+terms {
		h.violate("%s ran at %s, revoked at %s", hold, to, at)
	}
	if at, ok := h.cancelled[hold.Task.Job]; ok && to > at+terms {
		h.violate("%s ran at %s, cancelled at %s", hold, to, at)
	}
}

// ended reports whether every job has ended.
func (h *history) ended() bool {
	all := true
	h.fold.Each(func(j *job.Job) bool {
		all = all && j.Ended()
		return all
	})
	return all
}

// checkHolders finds tasks that made progress in two places at once.
func (h *history) checkHolders() {
	for task, list := range h.stretches {
		slices.SortFunc(list, func(a, b stretch) int { return int(a.from - b.from) })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if (a.epoch != b.epoch || a.machine != b.machine) && b.from < a.to {
				h.violate("%s ran on %s until %s and on %s from %s", task, a.machine, a.to, b.machine, b.from)
			}
		}
	}
}

// check returns the violations of a history whose faults have ended.
func (w *world) check() error {
	for _, m := range w.workers {
		m.progress()
	}
	h := &w.history
	h.checkHolders()
	h.fold.Each(func(j *job.Job) bool {
		if !j.Ended() {
			h.violate("%s is lost: still %s", j.Spec().ID, j.Phase())
		}
		return true
	})
	w.checkFolds()
	if len(h.violations) == 0 {
		return nil
	}
	slices.Sort(h.violations)
	return errors.Wrapf(ErrViolation, "%d, first: %s", len(h.violations), h.violations[0])
}

// checkFolds checks that every entry has come to the same state.
func (w *world) checkFolds() {
	want := stateOf(&w.history.fold)
	for _, e := range w.entries {
		if e.fold.NextOffset() == w.history.fold.NextOffset() && !bytes.Equal(stateOf(&e.fold), want) {
			w.history.violate("%s has folded another state", e.name)
		}
	}
}

func stateOf(f *job.StateMachine) []byte {
	parts, err := f.Snapshot("check", 1<<30)
	if err != nil {
		return nil
	}
	return parts[0].State
}
