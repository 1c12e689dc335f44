package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// waitTimeout is how long a test waits for an expected condition before it fails.
const waitTimeout = time.Minute

// site is a small deployment: entries and agents are real processes, and the
// stand-ins of the platform run in the test's process.
type site struct {
	t         *testing.T
	folder    string
	binary    string
	authority *link.Authority
	operators string
	log       *standin.Log
	logURL    string
	workers   []*standin.Worker
	runners   []*standin.Runner
	processes []*process
	entryURLs []string
	// peers are the entries' peer addresses by data centre.
	peers       map[string][]string
	dataCentres []string
}

// process is an entry or agent, with the arguments to start it again.
type process struct {
	name       string
	dataCentre string
	args       []string
	readyURL   string
	// cmd is the running process, or nil if it was stopped.
	cmd *exec.Cmd
}

// newSite starts the given number of entries and agents in each data centre;
// without names there is one data centre, dc-1.
func newSite(t *testing.T, entries, agents int, dataCentres ...string) *site {
	t.Helper()
	if len(dataCentres) == 0 {
		dataCentres = []string{"dc-1"}
	}
	s := &site{t: t, folder: t.TempDir(), log: new(standin.Log), peers: make(map[string][]string), dataCentres: dataCentres}
	s.binary = filepath.Join(s.folder, "savoryhoist")
	if out, err := exec.Command("go", "build", "-o", s.binary, "../..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s.logURL = s.serveStandin(s.log.Handler())
	var err error
	s.authority, err = link.NewAuthority(time.Now(), time.Hour)
	s.must(err)
	s.must(os.WriteFile(s.path("authority.pem"), s.authority.PEM(), publicMode))
	private, public, err := bundle.GenerateKey(rand.Reader)
	s.must(err)
	s.operators = "alice=" + public
	for i, name := range dataCentres {
		for k := range entries {
			s.addEntry(name, i*entries+k)
		}
		for k := range agents {
			s.addAgent(name, i*agents+k)
		}
	}
	t.Cleanup(s.stopAll)
	for _, p := range s.processes {
		s.start(p)
	}
	s.publish(private)
	for _, p := range s.processes {
		s.awaitReady(p)
	}
	return s
}

func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) path(name string) string { return filepath.Join(s.folder, name) }

func (s *site) serveStandin(h http.Handler) string {
	server := httptest.NewServer(h)
	s.t.Cleanup(server.Close)
	return server.URL
}

// freeAddress returns an IP and port that no process listens on.
func (s *site) freeAddress() string {
	address, err := standin.FreeAddress()
	s.must(err)
	return address
}

// processArgs issues a certificate for a process and returns the arguments that entries and agents
// have in common.
func (s *site) processArgs(role link.Role, dataCentre, name string) []string {
	certificate, key, err := s.authority.Issue(time.Now(), time.Hour, link.NewPeer(role, dataCentre, name))
	s.must(err)
	s.must(os.WriteFile(s.path(name+".pem"), certificate, publicMode))
	s.must(os.WriteFile(s.path(name+"-key.pem"), key, secretMode))
	return []string{
		string(role), "--name", name, "--data-centre", dataCentre, "--operators", s.operators, "--drain-after", "700ms",
		"--certificate", s.path(name + ".pem"), "--key", s.path(name + "-key.pem"), "--authorities", s.path("authority.pem"),
	}
}

// addEntry adds an entry to the processes to start; index is its index in the site.
func (s *site) addEntry(dataCentre string, index int) {
	name := fmt.Sprintf("entry-%d", index+1)
	caller, peer := s.freeAddress(), s.freeAddress()
	s.entryURLs = append(s.entryURLs, "http://"+caller)
	s.peers[dataCentre] = append(s.peers[dataCentre], peer)
	args := append(s.processArgs(link.RoleEntry, dataCentre, name), "--open", "--announce-every", "500ms", "--log-url", s.logURL, "--listen", caller, "--peer-listen", peer)
	s.processes = append(s.processes, &process{name: name, dataCentre: dataCentre, args: args, readyURL: "http://" + caller + "/readyz"})
}

// addAgent adds an agent to the processes to start, with a stand-in worker and runner; index is its
// index in the site.
func (s *site) addAgent(dataCentre string, index int) {
	name := fmt.Sprintf("worker-%d", index+1)
	w := standin.NewWorker(worker.Resources{MilliCPU: 16000, MemoryMB: 60 << 10, Accelerators: 2}, time.Now)
	r := standin.NewRunner(8)
	s.workers = append(s.workers, w)
	s.runners = append(s.runners, r)
	admin := s.freeAddress()
	args := append(s.processArgs(link.RoleAgent, dataCentre, name), "--service", "planner", "--listen", s.freeAddress(), "--admin-listen", admin,
		"--runner-url", s.serveStandin(r.Handler()), "--worker-url", s.serveStandin(w.Handler()),
		"--entries", strings.Join(s.peers[dataCentre], ","), "--heartbeat-every", "200ms")
	s.processes = append(s.processes, &process{name: name, dataCentre: dataCentre, args: args, readyURL: "http://" + admin + "/readyz"})
}

func (s *site) start(p *process) {
	f, err := os.OpenFile(s.path(p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, publicMode)
	s.must(err)
	p.cmd = exec.Command(s.binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	s.must(p.cmd.Start())
	s.must(f.Close())
}

// stop ends a process by SIGTERM and checks that it exits with code 0.
func (s *site) stop(p *process) {
	s.must(p.cmd.Process.Signal(syscall.SIGTERM))
	if err := p.cmd.Wait(); err != nil {
		s.t.Errorf("%s after SIGTERM: got %v, want a clean exit", p.name, err)
	}
	p.cmd = nil
}

func (s *site) stopAll() {
	for _, p := range s.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		if s.t.Failed() {
			data, _ := os.ReadFile(s.path(p.name + ".log"))
			s.t.Logf("%s:\n%s", p.name, tailOf(data))
		}
	}
}

func tailOf(data []byte) []byte {
	const maxBytes = 4000
	if len(data) > maxBytes {
		return data[len(data)-maxBytes:]
	}
	return data
}

func (s *site) awaitReady(p *process) {
	s.t.Helper()
	s.eventually(p.name+" ready", func() bool { return isOK(p.readyURL) })
}

func isOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until fn returns true, and fails the test after waitTimeout; condition names what
// is waited for.
func (s *site) eventually(condition string, fn func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if fn() {
			return
		}
	}
	s.t.Fatalf("%s: not true within %s", condition, waitTimeout)
}

// publish publishes the first bundle, signed with an operator's private key, and waits until it is in
// force.
func (s *site) publish(privateKey []byte) {
	roots, err := bundle.ParseRoots(s.operators, 1)
	s.must(err)
	d, err := bundle.ParseTemplate(devBundleTemplate, roots)
	s.must(err)
	if len(s.dataCentres) > 1 {
		for _, name := range s.dataCentres {
			d.DataCentres = append(d.DataCentres, bundle.DataCentre{Name: name})
		}
	}
	content, err := bundle.Format(d)
	s.must(err)
	signed := bundle.NewSigned(content)
	signed.Sign("alice", privateKey)
	data, err := signed.Encode()
	s.must(err)
	s.eventually("first bundle in force", func() bool {
		resp, err := http.Post(s.entryURLs[0]+"/bundles", "application/cbor", bytes.NewReader(data))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// balancer simulates the platform's load balancer: the returned function gives
// the URLs of ready entries in turn.
func (s *site) balancer(ctx context.Context) func() string {
	next := make(chan string)
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			url := s.entryURLs[i%len(s.entryURLs)]
			if !isOK(url + "/readyz") {
				continue
			}
			select {
			case next <- url:
			case <-ctx.Done():
			}
		}
	}()
	return func() string { return <-next }
}
