package record

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by the functions of Log.
var (
	// ErrUnavailable means that the log service did not take the call: nothing was written.
	ErrUnavailable = errors.New("the log service is not available")
	// ErrUnknown means that the call may or may not have taken effect.
	ErrUnknown = errors.New("the log service's reply was lost")
	// ErrExpired means that the offset is older than the log's retention.
	ErrExpired = errors.New("the offset is older than the log's retention")
)

// Page is what one read of a stream returns.
type Page struct {
	// Batches are in offset order without gaps, starting at the offset asked for.
	Batches []RawBatch
	// First is the oldest offset kept, Next is the offset of the next append.
	First, Next uint64
}

// RawBatch is one appended batch as the log keeps it.
type RawBatch struct {
	Offset uint64
	Data   []byte
}

// Log is the port to the platform's log service.
type Log struct {
	// Append adds one batch to a stream and returns its offset.
	Append func(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns batches from offset from on; with nothing there it waits up to wait.
	Read func(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
