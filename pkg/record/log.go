package record

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by the functions of Log.
var (
	// ErrUnavailable means that the log service did not accept the call; nothing
	// was written.
	ErrUnavailable = errors.New("the log service is not available")
	// ErrOutcomeUnknown means that the reply was lost: the call may or may not have taken
	// effect.
	ErrOutcomeUnknown = errors.New("the log service's reply was lost")
	// ErrExpired means that the log's retention has dropped the batch at the offset to
	// be read.
	ErrExpired = errors.New("the offset is older than the log's retention")
)

// Page is what one read of a stream returns.
type Page struct {
	// Batches are in the order of their offsets without gaps, starting at the
	// requested offset.
	Batches []RawBatch
	// FirstOffset is the oldest offset that the log still keeps; NextOffset is the
	// offset of the next append.
	FirstOffset, NextOffset uint64
}

// RawBatch is one batch in encoded form, as it was appended.
type RawBatch struct {
	Offset uint64
	Data   []byte
}

// Log holds the functions by which the platform's log service is called.
type Log struct {
	// Append appends one batch to a stream and returns the batch's offset.
	Append func(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns batches of a stream from fromOffset on. If there are none yet, it
	// waits for them for at most maxWait.
	Read func(ctx context.Context, stream string, fromOffset uint64, maxWait time.Duration) (Page, error)
}
