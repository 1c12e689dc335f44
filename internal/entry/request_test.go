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
	testDataCentre = "dc-1"
	testBody       = "a request that must come back whole"
	testWithin     = 20 * time.Second
)

// requestScript says how an agent behaves and what the caller must be told.
type requestScript struct {
	Promise string
	// Repeat is the caller's mark.
	Repeat string
	// Exchanges are the agent's answers to attempts, in their order; the last
	// one goes on. Fates are its answers to questions.
	Exchanges, Fates []string
	Status           int
	Outcome          string
	// Attempts are the numbers of the attempts that the agent got.
	Attempts   []int
	RetryAfter bool `json:"retry-after"`
}

// scriptedAgent is the agent's side of the contract.
type scriptedAgent struct {
	mu       sync.Mutex
	script   requestScript
	attempts []int
}

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

func (a *scriptedAgent) answerFate(context.Context, link.Peer, *link.FateQuery) (*link.FateReply, error) {
	fate := a.take(&a.script.Fates)
	if fate == "lost" {
		return nil, link.ErrCall
	}
	return &link.FateReply{Fate: fate}, nil
}

// contract is an entry with scripted agents.
type contract struct {
	t         *testing.T
	authority *link.Authority
	entry     *Entry
}

func newContract(t *testing.T) *contract {
	t.Helper()
	c := &contract{t: t}
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
		LogURL: logs.URL, Roots: roots, DrainAfter: time.Millisecond, Open: true,
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

func (c *contract) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *contract) identity(role link.Role, name string) *link.Identity {
	certificate, key, err := c.authority.Issue(time.Now(), time.Hour, link.NewPeer(role, testDataCentre, name))
	c.must(err)
	id := new(link.Identity)
	c.must(id.Load(certificate, key, c.authority.PEM()))
	return id
}

// announce serves a scripted agent and tells the entry of it.
func (c *contract) announce(name string, a *scriptedAgent) *link.Server {
	id := c.identity(link.RoleAgent, name)
	mux := http.NewServeMux()
	mux.HandleFunc(link.PathRequests+"{service}/", a.serveRequest)
	mux.Handle("POST "+link.PathFate, link.Handle(a.answerFate))
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
	ctx, cancel := context.WithTimeout(context.Background(), testWithin)
	defer cancel()
	c.must(client.Call(ctx, c.entry.PeerAddress(), link.PathHeartbeat, heartbeat, &link.Reading{}))
	return server
}

// told is what a caller was told.
type told struct {
	status int
	header http.Header
	body   string
}

func (c *contract) post(repeat string) (told, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entry.Address()+"/services/planner/x", strings.NewReader(testBody))
	c.must(err)
	req.Header.Set(HeaderTeam, "nursery")
	if repeat != "" {
		req.Header.Set(link.HeaderRepeat, repeat)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return told{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return told{resp.StatusCode, resp.Header, string(body)}, err
}

// TestRequestContract plays each script with one agent.
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
			playRequest(t, a, a.script)
		})
	}
}

func playRequest(t *testing.T, a *scriptedAgent, s requestScript) {
	t.Helper()
	c := newContract(t)
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

// TestDeadAgentIsNotRun sends to an address that nobody listens at.
func TestDeadAgentIsNotRun(t *testing.T) {
	c := newContract(t)
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

// TestHeadHasNoBody asks for the header of an answer alone.
func TestHeadHasNoBody(t *testing.T) {
	c := newContract(t)
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

// TestLeavingAgentGetsNothingMore refuses one request as leaving: the next ones go elsewhere.
func TestLeavingAgentGetsNothingMore(t *testing.T) {
	c := newContract(t)
	leaving := &scriptedAgent{script: requestScript{Exchanges: []string{"leaving"}}}
	staying := &scriptedAgent{script: requestScript{Exchanges: []string{"answer"}}}
	c.announce("worker-1", leaving)
	c.announce("worker-2", staying)
	for range 12 {
		resp, err := c.post("never")
		if err != nil || resp.status != http.StatusOK || resp.body != testBody {
			t.Fatalf("request: got %v, %v, want the answer", resp, err)
		}
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	if got, want := len(leaving.attempts), 1; got > want {
		t.Errorf("attempts at the leaving agent: got %d, want at most %d", got, want)
	}
	if got, want := slices.Contains(staying.attempts, 0), false; got != want {
		t.Errorf("attempt without a number: got %v, want %v", got, want)
	}
}

// TestLeavingEntryClosesConnections asks an entry that leaves.
func TestLeavingEntryClosesConnections(t *testing.T) {
	c := newContract(t)
	c.announce("worker-1", &scriptedAgent{script: requestScript{Exchanges: []string{"answer"}}})
	c.entry.leaving.Store(true)
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
