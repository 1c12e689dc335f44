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
	// FateRunning means that the attempt waits for a slot or is being worked on.
	FateRunning
	// FateDone means that the attempt has ended.
	FateDone
)

var fateNames = [...]string{"unknown", "not-run", "running", "run"}

// String returns the word used in headers and logs.
func (f Fate) String() string { return fateNames[f] }

// ParseFate returns the fate called name; an unknown name is FateUnknown.
func ParseFate(name string) Fate {
	for i, n := range fateNames {
		if n == name {
			return Fate(i)
		}
	}
	return FateUnknown
}

// AttemptID names one attempt of a request.
type AttemptID struct {
	Request string
	Attempt uint32
}

// Answer is the whole answer to a request.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns an answer.
func NewAnswer(status int, header map[string][]string, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the HTTP header.
func (a *Answer) Header() map[string][]string { return a.header }

// Body returns the whole body.
func (a *Answer) Body() []byte { return a.body }

// Admission says what to do with an attempt that has arrived.
type Admission uint8

// The admissions.
const (
	// Admit means that the attempt is new and may run.
	Admit Admission = iota
	// Attach means that the attempt is running: wait for its answer.
	Attach
	// Replay means that the attempt has ended and its answer is kept.
	Replay
	// RefuseNotRun means that the attempt was fenced or ended without being run.
	RefuseNotRun
	// RefuseRun means that the attempt has run and its answer is not kept.
	RefuseRun
	// RefuseUnknown means that the book may have forgotten the attempt.
	RefuseUnknown
)

var admissionNames = [...]string{"admit", "attach", "replay", "refuse-not-run", "refuse-run", "refuse-unknown"}

// String returns the word used in logs.
func (a Admission) String() string { return admissionNames[a] }

// Book limits.
const (
	// BookKeep is how long the fate of an ended attempt is kept.
	BookKeep = 2 * time.Minute
	// BookSize is the most fates of ended attempts kept.
	BookSize = 32768
	// BookBytes is the most bytes of answers kept.
	BookBytes = 8 << 20
	// AnswerBytes is the largest answer that is kept.
	AnswerBytes = 256 << 10
)

// Book is an agent's bounded record of attempts. The zero value is empty. It
// is not safe for concurrent use.
//
// Marks bound what it may have forgotten. The agent's reports carry a growing
// mark, and an attempt carries the newest mark that its sender had heard. An
// attempt arrives at a mark no lower than its own, so one whose mark is above
// those of all forgotten attempts was not forgotten. Others may have been:
// they are never run and never said to be not run.
type Book struct {
	entries map[AttemptID]*bookEntry
	// ended holds the ended attempts in the order of their ends; those that
	// run are never forgotten.
	ended []AttemptID
	// answered holds the attempts with a kept answer, oldest first.
	answered []AttemptID
	bytes    int
	mark     uint64
	// forgotten is the highest mark of a forgotten attempt.
	forgotten uint64
	// size replaces BookSize in tests.
	size int
}

type bookEntry struct {
	fate   Fate
	at     time.Time
	mark   uint64
	answer *Answer
}

// Advance moves to the next mark and returns it, for the agent's next report.
func (b *Book) Advance() uint64 {
	b.mark++
	return b.mark
}

// SetSize sets the most fates of ended attempts kept; 0 means BookSize.
func (b *Book) SetSize(n int) { b.size = n }

// Admit decides on an attempt that has arrived with its sender's mark. A new
// one is noted as running.
func (b *Book) Admit(now time.Time, id AttemptID, mark uint64) Admission {
	b.evict(now)
	e, ok := b.entries[id]
	if !ok {
		if b.mayHaveForgotten(mark) {
			return RefuseUnknown
		}
		b.put(id, &bookEntry{fate: FateRunning, mark: b.mark})
		return Admit
	}
	switch {
	case e.fate == FateRunning:
		return Attach
	case e.answer != nil:
		return Replay
	case e.fate == FateDone:
		return RefuseRun
	case e.fate == FateNotRun:
		return RefuseNotRun
	}
	return RefuseUnknown
}

// Finish notes how a running attempt ended. The answer may be nil; it is kept
// as long as there is room.
func (b *Book) Finish(now time.Time, id AttemptID, fate Fate, answer *Answer) {
	e, ok := b.entries[id]
	if !ok || e.fate != FateRunning {
		return
	}
	e.fate = fate
	e.at = now
	b.ended = append(b.ended, id)
	if answer != nil && len(answer.body) <= AnswerBytes {
		e.answer = answer
		b.bytes += len(answer.body)
		b.answered = append(b.answered, id)
	}
	b.evict(now)
}

// Ask returns the attempt's fate. An attempt that was never seen is fenced
// first: it is refused if it arrives later.
func (b *Book) Ask(now time.Time, id AttemptID, mark uint64) Fate {
	b.evict(now)
	if e, ok := b.entries[id]; ok {
		return e.fate
	}
	if b.mayHaveForgotten(mark) {
		return FateUnknown
	}
	b.put(id, &bookEntry{fate: FateNotRun, mark: b.mark, at: now})
	b.ended = append(b.ended, id)
	return FateNotRun
}

// Kept returns the kept answer of an attempt, or nil.
func (b *Book) Kept(id AttemptID) *Answer {
	if e, ok := b.entries[id]; ok {
		return e.answer
	}
	return nil
}

// Len returns the number of attempts that the book remembers.
func (b *Book) Len() int { return len(b.entries) }

func (b *Book) mayHaveForgotten(mark uint64) bool {
	return b.forgotten > 0 && mark <= b.forgotten
}

func (b *Book) put(id AttemptID, e *bookEntry) {
	if b.entries == nil {
		b.entries = make(map[AttemptID]*bookEntry)
	}
	b.entries[id] = e
}

// evict forgets the attempts that ended longest ago.
func (b *Book) evict(now time.Time) {
	for len(b.ended) > 0 {
		id := b.ended[0]
		e := b.entries[id]
		if len(b.ended) <= b.limit() && now.Sub(e.at) < BookKeep {
			break
		}
		b.dropAnswer(e)
		b.forgotten = max(b.forgotten, e.mark, 1)
		delete(b.entries, id)
		b.ended = b.ended[1:]
	}
	for b.bytes > BookBytes {
		if e, ok := b.entries[b.answered[0]]; ok {
			b.dropAnswer(e)
		}
		b.answered = b.answered[1:]
	}
	for len(b.answered) > 0 && b.Kept(b.answered[0]) == nil {
		b.answered = b.answered[1:]
	}
}

func (b *Book) dropAnswer(e *bookEntry) {
	if e.answer != nil {
		b.bytes -= len(e.answer.body)
		e.answer = nil
	}
}

func (b *Book) limit() int {
	if b.size > 0 {
		return b.size
	}
	return BookSize
}
