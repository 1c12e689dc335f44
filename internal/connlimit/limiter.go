package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/clock"
)

// ErrLimit means that a connection was closed, or something on it refused, because of a limit.
var ErrLimit = errors.New("limit for clients reached")

// Reasons for closing a connection or refusing a request, and the names of the counters of each.
const (
	reasonMemory     = "connections-closed-memory"
	reasonConns      = "connections-closed-number"
	reasonHeadSize   = "requests-refused-head-size"
	reasonBodySize   = "requests-refused-body-size"
	reasonBodyMemory = "requests-refused-body-memory"
	reasonBodyTime   = "requests-refused-body-time"
	reasonMessage    = "connections-closed-message-size"
	reasonPeers      = "connections-closed-peers"
)

// Limiter bounds what the clients of all listeners of a process hold together.
type Limiter struct {
	limits   Limits
	log      *log.Logger
	registry gometrics.Registry

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// bytes is the sum of the charges of conns.
	bytes int
	// peers is the number of connections of peers that have said Hello; conns does not contain these.
	peers int
}

// New returns a limiter without connections.
func New(limits Limits, logger *log.Logger, registry gometrics.Registry) *Limiter {
	l := &Limiter{limits: limits, log: logger, registry: registry, conns: make(map[*Conn]struct{})}
	gauge := func(name string, read func() int) {
		gometrics.NewRegisteredFunctionalGauge(name, registry, func() int64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return int64(read())
		})
	}
	gauge("client-bytes", func() int { return l.bytes })
	gauge("client-connections", func() int { return len(l.conns) })
	gauge("peer-connections", func() int { return l.peers })
	return l
}

// add takes in a new connection and returns the connection to close in its favour, which may be the new one, or nil.
func (l *Limiter) add(now time.Time, c *Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.since, c.charge = now, connCharge
	l.conns[c] = struct{}{}
	c.listener.conns++
	l.bytes += c.charge
	switch {
	case c.listener.conns > c.listener.maxConns:
		return l.removeVictim(c, func(o *Conn) bool { return o.listener == c.listener })
	case len(l.conns) > l.limits.Conns, l.bytes > l.limits.Bytes:
		return l.removeVictim(c, nil)
	}
	return nil
}

// removeVictim removes and returns the connection that comes before all others, except c unless there is no other. among
// says which ones count; nil means all. The caller holds mu.
func (l *Limiter) removeVictim(c *Conn, among func(*Conn) bool) *Conn {
	victim := c
	for o := range l.conns {
		if o == c || !o.phase.closable() || among != nil && !among(o) {
			continue
		}
		if victim == c || o.before(victim) {
			victim = o
		}
	}
	l.drop(victim)
	return victim
}

// drop removes a connection and its charge. The caller holds mu.
func (l *Limiter) drop(c *Conn) {
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		c.listener.conns--
		l.bytes -= c.charge
	}
}

// setCharge sets the charge of a connection that grows while it is read. It returns the connections to close, among which
// may be c. A connection that is not counted any more has no charge.
func (l *Limiter) setCharge(c *Conn, charge int) []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return nil
	}
	l.bytes += charge - c.charge
	c.charge = charge
	var out []*Conn
	for l.bytes > l.limits.Bytes {
		victim := c
		for o := range l.conns {
			if o != c && o.phase.closable() && o.before(victim) {
				victim = o
			}
		}
		l.drop(victim)
		if out = append(out, victim); victim == c {
			break
		}
	}
	return out
}

// reserve adds a body of n bytes to the charge of a connection, and returns the connections to close for it. It reports
// false, and adds nothing, if there is no room: for an ordinary body, any large connection is closed; apart from that, only
// connections that have waited for minBodyHold, and for a large body only large ones.
func (l *Limiter) reserve(now time.Time, c *Conn, n int) ([]*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return nil, false
	}
	added := bodyFactor * n
	large := c.charge+added > ordinaryCharge
	var out []*Conn
	for l.bytes+added > l.limits.Bytes {
		var victim *Conn
		for o := range l.conns {
			givesWay := o.large() && !large || now.Sub(o.since) >= minBodyHold && (o.large() || !large)
			if o == c || !o.phase.closable() || !givesWay {
				continue
			}
			if victim == nil || o.before(victim) {
				victim = o
			}
		}
		if victim == nil {
			return out, false
		}
		l.drop(victim)
		out = append(out, victim)
	}
	l.bytes += added
	c.charge += added
	return out, true
}

// setPhase notes what a connection does from now on, and its charge.
func (l *Limiter) setPhase(now time.Time, c *Conn, p phase, charge int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.phase, c.since = p, now
	if _, ok := l.conns[c]; ok {
		l.bytes += charge - c.charge
		c.charge = charge
	}
}

// keepCharge notes what a connection does from now on; its charge stays. It reports whether the connection still counts:
// one that does not has been closed because of a limit.
func (l *Limiter) keepCharge(now time.Time, c *Conn, p phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.phase, c.since = p, now
	_, ok := l.conns[c]
	return ok
}

// forget removes a connection that has ended.
func (l *Limiter) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
	if c.phase == phaseTrusted {
		c.phase = phaseClosing
		l.peers--
	}
}

// trust counts a connection as that of a peer. It reports false if there are too many of these.
func (l *Limiter) trust(now time.Time, c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok || l.peers >= l.limits.Peers {
		return false
	}
	l.drop(c)
	c.phase, c.since = phaseTrusted, now
	l.peers++
	return true
}

// close closes connections for a reason. Nothing that was read from them has been handled.
func (l *Limiter) close(reason string, conns ...*Conn) {
	for _, c := range conns {
		if c != nil {
			l.note(reason, c)
			_ = c.Conn.Close() // it is closed whatever the error
		}
	}
}

// note counts and logs one decision about a connection.
func (l *Limiter) note(reason string, c *Conn) {
	gometrics.GetOrRegisterCounter(reason, l.registry).Inc(1)
	l.mu.Lock()
	charge, bytes, count, held := c.charge, l.bytes, len(l.conns), clock.Steady().Sub(c.since)
	l.mu.Unlock()
	l.log.Info().Str("reason", reason).Str("listener", c.listener.name).Str("client", c.RemoteAddr().String()).Int("charge-bytes", charge).
		Int("all-bytes", bytes).Int("limit-bytes", l.limits.Bytes).Int("connections", count).Dur("held", held).Msg("limited a client")
}

// Listener accepts connections that its limiter bounds.
type Listener struct {
	net.Listener
	name    string
	limiter *Limiter
	// maxConns bounds the connections of this listener; conns is their number, guarded by the limiter's mu.
	maxConns, conns int
	// headLimit returns the largest legal head in bytes; nil if the listener does not serve HTTP.
	headLimit func() int
}

// Listen returns a listener whose connections may be up to share of all connections of the process. headLimit returns the
// largest legal request head, in bytes; it is nil if the listener serves messages.
func (l *Limiter) Listen(ln net.Listener, name string, share float64, headLimit func() int) *Listener {
	return &Listener{Listener: ln, name: name, limiter: l, maxConns: max(minConns, int(share*float64(l.limits.Conns))), headLimit: headLimit}
}

// Accept waits for a connection. It closes another one if there are too many.
func (ln *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t, ok := conn.(*net.TCPConn); ok && ln.headLimit != nil {
			_ = t.SetReadBuffer(socketBytes) // the limits above the socket hold without it
		}
		c := &Conn{Conn: conn, listener: ln, phase: phaseHead}
		victim := ln.limiter.add(clock.Steady(), c)
		ln.limiter.close(reasonConns, victim)
		if victim != c {
			return c, nil
		}
	}
}
