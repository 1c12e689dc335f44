package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode says what a proxy does with connections.
type proxyMode int

const (
	passing proxyMode = iota
	// cutOff resets connections and takes no new ones.
	cutOff
	// silent keeps connections open and passes nothing on.
	silent
)

// proxy stands between one process and the store.
type proxy struct {
	address string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	woken chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: ln.Addr().String(), conns: make(map[net.Conn]bool), woken: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() { p.carry(&group, c, target) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		p.set(cutOff)
		group.Wait()
	})
	return p
}

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.woken)
	p.woken = make(chan struct{})
	if mode == cutOff {
		for c := range p.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// pass waits while the proxy is silent and reports whether bytes may pass.
func (p *proxy) pass() bool {
	for {
		p.mu.Lock()
		mode, woken := p.mode, p.woken
		p.mu.Unlock()
		if mode != silent {
			return mode == passing
		}
		<-woken
	}
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) carry(group *sync.WaitGroup, c net.Conn, target string) {
	p.track(c, true)
	defer p.track(c, false)
	defer func() { _ = c.Close() }()
	if !p.pass() {
		return
	}
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	p.track(to, true)
	defer p.track(to, false)
	defer func() { _ = to.Close() }()
	group.Go(func() { p.copy(to, c) })
	p.copy(c, to)
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
