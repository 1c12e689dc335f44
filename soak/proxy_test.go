package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode is what a proxy does with the connections of its process.
type proxyMode int

const (
	// proxyForwarding forwards all bytes.
	proxyForwarding proxyMode = iota
	// proxyResetting resets connections, and closes new ones at once.
	proxyResetting
	// proxySilent keeps connections open and forwards nothing.
	proxySilent
)

// proxy forwards the connections of one process to the store. modeChanged is closed
// when the mode changes.
type proxy struct {
	address string

	mu          sync.Mutex
	mode        proxyMode
	conns       map[net.Conn]bool
	modeChanged chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: ln.Addr().String(), conns: make(map[net.Conn]bool), modeChanged: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() { p.forward(&group, c, target) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		p.setMode(proxyResetting)
		group.Wait()
	})
	return p
}

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if mode == proxyResetting {
		for c := range p.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// waitToForward waits while the proxy is silent and reports whether bytes may be
// forwarded.
func (p *proxy) waitToForward() bool {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		if mode != proxySilent {
			return mode == proxyForwarding
		}
		<-changed
	}
}

// track adds an open connection to those that proxyResetting resets, or removes it.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// forward forwards one connection in both directions until it ends.
func (p *proxy) forward(group *sync.WaitGroup, c net.Conn, target string) {
	p.track(c, true)
	defer p.track(c, false)
	defer func() { _ = c.Close() }()
	if !p.waitToForward() {
		return
	}
	storeConn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	p.track(storeConn, true)
	defer p.track(storeConn, false)
	defer func() { _ = storeConn.Close() }()
	group.Go(func() { p.copyBytes(storeConn, c) })
	p.copyBytes(c, storeConn)
}

// copyBytes copies bytes from source to destination, while the proxy's mode allows it,
// and closes destination at the end.
func (p *proxy) copyBytes(destination, source net.Conn) {
	defer func() { _ = destination.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !p.waitToForward() {
			return
		}
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
