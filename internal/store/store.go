// Package store is the interface to the platform's store: an append-only log per topic,
// of keyed records. The store retains at least the newest record of each key.
package store

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Errors returned by calls to the store.
var (
	// ErrRefused means that the store has not carried out the call and never will.
	ErrRefused = errors.New("the store did not carry out the call")
	// ErrOutcomeUnknown means that the store may have carried out the call, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the call to the store unknown")
	// ErrFenced means that a writer of a later leadership term has written to the topic.
	ErrFenced = errors.New("a later term has written to the store")
	// ErrEndMismatch means that the topic does not end at the offset that the append requires.
	ErrEndMismatch = errors.New("the topic does not end at the expected offset")
	// ErrTrimmed means that the store has deleted the record at the requested offset.
	ErrTrimmed = errors.New("the store no longer has the requested records")
)

// Topic is the name of a topic.
type Topic string

// The topics that the scheduler uses.
const (
	// TopicIntake holds the submissions and cancellations of pkg/workflow.
	TopicIntake Topic = "intake"
	// TopicProgress holds the progress of jobs. It is separate from TopicIntake so that appends of
	// progress do not wait for appends of submissions.
	TopicProgress Topic = "progress"
	// TopicLeadership holds the leadership claims.
	TopicLeadership Topic = "dispatch"
	// TopicWorkers holds the names of the workers that may run tasks.
	TopicWorkers Topic = "workers"
	// TopicConfig holds the operators' configuration. The scheduler only reads it.
	TopicConfig Topic = "config"
)

// Record is a keyed record. A record without a value deletes its key.
type Record = workflow.Record

// AppendRequest is a call that appends records to a topic.
type AppendRequest struct {
	Topic   Topic
	Records []Record
	// ExpectedEnd is the offset at which the topic must end before the append, if CheckEnd is
	// set.
	ExpectedEnd uint64
	// CheckEnd makes the append fail with ErrEndMismatch unless the topic ends at ExpectedEnd.
	CheckEnd bool
	// Term is the leadership term of the writer, a fencing token: the store refuses appends
	// with an earlier term. 0 means that the append has no term and is not fenced.
	Term uint64
	// Seq is the sequence number of the append in its term, by which the store recognises a
	// repeated append and carries it out only once.
	Seq uint64
}

// StoredRecord is a record with its offset in the topic.
type StoredRecord struct {
	Record
	Offset uint64
}

// Page is the result of one call of Read or ReadNewest.
type Page struct {
	Records []StoredRecord
	// End is the offset after the last record of the topic.
	End uint64
	// More is set if more pages of newest records follow; Read does not set it.
	More bool
}

// Client holds the functions that call the store.
type Client struct {
	// Append appends records and returns the offset after the last one.
	Append func(ctx context.Context, a AppendRequest) (uint64, error)
	// Read returns records from fromOffset on. If there are none yet, it waits for up to maxWait.
	Read func(ctx context.Context, topic Topic, fromOffset uint64, maxWait time.Duration) (*Page, error)
	// ReadNewest returns one page of the newest records of all keys, sorted by key. The page begins
	// with the first key after afterKey, or with the first key of all if afterKey is empty.
	ReadNewest func(ctx context.Context, topic Topic, afterKey string) (*Page, error)
}

// AllNewest returns the newest record of every key, and the offset from which to read on to get
// later records. No record before that offset is missed. Some returned records may have later
// offsets, since the topic may grow while its pages are read.
func (c *Client) AllNewest(ctx context.Context, topic Topic) ([]StoredRecord, uint64, error) {
	var out []StoredRecord
	end, afterKey := uint64(0), ""
	for first := true; ; first = false {
		page, err := c.ReadNewest(ctx, topic, afterKey)
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = page.End
		}
		out = append(out, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return out, end, nil
		}
		afterKey = page.Records[len(page.Records)-1].Key
	}
}

// SequenceError is the error of an append with an unexpected sequence number. Want is the
// number that the store expects of the next append in the term.
type SequenceError struct{ Want uint64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return "the store expects sequence number " + strconv.FormatUint(e.Want, 10)
}
