package log

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of datagrams.
const (
	maxDatagramBytes = 2048
	// headerBytes is the size of the IP and UDP headers of a datagram.
	headerBytes = 28
)

// linkFaults are the faults of a simulated link.
type linkFaults struct {
	// delay is the minimum delay of a datagram; a random time of up to jitter is
	// added.
	delay, jitter time.Duration
	// lossRate is the fraction of datagrams that are dropped.
	lossRate float64
}

// udpProxy forwards datagrams between clients and one server, with the faults that
// are set, and counts them and their bytes.
type udpProxy struct {
	// clientSide is the socket to which clients send.
	clientSide *net.UDPConn
	server     atomic.Pointer[net.UDPAddr]
	faults     atomic.Pointer[linkFaults]
	bytes      atomic.Int64
	datagrams  atomic.Int64

	group sync.WaitGroup
	mu    sync.Mutex
	// serverSides holds the socket towards the server of each client address.
	serverSides map[string]*net.UDPConn
	closed      bool
}

// newUDPProxy returns a proxy that drops all datagrams until it has a server.
func newUDPProxy() (*udpProxy, error) {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &udpProxy{clientSide: front, serverSides: make(map[string]*net.UDPConn)}
	r.group.Go(r.forwardRequests)
	return r, nil
}

// setServer sets the address of the server.
func (r *udpProxy) setServer(server string) error {
	to, err := net.ResolveUDPAddr("udp", server)
	r.server.Store(to)
	return err
}

func (r *udpProxy) address() string { return r.clientSide.LocalAddr().String() }

func (r *udpProxy) close() {
	r.mu.Lock()
	r.closed = true
	for _, b := range r.serverSides {
		_ = b.Close()
	}
	r.mu.Unlock()
	_ = r.clientSide.Close()
	r.group.Wait()
}

// forwardRequests forwards datagrams from clients to the server.
func (r *udpProxy) forwardRequests() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.clientSide.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.server.Load() == nil {
			continue
		}
		back, err := r.serverSide(from)
		if err != nil {
			return
		}
		r.forward(buffer[:n], func(data []byte) { _, _ = back.Write(data) })
	}
}

// serverSide returns the socket from which a client's datagrams go to the server.
func (r *udpProxy) serverSide(from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := from.String()
	if b, ok := r.serverSides[key]; ok {
		return b, nil
	}
	if r.closed {
		return nil, context.Canceled
	}
	b, err := net.DialUDP("udp", nil, r.server.Load())
	if err != nil {
		return nil, err
	}
	r.serverSides[key] = b
	r.group.Go(func() { r.forwardReplies(b, from) })
	return b, nil
}

// forwardReplies forwards datagrams from the server to a client.
func (r *udpProxy) forwardReplies(back *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			return
		}
		r.forward(buffer[:n], func(data []byte) { _, _ = r.clientSide.WriteToUDP(data, to) })
	}
}

func (r *udpProxy) forward(data []byte, send func([]byte)) {
	r.datagrams.Add(1)
	r.bytes.Add(int64(len(data) + headerBytes))
	f := r.faults.Load()
	if f == nil {
		send(data)
		return
	}
	if rand.Float64() < f.lossRate {
		return
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(f.delay+rand.N(f.jitter+1), func() { send(copied) })
}
