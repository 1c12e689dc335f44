package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrClosed means that a connection has ended.
var ErrClosed = errors.New("connection closed")

// Timeouts and buffer sizes of a connection.
const (
	// dialTimeout bounds opening a connection; data centres are about 10 ms apart.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds one write, since a peer that does not read blocks it.
	writeTimeout = 2 * time.Second
	// ReceiveTimeout is how long a connection may go without received data before it is
	// closed. Every ping is answered, and this is more than three times the longest ping interval
	// of entries and agents, 400 ms.
	ReceiveTimeout = 1500 * time.Millisecond
	// queueLength bounds the number of messages that wait to be written to one peer.
	queueLength = 4096
	// writeBufferBytes is the size of the write buffer of a connection.
	writeBufferBytes = 8 << 10
	// firstMessageBytes bounds the first message on an accepted connection, a Hello or a departure, which have some 200 bytes.
	firstMessageBytes = 4 << 10
	// maxMessageBytes bounds one message. The largest ones are the report of a worker with its runs (50 KB with 300 runs), a
	// relayed record of up to 262,144 bytes and the configuration.
	maxMessageBytes = 4 << 20
)

// Conn is a connection to a peer that carries messages in both directions.
type Conn struct {
	conn      net.Conn
	sendQueue chan *Message
	done      chan struct{}
	closed    sync.Once
	// trusted is set once the peer has said Hello; used by Run only.
	trusted bool
}

// Dial opens a TCP connection to a peer.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	SetTCPUserTimeout(c)
	return NewConn(c), nil
}

// NewConn returns a connection over c. It sends and receives only while Run runs.
func NewConn(c net.Conn) *Conn {
	return &Conn{conn: c, sendQueue: make(chan *Message, queueLength), done: make(chan struct{})}
}

// RemoteAddress returns the IP address and port of the peer.
func (c *Conn) RemoteAddress() string { return c.conn.RemoteAddr().String() }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Conn) Close() {
	c.closed.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}

// Send queues a message and reports whether it was queued. It never blocks: if the send
// queue is full because the peer reads too slowly, Send closes the connection.
func (c *Conn) Send(m *Message) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.sendQueue <- m:
		return true
	default:
		c.Close()
		return false
	}
}

// Run writes queued messages and passes each received one to handle, until the
// connection ends, and returns an error marked as ErrClosed. It closes a connection on
// which nothing arrives within ReceiveTimeout. group waits for the goroutine that writes.
func (c *Conn) Run(group *sync.WaitGroup, handle func(*Message)) error {
	group.Go(c.writeLoop)
	defer c.Close()
	decoder := cbor.NewDecoder(&deadlineReader{conn: c.conn})
	for {
		c.beginMessage()
		m := new(Message)
		if err := decoder.Decode(m); err != nil {
			return errors.Mark(err, ErrClosed)
		}
		handle(m)
	}
}

// limitedConn is a connection that bounds what it reads.
type limitedConn interface {
	// BeginMessage notes that the messages before have been handled, and bounds the next one.
	BeginMessage(maxBytes int)
	// Trust notes that the peer has said Hello. It reports false if the connection is closed because of a limit.
	Trust() bool
}

// beginMessage bounds the next message of an accepted connection.
func (c *Conn) beginMessage() {
	if l, ok := c.conn.(limitedConn); ok {
		if c.trusted {
			l.BeginMessage(maxMessageBytes)
			return
		}
		l.BeginMessage(firstMessageBytes)
	}
}

// Trust notes that the peer has said Hello: its connection is no longer closed to make room for others, and its messages
// may be larger. It reports false if there are too many peers; the connection is closed then. Only a handler of Run calls it.
func (c *Conn) Trust() bool {
	l, ok := c.conn.(limitedConn)
	c.trusted = !ok || l.Trust()
	return c.trusted
}

// deadlineReader fails a read if no data arrives within ReceiveTimeout.
type deadlineReader struct{ conn net.Conn }

func (r *deadlineReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(ReceiveTimeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

// writeLoop writes queued messages until the connection ends.
func (c *Conn) writeLoop() {
	defer c.Close()
	buffer := bufio.NewWriterSize(c.conn, writeBufferBytes)
	encoder := cbor.NewEncoder(buffer)
	for {
		select {
		case m := <-c.sendQueue:
			if err := c.writeBatch(encoder, buffer, m); err != nil {
				return // the deferred Close makes Run return
			}
		case <-c.done:
			return
		}
	}
}

// writeBatch writes m and all messages that are queued, and flushes them together.
func (c *Conn) writeBatch(encoder *cbor.Encoder, buffer *bufio.Writer, m *Message) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := encoder.Encode(m); err != nil {
			return err
		}
		select {
		case m = <-c.sendQueue:
		default:
			return buffer.Flush()
		}
	}
}
