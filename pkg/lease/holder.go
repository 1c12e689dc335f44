package lease

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// maxUptimes is the most rounds whose uptime is remembered.
const maxUptimes = 64

// Holder decides for an agent which tasks its worker runs, and until when. In
// each round the agent passes the worker's listing to Observe, sends the
// reports with its heartbeat, passes the answers to Follow, and does what
// Actions returns. Lost or late replies of the worker need no report: the next
// listing shows what has happened. The zero value knows nothing and is ready.
type Holder struct {
	ledger      worker.Ledger
	incarnation string
	round       uint64
	uptime      time.Duration
	// uptimes tells what the worker's clock showed before a round's heartbeat.
	uptimes map[uint64]time.Duration
	tasks   map[record.Hold]*held
	// unlisted tasks are never started, again or at all; the reports on them
	// are repeated until settled.
	unlisted map[record.Hold]Report
	// gone tells in which round a settled task was last known. A reading that is not
	// newer may not show the task's end, so it cannot start it again. Readings
	// older than maxUptimes rounds start nothing, which bounds the map.
	gone map[record.Hold]uint64
	// born is the worker's clock at the first listing, and bornNext the log's
	// end soon after: older orders may have been refused by a predecessor.
	born     time.Duration
	bornNext record.Position
	rules    Rules
}

// held is a task that the worker runs, has run, or may still begin to run.
type held struct {
	size   worker.Resources
	terms  Terms
	listed bool
	state  State
	// reported tasks were named in this round's heartbeat.
	reported    bool
	ref, detail string
	// lease is the end of the lease that the worker lists, and until that of
	// the longest one that a start may still bring.
	lease, until time.Duration
	// saved is when a checkpoint was asked for last.
	saved time.Duration
	// fresh is the newest round whose reading left the task in place.
	fresh uint64
	// order is followed in this round.
	order   *Order
	revoked bool
	settled bool
}

// SetRules replaces rules of the protocol, for a check of it.
func (h *Holder) SetRules(r Rules) { h.rules = r }

// Ledger returns what the worker has granted.
func (h *Holder) Ledger() *worker.Ledger { return &h.ledger }

// Round returns the number of the present round.
func (h *Holder) Round() uint64 { return h.round }

// Observe begins a round with what the worker lists; now is the agent's clock
// when the listing was asked for.
func (h *Holder) Observe(now time.Time, l *Listing) {
	h.round++
	if h.tasks == nil {
		h.tasks = make(map[record.Hold]*held)
		h.unlisted = make(map[record.Hold]Report)
		h.gone = make(map[record.Hold]uint64)
		h.uptimes = make(map[uint64]time.Duration)
		h.born = l.Uptime
	}
	if h.incarnation != l.Incarnation {
		h.loseWorker(l)
	}
	h.uptime = l.Uptime
	h.uptimes[h.round] = l.Uptime
	delete(h.uptimes, h.round-maxUptimes)
	h.merge(l)
	h.prune()
	h.rebuild(now, l.Total)
}

func (h *Holder) prune() {
	for hold, round := range h.gone {
		if round+maxUptimes < h.round {
			delete(h.gone, hold)
		}
	}
}

// loseWorker forgets what belonged to the worker before it was replaced.
func (h *Holder) loseWorker(l *Listing) {
	h.incarnation = l.Incarnation
	h.born = l.Uptime
	clear(h.uptimes)
	for hold, t := range h.tasks {
		h.lose(hold, t)
	}
}

// merge takes the listing into the tasks.
func (h *Holder) merge(l *Listing) {
	listed := make(map[record.Hold]bool, len(l.Tasks))
	for i := range l.Tasks {
		listed[l.Tasks[i].Hold] = true
		h.mergeTask(&l.Tasks[i])
	}
	for hold, t := range h.tasks {
		t.order = nil
		if !listed[hold] {
			t.reported = false
			h.mergeUnlisted(hold, t)
		}
	}
}

func (h *Holder) mergeTask(l *Task) {
	t := h.tasks[l.Hold]
	if t == nil {
		t = &held{until: l.Terms.HoldAt(h.born)}
		h.tasks[l.Hold] = t
	}
	if !t.listed {
		t.saved = h.uptime
	}
	t.listed, t.reported = true, false
	t.size, t.terms, t.state, t.lease = l.Size, l.Terms, l.State, l.Until
	t.ref, t.detail = l.Ref, l.Detail
	t.until = max(t.until, l.Until)
}

func (h *Holder) mergeUnlisted(hold record.Hold, t *held) {
	if t.listed {
		h.lose(hold, t)
		return
	}
	if h.uptime <= t.until {
		return // its start may still reach the worker
	}
	delete(h.tasks, hold)
	if t.settled {
		h.gone[hold] = h.round
		return
	}
	h.report(hold, "the start did not reach the worker in time")
}

// lose takes a task that the worker lists no more, or has lost with its VM. It
// may have been reported before, so it is not started again under this epoch.
func (h *Holder) lose(hold record.Hold, t *held) {
	delete(h.tasks, hold)
	switch {
	case t.settled:
		h.gone[hold] = h.round
	case t.listed && t.state.Ended():
		h.unlisted[hold] = Report{Hold: hold, State: t.state, Ref: t.ref, Detail: t.detail}
	default:
		h.report(hold, "the worker has lost the task")
	}
}

// report notes that a task does not run and can be started elsewhere.
func (h *Holder) report(hold record.Hold, detail string) {
	h.unlisted[hold] = Report{Hold: hold, State: Stopped, Detail: detail}
}

// rebuild brings the ledger in line with the tasks that need room. A task that
// is listed as ended needs none, and its start is no longer on its way.
func (h *Holder) rebuild(now time.Time, total worker.Resources) {
	grants := make([]worker.Grant, 0, len(h.tasks))
	for hold, t := range h.tasks {
		size := t.size
		if t.state.Ended() && t.listed {
			size = worker.Resources{}
		}
		grants = append(grants, worker.NewGrant(key(hold), size))
	}
	h.ledger.Rebuild(total, grants, now)
}

func key(h record.Hold) string { return h.String() }

// Reports returns what the heartbeat of this round says about the tasks.
func (h *Holder) Reports(l *Listing) []Report {
	out := make([]Report, 0, len(l.Tasks)+len(h.unlisted))
	for i := range l.Tasks {
		task := &l.Tasks[i]
		t := h.tasks[task.Hold]
		if t.settled {
			continue
		}
		t.reported = true
		out = append(out, Report{Hold: task.Hold, State: task.State, Ref: task.Ref, Detail: task.Detail})
	}
	for _, r := range h.unlisted {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return a.Hold.Compare(b.Hold) })
	return out
}
