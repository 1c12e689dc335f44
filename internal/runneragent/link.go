package runneragent

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

const (
	// reconnectDelay is the delay before entries are tried again.
	reconnectDelay = 100 * time.Millisecond
	// askStoreAfter is how long the agent tries the known entries before it reads the newest
	// leadership claim from the store.
	askStoreAfter = 800 * time.Millisecond
	// successorRetryDelay is the delay before the named successor of a dispatcher that has resigned is
	// tried again, and successorWait how long only that entry is tried. A claim takes about 30 ms.
	successorRetryDelay = 40 * time.Millisecond
	successorWait       = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 1200 * time.Millisecond
)

// connect keeps a connection to the dispatcher. It looks for the dispatcher among the known
// entries and in the store.
func (a *Agent) connect(ctx context.Context) {
	next := ""
	searchBegan := clock.Steady()
	for ctx.Err() == nil {
		if a.joinSuccessor(ctx) {
			searchBegan = clock.Steady()
			continue
		}
		addresses := a.candidates(next)
		next = ""
		for _, address := range addresses {
			hint, stayed := a.tryEntry(ctx, address)
			if stayed {
				searchBegan = clock.Steady()
			}
			if hint != "" && hint != address {
				next = hint
				break
			}
			if ctx.Err() != nil {
				return
			}
		}
		if next == "" && clock.Steady().Sub(searchBegan) > askStoreAfter {
			next = a.dispatcherFromStore(ctx)
			searchBegan = clock.Steady()
		}
		clock.WaitForWake(ctx, nil, reconnectDelay)
	}
}

// joinSuccessor tries the entry that a dispatcher has named as its successor until that entry is the
// dispatcher, and then stays connected. It reports whether it was connected.
func (a *Agent) joinSuccessor(ctx context.Context) bool {
	a.mu.Lock()
	address := a.successor
	a.successor = ""
	a.mu.Unlock()
	if address == "" {
		return false
	}
	for began := clock.Steady(); clock.Steady().Sub(began) < successorWait; {
		if _, stayed := a.tryEntry(ctx, address); stayed {
			return true
		}
		if !clock.WaitForWake(ctx, nil, successorRetryDelay) {
			return false
		}
	}
	return false
}

// candidates returns the addresses of entries to try: first if that is not empty, and then
// all known entries.
func (a *Agent) candidates(first string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	if first != "" {
		out = append(out, first)
	}
	for e := range a.entries {
		if e != first {
			out = append(out, e)
		}
	}
	return out
}

// dispatcherFromStore returns the address in the newest leadership claim, or "".
func (a *Agent) dispatcherFromStore(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	claim, _, _, err := a.store.NewestClaim(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("reading the newest leadership claim failed")
		return ""
	}
	a.log.Info().Uint64("term", claim.Term).Str("dispatcher", claim.Entry).Msg("found the dispatcher in the store")
	return claim.Address
}

// tryEntry connects to an entry, and stays connected while that entry is the dispatcher.
// stayed is set if the entry was the dispatcher. If not, hint is the address of the dispatcher
// that the entry named, if any.
func (a *Agent) tryEntry(ctx context.Context, address string) (hint string, stayed bool) {
	conn, err := peer.Dial(ctx, address)
	if err != nil {
		return "", false
	}
	detach := context.AfterFunc(ctx, conn.Close)
	defer detach()
	a.mu.Lock()
	a.connections++
	term, number := a.term, a.connections
	a.mu.Unlock()
	conn.Send(&peer.Message{Hello: &peer.Hello{
		Role: peer.RoleAgent, Name: a.settings.Name, Incarnation: a.settings.Incarnation, Zone: a.settings.Zone, Persistent: true, NewestTerm: term, Connection: number,
	}})
	err = conn.Run(&a.group, func(m *peer.Message) {
		switch {
		case m.Welcome != nil:
			a.AddEntries(m.Welcome.EntryAddresses)
			if m.Welcome.IsDispatcher && a.joinTerm(ctx, conn, m.Welcome.NewestTerm) {
				stayed = true
				a.log.Info().Str("dispatcher", m.Welcome.Name).Uint64("term", m.Welcome.NewestTerm).Msg("dispatcher connected")
				return
			}
			hint = m.Welcome.NewestClaim.Address
			conn.Close()
		case m.Pong != nil:
			a.handlePong(conn, m.Pong)
			a.noteContactAge(ctx, conn, peer.Duration(m.Pong.StoreContactAgeMS))
		case m.Orders != nil:
			a.handleOrders(ctx, m.Orders)
		case m.Ack != nil:
			a.handleAck(m.Ack)
		case m.Registered != nil:
			a.handleRegistered(conn, m.Registered)
		case m.Resigned != nil:
			a.mu.Lock()
			a.successor = m.Resigned.SuccessorAddress
			a.mu.Unlock()
			conn.Close()
		}
	})
	a.mu.Lock()
	if a.conn == conn {
		a.conn = nil
	}
	a.mu.Unlock()
	if stayed {
		a.log.Warn().Err(err).Str("address", address).Msg("dispatcher disconnected")
	}
	return hint, stayed
}

// joinTerm begins to serve the dispatcher of a term over conn. It returns false, and does
// nothing, if the agent knows a later term.
func (a *Agent) joinTerm(ctx context.Context, conn *peer.Conn, term uint64) bool {
	a.mu.Lock()
	if term < a.term {
		a.mu.Unlock()
		return false
	}
	if term != a.term {
		a.term, a.termCheck = term, leadership.TermCheck{}
	}
	a.mu.Unlock()
	select {
	case a.wakePoll <- struct{}{}:
	default:
	}
	a.group.Go(func() { a.serveTerm(ctx, conn) })
	return true
}

// firstPoll polls the runner until the runner answers, or until it is certain that nothing
// runs at the worker. ok is false if the connection or ctx ends before.
func (a *Agent) firstPoll(ctx context.Context, conn *peer.Conn) (state runnerState, ok bool) {
	for {
		began := clock.Steady()
		err := a.poll(ctx, 0)
		if err == nil {
			return runnerAnswers, true
		}
		a.mu.Lock()
		ended, state := a.provesEmpty(began), a.emptyState()
		a.mu.Unlock()
		if ended {
			a.log.Warn().Err(err).Msg("no runner; reporting a worker without runs")
			return state, true
		}
		if !clock.WaitForWake(ctx, conn.Done(), retryDelay) {
			return runnerAnswers, false
		}
		if hasEnded(conn) {
			return runnerAnswers, false
		}
	}
}

// hasEnded reports whether a connection has ended.
func hasEnded(conn *peer.Conn) bool {
	select {
	case <-conn.Done():
		return true
	default:
		return false
	}
}

// serveTerm sends the dispatcher a report from a new poll of the runner, and then pings the
// dispatcher until the connection ends.
func (a *Agent) serveTerm(ctx context.Context, conn *peer.Conn) {
	state, ok := a.firstPoll(ctx, conn)
	if !ok {
		return
	}
	a.mu.Lock()
	if hasEnded(conn) {
		a.mu.Unlock()
		return // a later connection may be in use
	}
	a.conn = conn
	clear(a.pingSentAt)
	a.sendFirstReport(clock.Steady(), state)
	a.mu.Unlock()
	for {
		if !clock.WaitForWake(ctx, conn.Done(), pingEvery) || hasEnded(conn) {
			return
		}
		a.mu.Lock()
		if a.conn != conn {
			a.mu.Unlock()
			return
		}
		a.ping(clock.Steady())
		a.mu.Unlock()
	}
}

// sendFirstReport sends the first report on a connection and the first ping. It needs no answer to an
// empty report on an earlier connection, since orders on that one arrive no more. The caller holds mu.
func (a *Agent) sendFirstReport(now time.Time, state runnerState) {
	a.connReportedAt = now
	if state != runnerAnswers {
		a.lastReportedEnd = a.lastEndNumber()
		a.sendEmptyReport(now, state)
		return
	}
	a.reportedEmpty = false
	clear(a.pendingWhenEmpty)
	a.sendReport()
	a.ping(now)
}

// ping sends a ping, which asks for a longer worker lease and describes the worker.
// The caller holds mu.
func (a *Agent) ping(now time.Time) {
	a.pingSeq++
	if len(a.pingSentAt) > 16 {
		clear(a.pingSentAt)
	}
	a.pingSentAt[a.pingSeq] = now
	a.pingTimes.Note(a.pingSeq, now)
	w := a.describeWorker()
	a.conn.Send(&peer.Message{Ping: &peer.Ping{Seq: a.pingSeq, Worker: &w, Runs: append([]dispatch.RunStatus(nil), a.runs...)}})
}

// handlePong handles the answer to a ping, which may renew the worker lease.
func (a *Agent) handlePong(conn *peer.Conn, p *peer.Pong) {
	a.AddEntries(p.EntryAddresses)
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.DispatcherTerm != a.term || a.conn != conn {
		conn.Close()
		return
	}
	a.setEvacuated(p.Evacuated)
	a.answeredPing = max(a.answeredPing, p.Seq)
	if sent, ok := a.pingSentAt[p.Seq]; ok && p.WorkerLeaseRenewed {
		a.workerLease.Renew(sent)
	}
	delete(a.pingSentAt, p.Seq)
}

// handleAck handles an acknowledgement: the number of the last run end that the dispatcher has
// stored in one life, the time between two restarts of the runner.
func (a *Agent) handleAck(ack *peer.RunEndsAck) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ack.Life == a.life {
		a.lastAckedEnd = max(a.lastAckedEnd, ack.LastAckedEnd)
	}
	a.dropKeptEnds(ack)
}

// AddEntries adds peer addresses of entries.
func (a *Agent) AddEntries(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range addresses {
		a.entries[e] = true
	}
}
