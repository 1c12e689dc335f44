package lease

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// uptimeRounds is the number of rounds whose uptime is remembered.
const uptimeRounds = 64

// Holder decides for an agent which tasks its worker runs, and until when. Each
// round has four steps: the agent passes the worker's task listing to Observe,
// sends Reports with its heartbeat to the entries, passes the log readings in the
// entries' responses to Apply, and makes the calls to the worker that Actions
// returns. Lost or late replies of the worker need no handling, as the next listing
// shows the effect of the calls. The zero value is ready for use.
type Holder struct {
	ledger      worker.Ledger
	incarnation string
	round       uint64
	uptime      time.Duration
	// uptimes maps a round to the worker's clock before that round's heartbeat.
	uptimes map[uint64]time.Duration
	tasks   map[record.AssignmentID]*heldTask
	// pendingReports holds reports on tasks that the worker does not list. Such
	// a task is not started, and its report is repeated until the task is
	// settled: until a stop order says that the log has the task's end.
	pendingReports map[record.AssignmentID]Report
	// settledRounds maps a settled task that the holder has dropped to the round in
	// which it was dropped. A log reading of that or an earlier heartbeat round
	// may not show the task's end yet, so its start order for the task is
	// ignored. Readings older than uptimeRounds rounds start nothing, so the map
	// keeps a task for that many rounds only.
	settledRounds map[record.AssignmentID]uint64
	// initialUptime is the worker's clock at the first listing of its present
	// incarnation. initialPosition is the end of the first log reading
	// that began after a heartbeat of this process; 0 before there is one. An
	// earlier process of this agent may have carried out or refused start orders
	// for assignments from before that position.
	initialUptime   time.Duration
	initialPosition record.Position
	rules           Rules
}

// heldTask is a task that the worker runs, has run, or may still start.
type heldTask struct {
	size  worker.Resources
	terms Terms
	// listed is set if the worker's newest listing has the task.
	listed bool
	state  State
	// reported is set if this round's heartbeat named the task.
	reported           bool
	checkpoint, detail string
	// leaseEnd is the end of the lease that the worker lists. maxLeaseEnd is the
	// latest lease end that the worker has listed or that a start still on its way
	// to the worker may carry.
	leaseEnd, maxLeaseEnd time.Duration
	// checkpointRequestedAt is the worker's clock at the last checkpoint request.
	checkpointRequestedAt time.Duration
	// confirmedRound is the newest heartbeat round of a log reading that assigned
	// the task to this worker or left it there; 0 if there was none.
	confirmedRound uint64
	// startOrder is the start order to carry out in this round, or nil.
	startOrder *StartOrder
	// revoked is set once a stop order has named the task, and settled once a stop
	// order has said that the log has the task's end, so that no report of it is
	// needed.
	revoked bool
	settled bool
}

// SetRules replaces rules of the lease protocol, for tests.
func (h *Holder) SetRules(r Rules) { h.rules = r }

// Ledger returns the ledger of the worker's resources that tasks occupy or may still
// occupy.
func (h *Holder) Ledger() *worker.Ledger { return &h.ledger }

// Round returns the number of the current round.
func (h *Holder) Round() uint64 { return h.round }

// Observe begins a round with the worker's task listing; now is the agent's
// clock when it requested the listing.
func (h *Holder) Observe(now time.Time, l *Listing) {
	h.round++
	if h.tasks == nil {
		h.tasks = make(map[record.AssignmentID]*heldTask)
		h.pendingReports = make(map[record.AssignmentID]Report)
		h.settledRounds = make(map[record.AssignmentID]uint64)
		h.uptimes = make(map[uint64]time.Duration)
		h.initialUptime = l.Uptime
	}
	if h.incarnation != l.Incarnation {
		h.replaceWorker(l)
	}
	h.uptime = l.Uptime
	h.uptimes[h.round] = l.Uptime
	delete(h.uptimes, h.round-uptimeRounds)
	h.mergeListing(l)
	h.pruneSettledRounds()
	h.rebuildLedger(now, l.Total)
}

// pruneSettledRounds forgets the settled tasks that were dropped more than
// uptimeRounds rounds ago.
func (h *Holder) pruneSettledRounds() {
	for id, round := range h.settledRounds {
		if round+uptimeRounds < h.round {
			delete(h.settledRounds, id)
		}
	}
}

// replaceWorker drops the tasks that the worker has lost with its former
// incarnation, and the readings of that incarnation's clock.
func (h *Holder) replaceWorker(l *Listing) {
	h.incarnation = l.Incarnation
	h.initialUptime = l.Uptime
	clear(h.uptimes)
	for id, t := range h.tasks {
		h.dropLostTask(id, t)
	}
}

// mergeListing updates the tasks from the worker's listing.
func (h *Holder) mergeListing(l *Listing) {
	listed := make(map[record.AssignmentID]bool, len(l.Tasks))
	for i := range l.Tasks {
		listed[l.Tasks[i].Hold] = true
		h.mergeTask(&l.Tasks[i])
	}
	for id, t := range h.tasks {
		t.startOrder = nil
		if !listed[id] {
			t.reported = false
			h.mergeMissing(id, t)
		}
	}
}

// mergeTask updates a task from its line in the worker's listing.
func (h *Holder) mergeTask(l *Task) {
	t := h.tasks[l.Hold]
	if t == nil {
		t = &heldTask{maxLeaseEnd: l.Terms.LeaseEnd(h.initialUptime)}
		h.tasks[l.Hold] = t
	}
	if !t.listed {
		t.checkpointRequestedAt = h.uptime
	}
	t.listed, t.reported = true, false
	t.size, t.terms, t.state, t.leaseEnd = l.Size, l.Terms, l.State, l.Until
	t.checkpoint, t.detail = l.Ref, l.Detail
	t.maxLeaseEnd = max(t.maxLeaseEnd, l.Until)
}

// mergeMissing updates a task that the worker does not list: it was lost, or its
// start has not reached the worker.
func (h *Holder) mergeMissing(id record.AssignmentID, t *heldTask) {
	if t.listed {
		h.dropLostTask(id, t)
		return
	}
	if h.uptime <= t.maxLeaseEnd {
		return // the start may still reach the worker
	}
	delete(h.tasks, id)
	if t.settled {
		h.settledRounds[id] = h.round
		return
	}
	h.reportStopped(id, "the start did not reach the worker in time")
}

// dropLostTask drops a task that the worker no longer lists, or has lost with
// its VM. The task may have been reported before, so it is not started again for the
// same assignment.
func (h *Holder) dropLostTask(id record.AssignmentID, t *heldTask) {
	delete(h.tasks, id)
	switch {
	case t.settled:
		h.settledRounds[id] = h.round
	case t.listed && t.state.Ended():
		h.pendingReports[id] = Report{Hold: id, State: t.state, Ref: t.checkpoint, Detail: t.detail}
	default:
		h.reportStopped(id, "the worker has lost the task")
	}
}

// reportStopped adds a pending report that a task does not run and can be started
// elsewhere.
func (h *Holder) reportStopped(id record.AssignmentID, detail string) {
	h.pendingReports[id] = Report{Hold: id, State: Stopped, Detail: detail}
}

// rebuildLedger makes the ledger match the tasks that need resources. A task
// that is listed as ended needs none, and no start of that task is on its way.
func (h *Holder) rebuildLedger(now time.Time, total worker.Resources) {
	grants := make([]worker.Grant, 0, len(h.tasks))
	for id, t := range h.tasks {
		size := t.size
		if t.state.Ended() && t.listed {
			size = worker.Resources{}
		}
		grants = append(grants, worker.NewGrant(ledgerKey(id), size))
	}
	h.ledger.Rebuild(total, grants, now)
}

func ledgerKey(h record.AssignmentID) string { return h.String() }

// Reports returns the task reports for this round's heartbeat: on the listed tasks
// that are not settled, and the pending ones. The listing is that passed to Observe.
func (h *Holder) Reports(l *Listing) []Report {
	out := make([]Report, 0, len(l.Tasks)+len(h.pendingReports))
	for i := range l.Tasks {
		task := &l.Tasks[i]
		t := h.tasks[task.Hold]
		if t.settled {
			continue
		}
		t.reported = true
		out = append(out, Report{Hold: task.Hold, State: task.State, Ref: task.Ref, Detail: task.Detail})
	}
	for _, r := range h.pendingReports {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return a.Hold.Compare(b.Hold) })
	return out
}
