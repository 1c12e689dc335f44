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

// Ports of every process: an entry serves callers on portFront and readiness checks on
// portReady; an agent receives its runner's heartbeats on portControl, and its runner
// listens on portApp. portPeers is the first of the two ports for peers and metrics. A
// process reaches the store through portStore, and peers reach an entry through a proxy
// on portPeers, behind which the entry listens on portBehind. Processes differ by their
// loopback address.
const (
	portFront, portReady, portControl, portApp, portPeers, portStore, portBehind = 19481, 19482, 19483, 19484, 19485, 19487, 19488
	entryCount                                                                   = 3
)

// shape is the size of a deployment. Entries and runners are spread over the data centres.
type shape struct {
	runners  int
	milliCPU int64
	zones    []string
}

var (
	smallShape = shape{3, runnerMilliCPU, []string{"a"}}
	siteShape  = shape{11, 2000, []string{"a", "b", "c"}}
)

// machine is one process of the system with a loopback address of its own. The process
// is started again whenever it ends, until the machine is stopped. It reaches the store
// through one proxy, and peers reach an entry through the other.
type machine struct {
	role, name, ip, zone string
	configFile           string
	log                  *os.File
	store, peers         *proxy
	// cutOff holds when an entry reached neither the store nor other entries, and the time after that in which it need not
	// know what they do.
	cutOff disruptions

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

// deployment is a small deployment of the real programs and the stand-ins of the
// platform. entries holds the addresses at which entries serve callers. running ends with
// the test.
type deployment struct {
	program  string
	dir      string
	store    standin.Store
	history  product.History
	tasks    taskSite
	runners  []*standin.Runner
	hosts    []*runnerHost
	machines []*machine
	entries  []string
	client   http.Client
	faults   faultLog
	group    sync.WaitGroup
	running  context.Context
}

// serve serves HTTP at an address until the test ends, and returns the address with the
// port that was chosen.
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

// newDeployment starts the stand-ins and the processes of a deployment.
func newDeployment(t *testing.T, program string, seed uint64, size shape) *deployment {
	t.Helper()
	running, cancel := context.WithCancel(context.Background())
	d := &deployment{program: program, dir: t.TempDir(), running: running, client: http.Client{Timeout: 4 * time.Second}}
	d.client.Transport = &http.Transport{DisableKeepAlives: true}
	storeAddress := serve(t, "127.0.0.1:0", &d.store)
	d.store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r","host":"soak","path-prefix":"/q/","service":"bench","timeout-ms":3000,
	 "target-latency-ms":300,"max-attempts":4,"stretch":2}],"services":[{"name":"bench"}],"limits":{"max-body-bytes":262144}}`))
	// Two soak tests may run on one machine, so addresses depend on process and seed.
	network := fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, seed%200)
	for i := range entryCount {
		d.add(t, "entry", fmt.Sprintf("entry-%d", i), fmt.Sprintf("%s.%d", network, 1+i), size.zones[i%len(size.zones)], storeAddress)
	}
	for i := range size.runners {
		r := newRunner(fmt.Sprintf("worker-%d", i), &d.history)
		d.tasks.equip(r)
		r.MilliCPU = size.milliCPU
		h := newRunnerHost(t, r, fmt.Sprintf("%s.%d", network, 101+i))
		d.hosts, d.runners = append(d.hosts, h), append(d.runners, h.runner)
		d.add(t, "agent", h.runner.Name, h.ip, size.zones[i%len(size.zones)], storeAddress)
		d.group.Go(func() { d.driveRunner(h) })
	}
	t.Cleanup(func() {
		for _, m := range d.machines {
			m.kill()
		}
		cancel()
		d.group.Wait()
	})
	for _, m := range d.machines {
		m.keepRunning(t, d)
		if m.role == "entry" {
			d.entries = append(d.entries, fmt.Sprintf("%s:%d", m.ip, portFront))
		}
	}
	return d
}

// add writes the configuration of a machine and adds it without starting it.
func (d *deployment) add(t *testing.T, role, name, ip, zone, storeAddress string) {
	t.Helper()
	addressAt := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{role: role, name: name, ip: ip, zone: zone, configFile: filepath.Join(d.dir, name+".json"), store: newProxy(t, addressAt(portStore), storeAddress)}
	if !m.store.listen() {
		t.Fatalf("nothing listens at %s", m.store.address)
	}
	if role == "entry" {
		m.peers = newProxy(t, addressAt(portPeers), addressAt(portBehind))
		m.peers.readsHello = true
	}
	var seedAddresses []string
	for i := range entryCount {
		seedAddresses = append(seedAddresses, fmt.Sprintf("%s.%d:%d", ip[:strings.LastIndexByte(ip, '.')], 1+i, portControl))
	}
	data, err := json.Marshal(map[string]any{
		"node-name": name, "ip": ip, "zone": zone, "port-range": []int{portPeers, portPeers + 1}, "seeds": seedAddresses, "app": addressAt(portApp),
		"listen":   map[string]string{"front": addressAt(portFront), "ready": addressAt(portReady), "control": addressAt(portControl), "peers": addressAt(portBehind)},
		"bounds":   map[string]any{"status_s": 120, "spread-factor": 1.5, "grace-s": 6},
		"platform": map[string]string{"address": m.store.address, "form": "log"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(m.configFile, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if m.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	d.machines = append(d.machines, m)
}

// keepRunning starts the machine's process, and again whenever it ends, until the
// deployment ends.
func (m *machine) keepRunning(t *testing.T, d *deployment) {
	t.Helper()
	d.group.Go(func() {
		for d.running.Err() == nil {
			cmd := exec.Command(d.program, "platform", m.role)
			cmd.Env = []string{"SAVORYHOIST_BOOT=" + m.configFile, "PATH=" + os.Getenv("PATH")}
			cmd.Stdout, cmd.Stderr = m.log, m.log
			m.mu.Lock()
			err := error(nil)
			if d.running.Err() == nil && !m.stopped {
				err = cmd.Start()
				m.cmd = cmd
			}
			m.mu.Unlock()
			if cmd.Process == nil || err != nil {
				return
			}
			var listening sync.WaitGroup
			ended := make(chan struct{})
			listening.Go(func() { m.listenForPeers(ended) })
			_ = cmd.Wait() // processes are killed, so the exit status says nothing
			close(ended)
			listening.Wait()
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// listenForPeers has the proxy in front of an entry listen while the entry's process does.
func (m *machine) listenForPeers(ended <-chan struct{}) {
	for listening := m.peers == nil; !listening; {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", m.peers.target, time.Second)
		if err == nil {
			_ = c.Close()
			listening = m.peers.listen()
		}
	}
	if <-ended; m.peers != nil {
		m.peers.unlisten()
	}
}

func (m *machine) signal(sig os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(sig) // the process may have ended already
	}
}

// kill kills the machine's process for good.
func (m *machine) kill() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
}

// agents returns the machines of the agents, in the order of their runners.
func (d *deployment) agents() []*machine { return d.machines[entryCount:] }

// injectFault injects one fault and returns a description of it.
func (d *deployment) injectFault(random *rand.Rand) string {
	m := d.machines[random.IntN(len(d.machines))]
	duration := time.Duration(200+random.IntN(2500)) * time.Millisecond
	afterDuration := func(fn func()) {
		d.group.Go(func() {
			d.pause(duration)
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
		afterDuration(func() { m.signal(syscall.SIGCONT) })
		return fmt.Sprintf("freeze %s for %v", m.name, duration)
	case 3:
		d.store.SetOutage(standin.Busy)
		afterDuration(func() { d.store.SetOutage(standin.NoOutage) })
		return fmt.Sprintf("store busy for %v", duration)
	case 4:
		d.store.SetOutage(standin.LosingReplies)
		afterDuration(func() { d.store.SetOutage(standin.NoOutage) })
		return fmt.Sprintf("store loses responses for %v", duration)
	case 5:
		afterDuration(m.store.impose("", linkReset))
		return fmt.Sprintf("%s cut off from the store for %v", m.name, duration)
	case 6:
		afterDuration(m.store.impose("", linkHeld))
		return fmt.Sprintf("calls of %s to the store hang for %v", m.name, duration)
	default:
		r := d.runners[random.IntN(len(d.runners))]
		if r.Away() {
			return r.Name + " is away"
		}
		r.Restart(clock.Steady())
		return "restart the runner of " + r.Name
	}
}

// endFaults ends all faults that last for a while.
func (d *deployment) endFaults() {
	d.store.SetOutage(standin.NoOutage)
	for _, m := range d.machines {
		m.store.liftAll()
		m.signal(syscall.SIGCONT)
	}
}

// driveRunner sends a runner's heartbeats to its agent, every 25 steps of 20 ms while the runner is there, and ends
// the runs that are due at every step.
func (d *deployment) driveRunner(h *runnerHost) {
	r := h.runner
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for step := 0; d.running.Err() == nil; step++ {
		r.EndDueRuns(clock.Steady())
		if phase := h.currentPhase(); step%25 == 0 && phase != "" {
			body, _ := json.Marshal(map[string]any{
				"service": "bench", "phase": phase, "seq": step + 1, "born": r.StartedAtMS(), "labels": []string{"a", "r1-1"},
				"capacity": map[string]int64{"cpu": r.MilliCPU, "mem-mb": r.MemoryMB},
			})
			url := fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", h.ip, portControl, r.Name)
			if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a caller's request about a job to an entry. It returns the status of the
// response, or 0 if there is none, and the job's phase.
func (d *deployment) call(ctx context.Context, method, entry, id, body string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "soak"
	r.Header.Set("Deadline-Ms", "1500")
	response, err := d.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Phase string `json:"phase"`
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(data, &state) != nil {
		return 0, ""
	}
	return response.StatusCode, state.Phase
}

// awaitReady waits until a first job is completed.
func (d *deployment) awaitReady(ctx context.Context, t *testing.T) {
	t.Helper()
	id := "ffffffffffffffff"
	body := `{"task-spec":"x","steps":[{"count":1,"cpu":500}]}`
	for ctx.Err() == nil {
		d.call(ctx, http.MethodPost, d.entries[0], id, body)
		if _, phase := d.call(ctx, http.MethodGet, d.entries[0], id, ""); phase == "completed" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the first job was not completed: the deployment is not ready")
}

// keepLogs copies the logs of a failed seed to out/soak, where they outlive the test.
func (d *deployment) keepLogs(t *testing.T, seed uint64) {
	t.Helper()
	dir := filepath.Join("..", "out", "soak", fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Error(err)
		return
	}
	for _, m := range d.machines {
		data, err := os.ReadFile(m.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, m.name+".log"), data, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "faults.log"), []byte(d.faults.String()), 0o600); err != nil {
		t.Error(err)
	}
	t.Logf("logs are in %s", dir)
}

// newRunner returns a runner whose tasks run for 150 ms.
func newRunner(name string, history *product.History) *standin.Runner {
	return &standin.Runner{TaskRunner: product.TaskRunner{Name: name, TaskDuration: 150 * time.Millisecond, History: history}}
}
