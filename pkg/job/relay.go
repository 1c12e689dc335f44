package job

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// forgetAgentAfter is how long a silent agent's rounds are remembered.
const forgetAgentAfter = 10 * time.Minute

// Beat is what a heartbeat says about an agent's tasks.
type Beat struct {
	Worker      string
	Incarnation uint64
	Round       uint64
	// Ready agents can start tasks.
	Ready bool
	// Primary asks for records of the reports.
	Primary bool
	Reports []lease.Report
}

// Relay decides at an entry what agents are told of the log, and which records
// their reports call for. The zero value has read nothing.
type Relay struct {
	began  time.Time
	agents map[string]*agentRounds
	claims claims
	pruned time.Time
	rules  RelayRules
}

// RelayRules are the rules on which the safety of a Relay rests. A nil field
// stands for the rule of the protocol. A check of the protocol replaces them,
// to prove that it finds what then goes wrong.
type RelayRules struct {
	// Heard returns the newest round that a read which began at began can
	// answer.
	Heard func(h *lease.Heard, began time.Time) uint64
}

func (r *RelayRules) heard(h *lease.Heard, began time.Time) uint64 {
	if r.Heard != nil {
		return r.Heard(h, began)
	}
	return h.Before(began)
}

// SetRules replaces rules of the protocol, for a check of it.
func (r *Relay) SetRules(rules RelayRules) { r.rules = rules }

type agentRounds struct {
	incarnation uint64
	heard       lease.Heard
	at          time.Time
}

// Read notes that the fold has taken in all that was in the log when a read
// began.
func (r *Relay) Read(began time.Time) { r.began = began }

// Began returns when the newest whole read of the log began; zero before the first.
func (r *Relay) Began() time.Time { return r.began }

// Answer returns what the log says about the heartbeat's worker and the records
// that its reports call for.
func (r *Relay) Answer(now time.Time, f *Fold, b *Beat) (lease.Reading, []record.Message) {
	a := r.agent(now, b)
	if b.Incarnation < a.incarnation || r.began.IsZero() {
		return lease.Reading{}, nil
	}
	reading := lease.Reading{Heard: r.rules.heard(&a.heard, r.began), Next: record.At(f.Next(), 0)}
	records := r.judge(now, f, b, &reading)
	if b.Ready {
		orders(f, b, &reading)
	}
	return reading, records
}

// agent returns the rounds of the heartbeat's agent. An agent whose clock went
// back when it was replaced follows once its predecessor has fallen silent.
func (r *Relay) agent(now time.Time, b *Beat) *agentRounds {
	if r.agents == nil {
		r.agents = make(map[string]*agentRounds)
	}
	r.prune(now)
	a := r.agents[b.Worker]
	if a == nil || b.Incarnation > a.incarnation || (b.Incarnation < a.incarnation && now.Sub(a.at) > LostAfter) {
		a = &agentRounds{incarnation: b.Incarnation}
		r.agents[b.Worker] = a
	}
	if b.Incarnation == a.incarnation {
		a.heard.Note(b.Round, now)
		a.at = now
	}
	return a
}

func (r *Relay) prune(now time.Time) {
	if now.Sub(r.pruned) < forgetAgentAfter {
		return
	}
	r.pruned = now
	for name, a := range r.agents {
		if now.Sub(a.at) > forgetAgentAfter {
			delete(r.agents, name)
		}
	}
}

// judge compares the reports with the fold.
func (r *Relay) judge(now time.Time, f *Fold, b *Beat, reading *lease.Reading) []record.Message {
	var out []record.Message
	started := new(record.Started)
	for i := range b.Reports {
		report := &b.Reports[i]
		if report.Hold.Epoch >= reading.Next {
			continue
		}
		t, ok := f.Current(b.Worker, report.Hold)
		if !ok {
			reading.Stop = append(reading.Stop, lease.Stop{Hold: report.Hold, Settled: true})
			continue
		}
		if report.State == lease.Runs && t.Phase() == Revoked {
			reading.Stop = append(reading.Stop, lease.Stop{Hold: report.Hold})
			continue
		}
		m := reportRecord(now, t, report)
		if m == nil || !b.Primary || !r.claims.take(now, report.Hold, m.Kind()) {
			continue
		}
		if s, ok := m.(*record.Started); ok {
			started.Holds = append(started.Holds, s.Holds...)
			continue
		}
		out = append(out, m)
	}
	if len(started.Holds) > 0 {
		out = append(out, started)
	}
	return out
}

// reportRecord returns the record that a report calls for, or nil.
func reportRecord(now time.Time, t *Task, r *lease.Report) record.Message {
	switch r.State {
	case lease.Runs:
		if t.Phase() == Assigned {
			return &record.Started{Holds: []record.Hold{r.Hold}}
		}
		if r.Ref != "" && r.Ref != t.Checkpoint() {
			return &record.Checkpointed{Hold: r.Hold, Ref: r.Ref}
		}
		return nil
	case lease.Succeeded:
		return &record.Finished{Hold: r.Hold, Outcome: record.OutcomeSucceeded, Detail: r.Detail, AtMS: now.UnixMilli()}
	case lease.Failed:
		return &record.Finished{Hold: r.Hold, Outcome: record.OutcomeFailed, Detail: r.Detail, AtMS: now.UnixMilli()}
	case lease.Stopped:
		return &record.Released{Hold: r.Hold, Ref: r.Ref, Reason: r.Detail, AtMS: now.UnixMilli()}
	}
	return nil
}

// orders names what the worker should run, or has been told to, and does not report.
func orders(f *Fold, b *Beat, reading *lease.Reading) {
	reported := make(map[record.Hold]bool, len(b.Reports))
	for i := range b.Reports {
		reported[b.Reports[i].Hold] = true
	}
	f.Held(b.Worker, func(hold record.Hold, owner *Job, t *Task) {
		if reported[hold] {
			return
		}
		if t.Phase() == Revoked {
			reading.Stop = append(reading.Stop, lease.Stop{Hold: hold})
			return
		}
		reading.Start = append(reading.Start, lease.Order{
			Hold: hold, Spec: *owner.Spec(), Checkpoint: t.Checkpoint(), Started: t.Phase() == Running,
		})
	})
	slices.SortFunc(reading.Start, func(a, b lease.Order) int {
		return a.Hold.Compare(b.Hold)
	})
}
