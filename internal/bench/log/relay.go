package log

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of a relay.
const (
	maxDatagram = 2048
	// ipHeader is the bytes of the IP and UDP headers of a datagram.
	ipHeader = 28
)

// linkFaults says how a link misbehaves.
type linkFaults struct {
	// delay is the least and spread the further random delay of a datagram.
	delay, spread time.Duration
	// loss is the part of datagrams that is dropped.
	loss float64
}

// relay passes datagrams between clients and one server, late and with losses,
// and counts their bytes.
type relay struct {
	front     *net.UDPConn
	server    atomic.Pointer[net.UDPAddr]
	faults    atomic.Pointer[linkFaults]
	bytes     atomic.Int64
	datagrams atomic.Int64

	group sync.WaitGroup
	mu    sync.Mutex
	backs map[string]*net.UDPConn
	done  bool
}

// newRelay returns a relay that drops everything until it has a server.
func newRelay() (*relay, error) {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &relay{front: front, backs: make(map[string]*net.UDPConn)}
	r.group.Go(r.serve)
	return r, nil
}

// serveFor sets the address of the server.
func (r *relay) serveFor(server string) error {
	to, err := net.ResolveUDPAddr("udp", server)
	r.server.Store(to)
	return err
}

func (r *relay) address() string { return r.front.LocalAddr().String() }

func (r *relay) close() {
	r.mu.Lock()
	r.done = true
	for _, b := range r.backs {
		_ = b.Close()
	}
	r.mu.Unlock()
	_ = r.front.Close()
	r.group.Wait()
}

// serve passes what clients send to the server.
func (r *relay) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.server.Load() == nil {
			continue
		}
		back, err := r.back(from)
		if err != nil {
			return
		}
		r.pass(buffer[:n], func(data []byte) { _, _ = back.Write(data) })
	}
}

// back returns the socket that stands for a client.
func (r *relay) back(from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := from.String()
	if b, ok := r.backs[key]; ok {
		return b, nil
	}
	if r.done {
		return nil, context.Canceled
	}
	b, err := net.DialUDP("udp", nil, r.server.Load())
	if err != nil {
		return nil, err
	}
	r.backs[key] = b
	r.group.Go(func() { r.answer(b, from) })
	return b, nil
}

// answer passes what the server sends to the client.
func (r *relay) answer(back *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			return
		}
		r.pass(buffer[:n], func(data []byte) { _, _ = r.front.WriteToUDP(data, to) })
	}
}

func (r *relay) pass(data []byte, send func([]byte)) {
	r.datagrams.Add(1)
	r.bytes.Add(int64(len(data) + ipHeader))
	f := r.faults.Load()
	if f == nil {
		send(data)
		return
	}
	if rand.Float64() < f.loss {
		return
	}
	late := append([]byte(nil), data...)
	time.AfterFunc(f.delay+rand.N(f.spread+1), func() { send(late) })
}
