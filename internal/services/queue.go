package services

import (
	"sync"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Limits of a writer's queue.
const (
	maxQueuedRecords = 16384
	maxQueuedBytes   = 8 << 20
	// maxBatchRecords and maxBatchBytes limit a batch of several groups. A group
	// that is larger than these limits makes up a batch of its own.
	maxBatchRecords = 2048
	maxBatchBytes   = 1 << 20
)

// Errors returned by Writer.
var (
	// ErrBackpressure means that the writer's queue is full because the log is slow or down.
	ErrBackpressure = errors.New("the log writer's queue is full: the log is slow or unavailable")
	// ErrTooLarge means that the messages of one call exceed the writer's queue limits.
	ErrTooLarge = errors.New("the records exceed the limits of the log writer's queue")
)

// group holds records that are written in the same batch, or not at all.
type group struct {
	records   []record.EncodedRecord
	sizeBytes int
	// done receives the result of the append.
	done chan error
}

// newGroup returns a group of the encoded messages.
func newGroup(messages []record.Message) (*group, error) {
	g := &group{records: make([]record.EncodedRecord, len(messages)), done: make(chan error, 1)}
	for i, m := range messages {
		var err error
		if g.records[i], err = record.EncodeMessage(m); err != nil {
			return nil, err
		}
		g.sizeBytes += g.records[i].Size()
	}
	return g, nil
}

// queue holds the groups that wait for an append. The zero value is an empty queue.
type queue struct {
	mu     sync.Mutex
	groups []*group
	// queuedRecords and queuedBytes are the number and the size of the records in groups.
	queuedRecords int
	queuedBytes   int
}

// add appends all groups to the queue, or none of them if they do not fit.
func (q *queue) add(groups ...*group) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	records, bytes := q.queuedRecords, q.queuedBytes
	for _, g := range groups {
		records += len(g.records)
		bytes += g.sizeBytes
	}
	if records > maxQueuedRecords || bytes > maxQueuedBytes {
		return ErrBackpressure
	}
	q.groups = append(q.groups, groups...)
	q.queuedRecords, q.queuedBytes = records, bytes
	return nil
}

// withdraw removes a group and reports whether it was still queued.
func (q *queue) withdraw(g *group) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, have := range q.groups {
		if have == g {
			q.groups = append(q.groups[:i:i], q.groups[i+1:]...)
			q.queuedRecords -= len(g.records)
			q.queuedBytes -= g.sizeBytes
			return true
		}
	}
	return false
}

// takeBatch removes the groups of the next batch from the queue and returns them
// with their records.
func (q *queue) takeBatch() (groups []*group, records []record.EncodedRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	n := 0
	for _, g := range q.groups {
		if n > 0 && (len(records)+len(g.records) > maxBatchRecords || size+g.sizeBytes > maxBatchBytes) {
			break
		}
		records = append(records, g.records...)
		size += g.sizeBytes
		n++
	}
	groups = q.groups[:n:n]
	q.groups = q.groups[n:]
	q.queuedRecords -= len(records)
	q.queuedBytes -= size
	return groups, records
}

// recordCount returns the number of queued records.
func (q *queue) recordCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queuedRecords
}
