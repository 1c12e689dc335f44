package attendant

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

const (
	// reconnectAfter is the delay before the next entry is tried.
	reconnectAfter = 100 * time.Millisecond
	// askStoreAfter is how long the dispatcher is looked for at known entries before the store is asked.
	askStoreAfter = 800 * time.Millisecond
	// storeTimeout bounds a question to the store.
	storeTimeout = 1200 * time.Millisecond
)

// connect keeps a connection to the dispatching entry.
func (a *Attendant) connect(ctx context.Context) {
	next := ""
	searching := clock.Steady()
	for ctx.Err() == nil {
		tried := a.candidates(next)
		next = ""
		for _, address := range tried {
			hint, stayed := a.visit(ctx, address)
			if stayed {
				searching = clock.Steady()
			}
			if hint != "" && hint != address {
				next = hint
				break
			}
			if ctx.Err() != nil {
				return
			}
		}
		if next == "" && clock.Steady().Sub(searching) > askStoreAfter {
			next = a.askStore(ctx)
			searching = clock.Steady()
		}
		clock.Pause(ctx, nil, reconnectAfter)
	}
}

// candidates returns the addresses to try, the likeliest first.
func (a *Attendant) candidates(first string) []string {
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

// askStore returns the address of the newest claim.
func (a *Attendant) askStore(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	claim, _, _, err := a.store.NewestClaim(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("asking the store for the dispatcher failed")
		return ""
	}
	a.log.Info().Uint64("term", claim.Term).Str("dispatcher", claim.Entry).Msg("the store names the dispatcher")
	return claim.Address
}

// visit stays connected to an entry while it dispatches. It returns the address
// of the dispatcher that the entry named.
func (a *Attendant) visit(ctx context.Context, address string) (hint string, stayed bool) {
	conn, err := peer.Dial(ctx, address)
	if err != nil {
		return "", false
	}
	live, stop := context.WithCancel(ctx)
	defer stop()
	detach := context.AfterFunc(live, conn.Close)
	defer detach()
	a.mu.Lock()
	term := a.term
	a.mu.Unlock()
	conn.Send(&peer.Message{Hello: &peer.Hello{
		Role: peer.RoleAgent, Name: a.settings.Name, Incarnation: a.settings.Incarnation, Zone: a.settings.Zone, Stays: true, Term: term,
	}})
	err = conn.Run(&a.group, func(m *peer.Message) {
		switch {
		case m.Welcome != nil:
			a.LearnEntries(m.Welcome.Entries)
			if m.Welcome.Dispatches && a.join(live, conn, m.Welcome.Term) {
				stayed = true
				a.log.Info().Str("dispatcher", m.Welcome.Name).Uint64("term", m.Welcome.Term).Msg("dispatcher connected")
				return
			}
			hint = m.Welcome.Claim.Address
			conn.Close()
		case m.Pong != nil:
			a.ponged(conn, m.Pong)
		case m.Orders != nil:
			a.take(ctx, m.Orders)
		case m.Noted != nil:
			a.note(m.Noted)
		case m.Resigned != nil:
			hint = ""
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

// join makes conn the connection to the dispatcher of a term and reports to it.
func (a *Attendant) join(ctx context.Context, conn *peer.Conn, term uint64) bool {
	a.mu.Lock()
	if term < a.term {
		a.mu.Unlock()
		return false
	}
	a.term = term
	a.mu.Unlock()
	select {
	case a.looked <- struct{}{}:
	default:
	}
	a.group.Go(func() { a.serveTerm(ctx, conn) })
	return true
}

// firstLook looks at the runner until it answers or nothing can run there any
// more, which it reports as empty.
func (a *Attendant) firstLook(ctx context.Context, conn *peer.Conn) (empty, ok bool) {
	for {
		err := a.lookOnce(ctx, 0)
		if err == nil {
			return false, true
		}
		a.mu.Lock()
		ended := a.ended(err)
		a.mu.Unlock()
		if ended {
			a.log.Warn().Err(err).Msg("no runner; an empty worker is reported")
			return true, true
		}
		if !clock.Pause(ctx, conn.Done(), retryAfter) {
			return false, false
		}
		select {
		case <-conn.Done():
			return false, false
		default:
		}
	}
}

// serveTerm reports a fresh look at the runner, then pings.
func (a *Attendant) serveTerm(ctx context.Context, conn *peer.Conn) {
	empty, ok := a.firstLook(ctx, conn)
	if !ok {
		return
	}
	a.mu.Lock()
	a.conn = conn
	a.vacant = empty
	a.told = a.lastEnd()
	clear(a.pings)
	if empty {
		conn.Send(&peer.Message{Report: a.emptyReport()})
	} else {
		conn.Send(&peer.Message{Report: a.report()})
	}
	a.ping(clock.Steady())
	a.mu.Unlock()
	for {
		if !clock.Pause(ctx, conn.Done(), pingEvery) {
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

// ping asks for more time and describes the worker. The caller holds mu.
func (a *Attendant) ping(now time.Time) {
	a.seq++
	if len(a.pings) > 16 {
		clear(a.pings)
	}
	a.pings[a.seq] = now
	w := a.worker()
	a.conn.Send(&peer.Message{Ping: &peer.Ping{Seq: a.seq, Worker: &w, Rows: append([]dispatch.Row(nil), a.rows...)}})
}

// ponged takes in the answer to a ping.
func (a *Attendant) ponged(conn *peer.Conn, p *peer.Pong) {
	a.LearnEntries(p.Entries)
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Term != a.term || a.conn != conn {
		conn.Close()
		return
	}
	if sent, ok := a.pings[p.Seq]; ok && p.Granted {
		a.grant.Renew(sent)
	}
	delete(a.pings, p.Seq)
}

// note takes in up to which end the dispatcher has stored.
func (a *Attendant) note(n *peer.Noted) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n.Life == a.life {
		a.noted = max(a.noted, n.End)
	}
}

// LearnEntries notes addresses of entries.
func (a *Attendant) LearnEntries(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range addresses {
		a.entries[e] = true
	}
}
