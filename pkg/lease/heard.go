package lease

import "time"

// maxRounds is the most heartbeats that are remembered until a later read of
// the log has begun.
const maxRounds = 16

// Heard remembers at an entry when an agent's heartbeats were received. The
// zero value has received none.
type Heard struct {
	newest   uint64
	received []heartbeat
}

type heartbeat struct {
	round uint64
	at    time.Time
}

// Note remembers that round's heartbeat was received at at. If a long log
// outage leaves too many waiting, later ones are not remembered: a reading then
// counts as older than it is.
func (h *Heard) Note(round uint64, at time.Time) {
	if round > h.newest && len(h.received) < maxRounds {
		h.received = append(h.received, heartbeat{round: round, at: at})
	}
}

// Before returns the newest round that was received before a read that began
// at began, or 0. Reads are asked about in the order in which they began.
func (h *Heard) Before(began time.Time) uint64 {
	rest := h.received[:0]
	for _, b := range h.received {
		if b.at.Before(began) {
			h.newest = max(h.newest, b.round)
			continue
		}
		rest = append(rest, b)
	}
	h.received = rest
	return h.newest
}
