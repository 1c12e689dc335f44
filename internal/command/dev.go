package command

import (
	"bytes"
	"context"
	"crypto/rand"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/agent"
	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/logline"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Sizes and times of the dev mode.
const (
	devDataCentre          = "dc-1"
	devAgents              = 3
	devRunnerSlots         = 8
	devService             = "planner"
	devCertificateValidity = 24 * time.Hour
	devDrainAfter          = 200 * time.Millisecond
	devHeartbeatEvery      = 200 * time.Millisecond
)

//go:embed dev.yaml
var devBundleTemplate []byte

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run an entry, three agents and stand-ins of the platform in one process, with all state in memory",
		Flags: []cli.Flag{
			stringFlag("listen", "127.0.0.1:8080", "IP and port of the caller API"),
			stringFlag("log-level", "info", "lowest level of log lines that are written"),
		},
		Action: runDev,
	}
}

// devSite holds the parts of the dev mode: an entry, agents, and stand-ins of
// the platform's services.
type devSite struct {
	// group waits for the agents and the stand-ins' servers.
	group       sync.WaitGroup
	level       log.Level
	authority   *link.Authority
	roots       bundle.Operators
	firstBundle *bundle.Signed
	servers     []*http.Server
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	listen := c.address("listen")
	c.logger()
	if c.err != nil {
		return c.err
	}
	s := &devSite{level: log.ParseLevel(cmd.String("log-level"))}
	if err := s.prepare(time.Now()); err != nil {
		return err
	}
	err := s.run(ctx, cmd, listen)
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.group.Wait()
	return err
}

// prepare creates the certificate authority and the operator's key and signs the first bundle.
func (s *devSite) prepare(now time.Time) error {
	authority, err := link.NewAuthority(now, devCertificateValidity)
	if err != nil {
		return err
	}
	private, public, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	s.authority = authority
	s.roots = bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "dev", PublicKey: public}}}
	d, err := bundle.ParseTemplate(devBundleTemplate, s.roots)
	if err != nil {
		return err
	}
	content, err := bundle.Format(d)
	if err != nil {
		return err
	}
	s.firstBundle = bundle.NewSigned(content)
	s.firstBundle.Sign("dev", private)
	return nil
}

// run starts an entry with its API at the address listen, and the agents, publishes the first
// bundle and, when ctx ends, waits until the entry has drained.
func (s *devSite) run(ctx context.Context, cmd *cli.Command, listen string) error {
	logURL, err := s.serveStandin(new(standin.Log).Handler())
	if err != nil {
		return err
	}
	id, err := s.identity(link.RoleEntry, "entry-1")
	if err != nil {
		return err
	}
	e, err := entry.New(time.Now(), entry.Settings{
		Name: "entry-1", DataCentre: devDataCentre, Listen: listen, PeerListen: "127.0.0.1:0",
		LogURL: logURL, Roots: s.roots, DrainDelay: devDrainAfter, AllowUnauthenticated: true,
	}, id, newLogger(s.level, "entry-1"))
	if err != nil {
		return err
	}
	processContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	entryContext, stopEntry := context.WithCancel(processContext)
	defer stopEntry()
	var entryGroup sync.WaitGroup
	entryGroup.Go(func() { logline.Failure(nil, "entry", e.Run(entryContext)) })
	for i := range devAgents {
		if err := s.startAgent(ctx, i, e.PeerAddress()); err != nil {
			return err
		}
	}
	if err := s.publish(ctx, "http://"+e.Address()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.Root().Writer, "ready at http://%s\n", e.Address())
	<-ctx.Done()
	stopEntry()
	entryGroup.Wait()
	return nil
}

// identity issues a certificate and returns the identity that holds it.
func (s *devSite) identity(role link.Role, name string) (*link.Identity, error) {
	certificate, key, err := s.authority.Issue(time.Now(), devCertificateValidity, link.NewPeer(role, devDataCentre, name))
	if err != nil {
		return nil, err
	}
	id := new(link.Identity)
	return id, id.Load(certificate, key, s.authority.PEM())
}

// serveStandin serves the handler of a stand-in on a free port and returns its URL.
func (s *devSite) serveStandin(handler http.Handler) (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	s.group.Go(func() { logline.Failure(nil, "stand-in server", server.Serve(ln)) })
	return "http://" + ln.Addr().String(), nil
}

// startAgent starts the agent with an index, with a stand-in worker and runner, until ctx ends.
// The agent sends its heartbeats to entryAddress.
func (s *devSite) startAgent(ctx context.Context, index int, entryAddress string) error {
	name := fmt.Sprintf("worker-%d", index+1)
	size := worker.Resources{MilliCPU: 16000, MemoryMB: 60 << 10, Accelerators: 2}
	workerURL, err := s.serveStandin(standin.NewWorker(size, time.Now).Handler())
	if err != nil {
		return err
	}
	runnerURL, err := s.serveStandin(standin.NewRunner(devRunnerSlots).Handler())
	if err != nil {
		return err
	}
	id, err := s.identity(link.RoleAgent, name)
	if err != nil {
		return err
	}
	a, err := agent.New(time.Now(), agent.Settings{
		Name: name, DataCentre: devDataCentre, Rack: fmt.Sprintf("rack-%d", index+1), Service: devService,
		Listen: "127.0.0.1:0", RunnerURL: runnerURL, WorkerURL: workerURL, Entries: []string{entryAddress},
		HeartbeatEvery: devHeartbeatEvery, DrainDelay: devDrainAfter, Roots: s.roots,
	}, id, newLogger(s.level, name))
	if err != nil {
		return err
	}
	s.group.Go(func() { logline.Failure(nil, "agent", a.Run(ctx)) })
	return nil
}

// publish publishes the first bundle through the entry at baseURL.
func (s *devSite) publish(ctx context.Context, baseURL string) error {
	data, err := s.firstBundle.Encode()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/bundles", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("publish the first bundle: status %d", resp.StatusCode)
	}
	return nil
}
