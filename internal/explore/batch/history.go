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

// ErrViolation means that the history of a simulated run violates an invariant.
var ErrViolation = errors.New("invariant violated")

// progressSpan is a span of time in which a task made progress on a machine.
type progressSpan struct {
	epoch    record.Position
	machine  string
	from, to time.Duration
}

// startKey identifies the starts of one assignment on one incarnation of a worker.
type startKey struct {
	assignment  record.AssignmentID
	machine     string
	incarnation int
}

// history records what happened in a simulated run, in true time, and the invariants
// that were violated.
type history struct {
	// state has applied every record of the log.
	state       job.StateMachine
	progress    map[record.TaskID][]progressSpan
	starts      map[startKey]int
	finishedAt  map[record.TaskID]time.Duration
	revokedAt   map[record.AssignmentID]time.Duration
	cancelledAt map[string]time.Duration
	violations  []string
}

func (h *history) init() {
	h.progress = make(map[record.TaskID][]progressSpan)
	h.starts = make(map[startKey]int)
	h.finishedAt = make(map[record.TaskID]time.Duration)
	h.revokedAt = make(map[record.AssignmentID]time.Duration)
	h.cancelledAt = make(map[string]time.Duration)
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// applyAppended applies a batch at the time of its append, and notes when tasks
// finished, were revoked or were cancelled.
func (h *history) applyAppended(now time.Duration, records []record.Record) {
	for _, r := range records {
		if h.state.Apply(r) != nil {
			continue
		}
		switch m := r.Message().(type) {
		case *record.Finished:
			h.finishedAt[m.Assignment.Task] = now
		case *record.Revoke:
			for _, id := range m.Assignments {
				h.noteRevoked(now, id)
			}
		case *record.Cancel:
			h.noteCancelled(now, m.Jobs)
		}
	}
	h.state.Advance(records[0].Position().Offset() + 1)
}

func (h *history) noteRevoked(now time.Duration, id record.AssignmentID) {
	if _, ok := h.revokedAt[id]; !ok {
		h.revokedAt[id] = now
	}
}

func (h *history) noteCancelled(now time.Duration, jobs []string) {
	for _, id := range jobs {
		j, ok := h.state.Job(id)
		if _, before := h.cancelledAt[id]; ok && !before && j.Cancelled() {
			h.cancelledAt[id] = now
		}
	}
}

// noteStart notes the start of an assignment's task on a machine, of which there may be
// only one in each incarnation of the machine.
func (h *history) noteStart(id record.AssignmentID, m *machine) {
	k := startKey{assignment: id, machine: m.name, incarnation: m.incarnation}
	h.starts[k]++
	if h.starts[k] > 1 {
		h.addViolation("%s started %d times on %s", id, h.starts[k], m.name)
	}
}

// noteProgress notes a span of time in which a task made progress.
func (h *history) noteProgress(id record.AssignmentID, m *machine, from, to time.Duration) {
	s := progressSpan{epoch: id.Epoch, machine: m.name, from: from, to: to}
	h.progress[id.Task] = append(h.progress[id.Task], s)
	h.checkStoppedInTime(id, to)
	if at, ok := h.finishedAt[id.Task]; ok && from > at {
		h.addViolation("%s ran at %s after its end was recorded at %s", id, to, at)
	}
}

// checkStoppedInTime checks that a task that was revoked or cancelled did not run longer
// than its takeover time after the revocation or cancellation. to is the end of a span
// of time in which the task made progress.
func (h *history) checkStoppedInTime(id record.AssignmentID, to time.Duration) {
	j, ok := h.state.Job(id.Task.Job)
	if !ok {
		return
	}
	takeover := time.Duration(j.Spec().TakeoverMS) * time.Millisecond
	if at, ok := h.revokedAt[id]; ok && to > at+takeover {
		h.addViolation("%s ran at %s, revoked at %s", id, to, at)
	}
	if at, ok := h.cancelledAt[id.Task.Job]; ok && to > at+takeover {
		h.addViolation("%s ran at %s, cancelled at %s", id, to, at)
	}
}

// allJobsEnded reports whether every job has ended.
func (h *history) allJobsEnded() bool {
	all := true
	h.state.Each(func(j *job.Job) bool {
		all = all && j.Ended()
		return all
	})
	return all
}

// checkNoOverlap adds a violation for each task that made progress in two assignments or
// on two machines at once.
func (h *history) checkNoOverlap() {
	for task, list := range h.progress {
		slices.SortFunc(list, func(a, b progressSpan) int { return int(a.from - b.from) })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if (a.epoch != b.epoch || a.machine != b.machine) && b.from < a.to {
				h.addViolation("%s ran on %s until %s and on %s from %s", task, a.machine, a.to, b.machine, b.from)
			}
		}
	}
}

// check makes the final checks at the end of the simulated run. It returns an error with
// the number of violations and the first of them, or nil.
func (w *world) check() error {
	for _, m := range w.workers {
		m.updateTasks()
	}
	h := &w.history
	h.checkNoOverlap()
	h.state.Each(func(j *job.Job) bool {
		if !j.Ended() {
			h.addViolation("%s did not end: still %s", j.Spec().ID, j.Phase())
		}
		return true
	})
	w.checkStatesAgree()
	if len(h.violations) == 0 {
		return nil
	}
	slices.Sort(h.violations)
	return errors.Wrapf(ErrViolation, "violations: %d, first: %s", len(h.violations), h.violations[0])
}

// checkStatesAgree checks that every entry that has read the whole log has computed
// the same state.
func (w *world) checkStatesAgree() {
	want := encodeState(&w.history.state)
	for _, e := range w.entries {
		if e.state.NextOffset() == w.history.state.NextOffset() && !bytes.Equal(encodeState(&e.state), want) {
			w.history.addViolation("%s has computed a different state from the log", e.name)
		}
	}
}

func encodeState(s *job.StateMachine) []byte {
	parts, err := s.Snapshot("check", 1<<30)
	if err != nil {
		return nil
	}
	return parts[0].State
}
