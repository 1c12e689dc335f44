package coordinator

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// probeTimeout bounds one probe of another entry.
const probeTimeout = 400 * time.Millisecond

// callConn sends calls to another entry over a connection and matches the answers to them.
type callConn struct {
	conn *peer.Conn

	// mu guards the fields below.
	mu sync.Mutex
	// seq is the number of the last call.
	seq uint64
	// pingTimes are the times of the pings, and lastPong is the number of the last one that was answered.
	pingTimes peer.SentTimes
	lastPong  uint64
	// waiting holds the calls that wait for an answer, by their number.
	waiting map[uint64]chan *peer.Message
}

func newCallConn(conn *peer.Conn) *callConn {
	return &callConn{conn: conn, waiting: make(map[uint64]chan *peer.Message)}
}

// call sends the message that build returns for a new call number and waits for the
// answer. It reports false if ctx or the connection ends before the answer arrives.
func (cc *callConn) call(ctx context.Context, build func(seq uint64) *peer.Message) (*peer.Message, bool) {
	cc.mu.Lock()
	cc.seq++
	seq := cc.seq
	ch := make(chan *peer.Message, 1)
	cc.waiting[seq] = ch
	cc.mu.Unlock()
	defer func() {
		cc.mu.Lock()
		delete(cc.waiting, seq)
		cc.mu.Unlock()
	}()
	if !cc.conn.Send(build(seq)) {
		return nil, false
	}
	select {
	case m := <-ch:
		return m, true
	case <-cc.conn.Done():
	case <-ctx.Done():
	}
	return nil, false
}

// notePing records that the ping with a number is sent at the given time, and returns the number of the last one that
// was answered.
func (cc *callConn) notePing(seq uint64, at time.Time) uint64 {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.pingTimes.Note(seq, at)
	return cc.lastPong
}

// notePong records the answer to the ping with a number, and returns when that ping was sent, or false if that is not
// known.
func (cc *callConn) notePong(seq uint64) (time.Time, bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.lastPong = max(cc.lastPong, seq)
	return cc.pingTimes.Find(seq)
}

// deliver passes the answer m to the call with number seq, if that call still waits.
func (cc *callConn) deliver(seq uint64, m *peer.Message) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if ch := cc.waiting[seq]; ch != nil {
		ch <- m
		delete(cc.waiting, seq)
	}
}

// hello returns the first message on a connection to another entry. If persistent is set,
// the connection is kept open; that of a probe is not.
func (c *Coordinator) hello(persistent bool) *peer.Message {
	c.mu.Lock()
	term := c.candidate.Claim().Term
	c.mu.Unlock()
	return &peer.Message{Hello: &peer.Hello{
		NewestTerm: term, Role: peer.RoleEntry, Name: c.settings.Name, Incarnation: c.settings.Incarnation, PeerAddress: c.settings.Listen, Zone: c.settings.Zone, Persistent: persistent, Strength: c.settings.Strength,
	}}
}

// follow keeps a connection to the dispatcher open while another entry is the dispatcher.
func (c *Coordinator) follow(ctx context.Context) {
	for clock.WaitForWake(ctx, nil, tickEvery) {
		c.mu.Lock()
		claim, own := c.candidate.Claim(), c.term != nil
		c.mu.Unlock()
		if own || claim.Term == 0 || claim.Address == c.settings.Listen {
			continue
		}
		c.followTerm(ctx, claim)
	}
}

// followTerm stays connected to a dispatcher until the connection or its term ends.
func (c *Coordinator) followTerm(ctx context.Context, claim leadership.Claim) {
	conn, err := peer.Dial(ctx, claim.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.mu.Lock()
			c.candidate.NoteResigned(clock.Steady(), claim.Term) // saves the election timeout if the process has ended
			c.mu.Unlock()
			c.log.Info().Uint64("term", claim.Term).Str("dispatcher", claim.Entry).Msg("the dispatcher's address refuses connections; its process may have ended")
			notify(c.wakeLead)
		}
		return
	}
	cc := newCallConn(conn)
	live, stop := context.WithCancel(ctx)
	defer stop()
	detach := context.AfterFunc(live, conn.Close)
	defer detach()
	conn.Send(c.hello(true))
	c.group.Go(func() { c.pingDispatcher(live, cc, claim.Term) })
	err = conn.Run(&c.group, func(m *peer.Message) { c.handleDispatcherMessage(live, cc, claim, m) })
	c.mu.Lock()
	lost := c.dispatcherConn == cc
	if lost {
		c.dispatcherConn = nil
	}
	c.mu.Unlock()
	if lost {
		c.log.Warn().Err(err).Str("dispatcher", claim.Entry).Uint64("term", claim.Term).Msg("dispatcher disconnected")
	}
	notify(c.wakeLead)
}

// pingDispatcher pings the dispatcher of a term until the connection cc ends, a later term is
// known, or this entry becomes the dispatcher.
func (c *Coordinator) pingDispatcher(ctx context.Context, cc *callConn, term uint64) {
	defer cc.conn.Close()
	for seq := uint64(1); ; seq++ {
		c.mu.Lock()
		now := clock.Steady()
		p := &peer.Ping{Seq: seq, NewestTerm: c.candidate.NewestTerm(), StoreContactAgeMS: now.Sub(c.health.lastSuccess).Milliseconds(), Draining: c.draining}
		if c.config != nil {
			p.ConfigVersion = c.config.Version
		}
		p.Evacuation = c.evacuationMessage(now)
		p.LastPong = cc.notePing(seq, now)
		current := c.candidate.Claim().Term == term && c.term == nil
		c.mu.Unlock()
		if !current || !cc.conn.Send(&peer.Message{Ping: p}) {
			return
		}
		if !clock.WaitForWake(ctx, cc.conn.Done(), pingEvery) {
			return
		}
	}
}

// handleDispatcherMessage handles a message from the dispatcher.
func (c *Coordinator) handleDispatcherMessage(ctx context.Context, cc *callConn, claim leadership.Claim, m *peer.Message) {
	now := clock.Steady()
	switch {
	case m.Welcome != nil:
		c.handleWelcome(now, cc, claim, m.Welcome)
	case m.Pong != nil:
		c.mu.Lock()
		c.noteTerm(m.Pong.DispatcherTerm, claim.Entry)
		if m.Pong.DispatcherTerm == claim.Term {
			c.candidate.NoteContact(now, claim.Term)
			c.pendingByQueue = m.Pong.PendingJobsByQueue
			c.admission.hear(now, claim.Term, m.Pong.Backlogs)
		}
		if sentAt, ok := cc.notePong(m.Pong.Seq); ok {
			c.notePeerEvacuation(now, sentAt, m.Pong.Evacuation, claim.Entry)
			if m.Pong.Follower && m.Pong.DispatcherTerm == claim.Term {
				c.followed.NoteAnswer(claim.Term, sentAt)
			}
		}
		c.addEntries(m.Pong.EntryAddresses, m.Pong.EntryStrengths)
		if c.config != nil && m.Pong.ConfigVersion < c.config.Version {
			cc.conn.Send(&peer.Message{Config: &peer.Config{Version: c.config.Version, Data: c.rawConfig}})
		}
		c.mu.Unlock()
	case m.PhaseAnswer != nil:
		cc.deliver(m.PhaseAnswer.Seq, m)
	case m.RelayAppend != nil:
		c.group.Go(func() { c.storeForPeer(ctx, cc.conn, m.RelayAppend) })
	case m.RelayResult != nil:
		cc.deliver(m.RelayResult.Seq, m)
	case m.Config != nil:
		c.applyConfig(m.Config.Data, "peer "+claim.Entry)
	case m.Resigned != nil:
		c.handleResigned(m.Resigned)
	}
}

// handleWelcome handles the first message from the entry that made a claim, and closes the
// connection if that entry is not the dispatcher of the claim's term.
func (c *Coordinator) handleWelcome(now time.Time, cc *callConn, claim leadership.Claim, w *peer.Welcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeWelcome(now, w)
	switch {
	case w.IsDispatcher && w.NewestTerm == claim.Term:
		c.candidate.NoteContact(now, claim.Term)
		c.dispatcherConn = cc
		c.log.Info().Uint64("term", claim.Term).Str("dispatcher", claim.Entry).Msg("dispatcher connected")
		c.passDeparturesOn(now, cc)
	case w.NewestTerm > claim.Term:
		cc.conn.Close()
	case w.Incarnation != claim.Incarnation:
		c.candidate.NoteResigned(now, claim.Term) // the process that claimed has ended, and another one runs at its address
		cc.conn.Close()
	default:
		cc.conn.Close() // the entry's term has not begun yet, or the entry has resigned
	}
}

// observeWelcome records the entries and the newest claim that another entry knows. The caller holds mu.
func (c *Coordinator) observeWelcome(now time.Time, w *peer.Welcome) {
	c.addEntries(w.EntryAddresses, w.EntryStrengths)
	claim := w.NewestClaim
	claim.Term = w.NewestTerm
	c.candidate.ObserveClaim(now, claim)
}

// AddEntries adds peer addresses of entries.
func (c *Coordinator) AddEntries(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addEntries(addresses, nil)
}

// handleResigned records that a dispatcher has resigned. The successor that the dispatcher
// named claims leadership at once; other entries wait for leadership.ElectionTimeout.
func (c *Coordinator) handleResigned(r *peer.Resigned) {
	c.mu.Lock()
	now := clock.Steady()
	c.noteTerm(r.Term, "a resignation")
	c.candidate.NoteResigned(now, r.Term)
	switch r.Successor {
	case "":
	case c.settings.Name:
		c.succeeds = r.Term
	default:
		c.claimNotBefore = now.Add(leadership.ElectionTimeout)
	}
	c.mu.Unlock()
	c.log.Info().Uint64("term", r.Term).Str("heir", r.Successor).Msg("dispatcher resigned")
	notify(c.wakeLead)
}

// probe connects to another entry for one exchange of Hello and Welcome, and returns its Welcome, whose
// newest claim it records.
func (c *Coordinator) probe(ctx context.Context, address string) (*peer.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := peer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	detach := context.AfterFunc(ctx, conn.Close)
	defer detach()
	var w *peer.Welcome
	conn.Send(c.hello(false))
	err = conn.Run(&c.group, func(m *peer.Message) {
		w = m.Welcome
		conn.Close()
	})
	if w == nil {
		return nil, err
	}
	c.mu.Lock()
	c.observeWelcome(clock.Steady(), w)
	c.mu.Unlock()
	return w, nil
}

// probeForDispatcher probes all other entries and counts those that had contact with the
// dispatcher lately, or know a claim newer than claim.
func (c *Coordinator) probeForDispatcher(ctx context.Context, claim leadership.Claim) int {
	c.mu.Lock()
	var addresses []string
	for a := range c.entries {
		if a != c.settings.Listen && a != claim.Address {
			addresses = append(addresses, a)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	var mu sync.Mutex
	withContact := 0
	for _, a := range addresses {
		group.Go(func() {
			w, err := c.probe(ctx, a)
			if err != nil {
				return // an entry that does not answer cannot confirm contact with the dispatcher
			}
			mu.Lock()
			defer mu.Unlock()
			if w.NewestTerm > claim.Term {
				withContact++
			} else if w.NewestTerm == claim.Term && w.NewestTerm != 0 && !w.NoDispatcher && w.DispatcherContactAgeMS < leadership.ElectionTimeout.Milliseconds() {
				withContact++
			}
		})
	}
	group.Wait()
	return withContact
}

// hasStopped probes the process that made a claim of an earlier term. It reports whether that process
// certainly does not act as the dispatcher from now on, and the reason for this certainty: the Hello names
// this entry's term, so that a process which is not the dispatcher begins no earlier one. Only an answer is certain: a cut
// of the network may refuse connections, too, while the process still serves agents on its side.
func (c *Coordinator) hasStopped(ctx context.Context, claim leadership.Claim) (bool, string) {
	w, err := c.probe(ctx, claim.Address)
	switch {
	case err != nil:
		return false, ""
	case w.Incarnation != claim.Incarnation:
		return true, "another process runs at its address"
	case !w.IsDispatcher:
		return true, "it is not the dispatcher"
	}
	return false, ""
}
