package job

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// forgetSilentAfter is how long after its last contact the state of an agent or worker
// is kept.
const forgetSilentAfter = 10 * time.Minute

// Heartbeat is the part of an agent's heartbeat that concerns its worker's tasks.
type Heartbeat struct {
	Worker string
	// Incarnation is higher for an agent that has replaced another one.
	Incarnation uint64
	// Round numbers the agent's heartbeats.
	Round uint64
	// Ready means that the agent can start tasks.
	Ready bool
	// Primary is set if the agent asks this entry, and no other, to queue the records
	// that the reports call for.
	Primary bool
	Reports []lease.Report
}

// HeartbeatResponder decides at an entry (a process that accepts and schedules work)
// what an agent is told about the log in reply to its heartbeat, and which records its
// reports call for. The zero value has not read the log.
type HeartbeatResponder struct {
	// lastReadBegan is when the newest read of the log that was applied in full began.
	lastReadBegan time.Time
	agents        map[string]*agentState
	requeue       requeueLimiter
	prunedAt      time.Time
	rules         HeartbeatResponderRules
}

// HeartbeatResponderRules are the rules on which the safety of a HeartbeatResponder's
// decisions depends. A nil field stands for the rule of the protocol. The schedule
// explorer replaces a rule to prove that it detects the resulting failure.
type HeartbeatResponderRules struct {
	// HeartbeatRound returns the agent's newest round whose heartbeat was received before
	// a read of the log that began at readBegan.
	HeartbeatRound func(tracker *lease.HeartbeatTracker, readBegan time.Time) uint64
}

// heartbeatRound applies the rule HeartbeatRound, or the rule of the protocol if it is
// nil.
func (r *HeartbeatResponderRules) heartbeatRound(tracker *lease.HeartbeatTracker, readBegan time.Time) uint64 {
	if r.HeartbeatRound != nil {
		return r.HeartbeatRound(tracker, readBegan)
	}
	return tracker.NewestRoundBefore(readBegan)
}

// SetRules replaces rules of the protocol, for the schedule explorer.
func (r *HeartbeatResponder) SetRules(rules HeartbeatResponderRules) { r.rules = rules }

// agentState is what is known of the agent of one worker.
type agentState struct {
	incarnation   uint64
	heartbeats    lease.HeartbeatTracker
	lastHeartbeat time.Time
}

// NoteRead notes that every record that was in the log at readBegan, when a read of it
// began, has been applied.
func (r *HeartbeatResponder) NoteRead(readBegan time.Time) { r.lastReadBegan = readBegan }

// LastReadBegan returns when the newest completed read of the log began, or the zero
// time before the first.
func (r *HeartbeatResponder) LastReadBegan() time.Time { return r.lastReadBegan }

// Respond returns what the log says about the heartbeat's worker, and the records
// that the heartbeat's reports call for. The log reading is empty until the log
// has been read once, and for a heartbeat of an agent that has been replaced.
func (r *HeartbeatResponder) Respond(now time.Time, sm *StateMachine, hb *Heartbeat) (lease.LogReading, []record.Message) {
	a := r.agent(now, hb)
	if hb.Incarnation < a.incarnation || r.lastReadBegan.IsZero() {
		return lease.LogReading{}, nil
	}
	reading := lease.LogReading{HeartbeatRound: r.rules.heartbeatRound(&a.heartbeats, r.lastReadBegan), NextPosition: record.NewPosition(sm.NextOffset(), 0)}
	records := r.checkReports(now, sm, hb, &reading)
	if hb.Ready {
		addOrders(sm, hb, &reading)
	}
	return reading, records
}

// agent returns the state of the heartbeat's agent. Incarnations come from a clock. If
// the clock went back before an agent was replaced, the new agent has the lower
// incarnation; the new agent is accepted once its predecessor has been silent for
// longer than LostAfter.
func (r *HeartbeatResponder) agent(now time.Time, hb *Heartbeat) *agentState {
	if r.agents == nil {
		r.agents = make(map[string]*agentState)
	}
	r.prune(now)
	a := r.agents[hb.Worker]
	if a == nil || hb.Incarnation > a.incarnation || (hb.Incarnation < a.incarnation && now.Sub(a.lastHeartbeat) > LostAfter) {
		a = &agentState{incarnation: hb.Incarnation}
		r.agents[hb.Worker] = a
	}
	if hb.Incarnation == a.incarnation {
		a.heartbeats.Record(hb.Round, now)
		a.lastHeartbeat = now
	}
	return a
}

// prune drops the state of agents whose last heartbeat is older than forgetSilentAfter.
func (r *HeartbeatResponder) prune(now time.Time) {
	if now.Sub(r.prunedAt) < forgetSilentAfter {
		return
	}
	r.prunedAt = now
	for name, a := range r.agents {
		if now.Sub(a.lastHeartbeat) > forgetSilentAfter {
			delete(r.agents, name)
		}
	}
}

// checkReports compares the reports with the state of the jobs. It adds to the
// reading what the agent must stop, and returns the records that the reports
// call for.
func (r *HeartbeatResponder) checkReports(now time.Time, sm *StateMachine, hb *Heartbeat, reading *lease.LogReading) []record.Message {
	var out []record.Message
	started := new(record.Started)
	for i := range hb.Reports {
		report := &hb.Reports[i]
		if report.Hold.Epoch >= reading.NextPosition {
			continue
		}
		t, ok := sm.CurrentTask(hb.Worker, report.Hold)
		if !ok {
			reading.Stop = append(reading.Stop, lease.StopOrder{Hold: report.Hold, Settled: true})
			continue
		}
		if report.State == lease.Running && t.Phase() == Revoked {
			reading.Stop = append(reading.Stop, lease.StopOrder{Hold: report.Hold})
			continue
		}
		m := recordForReport(now, t, report)
		if m == nil || !hb.Primary || !r.requeue.allow(now, report.Hold, m.Kind()) {
			continue
		}
		if s, ok := m.(*record.Started); ok {
			started.Assignments = append(started.Assignments, s.Assignments...)
			continue
		}
		out = append(out, m)
	}
	if len(started.Assignments) > 0 {
		out = append(out, started)
	}
	return out
}

// recordForReport returns the record that a report calls for, or nil.
func recordForReport(now time.Time, t *Task, r *lease.Report) record.Message {
	switch r.State {
	case lease.Running:
		if t.Phase() == Assigned {
			return &record.Started{Assignments: []record.AssignmentID{r.Hold}}
		}
		if r.Ref != "" && r.Ref != t.Checkpoint() {
			return &record.Checkpointed{Assignment: r.Hold, Ref: r.Ref}
		}
		return nil
	case lease.Succeeded:
		return &record.Finished{Assignment: r.Hold, Outcome: record.OutcomeSucceeded, Detail: r.Detail, AtMS: now.UnixMilli()}
	case lease.Failed:
		return &record.Finished{Assignment: r.Hold, Outcome: record.OutcomeFailed, Detail: r.Detail, AtMS: now.UnixMilli()}
	case lease.Stopped:
		return &record.Released{Assignment: r.Hold, Ref: r.Ref, Reason: r.Detail, AtMS: now.UnixMilli()}
	}
	return nil
}

// addOrders adds orders for the worker's tasks that the heartbeat does not
// report: to start the tasks assigned to the worker, and to stop the revoked ones.
func addOrders(sm *StateMachine, hb *Heartbeat, reading *lease.LogReading) {
	reported := make(map[record.AssignmentID]bool, len(hb.Reports))
	for i := range hb.Reports {
		reported[hb.Reports[i].Hold] = true
	}
	sm.EachActive(hb.Worker, func(assignment record.AssignmentID, owner *Job, t *Task) {
		if reported[assignment] {
			return
		}
		if t.Phase() == Revoked {
			reading.Stop = append(reading.Stop, lease.StopOrder{Hold: assignment})
			return
		}
		reading.Start = append(reading.Start, lease.StartOrder{
			Hold: assignment, Spec: *owner.Spec(), Checkpoint: t.Checkpoint(), Started: t.Phase() == Running,
		})
	})
	slices.SortFunc(reading.Start, func(a, b lease.StartOrder) int {
		return a.Hold.Compare(b.Hold)
	})
}
