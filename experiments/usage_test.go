//go:build experiments

package experiments

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor times under /proc.
const ticksPerSecond = 100

// sample is what a process has used so far.
type sample struct {
	pid    int
	cpu    time.Duration
	memory int64
}

// sampleAll reads the use of every running process.
func sampleAll(processes []*process) map[string]sample {
	out := make(map[string]sample)
	for _, p := range processes {
		if p.cmd != nil && p.cmd.Process != nil {
			pid := p.cmd.Process.Pid
			out[p.name] = sample{pid: pid, cpu: cpuTime(pid), memory: residentKB(pid)}
		}
	}
	return out
}

// cpuTime reads user and system time, the 14th and 15th field of a process's stat.
func cpuTime(pid int) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentKB reads a process's resident memory.
func residentKB(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb
		}
	}
	return 0
}

// use fills in the most that any entry and any agent used between two samples.
// A process that was restarted meanwhile counts from its start.
func (c *conclusion) use(before, after map[string]sample, length time.Duration) {
	for name, a := range after {
		spent := a.cpu
		if b := before[name]; b.pid == a.pid {
			spent -= b.cpu
		}
		share, memory := spent.Seconds()/length.Seconds(), a.memory>>10
		switch {
		case strings.HasPrefix(name, "entry-"):
			c.EntryCPU, c.EntryMemory = max(c.EntryCPU, share), max(c.EntryMemory, memory)
		case strings.HasPrefix(name, "worker-"):
			c.AgentCPU, c.AgentMemory = max(c.AgentCPU, share), max(c.AgentMemory, memory)
		}
	}
}
