//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/platform/standin"
)

const (
	entryCount, runnerCount = 3, 8
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// maxRecordBytes and maxRequestBytes are the limits of the store for a record and for one call.
	maxRecordBytes, maxRequestBytes = 262144, 2097152
	// caseLimit bounds a case, readyLimit the start of the programs.
	caseLimit  = 114 * time.Second
	readyLimit = 25 * time.Second
	// callLimit is the deadline of a client's request.
	callLimit = 3 * time.Second
	// watchEvery is the time between two looks at what happens.
	watchEvery = 20 * time.Millisecond
	host       = "clinic.example"
	// firstJob is the job that shows that the deployment is ready.
	firstJob = "ffffffffffffffff"
	// defaultStatus and shortStatus are how long the phase of an ended job can be queried, in seconds: as on the pages,
	// and as short as a script that waits for it needs.
	defaultStatus, shortStatus = 120, 90
)

var (
	errNotReady  = errors.New("the deployment did not become ready")
	errOutOfTime = errors.New("the case took too long")
)

// line is a line of the record.
type line struct {
	atMS int64
	text string
}

// stage is a small deployment: the programs run as processes that the script starts, everything else is played here.
type stage struct {
	dir     string
	network string
	trouble bool
	store   standin.Store
	client  http.Client
	ctx     context.Context //nolint:containedctx // ends with the case

	// statusSeconds is how long the phase of an ended job can be queried.
	statusSeconds int
	// intakeDown is set while the store refuses appends to the topic of hand-ins and cancellations.
	intakeDown atomic.Bool
	// refused counts appends that exceed the limits of the store.
	refused atomic.Int64

	mu    sync.Mutex
	lines []line
}

// route is one route of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path-prefix"`
	Service  string  `json:"service"`
	Timeout  int     `json:"timeout-ms"`
	Target   int     `json:"target-latency-ms"`
	Priority int     `json:"priority"`
	Attempts int     `json:"max-attempts"`
	Stretch  float64 `json:"stretch"`
}

// queueRoute returns a route with the name and prefix of a queue.
func queueRoute(name, prefix string) route {
	return route{Name: name, Host: host, Prefix: prefix, Service: "lastbench", Timeout: 3000, Target: 2500, Attempts: 3, Stretch: 2.2}
}

// runStage plays a case and returns its exit status.
func runStage(name, dir, recordFile string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	s := &stage{dir: dir, ctx: ctx, statusSeconds: defaultStatus, trouble: os.Getenv("TROUBLE") != "0", client: http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}}
	if name == "expiry" {
		s.statusSeconds = shortStatus
	}
	s.notef("case %s, disruption: %v", name, s.trouble)
	broken, err := s.play(play)
	status := exitHeld
	switch {
	case err != nil:
		s.notef("the case could not run: %v", err)
		status = exitNotRun
	case broken:
		s.notef("the rule was broken")
		status = exitBroken
	default:
		s.notef("the rule held")
	}
	if err := s.writeRecord(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return status
}

// play starts the deployment and plays a case on it.
func (s *stage) play(play func(*stage) (bool, error)) (bool, error) {
	if err := s.setUp(); err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	broken, err := play(s)
	if err == nil && s.ctx.Err() != nil {
		err = errOutOfTime
	}
	return broken, err
}

// notef adds a line to the record.
func (s *stage) notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, line{clock.WallMS(), fmt.Sprintf(format, args...)})
}

// writeRecord writes what was sent, answered and run, by time.
func (s *stage) writeRecord(file string) error {
	s.mu.Lock()
	lines := append([]line(nil), s.lines...)
	s.mu.Unlock()
	for _, e := range s.runEvents() {
		text := fmt.Sprintf("runner %s: %s", e.Runner, e.Event)
		if e.Task != "" {
			text += fmt.Sprintf(" %s run %d %s", e.Task, e.Run, e.How)
		}
		if e.Event == "up" {
			text += fmt.Sprintf(", born %d", e.Born)
		}
		lines = append(lines, line{e.AtMS, text})
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].atMS < lines[j].atMS })
	var out strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&out, "%8.3f s  %s\n", float64(l.atMS-lines[0].atMS)/1000, strings.TrimSpace(l.text))
	}
	return os.WriteFile(file, []byte(out.String()), 0o644)
}

// ip returns the loopback address of an entry, or of a runner and its agent.
func (s *stage) ip(role string, i int) string {
	if role == "entry" {
		return fmt.Sprintf("%s.%d", s.network, 1+i)
	}
	return fmt.Sprintf("%s.%d", s.network, 101+i)
}

// entryAddress returns the address at which an entry serves clients.
func (s *stage) entryAddress(i int) string { return fmt.Sprintf("%s:%d", s.ip("entry", i), portFront) }

// setUp chooses free addresses, starts the store, and writes the settings and the list of programs for the script.
func (s *stage) setUp() error {
	if err := s.chooseNetwork(); err != nil {
		return err
	}
	ln, err := new(net.ListenConfig).Listen(s.ctx, "tcp", s.network+".250:0")
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.WaitForWake(r.Context(), nil, storeDelay)
		if !withinLimits(r) {
			if s.refused.Add(1) == 1 {
				s.notef("store: refuses an append with a record over %d bytes", maxRecordBytes)
			}
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if s.intakeDown.Load() && r.Method == http.MethodPost && r.URL.Query().Get("topic") == "keyed.intake" {
			s.notef("store: 503 to an append to keyed.intake")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.ServeHTTP(w, r)
	})}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ln) }) // ends with the process
	s.configure(1, queueRoute("r-main", "/main/"))
	var programs strings.Builder
	for i := range entryCount {
		name := fmt.Sprintf("front-%d", i+1)
		if err := s.writeSettings(name, s.ip("entry", i), ln.Addr().String(), "front"); err != nil {
			return err
		}
		fmt.Fprintf(&programs, "entry %s\n", name)
	}
	for i := range runnerCount {
		name := fmt.Sprintf("side-%d", i+1)
		if err := s.writeSettings(name, s.ip("agent", i), ln.Addr().String(), "side"); err != nil {
			return err
		}
		err := writeJSONFile(filepath.Join(s.dir, runnerName(i)+".json"), runnerSettings{
			Name: runnerName(i), IP: s.ip("agent", i), Service: "lastbench", Rack: fmt.Sprintf("r1-%d", i/3+1),
			Log: s.runLog(), ClockFile: filepath.Join(s.dir, runnerName(i)+".clock"), ShedFile: filepath.Join(s.dir, runnerName(i)+".shed"),
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(&programs, "runner %s\nagent %s\n", runnerName(i), name)
	}
	temporary := filepath.Join(s.dir, "programs.new")
	if err := os.WriteFile(temporary, []byte(programs.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(s.dir, "programs")) // the script waits for this file
}

// withinLimits reports whether the records of an append keep to the limits of the store.
func withinLimits(r *http.Request) bool {
	if r.Method != http.MethodPost {
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) > maxRequestBytes {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > maxRecordBytes || size > len(body)-4 {
			return false
		}
		body = body[4+size:]
	}
	return true
}

func runnerName(i int) string   { return fmt.Sprintf("runner-%d", i+1) }
func (s *stage) runLog() string { return filepath.Join(s.dir, "runs.log") }

// chooseNetwork chooses loopback addresses whose ports are all free.
func (s *stage) chooseNetwork() error {
	for n := range 200 {
		s.network = fmt.Sprintf("127.%d.%d", 40+n, 1+os.Getpid()%250)
		if s.networkFree() {
			return nil
		}
	}
	return errors.New("found no free loopback addresses")
}

func (s *stage) networkFree() bool {
	for port := portFront; port <= portMetrics; port++ {
		for i := range entryCount + runnerCount {
			ip := s.ip("entry", i)
			if i >= entryCount {
				ip = s.ip("agent", i-entryCount)
			}
			ln, err := new(net.ListenConfig).Listen(s.ctx, "tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of an entry or an agent, as the platform does.
func (s *stage) writeSettings(name, ip, store, class string) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip("entry", i), portControl))
	}
	settings := map[string]any{
		"node-name": name, "machine-class": class, "serves": []string{class}, "ip": ip, "zone": "a", "region": "north", "zones": map[string]string{"a": "north"},
		"listen":     map[string]string{"front": at(portFront), "ready": at(portReady), "control": at(portControl)},
		"port-range": []int{portPeers, portMetrics}, "seeds": seeds, "bootstrap": true,
		"limits":       map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"heartbeat-ms": 1100, "orders": "rpc",
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000, "max-hold-ms": 6000, "stop-grace-ms": 400,
			"cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": s.statusSeconds, "spread-factor": 1.5, "checkpoint-s": 1,
		},
		"platform": map[string]any{"address": store, "form": "log", "writes-per-s": 800, "reads-per-s": 2000, "keep_s": 300, "record-bytes": maxRecordBytes, "request-bytes": maxRequestBytes},
	}
	if class == "side" {
		settings["app"] = at(portApp)
	}
	return writeJSONFile(filepath.Join(s.dir, name+".json"), settings)
}

// configure has the operator write a version of the configuration. It is acknowledged when configure returns.
func (s *stage) configure(version int, routes ...route) {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "limits": map[string]int{"max-body-bytes": 262144},
		"services": []map[string]any{{"name": "lastbench", "health-path": "/health", "max-conns": 64, "rejects-overload": true}},
	})
	if err != nil {
		panic(err) // the types can always be encoded
	}
	s.store.Put("keyed.op", "config", data)
	names := make([]string, len(routes))
	for i := range routes {
		names[i] = routes[i].Name
	}
	s.notef("operator: version %d is acknowledged, routes %v", version, names)
}

// pause waits for d, and reports whether the case goes on.
func (s *stage) pause(d time.Duration) bool { return clock.WaitForWake(s.ctx, nil, d) }

// request sends a client's request to an entry, and returns the status of the answer, 0 if there is none, and the
// phase or the count of waiting jobs in it.
func (s *stage) request(method string, entry int, path, body string) (int, string) {
	r, err := http.NewRequestWithContext(s.ctx, method, "http://"+s.entryAddress(entry)+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callLimit.Milliseconds(), 10))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	s.notef("client: %s %s sent to front-%d", method, path, entry+1)
	response, err := s.client.Do(r)
	if err != nil {
		s.notef("client: %s %s has no answer of front-%d: %v", method, path, entry+1, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.notef("client: %s %s has a broken answer of front-%d: %v", method, path, entry+1, err)
		return 0, ""
	}
	var state struct {
		Phase   string `json:"phase"`
		Pending *int   `json:"pending"`
	}
	_ = json.Unmarshal(data, &state) // the answer may have no body
	s.notef("client: %s %s answered by front-%d with %d %s", method, path, entry+1, response.StatusCode, data)
	if state.Pending != nil {
		return response.StatusCode, strconv.Itoa(*state.Pending)
	}
	return response.StatusCode, state.Phase
}

// submit hands a job in until it is accepted, and reports whether it is.
func (s *stage) submit(entry int, path, body string) bool {
	for range 10 {
		if status, _ := s.request(http.MethodPost, entry, path, body); status == http.StatusOK {
			return true
		}
		if !s.pause(200 * time.Millisecond) {
			return false
		}
	}
	return false
}

// awaitReady waits until every entry answers and a first job is completed, and then for the span in which all
// machines get in touch.
func (s *stage) awaitReady() error {
	const path = "/main/" + firstJob
	began := clock.Steady()
	submitted := false
	for clock.Steady().Sub(began) < readyLimit {
		if !submitted {
			status, _ := s.request(http.MethodPost, 0, path, `{"task-spec":"work-ms=100","steps":[{"count":8,"cpu":500,"mem-mb":100,"est-runtime-ms":100}]}`)
			submitted = status == http.StatusOK
		}
		if submitted {
			all := true
			for i := range entryCount {
				_, phase := s.request(http.MethodGet, i, path, "")
				all = all && phase == "completed"
			}
			if all {
				s.notef("the deployment is ready")
				s.pause(4 * time.Second)
				return nil
			}
		}
		if !s.pause(300 * time.Millisecond) {
			break
		}
	}
	return errNotReady
}

// runEvent is something that a runner has noted.
type runEvent struct {
	AtMS   int64  `json:"at-ms"`
	Runner string `json:"runner"`
	Born   int64  `json:"born"`
	Event  string `json:"event"`
	Task   string `json:"task"`
	Run    uint64 `json:"run"`
	How    string `json:"how"`
}

// runEvents returns what the runners have noted so far.
func (s *stage) runEvents() []runEvent {
	data, err := os.ReadFile(s.runLog())
	if err != nil {
		return nil // no runner has started yet
	}
	var out []runEvent
	for l := range strings.Lines(string(data)) {
		var e runEvent
		if json.Unmarshal([]byte(l), &e) == nil {
			out = append(out, e)
		}
	}
	return out
}

// atWork returns the runs of a job that are in progress, by task, with the runner and the time of the start: started,
// and neither ended nor gone with their runner.
func (s *stage) atWork(job string) map[string]runEvent {
	out := make(map[string]runEvent)
	for _, e := range s.runEvents() {
		switch {
		case e.Event == "start" && strings.HasPrefix(e.Task, job+"."):
			out[e.Task] = e
		case e.Event == "end" && out[e.Task].Run == e.Run && out[e.Task].Runner == e.Runner:
			delete(out, e.Task)
		case e.Event == "up" || e.Event == "killed" || e.Event == "left":
			for task, started := range out {
				if started.Runner == e.Runner {
					delete(out, task)
				}
			}
		}
	}
	return out
}

// ends returns how many runs of a job have ended in the given way.
func (s *stage) ends(job, how string) int {
	n := 0
	for _, e := range s.runEvents() {
		if e.Event == "end" && e.How == how && strings.HasPrefix(e.Task, job+".") {
			n++
		}
	}
	return n
}

// signal sends a signal to a process that the script has started.
func (s *stage) signal(name string, sig syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(s.dir, name+".pid"))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return err
	}
	if err := syscall.Kill(pid, sig); err != nil {
		return err
	}
	s.notef("signal: %v to %s", sig, name)
	return nil
}

// crash kills a runner. The script starts it again after downFor.
func (s *stage) crash(runner string, downFor time.Duration) error {
	if err := os.WriteFile(filepath.Join(s.dir, runner+".down"), []byte(strconv.FormatFloat(downFor.Seconds(), 'f', 3, 64)), 0o600); err != nil {
		return err
	}
	if err := s.signal(runner, syscall.SIGKILL); err != nil {
		return err
	}
	data, err := json.Marshal(runEvent{AtMS: clock.WallMS(), Runner: runner, Event: "killed"})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(s.runLog(), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(append(data, '\n')); err != nil {
		return err
	}
	return f.Close()
}

// dispatcher returns the index of the entry that began the newest term, according to the logs of the entries.
func (s *stage) dispatcher() (int, error) {
	newest, index := uint64(0), -1
	for i := range entryCount {
		f, err := os.Open(filepath.Join(s.dir, fmt.Sprintf("front-%d.log", i+1)))
		if err != nil {
			return 0, err
		}
		scanner := bufio.NewScanner(f)
		for scanner.Scan() {
			var l struct {
				Message string `json:"message"`
				Term    uint64 `json:"term"`
			}
			if json.Unmarshal(scanner.Bytes(), &l) == nil && l.Message == "this entry is the dispatcher" && l.Term > newest {
				newest, index = l.Term, i
			}
		}
		_ = f.Close()
	}
	if index < 0 {
		return 0, errors.New("no entry is the dispatcher")
	}
	return index, nil
}
