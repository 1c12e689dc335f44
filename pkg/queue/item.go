package queue

import (
	"math"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// WholeGang is the Key.Task of the item for all tasks of a gang, which start
// together.
const WholeGang = math.MaxUint32

// Key identifies an item: one task, or all waiting tasks of a gang.
type Key struct {
	// Job is the job's id.
	Job string
	// Task is the task's index, or WholeGang.
	Task uint32
}

// Demand is what an item asks for.
type Demand struct {
	// Team is the team whose quota is charged.
	Team string
	// Size is the declared size of each task.
	Size worker.Resources
	// Count is the number of tasks to start together.
	Count int
	// Urgent items go before all others.
	Urgent bool
	// Priority is the priority of the batch class, from 0 to MaxPriority.
	Priority int
	// SubmittedAt is when the job was accepted.
	SubmittedAt time.Time
	// LatestStart is the latest start time that meets the job's deadline; zero if
	// the job has no deadline.
	LatestStart time.Time
}

// MaxPriority is the highest priority of a batch class.
const MaxPriority = 9

// waitPerPriority is by how much each step down in priority postpones the due
// time.
const waitPerPriority = 30 * time.Minute

// dueMS returns when the item becomes overdue, in Unix milliseconds. Items are
// ordered by this time. The due time is at most a fixed time after the submission, so
// newer items cannot overtake an older one for ever.
func (d *Demand) dueMS() int64 {
	priority := min(max(d.Priority, 0), MaxPriority)
	due := d.SubmittedAt.Add(time.Duration(MaxPriority+1-priority) * waitPerPriority)
	if !d.LatestStart.IsZero() && d.LatestStart.Before(due) {
		due = d.LatestStart
	}
	return due.UnixMilli()
}

// state says which list of the queue an item is in.
type state uint8

const (
	// ready items are in their bucket.
	ready state = iota
	// delayed items must not be placed before delayedUntilMS.
	delayed
	// parked items exceed every known worker.
	parked
)

// Item is one item of the queue: a task or a gang that waits.
type Item struct {
	key    Key
	demand Demand
	dueMS  int64
	// eligibleMS is when the item could first be placed, in Unix milliseconds.
	eligibleMS int64
	// delayedUntilMS is when a delayed item becomes ready, in Unix
	// milliseconds.
	delayedUntilMS int64
	reason         Reason
	state          state
	bucket         *bucket
	// heapIndex is the item's index in the heap of its bucket or of the delayed
	// items.
	heapIndex int
}

// Key returns the item's key.
func (i *Item) Key() Key { return i.key }

// Demand returns what the item asks for.
func (i *Item) Demand() *Demand { return &i.demand }

// EligibleAt returns when the item could first be placed.
func (i *Item) EligibleAt() time.Time { return time.UnixMilli(i.eligibleMS) }

// Reason is the reason for which an item waits.
type Reason uint8

// The reasons for which items wait.
const (
	// ReasonQueued items wait for their turn.
	ReasonQueued Reason = iota
	// ReasonNoRoom items wait until a worker has enough free capacity.
	ReasonNoRoom
	// ReasonTooLarge items exceed every known worker.
	ReasonTooLarge
	// ReasonFailed items wait for the retry delay after a failure.
	ReasonFailed
	// ReasonPlacing items have been placed; the log does not show the placement
	// yet.
	ReasonPlacing
	// ReasonOtherEntry items are left for now to an entry that ranks higher for
	// the job.
	ReasonOtherEntry
	// ReasonGang items wait until all tasks of the gang can start.
	ReasonGang
)

var reasonTexts = [...]string{
	"waits for its turn", "no worker has enough room now", "asks for more than any known worker has",
	"is delayed after a failure", "is being placed", "is left to another entry for now",
	"waits for the other tasks of its gang",
}

// String returns the reason in words, as shown to users.
func (r Reason) String() string { return reasonTexts[r] }
