package coordinator

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
)

// agentConn is the newest connection of an agent, which has one at a time. What the agent sent on an earlier one
// may arrive later.
type agentConn struct {
	// conn is nil once the connection has ended.
	conn *peer.Conn
	// incarnation identifies the agent process, number the connection among those that it has opened.
	incarnation, number uint64
	// term is the term of this entry when the connection began; 0 if it was not the dispatcher.
	term uint64
	// newSince is when the agent process first said Hello here if it knew no term then; zero if it knew one.
	newSince time.Time
}

// noteAgentConn records the connection on which an agent said h, and reports whether it is the agent's newest one.
// The caller holds mu.
func (c *Coordinator) noteAgentConn(now time.Time, conn *peer.Conn, h *peer.Hello) bool {
	last, known := c.agentConns[h.Name]
	sameProcess := known && last.incarnation == h.Incarnation
	if sameProcess && h.Connection < last.number {
		return false
	}
	n := agentConn{conn: conn, incarnation: h.Incarnation, number: h.Connection}
	switch {
	case sameProcess:
		n.newSince = last.newSince
	case h.NewestTerm == 0:
		n.newSince = now
	}
	if c.term != nil {
		n.term = c.term.number
	}
	c.agentConns[h.Name] = n
	return true
}

// agentConnEnded records that a connection of an agent has ended. The caller holds mu.
func (c *Coordinator) agentConnEnded(conn *peer.Conn, name string) {
	if n, known := c.agentConns[name]; known && n.conn == conn {
		n.conn = nil
		c.agentConns[name] = n
	}
}

// skipReason returns why a message of an agent must not count in the term t, or "". An agent that was welcomed in
// another term serves that one. The caller holds mu.
func (c *Coordinator) skipReason(t *term, conn *peer.Conn, name string) string {
	n, known := c.agentConns[name]
	switch {
	case !known:
		return ""
	case n.conn != conn:
		return "the agent has opened another connection"
	case n.term != t.number:
		return "the connection began in another term"
	}
	return ""
}
