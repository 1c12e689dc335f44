package entry

import (
	"context"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// jobsStartOffset returns the offset at which to begin reading the jobs stream. If the stream
// is long, it first restores the newest snapshot.
func (e *Entry) jobsStartOffset(ctx context.Context) (uint64, error) {
	first, next, err := services.StreamBounds(ctx, e.logService, JobsStream(e.settings.DataCentre))
	if err != nil || (first == 0 && next <= maxBatchesAfterSnapshot/4) {
		return 0, err
	}
	return e.recoverJobs(ctx, record.Page{FirstOffset: first, NextOffset: next}), nil
}

// recoverJobs is called when the log no longer keeps the next offset of the jobs stream to
// read. It restores the newest usable snapshot and returns its end offset; if there is none,
// it logs that jobs were lost and returns the first offset kept.
func (e *Entry) recoverJobs(ctx context.Context, page record.Page) uint64 {
	return e.recoverStream(ctx, JobsStream(e.settings.DataCentre), page, func(parts []*record.Snapshot) error {
		e.jobs.mu.Lock()
		defer e.jobs.mu.Unlock()
		return e.jobs.state.Restore(parts)
	})
}

// recoverStream calls restore with the newest usable snapshot of a jobs stream and returns the
// offset at which to go on reading. page gives the first retained offset of the stream and the
// offset of the next append.
func (e *Entry) recoverStream(ctx context.Context, stream string, page record.Page, restore func([]*record.Snapshot) error) uint64 {
	snapshots, err := e.findSnapshot(ctx, stream, page.FirstOffset, page.NextOffset)
	if err != nil {
		e.log.Warn().Err(err).Msg("search for a snapshot failed; trying again")
		return page.FirstOffset
	}
	if snapshots == nil && page.FirstOffset == 0 {
		return 0
	}
	if snapshots == nil {
		e.log.Error().Uint64("first", page.FirstOffset).Msg("jobs were lost: the log's retention dropped their records and no usable snapshot is kept")
		return page.FirstOffset
	}
	endOffset := snapshots[0].EndOffset
	if err := restore(snapshots); err != nil {
		e.log.Error().Err(err).Uint64("covers", endOffset).Msg("restoring a snapshot failed")
		return page.FirstOffset
	}
	e.log.Info().Str("decision", "restore-snapshot").Uint64("covers", endOffset).Int("parts", len(snapshots)).Msg("")
	return endOffset
}

// findSnapshot returns the parts of the newest snapshot whose following batches the log all
// retains, or nil if there is none. first is the first retained offset, next the offset of the
// next append. findSnapshot searches windows that end at the stream's end, each four times as
// large as the one before.
func (e *Entry) findSnapshot(ctx context.Context, stream string, first, next uint64) ([]*record.Snapshot, error) {
	for window := uint64(maxBatchesAfterSnapshot / 4); ; window *= 4 {
		start := first
		if next > first+window {
			start = next - window
		}
		found, err := e.newestSnapshot(ctx, stream, start, first)
		if err != nil || found != nil || start == first {
			return found, err
		}
	}
}

// newestSnapshot reads the stream from the offset start on and returns the newest complete
// snapshot whose end offset is at least minEndOffset, or nil if there is none.
func (e *Entry) newestSnapshot(ctx context.Context, stream string, start, minEndOffset uint64) ([]*record.Snapshot, error) {
	var assembler job.SnapshotAssembler
	var newest []*record.Snapshot
	err := services.Scan(ctx, e.logService, stream, start, func(r record.Record) {
		part, ok := r.Message().(*record.Snapshot)
		if !ok || part.EndOffset < minEndOffset {
			return
		}
		parts := assembler.Add(part)
		if parts != nil && (newest == nil || parts[0].EndOffset >= newest[0].EndOffset) {
			newest = parts
		}
	})
	return newest, err
}
