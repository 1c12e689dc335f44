// Package store is the port to the platform's store: topics of keyed records of
// which the newest of each key is kept.
package store

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Errors returned by the functions of Port.
var (
	// ErrRefused means that the call was certainly not carried out.
	ErrRefused = errors.New("the store did not take the call")
	// ErrUnknown means that the call may have been carried out, or still may be.
	ErrUnknown = errors.New("the store's answer was lost")
	// ErrFenced means that a later term has written.
	ErrFenced = errors.New("a later term has written to the store")
	// ErrMoved means that the topic does not end where the caller expected.
	ErrMoved = errors.New("the topic has moved on")
	// ErrTrimmed means that the records asked for are no longer kept.
	ErrTrimmed = errors.New("the records are no longer kept")
)

// Topic names one topic.
type Topic string

// The topics of the product.
const (
	// TopicIntake holds the submissions and cancellations of pkg/workflow.
	TopicIntake Topic = "intake"
	// TopicProgress holds the progress of jobs; appends to it do not wait for the intake's.
	TopicProgress Topic = "progress"
	// TopicDispatch holds claims of the dispatch.
	TopicDispatch Topic = "dispatch"
	// TopicWorkers names the workers that may run tasks.
	TopicWorkers Topic = "workers"
	// TopicConfig holds the operators' configuration; only read.
	TopicConfig Topic = "config"
)

// Record is one keyed record; without a value it drops its key.
type Record = workflow.Record

// Append is a call that adds records.
type Append struct {
	Topic   Topic
	Records []Record
	// At is where the topic must end, if AtSet.
	At    uint64
	AtSet bool
	// Term and Seq fence the writers of earlier terms and make a repeated call
	// harmless; Term 0 is a call without them.
	Term uint64
	Seq  uint64
}

// Stored is a record with its offset.
type Stored struct {
	Record
	Offset uint64
}

// Page is what a read returned.
type Page struct {
	Records []Stored
	// End is the offset after the topic's last record.
	End uint64
	// More is set if a page of the newest records is followed by another.
	More bool
}

// Port holds the calls to the store.
type Port struct {
	// Append returns the offset after the last record.
	Append func(ctx context.Context, a Append) (uint64, error)
	// Read returns records from an offset on; it waits for one at most as long as wait.
	Read func(ctx context.Context, topic Topic, from uint64, wait time.Duration) (*Page, error)
	// Newest returns the newest record of each key after a key.
	Newest func(ctx context.Context, topic Topic, after string) (*Page, error)
}

// All returns the newest record of every key, and an end from which to read on.
// Records may be newer than that end, none is older.
func (p *Port) All(ctx context.Context, topic Topic) ([]Stored, uint64, error) {
	var out []Stored
	end, after := uint64(0), ""
	for first := true; ; first = false {
		page, err := p.Newest(ctx, topic, after)
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

// SequenceError says which sequence number the store expects of a term's next append.
type SequenceError struct{ Want uint64 }

// Error returns the message.
func (e *SequenceError) Error() string {
	return "the store expects sequence number " + strconv.FormatUint(e.Want, 10)
}
