package workflow

// Phase says how far a job is.
type Phase uint8

// The phases of a job.
const (
	PhaseQueued Phase = iota
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// Ended reports whether nothing of the job runs again.
func (p Phase) Ended() bool { return p >= PhaseCompleted }

// Submission is an accepted job.
type Submission struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that took the job.
	Queue string `cbor:"2,keyasint"`
	Spec  Spec   `cbor:"3,keyasint"`
	// AcceptedMS is when an entry accepted it, in Unix milliseconds on that entry's clock.
	AcceptedMS int64 `cbor:"4,keyasint"`
	// Term is the newest term of the dispatch that the entry knew. A dispatcher of a
	// later one takes the job for one that an earlier dispatcher may have started.
	Term uint64 `cbor:"5,keyasint,omitempty"`
}

// Progress is what lasts of a job besides its submission.
type Progress struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// EndedMS is when the job ended, in Unix milliseconds on the writer's clock.
	EndedMS int64 `cbor:"2,keyasint,omitempty"`
	// Done has one bit for each task that ended as done, by occurrence and step.
	Done []DoneStep `cbor:"3,keyasint,omitempty"`
	// Tasks holds what else is known of single tasks.
	Tasks []TaskProgress `cbor:"4,keyasint,omitempty"`
}

// DoneStep marks the done tasks of one step of one occurrence.
type DoneStep struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Bits       []byte
}

// Has reports whether the task with the index is marked.
func (d *DoneStep) Has(index int) bool {
	return index/8 < len(d.Bits) && d.Bits[index/8]&(1<<(index%8)) != 0
}

// Mark marks the task with the index.
func (d *DoneStep) Mark(index int) {
	for index/8 >= len(d.Bits) {
		d.Bits = append(d.Bits, 0)
	}
	d.Bits[index/8] |= 1 << (index % 8)
}

// TaskProgress is what lasts of a task that is not done.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	// Failed holds the numbers of the runs that failed.
	Failed []uint64
	// Saved is the newest checkpoint.
	Saved string
}
