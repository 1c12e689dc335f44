package entry

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// eventuallyTimeout bounds how long eventually waits for a condition.
const eventuallyTimeout = time.Minute

// entryFixture is a log and the keys and certificates that a new entry needs.
type entryFixture struct {
	t         *testing.T
	log       *standin.Log
	url       string
	authority *link.Authority
	key       ed25519.PrivateKey
	roots     bundle.Operators
}

func newEntryFixture(t *testing.T) *entryFixture {
	t.Helper()
	b := &entryFixture{t: t, log: new(standin.Log)}
	server := httptest.NewServer(b.log.Handler())
	t.Cleanup(server.Close)
	b.url = server.URL
	authority, err := link.NewAuthority(time.Now(), time.Hour)
	b.must(err)
	b.authority = authority
	private, public, err := bundle.GenerateKey(rand.Reader)
	b.must(err)
	b.key = private
	b.roots = bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "alice", PublicKey: public}}}
	return b
}

func (b *entryFixture) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *entryFixture) identity(role link.Role, name string) *link.Identity {
	b.t.Helper()
	certificate, key, err := b.authority.Issue(time.Now(), time.Hour, link.NewPeer(role, "dc-1", name))
	b.must(err)
	id := new(link.Identity)
	b.must(id.Load(certificate, key, b.authority.PEM()))
	return id
}

// start runs an entry until the test ends.
func (b *entryFixture) start() *Entry {
	b.t.Helper()
	e, err := New(time.Now(), Settings{
		Name: "entry-1", DataCentre: "dc-1", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		LogURL: b.url, Roots: b.roots, DrainDelay: time.Millisecond, AllowUnauthenticated: true,
	}, b.identity(link.RoleEntry, "entry-1"), &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	b.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = e.Run(ctx) })
	b.t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return e
}

func (b *entryFixture) eventually(what string, fn func() bool) {
	b.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if fn() {
			return
		}
	}
	b.t.Fatalf("%s: not reached within %s", what, eventuallyTimeout)
}

// signed returns a bundle that follows the one with digest parent.
func (b *entryFixture) signed(version uint64, parent string) *bundle.Signed {
	b.t.Helper()
	content, err := bundle.Format(&bundle.Document{Version: version, Parent: parent, Operators: b.roots})
	b.must(err)
	s := bundle.NewSigned(content)
	s.Sign("alice", b.key)
	return s
}

// appendAll appends each message as a batch of its own and applies them to state.
func (b *entryFixture) appendAll(state *job.StateMachine, seq *uint64, messages ...record.Message) {
	b.t.Helper()
	for _, m := range messages {
		*seq++
		data, err := record.Encode("writer", *seq, []record.Message{m})
		b.must(err)
		offset := b.log.Append(JobsStream("dc-1"), data)
		records, _, err := record.Decode(offset, data)
		b.must(err)
		_ = state.Apply(records[0])
		state.Advance(offset + 1)
	}
}

func submit(i int) record.Message {
	return &record.Submit{Spec: record.Spec{ID: fmt.Sprintf("job-%d", i), Team: "nursery", Class: "shaping", Tasks: 1}}
}

// TestEntryStartsAtSnapshot checks that an entry whose jobs stream has lost its oldest records
// to retention knows all jobs from the newest usable snapshot and the records after it.
func TestEntryStartsAtSnapshot(t *testing.T) {
	b := newEntryFixture(t)
	b.log.SetFaults(standin.LogFaults{MaxBatches: 20})
	var state job.StateMachine
	var seq uint64
	for i := range 40 {
		b.appendAll(&state, &seq, submit(i))
	}
	parts, err := state.Snapshot("snapshot", 1<<10)
	b.must(err)
	for i := 40; i < 45; i++ {
		b.appendAll(&state, &seq, submit(i))
	}
	for _, p := range parts {
		b.appendAll(&state, &seq, p)
	}
	for i := 45; i < 48; i++ {
		b.appendAll(&state, &seq, submit(i))
	}
	e := b.start()
	b.eventually("all jobs known", func() bool { return e.status(time.Now()).Tasks[job.Pending.String()] == 48 })
}

// TestEntryStartsInLogOutage checks that an entry started while the log is down
// adopts the bundle in force from an agent that has it, and rejects a forged one.
func TestEntryStartsInLogOutage(t *testing.T) {
	b := newEntryFixture(t)
	b.log.SetFaults(standin.LogFaults{Down: true})
	e := b.start()
	first := b.signed(1, "")
	second := b.signed(2, bundle.Digest(first.Content()))
	forged := bundle.NewSigned(second.Content())
	forged.Sign("alice", make([]byte, ed25519.PrivateKeySize))
	b.announceBundle(e, "worker-1", forged)
	b.announceBundle(e, "worker-2", second)
	b.eventually("the bundle in force", func() bool {
		return e.status(time.Now()).BundleDigest == bundle.Digest(second.Content())
	})
}

// announceBundle serves a bundle as an agent does, and sends heartbeats that announce it until
// the entry has fetched it.
func (b *entryFixture) announceBundle(e *Entry, name string, s *bundle.Signed) {
	b.t.Helper()
	id := b.identity(link.RoleAgent, name)
	asked := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.Handle("POST "+link.PathBundle, link.Handle(func(context.Context, link.Peer, *link.BundleQuery) (*link.BundleReply, error) {
		data, err := s.Encode()
		select {
		case asked <- struct{}{}:
		default:
		}
		return &link.BundleReply{Signed: data}, err
	}))
	server, err := link.Listen("127.0.0.1:0", id, mux, link.RoleEntry)
	b.must(err)
	var group sync.WaitGroup
	group.Go(func() { _ = server.ServeQUIC() })
	group.Go(func() { _ = server.ServeTCP() })
	client := link.NewClient(id, link.RoleEntry)
	b.t.Cleanup(func() {
		_ = client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		group.Wait()
	})
	h := &link.Heartbeat{Worker: name, Address: server.Address(), Incarnation: 1, BundleDigest: bundle.Digest(s.Content()), BundleVersion: 2}
	b.eventually("the entry asks "+name, func() bool {
		h.Round++
		b.must(client.Call(b.t.Context(), e.PeerAddress(), link.PathHeartbeat, h, new(link.HeartbeatReply)))
		select {
		case <-asked:
			return true
		default:
			return false
		}
	})
}
