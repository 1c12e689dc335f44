package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Names and times of the measured link.
const (
	dataCentre = "dc-1"
	valid      = time.Hour
	drainAfter = time.Millisecond
	loopback   = "127.0.0.1:0"
	readLimit  = 5 * time.Second
)

// wire is one entry and one worker's client, with a counter of bytes between them.
type wire struct {
	group   sync.WaitGroup
	stop    context.CancelFunc
	log     *http.Server
	counter *counter
	client  *link.Client
}

// newWire starts an entry over a stand-in log.
func newWire(now time.Time) (*wire, error) {
	authority, err := link.NewAuthority(now, valid)
	if err != nil {
		return nil, err
	}
	_, public, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	logLn, err := net.Listen("tcp", loopback) //nolint:noctx // a listener on loopback that lives as long as the bench
	if err != nil {
		return nil, err
	}
	w := &wire{log: &http.Server{Handler: new(standin.Log).Handler(), ReadHeaderTimeout: readLimit}}
	w.group.Go(func() { _ = w.log.Serve(logLn) })
	entryID, err := identity(now, authority, link.RoleEntry, "entry-1")
	if err != nil {
		return nil, err
	}
	e, err := entry.New(now, entry.Settings{
		Name: "entry-1", DataCentre: dataCentre, Listen: loopback, PeerListen: loopback, LogURL: "http://" + logLn.Addr().String(),
		Roots:      bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "alice", PublicKey: public}}},
		DrainDelay: drainAfter, AllowUnauthenticated: true,
	}, entryID, &log.Logger{Level: log.ErrorLevel})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.group.Go(func() { _ = e.Run(ctx) })
	agentID, err := identity(now, authority, link.RoleAgent, workerName(0))
	if err != nil {
		return nil, err
	}
	w.client = link.NewClient(agentID, link.RoleEntry)
	w.counter, err = newCounter(e.PeerAddress())
	if err != nil {
		return nil, err
	}
	w.group.Go(w.counter.run)
	return w, nil
}

func identity(now time.Time, a *link.Authority, role link.Role, name string) (*link.Identity, error) {
	certificate, key, err := a.Issue(now, valid, link.NewPeer(role, dataCentre, name))
	if err != nil {
		return nil, err
	}
	id := new(link.Identity)
	return id, id.Load(certificate, key, a.PEM())
}

func (w *wire) close() {
	_ = w.client.Close()
	w.stop()
	w.counter.close()
	_ = w.log.Close()
	w.group.Wait()
}

// heartbeat sends one heartbeat that reports tasks.
func (w *wire) heartbeat(ctx context.Context, round uint64, tasks int) error {
	h := &link.Heartbeat{
		Worker: workerName(0), Rack: "rack-1", Service: "lastbench", Address: "127.0.0.1:8444", Incarnation: 1, Slots: 8,
		Ready: true, Total: workerSize, Free: workerSize, Round: round, BundleDigest: fmt.Sprintf("%064x", 1), BundleVersion: 1,
	}
	for i := range tasks {
		task := record.TaskID{Job: fmt.Sprintf("%020x", i), Index: 0}
		h.Tasks = append(h.Tasks, lease.Report{Hold: record.AssignmentID{Task: task, Epoch: record.NewPosition(uint64(1000+i), 1)}, State: lease.Running})
	}
	return w.client.Call(ctx, w.counter.address(), link.PathHeartbeat, h, new(link.HeartbeatReply))
}

// measureHeartbeats returns the bytes of a heartbeat and its answer, in both
// directions, and the processor time of both sides, by tasks reported.
func measureHeartbeats(ctx context.Context, now time.Time, count int) (sent, received, processor Slope, err error) {
	w, err := newWire(now)
	if err != nil {
		return sent, received, processor, err
	}
	defer w.close()
	sent = Slope{Name: "bytes-sent-per-heartbeat", Unit: "bytes"}
	received = Slope{Name: "bytes-received-per-heartbeat", Unit: "bytes"}
	processor = Slope{Name: "processor-per-heartbeat-both-sides", Unit: "microseconds"}
	round := uint64(0)
	for _, tasks := range []int{0, 6, 12, 24} {
		if err := w.heartbeat(ctx, round, tasks); err != nil { // the first pays for the connection
			return sent, received, processor, errors.Wrap(err, "heartbeat")
		}
		up, down, began := w.counter.up.Load(), w.counter.down.Load(), processorTime()
		for range count {
			round++
			if err := w.heartbeat(ctx, round, tasks); err != nil {
				return sent, received, processor, errors.Wrap(err, "heartbeat")
			}
		}
		sent.add(float64(tasks), float64(w.counter.up.Load()-up)/float64(count))
		received.add(float64(tasks), float64(w.counter.down.Load()-down)/float64(count))
		processor.add(float64(tasks), microseconds(processorTime()-began)/float64(count))
	}
	sent.fit()
	received.fit()
	processor.fit()
	return sent, received, processor, nil
}

// ipHeader is the size of the IP and UDP headers of a datagram, in bytes.
const ipHeader = 28

// maxDatagram is the largest datagram that is passed on.
const maxDatagram = 64 << 10

// counter passes datagrams between one client and one server and counts them.
type counter struct {
	front, back net.PacketConn
	server      net.Addr
	client      atomic.Pointer[net.Addr]
	up, down    atomic.Int64
	group       sync.WaitGroup
}

func newCounter(server string) (*counter, error) {
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	c := &counter{server: address}
	if c.front, err = net.ListenPacket("udp", loopback); err != nil { //nolint:noctx // as above
		return nil, err
	}
	c.back, err = net.ListenPacket("udp", loopback) //nolint:noctx // as above
	return c, err
}

func (c *counter) address() string { return c.front.LocalAddr().String() }

func (c *counter) run() {
	c.group.Go(func() {
		pass(c.front, c.back, &c.up, func(from net.Addr) net.Addr {
			c.client.Store(&from)
			return c.server
		})
	})
	c.group.Go(func() {
		pass(c.back, c.front, &c.down, func(net.Addr) net.Addr { return *c.client.Load() })
	})
	c.group.Wait()
}

func (c *counter) close() {
	_ = c.front.Close()
	_ = c.back.Close()
}

// pass sends what arrives at from on through to, until from is closed.
func pass(from, to net.PacketConn, bytes *atomic.Int64, target func(net.Addr) net.Addr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, address, err := from.ReadFrom(buffer)
		if err != nil {
			return
		}
		bytes.Add(int64(n + ipHeader))
		if _, err := to.WriteTo(buffer[:n], target(address)); err != nil {
			return
		}
	}
}
