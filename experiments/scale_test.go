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

// Times of the measurement with one number of agents.
const (
	scaleSettleTime = 5 * time.Second
	scaleIdleTime   = 10 * time.Second
)

// scaleSizes are the numbers of agents measured.
var scaleSizes = []int{25, 50, 100}

// scaleResult is the JSON form of the resource usage of entries and agents at all sizes.
type scaleResult struct {
	Target string       `json:"target"`
	Sizes  []scalePoint `json:"sizes"`
}

// scalePoint is the resource usage with a given number of agents and three
// entries, without load and under the load of scale.yaml.
type scalePoint struct {
	Agents int       `json:"agents"`
	Idle   scaleCost `json:"idle"`
	Busy   scaleCost `json:"busy"`
}

// scaleCost is the resource usage during one measurement: means and maxima over
// all agents or entries. Processor usage is a share of one core.
type scaleCost struct {
	AgentCPU    float64 `json:"agent-cpu-share"`
	AgentCPUMax float64 `json:"agent-cpu-share-max"`
	AgentMB     float64 `json:"agent-memory-mb"`
	AgentMBMax  float64 `json:"agent-memory-mb-max"`
	EntryCPU    float64 `json:"entry-cpu-share"`
	EntryCPUMax float64 `json:"entry-cpu-share-max"`
	EntryMB     float64 `json:"entry-memory-mb"`
	EntryMBMax  float64 `json:"entry-memory-mb-max"`
	// PeerBytesPerAgentPerS is the traffic between agents and entries in bytes per
	// second, divided by the number of agents.
	PeerBytesPerAgentPerS float64 `json:"link-bytes-per-agent"`
	Requests              int     `json:"requests,omitempty"`
	Starts                int     `json:"starts,omitempty"`
}

// TestScale measures the resource usage of entries and agents with many agents.
// Run the test by scale.sh, in a network of its own, so that only the site's traffic is
// counted.
func TestScale(t *testing.T) {
	binary := buildProgram(t)
	plan, err := load.ReadPlan("scale.yaml")
	if err != nil {
		t.Fatal(err)
	}
	out := scaleResult{Target: "scale"}
	for _, agents := range scaleSizes {
		siteSize := plan.Site
		siteSize.Workers = agents
		t.Run(strconv.Itoa(agents), func(t *testing.T) {
			s := startSite(t, binary, siteSize)
			point := scalePoint{Agents: agents}
			time.Sleep(scaleSettleTime)
			point.Idle = s.measureCost(func() { time.Sleep(scaleIdleTime) })
			folder := filepath.Join(outFolder, "scale-"+strconv.Itoa(agents))
			busy := s.measureCost(func() { s.runLoadTool("scale.yaml", folder) })
			var result load.Result
			readResult(t, filepath.Join(folder, "result.json"), &result)
			busy.Requests, busy.Starts = result.Requests[0].Sent, result.Jobs[0].Starts
			point.Busy = busy
			out.Sizes = append(out.Sizes, point)
			fmt.Printf("%+v\n", point)
		})
	}
	writeJSON(t, "../out/scale.json", out)
}

// runLoadTool runs the load tool with the plan in planFile against the site. The tool
// writes its report to reportFolder.
func (s *site) runLoadTool(planFile, reportFolder string) {
	tool := exec.Command(s.binary, "load", planFile, "--entry-urls", s.entryURLs(), "--standin-url", s.standin,
		"--report", reportFolder, "--seed", seed())
	tool.Stderr = os.Stderr
	s.reportError(tool.Run())
}

// measureCost returns the resource usage of the site's processes while fn runs.
func (s *site) measureCost(fn func()) scaleCost {
	before, bytesBefore, began := sampleUsage(s.all), s.peerLinkBytes(), time.Now()
	fn()
	seconds := time.Since(began).Seconds()
	after := sampleUsage(s.all)
	c := scaleCost{PeerBytesPerAgentPerS: (s.peerLinkBytes() - bytesBefore) / seconds / float64(len(s.agents))}
	c.AgentCPU, c.AgentCPUMax, c.AgentMB, c.AgentMBMax = meanAndMaxUsage(s.agents, before, after, seconds)
	c.EntryCPU, c.EntryCPUMax, c.EntryMB, c.EntryMBMax = meanAndMaxUsage(s.entries, before, after, seconds)
	return c
}

// meanAndMaxUsage returns the mean and the maximum of the processes' processor
// usage, as a share of one core, and of their resident memory, in megabytes.
func meanAndMaxUsage(processes []*process, before, after map[string]usageSample, seconds float64) (meanCPU, maxCPU, meanMB, maxMB float64) {
	for _, p := range processes {
		share := (after[p.name].cpu - before[p.name].cpu).Seconds() / seconds
		residentMB := float64(after[p.name].memoryKB) / 1024
		meanCPU += share / float64(len(processes))
		meanMB += residentMB / float64(len(processes))
		maxCPU, maxMB = max(maxCPU, share), max(maxMB, residentMB)
	}
	return meanCPU, maxCPU, meanMB, maxMB
}

// Bytes of headers of each TCP segment on the loopback device: Ethernet, IPv4,
// and TCP with time stamps.
const (
	tcpHeaderBytes = 14 + 20 + 32
)

// peerLinkBytes estimates how many bytes entries and agents have sent each other
// so far, as datagrams: all bytes on the loopback device less those of TCP, which
// the stand-ins and the callers use.
func (s *site) peerLinkBytes() float64 {
	device, _ := os.ReadFile("/proc/net/dev")
	var total float64
	for line := range strings.Lines(string(device)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			total, _ = strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return total - s.tcpLoopbackBytes()
}

// tcpLoopbackBytes estimates the TCP traffic so far: the bytes that the site's
// processes have read, and the headers of all segments.
func (s *site) tcpLoopbackBytes() float64 {
	var bytesRead float64
	for _, p := range s.all {
		if p.cmd == nil {
			continue
		}
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.cmd.Process.Pid))
		for line := range strings.Lines(string(data)) {
			if rest, ok := strings.CutPrefix(line, "rchar:"); ok {
				n, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
				bytesRead += n
			}
		}
	}
	return bytesRead + tcpHeaderBytes*tcpSegments()
}

// tcpSegments returns the number of TCP segments sent so far: the 12th field of
// the line of values for TCP in /proc/net/snmp.
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
