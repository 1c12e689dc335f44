package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
)

// phase is what a connection does.
type phase int

const (
	// phaseHead: a request head, or the first message, is awaited or on its way.
	phaseHead phase = iota
	// phaseIdle: a request was answered; the next one is awaited.
	phaseIdle
	// phaseBody: a body is on its way.
	phaseBody
	// phaseCall: a request is being handled. Its connection is never closed because of a limit, since what became of
	// the request could not be told.
	phaseCall
	// phaseClosing: a request was answered and the connection ends.
	phaseClosing
	// phaseTrusted: a peer that has said Hello.
	phaseTrusted
)

// closable reports whether a connection may be closed because of a limit.
func (p phase) closable() bool { return p != phaseCall && p != phaseTrusted }

// refusal is the answer to a request whose head is too large.
const refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds writing a refusal, which fits into the socket's buffer unless the client does not read.
const refusalTimeout = 10 * time.Millisecond

// writeTimeout bounds one write of an answer. Without it, a client that does not read would hold its connection for ever,
// and a connection with a request is never closed to make room.
const writeTimeout = 10 * time.Second

// Conn is a connection that is charged for what it holds. One goroutine at a time reads from it.
type Conn struct {
	net.Conn
	listener *Listener
	closed   sync.Once

	// phase, since and charge are guarded by the limiter's mu. since is when the phase began.
	phase  phase
	since  time.Time
	charge int

	// head is what was read of the present head, used by the reader only.
	head headCount
	// headDone is set once the head has been read, also by the handler: of requests that are sent without waiting for
	// answers, the server may have read the head together with the request before.
	headDone atomic.Bool
	// message is the number of bytes of an unfinished message, maxMessage its bound; a connection without messages has
	// the bound 0.
	message, maxMessage int
}

// headCount counts what has been read of a head.
type headCount struct {
	bytes, lines int
	// line is the number of bytes of the present line without its end.
	line int
	// begun is set once a line that is not empty has ended, done once the head has.
	begun, done bool
}

// add counts the bytes that belong to the head.
func (h *headCount) add(data []byte) {
	for _, b := range data {
		if h.done {
			return
		}
		h.bytes++
		switch b {
		case '\r':
		case '\n':
			h.lines++
			h.done = h.begun && h.line == 0
			h.begun = h.begun || h.line > 0
			h.line = 0
		default:
			h.line++
		}
	}
}

// charge returns the charge of a connection that holds the head.
func (h *headCount) charge() int { return connCharge + textFactor*h.bytes + lineCharge*h.lines }

// large reports whether a connection holds more than an ordinary one. The caller holds the limiter's mu.
func (c *Conn) large() bool { return c.charge > ordinaryCharge }

// before reports whether c is closed before o: a large connection before an ordinary one, of large ones the largest, and
// else one without an answered request before an idle one, then the one that waits longest. The caller holds the limiter's mu.
func (c *Conn) before(o *Conn) bool {
	switch {
	case c.phase == phaseClosing || o.phase == phaseClosing:
		return c.phase == phaseClosing && o.phase != phaseClosing
	case c.large() != o.large():
		return c.large()
	case c.large() && c.charge != o.charge:
		return c.charge > o.charge
	case (c.phase == phaseIdle) != (o.phase == phaseIdle):
		return c.phase != phaseIdle
	}
	return c.since.Before(o.since)
}

// Read reads and charges the connection for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.listener.headLimit == nil {
		if !c.readMessage(n) {
			return 0, ErrLimit
		}
		return n, err
	}
	if !c.headDone.Load() && !c.readHead(p[:n]) {
		return 0, ErrLimit
	}
	return n, err
}

// Write writes; to a client of HTTP within writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.headLimit != nil {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// readHead counts data of a head and reports whether the connection may go on.
func (c *Conn) readHead(data []byte) bool {
	l := c.listener.limiter
	c.head.add(data)
	if c.head.done {
		c.headDone.Store(true)
	}
	if c.head.bytes > min(HardHeadBytes, c.listener.headLimit()) {
		l.note(reasonHeadSize, c)
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write([]byte(refusal)) // the connection ends whether the client reads it or not
		l.forget(c)
		_ = c.Conn.Close()
		return false
	}
	return c.grow(c.head.charge())
}

// grow sets the charge of the connection and reports whether the connection may go on.
func (c *Conn) grow(charge int) bool {
	victims := c.listener.limiter.setCharge(c, charge)
	c.listener.limiter.close(reasonMemory, victims...)
	for _, v := range victims {
		if v == c {
			return false
		}
	}
	return true
}

// readMessage counts n bytes of an unfinished message and reports whether the connection may go on.
func (c *Conn) readMessage(n int) bool {
	if c.message += n; c.message > c.maxMessage && c.maxMessage > 0 {
		c.listener.limiter.close(reasonMessage, c)
		return false
	}
	return c.grow(connCharge + bodyFactor*c.message)
}

// BeginMessage notes that what was read before has been handled, and bounds the next message to a number of bytes. It is
// called by the reader of the connection.
func (c *Conn) BeginMessage(maxBytes int) { c.message, c.maxMessage = 0, maxBytes }

// Trust notes that the client has said Hello as a peer: its connection is no longer closed to make room for others. It
// reports false, and closes the connection, if there are too many peers.
func (c *Conn) Trust() bool {
	l := c.listener.limiter
	if l.trust(clock.Steady(), c) {
		return true
	}
	l.close(reasonPeers, c)
	return false
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed.Do(func() { c.listener.limiter.forget(c) })
	return c.Conn.Close()
}
