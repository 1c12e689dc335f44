package lease

import "time"

// maxWaitingRounds bounds the heartbeats that are remembered until a later read
// of the log begins.
const maxWaitingRounds = 16

// HeartbeatTracker keeps track, at an entry, of when an agent's heartbeats were received.
// The zero value is ready for use.
type HeartbeatTracker struct {
	// newest is the newest round returned by NewestRoundBefore.
	newest uint64
	// waiting holds heartbeats that were not received before the latest read began.
	waiting []receivedHeartbeat
}

type receivedHeartbeat struct {
	round      uint64
	receivedAt time.Time
}

// Record records when the heartbeat of a round was received. If too many heartbeats
// are waiting because the log has been unavailable for long, later ones are
// ignored: a log reading then counts as older than it is, which is safe.
func (h *HeartbeatTracker) Record(round uint64, receivedAt time.Time) {
	if round > h.newest && len(h.waiting) < maxWaitingRounds {
		h.waiting = append(h.waiting, receivedHeartbeat{round: round, receivedAt: receivedAt})
	}
}

// NewestRoundBefore returns the newest round whose heartbeat was received before the read of
// the log that began at readBeganAt, or 0. Calls must be in the order in which the reads
// began.
func (h *HeartbeatTracker) NewestRoundBefore(readBeganAt time.Time) uint64 {
	rest := h.waiting[:0]
	for _, w := range h.waiting {
		if w.receivedAt.Before(readBeganAt) {
			h.newest = max(h.newest, w.round)
			continue
		}
		rest = append(rest, w)
	}
	h.waiting = rest
	return h.newest
}
