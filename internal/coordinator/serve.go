package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// entryLink is a connection that another entry opened to this one.
type entryLink struct {
	conn        *peer.Conn
	name        string
	address     string
	connectedAt time.Time
	lastContact time.Time
	// sentEntries is the version of the known entries that the last answer to a ping contained.
	sentEntries uint64
	// draining is set if the entry said in its last ping that it shuts down.
	draining bool
	// storeContactAge is how old the entry's last answer from the store was when it sent its
	// last ping; an hour before its first ping.
	storeContactAge time.Duration
	// pongTimes are the times of the answers to the entry's pings.
	pongTimes peer.SentTimes
	// calls sends this entry's calls to the other entry.
	calls *callConn
}

// acceptPeers accepts connections of entries and agents until ctx ends.
func (c *Coordinator) acceptPeers(ctx context.Context) {
	c.group.Go(func() {
		<-ctx.Done()
		_ = c.listener.Close()
	})
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				c.log.Error().Err(err).Msg("accepting a peer connection failed")
				clock.WaitForWake(ctx, nil, tickEvery)
				continue
			}
			return
		}
		peer.SetTCPUserTimeout(conn)
		c.group.Go(func() { c.servePeer(ctx, peer.NewConn(conn)) })
	}
}

// servePeer handles one connection of a peer, whose first message must be a Hello.
func (c *Coordinator) servePeer(ctx context.Context, conn *peer.Conn) {
	var hello *peer.Hello
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	err := conn.Run(&c.group, func(m *peer.Message) {
		switch {
		case m.Hello != nil && hello == nil:
			if !conn.Trust() {
				return
			}
			hello = m.Hello
			c.handleHello(conn, hello)
		case hello == nil && m.Departure != nil:
			c.confirmDeparture(conn, m.Departure)
		case hello == nil:
			conn.Close()
		case hello.Role == peer.RoleAgent:
			c.handleAgentMessage(conn, hello, m)
		default:
			c.handleEntryMessage(ctx, conn, hello, m)
		}
	})
	if hello != nil {
		c.handleDisconnect(conn, hello, err)
	}
}

// handleHello handles the first message of a peer and answers it.
func (c *Coordinator) handleHello(conn *peer.Conn, h *peer.Hello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	if h.Role == peer.RoleEntry && h.PeerAddress != "" {
		c.noteEntry(h.PeerAddress, h.Name, h.Strength)
		if h.Persistent {
			c.links[h.PeerAddress] = &entryLink{conn: conn, name: h.Name, address: h.PeerAddress, connectedAt: now, lastContact: now, storeContactAge: time.Hour, calls: newCallConn(conn)}
		}
	}
	c.noteTerm(h.NewestTerm, h.Name)
	if h.Role == peer.RoleEntry {
		c.candidate.NoteHello(h.NewestTerm)
	}
	if h.Role == peer.RoleAgent && !c.noteAgentConn(now, conn, h) {
		conn.Close()
		return
	}
	w := &peer.Welcome{
		Name: c.settings.Name, Incarnation: c.settings.Incarnation, NewestClaim: c.candidate.Claim(), NewestTerm: c.candidate.Claim().Term,
		IsDispatcher: c.term != nil,
	}
	w.EntryAddresses, w.EntryStrengths = c.knownEntries()
	if c.term == nil && w.NewestTerm != 0 {
		w.DispatcherContactAgeMS = now.Sub(c.candidate.LastContact()).Milliseconds()
		w.NoDispatcher = c.candidate.NoDispatcher()
	}
	if h.Role == peer.RoleEntry {
		w.FollowedTerms = slices.Sorted(maps.Keys(c.followed.Terms(now)))
	}
	conn.Send(&peer.Message{Welcome: w})
}

// handleDisconnect records that the connection on which h was received has ended with err.
func (c *Coordinator) handleDisconnect(conn *peer.Conn, h *peer.Hello, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Role == peer.RoleEntry {
		if l := c.links[h.PeerAddress]; l != nil && l.conn == conn {
			delete(c.links, h.PeerAddress)
			c.log.Info().Str("entry", h.Name).Err(err).Msg("entry disconnected")
		}
		return
	}
	c.agentConnEnded(conn, h.Name)
	if c.term == nil {
		return
	}
	if a := c.term.agents[h.Name]; a != nil && a.conn == conn {
		a.conn = nil
		c.term.scheduler.MarkSilent(h.Name)
		c.log.Info().Str("worker", h.Name).Err(err).Msg("agent disconnected")
	}
}

// handleAgentMessage handles a message from an agent. The first message after the Hello must
// be a report. The agent of a new worker gets orders only once the worker's name is stored, a new agent process
// only once the store has accepted a write under the term.
func (c *Coordinator) handleAgentMessage(conn *peer.Conn, h *peer.Hello, m *peer.Message) {
	now := clock.Steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := checkAgentMessage(m); err != nil {
		c.count("messages-skipped", 1)
		c.log.Warn().Err(err).Str("worker", h.Name).Msg("skipped a message of an agent and closed its connection")
		conn.Close()
		return
	}
	t := c.term
	if t == nil {
		conn.Send(&peer.Message{Pong: &peer.Pong{}}) // the agent looks for the dispatcher then
		return
	}
	if reason := c.skipReason(t, conn, h.Name); reason != "" {
		c.log.Info().Str("worker", h.Name).Uint64("term", t.number).Str("reason", reason).Msg("skipped a message of an agent and closed its connection")
		conn.Close()
		return
	}
	a := t.agents[h.Name]
	if a == nil {
		a = &agentLink{name: h.Name}
		t.agents[h.Name] = a
	}
	if m.Ping == nil {
		t.backlog.add(now)
	}
	switch {
	case m.Report != nil:
		if a.conn != conn {
			a.conn, a.sentEntries, a.lastPing, a.lastPingAt = conn, 0, 0, now
		}
		a.lastContact, a.leaseExpired = now, false
		m.Report.Worker.Name, m.Report.Worker.DataCentre, a.dataCentre = h.Name, h.Zone, h.Zone
		t.dropHeldReport(now, c, h.Name)
		if t.mustHold(c, m.Report) {
			t.heldReports[h.Name] = m.Report
			notify(c.wakeWriter)
			return
		}
		t.applyReport(now, c, m.Report)
	case a.conn != conn:
		return // the agent has not sent a report on this connection in this term
	case m.Ping != nil:
		c.handleAgentPing(now, t, a, m.Ping)
		return // what changes with time alone is decided at the next tick
	case m.RunEnds != nil:
		for i := range m.RunEnds.Ends {
			e := &m.RunEnds.Ends[i]
			c.count("runs-"+e.How.String(), 1)
			c.log.Info().Str("task", e.Task.String()).Uint64("run", e.Run).Str("worker", h.Name).Str("how", e.How.String()).Msg("run ended")
		}
		c.applyRunEnds(now, t, conn, h.Name, m.RunEnds)
	case m.OrderRefused != nil:
		c.count("orders-refused", 1)
		c.log.Info().Str("task", m.OrderRefused.Task.String()).Uint64("run", m.OrderRefused.Run).Str("worker", h.Name).Str("reason", m.OrderRefused.Reason).Msg("agent refused an order")
		if m.OrderRefused.TicketRejected {
			t.scheduler.TicketRefused(h.Name, m.OrderRefused.Task)
		}
		if m.OrderRefused.Unconfirmed {
			t.noteUnconfirmed(now, c, h.Name)
		}
		t.removeHeldRun(h.Name, m.OrderRefused)
		t.scheduler.OrderRefused(now, clock.WallMS(), h.Name, m.OrderRefused.Life, m.OrderRefused.Task, m.OrderRefused.Run)
	case m.PolicyAnswer != nil:
		c.handlePolicyAnswer(now, t, h.Name, m.PolicyAnswer)
	}
	notify(c.wakeLead)
}

// applyRunEnds passes run ends of a worker to the scheduler, or adds them to the worker's held report. It closes the
// connection if ends before them are missing, so that the agent reports all ends that are not acknowledged. The
// caller holds mu.
func (c *Coordinator) applyRunEnds(now time.Time, t *term, conn *peer.Conn, name string, r *peer.RunEnds) {
	ignored, complete := 0, false
	if held := t.heldReports[name]; held != nil {
		if complete = t.addHeldEnds(held, r); !complete {
			t.dropHeldReport(now, c, name)
		}
	} else {
		ignored, complete = t.scheduler.ApplyEnds(now, clock.WallMS(), name, r.Life, r.After, r.Ends)
	}
	if ignored > 0 {
		c.count("run-ends-ignored", ignored)
		c.log.Warn().Str("worker", name).Uint64("life", r.Life).Int("ends", ignored).Msg("ignored run ends of unknown tasks")
	}
	if !complete {
		c.count("run-ends-incomplete", len(r.Ends))
		c.log.Warn().Str("worker", name).Uint64("life", r.Life).Uint64("after", r.After).Int("ends", len(r.Ends)).
			Msg("run ends of another life or after a gap; closing the connection so that the agent sends a new report")
		conn.Close()
	}
}

// checkAgentMessage returns an error that names the first value of a message that this version does not
// know.
func checkAgentMessage(m *peer.Message) error {
	switch {
	case m.RunEnds != nil:
		return checkEnds(m.RunEnds.Ends)
	case m.Report != nil:
		if err := checkEndedLives(m.Report.EndedLives); err != nil {
			return err
		}
		return checkEnds(m.Report.RunEnds)
	}
	return nil
}

// checkEndedLives is checkEnds for the ends of ended lives.
func checkEndedLives(lives []dispatch.EndedLife) error {
	for i := range lives {
		if err := checkEnds(lives[i].Ends); err != nil {
			return err
		}
	}
	return nil
}

// checkEnds returns an error that names the first outcome that this version does not know.
func checkEnds(ends []dispatch.RunEnd) error {
	for i := range ends {
		if !ends[i].How.Known() {
			return errors.Newf("run end %d of task %s: unknown outcome %d", ends[i].Number, ends[i].Task, ends[i].How)
		}
	}
	return nil
}

// handlePolicyAnswer handles the answer to a placement policy question, which the agent of the worker asker
// has put to the policy service. The caller holds mu.
func (c *Coordinator) handlePolicyAnswer(now time.Time, t *term, asker string, a *peer.PolicyAnswer) {
	if a.Failed {
		c.count("questions-failed", 1)
		step, open := t.scheduler.PolicyUnanswered(now, a.Seq)
		c.log.Warn().Str("step", step.String()).Bool("open", open).Uint64("question", a.Seq).Str("asker", asker).Msg("placement policy question not answered")
		return
	}
	step, open := t.scheduler.PolicyAnswered(now, a.Seq, a.Tickets, time.Duration(a.ValidForMS)*time.Millisecond)
	c.log.Info().Str("step", step.String()).Bool("open", open).Uint64("question", a.Seq).Str("asker", asker).Int("allowed", len(a.Tickets)).
		Int64("valid-ms", a.ValidForMS).Msg("advice received")
}

// handleAgentPing answers the ping of an agent, and renews the worker lease if it may, see renewsLease. The caller holds mu.
func (c *Coordinator) handleAgentPing(now time.Time, t *term, a *agentLink, p *peer.Ping) {
	if a.leaseExpired {
		// The scheduler counts the runs of this worker as ended. The agent sends a new report
		// when it has reconnected.
		c.log.Info().Str("worker", a.name).Msg("agent of a lost worker pings again; closing its connection so that it sends a new report")
		a.conn.Close()
		return
	}
	a.lastPing, a.lastPingAt = p.Seq, now
	pong := &peer.Pong{Seq: p.Seq, DispatcherTerm: t.number, Evacuated: c.evacuations.applied, StoreContactAgeMS: c.storeContactAgeMS(now)}
	pong.EntryAddresses, _ = c.newEntries(&a.sentEntries) // agents do not need the strengths
	if t.renewsLease(now, a.name) {
		a.lastContact, pong.WorkerLeaseRenewed = now, true
	}
	if p.Worker != nil {
		p.Worker.Name, p.Worker.DataCentre = a.name, a.dataCentre
		t.updateHeldReport(p.Worker)
		t.scheduler.ApplyPing(now, p.Worker, p.Runs)
	}
	a.conn.Send(&peer.Message{Pong: pong})
}

// handleEntryMessage handles a message from another entry.
func (c *Coordinator) handleEntryMessage(ctx context.Context, conn *peer.Conn, h *peer.Hello, m *peer.Message) {
	now := clock.Steady()
	switch {
	case m.Ping != nil:
		c.handleEntryPing(now, conn, h, m.Ping)
	case m.SubmissionStored != nil:
		if err := m.SubmissionStored.Submission.Spec.Validate(); err != nil {
			c.count("messages-skipped", 1)
			c.log.Warn().Err(err).Str("entry", h.Name).Str("job", m.SubmissionStored.Submission.ID).Msg("skipped a submission of another entry")
			return
		}
		c.admitStored(now, m.SubmissionStored)
	case m.CancellationStored != nil:
		c.cancelStored(now, m.CancellationStored.JobID)
	case m.PhaseQuery != nil:
		phase, known := c.localPhase(m.PhaseQuery.JobID)
		conn.Send(&peer.Message{PhaseAnswer: &peer.PhaseAnswer{Seq: m.PhaseQuery.Seq, Known: known, Phase: phase}})
	case m.Config != nil:
		c.applyConfig(m.Config.Data, "peer "+h.Name)
	case m.Departure != nil:
		if err := checkEndedLives(m.Departure.EndedLives); err != nil {
			c.count("messages-skipped", 1)
			c.log.Warn().Err(err).Str("entry", h.Name).Str("worker", m.Departure.Worker).Msg("skipped a departure of another entry")
			return
		}
		c.noteDeparture(now, m.Departure)
	case m.RelayAppend != nil:
		c.group.Go(func() { c.storeForPeer(ctx, conn, m.RelayAppend) })
	case m.RelayResult != nil:
		c.mu.Lock()
		l := c.links[h.PeerAddress]
		c.mu.Unlock()
		if l != nil {
			l.calls.deliver(m.RelayResult.Seq, m)
		}
	case m.Resigned != nil:
		c.handleResigned(m.Resigned)
	}
}

// handleEntryPing answers the ping of another entry, and sends that entry the configuration
// if it has an older one.
func (c *Coordinator) handleEntryPing(now time.Time, conn *peer.Conn, h *peer.Hello, p *peer.Ping) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pong := &peer.Pong{Seq: p.Seq, Evacuation: c.evacuationMessage(now)}
	if l := c.links[h.PeerAddress]; l != nil {
		l.lastContact, l.draining, l.storeContactAge = now, p.Draining, time.Duration(p.StoreContactAgeMS)*time.Millisecond
		pong.EntryAddresses, pong.EntryStrengths = c.newEntries(&l.sentEntries)
		c.notePingEvacuation(now, conn, l, p)
	}
	if c.config != nil {
		pong.ConfigVersion = c.config.Version
	}
	if c.term != nil {
		pong.DispatcherTerm, pong.Follower = c.term.number, c.noteFollower(now, conn, h, p)
		pong.PendingJobsByQueue = c.term.pendingJobs(now)
		pong.Backlogs = c.term.scheduler.Backlogs(now)
	}
	conn.Send(&peer.Message{Pong: pong})
	if p.ConfigVersion < pong.ConfigVersion {
		conn.Send(&peer.Message{Config: &peer.Config{Version: pong.ConfigVersion, Data: c.rawConfig}})
	}
	c.noteTerm(p.NewestTerm, h.Name)
}

// noteFollower counts the sender of a ping among the followers of this dispatcher, and reports whether it does so from now on. The
// caller holds mu, and this entry is the dispatcher.
func (c *Coordinator) noteFollower(now time.Time, conn *peer.Conn, h *peer.Hello, p *peer.Ping) bool {
	l := c.links[h.PeerAddress]
	if l == nil || l.conn != conn || p.NewestTerm > c.term.number {
		return false
	}
	sentAfter, _ := l.pongTimes.Find(p.LastPong) // when it arrived proves nothing: a cut may have held it back
	c.term.leaderLease.Followers().NoteAnswer(now, h.PeerAddress, sentAfter)
	return true
}

// noteTerm records that namedBy, a peer or a record, has named a term, and ends this entry's own term if
// that one is later. The caller holds mu.
func (c *Coordinator) noteTerm(named uint64, namedBy string) {
	c.candidate.HearOf(named)
	if c.term != nil && named > c.term.number {
		c.log.Warn().Uint64("term", c.term.number).Uint64("later", named).Str("peer", namedBy).Msg("term ended: a later one has begun")
		c.candidate.NoteResigned(clock.Steady(), c.term.number)
		c.term = nil
	}
}

// storeForPeer stores a record for an entry that cannot reach the store.
func (c *Coordinator) storeForPeer(ctx context.Context, conn *peer.Conn, r *peer.RelayAppend) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout) // the other entry stops waiting soon after
	defer cancel()
	err := c.storeDirectly(ctx, r.Record)
	conn.Send(&peer.Message{RelayResult: &peer.RelayResult{Seq: r.Seq, Stored: err == nil, Refused: isRefused(err)}})
}
