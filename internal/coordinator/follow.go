package coordinator

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/tenure"
)

// askTimeout bounds one question to another entry before a claim.
const askTimeout = 400 * time.Millisecond

// upstream is a connection to another entry that answers calls.
type upstream struct {
	conn *peer.Conn

	// mu guards the calls that wait for an answer.
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan *peer.Message
}

func newUpstream(conn *peer.Conn) *upstream {
	return &upstream{conn: conn, waiting: make(map[uint64]chan *peer.Message)}
}

// ask sends the message that build returns for a call number and waits for the answer.
func (u *upstream) ask(ctx context.Context, build func(seq uint64) *peer.Message) (*peer.Message, bool) {
	u.mu.Lock()
	u.seq++
	seq := u.seq
	ch := make(chan *peer.Message, 1)
	u.waiting[seq] = ch
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		delete(u.waiting, seq)
		u.mu.Unlock()
	}()
	if !u.conn.Send(build(seq)) {
		return nil, false
	}
	select {
	case m := <-ch:
		return m, true
	case <-u.conn.Done():
	case <-ctx.Done():
	}
	return nil, false
}

func (u *upstream) answer(seq uint64, m *peer.Message) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if ch := u.waiting[seq]; ch != nil {
		ch <- m
		delete(u.waiting, seq)
	}
}

// hello returns this entry's first message.
func (c *Coordinator) hello(stays bool) *peer.Message {
	c.mu.Lock()
	term := c.candidate.Claim().Term
	c.mu.Unlock()
	return &peer.Message{Hello: &peer.Hello{
		Term: term, Role: peer.RoleEntry, Name: c.settings.Name, Incarnation: c.settings.Incarnation, Address: c.settings.Listen, Zone: c.settings.Zone, Stays: stays,
	}}
}

// follow keeps a connection to the dispatching entry while it is another one.
func (c *Coordinator) follow(ctx context.Context) {
	for clock.Pause(ctx, nil, tickEvery) {
		c.mu.Lock()
		claim, own := c.candidate.Claim(), c.term != nil
		c.mu.Unlock()
		if own || claim.Term == 0 || claim.Address == c.settings.Listen {
			continue
		}
		c.followOne(ctx, claim)
	}
}

// followOne stays connected to a dispatcher until the connection or its term ends.
func (c *Coordinator) followOne(ctx context.Context, claim tenure.Claim) {
	conn, err := peer.Dial(ctx, claim.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.mu.Lock()
			c.candidate.Resigned(claim.Term) // the process that claimed is gone
			c.mu.Unlock()
			c.log.Info().Uint64("term", claim.Term).Str("dispatcher", claim.Entry).Msg("the dispatcher's process is gone")
			kick(c.wake)
		}
		return
	}
	u := newUpstream(conn)
	live, stop := context.WithCancel(ctx)
	defer stop()
	detach := context.AfterFunc(live, conn.Close)
	defer detach()
	conn.Send(c.hello(true))
	c.group.Go(func() { c.pingUpstream(live, u, claim.Term) })
	err = conn.Run(&c.group, func(m *peer.Message) { c.fromDispatcher(live, u, claim, m) })
	c.mu.Lock()
	lost := c.upstream == u
	if lost {
		c.upstream = nil
	}
	c.mu.Unlock()
	if lost {
		c.log.Warn().Err(err).Str("dispatcher", claim.Entry).Uint64("term", claim.Term).Msg("dispatcher disconnected")
	}
	kick(c.wake)
}

// pingUpstream pings the dispatcher until its connection or term ends.
func (c *Coordinator) pingUpstream(ctx context.Context, u *upstream, term uint64) {
	defer u.conn.Close()
	for seq := uint64(1); ; seq++ {
		c.mu.Lock()
		now := clock.Steady()
		p := &peer.Ping{Seq: seq, Term: c.candidate.Claim().Term, StoreMS: now.Sub(c.storeSeen).Milliseconds(), Leaving: c.leaving}
		if c.config != nil {
			p.Config = c.config.Version
		}
		current := c.candidate.Claim().Term == term && c.term == nil
		c.mu.Unlock()
		if !current || !u.conn.Send(&peer.Message{Ping: p}) {
			return
		}
		if !clock.Pause(ctx, u.conn.Done(), pingEvery) {
			return
		}
	}
}

// fromDispatcher handles a message of the dispatching entry.
func (c *Coordinator) fromDispatcher(ctx context.Context, u *upstream, claim tenure.Claim, m *peer.Message) {
	now := clock.Steady()
	switch {
	case m.Welcome != nil:
		c.welcomed(now, u, claim, m.Welcome)
	case m.Pong != nil:
		c.mu.Lock()
		if m.Pong.Term == claim.Term {
			c.candidate.Hear(now, claim.Term)
			c.pending = m.Pong.Pending
		}
		c.learnEntries(m.Pong.Entries)
		if c.config != nil && m.Pong.Config < c.config.Version {
			u.conn.Send(&peer.Message{Config: &peer.Config{Version: c.config.Version, Data: c.rawConfig}})
		}
		c.mu.Unlock()
	case m.Answer != nil:
		u.answer(m.Answer.Seq, m)
	case m.Relay != nil:
		c.group.Go(func() { c.relay(ctx, u.conn, m.Relay) })
	case m.Relayed != nil:
		u.answer(m.Relayed.Seq, m)
	case m.Config != nil:
		c.offerConfig(m.Config.Data, "peer "+claim.Entry)
	case m.Resigned != nil:
		c.dispatcherResigned(m.Resigned)
	}
}

func (c *Coordinator) welcomed(now time.Time, u *upstream, claim tenure.Claim, w *peer.Welcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnEntries(w.Entries)
	switch {
	case w.Dispatches && w.Term == claim.Term:
		c.candidate.Hear(now, claim.Term)
		c.upstream = u
		c.log.Info().Uint64("term", claim.Term).Str("dispatcher", claim.Entry).Msg("dispatcher connected")
	case w.Term > claim.Term:
		newer := w.Claim
		newer.Term = w.Term
		c.candidate.Learn(now, newer)
		u.conn.Close()
	case w.Incarnation != claim.Incarnation:
		c.candidate.Resigned(claim.Term) // another process runs there now
		u.conn.Close()
	default:
		u.conn.Close() // it is about to begin its term, or has given it up
	}
}

// LearnEntries notes addresses of entries.
func (c *Coordinator) LearnEntries(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnEntries(addresses)
}

// learnEntries notes addresses of entries. The caller holds mu.
func (c *Coordinator) learnEntries(addresses []string) {
	for _, a := range addresses {
		if _, ok := c.entries[a]; !ok && a != c.settings.Listen {
			c.entries[a] = ""
		}
	}
}

// dispatcherResigned notes that a dispatcher gave up, so that its heir claims at once.
func (c *Coordinator) dispatcherResigned(r *peer.Resigned) {
	c.mu.Lock()
	c.candidate.Resigned(r.Term)
	if r.Heir != "" && r.Heir != c.settings.Name {
		c.heirUntil = clock.Steady().Add(tenure.ClaimAfter)
	}
	c.mu.Unlock()
	c.log.Info().Uint64("term", r.Term).Str("heir", r.Heir).Msg("dispatcher resigned")
	kick(c.wake)
}

// question opens a connection to a peer, says hello and returns its welcome.
func (c *Coordinator) question(ctx context.Context, address string) (*peer.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	return w, nil
}

// othersHear counts the other entries that hear the dispatcher, and learns a newer claim from them.
func (c *Coordinator) othersHear(ctx context.Context, claim tenure.Claim) int {
	c.mu.Lock()
	var ask []string
	for a := range c.entries {
		if a != c.settings.Listen && a != claim.Address {
			ask = append(ask, a)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	var mu sync.Mutex
	hear := 0
	for _, a := range ask {
		group.Go(func() {
			w, err := c.question(ctx, a)
			if err != nil {
				return // an entry that does not answer hears nobody
			}
			mu.Lock()
			defer mu.Unlock()
			if w.Term > claim.Term {
				newer := w.Claim
				newer.Term = w.Term
				c.mu.Lock()
				c.candidate.Learn(clock.Steady(), newer)
				c.mu.Unlock()
				hear++
			} else if w.Term == claim.Term && w.Term != 0 && !w.Resigned && w.HeardMS < tenure.ClaimAfter.Milliseconds() {
				hear++
			}
		})
	}
	group.Wait()
	return hear
}

// isDead asks whether the process of a claim acts no more.
func (c *Coordinator) isDead(ctx context.Context, claim tenure.Claim) (bool, string) {
	w, err := c.question(ctx, claim.Address)
	var refusedBy *net.OpError
	switch {
	case err != nil && errors.As(err, &refusedBy) && errors.Is(err, syscall.ECONNREFUSED):
		return true, "nothing listens at its address"
	case err != nil:
		return false, ""
	case w.Incarnation != claim.Incarnation:
		return true, "another process runs at its address"
	case !w.Dispatches:
		return true, "it has given up its term"
	}
	return false, ""
}
