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
	// delay is the minimum delay of a datagram, to which a random time of up to jitter is
	// added.
	delay, jitter time.Duration
	// lossRate is the fraction of datagrams that are dropped.
	lossRate float64
}

// udpProxy forwards datagrams between clients and one server, with the faults that are
// set, and counts the datagrams and their bytes, with IP and UDP headers.
type udpProxy struct {
	// clientSide is the socket to which clients send.
	clientSide *net.UDPConn
	server     atomic.Pointer[net.UDPAddr]
	faults     atomic.Pointer[linkFaults]
	bytes      atomic.Int64
	datagrams  atomic.Int64

	group sync.WaitGroup
	mu    sync.Mutex
	// serverSides holds, by client address, the socket through which the client's datagrams
	// go to the server.
	serverSides map[string]*net.UDPConn
	closed      bool
}

// newUDPProxy returns a proxy that drops all datagrams until it has a server.
func newUDPProxy() (*udpProxy, error) {
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &udpProxy{clientSide: clientSide, serverSides: make(map[string]*net.UDPConn)}
	r.group.Go(r.forwardRequests)
	return r, nil
}

// setServer sets the address of the server.
func (r *udpProxy) setServer(server string) error {
	address, err := net.ResolveUDPAddr("udp", server)
	r.server.Store(address)
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
		n, client, err := r.clientSide.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.server.Load() == nil {
			continue
		}
		serverSide, err := r.serverSide(client)
		if err != nil {
			return
		}
		r.forward(buffer[:n], func(data []byte) { _, _ = serverSide.Write(data) })
	}
}

// serverSide returns the socket from which a client's datagrams go to the server.
func (r *udpProxy) serverSide(client *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := client.String()
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
	r.group.Go(func() { r.forwardReplies(b, client) })
	return b, nil
}

// forwardReplies forwards datagrams from the server to a client.
func (r *udpProxy) forwardReplies(serverSide *net.UDPConn, client *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := serverSide.Read(buffer)
		if err != nil {
			return
		}
		r.forward(buffer[:n], func(data []byte) { _, _ = r.clientSide.WriteToUDP(data, client) })
	}
}

// forward counts a datagram and passes it to send, with the faults that are set.
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
