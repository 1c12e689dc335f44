package term

import (
	"context"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// handleReport applies a worker's report of its whole state. Before that it stores the
// worker's name, and then makes sure by a write under the term that the term is still
// the newest. If one of these writes fails, it tries again later.
func (e *entry) handleReport(c *conn, h *heldReport) {
	t, worker := e.term, h.worker
	if t == nil {
		c.broken = true
		return
	}
	now := e.clock()
	if !t.storedWorkers[worker.Name] && !e.w.rules.SkipStoringWorkers {
		record := store.Record{Key: worker.Name, Value: []byte{1}}
		_, err := e.reachableStore().Append(context.Background(), store.AppendRequest{Topic: store.TopicWorkers, Records: []store.Record{record}})
		if err == nil && !e.w.rules.SkipWriteUnderTerm {
			_, err = e.reachableStore().Append(context.Background(), store.AppendRequest{Topic: store.TopicProgress, Term: t.number, Seq: t.seq + 1})
		}
		if err != nil {
			e.w.schedule(observeInterval, func() { c.deliver(&e.process, 0, func() { e.handleReport(c, h) }) })
			return
		}
		t.storedWorkers[worker.Name] = true
	}
	t.agents[worker.Name] = &agentLink{conn: c, lastContact: now}
	t.scheduler.ApplyEndedLives(now, e.wallMS(), worker.Name, h.lives)
	t.scheduler.ApplyReport(now, e.wallMS(), worker, h.runs, h.ends)
	if e.w.rules.DropUnknownJobs {
		t.scheduler.AllJobsKnown(now, now.Add(time.Hour))
	}
}

// linkOf returns the link of the agent at a connection, if the agent has reported to
// the present term over that connection.
func (e *entry) linkOf(c *conn) *agentLink {
	if e.term == nil {
		c.broken = true
		return nil
	}
	if l := e.term.agents[c.agent.name]; l != nil && l.conn == c {
		return l
	}
	return nil
}

// handlePing answers a ping. The answer renews the worker lease only while the
// entry's own leadership lease is valid and the worker lease has not expired.
func (e *entry) handlePing(c *conn, worker *dispatch.Worker, runs []dispatch.RunStatus, seq uint64) {
	l := e.linkOf(c)
	if l == nil {
		return
	}
	if l.leaseExpired && !e.w.rules.SkipNewReport {
		c.broken = true // makes the agent connect and report again
		return
	}
	now := e.clock()
	l.lastPing, l.lastPingAt = seq, now
	renewed := e.w.rules.LeaderLeaseValid(&e.term.leaderLease, now) && !l.leaseExpired && e.renewsLease(worker.Name)
	if renewed {
		l.lastContact = now
	}
	if held := e.term.held[worker.Name]; held != nil && held.worker.Life == worker.Life {
		held.worker = worker
	}
	e.term.scheduler.ApplyPing(now, worker, runs)
	number, contactAge := e.term.number, now.Sub(e.contactAt())
	c.send(&c.agent.process, func() { c.agent.handlePong(c, number, seq, renewed, contactAge) })
}

// handleEnds applies the ends of runs that an agent sent from a life of its runner.
func (e *entry) handleEnds(c *conn, life, after uint64, ends []dispatch.RunEnd) {
	if e.linkOf(c) == nil {
		return
	}
	e.w.note("%s in term %d gets ends of %s life %d: %v", e.name, e.term.number, c.agent.name, life, ends)
	if _, complete := e.term.scheduler.ApplyEnds(e.clock(), e.wallMS(), c.agent.name, life, after, ends); !complete {
		c.broken = true // makes the agent connect and report again
	}
}

// handleRefusal applies an agent's message that a run will not start or is not in
// progress.
func (e *entry) handleRefusal(c *conn, life uint64, k runKey) {
	if e.linkOf(c) != nil {
		e.w.note("%s in term %d gets a refusal of run %d of %s at %s", e.name, e.term.number, k.run, k.task, c.agent.name)
		if h := e.term.held[c.agent.name]; h != nil && h.worker.Life == life {
			h.runs = slices.DeleteFunc(h.runs, func(r dispatch.RunStatus) bool { return r.Task == k.task && r.Run == k.run })
		}
		e.term.scheduler.OrderRefused(e.clock(), e.wallMS(), c.agent.name, life, k.task, k.run)
	}
}
