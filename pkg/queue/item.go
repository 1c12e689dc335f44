package queue

import (
	"math"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// WholeGang stands in a Key for all tasks of a job that start together.
const WholeGang = math.MaxUint32

// Key names what waits: one task, or all waiting tasks of a gang.
type Key struct {
	// Job is the job's id.
	Job string
	// Task is the task's index, or WholeGang.
	Task uint32
}

// Demand describes what waits.
type Demand struct {
	// Team pays for the resources.
	Team string
	// Size is what each task asks for.
	Size worker.Resources
	// Count is the number of tasks to start at once.
	Count int
	// Urgent work goes before all other work.
	Urgent bool
	// Priority is the class's priority, from 0 to MaxPriority.
	Priority int
	// Submitted is when the work was accepted.
	Submitted time.Time
	// NeededBy is when the work should be done; zero means no moment.
	NeededBy time.Time
}

// MaxPriority is the highest priority of a class.
const MaxPriority = 9

// patiencePerPriority is how much longer a class of the next lower priority
// may wait.
const patiencePerPriority = 30 * time.Minute

// due returns when the work counts as overdue. Waiting work is ordered by it;
// since it never lies further than a fixed time after the submission, newer
// work cannot go before older work for ever.
func (d *Demand) due() int64 {
	priority := min(max(d.Priority, 0), MaxPriority)
	due := d.Submitted.Add(time.Duration(MaxPriority+1-priority) * patiencePerPriority)
	if !d.NeededBy.IsZero() && d.NeededBy.Before(due) {
		due = d.NeededBy
	}
	return due.UnixMilli()
}

// state is where an item is in the queue.
type state uint8

const (
	// ready items wait in their bucket.
	ready state = iota
	// delayed items are left alone until a moment.
	delayed
	// parked items fit no worker known.
	parked
)

// Item is one entry of the queue.
type Item struct {
	key    Key
	demand Demand
	due    int64
	// since is from when the item could be placed first, in Unix milliseconds.
	since int64
	// until is when a delayed item is ready again, in Unix milliseconds.
	until  int64
	reason Reason
	state  state
	bucket *bucket
	// index is the place in the heap of the bucket or of the delayed items.
	index int
}

// Key returns what waits.
func (i *Item) Key() Key { return i.key }

// Demand returns what the item asks for.
func (i *Item) Demand() *Demand { return &i.demand }

// Since returns from when on the item could be placed first.
func (i *Item) Since() time.Time { return time.UnixMilli(i.since) }

// Reason says why an item waits.
type Reason uint8

// The reasons.
const (
	// ReasonQueued items wait for their turn.
	ReasonQueued Reason = iota
	// ReasonNoRoom items are next but no worker has room for them now.
	ReasonNoRoom
	// ReasonTooLarge items are larger than every worker known.
	ReasonTooLarge
	// ReasonFailed items are delayed after a failure.
	ReasonFailed
	// ReasonPlacing items have a placement on its way to the log.
	ReasonPlacing
	// ReasonOtherEntry items are left to an entry that ranks before.
	ReasonOtherEntry
	// ReasonGang items wait until all tasks of the gang can start.
	ReasonGang
)

var reasonTexts = [...]string{
	"waits for its turn", "no worker has enough room now", "asks for more than any known worker has",
	"is delayed after a failure", "is being placed", "is left to another entry for now",
	"waits for the other tasks of its gang",
}

// String returns the reason in words.
func (r Reason) String() string { return reasonTexts[r] }
