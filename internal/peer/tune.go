package peer

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Tune makes a connection notice that its peer has gone: data that is not
// acknowledged for as long as SilentAfter ends it.
func Tune(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return // the read deadline ends a silent connection later
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilentAfter/time.Millisecond))
	})
}
