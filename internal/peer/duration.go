package peer

import "time"

// maxDuration bounds the durations that are taken from messages, so that arithmetic with them cannot overflow.
const maxDuration = time.Hour

// Duration returns the duration that a message gives in milliseconds; 0 if it is negative.
func Duration(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxDuration.Milliseconds())) * time.Millisecond
}
