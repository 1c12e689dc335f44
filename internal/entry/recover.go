package entry

import (
	"context"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// startOfJobs restores the newest snapshot of a long stream and returns the
// offset at which reading begins.
func (e *Entry) startOfJobs(ctx context.Context) (uint64, error) {
	first, next, err := services.End(ctx, e.logPort, JobsStream(e.settings.DataCentre))
	if err != nil || (first == 0 && next <= snapshotBatches/4) {
		return 0, err
	}
	return e.recoverJobs(ctx, record.Page{FirstOffset: first, NextOffset: next}), nil
}

// recoverJobs is called when the next offset of the jobs stream has expired. It
// restores the newest usable snapshot and returns the offset that it covers; if
// there is none, what was lost is said, and reading goes on at the first offset kept.
func (e *Entry) recoverJobs(ctx context.Context, page record.Page) uint64 {
	return e.recoverStream(ctx, JobsStream(e.settings.DataCentre), page, func(parts []*record.Snapshot) error {
		e.jobs.mu.Lock()
		defer e.jobs.mu.Unlock()
		return e.jobs.fold.Restore(parts)
	})
}

// recoverStream hands the newest usable snapshot of a stream of jobs to restore.
func (e *Entry) recoverStream(ctx context.Context, stream string, page record.Page, restore func([]*record.Snapshot) error) uint64 {
	snapshots, err := e.findSnapshot(ctx, stream, page.FirstOffset, page.NextOffset)
	if err != nil {
		e.log.Warn().Err(err).Msg("searching for a snapshot failed; trying again")
		return page.FirstOffset
	}
	if snapshots == nil && page.FirstOffset == 0 {
		return 0
	}
	if snapshots == nil {
		e.log.Error().Uint64("first", page.FirstOffset).Msg("jobs were lost to retention: no usable snapshot is kept")
		return page.FirstOffset
	}
	covers := snapshots[0].EndOffset
	if err := restore(snapshots); err != nil {
		e.log.Error().Err(err).Uint64("covers", covers).Msg("restoring a snapshot failed")
		return page.FirstOffset
	}
	e.log.Info().Str("decision", "restore-snapshot").Uint64("covers", covers).Int("parts", len(snapshots)).Msg("")
	return covers
}

// findSnapshot returns the parts of the newest snapshot whose following batches
// are all kept, or nil. It searches windows that grow back from the stream's end.
func (e *Entry) findSnapshot(ctx context.Context, stream string, first, next uint64) ([]*record.Snapshot, error) {
	for window := uint64(snapshotBatches / 4); ; window *= 4 {
		from := first
		if next > first+window {
			from = next - window
		}
		found, err := e.newestSnapshot(ctx, stream, from, first)
		if err != nil || found != nil || from == first {
			return found, err
		}
	}
}

// newestSnapshot reads from an offset on for the newest complete snapshot that
// covers the stream up to first or more.
func (e *Entry) newestSnapshot(ctx context.Context, stream string, from, first uint64) ([]*record.Snapshot, error) {
	var collector job.SnapshotAssembler
	var newest []*record.Snapshot
	err := services.Scan(ctx, e.logPort, stream, from, func(r record.Record) {
		part, ok := r.Message().(*record.Snapshot)
		if !ok || part.EndOffset < first {
			return
		}
		parts := collector.Add(part)
		if parts != nil && (newest == nil || parts[0].EndOffset >= newest[0].EndOffset) {
			newest = parts
		}
	})
	return newest, err
}
