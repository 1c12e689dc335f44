package command

import (
	"os"
	"runtime"
	"runtime/debug"
)

// Settings of the Go runtime for processes that have little of a machine.
const (
	// gcPercent lets the heap grow by this part before a collection.
	gcPercent = 50
	// agentProcessors bounds the processors that an agent runs on at once; more
	// of them cost it more in waking and stealing than they give.
	agentProcessors = 2
)

// tuneMemory trades processor time for memory, unless GOGC says otherwise.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// tuneProcessors bounds an agent's processors, unless GOMAXPROCS says otherwise.
func tuneProcessors() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(agentProcessors, runtime.GOMAXPROCS(0)))
	}
}
