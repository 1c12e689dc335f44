package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

const (
	testDataCentre   = "dc-1"
	testBody         = "a request that must come back complete"
	heartbeatTimeout = 20 * time.Second
)

// requestScript defines how an agent behaves and which response the caller must get.
type requestScript struct {
	// Promise states the guarantee to the caller that the script checks.
	Promise string
	// Repeat is the value of the caller's header link.HeaderRepeat.
	Repeat string
	// Exchanges are the agent's responses to attempts, in order; the last one is used for all
	// further attempts. Fates are the agent's replies to queries for an attempt's state, used
	// in the same way.
	Exchanges, Fates []string
	Status           int
	Outcome          string
	// Attempts are the numbers of the attempts that the agent must receive.
	Attempts []int
	// RetryAfter says whether the response must have the header Retry-After.
	RetryAfter bool `json:"retry-after"`
}

// scriptedAgent is a fake agent that behaves as its script says.
type scriptedAgent struct {
	mu       sync.Mutex
	script   requestScript
	attempts []int
}

// take removes the first item of a script's list and returns it; the last item stays.
func (a *scriptedAgent) take(list *[]string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(*list) == 0 {
		return ""
	}
	first := (*list)[0]
	if len(*list) > 1 {
		*list = (*list)[1:]
	}
	return first
}

func (a *scriptedAgent) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n, _ := strconv.Atoi(r.Header.Get(link.HeaderAttempt))
	a.mu.Lock()
	a.attempts = append(a.attempts, n)
	a.mu.Unlock()
	h := w.Header()
	h.Set(link.HeaderRequest, r.Header.Get(link.HeaderRequest))
	h.Set(link.HeaderAttempt, r.Header.Get(link.HeaderAttempt))
	switch what := a.take(&a.script.Exchanges); what {
	case "answer":
		h.Set(link.HeaderOutcome, "run")
		h.Set("Content-Length", strconv.Itoa(max(len(body), 1)))
		_, _ = w.Write(body)
	case "cut":
		h.Set(link.HeaderOutcome, "run")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case "crossed":
		h.Set(link.HeaderRequest, "another")
		h.Set(link.HeaderOutcome, "run")
		_, _ = w.Write([]byte("the answer to another request"))
	case "silent":
		<-r.Context().Done()
	case "leaving", "full", "runner", "fate-unknown", "fate-run":
		refusal, outcome, found := strings.Cut(what, "-")
		if !found {
			outcome = "not-run"
		}
		h.Set(link.HeaderRefusal, refusal)
		h.Set(link.HeaderOutcome, outcome)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (a *scriptedAgent) handleAttemptQuery(context.Context, link.Peer, *link.AttemptStateQuery) (*link.AttemptStateReply, error) {
	fate := a.take(&a.script.Fates)
	if fate == "lost" {
		return nil, link.ErrCall
	}
	return &link.AttemptStateReply{State: fate}, nil
}

// requestFixture is an entry with scripted agents.
type requestFixture struct {
	t         *testing.T
	authority *link.Authority
	entry     *Entry
}

func newRequestFixture(t *testing.T) *requestFixture {
	t.Helper()
	c := &requestFixture{t: t}
	var err error
	c.authority, err = link.NewAuthority(time.Now(), time.Hour)
	c.must(err)
	private, public, err := bundle.GenerateKey(rand.Reader)
	c.must(err)
	roots := bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "alice", PublicKey: public}}}
	content, err := bundle.Format(&bundle.Document{
		Version: 1, Operators: roots, Teams: []bundle.Team{{Name: "nursery"}},
		Services: []bundle.Service{{
			Name: "planner", Slots: 8, MaxConnections: 64, MaxBodyBytes: 1 << 20, LatencyObjective: bundle.Duration(time.Second),
			Classes: []bundle.RequestClass{{Name: "preview", Priority: 9, Deadline: bundle.Duration(time.Minute), ExpectedServiceTime: bundle.Duration(time.Millisecond)}},
		}},
	})
	c.must(err)
	signed := bundle.NewSigned(content)
	signed.Sign("alice", private)
	logs := httptest.NewServer(new(standin.Log).Handler())
	t.Cleanup(logs.Close)
	c.entry, err = New(time.Now(), Settings{
		Name: "entry-1", DataCentre: testDataCentre, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		LogURL: logs.URL, Roots: roots, DrainDelay: time.Millisecond, AllowUnauthenticated: true,
	}, c.identity(link.RoleEntry, "entry-1"), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	c.must(err)
	c.entry.bundleMu.Lock()
	err = c.entry.bundle.chain.Offer(signed)
	c.entry.bundleMu.Unlock()
	c.must(err)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = c.entry.Run(ctx) })
	t.Cleanup(func() { stop(); group.Wait() })
	return c
}

func (c *requestFixture) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *requestFixture) identity(role link.Role, name string) *link.Identity {
	certificate, key, err := c.authority.Issue(time.Now(), time.Hour, link.NewPeer(role, testDataCentre, name))
	c.must(err)
	id := new(link.Identity)
	c.must(id.Load(certificate, key, c.authority.PEM()))
	return id
}

// announce serves a scripted agent and sends a heartbeat of it to the entry.
func (c *requestFixture) announce(name string, a *scriptedAgent) *link.Server {
	id := c.identity(link.RoleAgent, name)
	mux := http.NewServeMux()
	mux.HandleFunc(link.PathRequests+"{service}/", a.serveRequest)
	mux.Handle("POST "+link.PathAttemptState, link.Handle(a.handleAttemptQuery))
	server, err := link.Listen("127.0.0.1:0", id, mux, link.RoleEntry)
	c.must(err)
	var group sync.WaitGroup
	group.Go(func() { _ = server.ServeTCP() })
	group.Go(func() { _ = server.ServeQUIC() })
	c.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		group.Wait()
	})
	client := link.NewClient(id, link.RoleEntry)
	defer func() { _ = client.Close() }()
	heartbeat := &link.Heartbeat{Worker: name, Service: "planner", Address: server.Address(), Incarnation: 1, Mark: 1, Slots: 8}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	c.must(client.Call(ctx, c.entry.PeerAddress(), link.PathHeartbeat, heartbeat, &link.HeartbeatReply{}))
	return server
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

func (c *requestFixture) post(repeat string) (callerResponse, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entry.Address()+"/services/planner/x", strings.NewReader(testBody))
	c.must(err)
	req.Header.Set(HeaderTeam, "nursery")
	if repeat != "" {
		req.Header.Set(link.HeaderRepeat, repeat)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(body)}, err
}

// TestRequestContract runs each script in testdata/request with one agent and checks the response
// to the caller and the attempts that the agent received.
func TestRequestContract(t *testing.T) {
	names, err := filepath.Glob(filepath.Join("testdata", "request", "*.json"))
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %d, %v, want some", len(names), err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".json"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			a := &scriptedAgent{}
			if err := json.NewDecoder(bytes.NewReader(data)).Decode(&a.script); err != nil {
				t.Fatal(err)
			}
			runScript(t, a, a.script)
		})
	}
}

func runScript(t *testing.T, a *scriptedAgent, s requestScript) {
	t.Helper()
	c := newRequestFixture(t)
	c.announce("worker-1", a)
	resp, err := c.post(s.Repeat)
	if err != nil {
		t.Fatalf("request: got %v, want an answer", err)
	}
	if got, want := resp.status, s.Status; got != want {
		t.Errorf("status: got %d, want %d (%s)", got, want, resp.body)
	}
	if got, want := resp.header.Get(link.HeaderOutcome), s.Outcome; got != want {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
	if got, want := resp.header.Get("Retry-After") != "", s.RetryAfter; got != want {
		t.Errorf("Retry-After: got %v, want %v", got, want)
	}
	if s.Status == http.StatusOK && resp.body != testBody {
		t.Errorf("body: got %q, want %q", resp.body, testBody)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if got, want := fmt.Sprint(a.attempts), fmt.Sprint(s.Attempts); got != want {
		t.Errorf("attempts at the agent: got %s, want %s", got, want)
	}
}

// TestUnreachableAgentIsNotRun checks that a request to an address on which nothing listens is
// reported as not run.
func TestUnreachableAgentIsNotRun(t *testing.T) {
	c := newRequestFixture(t)
	server := c.announce("worker-1", &scriptedAgent{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.Shutdown(ctx)
	resp, err := c.post("never")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.header.Get(link.HeaderOutcome), "not-run"; got != want {
		t.Errorf("outcome: got %q, want %q (%s)", got, want, resp.body)
	}
}

// TestHeadHasNoBody checks that a HEAD request, whose response has a length but no body, is
// answered.
func TestHeadHasNoBody(t *testing.T) {
	c := newRequestFixture(t)
	c.announce("worker-1", &scriptedAgent{script: requestScript{Exchanges: []string{"answer"}}})
	req, err := http.NewRequest(http.MethodHead, "http://"+c.entry.Address()+"/services/planner/x", nil)
	c.must(err)
	req.Header.Set(HeaderTeam, "nursery")
	resp, err := http.DefaultClient.Do(req)
	c.must(err)
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusOK; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// TestDrainingAgentGetsNoMoreRequests checks that an agent that refused a request because it is
// draining gets no further requests.
func TestDrainingAgentGetsNoMoreRequests(t *testing.T) {
	c := newRequestFixture(t)
	draining := &scriptedAgent{script: requestScript{Exchanges: []string{"leaving"}}}
	staying := &scriptedAgent{script: requestScript{Exchanges: []string{"answer"}}}
	c.announce("worker-1", draining)
	c.announce("worker-2", staying)
	for range 12 {
		resp, err := c.post("never")
		if err != nil || resp.status != http.StatusOK || resp.body != testBody {
			t.Fatalf("request: got %v, %v, want the answer", resp, err)
		}
	}
	draining.mu.Lock()
	defer draining.mu.Unlock()
	if got, want := len(draining.attempts), 1; got > want {
		t.Errorf("attempts at the draining agent: got %d, want at most %d", got, want)
	}
	if got, want := slices.Contains(staying.attempts, 0), false; got != want {
		t.Errorf("attempt without a number: got %v, want %v", got, want)
	}
}

// TestDrainingEntryClosesConnections checks that a draining entry closes a caller's connection
// after the response.
func TestDrainingEntryClosesConnections(t *testing.T) {
	c := newRequestFixture(t)
	c.announce("worker-1", &scriptedAgent{script: requestScript{Exchanges: []string{"answer"}}})
	c.entry.draining.Store(true)
	req, err := http.NewRequest(http.MethodGet, "http://"+c.entry.Address()+"/services/planner/x", nil)
	c.must(err)
	req.Header.Set(HeaderTeam, "nursery")
	resp, err := http.DefaultClient.Do(req)
	c.must(err)
	_ = resp.Body.Close()
	if got, want := resp.Close, true; got != want {
		t.Errorf("connection is closed after the answer: got %v, want %v", got, want)
	}
}
