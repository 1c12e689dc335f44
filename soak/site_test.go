package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	product "savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/platform/standin"
)

// Ports of every machine; machines differ by their loopback address.
const (
	portFront, portReady, portControl, portApp, portPeers = 19481, 19482, 19483, 19484, 19485
	entryCount, runnerCount                               = 3, 3
)

// machine is one process of the system on an address of its own.
type machine struct {
	role, name, ip string
	boot           string
	log            *os.File
	proxy          *proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

// site is a small deployment.
type site struct {
	program  string
	dir      string
	store    standin.Store
	history  product.History
	runners  []*standin.Runner
	machines []*machine
	entries  []string
	client   http.Client
	group    sync.WaitGroup
	live     context.Context
}

func serve(t *testing.T, address string, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close(); <-done })
	return ln.Addr().String()
}

func newSite(t *testing.T, program string, seed uint64) *site {
	t.Helper()
	live, cancel := context.WithCancel(context.Background())
	s := &site{program: program, dir: t.TempDir(), live: live, client: http.Client{Timeout: 4 * time.Second}}
	s.client.Transport = &http.Transport{DisableKeepAlives: true}
	storeAt := serve(t, "127.0.0.1:0", &s.store)
	s.store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r","host":"soak","path-prefix":"/q/","service":"bench","timeout-ms":3000,
	 "target-latency-ms":300,"max-attempts":4,"stretch":2}],"services":[{"name":"bench"}],"limits":{"max-body-bytes":262144}}`))
	// Two soaks may run on one machine: the process and the seed make the addresses.
	network := fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, seed%200)
	for i := range entryCount {
		s.add(t, "entry", fmt.Sprintf("entry-%d", i), fmt.Sprintf("%s.%d", network, 1+i), storeAt)
	}
	for i := range runnerCount {
		ip := fmt.Sprintf("%s.%d", network, 101+i)
		r := newRunner(fmt.Sprintf("worker-%d", i), &s.history)
		r.Begin(clock.Steady())
		s.runners = append(s.runners, r)
		serve(t, fmt.Sprintf("%s:%d", ip, portApp), r)
		s.add(t, "agent", r.Name, ip, storeAt)
		s.group.Go(func() { s.beat(r, ip) })
	}
	t.Cleanup(func() {
		for _, m := range s.machines {
			m.kill()
		}
		cancel()
		s.group.Wait()
	})
	for _, m := range s.machines {
		m.start(t, s)
		if m.role == "entry" {
			s.entries = append(s.entries, fmt.Sprintf("%s:%d", m.ip, portFront))
		}
	}
	return s
}

func (s *site) add(t *testing.T, role, name, ip, storeAt string) {
	t.Helper()
	m := &machine{role: role, name: name, ip: ip, boot: filepath.Join(s.dir, name+".json"), proxy: newProxy(t, storeAt)}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", ip[:strings.LastIndexByte(ip, '.')], 1+i, portControl))
	}
	data, err := json.Marshal(map[string]any{
		"node-name": name, "ip": ip, "zone": "a", "port-range": []int{portPeers, portPeers + 1}, "seeds": seeds, "app": at(portApp),
		"listen":   map[string]string{"front": at(portFront), "ready": at(portReady), "control": at(portControl)},
		"bounds":   map[string]any{"status_s": 120, "spread-factor": 1.5, "grace-s": 6},
		"platform": map[string]string{"address": m.proxy.address, "form": "log"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(m.boot, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if m.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	s.machines = append(s.machines, m)
}

// start keeps a machine's process running until the site ends.
func (m *machine) start(t *testing.T, s *site) {
	t.Helper()
	s.group.Go(func() {
		for s.live.Err() == nil {
			cmd := exec.Command(s.program, "platform", m.role)
			cmd.Env = []string{"SAVORYHOIST_BOOT=" + m.boot, "PATH=" + os.Getenv("PATH")}
			cmd.Stdout, cmd.Stderr = m.log, m.log
			m.mu.Lock()
			err := error(nil)
			if s.live.Err() == nil && !m.stopped {
				err = cmd.Start()
				m.cmd = cmd
			}
			m.mu.Unlock()
			if cmd.Process == nil || err != nil {
				return
			}
			_ = cmd.Wait() // how a process that is killed ends says nothing
			time.Sleep(200 * time.Millisecond)
		}
	})
}

func (m *machine) signal(sig os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(sig) // it may have ended already
	}
}

// kill ends the process for good.
func (m *machine) kill() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
}

// fault injects one fault and returns what it was.
func (s *site) fault(random *rand.Rand) string {
	m := s.machines[random.IntN(len(s.machines))]
	span := time.Duration(200+random.IntN(2500)) * time.Millisecond
	later := func(fn func()) {
		s.group.Go(func() {
			select {
			case <-time.After(span):
			case <-s.live.Done():
			}
			fn()
		})
	}
	switch random.IntN(8) {
	case 0:
		m.signal(syscall.SIGKILL)
		return "kill " + m.name
	case 1:
		m.signal(syscall.SIGTERM)
		return "stop " + m.name
	case 2:
		m.signal(syscall.SIGSTOP)
		later(func() { m.signal(syscall.SIGCONT) })
		return fmt.Sprintf("freeze %s for %v", m.name, span)
	case 3:
		s.store.Fail(standin.Busy)
		later(func() { s.store.Fail(standin.Serving) })
		return fmt.Sprintf("store busy for %v", span)
	case 4:
		s.store.Fail(standin.Losing)
		later(func() { s.store.Fail(standin.Serving) })
		return fmt.Sprintf("store loses answers for %v", span)
	case 5:
		m.proxy.set(cutOff)
		later(func() { m.proxy.set(passing) })
		return fmt.Sprintf("%s cut off from the store for %v", m.name, span)
	case 6:
		m.proxy.set(silent)
		later(func() { m.proxy.set(passing) })
		return fmt.Sprintf("%s silent to the store for %v", m.name, span)
	default:
		r := s.runners[random.IntN(len(s.runners))]
		r.Begin(clock.Steady())
		return "restart the runner of " + r.Name
	}
}

// heal ends all faults.
func (s *site) heal() {
	s.store.Fail(standin.Serving)
	for _, m := range s.machines {
		m.proxy.set(passing)
		m.signal(syscall.SIGCONT)
	}
}

// beat sends a runner's heartbeats and lets its tasks go on.
func (s *site) beat(r *standin.Runner, ip string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; s.live.Err() == nil; n++ {
		r.Step(clock.Steady())
		if n%25 == 0 {
			body, _ := json.Marshal(map[string]any{
				"service": "bench", "phase": "ready", "seq": n + 1, "born": r.Born(), "labels": []string{"a", "r1-1"},
				"capacity": map[string]int{"cpu": 8000, "mem-mb": 32000},
			})
			url := fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", ip, portControl, r.Name)
			if answer, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
				_ = answer.Body.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a caller's request and returns its status, 0 without an answer, and the job's phase.
func (s *site) call(ctx context.Context, method, entry, id, body string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "soak"
	r.Header.Set("Deadline-Ms", "1500")
	answer, err := s.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	var state struct {
		Phase string `json:"phase"`
	}
	data, err := io.ReadAll(answer.Body)
	if err != nil || json.Unmarshal(data, &state) != nil {
		return 0, ""
	}
	return answer.StatusCode, state.Phase
}

// awaitReady waits until a first job has been completed.
func (s *site) awaitReady(ctx context.Context, t *testing.T) {
	t.Helper()
	id := "ffffffffffffffff"
	body := `{"task-spec":"x","steps":[{"count":1,"cpu":500}]}`
	for ctx.Err() == nil {
		s.call(ctx, http.MethodPost, s.entries[0], id, body)
		if _, phase := s.call(ctx, http.MethodGet, s.entries[0], id, ""); phase == "completed" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the system does not get ready")
}

// keepLogs copies the logs of a failed seed to where they outlive the test.
func (s *site) keepLogs(t *testing.T, seed uint64) {
	t.Helper()
	dir := filepath.Join("..", "out", "soak", fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Error(err)
		return
	}
	for _, m := range s.machines {
		data, err := os.ReadFile(m.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, m.name+".log"), data, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	t.Logf("logs are in %s", dir)
}

// newRunner returns a runner whose tasks take a moment.
func newRunner(name string, history *product.History) *standin.Runner {
	return &standin.Runner{TaskRunner: product.TaskRunner{Name: name, Work: 150 * time.Millisecond, History: history}}
}
