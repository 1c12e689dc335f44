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
	// lossRate is the fraction of packets that a lossy link drops.
	lossRate = 0.01
	// linkDelay is the one-way delay of a link between data centres.
	linkDelay = 4 * time.Millisecond
	// tcpLossDelay is the delay that a lost TCP segment causes in a short
	// exchange: the sender's minimum retransmission timeout. A proxy in this
	// process can't drop segments of the kernel's TCP, so it delays the data.
	tcpLossDelay = 200 * time.Millisecond
	// maxLinkCalls limits the requests sent over one link, one after the other.
	maxLinkCalls = 400
	// linkShutdownTimeout limits the graceful shutdown of the server.
	linkShutdownTimeout = time.Second
	// maxDatagramBytes is the size of the largest datagram that is forwarded.
	maxDatagramBytes = 2048
)

// measureLinks measures the latency of requests over the two transports of package link,
// TCP and QUIC, without and with packet loss. It sends the given number of requests over
// each, but at most maxLinkCalls, and prints the results to w.
func (sum *Summary) measureLinks(ctx context.Context, w io.Writer, calls int) error {
	now := time.Now()
	authority, err := link.NewAuthority(now, certificateLifetime)
	if err != nil {
		return err
	}
	server, err := issueIdentity(authority, link.RoleAgent, "worker-1")
	if err != nil {
		return err
	}
	client, err := issueIdentity(authority, link.RoleEntry, "entry-1")
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
		shutdownCtx, stop := context.WithTimeout(ctx, linkShutdownTimeout)
		defer stop()
		_ = s.Shutdown(shutdownCtx)
	}()
	group.Go(func() { _ = s.ServeTCP() })
	group.Go(func() { _ = s.ServeQUIC() })
	for _, loss := range []float64{0, lossRate} {
		for _, transport := range []string{"tcp", "quic"} {
			proxy, err := newLinkProxy(transport, s.Address(), loss)
			if err != nil {
				return err
			}
			group.Go(proxy.run)
			name := fmt.Sprintf("%s-loss-%g", transport, loss)
			latencies, err := measureLink(ctx, client, transport, proxy.address(), min(calls, maxLinkCalls))
			proxy.close()
			if err != nil {
				return errors.Wrap(err, name)
			}
			sum.LinkP50US[name], sum.LinkP99US[name] = toMicroseconds(quantile(latencies, 0.5)), toMicroseconds(quantile(latencies, 0.99))
			_, _ = fmt.Fprintf(w, "link %-14s p50 %.0f us, p99 %.0f us\n", name, sum.LinkP50US[name], sum.LinkP99US[name])
		}
	}
	return nil
}

// measureLink returns the latencies of requests that are sent one after the other over
// one transport. The first one, which establishes the connection, is left out.
func measureLink(ctx context.Context, id *link.Identity, transport, address string, calls int) ([]time.Duration, error) {
	client := link.NewClient(id, link.RoleAgent)
	defer func() { _ = client.Close() }()
	roundTripper := client.RequestTransport()
	if transport == "quic" {
		roundTripper = client.ControlTransport()
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var latencies []time.Duration
	for i := range calls {
		began := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+"/", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		resp, err := roundTripper.RoundTrip(req)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if i > 0 {
			latencies = append(latencies, time.Since(began))
		}
	}
	return latencies, nil
}

// linkProxy forwards traffic to a server with linkDelay and simulates packet
// loss: it drops datagrams and delays TCP data by tcpLossDelay.
type linkProxy struct {
	target   string
	lossRate float64
	listener net.Listener
	udp      *net.UDPConn
	mu       sync.Mutex
	random   *rand.Rand
	conns    []io.Closer
	group    sync.WaitGroup
}

// newLinkProxy returns a proxy for one transport, "tcp" or "quic", to a target address.
func newLinkProxy(transport, target string, lossRate float64) (*linkProxy, error) {
	s := &linkProxy{target: target, lossRate: lossRate, random: rand.New(rand.NewPCG(1, 1))} //nolint:gosec // fixed seed for repeatable results
	var err error
	if transport == "quic" {
		s.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		return s, err
	}
	s.listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", loopback)
	return s, err
}

func (s *linkProxy) address() string {
	if s.udp != nil {
		return s.udp.LocalAddr().String()
	}
	return s.listener.Addr().String()
}

func (s *linkProxy) run() {
	if s.udp != nil {
		s.runUDP()
	} else {
		s.runTCP()
	}
	s.group.Wait()
}

func (s *linkProxy) close() {
	if s.udp != nil {
		_ = s.udp.Close()
	} else {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// lost decides at random whether a packet is lost.
func (s *linkProxy) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.lossRate
}

// track adds a connection to those that the method close closes.
func (s *linkProxy) track(c io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// runUDP forwards datagrams between one client and the server.
func (s *linkProxy) runUDP() {
	conn, err := new(net.Dialer).DialContext(context.Background(), "udp", s.target)
	if err != nil {
		return
	}
	s.track(conn)
	var client *net.UDPAddr
	var mu sync.Mutex
	s.group.Go(func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			data := bytes.Clone(buffer[:n])
			mu.Lock()
			destination := client
			mu.Unlock()
			if !s.lost() {
				time.AfterFunc(linkDelay, func() { _, _ = s.udp.WriteToUDP(data, destination) })
			}
		}
	})
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := s.udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		data := bytes.Clone(buffer[:n])
		mu.Lock()
		client = source
		mu.Unlock()
		if !s.lost() {
			time.AfterFunc(linkDelay, func() { _, _ = conn.Write(data) })
		}
	}
}

// runTCP forwards TCP connections to the server.
func (s *linkProxy) runTCP() {
	for {
		in, err := s.listener.Accept()
		if err != nil {
			return
		}
		out, err := new(net.Dialer).DialContext(context.Background(), "tcp", s.target)
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

// pipe forwards data from source to destination, and closes destination at the end.
func (s *linkProxy) pipe(source, destination net.Conn) {
	defer func() { _ = destination.Close() }()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(linkDelay)
		if s.lost() {
			time.Sleep(tcpLossDelay)
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			return
		}
	}
}
