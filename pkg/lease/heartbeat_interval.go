package lease

import "time"

// Limits of the heartbeat interval.
const (
	// maxHeartbeatsPerSecond is how many heartbeats a second an entry asks for in all, unless
	// the interval would exceed MaxHeartbeatInterval.
	maxHeartbeatsPerSecond = 32
	// MaxHeartbeatInterval is the longest heartbeat interval that an entry asks for. Two such
	// intervals fit into the time after which a silent worker is suspected.
	MaxHeartbeatInterval = 2 * time.Second
)

// HeartbeatInterval returns the heartbeat interval that an entry asks of each of the agents
// that send heartbeats to it, given their number. It grows with the number, so that the entry's
// load does not, up to 64 agents; with more it stays at MaxHeartbeatInterval.
func HeartbeatInterval(agents int) time.Duration {
	return min(time.Duration(agents)*time.Second/maxHeartbeatsPerSecond, MaxHeartbeatInterval)
}
