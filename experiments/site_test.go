//go:build experiments

package experiments

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/load"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// Settings of the sites that the driver starts.
const (
	readyTimeout        = time.Minute
	readyPollInterval   = 20 * time.Millisecond
	certificateValidity = time.Hour
	fileMode            = 0o600
	workersPerRack      = 3
	drainAfter          = "700ms"
	heartbeatEvery      = "500ms"
	operatorName        = "alice"
)

// site is a deployment for one experiment: entries and agents, and one process
// that serves the stand-ins of the platform's services.
type site struct {
	t         *testing.T
	folder    string
	binary    string
	authority *link.Authority
	key       ed25519.PrivateKey
	roots     bundle.Operators
	document  *bundle.Document
	standin   string
	entries   []*process
	agents    []*process
	// all holds the stand-ins' process first, then the entries and the agents.
	all []*process
	// peers holds the peer addresses of the entries of each data centre.
	peers map[string][]string
}

// process is one process of a site, with what is needed to start it again.
type process struct {
	name string
	// binary is the path of the program to run; if empty, the site's program is run.
	binary string
	args   []string
	url    string
	// cmd is nil while the process is stopped.
	cmd *exec.Cmd
	// cpuTime is the processor time used by the runs that have ended.
	cpuTime time.Duration
}

// currentBinary is the path of the program built from this version. It serves the
// stand-ins of every site, also of a baseline site.
var currentBinary string

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "savoryhoist")
	currentBinary = binary
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// startSite starts the site of a plan, publishes its first bundle and returns when
// every process is ready.
func startSite(t *testing.T, binary string, size load.Site) *site {
	t.Helper()
	s := &site{t: t, folder: t.TempDir(), binary: binary, peers: make(map[string][]string)}
	t.Cleanup(s.stopAll)
	var err error
	s.authority, err = link.NewAuthority(time.Now(), certificateValidity)
	s.must(err)
	s.must(os.WriteFile(s.path("authority.pem"), s.authority.PEM(), fileMode))
	var public string
	s.key, public, err = bundle.GenerateKey(rand.Reader)
	s.must(err)
	s.roots, err = bundle.ParseRoots(operatorName+"="+public, 1)
	s.must(err)
	template, err := os.ReadFile(size.Bundle + ".yaml")
	s.must(err)
	s.document, err = bundle.ParseTemplate(template, s.roots)
	s.must(err)
	if binary == currentBinary { // earlier versions do not support data centres in a bundle
		for _, name := range size.DataCentres {
			s.document.DataCentres = append(s.document.DataCentres, bundle.DataCentre{Name: name})
		}
	}
	s.addStandin(size)
	for i := range size.Entries * len(size.DataCentres) {
		s.addEntry(i, size.DataCentres[i%len(size.DataCentres)], public)
	}
	for i := range size.Workers {
		s.addAgent(i, size.DataCentres[i%len(size.DataCentres)], public)
	}
	for _, p := range s.all {
		s.start(p)
	}
	s.publishFirst()
	for _, p := range s.all[1:] {
		s.awaitReady(p)
	}
	return s
}

// must ends the test if err is not nil.
func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) path(name string) string { return filepath.Join(s.folder, name) }

func (s *site) freeAddress() string {
	address, err := standin.FreeAddress()
	s.must(err)
	return address
}

// addStandin adds the process that serves the stand-ins.
func (s *site) addStandin(size load.Site) {
	address := s.freeAddress()
	s.standin = "http://" + address
	args := []string{"standin", "--listen", address, "--workers", fmt.Sprint(size.Workers), "--slots", fmt.Sprint(size.Slots)}
	s.all = append(s.all, &process{name: "standin", binary: currentBinary, args: args, url: s.standin + "/counts"})
}

// processArgs issues a certificate for an entry or agent, and returns the arguments that
// both have. public is the operator's public key.
func (s *site) processArgs(role link.Role, dataCentre, name, public string) []string {
	pem, key, err := s.authority.Issue(time.Now(), certificateValidity, link.NewPeer(role, dataCentre, name))
	s.must(err)
	s.must(os.WriteFile(s.path(name+".pem"), pem, fileMode))
	s.must(os.WriteFile(s.path(name+"-key.pem"), key, fileMode))
	return []string{
		string(role), "--name", name, "--data-centre", dataCentre, "--operators", operatorName + "=" + public, "--drain-after", drainAfter,
		"--certificate", s.path(name + ".pem"), "--key", s.path(name + "-key.pem"), "--authorities", s.path("authority.pem"),
	}
}

// addEntry adds entry i, which is not started yet.
func (s *site) addEntry(i int, dataCentre, public string) {
	name := fmt.Sprintf("entry-%d", i+1)
	callerAddress, peerAddress := s.freeAddress(), s.freeAddress()
	s.peers[dataCentre] = append(s.peers[dataCentre], peerAddress)
	args := append(s.processArgs(link.RoleEntry, dataCentre, name, public),
		"--open", "--log-url", s.standin+"/log", "--listen", callerAddress, "--peer-listen", peerAddress)
	p := &process{name: name, args: args, url: "http://" + callerAddress}
	s.entries = append(s.entries, p)
	s.all = append(s.all, p)
}

// addAgent adds agent i, which is not started yet and sends heartbeats to the entries of
// its data centre.
func (s *site) addAgent(i int, dataCentre, public string) {
	name := fmt.Sprintf("worker-%d", i+1)
	adminAddress := s.freeAddress()
	args := append(s.processArgs(link.RoleAgent, dataCentre, name, public),
		"--service", s.document.Services[0].Name, "--rack", fmt.Sprintf("rack-%d", i/workersPerRack+1),
		"--listen", s.freeAddress(), "--admin-listen", adminAddress, "--heartbeat-every", heartbeatEvery,
		"--runner-url", fmt.Sprintf("%s/runners/%d", s.standin, i+1),
		"--worker-url", fmt.Sprintf("%s/workers/%d", s.standin, i+1),
		"--entries", strings.Join(s.peers[dataCentre], ","))
	p := &process{name: name, args: args, url: "http://" + adminAddress}
	s.agents = append(s.agents, p)
	s.all = append(s.all, p)
}

func (s *site) entryURLs() string {
	var out []string
	for _, p := range s.entries {
		out = append(out, p.url)
	}
	return strings.Join(out, ",")
}

func (s *site) processByName(name string) *process {
	for _, p := range s.all {
		if p.name == name {
			return p
		}
	}
	s.t.Fatalf("no process has the name %q", name)
	return nil
}

// start starts a process, whose output is appended to its log file.
func (s *site) start(p *process) {
	f, err := os.OpenFile(s.path(p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	s.must(err)
	p.cmd = exec.Command(cmp.Or(p.binary, s.binary), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	s.must(p.cmd.Start())
	s.must(f.Close())
}

// wait waits until a process that was told to end has ended, and adds the processor time
// that it used to cpuTime.
func (p *process) wait() error {
	err := p.cmd.Wait()
	p.cpuTime += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	p.cmd = nil
	return err
}

// stop ends a process by SIGTERM and checks that it exits with code 0.
func (s *site) stop(p *process) {
	s.must(p.cmd.Process.Signal(syscall.SIGTERM))
	if err := p.wait(); err != nil {
		s.t.Errorf("%s after SIGTERM: got %v, want a clean exit", p.name, err)
	}
}

// stopAll kills the processes that still run. If the test has failed, stopAll copies the
// logs of all processes to out/logs.
func (s *site) stopAll() {
	for _, p := range s.all {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.wait()
		}
	}
	if s.t.Failed() {
		logFolder := filepath.Join("..", "out", "logs", filepath.Base(s.t.Name()))
		_ = os.RemoveAll(logFolder)
		_ = os.CopyFS(logFolder, os.DirFS(s.folder))
		s.t.Logf("logs of the processes are in %s", logFolder)
	}
}

func (s *site) awaitReady(p *process) {
	s.t.Helper()
	s.eventually(p.name+" ready", func() bool { return isOK(p.url + "/readyz") })
}

func isOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until fn returns true, and fails the test after readyTimeout. condition
// describes what fn checks.
func (s *site) eventually(condition string, fn func() bool) {
	s.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if fn() {
			return
		}
	}
	s.t.Fatalf("%s: not true within %s", condition, readyTimeout)
}

// signBundle returns the document as a bundle with the operator's signature.
func (s *site) signBundle(d *bundle.Document) *bundle.Signed {
	content, err := bundle.Format(d)
	s.must(err)
	signed := bundle.NewSigned(content)
	signed.Sign(operatorName, s.key)
	return signed
}

// publish sends a signed bundle to an entry and returns the status code of the
// response, or 0 if there is none.
func (s *site) publish(entry *process, signed *bundle.Signed) int {
	data, err := signed.Encode()
	s.must(err)
	resp, err := http.Post(entry.url+"/bundles", "application/cbor", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// publishFirst publishes the site's first bundle, repeatedly until an entry accepts it.
func (s *site) publishFirst() {
	signed := s.signBundle(s.document)
	s.eventually("first bundle in force", func() bool { return s.publish(s.entries[0], signed) == http.StatusOK })
}
