package endpoint

import "time"

// Fate is the state of one attempt of a request.
type Fate uint8

// The states of an attempt.
const (
	// FateUnknown means that the attempt may or may not have run.
	FateUnknown Fate = iota
	// FateNotRun means that the attempt did not run and never will.
	FateNotRun
	// FateRunning means that the attempt waits for a slot or is being processed.
	FateRunning
	// FateDone means that the attempt has run and ended.
	FateDone
)

var stateNames = [...]string{"unknown", "not-run", "running", "run"}

// String returns the name used in headers and logs.
func (f Fate) String() string { return stateNames[f] }

// ParseFate returns the state with a name; an unknown name gives the unknown state.
func ParseFate(name string) Fate {
	for i, n := range stateNames {
		if n == name {
			return Fate(i)
		}
	}
	return FateUnknown
}

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request string
	Attempt uint32
}

// Answer is a whole HTTP response.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns a response.
func NewAnswer(status int, header map[string][]string, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// Header returns the HTTP header.
func (a *Answer) Header() map[string][]string { return a.header }

// Body returns the whole body.
func (a *Answer) Body() []byte { return a.body }

// Admission is the decision on an attempt that has arrived.
type Admission uint8

// The decisions on an attempt.
const (
	// Admit means that the attempt is new and may run.
	Admit Admission = iota
	// Attach means that the attempt is running: wait for its response.
	Attach
	// Replay means that the attempt has ended and its response is kept.
	Replay
	// RefuseNotRun means that the attempt was fenced, or ended without having
	// run.
	RefuseNotRun
	// RefuseRun means that the attempt has run and its response is not kept.
	RefuseRun
	// RefuseUnknown means that the table may have forgotten the attempt.
	RefuseUnknown
)

var admissionNames = [...]string{"admit", "attach", "replay", "refuse-not-run", "refuse-run", "refuse-unknown"}

// String returns the name used in logs.
func (a Admission) String() string { return admissionNames[a] }

// Limits of the table of attempts.
const (
	// BookKeep is how long an ended attempt is remembered.
	BookKeep = 2 * time.Minute
	// BookSize is the most ended attempts that are remembered.
	BookSize = 32768
	// BookBytes is the most bytes of responses that are kept.
	BookBytes = 8 << 20
	// AnswerBytes is the largest response body that is kept.
	AnswerBytes = 256 << 10
)

// Book is an agent's bounded table of request attempts. It recognises repeated
// attempts and answers queries for the state of an attempt. The zero value is
// empty. It is not safe for concurrent use.
//
// Marks tell which attempts it may have forgotten. A mark is a counter that
// grows with each of the agent's reports, and an attempt carries the newest mark
// that its sender had received. So an attempt arrives when the table's mark is
// no lower than its own, and one whose mark is above those of all forgotten
// attempts was not forgotten. Any other attempt may have been: it is neither
// run nor said to be not run.
type Book struct {
	entries map[AttemptID]*dedupEntry
	// ended holds the ended attempts in the order of their ends. Running
	// attempts are never forgotten.
	ended []AttemptID
	// withResponse holds the attempts whose response is kept, oldest first.
	withResponse  []AttemptID
	responseBytes int
	mark          uint64
	// maxForgottenMark is the highest mark of a forgotten attempt.
	maxForgottenMark uint64
	// maxEnded replaces the default number of remembered attempts in tests.
	maxEnded int
}

type dedupEntry struct {
	state    Fate
	endedAt  time.Time
	mark     uint64
	response *Answer
}

// Advance moves to the next mark and returns it, for the agent's next report.
func (b *Book) Advance() uint64 {
	b.mark++
	return b.mark
}

// SetSize sets the most ended attempts that are remembered; 0 means the default.
func (b *Book) SetSize(n int) { b.maxEnded = n }

// Admit decides on an attempt that has arrived with its sender's mark. A new
// attempt is recorded as running.
func (b *Book) Admit(now time.Time, id AttemptID, mark uint64) Admission {
	b.evict(now)
	e, ok := b.entries[id]
	if !ok {
		if b.mayHaveForgotten(mark) {
			return RefuseUnknown
		}
		b.put(id, &dedupEntry{state: FateRunning, mark: b.mark})
		return Admit
	}
	switch {
	case e.state == FateRunning:
		return Attach
	case e.response != nil:
		return Replay
	case e.state == FateDone:
		return RefuseRun
	case e.state == FateNotRun:
		return RefuseNotRun
	}
	return RefuseUnknown
}

// Finish records the end of a running attempt. The response may be nil; it is
// kept as long as there is room.
func (b *Book) Finish(now time.Time, id AttemptID, state Fate, response *Answer) {
	e, ok := b.entries[id]
	if !ok || e.state != FateRunning {
		return
	}
	e.state = state
	e.endedAt = now
	b.ended = append(b.ended, id)
	if response != nil && len(response.body) <= AnswerBytes {
		e.response = response
		b.responseBytes += len(response.body)
		b.withResponse = append(b.withResponse, id)
	}
	b.evict(now)
}

// Ask returns the attempt's state. An attempt that was never seen is fenced
// first: it will be refused if it arrives later.
func (b *Book) Ask(now time.Time, id AttemptID, mark uint64) Fate {
	b.evict(now)
	if e, ok := b.entries[id]; ok {
		return e.state
	}
	if b.mayHaveForgotten(mark) {
		return FateUnknown
	}
	b.put(id, &dedupEntry{state: FateNotRun, mark: b.mark, endedAt: now})
	b.ended = append(b.ended, id)
	return FateNotRun
}

// Kept returns the kept response of an attempt, or nil.
func (b *Book) Kept(id AttemptID) *Answer {
	if e, ok := b.entries[id]; ok {
		return e.response
	}
	return nil
}

// Len returns the number of attempts that are remembered.
func (b *Book) Len() int { return len(b.entries) }

func (b *Book) mayHaveForgotten(mark uint64) bool {
	return b.maxForgottenMark > 0 && mark <= b.maxForgottenMark
}

func (b *Book) put(id AttemptID, e *dedupEntry) {
	if b.entries == nil {
		b.entries = make(map[AttemptID]*dedupEntry)
	}
	b.entries[id] = e
}

// evict forgets the attempts that ended longest ago, and the oldest responses.
func (b *Book) evict(now time.Time) {
	for len(b.ended) > 0 {
		id := b.ended[0]
		e := b.entries[id]
		if len(b.ended) <= b.maxEndedAttempts() && now.Sub(e.endedAt) < BookKeep {
			break
		}
		b.dropResponse(e)
		b.maxForgottenMark = max(b.maxForgottenMark, e.mark, 1)
		delete(b.entries, id)
		b.ended = b.ended[1:]
	}
	for b.responseBytes > BookBytes {
		if e, ok := b.entries[b.withResponse[0]]; ok {
			b.dropResponse(e)
		}
		b.withResponse = b.withResponse[1:]
	}
	for len(b.withResponse) > 0 && b.Kept(b.withResponse[0]) == nil {
		b.withResponse = b.withResponse[1:]
	}
}

func (b *Book) dropResponse(e *dedupEntry) {
	if e.response != nil {
		b.responseBytes -= len(e.response.body)
		e.response = nil
	}
}

func (b *Book) maxEndedAttempts() int {
	if b.maxEnded > 0 {
		return b.maxEnded
	}
	return BookSize
}
