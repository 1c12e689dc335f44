package agent

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

const (
	testSlots       = 2
	testConnections = 3
	testDataCentre  = "dc-1"
)

// agentFixture is an agent with a fake runner that answers once it is released.
type agentFixture struct {
	t        *testing.T
	agent    *Agent
	client   *link.Client
	release  chan struct{}
	runBegan chan struct{}
	runEnded chan struct{}
	runs     atomic.Int32
	busy     atomic.Int32
	maxBusy  atomic.Int32
}

func newAgentFixture(t *testing.T) *agentFixture {
	t.Helper()
	b := &agentFixture{t: t, release: make(chan struct{}), runBegan: make(chan struct{}, 64), runEnded: make(chan struct{}, 64)}
	runner := httptest.NewServer(http.HandlerFunc(b.serveRunner))
	t.Cleanup(runner.Close)
	authority, err := link.NewAuthority(time.Now(), time.Hour)
	b.must(err)
	identity := func(role link.Role, name string) *link.Identity {
		certificate, key, err := authority.Issue(time.Now(), time.Hour, link.NewPeer(role, testDataCentre, name))
		b.must(err)
		id := new(link.Identity)
		b.must(id.Load(certificate, key, authority.PEM()))
		return id
	}
	roots, signed := testBundle(t)
	b.agent, err = New(time.Now(), Settings{
		Name: "worker-1", DataCentre: testDataCentre, Service: "planner", Listen: "127.0.0.1:0",
		RunnerURL: runner.URL, WorkerURL: runner.URL, Roots: roots,
	}, identity(link.RoleAgent, "worker-1"), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	b.must(err)
	b.must(b.agent.chain.Offer(signed))
	var group sync.WaitGroup
	group.Go(func() { _ = b.agent.server.ServeTCP() })
	b.client = link.NewClient(identity(link.RoleEntry, "entry-1"), link.RoleAgent)
	t.Cleanup(func() {
		_ = b.client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = b.agent.server.Shutdown(ctx)
		group.Wait()
	})
	return b
}

func testBundle(t *testing.T) (bundle.Operators, *bundle.Signed) {
	t.Helper()
	private, public, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	roots := bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "alice", PublicKey: public}}}
	content, err := bundle.Format(&bundle.Document{
		Version: 1, Operators: roots, Teams: []bundle.Team{{Name: "nursery"}},
		Services: []bundle.Service{{
			Name: "planner", Slots: testSlots, MaxConnections: testConnections, MaxBodyBytes: 1 << 20, LatencyObjective: bundle.Duration(time.Second),
			Classes: []bundle.RequestClass{{Name: "preview", Priority: 9, Deadline: bundle.Duration(time.Minute), ExpectedServiceTime: bundle.Duration(time.Millisecond)}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	signed := bundle.NewSigned(content)
	signed.Sign("alice", private)
	return roots, signed
}

func (b *agentFixture) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

// serveRunner is the runner's handler: it echoes the body once it is released.
func (b *agentFixture) serveRunner(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.runs.Add(1)
	b.maxBusy.Store(max(b.maxBusy.Load(), b.busy.Add(1)))
	defer func() {
		b.busy.Add(-1)
		b.runEnded <- struct{}{}
	}()
	b.runBegan <- struct{}{}
	select {
	case <-b.release:
		_, _ = w.Write(body)
	case <-r.Context().Done():
	}
}

// reply is the agent's response.
type reply struct {
	status  int
	outcome string
	body    string
	err     error
}

func (b *agentFixture) send(ctx context.Context, id string, repeat string, incarnation uint64) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+b.agent.Address()+link.PathRequests+"planner/x", strings.NewReader(id))
	b.must(err)
	for k, v := range map[string]string{
		link.HeaderRequest: id, link.HeaderAttempt: "1", link.HeaderClass: "preview", link.HeaderMark: "0",
		link.HeaderIncarnation: strconv.FormatUint(incarnation, 10), link.HeaderRepeat: repeat,
	} {
		req.Header.Set(k, v)
	}
	resp, err := b.client.UnpooledTransport().RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get(link.HeaderOutcome), string(body), err}
}

func (b *agentFixture) queryState(id string, cancelAttempt bool) string {
	q := &link.AttemptStateQuery{Request: id, Attempt: 1, Incarnation: b.agent.incarnation, Cancel: cancelAttempt}
	var out link.AttemptStateReply
	b.must(b.client.CallUnpooled(context.Background(), b.agent.Address(), link.PathAttemptState, q, &out))
	return out.State
}

func (b *agentFixture) want(what string, got, want any) {
	b.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestRepetitionAttaches(t *testing.T) {
	b := newAgentFixture(t)
	ctx, leave := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { b.send(ctx, "a", "never", b.agent.incarnation) })
	<-b.runBegan
	leave()
	group.Wait()
	b.want("state of a run that no request waits for", b.queryState("a", false), "running")
	var again reply
	group.Go(func() { again = b.send(context.Background(), "a", "never", b.agent.incarnation) })
	close(b.release)
	group.Wait()
	b.want("response to the repetition", again.body, "a")
	b.want("outcome", again.outcome, "run")
	b.want("response to a later one", b.send(context.Background(), "a", "never", b.agent.incarnation).body, "a")
	b.want("runs", b.runs.Load(), 1)
}

// TestFencedAttemptDoesNotRun checks that an attempt that arrives after a query for its state, or is
// meant for an earlier process of the agent, is not run.
func TestFencedAttemptDoesNotRun(t *testing.T) {
	b := newAgentFixture(t)
	close(b.release)
	b.want("fate", b.queryState("a", false), "not-run")
	b.want("outcome of the late attempt", b.send(context.Background(), "a", "", b.agent.incarnation).outcome, "not-run")
	b.want("outcome for an older agent", b.send(context.Background(), "b", "", b.agent.incarnation-1).outcome, "unknown")
	b.want("runs", b.runs.Load(), 0)
}

// TestCeilingsHold checks that the endpoint runs no more requests at once than it has slots, and
// admits no more than its maximum of connections.
func TestCeilingsHold(t *testing.T) {
	b := newAgentFixture(t)
	replies := make(chan reply, testConnections+1)
	var group sync.WaitGroup
	for i := range testConnections + 1 {
		group.Go(func() { replies <- b.send(context.Background(), strconv.Itoa(i), "", b.agent.incarnation) })
	}
	first := <-replies
	b.want("outcome of the one too many", first.outcome, "not-run")
	close(b.release)
	group.Wait()
	for range testConnections {
		b.want("outcome of the others", (<-replies).outcome, "run")
	}
	if got := b.maxBusy.Load(); got > testSlots {
		t.Errorf("requests at once: got %d, want at most %d", got, testSlots)
	}
}

// TestCancelWhereSafe checks that a query with Cancel ends an attempt that waits for a slot or is
// repeatable, and leaves running one that must not be repeated.
func TestCancelWhereSafe(t *testing.T) {
	b := newAgentFixture(t)
	var group sync.WaitGroup
	for _, repeat := range []string{"", "never"} {
		group.Go(func() { b.send(context.Background(), "request"+repeat, repeat, b.agent.incarnation) })
		<-b.runBegan
	}
	var waiting reply
	var waits sync.WaitGroup
	waits.Go(func() { waiting = b.send(context.Background(), "waiting", "never", b.agent.incarnation) })
	for b.agent.activeCount() < 3 {
		time.Sleep(time.Millisecond)
	}
	b.want("state of a cancelled one that waited", b.queryState("waiting", true), "not-run")
	waits.Wait()
	b.want("outcome of the one that waited", waiting.outcome, "not-run")
	b.queryState("request", true)
	<-b.runEnded
	b.queryState("requestnever", true)
	b.want("state of one that must not be repeated", b.queryState("requestnever", false), "running")
	close(b.release)
	group.Wait()
	b.want("state in the end", b.queryState("requestnever", false), "run")
}

// TestDrainingAgentRefuses checks that a draining agent refuses attempts without running them.
func TestDrainingAgentRefuses(t *testing.T) {
	b := newAgentFixture(t)
	close(b.release)
	b.agent.mu.Lock()
	b.agent.draining = true
	b.agent.mu.Unlock()
	b.want("outcome", b.send(context.Background(), "a", "", b.agent.incarnation).outcome, "not-run")
	b.want("fate", b.queryState("a", false), "not-run")
	b.want("runs", b.runs.Load(), 0)
}
