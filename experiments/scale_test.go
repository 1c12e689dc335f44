//go:build experiments

package experiments

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/load"
)

// Times of a measurement at one size.
const (
	scaleSettle = 5 * time.Second
	scaleIdle   = 10 * time.Second
)

// scaleSizes are the numbers of agents measured.
var scaleSizes = []int{25, 50, 100}

// scaleResult is the JSON form of what control costs at one size.
type scaleResult struct {
	Target string    `json:"target"`
	Sizes  []scaleAt `json:"sizes"`
}

// scaleAt is what control costs with a number of agents and three entries.
type scaleAt struct {
	Agents int       `json:"agents"`
	Idle   scaleCost `json:"idle"`
	Busy   scaleCost `json:"busy"`
}

// scaleCost is what processes use while nothing, or the plan's load, goes on.
type scaleCost struct {
	AgentCPU     float64 `json:"agent-cpu-share"`
	AgentCPUMost float64 `json:"agent-cpu-share-max"`
	AgentMB      float64 `json:"agent-memory-mb"`
	AgentMBMost  float64 `json:"agent-memory-mb-max"`
	EntryCPU     float64 `json:"entry-cpu-share"`
	EntryCPUMost float64 `json:"entry-cpu-share-max"`
	EntryMB      float64 `json:"entry-memory-mb"`
	EntryMBMost  float64 `json:"entry-memory-mb-max"`
	// LinkBytes is what agents and entries sent each other a second, for one agent.
	LinkBytes float64 `json:"link-bytes-per-agent"`
	Requests  int     `json:"requests,omitempty"`
	Starts    int     `json:"starts,omitempty"`
}

// TestScale measures many agents; run it by scale.sh, in a network of its own,
// so that the bytes counted are the site's.
func TestScale(t *testing.T) {
	binary := build(t)
	plan, err := load.ReadPlan("scale.yaml")
	if err != nil {
		t.Fatal(err)
	}
	out := scaleResult{Target: "scale"}
	for _, agents := range scaleSizes {
		size := plan.Site
		size.Workers = agents
		t.Run(strconv.Itoa(agents), func(t *testing.T) {
			s := startSite(t, binary, size)
			at := scaleAt{Agents: agents}
			time.Sleep(scaleSettle)
			at.Idle = s.cost(func() { time.Sleep(scaleIdle) })
			folder := filepath.Join(outFolder, "scale-"+strconv.Itoa(agents))
			busy := s.cost(func() { s.load("scale.yaml", folder) })
			var result load.Result
			readResult(t, filepath.Join(folder, "result.json"), &result)
			busy.Requests, busy.Starts = result.Requests[0].Sent, result.Jobs[0].Starts
			at.Busy = busy
			out.Sizes = append(out.Sizes, at)
			fmt.Printf("%+v\n", at)
		})
	}
	writeJSON(t, "../out/scale.json", out)
}

// load runs the load tool against the site.
func (s *site) load(file, folder string) {
	tool := exec.Command(s.binary, "load", file, "--entry-urls", s.entryURLs(), "--standin-url", s.standin,
		"--report", folder, "--seed", seed())
	tool.Stderr = os.Stderr
	s.check(tool.Run())
}

// cost returns what the site's processes use while fn runs.
func (s *site) cost(fn func()) scaleCost {
	before, bytes, began := sampleAll(s.all), s.linkBytes(), time.Now()
	fn()
	length := time.Since(began).Seconds()
	after := sampleAll(s.all)
	c := scaleCost{LinkBytes: (s.linkBytes() - bytes) / length / float64(len(s.agents))}
	c.AgentCPU, c.AgentCPUMost, c.AgentMB, c.AgentMBMost = uses(s.agents, before, after, length)
	c.EntryCPU, c.EntryCPUMost, c.EntryMB, c.EntryMBMost = uses(s.entries, before, after, length)
	return c
}

// uses returns mean and most of processor shares and resident memory.
func uses(processes []*process, before, after map[string]sample, seconds float64) (cpu, cpuMost, memory, memoryMost float64) {
	for _, p := range processes {
		share := (after[p.name].cpu - before[p.name].cpu).Seconds() / seconds
		resident := float64(after[p.name].memory) / 1024
		cpu += share / float64(len(processes))
		memory += resident / float64(len(processes))
		cpuMost, memoryMost = max(cpuMost, share), max(memoryMost, resident)
	}
	return cpu, cpuMost, memory, memoryMost
}

// Sizes of headers on the loopback device, in bytes.
const (
	tcpHeaders = 14 + 20 + 32
)

// linkBytes estimates the bytes of the site's datagrams so far: all bytes of
// the loopback device less those of TCP, which the stand-ins' process and
// the callers' connections account for.
func (s *site) linkBytes() float64 {
	device, _ := os.ReadFile("/proc/net/dev")
	var total float64
	for line := range strings.Lines(string(device)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			total, _ = strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return total - s.tcpBytes()
}

// tcpBytes adds up what the site's processes read from TCP, and the headers of all segments.
func (s *site) tcpBytes() float64 {
	var read float64
	for _, p := range s.all {
		if p.cmd == nil {
			continue
		}
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.cmd.Process.Pid))
		for line := range strings.Lines(string(data)) {
			if rest, ok := strings.CutPrefix(line, "rchar:"); ok {
				n, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
				read += n
			}
		}
	}
	return read + tcpHeaders*tcpSegments()
}

// tcpSegments returns the TCP segments sent so far: the 12th value of its line.
func tcpSegments() float64 {
	data, _ := os.ReadFile("/proc/net/snmp")
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 11 && fields[0] == "Tcp:" && fields[1] != "RtoAlgorithm" {
			n, _ := strconv.ParseFloat(fields[11], 64)
			return n
		}
	}
	return 0
}
