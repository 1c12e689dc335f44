package workflow

import "slices"

// Phase is the phase of a job's life cycle.
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

// String returns the name used in logs, or "unknown" for a value that is not a phase.
func (p Phase) String() string {
	if !p.Known() {
		return "unknown"
	}
	return phaseNames[p]
}

// Known reports whether p is one of the phases.
func (p Phase) Known() bool { return int(p) < len(phaseNames) }

// Ended reports whether the job has ended, so that none of its tasks starts again.
func (p Phase) Ended() bool { return p >= PhaseCompleted }

// Submission is an accepted job.
type Submission struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	Spec  Spec   `cbor:"3,keyasint"`
	// AcceptedMS is when an entry accepted the job, in Unix milliseconds on that entry's clock.
	AcceptedMS int64 `cbor:"4,keyasint"`
	// Term is the newest leadership term that the entry knew when it accepted the job. A
	// dispatcher of a later term has to assume that an earlier dispatcher may have started the
	// job.
	Term uint64 `cbor:"5,keyasint,omitempty"`
	// QueueTerms are the terms of the queue when it accepted the job. They hold once the configuration does not name the
	// queue any more. Submissions that were stored by earlier versions have none.
	QueueTerms *QueueTerms `cbor:"6,keyasint,omitempty"`
}

// QueueTerms are what a version of the configuration says of a queue.
type QueueTerms struct {
	ConfigVersion   uint64           `cbor:"1,keyasint"`
	Service         string           `cbor:"2,keyasint"`
	Priority        int              `cbor:"3,keyasint,omitempty"`
	FailedRunLimit  int              `cbor:"4,keyasint,omitempty"`
	Stretch         float64          `cbor:"5,keyasint,omitempty"`
	TargetLatencyMS int64            `cbor:"6,keyasint,omitempty"`
	Policy          *QueuePolicyTerm `cbor:"7,keyasint,omitempty"`
}

// QueuePolicyTerm is the placement policy of a queue: how long the policy service takes to decide.
type QueuePolicyTerm struct {
	DecisionMS  int64 `cbor:"1,keyasint,omitempty"`
	PerWorkerMS int64 `cbor:"2,keyasint,omitempty"`
}

// Progress is the stored state of a job, apart from its submission.
type Progress struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// EndedMS is when the job ended, in Unix milliseconds on the writer's clock.
	EndedMS int64 `cbor:"2,keyasint,omitempty"`
	// Done holds the sets of done tasks, one set for each step of an occurrence that is not in DoneOccurrences.
	Done []DoneTasks `cbor:"3,keyasint,omitempty"`
	// Tasks holds the state of tasks that are not done and have failed runs or a checkpoint.
	Tasks []TaskProgress `cbor:"4,keyasint,omitempty"`
	// Crashes holds the tasks that are not done and under which runners have crashed.
	Crashes []TaskCrashes `cbor:"5,keyasint,omitempty"`
	// ForgottenBefore, if not 0, says that the job was forgotten after its end. It is the offset in the topic of
	// submissions and cancellations before which these belong to the job, and from which on to a new job with its ID.
	ForgottenBefore uint64 `cbor:"6,keyasint,omitempty"`
	// DoneOccurrences holds the occurrences of which all tasks are done, in ranges that are sorted and do not overlap.
	DoneOccurrences []OccurrenceRange `cbor:"7,keyasint,omitempty"`
	// Failures holds the tasks that have failed more often than TaskProgress.Failed has numbers.
	Failures []TaskFailures `cbor:"8,keyasint,omitempty"`
}

// TaskFailures counts the failed runs of a task.
type TaskFailures struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Count      int
}

// HasBegun reports whether the progress shows that a run of the job has been at work. A start that was ordered may have
// taken no effect.
func (p *Progress) HasBegun() bool {
	return len(p.Done)+len(p.DoneOccurrences)+len(p.Tasks)+len(p.Failures) > 0
}

// Shortened returns the progress without checkpoints and crash counts, and with the counts of failed runs in place of their
// numbers: tasks begin anew where they would have resumed, and a failure that is reported again may count twice.
func (p *Progress) Shortened() *Progress {
	out := *p
	out.Tasks, out.Crashes, out.Failures = nil, nil, slices.Clone(p.Failures)
	counted := make(map[TaskFailures]bool, len(p.Failures))
	for _, f := range p.Failures {
		f.Count = 0
		counted[f] = true
	}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		if key := (TaskFailures{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}); len(t.Failed) > 0 && !counted[key] {
			key.Count = len(t.Failed)
			out.Failures = append(out.Failures, key)
		}
	}
	return &out
}

// OccurrenceRange is a range of occurrences: from First up to but not including End.
type OccurrenceRange struct {
	_     struct{} `cbor:",toarray"`
	First int
	End   int
}

// AddDoneOccurrence adds an occurrence to DoneOccurrences. It must be later than those added before.
func (p *Progress) AddDoneOccurrence(index int) {
	if n := len(p.DoneOccurrences); n > 0 && p.DoneOccurrences[n-1].End == index {
		p.DoneOccurrences[n-1].End++
		return
	}
	p.DoneOccurrences = append(p.DoneOccurrences, OccurrenceRange{First: index, End: index + 1})
}

// OccurrenceDone reports whether an occurrence is in DoneOccurrences.
func (p *Progress) OccurrenceDone(index int) bool {
	_, found := slices.BinarySearchFunc(p.DoneOccurrences, index, func(r OccurrenceRange, index int) int {
		switch {
		case r.End <= index:
			return -1
		case r.First > index:
			return 1
		}
		return 0
	})
	return found
}

// TaskCrashes counts the runners that have crashed while they ran a task.
type TaskCrashes struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	// Unproven counts those that crashed before the run had been at work for some time.
	Unproven int
	All      int
}

// DoneTasks is the set of done tasks of one step of one occurrence; Bits has one bit for each
// task, by its index.
type DoneTasks struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Bits       []byte
}

// Has reports whether the task with the index is done.
func (d *DoneTasks) Has(index int) bool {
	return index/8 < len(d.Bits) && d.Bits[index/8]&(1<<(index%8)) != 0
}

// Mark marks the task with the index as done.
func (d *DoneTasks) Mark(index int) {
	for index/8 >= len(d.Bits) {
		d.Bits = append(d.Bits, 0)
	}
	d.Bits[index/8] |= 1 << (index % 8)
}

// TaskProgress is the stored state of a task that is not done.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	// Failed holds the numbers of the latest runs that failed.
	Failed []uint64
	// Saved is the newest checkpoint.
	Saved string
}
