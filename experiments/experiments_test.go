//go:build experiments

// Package experiments drives the experiments of this folder's data files
// against real processes: it starts and stops them, and runs the load tool.
package experiments

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/load"
)

// outFolder is the git-ignored folder of reports.
const outFolder = "../out/experiments"

// seedVariable names the environment variable with the seed; 1 if unset.
const seedVariable = "SEED"

// baselineVariable names the environment variable with the path of an earlier
// version of the program. Half of each experiment's load then goes, interleaved,
// to a second site of that version; its faults are the same, its processes get
// no signals.
const baselineVariable = "BASELINE"

// betweenRestarts is the pause after each process of a rolling restart.
const betweenRestarts = 300 * time.Millisecond

// conclusion is the JSON form of one experiment's result beside the load tool's own.
type conclusion struct {
	load.Result

	// EntryCPU and AgentCPU are shares of a core, the most of any process.
	EntryCPU float64 `json:"entry-cpu-share"`
	AgentCPU float64 `json:"agent-cpu-share"`
	// EntryMemory and AgentMemory are the most resident memory of any process.
	EntryMemory int64 `json:"entry-memory-mb"`
	AgentMemory int64 `json:"agent-memory-mb"`
	// BundleSpread is the longest time until a bundle was in force at every process.
	BundleSpread float64 `json:"bundle-spread-ms,omitempty"`
}

// summary is the last line of a run of all experiments.
type summary struct {
	Target      string   `json:"target"`
	Passed      bool     `json:"passed"`
	Seed        string   `json:"seed"`
	Experiments int      `json:"experiments"`
	Failed      []string `json:"failed"`
	Seconds     float64  `json:"seconds"`
}

func seed() string {
	if s := os.Getenv(seedVariable); s != "" {
		return s
	}
	return "1"
}

func TestExperiments(t *testing.T) {
	began := time.Now()
	binary := build(t)
	files, err := filepath.Glob("[0-9]*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("data files: got %d (%v), want some", len(files), err)
	}
	out := summary{Target: "experiments", Passed: true, Seed: seed(), Failed: []string{}}
	for _, file := range files {
		plan, err := load.ReadPlan(file)
		if err != nil {
			t.Fatal(err)
		}
		ok := t.Run(plan.Name, func(t *testing.T) {
			out.Experiments++
			runExperiment(t, binary, file, plan)
		})
		if !ok {
			out.Passed = false
			out.Failed = append(out.Failed, plan.Name)
		}
	}
	out.Seconds = time.Since(began).Seconds()
	writeJSON(t, filepath.Join(outFolder, "summary.json"), out)
}

func writeJSON(t *testing.T, path string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

func runExperiment(t *testing.T, binary, file string, plan *load.Plan) {
	t.Helper()
	s := startSite(t, binary, plan.Site)
	folder := filepath.Join(outFolder, plan.Name)
	args := []string{
		"load", file, "--entry-urls", s.entryURLs(), "--standin-url", s.standin, "--report", folder, "--seed", seed(),
	}
	if earlier := os.Getenv(baselineVariable); earlier != "" {
		baseline := startSite(t, earlier, plan.Site)
		args = append(args, "--baseline-entry-urls", baseline.entryURLs(), "--baseline-standin-url", baseline.standin)
	}
	before := sampleAll(s.all)
	tool := exec.Command(binary, args...)
	tool.Stderr = os.Stderr
	if err := tool.Start(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	out := conclusion{}
	var group sync.WaitGroup
	for _, signal := range plan.Signals {
		group.Go(func() { s.signal(began, signal) })
	}
	if plan.Restart {
		group.Go(func() { s.restartAll(began, plan.Duration) })
	}
	if plan.BundleRaces > 0 {
		group.Go(func() { out.BundleSpread = s.raceBundles(plan.BundleRaces) })
	}
	err := tool.Wait()
	group.Wait()
	if err != nil {
		t.Errorf("load tool: %v", err)
	}
	readResult(t, filepath.Join(folder, "result.json"), &out.Result)
	out.use(before, sampleAll(s.all), time.Since(began))
	writeJSON(t, filepath.Join(folder, "conclusion.json"), out)
	for _, v := range out.Violations {
		t.Error(v)
	}
	report(out)
}

func readResult(t *testing.T, path string, out *load.Result) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// report prints one line of figures.
func report(c conclusion) {
	for i := range c.Requests {
		c.Requests[i].Quantiles, c.Requests[i].Series = nil, nil
	}
	line, _ := json.Marshal(c)
	fmt.Println(string(line))
}

// signal sends a signal to a process at its moment and brings the process back.
func (s *site) signal(began time.Time, signal load.Signal) {
	p := s.find(signal.Process)
	time.Sleep(time.Until(began.Add(signal.At)))
	switch signal.Send {
	case "pause":
		s.check(p.cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(signal.Back)
		s.check(p.cmd.Process.Signal(syscall.SIGCONT))
	case "kill":
		s.check(p.cmd.Process.Kill())
		_ = p.end()
		time.Sleep(signal.Back)
		s.start(p)
	case "term":
		s.stop(p)
		time.Sleep(signal.Back)
		s.start(p)
	}
}

// check notes an error; it is called beside the test's goroutine.
func (s *site) check(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// restartAll stops and starts every entry and agent in turn; load must go on meanwhile.
func (s *site) restartAll(began time.Time, length time.Duration) {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		time.Sleep(betweenRestarts)
		s.stop(p)
		s.start(p)
		for !isOK(p.url+"/readyz") && time.Since(began) < length {
			time.Sleep(readyPoll)
		}
	}
	if took := time.Since(began); took > length {
		s.t.Errorf("rolling restart: took %s, want less than the load's %s", took.Round(time.Second), length)
	}
}
