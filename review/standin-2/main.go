//go:build review

// Command standin-2 plays the script cases of the second review. It is the platform's store, the runners and the callers
// of a small deployment on loopback addresses; run.sh of a case starts the entries and agents beside it.
//
//	standin-2 removal DIR RECORD
//
// It writes a settings file for each process to DIR, then the file DIR/ready, and plays the case once all entries are
// ready. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/platform/standin"
)

const (
	portFront, portReady, portControl, portApp, portPeers = 21481, 21482, 21483, 21484, 21485
	entryCount, runnerCount                               = 3, 7
	exitHeld, exitBroken, exitNotPlayed                   = 0, 1, 2
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
	// starts counts the starts by task.
	starts map[string]int
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) started(task string, run uint64, instance string) {
	r.note("run %s %d started at %s", task, run, instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
}

type stage struct {
	record  *record
	store   standin.Store
	runners []*runner
	entries []string
	client  http.Client
	group   sync.WaitGroup
}

func main() {
	if len(os.Args) != 4 || os.Args[1] != "removal" {
		fmt.Fprintln(os.Stderr, "usage: standin-2 removal DIR RECORD")
		os.Exit(exitNotPlayed)
	}
	status, err := play(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

func play(dir, recordPath string) (int, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return exitNotPlayed, err
	}
	defer func() { _ = file.Close() }()
	s := &stage{record: &record{file: file, began: time.Now(), starts: make(map[string]int)}, client: http.Client{Timeout: 3 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := s.prepare(ctx, dir); err != nil {
		return exitNotPlayed, err
	}
	if err := s.awaitReady(); err != nil {
		return exitNotPlayed, err
	}
	return s.removal(dir, os.Getenv("TROUBLE") != "0")
}

// prepare starts the store and the runners, and writes the settings of entries and agents.
func (s *stage) prepare(ctx context.Context, dir string) error {
	network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%200)
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", network+".250:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &s.store, ReadHeaderTimeout: time.Minute}
	s.group.Go(func() { _ = server.Serve(ln) }) // it ends with this process
	s.store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"q1","host":"lasts.example","path-prefix":"/q/","service":"lastbench","timeout-ms":3000,
	 "target-latency-ms":2500,"max-attempts":3,"stretch":2.2,"priority":0}],"services":[{"name":"lastbench","rejects-overload":true}],"limits":{"max-body-bytes":262144}}`))
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, 1+i, portControl))
		s.entries = append(s.entries, fmt.Sprintf("%s.%d", network, 1+i))
	}
	for i := range entryCount {
		if err := writeSettings(dir, fmt.Sprintf("entry-%d", i), s.entries[i], "front", ln.Addr().String(), seeds, 0.4, 284); err != nil {
			return err
		}
	}
	for i := range runnerCount {
		r := &runner{name: fmt.Sprintf("w%d", i), ip: fmt.Sprintf("%s.%d", network, 101+i), appPort: portApp, controlPort: portControl, record: s.record}
		if err := r.begin(&s.group); err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		s.group.Go(func() { r.drive(ctx) })
		if err := writeSettings(dir, fmt.Sprintf("agent-%d", i), r.ip, "side", ln.Addr().String(), seeds, 0.24, 152); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "ready"), nil, 0o600)
}

func writeSettings(dir, name, ip, class, store string, seeds []string, share float64, memoryMB int) error {
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	data, err := json.MarshalIndent(map[string]any{
		"node-name": name, "role": class, "machine-class": class, "ip": ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":     map[string]string{"front": at(portFront), "ready": at(portReady), "control": at(portControl)},
		"port-range": []int{portPeers, portPeers + 1}, "seeds": seeds, "bootstrap": true, "app": at(portApp), "orders": "rpc", "heartbeat-ms": 1100,
		"limits": map[string]any{"cpu-share": share, "cores": 1, "memory-mb": memoryMB, "max-fds": 4096, "link-mbps": 1000},
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000, "recovery-s": 12, "max-hold-ms": maxLeaseMS, "stop-grace-ms": 400,
			"gang-wait-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "spread-factor": 1.5,
		},
		"platform": map[string]any{"address": store, "form": "log", "record-bytes": 262144, "request-bytes": 2097152},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".json"), data, 0o600)
}

// awaitReady waits until all entries answer readiness checks with 200.
func (s *stage) awaitReady() error {
	for range 100 {
		ready := 0
		for _, ip := range s.entries {
			if response, err := s.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", ip, portReady)); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entries were not ready within 10 s")
}

// call sends a caller's request and returns the status, 0 without an answer, and the phase.
func (s *stage) call(method, id, body string) (int, string) {
	entry := s.entries[rand.IntN(len(s.entries))]
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/q/%s", entry, portFront, id), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "lasts.example"
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Phase string `json:"phase"`
	}
	_ = json.NewDecoder(response.Body).Decode(&state) // without a phase, only the status counts
	return response.StatusCode, state.Phase
}
