package link

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// split returns the part of a heartbeat that seldom changes, with its digest,
// and the part that is sent always.
func split(h *Heartbeat) (stable, volatile Heartbeat, digest uint64, err error) {
	stable = *h
	volatile = Heartbeat{
		Worker: h.Worker, InFlight: h.InFlight, InFlightLong: h.InFlightLong, Reserved: h.Reserved, Mark: h.Mark,
		Round: h.Round, Primary: h.Primary, Pressure: h.Pressure, Uses: h.Uses, EntriesSeen: h.EntriesSeen,
	}
	stable.InFlight, stable.InFlightLong, stable.Reserved, stable.Mark = 0, 0, 0, 0
	stable.Round, stable.Primary, stable.Pressure, stable.Uses = 0, false, 0, nil
	stable.EntriesSeen = 0
	data, err := cbor.Marshal(&stable)
	return stable, volatile, max(1, xxhash.Sum64(data)), err
}

// join puts the always sent part into a stable part.
func join(stable Heartbeat, volatile *Heartbeat) *Heartbeat {
	h := stable
	h.InFlight, h.InFlightLong, h.Reserved, h.Mark = volatile.InFlight, volatile.InFlightLong, volatile.Reserved, volatile.Mark
	h.Round, h.Primary, h.Pressure, h.Uses = volatile.Round, volatile.Primary, volatile.Pressure, volatile.Uses
	h.EntriesSeen = volatile.EntriesSeen
	return &h
}

// Sender remembers at an agent what each entry was told, so that a heartbeat
// leaves out what has not changed. The zero value has told nothing.
type Sender struct {
	mu   sync.Mutex
	told map[string]uint64
	// entries is the list that each entry sent last.
	entries map[string][]string
}

// Compact returns what to send to an entry in place of h, and the digest to
// give to Sent when the entry has taken it in.
func (s *Sender) Compact(entry string, h *Heartbeat) (*Heartbeat, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := *h
	whole.EntriesSeen = EntriesDigest(s.entries[entry])
	_, volatile, digest, err := split(&whole)
	if err != nil {
		return nil, 0, err
	}
	if s.told[entry] != digest {
		return &whole, digest, nil
	}
	volatile.Same = digest
	return &volatile, digest, nil
}

// Sent notes an entry's answer and puts the list of entries in that it left
// out. It reports whether the heartbeat must be sent again, as a whole.
func (s *Sender) Sent(entry string, digest uint64, reading *Reading) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told == nil {
		s.told = make(map[string]uint64)
		s.entries = make(map[string][]string)
	}
	delete(s.told, entry)
	if reading.Resend {
		return true
	}
	if reading.Compact {
		s.told[entry] = digest
	}
	if len(reading.Entries) == 0 {
		reading.Entries = s.entries[entry]
	}
	s.entries[entry] = reading.Entries
	return false
}

// Forget drops what an entry was told, after a call that failed.
func (s *Sender) Forget(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.told, entry)
	delete(s.entries, entry)
}

// Receiver remembers at an entry the newest whole heartbeat of each agent. The
// zero value remembers none.
type Receiver struct {
	mu    sync.Mutex
	known map[string]known
}

type known struct {
	digest uint64
	stable Heartbeat
}

// Expand returns the whole heartbeat that h stands for, or nil if the agent has
// to send it as a whole.
func (r *Receiver) Expand(h *Heartbeat) *Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Same != 0 {
		k, ok := r.known[h.Worker]
		if !ok || k.digest != h.Same {
			return nil
		}
		return join(k.stable, h)
	}
	stable, _, digest, err := split(h)
	if err != nil {
		return h
	}
	if r.known == nil {
		r.known = make(map[string]known)
	}
	r.known[h.Worker] = known{digest: digest, stable: stable}
	return h
}

// Keep drops every agent for which keep is false.
func (r *Receiver) Keep(keep func(worker string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.known {
		if !keep(name) {
			delete(r.known, name)
		}
	}
}

// EntriesDigest names a list of entries; 0 is no list.
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
