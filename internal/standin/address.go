package standin

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports that tests listen on. They lie below the range from which the system takes
// ports for outgoing connections, so that no port is taken between the check and
// its use. Each test process starts at a port of its own: firstPort plus its process
// id times portStep, modulo the size of the range.
const (
	firstPort = 10000
	lastPort  = 32000
	portStep  = 211
)

// ports holds, in next, the number of the port that was tried last, before the modulo; it
// is 0 before the first call.
var ports struct {
	mu   sync.Mutex
	next int
}

// FreeAddress returns a loopback address whose port is free for TCP and UDP. It
// tries the ports of the range in turn, so that it does not return an address twice
// until it has tried all of them.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * portStep
	}
	for range lastPort - firstPort {
		ports.next++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+ports.next%(lastPort-firstPort)))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func isFree(address string) bool {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	udp, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
