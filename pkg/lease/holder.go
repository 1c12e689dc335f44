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
// sends Reports with its heartbeat to the entries, has the log readings in their
// responses applied, and makes the calls that Actions returns. Lost or late
// replies of the worker to these calls need no handling, as the next listing
// shows their effect. The zero value is ready for use.
type Holder struct {
	ledger      worker.Ledger
	incarnation string
	round       uint64
	uptime      time.Duration
	// uptimes maps a round to the worker's clock before that round's heartbeat.
	uptimes map[uint64]time.Duration
	tasks   map[record.AssignmentID]*heldTask
	// pendingReports holds reports on tasks that the worker does not list. Such
	// a task is not started, and its report is repeated until it is settled.
	pendingReports map[record.AssignmentID]Report
	// settledRounds maps a settled task to the round in which it was last known.
	// A log reading that is not newer may not show the task's end, so it cannot
	// start the task again. Readings older than uptimeRounds rounds start
	// nothing, which bounds the map.
	settledRounds map[record.AssignmentID]uint64
	// initialUptime is the worker's clock at the first listing, and
	// initialPosition the log's end soon after. Orders from before that
	// position may have been refused by the agent's predecessor.
	initialUptime   time.Duration
	initialPosition record.Position
	rules           Rules
}

// heldTask is a task that the worker runs, has run, or may still start.
type heldTask struct {
	size   worker.Resources
	terms  Terms
	listed bool
	state  State
	// reported says that this round's heartbeat named the task.
	reported           bool
	checkpoint, detail string
	// leaseEnd is the end of the lease that the worker lists, and maxLeaseEnd
	// that of the longest lease that a start on its way may carry.
	leaseEnd, maxLeaseEnd time.Duration
	// checkpointRequestedAt is the worker's clock at the last checkpoint request.
	checkpointRequestedAt time.Duration
	// confirmedRound is the newest round whose log reading left the task in place.
	confirmedRound uint64
	// startOrder is the start order to carry out in this round, or nil.
	startOrder *StartOrder
	revoked    bool
	settled    bool
}

// SetRules replaces rules of the protocol in tests.
func (h *Holder) SetRules(r Rules) { h.rules = r }

// Ledger returns the ledger of the worker's granted resources.
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

func (h *Holder) pruneSettledRounds() {
	for id, round := range h.settledRounds {
		if round+uptimeRounds < h.round {
			delete(h.settledRounds, id)
		}
	}
}

// replaceWorker drops the tasks that the worker has lost, and what was counted
// on its former clock.
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
// its VM. It may have been reported before, so it is not started again under
// this epoch.
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

// reportStopped queues a report that a task does not run and can be started
// elsewhere.
func (h *Holder) reportStopped(id record.AssignmentID, detail string) {
	h.pendingReports[id] = Report{Hold: id, State: Stopped, Detail: detail}
}

// rebuildLedger makes the ledger match the tasks that need resources. A task
// that is listed as ended needs none, and no start of it is on its way.
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

// Reports returns the task reports for this round's heartbeat.
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
