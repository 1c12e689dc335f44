package request

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"savoryhoist.example/savoryhoist/internal/agent"
	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

const (
	siteDataCentre = "dc-1"
	siteService    = "planner"
	siteTeam       = "nursery"
	siteValid      = time.Hour
	siteHeartbeat  = 500 * time.Millisecond
	siteDrain      = 10 * time.Millisecond
	siteReady      = 20 * time.Second
	sitePoll       = 20 * time.Millisecond
	loopback       = "127.0.0.1:0"
)

// site is a real entry and a real agent before a stand-in runner, in this process.
type site struct {
	group   sync.WaitGroup
	hosted  sync.WaitGroup
	stop    context.CancelFunc
	servers []*http.Server
	entry   *entry.Entry
	runner  string
}

// startSite starts a site and waits until its entry is ready.
func startSite(ctx context.Context) (*site, error) {
	s := &site{}
	ctx, s.stop = context.WithCancel(ctx)
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(ctx context.Context) error {
	now := time.Now()
	authority, err := link.NewAuthority(now, siteValid)
	if err != nil {
		return err
	}
	roots, signed, err := signedBundle()
	if err != nil {
		return err
	}
	logURL, err := s.host(new(standin.Log).Handler())
	if err != nil {
		return err
	}
	workerURL, err := s.host(standin.NewWorker(worker.Resources{MilliCPU: 16000, MemoryMB: 60 << 10}, time.Now).Handler())
	if err != nil {
		return err
	}
	if s.runner, err = s.host(standin.NewRunner(slots).Handler()); err != nil {
		return err
	}
	id, err := issue(authority, link.RoleEntry, "entry-1")
	if err != nil {
		return err
	}
	s.entry, err = entry.New(now, entry.Settings{
		Name: "entry-1", DataCentre: siteDataCentre, Listen: loopback, PeerListen: loopback,
		LogURL: logURL, Roots: roots, DrainDelay: siteDrain, AllowUnauthenticated: true,
	}, id, discardLogger())
	if err != nil {
		return err
	}
	if id, err = issue(authority, link.RoleAgent, "worker-1"); err != nil {
		return err
	}
	a, err := agent.New(now, agent.Settings{
		Name: "worker-1", DataCentre: siteDataCentre, Rack: "rack-1", Service: siteService, Listen: loopback,
		RunnerURL: s.runner, WorkerURL: workerURL, Entries: []string{s.entry.PeerAddress()},
		HeartbeatEvery: siteHeartbeat, DrainDelay: siteDrain, Roots: roots,
	}, id, discardLogger())
	if err != nil {
		return err
	}
	s.group.Go(func() { _ = s.entry.Run(ctx) })
	s.group.Go(func() { _ = a.Run(ctx) })
	return s.publish(ctx, signed)
}

// publish brings the bundle in force and waits until the entry is ready.
func (s *site) publish(ctx context.Context, signed []byte) error {
	base := "http://" + s.entry.Address()
	end := time.Now().Add(siteReady)
	for time.Now().Before(end) && ctx.Err() == nil {
		if status(ctx, http.MethodPost, base+"/bundles", signed) == http.StatusOK {
			break
		}
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if status(ctx, http.MethodGet, base+"/readyz", nil) == http.StatusOK {
			return nil
		}
		time.Sleep(sitePoll)
	}
	return errors.New("the entry did not become ready")
}

func status(ctx context.Context, method, url string, body []byte) int {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *site) close() {
	s.stop()
	s.group.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.hosted.Wait()
}

// host serves a handler on loopback and returns its URL.
func (s *site) host(handler http.Handler) (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: siteReady}
	s.servers = append(s.servers, server)
	s.hosted.Go(func() { _ = server.Serve(ln) })
	return "http://" + ln.Addr().String(), nil
}

func signedBundle() (bundle.Operators, []byte, error) {
	private, public, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return bundle.Operators{}, nil, err
	}
	roots := bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "bench", PublicKey: public}}}
	content, err := bundle.Format(&bundle.Document{
		Version: 1, Operators: roots,
		Services: []bundle.Service{{
			Name: siteService, Slots: slots, MaxConnections: connections, MaxBodyBytes: 1 << 20,
			LatencyObjective: bundle.Duration(time.Second),
			Classes: []bundle.RequestClass{{
				Name: "preview", Priority: 9, Deadline: bundle.Duration(10 * time.Second), ExpectedServiceTime: bundle.Duration(time.Millisecond),
			}},
		}},
		Teams: []bundle.Team{{Name: siteTeam}},
	})
	if err != nil {
		return roots, nil, err
	}
	signed := bundle.NewSigned(content)
	signed.Sign("bench", private)
	data, err := signed.Encode()
	return roots, data, err
}

func issue(authority *link.Authority, role link.Role, name string) (*link.Identity, error) {
	certificate, key, err := authority.Issue(time.Now(), siteValid, link.NewPeer(role, siteDataCentre, name))
	if err != nil {
		return nil, err
	}
	id := new(link.Identity)
	return id, id.Load(certificate, key, authority.PEM())
}

// discardLogger writes every line, as in a running process, to nowhere.
func discardLogger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
