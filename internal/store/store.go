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
	// ErrRefused means that the call has not been and will not be carried out.
	ErrRefused = errors.New("the store did not carry out the call")
	// ErrOutcomeUnknown means that the call may have been carried out, or may still be.
	ErrOutcomeUnknown = errors.New("outcome of the call to the store unknown")
	// ErrFenced means that a writer of a later leadership term has written to the topic.
	ErrFenced = errors.New("a later term has written to the store")
	// ErrEndMismatch means that the topic does not end at the offset that the append requires.
	ErrEndMismatch = errors.New("the topic does not end at the expected offset")
	// ErrTrimmed means that the store has deleted records from the requested offset on.
	ErrTrimmed = errors.New("the store no longer has the requested records")
)

// Topic is the name of a topic.
type Topic string

// The topics that the scheduler uses.
const (
	// TopicIntake holds the submissions and cancellations of pkg/workflow.
	TopicIntake Topic = "intake"
	// TopicProgress holds the progress of jobs. It is a topic of its own so that appends to
	// it do not wait for appends of submissions.
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
	// ExpectedEnd is the offset at which the topic must end before the append.
	ExpectedEnd uint64
	// CheckEnd is set if the end of the topic is to be checked.
	CheckEnd bool
	// Term is the leadership term of the writer, a fencing token: the store refuses appends
	// of earlier terms. 0 is an append without a term.
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

// Page is the result of a read.
type Page struct {
	Records []StoredRecord
	// End is the offset after the last record of the topic.
	End uint64
	// More is set if more pages of newest records follow.
	More bool
}

// Client holds the functions that call the store.
type Client struct {
	// Append appends records and returns the offset after the last one.
	Append func(ctx context.Context, a AppendRequest) (uint64, error)
	// Read returns records from an offset on. If there are none yet, it waits for up to wait.
	Read func(ctx context.Context, topic Topic, from uint64, wait time.Duration) (*Page, error)
	// ReadNewest returns a page with the newest record of each key, from the first key after
	// the key named after; an empty one begins with the first page.
	ReadNewest func(ctx context.Context, topic Topic, after string) (*Page, error)
}

// AllNewest returns the newest record of every key, and an offset from which to read on. It
// misses no record before that offset; some records may have later offsets, since the
// topic may grow while the pages are read.
func (p *Client) AllNewest(ctx context.Context, topic Topic) ([]StoredRecord, uint64, error) {
	var out []StoredRecord
	end, after := uint64(0), ""
	for first := true; ; first = false {
		page, err := p.ReadNewest(ctx, topic, after)
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
		after = page.Records[len(page.Records)-1].Key
	}
}

// SequenceError is returned by an append with an unexpected sequence number. Want is the
// number that the store expects of the next append in the term.
type SequenceError struct{ Want uint64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return "the store expects sequence number " + strconv.FormatUint(e.Want, 10)
}
