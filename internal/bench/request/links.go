package request

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
)

const (
	// linkLoss is the part of packets lost by a lossy link.
	linkLoss = 0.01
	// linkDelay is the one-way delay of the links between data centres.
	linkDelay = 4 * time.Millisecond
	// tcpLossDelay is what a lost segment of a short exchange costs over TCP:
	// the sender's least retransmission time. A shim in this process cannot
	// lose segments of the kernel's TCP, so it delays them.
	tcpLossDelay = 200 * time.Millisecond
	// linkCalls is the most calls over one link, one after the other.
	linkCalls = 400
	// linkStop bounds the wait for the server's end.
	linkStop = time.Second
	// datagramSize is the largest datagram that is passed on.
	datagramSize = 2048
)

// measureLinks compares the link's two transports, without loss and with it.
func (sum *Summary) measureLinks(ctx context.Context, w io.Writer, calls int) error {
	now := time.Now()
	authority, err := link.NewAuthority(now, siteValid)
	if err != nil {
		return err
	}
	server, err := issue(authority, link.RoleAgent, "worker-1")
	if err != nil {
		return err
	}
	client, err := issue(authority, link.RoleEntry, "entry-1")
	if err != nil {
		return err
	}
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	s, err := link.Listen(loopback, server, echo, link.RoleEntry)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer func() {
		ended, stop := context.WithTimeout(ctx, linkStop)
		defer stop()
		_ = s.Shutdown(ended)
	}()
	group.Go(func() { _ = s.ServeTCP() })
	group.Go(func() { _ = s.ServeQUIC() })
	for _, loss := range []float64{0, linkLoss} {
		for _, transport := range []string{"tcp", "quic"} {
			shim, err := newShim(transport, s.Address(), loss)
			if err != nil {
				return err
			}
			group.Go(shim.run)
			name := fmt.Sprintf("%s-loss-%g", transport, loss)
			times, err := callLink(ctx, client, transport, shim.address(), min(calls, linkCalls))
			shim.close()
			if err != nil {
				return errors.Wrap(err, name)
			}
			sum.LinkP50US[name], sum.LinkP99US[name] = us(quantile(times, 0.5)), us(quantile(times, 0.99))
			_, _ = fmt.Fprintf(w, "link %-14s p50 %.0f us, p99 %.0f us\n", name, sum.LinkP50US[name], sum.LinkP99US[name])
		}
	}
	return nil
}

func callLink(ctx context.Context, id *link.Identity, transport, address string, calls int) ([]time.Duration, error) {
	client := link.NewClient(id, link.RoleAgent)
	defer func() { _ = client.Close() }()
	way := client.RequestTransport()
	if transport == "quic" {
		way = client.ControlTransport()
	}
	body := bytes.Repeat([]byte("x"), hopBody)
	var times []time.Duration
	for i := range calls {
		began := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+"/", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		resp, err := way.RoundTrip(req)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if i > 0 {
			times = append(times, time.Since(began))
		}
	}
	return times, nil
}

// shim passes traffic on with a delay, and loses some of it.
type shim struct {
	to     string
	loss   float64
	ln     net.Listener
	udp    *net.UDPConn
	mu     sync.Mutex
	random *rand.Rand
	open   []io.Closer
	group  sync.WaitGroup
}

func newShim(transport, to string, loss float64) (*shim, error) {
	s := &shim{to: to, loss: loss, random: rand.New(rand.NewPCG(1, 1))} //nolint:gosec // a bench needs fixed seeds
	var err error
	if transport == "quic" {
		s.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		return s, err
	}
	s.ln, err = new(net.ListenConfig).Listen(context.Background(), "tcp", loopback)
	return s, err
}

func (s *shim) address() string {
	if s.udp != nil {
		return s.udp.LocalAddr().String()
	}
	return s.ln.Addr().String()
}

func (s *shim) run() {
	if s.udp != nil {
		s.runUDP()
	} else {
		s.runTCP()
	}
	s.group.Wait()
}

func (s *shim) close() {
	if s.udp != nil {
		_ = s.udp.Close()
	} else {
		_ = s.ln.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

func (s *shim) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.loss
}

func (s *shim) track(c io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, c)
}

// runUDP passes datagrams of one client on and back.
func (s *shim) runUDP() {
	conn, err := new(net.Dialer).DialContext(context.Background(), "udp", s.to)
	if err != nil {
		return
	}
	s.track(conn)
	var back *net.UDPAddr
	var mu sync.Mutex
	s.group.Go(func() {
		buffer := make([]byte, datagramSize)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			data := bytes.Clone(buffer[:n])
			mu.Lock()
			to := back
			mu.Unlock()
			if !s.lost() {
				time.AfterFunc(linkDelay, func() { _, _ = s.udp.WriteToUDP(data, to) })
			}
		}
	})
	buffer := make([]byte, datagramSize)
	for {
		n, from, err := s.udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		data := bytes.Clone(buffer[:n])
		mu.Lock()
		back = from
		mu.Unlock()
		if !s.lost() {
			time.AfterFunc(linkDelay, func() { _, _ = conn.Write(data) })
		}
	}
}

func (s *shim) runTCP() {
	for {
		in, err := s.ln.Accept()
		if err != nil {
			return
		}
		out, err := new(net.Dialer).DialContext(context.Background(), "tcp", s.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		s.track(in)
		s.track(out)
		s.group.Go(func() { s.pipe(in, out) })
		s.group.Go(func() { s.pipe(out, in) })
	}
}

func (s *shim) pipe(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, datagramSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(linkDelay)
		if s.lost() {
			time.Sleep(tcpLossDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
