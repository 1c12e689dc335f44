//go:build experiments

package experiments

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor
// times under /proc.
const ticksPerSecond = 100

// usageSample is the processor time that a process has used since its start, and
// its resident memory now.
type usageSample struct {
	pid      int
	cpu      time.Duration
	memoryKB int64
}

// sampleUsage returns the usage of every running process by its name.
func sampleUsage(processes []*process) map[string]usageSample {
	out := make(map[string]usageSample)
	for _, p := range processes {
		if p.cmd != nil && p.cmd.Process != nil {
			pid := p.cmd.Process.Pid
			out[p.name] = usageSample{pid: pid, cpu: cpuTime(pid), memoryKB: residentKB(pid)}
		}
	}
	return out
}

// cpuTime returns the user and system time of a process: the 14th and 15th field
// of /proc/PID/stat.
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

// residentKB returns the resident memory of a process in kilobytes.
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

// setMaxUsage sets the highest usage of any entry and any agent between two samples that
// were taken the given time apart. A process that was restarted in between counts from
// its restart.
func (c *experimentResult) setMaxUsage(before, after map[string]usageSample, elapsed time.Duration) {
	for name, last := range after {
		cpu := last.cpu
		if first := before[name]; first.pid == last.pid {
			cpu -= first.cpu
		}
		share, memoryMB := cpu.Seconds()/elapsed.Seconds(), last.memoryKB>>10
		switch {
		case strings.HasPrefix(name, "entry-"):
			c.MaxEntryCPU, c.MaxEntryMemoryMB = max(c.MaxEntryCPU, share), max(c.MaxEntryMemoryMB, memoryMB)
		case strings.HasPrefix(name, "worker-"):
			c.MaxAgentCPU, c.MaxAgentMemoryMB = max(c.MaxAgentCPU, share), max(c.MaxAgentMemoryMB, memoryMB)
		}
	}
}
