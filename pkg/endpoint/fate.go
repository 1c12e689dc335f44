package endpoint

import "time"

// Fate says what became of one attempt of a request.
type Fate uint8

// The fates of an attempt.
const (
	// FateUnknown means that nobody can say whether the attempt ran.
	FateUnknown Fate = iota
	// FateNotRun means that the attempt did not run and never will.
	FateNotRun
	// FateRunning means that the attempt is being worked on.
	FateRunning
	// FateDone means that the attempt has ended.
	FateDone
)

var fateNames = [...]string{"unknown", "not-run", "running", "run"}

// String returns the word used in headers and logs.
func (f Fate) String() string { return fateNames[f] }

// AttemptID names one attempt of a request.
type AttemptID struct {
	Request string
	Attempt uint32
}

// Book is an agent's bounded record of recent attempts. The zero value is
// empty. It is not safe for concurrent use.
type Book struct {
	entries map[AttemptID]*bookEntry
	order   []AttemptID
}

type bookEntry struct {
	fate Fate
	at   time.Time
}

// Book limits.
const (
	// BookKeep is how long a fate is kept.
	BookKeep = 2 * time.Minute
	// BookSize is the most fates kept.
	BookSize = 65536
)

// Admit notes that the attempt is about to run. It returns false if the
// attempt is known: it was fenced, or it is a repetition.
func (b *Book) Admit(now time.Time, id AttemptID) bool {
	if _, ok := b.entries[id]; ok {
		return false
	}
	b.put(now, id, FateRunning)
	return true
}

// Done notes that the attempt has ended.
func (b *Book) Done(id AttemptID, fate Fate) {
	if e, ok := b.entries[id]; ok {
		e.fate = fate
	}
}

// Ask returns the attempt's fate. An attempt that was never seen is fenced
// first: it is refused if it arrives later.
func (b *Book) Ask(now time.Time, id AttemptID) Fate {
	if e, ok := b.entries[id]; ok {
		return e.fate
	}
	b.put(now, id, FateNotRun)
	return FateNotRun
}

func (b *Book) put(now time.Time, id AttemptID, f Fate) {
	if b.entries == nil {
		b.entries = make(map[AttemptID]*bookEntry)
	}
	b.evict(now)
	b.entries[id] = &bookEntry{fate: f, at: now}
	b.order = append(b.order, id)
}

func (b *Book) evict(now time.Time) {
	for len(b.order) > 0 {
		e := b.entries[b.order[0]]
		if len(b.order) < BookSize && now.Sub(e.at) < BookKeep {
			return
		}
		if e.fate == FateRunning {
			return
		}
		delete(b.entries, b.order[0])
		b.order = b.order[1:]
	}
}
