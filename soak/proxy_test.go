package soak

import (
	"bytes"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/peer"
)

// linkMode is what a proxy does with the connections of one client.
type linkMode string

const (
	// linkForwarding forwards all bytes.
	linkForwarding linkMode = ""
	// linkReset resets connections, and new ones at once.
	linkReset linkMode = "reset"
	// linkRefused resets new connections only.
	linkRefused linkMode = "refused"
	// linkSilent loses all bytes. The connections stay silent when the mode ends.
	linkSilent linkMode = "silent"
	// linkSilentToServer and linkSilentToClient do so in one direction.
	linkSilentToServer linkMode = "silent to the server"
	linkSilentToClient linkMode = "silent to the client"
	// linkHeld delays all bytes until the mode ends.
	linkHeld linkMode = "held"
)

// reverse returns the mode of connections that are opened from the other side.
func (m linkMode) reverse() linkMode {
	switch m {
	case linkSilentToServer:
		return linkSilentToClient
	case linkSilentToClient:
		return linkSilentToServer
	default:
		return m
	}
}

// loses reports whether bytes to the server, or else to the client, are lost.
func (m linkMode) loses(toServer bool) bool {
	return m == linkSilent || toServer && m == linkSilentToServer || !toServer && m == linkSilentToClient
}

// proxy forwards the connections of one or more clients to a server. One in front of an entry tells the clients apart by
// the Hello with which a connection begins; to others all clients have the name "". Nothing listens at its address while
// closed is above 0.
type proxy struct {
	address, target string
	readsHello      bool
	group           sync.WaitGroup

	mu       sync.Mutex
	closed   int
	listener net.Listener
	// modes holds the modes that are in force, by client; the last one counts.
	modes map[string][]*linkMode
	conns map[*proxyConn]bool
	// changed is closed when a mode begins or ends.
	changed chan struct{}
}

// proxyConn is a connection through a proxy; server is nil until it is open. lostToServer and lostToClient are set once
// no byte in that direction arrives any more.
type proxyConn struct {
	name                       string
	client, server             net.Conn
	lostToServer, lostToClient bool
}

// newProxy returns a proxy at which nothing listens yet.
func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	p := &proxy{address: address, target: target, closed: 1, modes: make(map[string][]*linkMode), conns: make(map[*proxyConn]bool), changed: make(chan struct{})}
	t.Cleanup(func() {
		p.unlisten()
		p.impose("", linkReset)
		p.group.Wait()
	})
	return p
}

// listen ends an unlisten. It reports whether something listens at the address, or should not yet.
func (p *proxy) listen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed--; p.closed > 0 {
		return true
	}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		p.closed++
		return false
	}
	p.listener = ln
	p.group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.group.Go(func() { p.serve(&proxyConn{client: c}) })
		}
	})
	return true
}

// unlisten closes the listener, so that new connections are refused until listen is called as often.
func (p *proxy) unlisten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed++; p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// resetAll resets all connections.
func (p *proxy) resetAll() { p.impose("", linkReset)() }

// impose begins a mode for a client, or for all clients if the name is empty, and returns a function that ends it.
func (p *proxy) impose(name string, mode linkMode) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes[name] = append(p.modes[name], &mode)
	p.signalChange()
	for c := range p.conns {
		if name == "" || c.name == name {
			c.apply(mode)
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.modes[name] = slices.DeleteFunc(p.modes[name], func(m *linkMode) bool { return m == &mode })
		p.signalChange()
	}
}

// liftAll ends all modes.
func (p *proxy) liftAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.modes)
	p.signalChange()
}

func (p *proxy) signalChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// apply has a mode take effect on an open connection.
func (c *proxyConn) apply(mode linkMode) {
	c.lostToServer, c.lostToClient = c.lostToServer || mode.loses(true), c.lostToClient || mode.loses(false)
	if mode == linkReset {
		c.reset()
	}
}

// reset resets both ends of the connection.
func (c *proxyConn) reset() {
	for _, end := range []net.Conn{c.client, c.server} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// mode returns the mode for a client. The caller holds mu.
func (p *proxy) mode(name string) linkMode {
	for _, n := range []string{name, ""} {
		if m := p.modes[n]; len(m) > 0 {
			return *m[len(m)-1]
		}
	}
	return linkForwarding
}

// serve forwards one connection in both directions until it ends.
func (p *proxy) serve(c *proxyConn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	defer func() { _ = c.client.Close() }()
	var begin bytes.Buffer
	name := ""
	if p.readsHello {
		var m peer.Message
		if cbor.NewDecoder(io.TeeReader(c.client, &begin)).Decode(&m) != nil {
			return
		}
		if name = "unknown"; m.Hello != nil {
			name = m.Hello.Name
		} else if m.Departure != nil {
			name = m.Departure.Worker
		}
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	p.mu.Lock()
	c.name = name
	mode := p.mode(name)
	if err == nil {
		c.server = server
	}
	if err != nil || mode == linkRefused {
		c.reset()
	}
	c.apply(mode)
	p.mu.Unlock()
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	p.group.Go(func() {
		defer close(done)
		p.copyBytes(c, server, io.MultiReader(&begin, c.client), true)
	})
	p.copyBytes(c, c.client, server, false)
	<-done
}

// passes waits while bytes of a connection are held, and reports whether they arrive.
func (p *proxy) passes(c *proxyConn, toServer bool) bool {
	for {
		p.mu.Lock()
		mode, changed := p.mode(c.name), p.changed
		lost := toServer && c.lostToServer || !toServer && c.lostToClient
		p.mu.Unlock()
		if lost || mode != linkHeld {
			return !lost
		}
		<-changed
	}
}

// copyBytes copies the bytes that pass from source to destination. Where none pass, the end of the connection does
// not, either.
func (p *proxy) copyBytes(c *proxyConn, destination net.Conn, source io.Reader, toServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		passes := p.passes(c, toServer)
		if n > 0 && passes {
			if _, failed := destination.Write(buffer[:n]); failed != nil {
				err = failed
				_ = c.client.Close()
				_ = c.server.Close()
			}
		}
		if err != nil {
			if passes {
				_ = destination.Close()
			}
			return
		}
	}
}
