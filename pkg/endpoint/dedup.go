package endpoint

import "time"

// AttemptState is the state of one attempt of a request.
type AttemptState uint8

// The states of an attempt.
const (
	// AttemptUnknown means that the attempt may or may not have run.
	AttemptUnknown AttemptState = iota
	// AttemptNotRun means that the attempt did not run and never will.
	AttemptNotRun
	// AttemptRunning means that the attempt waits for a slot or is being processed.
	AttemptRunning
	// AttemptDone means that the attempt has run and ended.
	AttemptDone
)

var stateNames = [...]string{"unknown", "not-run", "running", "run"}

// String returns the name used in headers and logs.
func (f AttemptState) String() string { return stateNames[f] }

// ParseAttemptState returns the state with the given name, or AttemptUnknown if there is
// none.
func ParseAttemptState(name string) AttemptState {
	for i, n := range stateNames {
		if n == name {
			return AttemptState(i)
		}
	}
	return AttemptUnknown
}

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request string
	Attempt uint32
}

// Response is a whole HTTP response.
type Response struct {
	status int
	header map[string][]string
	body   []byte
}

// NewResponse returns a response.
func NewResponse(status int, header map[string][]string, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (a *Response) Status() int { return a.status }

// Header returns the HTTP header.
func (a *Response) Header() map[string][]string { return a.header }

// Body returns the whole body.
func (a *Response) Body() []byte { return a.body }

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
	// EndedRetention is how long an ended attempt is remembered.
	EndedRetention = 2 * time.Minute
	// MaxEndedAttempts is the most ended attempts that are remembered.
	MaxEndedAttempts = 32768
	// MaxTotalResponseBytes is the most bytes of responses that are kept.
	MaxTotalResponseBytes = 8 << 20
	// MaxResponseBytes is the largest response body that is kept.
	MaxResponseBytes = 256 << 10
)

// DedupTable is an agent's bounded table of request attempts. It recognises repeated
// attempts and answers queries for the state of an attempt. The zero value is
// empty. It is not safe for concurrent use.
//
// Marks tell which attempts the table may have forgotten. A mark is a counter that
// grows with each of the agent's reports, and an attempt carries the newest mark
// that its sender had received. So when an attempt arrives, the table's mark is no
// lower than that of the attempt, and an attempt whose mark is above those of all
// forgotten attempts was not forgotten. Any other attempt that the table does not
// contain may have been forgotten: it is not run, and it is not said to be not run.
type DedupTable struct {
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
	state   AttemptState
	endedAt time.Time
	// mark is the table's mark when the attempt was added.
	mark     uint64
	response *Response
}

// NextMark increments the table's mark and returns it, for the agent's next report.
func (b *DedupTable) NextMark() uint64 {
	b.mark++
	return b.mark
}

// SetMaxEnded sets the most ended attempts that are remembered; 0 means the default.
func (b *DedupTable) SetMaxEnded(n int) { b.maxEnded = n }

// Admit decides whether an arriving attempt is run, joined, answered again or
// refused. mark is the newest of the table's marks that the sender had received (see
// DedupTable). A new attempt is recorded as running.
func (b *DedupTable) Admit(now time.Time, id AttemptID, mark uint64) Admission {
	b.evict(now)
	e, ok := b.entries[id]
	if !ok {
		if b.mayHaveForgotten(mark) {
			return RefuseUnknown
		}
		b.put(id, &dedupEntry{state: AttemptRunning, mark: b.mark})
		return Admit
	}
	switch {
	case e.state == AttemptRunning:
		return Attach
	case e.response != nil:
		return Replay
	case e.state == AttemptDone:
		return RefuseRun
	case e.state == AttemptNotRun:
		return RefuseNotRun
	}
	return RefuseUnknown
}

// Finish records the end of a running attempt. The response may be nil; it is
// kept as long as there is room.
func (b *DedupTable) Finish(now time.Time, id AttemptID, state AttemptState, response *Response) {
	e, ok := b.entries[id]
	if !ok || e.state != AttemptRunning {
		return
	}
	e.state = state
	e.endedAt = now
	b.ended = append(b.ended, id)
	if response != nil && len(response.body) <= MaxResponseBytes {
		e.response = response
		b.responseBytes += len(response.body)
		b.withResponse = append(b.withResponse, id)
	}
	b.evict(now)
}

// QueryOrFence returns the state of an attempt that carries the given mark. An attempt
// that was never seen is fenced first: the attempt will be refused if it arrives later.
func (b *DedupTable) QueryOrFence(now time.Time, id AttemptID, mark uint64) AttemptState {
	b.evict(now)
	if e, ok := b.entries[id]; ok {
		return e.state
	}
	if b.mayHaveForgotten(mark) {
		return AttemptUnknown
	}
	b.put(id, &dedupEntry{state: AttemptNotRun, mark: b.mark, endedAt: now})
	b.ended = append(b.ended, id)
	return AttemptNotRun
}

// Response returns the kept response of an attempt, or nil.
func (b *DedupTable) Response(id AttemptID) *Response {
	if e, ok := b.entries[id]; ok {
		return e.response
	}
	return nil
}

// Len returns the number of attempts that are remembered.
func (b *DedupTable) Len() int { return len(b.entries) }

// mayHaveForgotten reports whether an attempt with this mark that is not in the table
// may have been in it.
func (b *DedupTable) mayHaveForgotten(mark uint64) bool {
	return b.maxForgottenMark > 0 && mark <= b.maxForgottenMark
}

// put adds an attempt to the table.
func (b *DedupTable) put(id AttemptID, e *dedupEntry) {
	if b.entries == nil {
		b.entries = make(map[AttemptID]*dedupEntry)
	}
	b.entries[id] = e
}

// evict forgets the attempts that ended longest ago, and the oldest responses.
func (b *DedupTable) evict(now time.Time) {
	for len(b.ended) > 0 {
		id := b.ended[0]
		e := b.entries[id]
		if len(b.ended) <= b.maxEndedAttempts() && now.Sub(e.endedAt) < EndedRetention {
			break
		}
		b.dropResponse(e)
		b.maxForgottenMark = max(b.maxForgottenMark, e.mark, 1)
		delete(b.entries, id)
		b.ended = b.ended[1:]
	}
	for b.responseBytes > MaxTotalResponseBytes {
		if e, ok := b.entries[b.withResponse[0]]; ok {
			b.dropResponse(e)
		}
		b.withResponse = b.withResponse[1:]
	}
	for len(b.withResponse) > 0 && b.Response(b.withResponse[0]) == nil {
		b.withResponse = b.withResponse[1:]
	}
}

func (b *DedupTable) dropResponse(e *dedupEntry) {
	if e.response != nil {
		b.responseBytes -= len(e.response.body)
		e.response = nil
	}
}

func (b *DedupTable) maxEndedAttempts() int {
	if b.maxEnded > 0 {
		return b.maxEnded
	}
	return MaxEndedAttempts
}
