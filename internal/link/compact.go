package link

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// splitHeartbeat splits a heartbeat into the stable part, which seldom changes, and
// the volatile part, which every heartbeat carries. digest is the digest of the
// stable part; it is never 0.
func splitHeartbeat(h *Heartbeat) (stable, volatile Heartbeat, digest uint64, err error) {
	stable = *h
	volatile = Heartbeat{
		Worker: h.Worker, InFlight: h.InFlight, InFlightLong: h.InFlightLong, Reserved: h.Reserved, Mark: h.Mark,
		Round: h.Round, Primary: h.Primary, Pressure: h.Pressure, ClassUses: h.ClassUses, EntriesDigest: h.EntriesDigest,
	}
	stable.InFlight, stable.InFlightLong, stable.Reserved, stable.Mark = 0, 0, 0, 0
	stable.Round, stable.Primary, stable.Pressure, stable.ClassUses = 0, false, 0, nil
	stable.EntriesDigest = 0
	data, err := cbor.Marshal(&stable)
	return stable, volatile, max(1, xxhash.Sum64(data)), err
}

// joinHeartbeat returns the heartbeat made up of a stable and a volatile part.
func joinHeartbeat(stable Heartbeat, volatile *Heartbeat) *Heartbeat {
	h := stable
	h.InFlight, h.InFlightLong, h.Reserved, h.Mark = volatile.InFlight, volatile.InFlightLong, volatile.Reserved, volatile.Mark
	h.Round, h.Primary, h.Pressure, h.ClassUses = volatile.Round, volatile.Primary, volatile.Pressure, volatile.ClassUses
	h.EntriesDigest = volatile.EntriesDigest
	return &h
}

// HeartbeatSender shortens an agent's heartbeats: it leaves out the stable part that an
// entry has already received. The zero value has sent nothing.
type HeartbeatSender struct {
	mu sync.Mutex
	// ackedDigests holds, by entry, the digest of the stable part that the entry
	// received last.
	ackedDigests map[string]uint64
	// lastEntries holds, by entry, the list of entries in that entry's newest reply that
	// had one.
	lastEntries map[string][]string
}

// Compact returns the heartbeat to send to an entry in place of h, and the digest
// to pass to HandleReply with the entry's reply.
func (s *HeartbeatSender) Compact(entry string, h *Heartbeat) (*Heartbeat, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := *h
	whole.EntriesDigest = EntriesDigest(s.lastEntries[entry])
	_, volatile, digest, err := splitHeartbeat(&whole)
	if err != nil {
		return nil, 0, err
	}
	if s.ackedDigests[entry] != digest {
		return &whole, digest, nil
	}
	volatile.UnchangedDigest = digest
	return &volatile, digest, nil
}

// HandleReply records an entry's reply to a heartbeat; digest is the one that Compact
// returned. If the reply leaves out the list of entries, HandleReply sets reply.Entries to
// the list that the entry sent last. It reports whether the heartbeat must be sent again as
// a whole.
func (s *HeartbeatSender) HandleReply(entry string, digest uint64, reply *HeartbeatReply) (resend bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ackedDigests == nil {
		s.ackedDigests = make(map[string]uint64)
		s.lastEntries = make(map[string][]string)
	}
	delete(s.ackedDigests, entry)
	if reply.ResendWhole {
		return true
	}
	if reply.AcceptsCompact {
		s.ackedDigests[entry] = digest
	}
	if len(reply.Entries) == 0 {
		reply.Entries = s.lastEntries[entry]
	}
	s.lastEntries[entry] = reply.Entries
	return false
}

// Forget drops what is known about an entry, after a call to that entry has failed.
func (s *HeartbeatSender) Forget(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ackedDigests, entry)
	delete(s.lastEntries, entry)
}

// HeartbeatReceiver restores shortened heartbeats at an entry from the newest whole
// heartbeat of each agent. The zero value has received none.
type HeartbeatReceiver struct {
	mu sync.Mutex
	// heartbeats holds the stable parts by worker.
	heartbeats map[string]knownHeartbeat
}

// knownHeartbeat is the stable part of an agent's newest whole heartbeat, and its digest.
type knownHeartbeat struct {
	digest uint64
	stable Heartbeat
}

// Expand returns the whole heartbeat that h was shortened from, or nil if the
// agent must send it again as a whole.
func (r *HeartbeatReceiver) Expand(h *Heartbeat) *Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.UnchangedDigest != 0 {
		k, ok := r.heartbeats[h.Worker]
		if !ok || k.digest != h.UnchangedDigest {
			return nil
		}
		return joinHeartbeat(k.stable, h)
	}
	stable, _, digest, err := splitHeartbeat(h)
	if err != nil {
		return h
	}
	if r.heartbeats == nil {
		r.heartbeats = make(map[string]knownHeartbeat)
	}
	r.heartbeats[h.Worker] = knownHeartbeat{digest: digest, stable: stable}
	return h
}

// Keep drops the heartbeats of all agents for whose worker keep returns false.
func (r *HeartbeatReceiver) Keep(keep func(worker string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.heartbeats {
		if !keep(name) {
			delete(r.heartbeats, name)
		}
	}
}

// EntriesDigest returns a digest of a list of entries. The digest does not depend
// on the order of the list and is 0 for an empty list only.
func EntriesDigest(entries []string) uint64 {
	if len(entries) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, e := range slices.Sorted(slices.Values(entries)) {
		_, _ = d.WriteString(e)
		_, _ = d.WriteString("\n")
	}
	return max(1, d.Sum64())
}
