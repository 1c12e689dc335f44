package lease

import "time"

// Limits of the heartbeat period.
const (
	// beatsPerSecond is the most heartbeats that an entry asks for in a second.
	beatsPerSecond = 32
	// MaxPace is the longest heartbeat period that an entry asks for. Two of
	// them fit into the time after which a silent worker is suspected.
	MaxPace = 2 * time.Second
)

// Pace returns the heartbeat period that an entry asks of each of the agents
// that tell it, so that its own work stays the same whatever their number.
func Pace(agents int) time.Duration {
	return min(time.Duration(agents)*time.Second/beatsPerSecond, MaxPace)
}
