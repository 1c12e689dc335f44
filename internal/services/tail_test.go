package services

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// scriptedLog returns the given pages and errors to reads, one each, and then
// ends the context of the test.
type scriptedLog struct {
	pages []record.Page
	errs  []error
	stop  context.CancelFunc
}

func (s *scriptedLog) read(context.Context, string, uint64, time.Duration) (record.Page, error) {
	if len(s.pages) == 0 {
		s.stop()
		return record.Page{}, record.ErrUnavailable
	}
	page, err := s.pages[0], s.errs[0]
	s.pages, s.errs = s.pages[1:], s.errs[1:]
	return page, err
}

func batchAt(t *testing.T, offset uint64) record.RawBatch {
	t.Helper()
	data, err := record.Encode("writer", offset+1, []record.Message{&record.Forget{Jobs: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	return record.RawBatch{Offset: offset, Data: data}
}

// TestTailFreshness checks that only a read that reaches the end of the stream
// is delivered with the time at which it began.
func TestTailFreshness(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &scriptedLog{stop: cancel, errs: make([]error, 5), pages: []record.Page{
		{NextOffset: 3, Batches: []record.RawBatch{batchAt(t, 0), batchAt(t, 1)}},
		{NextOffset: 3, Batches: []record.RawBatch{batchAt(t, 2)}},
		{NextOffset: 3},
		{NextOffset: 4},
		{NextOffset: 2},
	}}
	want := []bool{false, true, true, false, false}
	var got []bool
	tail := Tail{
		Log:       record.Log{Read: log.read},
		Deliver:   func(_ []record.Record, _ uint64, began time.Time) { got = append(got, !began.IsZero()) },
		OnSkipped: func(uint64, int, error) {},
		OnExpired: func(context.Context, record.Page) uint64 { return 0 },
	}
	tail.Run(ctx)
	for i, w := range want {
		if i >= len(got) || got[i] != w {
			t.Fatalf("reads delivered with a time: got %v, want %v", got, want)
		}
	}
}

// TestTailStartsWhereExpiredSays checks that a tail whose next offset is no longer
// retained continues at the offset that OnExpired returns.
func TestTailStartsWhereExpiredSays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &scriptedLog{
		stop:  cancel,
		errs:  []error{errors.Wrap(record.ErrExpired, "read"), nil},
		pages: []record.Page{{FirstOffset: 5, NextOffset: 9}, {FirstOffset: 5, NextOffset: 9, Batches: []record.RawBatch{batchAt(t, 7), batchAt(t, 8)}}},
	}
	var first, next uint64
	tail := Tail{
		Log: record.Log{Read: log.read},
		Deliver: func(r []record.Record, n uint64, _ time.Time) {
			first, next = r[0].Position().Offset(), n
		},
		OnSkipped: func(uint64, int, error) {},
		OnExpired: func(context.Context, record.Page) uint64 { return 7 },
	}
	tail.Run(ctx)
	if first != 7 || next != 9 {
		t.Errorf("read: got offsets %d to %d, want 7 to 9", first, next)
	}
}
