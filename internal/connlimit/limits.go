// Package connlimit bounds what clients can make a process hold: the number of their connections, and the memory of
// request heads, bodies and messages that have not been handled yet. All listeners of a process share one Limiter.
package connlimit

import "time"

const (
	// defaultMemoryMB is taken if the settings name no memory, in MB: the second smallest machine known has 184.
	defaultMemoryMB = 184
	// defaultMaxFDs is taken if the settings name no descriptors: the smallest machines have 4,096.
	defaultMaxFDs = 4096
	// memoryShare is the share of the memory that clients may take together. An entry takes 30 MB with 300 workers, and
	// the garbage of requests takes as much again until it is collected.
	memoryShare = 0.3
	// RuntimeMemoryShare is the share of the memory that is the soft limit of the Go runtime. The rest is for the
	// program itself, which the runtime does not count (12 MB resident), and for what exceeds the limit until the
	// collector has caught up.
	RuntimeMemoryShare = 0.7
	// connShare is the share of the descriptors for accepted connections. The rest is for connections that the process
	// opens (to the store, 32 to the runner, one to each entry) and for its files.
	connShare = 0.7
	// peerShare is the share of the descriptors for accepted connections of peers, which are 66 on the first deployment and
	// 309 with 300 workers.
	peerShare = 0.19
	// minConns is the smallest bound on connections, so that wrong settings do not shut out everyone.
	minConns = 16
)

// Charges of a connection in bytes, as measured with Go 1.26 and rounded up.
const (
	// connCharge is what a connection without a request takes: two buffers of 4 KB and two stacks.
	connCharge = 16 << 10
	// lineCharge is what a header line takes beside its text: an entry of the map of headers, which doubles as it
	// grows, the slice of values, two strings.
	lineCharge = 256
	// textFactor is how often the text of a head is in memory: as read, and as strings.
	textFactor = 2
	// bodyFactor is how often a body is in memory: as read, and twice as it is decoded.
	bodyFactor = 3
	// ordinaryCharge is the largest charge of an ordinary connection, whose body has up to 20 KB.
	ordinaryCharge = connCharge + bodyFactor*(20<<10) + 16<<10
)

const (
	// minBodyHold is how long a large body may be on its way before its connection is closed in favour of another large
	// one: 262,144 bytes take 0.2 s at 10 Mbit/s.
	minBodyHold = time.Second
	// socketBytes is the size of the kernel's buffer for what a client of HTTP has sent, which otherwise grows to 6 MB. It
	// carries 50 Mbit/s between data centres that are 10 ms apart.
	socketBytes = 64 << 10
	// HardHeadBytes bounds a request head whatever the configuration says, in bytes: four times the legal size.
	HardHeadBytes = 64 << 10
	// DefaultHeadBytes bounds a request head without a configuration.
	DefaultHeadBytes = 16 << 10
)

// Limits are the bounds of a process.
type Limits struct {
	// Bytes bounds the charges of all connections together.
	Bytes int
	// Conns bounds the number of accepted connections.
	Conns int
	// Peers bounds the number of accepted connections of peers that have said Hello.
	Peers int
}

// Derive returns the limits for a machine with an amount of memory, in MB, and of descriptors; 0 means that it is not
// known.
func Derive(memoryMB float64, maxFDs int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = defaultMaxFDs
	}
	return Limits{
		Bytes: int(memoryShare * memoryMB * (1 << 20)),
		Conns: max(minConns, int(connShare*float64(maxFDs))),
		Peers: max(minConns, int(peerShare*float64(maxFDs))),
	}
}
