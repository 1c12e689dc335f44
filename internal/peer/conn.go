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
var ErrClosed = errors.New("the connection has ended")

// Limits of a connection.
const (
	// dialTimeout bounds opening a connection; data centres are some 10 ms apart.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// SilentAfter is how long nothing is heard before a connection is given up:
	// three pings, answered, at half a second each.
	SilentAfter = 1500 * time.Millisecond
	// queueLength bounds the messages that wait to be written to one peer.
	queueLength = 4096
	bufferBytes = 8 << 10
)

// Conn is one connection to a peer.
type Conn struct {
	conn   net.Conn
	out    chan *Message
	done   chan struct{}
	closed sync.Once
}

// Dial opens a connection.
func Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "reach %s", address)
	}
	Tune(c)
	return NewConn(c), nil
}

// NewConn returns a connection over c. Run must be called.
func NewConn(c net.Conn) *Conn {
	return &Conn{conn: c, out: make(chan *Message, queueLength), done: make(chan struct{})}
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.conn.RemoteAddr().String() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Conn) Close() {
	c.closed.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}

// Send queues a message. It reports false if the connection has ended or the
// peer is too slow, in which case the connection is closed.
func (c *Conn) Send(m *Message) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.out <- m:
		return true
	default:
		c.Close()
		return false
	}
}

// Run writes queued messages and passes each received one to handle, until the
// connection ends. A peer that is silent for too long ends it.
func (c *Conn) Run(group *sync.WaitGroup, handle func(*Message)) error {
	group.Go(c.write)
	defer c.Close()
	decoder := cbor.NewDecoder(&deadlineReader{conn: c.conn})
	for {
		m := new(Message)
		if err := decoder.Decode(m); err != nil {
			return errors.Mark(err, ErrClosed)
		}
		handle(m)
	}
}

// deadlineReader reads with a limit on the time in which nothing arrives.
type deadlineReader struct{ conn net.Conn }

func (r *deadlineReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(SilentAfter)); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

// write writes queued messages, as many at a time as wait.
func (c *Conn) write() {
	defer c.Close()
	buffer := bufio.NewWriterSize(c.conn, bufferBytes)
	encoder := cbor.NewEncoder(buffer)
	for {
		select {
		case m := <-c.out:
			if err := c.writeAll(encoder, buffer, m); err != nil {
				return // the reader reports the end of the connection
			}
		case <-c.done:
			return
		}
	}
}

func (c *Conn) writeAll(encoder *cbor.Encoder, buffer *bufio.Writer, m *Message) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := encoder.Encode(m); err != nil {
			return err
		}
		select {
		case m = <-c.out:
		default:
			return buffer.Flush()
		}
	}
}
