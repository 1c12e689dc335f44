package peer

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SetTCPUserTimeout sets the TCP user timeout: the connection ends if sent data is not
// acknowledged for ReceiveTimeout, 1500 ms, which also limits the wait for received data.
// It does nothing if c is not a TCP connection, nor wraps one.
func SetTCPUserTimeout(c net.Conn) {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return // ReceiveTimeout still ends a connection that receives nothing
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ReceiveTimeout/time.Millisecond))
	})
}
