package services

import (
	"sync"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Limits of a writer's queue.
const (
	// maxQueued is the most records that wait for an append.
	maxQueued = 16384
	// maxQueuedBytes is the most bytes that wait for an append.
	maxQueuedBytes = 8 << 20
	// maxBatchRecords is the most records in one append.
	maxBatchRecords = 2048
	// maxBatchBytes is the size from which a batch takes in no further group.
	maxBatchBytes = 1 << 20
)

// Errors returned by Writer.
var (
	// ErrBackpressure means that the writer's queue is full because the log is slow or down.
	ErrBackpressure = errors.New("the log is too slow to take more records")
	// ErrTooLarge means that the messages of one call do not fit into one batch.
	ErrTooLarge = errors.New("the records do not fit into one batch")
)

// group is the records that go into the same batch, or none of them does.
type group struct {
	records []record.EncodedRecord
	size    int
	done    chan error
}

func newGroup(messages []record.Message) (*group, error) {
	g := &group{records: make([]record.EncodedRecord, len(messages)), done: make(chan error, 1)}
	for i, m := range messages {
		var err error
		if g.records[i], err = record.EncodeMessage(m); err != nil {
			return nil, err
		}
		g.size += g.records[i].Size()
	}
	return g, nil
}

// queue holds the groups that wait for an append. The zero value is empty.
type queue struct {
	mu      sync.Mutex
	groups  []*group
	records int
	bytes   int
}

// add puts groups at the end, all or none.
func (q *queue) add(groups ...*group) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	records, bytes := q.records, q.bytes
	for _, g := range groups {
		records += len(g.records)
		bytes += g.size
	}
	if records > maxQueued || bytes > maxQueuedBytes {
		return ErrBackpressure
	}
	q.groups = append(q.groups, groups...)
	q.records, q.bytes = records, bytes
	return nil
}

// withdraw removes a group and reports whether it was still waiting.
func (q *queue) withdraw(g *group) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, have := range q.groups {
		if have == g {
			q.groups = append(q.groups[:i:i], q.groups[i+1:]...)
			q.records -= len(g.records)
			q.bytes -= g.size
			return true
		}
	}
	return false
}

// take removes the groups of the next batch.
func (q *queue) take() (groups []*group, records []record.EncodedRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	n := 0
	for _, g := range q.groups {
		if n > 0 && (len(records)+len(g.records) > maxBatchRecords || size+g.size > maxBatchBytes) {
			break
		}
		records = append(records, g.records...)
		size += g.size
		n++
	}
	groups = q.groups[:n:n]
	q.groups = q.groups[n:]
	q.records -= len(records)
	q.bytes -= size
	return groups, records
}

// len returns the number of records waiting.
func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records
}
