package lease

import "time"

// Limits of the heartbeat interval.
const (
	// maxHeartbeatsPerSecond is the most heartbeats that an entry asks for.
	maxHeartbeatsPerSecond = 32
	// MaxHeartbeatInterval is the longest heartbeat interval that an entry asks for. Two of
	// them fit into the time after which a silent worker is suspected.
	MaxHeartbeatInterval = 2 * time.Second
)

// HeartbeatInterval returns the heartbeat interval that an entry asks of each of the agents
// that report to it, so that its own load does not grow with their number.
func HeartbeatInterval(agents int) time.Duration {
	return min(time.Duration(agents)*time.Second/maxHeartbeatsPerSecond, MaxHeartbeatInterval)
}
