package coordinator

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
)

// entryLink is the connection of another entry to this one.
type entryLink struct {
	conn    *peer.Conn
	name    string
	heard   time.Time
	leaving bool
	// storeAge is how long ago the entry heard from the store.
	storeAge time.Duration
	// calls are those that this entry makes to the other one.
	calls *upstream
}

// accept serves peers until ctx ends.
func (c *Coordinator) accept(ctx context.Context) {
	c.group.Go(func() {
		<-ctx.Done()
		_ = c.listener.Close()
	})
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				c.log.Error().Err(err).Msg("accepting peers failed")
				clock.Pause(ctx, nil, tickEvery)
				continue
			}
			return
		}
		peer.Tune(conn)
		c.group.Go(func() { c.servePeer(ctx, peer.NewConn(conn)) })
	}
}

// servePeer handles one peer's connection.
func (c *Coordinator) servePeer(ctx context.Context, conn *peer.Conn) {
	var hello *peer.Hello
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	err := conn.Run(&c.group, func(m *peer.Message) {
		switch {
		case m.Hello != nil && hello == nil:
			hello = m.Hello
			c.welcome(conn, hello)
		case hello == nil:
			conn.Close()
		case hello.Role == peer.RoleAgent:
			c.fromAgent(conn, hello, m)
		default:
			c.fromEntry(ctx, conn, hello, m)
		}
	})
	if hello != nil {
		c.parted(conn, hello, err)
	}
}

// welcome answers a peer's first message.
func (c *Coordinator) welcome(conn *peer.Conn, h *peer.Hello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	if h.Role == peer.RoleEntry && h.Address != "" {
		c.entries[h.Address] = h.Name
		if h.Stays {
			c.links[h.Address] = &entryLink{conn: conn, name: h.Name, heard: now, storeAge: time.Hour, calls: newUpstream(conn)}
		}
	}
	c.yield(h.Term, h.Name)
	w := &peer.Welcome{
		Name: c.settings.Name, Incarnation: c.settings.Incarnation, Claim: c.candidate.Claim(), Term: c.candidate.Claim().Term,
		Dispatches: c.term != nil, Entries: c.addresses(),
	}
	if c.term == nil && w.Term != 0 {
		w.HeardMS = now.Sub(c.candidate.Heard()).Milliseconds()
		w.Resigned = c.candidate.Vacant()
	}
	conn.Send(&peer.Message{Welcome: w})
}

// addresses returns the peer addresses of all entries known. The caller holds mu.
func (c *Coordinator) addresses() []string {
	out := []string{c.settings.Listen}
	for a := range c.entries {
		out = append(out, a)
	}
	return out
}

// parted notes that a peer's connection has ended.
func (c *Coordinator) parted(conn *peer.Conn, h *peer.Hello, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Role == peer.RoleEntry {
		if l := c.links[h.Address]; l != nil && l.conn == conn {
			delete(c.links, h.Address)
			c.log.Info().Str("entry", h.Name).Err(err).Msg("entry disconnected")
		}
		return
	}
	if c.term == nil {
		return
	}
	if a := c.term.agents[h.Name]; a != nil && a.conn == conn {
		a.conn = nil
		c.term.board.Silent(h.Name)
		c.log.Info().Str("worker", h.Name).Err(err).Msg("agent disconnected")
	}
}

// fromAgent handles a message of an agent.
func (c *Coordinator) fromAgent(conn *peer.Conn, h *peer.Hello, m *peer.Message) {
	now := clock.Steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.term
	if t == nil {
		conn.Send(&peer.Message{Pong: &peer.Pong{Entries: c.addresses()}})
		return
	}
	a := t.agents[h.Name]
	if a == nil {
		a = &agentLink{name: h.Name}
		t.agents[h.Name] = a
	}
	switch {
	case m.Report != nil:
		a.conn, a.heard, a.lapsed = conn, now, false
		m.Report.Worker.Name = h.Name
		if !t.known[h.Name] {
			t.begins[h.Name] = m.Report
			kick(c.persist)
			return
		}
		t.report(now, c, m.Report)
	case a.conn != conn:
		return // the agent has not reported to this term on this connection
	case m.Ping != nil:
		c.pingOfAgent(now, t, a, m.Ping)
	case m.Ends != nil:
		for i := range m.Ends.Ends {
			e := &m.Ends.Ends[i]
			c.count("runs-"+e.How.String(), 1)
			c.log.Info().Str("task", e.Task.String()).Uint64("run", e.Run).Str("worker", h.Name).Str("how", e.How.String()).Msg("run ended")
		}
		t.board.Ended(now, clock.WallMS(), h.Name, m.Ends.Life, m.Ends.Ends)
	case m.Refused != nil:
		c.count("orders-refused", 1)
		c.log.Info().Str("task", m.Refused.Task.String()).Uint64("run", m.Refused.Run).Str("worker", h.Name).Str("reason", m.Refused.Reason).Msg("order never runs")
		if m.Refused.Ticket {
			t.board.Unticketed(h.Name, m.Refused.Task)
		}
		t.board.Refused(now, clock.WallMS(), h.Name, m.Refused.Life, m.Refused.Task, m.Refused.Run)
	case m.Advised != nil:
		c.advised(now, t, h.Name, m.Advised)
	}
	kick(c.wake)
}

// advised takes in the answer to a question. The caller holds mu.
func (c *Coordinator) advised(now time.Time, t *term, asker string, a *peer.Advised) {
	if a.Failed {
		c.count("questions-failed", 1)
		step, open := t.board.NotAdvised(now, a.Seq)
		c.log.Warn().Str("step", step.String()).Bool("open", open).Uint64("question", a.Seq).Str("asker", asker).Msg("advice not received")
		return
	}
	step, open := t.board.Advised(now, a.Seq, a.Tickets, time.Duration(a.ValidMS)*time.Millisecond)
	c.log.Info().Str("step", step.String()).Bool("open", open).Uint64("question", a.Seq).Str("asker", asker).Int("allowed", len(a.Tickets)).
		Int64("valid-ms", a.ValidMS).Msg("advice received")
}

// pingOfAgent grants the agent more time. The caller holds mu.
func (c *Coordinator) pingOfAgent(now time.Time, t *term, a *agentLink, p *peer.Ping) {
	if a.lapsed {
		// what the board knows of the worker is out of date: the agent reports anew when it has connected again
		c.log.Info().Str("worker", a.name).Msg("a lost worker is heard again and has to report")
		a.conn.Close()
		return
	}
	pong := &peer.Pong{Seq: p.Seq, Term: t.number, Entries: c.addresses()}
	if t.holder.Valid(now) {
		a.heard, pong.Granted = now, true
	}
	if p.Worker != nil {
		p.Worker.Name = a.name
		t.board.Describe(now, p.Worker, p.Rows)
	}
	a.conn.Send(&peer.Message{Pong: pong})
}

// fromEntry handles a message of another entry.
func (c *Coordinator) fromEntry(ctx context.Context, conn *peer.Conn, h *peer.Hello, m *peer.Message) {
	now := clock.Steady()
	switch {
	case m.Ping != nil:
		c.pingOfEntry(now, conn, h, m.Ping)
	case m.Admit != nil:
		c.admitted(now, m.Admit)
	case m.Cancel != nil:
		c.cancelled(now, m.Cancel.ID)
	case m.Query != nil:
		phase, known := c.ownPhase(m.Query.ID)
		conn.Send(&peer.Message{Answer: &peer.Answer{Seq: m.Query.Seq, Known: known, Phase: phase}})
	case m.Config != nil:
		c.offerConfig(m.Config.Data, "peer "+h.Name)
	case m.Relay != nil:
		c.group.Go(func() { c.relay(ctx, conn, m.Relay) })
	case m.Relayed != nil:
		c.mu.Lock()
		l := c.links[h.Address]
		c.mu.Unlock()
		if l != nil {
			l.calls.answer(m.Relayed.Seq, m)
		}
	case m.Resigned != nil:
		c.dispatcherResigned(m.Resigned)
	}
}

func (c *Coordinator) pingOfEntry(now time.Time, conn *peer.Conn, h *peer.Hello, p *peer.Ping) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[h.Address]; l != nil {
		l.heard, l.leaving, l.storeAge = now, p.Leaving, time.Duration(p.StoreMS)*time.Millisecond
	}
	pong := &peer.Pong{Seq: p.Seq, Entries: c.addresses()}
	if c.config != nil {
		pong.Config = c.config.Version
	}
	if c.term != nil {
		pong.Term = c.term.number
		pong.Pending = c.term.board.Pending()
	}
	conn.Send(&peer.Message{Pong: pong})
	if p.Config < pong.Config {
		conn.Send(&peer.Message{Config: &peer.Config{Version: pong.Config, Data: c.rawConfig}})
	}
	c.yield(p.Term, h.Name)
}

// yield ends this entry's term if a peer knows a later one. The caller holds mu.
func (c *Coordinator) yield(known uint64, name string) {
	if c.term != nil && known > c.term.number {
		c.log.Warn().Uint64("term", c.term.number).Uint64("later", known).Str("peer", name).Msg("term ended: a peer knows a later one")
		c.candidate.Resigned(c.term.number)
		c.term = nil
	}
}

// relay appends records for an entry that cannot reach the store.
func (c *Coordinator) relay(ctx context.Context, conn *peer.Conn, r *peer.Relay) {
	err := c.tryStore(ctx, r.Record)
	conn.Send(&peer.Message{Relayed: &peer.Relayed{Seq: r.Seq, Stored: err == nil, Refused: refused(err)}})
}
