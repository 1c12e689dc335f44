package standin

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports that tests listen at. They are below the range from which the system
// takes ports for outgoing connections, so that none is lost between the check
// and its use. Each test process begins at a place of its own.
const (
	firstPort = 10000
	lastPort  = 32000
	portStep  = 211
)

var ports struct {
	mu   sync.Mutex
	next int
}

// FreeAddress returns a loopback address whose port is free for TCP and UDP.
// It returns each address once.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * portStep
	}
	for range lastPort - firstPort {
		ports.next++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+ports.next%(lastPort-firstPort)))
		if free(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func free(address string) bool {
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
