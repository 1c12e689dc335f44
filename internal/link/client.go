package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go/http3"
)

// ErrCall means that a call between processes failed.
var ErrCall = errors.New("the call to the peer failed")

// maxMessageBytes is the most bytes of a message between processes.
const maxMessageBytes = 16 << 20

// maxIdlePerPeer is the most idle TCP connections that are kept open to one peer.
const maxIdlePerPeer = 64

// Client calls peers, which are entries or agents.
type Client struct {
	// control is the transport for messages between processes, quic the same one under its
	// own type.
	control  http.RoundTripper
	pooled   *http.Transport
	unpooled *http.Transport
	quic     *http3.Transport
}

// NewClient returns a client that accepts peers whose certificate names one of roles.
func NewClient(id *Identity, roles ...Role) *Client {
	q := &http3.Transport{TLSClientConfig: id.clientTLS(nil, roles), QUICConfig: quicConfig(), DisableCompression: true}
	t := &http.Transport{
		TLSClientConfig:     id.clientTLS([]string{"http/1.1"}, roles),
		DialContext:         (&net.Dialer{Timeout: handshakeTimeout}).DialContext,
		TLSHandshakeTimeout: handshakeTimeout,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	unpooled := t.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{control: q, pooled: t, unpooled: unpooled, quic: q}
}

// RequestTransport returns the transport for callers' requests, which uses pooled TCP
// connections.
func (c *Client) RequestTransport() http.RoundTripper { return c.pooled }

// UnpooledTransport returns a transport that opens a new TCP connection for each request. It
// is used after a peer has not responded, when its open connections may be dead.
func (c *Client) UnpooledTransport() http.RoundTripper { return c.unpooled }

// CloseIdleConnections closes the idle connections for callers' requests. It is called after
// no response arrived on such a connection, because the idle ones may be dead too.
func (c *Client) CloseIdleConnections() { c.pooled.CloseIdleConnections() }

// ControlTransport returns the transport for messages between processes, which uses QUIC.
func (c *Client) ControlTransport() http.RoundTripper { return c.control }

// Close closes all connections.
func (c *Client) Close() error {
	c.pooled.CloseIdleConnections()
	return c.quic.Close()
}

// Call sends a message over QUIC to path at the peer's address and decodes the
// reply into out.
func (c *Client) Call(ctx context.Context, address, path string, in, out any) error {
	return call(ctx, c.control, address, path, in, out)
}

// CallUnpooled is like Call but opens a new TCP connection for the message.
func (c *Client) CallUnpooled(ctx context.Context, address, path string, in, out any) error {
	return call(ctx, c.unpooled, address, path, in, out)
}

// call is Call over the given transport.
func call(ctx context.Context, transport http.RoundTripper, address, path string, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "call %s%s", address, path), ErrCall)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return errors.Mark(err, ErrCall)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrCall, "%s%s: status %d: %s", address, path, resp.StatusCode, data)
	}
	return errors.Mark(cbor.Unmarshal(data, out), ErrCall)
}

// Handle returns a handler that decodes messages of type In, passes them to fn and
// sends the reply that fn returns.
func Handle[In, Out any](fn func(ctx context.Context, peer Peer, in *In) (*Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, err := PeerOfRequest(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		in := new(In)
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err == nil {
			err = cbor.Unmarshal(data, in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := fn(r.Context(), peer, in)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		reply, err := cbor.Marshal(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// Date and Content-Type are left out: they would make up a third of a short reply.
		w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
		_, _ = w.Write(reply)
	})
}

// statusOf returns the HTTP status for an error of a handler function.
func statusOf(err error) int {
	if errors.Is(err, ErrPeerRejected) {
		return http.StatusForbidden
	}
	return http.StatusServiceUnavailable
}
