package lease

import "time"

// maxWaitingRounds bounds the heartbeats that are remembered until a later read
// of the log begins.
const maxWaitingRounds = 16

// HeartbeatTracker keeps track, at an entry, of when an agent's heartbeats were received.
// The zero value has received none.
type HeartbeatTracker struct {
	newest  uint64
	waiting []receivedHeartbeat
}

type receivedHeartbeat struct {
	round      uint64
	receivedAt time.Time
}

// Record records that the heartbeat of a round was received at at. If too many
// are waiting because the log has been unavailable for long, later ones are
// ignored: a log reading then counts as older than it is, which is safe.
func (h *HeartbeatTracker) Record(round uint64, at time.Time) {
	if round > h.newest && len(h.waiting) < maxWaitingRounds {
		h.waiting = append(h.waiting, receivedHeartbeat{round: round, receivedAt: at})
	}
}

// NewestRoundBefore returns the newest round whose heartbeat was received before a read of
// the log began at began, or 0. Calls must be in the order in which the reads
// began.
func (h *HeartbeatTracker) NewestRoundBefore(began time.Time) uint64 {
	rest := h.waiting[:0]
	for _, w := range h.waiting {
		if w.receivedAt.Before(began) {
			h.newest = max(h.newest, w.round)
			continue
		}
		rest = append(rest, w)
	}
	h.waiting = rest
	return h.newest
}
