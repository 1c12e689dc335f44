package command

import (
	"os"
	"runtime"
	"runtime/debug"
)

// Settings of the Go runtime for processes that may use only a small part of a machine.
const (
	// gcPercent is by how many percent the heap may grow before the next garbage
	// collection starts; see debug.SetGCPercent.
	gcPercent = 50
	// maxAgentProcessors limits GOMAXPROCS of an agent. With more processors,
	// waking threads and stealing goroutines costs an agent more than it gains.
	maxAgentProcessors = 2
)

// lowerGCPercent saves memory at the cost of processor time, unless GOGC is set.
func lowerGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// limitAgentProcessors limits the processors that an agent uses at the same
// time, unless GOMAXPROCS is set.
func limitAgentProcessors() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxAgentProcessors, runtime.GOMAXPROCS(0)))
	}
}
