//go:build experiments

// Package experiments runs the experiments that the plans in this folder
// describe: it starts, stops and restarts real processes and runs the load tool
// against them.
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

// outFolder is the folder of the reports, which git ignores.
const outFolder = "../out/experiments"

// seedVariable names the environment variable with the seed, which defaults to 1.
const seedVariable = "SEED"

// baselineVariable names the environment variable with the path of an earlier
// version of the program. If it is set, half of each experiment's load goes,
// interleaved, to a second site of that version, which gets the same faults but
// no signals.
const baselineVariable = "BASELINE"

// restartPause is the pause before the restart of each process in a rolling restart.
const restartPause = 300 * time.Millisecond

// experimentResult is the result of one experiment in its JSON form: that of the
// load tool, and the resource usage of the processes.
type experimentResult struct {
	load.Result

	// MaxEntryCPU and MaxAgentCPU are the highest processor usage of any entry or
	// agent, as a share of one core.
	MaxEntryCPU float64 `json:"entry-cpu-share"`
	MaxAgentCPU float64 `json:"agent-cpu-share"`
	// MaxEntryMemoryMB and MaxAgentMemoryMB are the largest resident memory of any
	// entry or agent.
	MaxEntryMemoryMB int64 `json:"entry-memory-mb"`
	MaxAgentMemoryMB int64 `json:"agent-memory-mb"`
	// MaxBundleSpreadMS is the longest time from the publication of a bundle until
	// it was in force at every entry and agent.
	MaxBundleSpreadMS float64 `json:"bundle-spread-ms,omitempty"`
}

// summary is the JSON form of the result of all experiments of a run.
type summary struct {
	Target      string   `json:"target"`
	Passed      bool     `json:"passed"`
	Seed        string   `json:"seed"`
	Experiments int      `json:"experiments"`
	Failed      []string `json:"failed"`
	Seconds     float64  `json:"seconds"`
}

// seed returns the seed of the experiments.
func seed() string {
	if s := os.Getenv(seedVariable); s != "" {
		return s
	}
	return "1"
}

// TestExperiments runs every experiment in turn and writes a summary.
func TestExperiments(t *testing.T) {
	began := time.Now()
	binary := buildProgram(t)
	files, err := filepath.Glob("[0-9]*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("plans: got %d (%v), want at least one", len(files), err)
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

// writeJSON writes v to a file and creates the file's folder.
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

// runExperiment starts the plan's site, runs the load tool against it, and meanwhile sends
// the plan's signals, restarts processes and publishes racing bundles. Then it checks and
// writes the result.
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
	before := sampleUsage(s.all)
	tool := exec.Command(binary, args...)
	tool.Stderr = os.Stderr
	if err := tool.Start(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	out := experimentResult{}
	var group sync.WaitGroup
	for _, signal := range plan.Signals {
		group.Go(func() { s.sendSignal(began, signal) })
	}
	if plan.RollingRestart {
		group.Go(func() { s.restartAll(began, plan.Duration) })
	}
	if plan.BundleRaces > 0 {
		group.Go(func() { out.MaxBundleSpreadMS = s.raceBundles(plan.BundleRaces) })
	}
	err := tool.Wait()
	group.Wait()
	if err != nil {
		t.Errorf("load tool: %v", err)
	}
	readResult(t, filepath.Join(folder, "result.json"), &out.Result)
	out.setMaxUsage(before, sampleUsage(s.all), time.Since(began))
	writeJSON(t, filepath.Join(folder, "conclusion.json"), out)
	for _, v := range out.Violations {
		t.Error(v)
	}
	printResult(out)
}

// readResult reads the result that the load tool wrote to a file.
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

// printResult prints the result as one line of JSON, without the points of plots.
func printResult(c experimentResult) {
	for i := range c.Requests {
		c.Requests[i].Quantiles, c.Requests[i].Series = nil, nil
	}
	line, _ := json.Marshal(c)
	fmt.Println(string(line))
}

// sendSignal sends a signal of the plan to its process when the signal is due, and after
// the signal's pause resumes the process or starts it again. began is when the load began.
func (s *site) sendSignal(began time.Time, signal load.Signal) {
	p := s.processByName(signal.Process)
	time.Sleep(time.Until(began.Add(signal.At)))
	switch signal.Action {
	case "pause":
		s.reportError(p.cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(signal.ResumeAfter)
		s.reportError(p.cmd.Process.Signal(syscall.SIGCONT))
	case "kill":
		s.reportError(p.cmd.Process.Kill())
		_ = p.wait()
		time.Sleep(signal.ResumeAfter)
		s.start(p)
	case "term":
		s.stop(p)
		time.Sleep(signal.ResumeAfter)
		s.start(p)
	}
}

// reportError marks the test as failed if err is not nil. Unlike must, it does not end the
// test, so goroutines other than the test's may call it.
func (s *site) reportError(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// restartAll stops and starts every entry and agent in turn. The test fails unless this
// ends within loadDuration since began, while load is still being sent.
func (s *site) restartAll(began time.Time, loadDuration time.Duration) {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		time.Sleep(restartPause)
		s.stop(p)
		s.start(p)
		for !isOK(p.url+"/readyz") && time.Since(began) < loadDuration {
			time.Sleep(readyPollInterval)
		}
	}
	if took := time.Since(began); took > loadDuration {
		s.t.Errorf("rolling restart took %s, want less than the load's duration of %s", took.Round(time.Second), loadDuration)
	}
}
