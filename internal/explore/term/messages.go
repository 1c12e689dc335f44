package term

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// reported takes in a worker's whole state, once the store names the worker.
func (e *entry) reported(c *conn, w *dispatch.Worker, rows []dispatch.RunStatus, ends []dispatch.RunEnd) {
	t := e.term
	if t == nil {
		c.broken = true
		return
	}
	now := e.clock()
	if !t.known[w.Name] && !e.w.rules.NoWorkers {
		record := store.Record{Key: w.Name, Value: []byte{1}}
		_, err := e.port().Append(context.Background(), store.Append{Topic: store.TopicWorkers, Records: []store.Record{record}})
		if err == nil && !e.w.rules.UnprovenWorkers {
			_, err = e.port().Append(context.Background(), store.Append{Topic: store.TopicProgress, Term: t.number, Seq: t.seq + 1})
		}
		if err != nil {
			e.w.after(followEvery, func() { c.deliver(&e.process, 0, func() { e.reported(c, w, rows, ends) }) })
			return
		}
		t.known[w.Name] = true
	}
	t.agents[w.Name] = &link{conn: c, heard: now}
	t.board.ApplyReport(now, e.wall(), w, rows, ends)
	if e.w.rules.DropUnknown {
		t.board.AllJobsKnown(now, now.Add(time.Hour))
	}
}

// from returns the link of a connection that has reported to the present term.
func (e *entry) from(c *conn) *link {
	if e.term == nil {
		c.broken = true
		return nil
	}
	if l := e.term.agents[c.a.name]; l != nil && l.conn == c {
		return l
	}
	return nil
}

func (e *entry) pinged(c *conn, w *dispatch.Worker, rows []dispatch.RunStatus, seq uint64) {
	l := e.from(c)
	if l == nil {
		return
	}
	if l.lapsed && !e.w.rules.KeepLost {
		c.broken = true // the agent has to report anew
		return
	}
	now := e.clock()
	granted := e.w.rules.Valid(&e.term.holder, now) && !l.lapsed
	if granted {
		l.heard = now
	}
	e.term.board.ApplyPing(now, w, rows)
	number := e.term.number
	c.send(&c.a.process, func() { c.a.pong(c, number, seq, granted) })
}

func (e *entry) ended(c *conn, life uint64, ends []dispatch.RunEnd) {
	if e.from(c) != nil {
		e.term.board.ApplyEnds(e.clock(), e.wall(), c.a.name, life, ends)
	}
}

func (e *entry) refused(c *conn, life uint64, k runKey) {
	if e.from(c) != nil {
		e.term.board.OrderRefused(e.clock(), e.wall(), c.a.name, life, k.task, k.run)
	}
}
