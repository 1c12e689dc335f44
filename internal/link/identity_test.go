package link

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// echo is the message and the reply of the test's handler.
type echo struct {
	Text string `cbor:"1,keyasint"`
}

func testIdentity(t *testing.T, a *Authority, now time.Time, peer Peer) *Identity {
	t.Helper()
	certificate, key, err := a.Issue(now, time.Hour, peer)
	if err != nil {
		t.Fatal(err)
	}
	id := new(Identity)
	if err := id.Load(certificate, key, a.PEM()); err != nil {
		t.Fatal(err)
	}
	return id
}

func testAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Now().Add(-24*time.Hour), 48*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// serveEcho starts a server that accepts agents only and returns its address.
func serveEcho(t *testing.T, id *Identity) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("POST /echo", Handle(func(_ context.Context, peer Peer, in *echo) (*echo, error) {
		return &echo{Text: peer.Name() + ": " + in.Text}, nil
	}))
	s, err := Listen("127.0.0.1:0", id, mux, RoleAgent)
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() { _ = s.ServeQUIC() })
	group.Go(func() { _ = s.ServeTCP() })
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		group.Wait()
	})
	return s.Address()
}

func callEcho(t *testing.T, id *Identity, address string, roles ...Role) (string, error) {
	t.Helper()
	c := NewClient(id, roles...)
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	out := new(echo)
	err := c.Call(ctx, address, "/echo", &echo{Text: "hello"}, out)
	return out.Text, err
}

// TestPeersRefused checks which certificates the server accepts, and that the
// server calls OnRefused for each connection that it refuses. The client may dial a
// second time when the server closes the first connection before the request was sent.
func TestPeersRefused(t *testing.T) {
	now := time.Now()
	a := testAuthority(t)
	server := testIdentity(t, a, now, NewPeer(RoleEntry, "dc-1", "entry-1"))
	refused := make(chan error, 16)
	server.OnRefused(func(err error) {
		if !errors.Is(err, ErrPeerRejected) {
			t.Errorf("reason of a refusal: got %v, want %v", err, ErrPeerRejected)
		}
		refused <- err
	})
	address := serveEcho(t, server)
	agent := NewPeer(RoleAgent, "dc-1", "worker-1")
	expired := NewPeer(RoleAgent, "dc-1", "worker-2")
	unknown := NewPeer(RoleAgent, "dc-1", "worker-3")
	cases := []struct {
		name     string
		id       *Identity
		want     bool
		reported string
	}{
		{"an agent", testIdentity(t, a, now, agent), true, ""},
		{"another role", testIdentity(t, a, now, NewPeer(RoleEntry, "dc-1", "entry-2")), false, "entry-2"},
		{"an expired certificate", testIdentity(t, a, now.Add(-2*time.Hour), expired), false, "worker-2"},
		// This client refuses the server before the server sees its certificate.
		{"another authority", testIdentity(t, testAuthority(t), now, unknown), false, ""},
	}
	for _, c := range cases {
		got, err := callEcho(t, c.id, address, RoleEntry)
		if ok := err == nil && got == "worker-1: hello"; ok != c.want {
			t.Errorf("%s: got reply %q, error %v, want accepted %t", c.name, got, err, c.want)
		}
		if !c.want && !errors.Is(err, ErrCall) {
			t.Errorf("%s: got %v, want %v", c.name, err, ErrCall)
		}
		reports := len(refused)
		if c.reported == "" && reports != 0 {
			t.Errorf("%s: refusals reported: got %d, want 0", c.name, reports)
		}
		if c.reported != "" && reports != 1 && reports != 2 {
			t.Errorf("%s: refusals reported: got %d, want 1, or 2 after a second dial", c.name, reports)
		}
		for range reports {
			if got := (<-refused).Error(); !strings.Contains(got, c.reported) {
				t.Errorf("%s: got refusal %q, want one that names %q", c.name, got, c.reported)
			}
		}
	}
	if _, err := callEcho(t, testIdentity(t, a, now, agent), address, RoleAgent); err == nil {
		t.Error("a server of another role: got a reply, want a refusal")
	}
}

// TestRotationWhileRunning checks that a server's certificate and authorities can
// be replaced while it runs, and that a refused replacement changes nothing.
func TestRotationWhileRunning(t *testing.T) {
	now := time.Now()
	old, next := testAuthority(t), testAuthority(t)
	entry, agent := NewPeer(RoleEntry, "dc-1", "entry-1"), NewPeer(RoleAgent, "dc-1", "worker-1")
	server := testIdentity(t, old, now, entry)
	address := serveEcho(t, server)
	client := testIdentity(t, next, now, agent)
	if _, err := callEcho(t, client, address, RoleEntry); err == nil {
		t.Fatal("before the rotation: got a reply, want a refusal")
	}
	certificate, key, err := next.Issue(now, time.Hour, entry)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Load(certificate, key, append(old.PEM(), next.PEM()...)); err != nil {
		t.Fatal(err)
	}
	if got, err := callEcho(t, client, address, RoleEntry); err != nil || got != "worker-1: hello" {
		t.Errorf("after the rotation: got %q, error %v, want a reply", got, err)
	}
	if err := server.Load([]byte("not PEM"), key, next.PEM()); !errors.Is(err, ErrCertificate) {
		t.Errorf("a broken certificate: got %v, want %v", err, ErrCertificate)
	}
	other, otherKey, err := next.Issue(now, time.Hour, NewPeer(RoleEntry, "dc-2", "entry-1"))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Load(other, otherKey, next.PEM()); !errors.Is(err, ErrPeerRejected) {
		t.Errorf("a certificate of another data centre: got %v, want %v", err, ErrPeerRejected)
	}
	if got, err := callEcho(t, client, address, RoleEntry); err != nil || got != "worker-1: hello" {
		t.Errorf("after refused rotations: got %q, error %v, want a reply", got, err)
	}
}
