package services

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// StreamBounds returns the first retained offset of a stream and the offset of its next append.
func StreamBounds(ctx context.Context, log record.Log, stream string) (first, next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	page, err := log.Read(ctx, stream, math.MaxInt64, 0)
	if errors.Is(err, record.ErrExpired) {
		err = nil
	}
	return page.FirstOffset, page.NextOffset, err
}

// Scan calls fn for each record of a stream, from the offset next to the present end of
// the stream. It skips batches and records that cannot be decoded.
func Scan(ctx context.Context, log record.Log, stream string, next uint64, fn func(record.Record)) error {
	for {
		call, cancel := context.WithTimeout(ctx, logCallTimeout)
		page, err := log.Read(call, stream, next, 0)
		cancel()
		if err != nil {
			return err
		}
		for _, b := range page.Batches {
			next = b.Offset + 1
			records, _, err := record.Decode(b.Offset, b.Data)
			if err != nil {
				continue
			}
			for _, r := range records {
				fn(r)
			}
		}
		if len(page.Batches) == 0 || next >= page.NextOffset {
			return nil
		}
	}
}
