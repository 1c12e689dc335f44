package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"savoryhoist.example/savoryhoist/internal/connlimit"
)

// Timeouts of connections between processes.
const (
	idleTimeout      = 15 * time.Second
	keepAlivePeriod  = 5 * time.Second
	handshakeTimeout = 2 * time.Second
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		HandshakeIdleTimeout: handshakeTimeout,
		// Control messages fit into the smallest packets, so that MTU probes would
		// cost more than they save.
		DisablePathMTUDiscovery: true,
	}
}

// Server serves one handler over QUIC and over TCP on the same port.
type Server struct {
	tcp  *http.Server
	quic *http3.Server
	// udp is the socket of quic, ln the listener of tcp.
	udp net.PacketConn
	ln  net.Listener
}

// Listen binds address, an IP and port, for both transports. Peers must present a
// certificate that names one of roles.
func Listen(address string, id *Identity, handler http.Handler, roles ...Role) (*Server, error) {
	ln, udp, err := bind(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Server{
		ln: tls.NewListener(ln, id.serverTLS([]string{"http/1.1"}, roles)), udp: udp,
		tcp:  &http.Server{Handler: handler, ReadHeaderTimeout: idleTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: connlimit.HardHeadBytes},
		quic: &http3.Server{Handler: handler, MaxHeaderBytes: connlimit.HardHeadBytes, QUICConfig: quicConfig(), TLSConfig: http3.ConfigureTLSConfig(id.serverTLS(nil, roles))},
	}, nil
}

// maxBindAttempts is how many ports are tried to find one that is free for TCP and for UDP.
const maxBindAttempts = 16

// bind binds the same port for TCP and UDP. If address has port 0 and the port that
// the system chose for TCP is taken for UDP, bind tries another port.
func bind(address string) (net.Listener, net.PacketConn, error) {
	_, port, _ := net.SplitHostPort(address)
	var config net.ListenConfig
	for try := 1; ; try++ {
		ln, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			return nil, nil, err
		}
		udp, err := config.ListenPacket(context.Background(), "udp", ln.Addr().String())
		if err == nil {
			return ln, udp, nil
		}
		_ = ln.Close()
		if port != "0" || try == maxBindAttempts {
			return nil, nil, err
		}
	}
}

// Address returns the IP and port that the server is bound to.
func (s *Server) Address() string { return s.ln.Addr().String() }

// ServeTCP serves requests over TCP until Shutdown.
func (s *Server) ServeTCP() error { return ignoreClosed(s.tcp.Serve(s.ln)) }

// ServeQUIC serves requests over QUIC until Shutdown.
func (s *Server) ServeQUIC() error { return ignoreClosed(s.quic.Serve(s.udp)) }

// ignoreClosed returns err, or nil if err only says that the server was shut down.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

// controlCloseTimeout is how long a server that shuts down waits for peers to
// close their QUIC connections.
const controlCloseTimeout = 2 * time.Second

// Shutdown stops both transports when the requests in flight have ended, or when
// ctx ends.
// QUIC connections that peers do not close within controlCloseTimeout are closed by
// the server, which is harmless: control messages are short and are repeated.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.tcp.Shutdown(ctx)
	control, cancel := context.WithTimeout(ctx, controlCloseTimeout)
	defer cancel()
	if quicErr := s.quic.Shutdown(control); !errors.Is(quicErr, context.DeadlineExceeded) {
		err = errors.CombineErrors(err, quicErr)
	}
	err = errors.CombineErrors(err, s.quic.Close())
	return errors.CombineErrors(err, s.udp.Close())
}

// PeerOfRequest returns the identity of the sender of r.
func PeerOfRequest(r *http.Request) (Peer, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return Peer{}, errors.Wrap(ErrPeerRejected, "no certificate")
	}
	return PeerOf(r.TLS.PeerCertificates[0])
}
