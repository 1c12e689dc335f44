package lease

import "time"

// maxWaitingRounds bounds the heartbeats that are remembered until a later read
// of the log begins.
const maxWaitingRounds = 16

// Heard keeps track, at an entry, of when an agent's heartbeats were received.
// The zero value has received none.
type Heard struct {
	newest  uint64
	waiting []receivedHeartbeat
}

type receivedHeartbeat struct {
	round      uint64
	receivedAt time.Time
}

// Note records that the heartbeat of a round was received at at. If too many
// are waiting because the log has been unavailable for long, later ones are
// ignored: a log reading then counts as older than it is, which is safe.
func (h *Heard) Note(round uint64, at time.Time) {
	if round > h.newest && len(h.waiting) < maxWaitingRounds {
		h.waiting = append(h.waiting, receivedHeartbeat{round: round, receivedAt: at})
	}
}

// Before returns the newest round whose heartbeat was received before a read of
// the log began at began, or 0. Calls must be in the order in which the reads
// began.
func (h *Heard) Before(began time.Time) uint64 {
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
