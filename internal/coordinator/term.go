package coordinator

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/tenure"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// term is what the dispatching entry holds besides.
type term struct {
	number      uint64
	board       dispatch.Board
	holder      tenure.Holder
	predecessor tenure.Predecessor
	agents      map[string]*agentLink
	// known are the workers that are named in the store.
	known map[string]bool
	// begins are reports of workers that are not named in the store yet.
	begins map[string]*peer.Report
	seq    uint64
	// flushed is when changes were stored last.
	flushed time.Time
	// taught is when what was learned was stored last.
	taught time.Time
	// unproven is set while a conclusion waits for a write under the term.
	unproven bool
	// settled is set once nothing of an earlier term can run.
	settled bool
}

// agentLink is what the dispatcher knows of one agent.
type agentLink struct {
	name  string
	conn  *peer.Conn
	heard time.Time
	// lapsed is set once everything at the worker has ended.
	lapsed bool
}

// tell passes what the book knows of a job to the board. The caller holds mu.
func (t *term) tell(now time.Time, c *Coordinator, id string) bool {
	e, ok := c.book.Entry(id)
	if !ok || e.Submission() == nil {
		return false
	}
	if known := e.Submission().Term; known > t.number {
		c.yield(known, "the record of job "+id)
		return false
	}
	news := !t.board.Known(id)
	if news {
		// an earlier dispatcher may have read a job whose entry did not know of this term
		t.board.Admit(now, clock.WallMS(), e.Submission(), e.Progress(), e.Submission().Term < t.number)
	}
	if e.Cancelled() {
		if phase, _ := t.board.Phase(id); !phase.Ended() {
			t.board.Cancel(now, clock.WallMS(), id)
			news = true
		}
	}
	return news
}

// begin sets the board up from the book. The caller holds mu.
func (t *term) begin(now time.Time, c *Coordinator, workers []string) {
	t.board.Begin(t.number, workers)
	t.board.SetSpread(c.settings.SpreadFactor)
	if c.config != nil {
		t.board.SetQueues(c.config.queues())
	}
	for _, w := range workers {
		t.known[w] = true
	}
	if learned, err := decodeLearned(c.learned); err == nil {
		t.board.Teach(learned)
	} else if len(c.learned) > 0 {
		c.log.Warn().Err(err).Msg("what earlier dispatchers learned is skipped")
	}
	wall := clock.WallMS()
	c.book.Each(func(id string, e *workflow.Entry) {
		if e.Submission() == nil {
			return
		}
		t.board.Admit(now, wall, e.Submission(), e.Progress(), true)
		if e.Cancelled() {
			t.board.Cancel(now, wall, id)
		}
	})
}

// report takes in a worker's whole state. The caller holds mu.
func (t *term) report(now time.Time, c *Coordinator, r *peer.Report) {
	if r.Worker.Life == 0 {
		n := t.board.Vacated(now, r.Worker.Name)
		c.log.Warn().Str("worker", r.Worker.Name).Int("runs", n).Msg("the worker's runner is gone; its runs have ended")
		return
	}
	t.board.Report(now, clock.WallMS(), &r.Worker, r.Rows, r.Ends)
	if a, g := t.agents[r.Worker.Name], t.board.Guarded(r.Worker.Name); a != nil && a.conn != nil && len(g) > 0 {
		a.conn.Send(&peer.Message{Orders: &peer.Orders{Term: t.number, Guarded: g}})
	}
	c.log.Info().Str("worker", r.Worker.Name).Uint64("life", r.Worker.Life).Int("runs", len(r.Rows)).Int("ends", len(r.Ends)).
		Uint64("term", t.number).Msg("worker reported")
}

// watch looks at which workers are silent or have lapsed. The caller holds mu.
func (t *term) watch(now time.Time, c *Coordinator) {
	for _, a := range t.agents {
		if a.lapsed {
			continue
		}
		silence := now.Sub(a.heard)
		if silence > silentAfter {
			t.board.Silent(a.name)
		}
		if t.ended(now, c, tenure.LapsesAt(a.heard)) {
			a.lapsed = true
			c.count("workers-lost", 1)
			n := t.board.Lapsed(now, a.name)
			c.log.Warn().Str("worker", a.name).Dur("silent", silence).Int("runs", n).Msg("worker lost; its runs have ended")
		}
	}
	if !t.settled && t.board.Unheard() == 0 {
		t.settled = true
	}
	if !t.settled && t.ended(now, c, t.predecessor.EndsAt()) {
		t.settled = true
		c.log.Warn().Int("workers", t.board.Unheard()).Msg("workers did not report to this term; what they ran has ended")
		t.board.Settle()
	}
}

// ended reports whether what must have ended by a time has ended, and has the
// term proven if that is missing. The caller holds mu.
func (t *term) ended(now time.Time, c *Coordinator, by time.Time) bool {
	ended, ask := t.holder.Ended(now, by)
	if ask && !t.unproven {
		t.unproven = true
		kick(c.persist)
	}
	return ended
}
