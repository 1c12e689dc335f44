package runneragent

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
)

// fakeEntry is an entry that answers each Hello.
type fakeEntry struct {
	address string
	hellos  chan string
}

// startEntry starts an entry that passes the name of each agent that connects to its channel and answers
// with what welcome returns, and then sends more.
func startEntry(t *testing.T, group *sync.WaitGroup, welcome func() *peer.Welcome, more ...*peer.Message) *fakeEntry {
	t.Helper()
	return startAnsweringEntry(t, group, nil, welcome, more...)
}

// startAnsweringEntry is startEntry for an entry that also answers pings, with what pong says beside their numbers.
func startAnsweringEntry(t *testing.T, group *sync.WaitGroup, pong *peer.Pong, welcome func() *peer.Welcome, more ...*peer.Message) *fakeEntry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	e := &fakeEntry{address: ln.Addr().String(), hellos: make(chan string, 64)}
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conn := peer.NewConn(c)
			group.Go(func() {
				_ = conn.Run(group, func(m *peer.Message) {
					if m.Ping != nil && pong != nil {
						answer := *pong
						answer.Seq = m.Ping.Seq
						conn.Send(&peer.Message{Pong: &answer})
					}
					if m.Hello == nil {
						return
					}
					e.hellos <- m.Hello.Name
					conn.Send(&peer.Message{Welcome: welcome()})
					for _, m := range more {
						conn.Send(m)
					}
				})
			})
		}
	})
	return e
}

// An agent whose dispatcher resigns joins the named successor as soon as that one is the dispatcher, and
// asks no other entry meanwhile.
func TestAgentJoinsNamedSuccessor(t *testing.T) {
	var group sync.WaitGroup
	bystander := startEntry(t, &group, func() *peer.Welcome { return &peer.Welcome{Name: "c"} })
	asked := 0
	successor := startEntry(t, &group, func() *peer.Welcome {
		asked++ // the term begins while the agent asks for the third time
		return &peer.Welcome{Name: "b", NewestTerm: 4, IsDispatcher: asked >= 3}
	})
	first := startEntry(t, &group, func() *peer.Welcome {
		return &peer.Welcome{Name: "a", NewestTerm: 3, IsDispatcher: true, EntryAddresses: []string{bystander.address}}
	}, &peer.Message{Resigned: &peer.Resigned{Term: 3, Successor: "b", SuccessorAddress: successor.address}})

	runner := &fakeRunner{listing: Listing{ClockMS: 1000, StartedAtMS: 7}}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	agent := New(Settings{Name: "w1", Entries: []string{first.address}}, runner.functions(), store.Client{}, logger, gometrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group.Go(func() { agent.connect(ctx) })
	for i := range 3 {
		select {
		case <-successor.hellos:
		case <-time.After(10 * time.Second):
			t.Fatalf("connections to the successor: got %d, want 3", i)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		agent.mu.Lock()
		got := agent.term
		agent.mu.Unlock()
		if got == 4 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("term: got %d, want 4", got)
		}
	}
	if got := len(bystander.hellos); got != 0 {
		t.Errorf("connections to another entry: got %d, want 0", got)
	}
}
